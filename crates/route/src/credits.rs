//! Slot credits: asking for them, lending them out, and who lends which backend server's slots.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::Action;
use crate::CreditGrant;
use crate::CreditRequest;
use crate::Message;
use crate::Router;
use crate::lending::Book;
use crate::lending::Usage;
use crate::lending::lender_term;
use crate::peers::Reach;
use crate::seat::Lane;
use crate::seat::Near;
use model::BackendId;
use model::Incarnation;

/// Backend servers asked for credits at a time.
const ASKS: usize = 64;

/// Loans recalled at a time.
const RECALLS: usize = 8;

/// Asks to be sent, by lender.
pub(crate) type Wants = BTreeMap<Incarnation, Vec<CreditRequest>>;

impl Router {
    /// Brings all indexes of a backend server up to date.
    pub(crate) fn refresh(&mut self, index: usize) {
        let reserved = self.settings.reserved_percent;
        let now = self.now;
        let seat = &mut self.seats[index];
        let pool = &mut self.pools[seat.pool];
        let open = seat.listed && seat.state.is_open();
        let free = seat.free(reserved, now);
        let credits = if open { seat.credits(reserved, now).0 } else { 0 };
        pool.place(index, seat, free);
        pool.count(seat, credits, open);
        let most = seat.slots.min(seat.limit);
        let other = seat.lender.is_some_and(|lender| lender != self.me);
        let askable = open && other && !seat.credit.pending() && seat.credit.total < most;
        pool.place_ask(index, seat, askable);
        match &seat.book {
            Some(book) if !book.is_empty() => pool.lent.insert(index),
            _ => pool.lent.remove(&index),
        };
    }

    fn usage(&self, index: usize) -> Usage {
        let seat = &self.seats[index];
        let hungry = self.pools[seat.pool].waiting() > 0;
        let settling = seat.book.as_ref().is_some_and(|book| self.now < book.settled);
        let claimed = settling && self.now < seat.credit.until;
        let claim = if claimed { seat.credit.total } else { 0 };
        Usage { total: seat.used.max(claim), batch: seat.used_batch, hungry }
    }

    /// Asks other lenders for slots, and borrowers for a share of the own ones.
    pub(crate) fn seek_credits(&mut self, pool: usize) {
        self.recall_own(pool);
        let queues = &self.pools[pool].queues;
        let batch = queues[Lane::Batch as usize].len() + queues[Lane::Firm as usize].len();
        let need = self.pools[pool].waiting().min(ASKS);
        let far = self.pools[pool].open_near() == 0 || self.is_pressed(pool);
        let chosen: Vec<usize> = self.pools[pool]
            .askable
            .iter()
            .map(|rank| rank.seat)
            .take_while(|seat| far || self.seats[*seat].near != Near::Remote)
            .take(need)
            .collect();
        if chosen.is_empty() {
            return;
        }
        let step = u32::try_from(self.pools[pool].waiting().div_ceil(chosen.len())).unwrap_or(1);
        let mut wants = Wants::new();
        for index in chosen {
            let seat = &self.seats[index];
            let total = (seat.credit.total + step).min(seat.slots.min(seat.limit));
            let more = if batch > 0 { total } else { seat.credit.batch };
            self.ask(index, total, more, &mut wants);
        }
        self.send_wants(wants);
    }

    /// Whether work has waited long enough to be worth the way to another region.
    fn is_pressed(&self, pool: usize) -> bool {
        let pool = &self.pools[pool];
        let urgent = &pool.queues[Lane::Interactive as usize];
        let slots = u64::from(pool.used[0].max(1));
        Duration::from_micros(urgent.work() / slots) >= self.settings.link_wait
    }

    fn recall_own(&mut self, pool: usize) {
        let lent: Vec<usize> = self.pools[pool].lent.iter().copied().take(RECALLS).collect();
        for index in lent {
            let used = self.seats[index].used;
            self.recall(index, used);
        }
    }

    fn recall(&mut self, index: usize, least: u32) {
        let seat = &mut self.seats[index];
        let recalled = seat.book.as_mut().and_then(|book| book.recall(least));
        let backend = seat.id.clone();
        if let Some((borrower, keep)) = recalled {
            self.send(borrower, Message::Recall { backend, keep });
        }
    }

    /// Writes an ask for `total` credits, from now on the most that are used.
    pub(crate) fn ask(&mut self, index: usize, total: u32, batch: u32, wants: &mut Wants) {
        let now = self.now;
        let seat = &mut self.seats[index];
        let Some(lender) = seat.lender.filter(|lender| *lender != self.me) else { return };
        let total = total.max(seat.used).min(seat.slots);
        let credit = &mut seat.credit;
        if now >= credit.until {
            credit.total = seat.used;
            credit.batch = seat.used_batch;
        }
        credit.serial += 1;
        credit.total = credit.total.min(total);
        credit.batch = credit.batch.min(batch.max(seat.used_batch)).min(credit.total);
        credit.sent = now;
        credit.wanted = total;
        let want = CreditRequest {
            backend: seat.id.clone(),
            serial: credit.serial,
            held: credit.total,
            batch_held: credit.batch,
            total,
            batch: batch.max(seat.used_batch).min(total),
        };
        wants.entry(lender).or_default().push(want);
        self.borrowed.insert(index);
        self.refresh(index);
    }

    pub(crate) fn send_wants(&mut self, wants: Wants) {
        for (lender, wants) in wants {
            self.send(lender, Message::Ask { wants });
        }
    }

    /// A borrower asks for slots.
    pub(crate) fn asked(&mut self, from: Incarnation, wants: Vec<CreditRequest>) {
        let mut grants = Vec::new();
        for want in wants {
            let Some(index) = self.seat_index.get(&want.backend).copied() else { continue };
            grants.extend(self.lend(from, index, want));
        }
        if !grants.is_empty() {
            self.send(from, Message::Grant { grants });
        }
    }

    fn lend(
        &mut self,
        from: Incarnation,
        index: usize,
        mut want: CreditRequest,
    ) -> Option<CreditGrant> {
        let usage = self.usage(index);
        let until = self.now + lender_term(self.settings.credit_term);
        let supply = self.seats[index].supply(self.settings.reserved_percent);
        let seat = &mut self.seats[index];
        if !seat.listed || !seat.state.is_open() {
            want.total = 0;
            want.batch = 0;
        }
        let grant = seat.book.as_mut()?.ask(from, &want, supply, usage, until, self.now);
        self.refresh(index);
        let neediest = self.seats[index].book.as_ref().and_then(Book::neediest);
        if let Some(least) = neediest {
            self.recall(index, least);
        }
        self.serve(index);
        grant
    }

    /// Lends free slots of an own backend server to those who wait for them.
    fn serve(&mut self, index: usize) {
        let supply = self.seats[index].supply(self.settings.reserved_percent);
        if !self.seats[index].listed || !self.seats[index].state.is_open() {
            return;
        }
        loop {
            let usage = self.usage(index);
            let seat = &mut self.seats[index];
            let Some(book) = seat.book.as_mut() else { return };
            let Some((to, serial, total, batch)) = book.serve(supply, usage, self.now) else {
                return;
            };
            let grant = CreditGrant { backend: seat.id.clone(), serial, total, batch };
            self.refresh(index);
            self.send(to, Message::Grant { grants: vec![grant] });
        }
    }

    /// The lender answers an ask.
    pub(crate) fn granted(&mut self, from: Incarnation, grants: Vec<CreditGrant>) {
        let mut pools = std::collections::BTreeSet::new();
        for grant in grants {
            let Some(index) = self.seat_index.get(&grant.backend).copied() else { continue };
            let seat = &mut self.seats[index];
            let credit = &mut seat.credit;
            if seat.lender != Some(from) || credit.serial != grant.serial {
                continue;
            }
            let first = credit.granted < grant.serial;
            credit.granted = grant.serial;
            credit.total = if first { grant.total } else { credit.total.max(grant.total) };
            credit.batch = if first { grant.batch } else { credit.batch.max(grant.batch) };
            credit.until = credit.sent + self.settings.credit_term;
            pools.insert(seat.pool);
            self.refresh(index);
        }
        for pool in pools {
            self.pump(pool);
        }
    }

    /// The lender wants slots back.
    pub(crate) fn recalled(&mut self, from: Incarnation, backend: &BackendId, keep: u32) {
        let Some(index) = self.seat_index.get(backend).copied() else { return };
        let seat = &mut self.seats[index];
        if seat.lender != Some(from) {
            return;
        }
        seat.credit.keep = Some(keep);
        self.give_back(index);
    }

    /// Gives back what the lender recalled, and serves borrowers where this is the lender.
    pub(crate) fn give_back(&mut self, index: usize) {
        if self.seats[index].book.is_some() {
            return self.serve(index);
        }
        let seat = &mut self.seats[index];
        let Some(keep) = seat.credit.keep else { return };
        let least = keep.max(seat.used);
        if seat.used <= keep {
            seat.credit.keep = None;
        }
        if least < seat.credit.total {
            let mut wants = Wants::new();
            let batch = seat.credit.batch;
            self.ask(index, least, batch, &mut wants);
            self.send_wants(wants);
        }
    }

    /// Renews credits in use, gives back idle ones, and asks again where an answer is missing.
    pub(crate) fn renew_credits(&mut self) {
        let term = self.settings.credit_term;
        let mut wants = Wants::new();
        let borrowed: Vec<usize> = self.borrowed.iter().copied().collect();
        for index in borrowed {
            let seat = &mut self.seats[index];
            let credit = &seat.credit;
            let unanswered = credit.granted < credit.serial;
            let retry = unanswered && self.now.since(credit.sent) >= self.settings.resend_interval;
            if !retry && self.now + term / 2 < credit.until {
                continue;
            }
            if credit.total == 0 && seat.used == 0 && !credit.pending() {
                self.borrowed.remove(&index);
                continue;
            }
            let hungry = self.pools[seat.pool].waiting() > 0;
            let more = if hungry { seat.credit.wanted } else { 0 };
            let total = seat.credit.peak.max(more);
            let batch = seat.credit.batch.max(if hungry { total } else { 0 });
            seat.credit.peak = seat.used;
            self.ask(index, total, batch, &mut wants);
        }
        self.send_wants(wants);
        self.lapse_loans();
    }

    fn lapse_loans(&mut self) {
        let lent: Vec<usize> = self.pools.iter().flat_map(|pool| &pool.lent).copied().collect();
        for index in lent {
            if let Some(book) = &mut self.seats[index].book {
                book.lapse(self.now);
            }
            self.refresh(index);
            self.serve(index);
        }
        let settling = self.settling.split_off(&0);
        for index in settling {
            match &self.seats[index].book {
                Some(book) if self.now < book.settled => {
                    self.settling.insert(index);
                }
                _ => self.refresh(index),
            }
        }
    }

    /// Moves lenders whose grace has passed.
    pub(crate) fn keep_lenders(&mut self) {
        if self.lenders_due.is_some_and(|due| due <= self.now) {
            self.lenders_due = None;
            self.assign_lenders();
        }
    }

    /// Draws the lender of each backend server anew after a change of membership.
    pub(crate) fn assign_lenders(&mut self) {
        let mut wants = Wants::new();
        for index in 0..self.seats.len() {
            self.assign_lender(index, &mut wants);
        }
        self.send_wants(wants);
        for pool in 0..self.pools.len() {
            self.pump(pool);
        }
    }

    pub(crate) fn assign_lender(&mut self, index: usize, wants: &mut Wants) {
        let grace = self.settings.reach_grace;
        let seat = &self.seats[index];
        let lender = self.peers.lender(&seat.id, &seat.region, self.now, grace);
        self.set_limit(index);
        if lender != self.seats[index].lender {
            self.change_lender(index, lender);
            let seat = &self.seats[index];
            let (total, batch) = (seat.credit.total, seat.credit.batch);
            if total > 0 {
                self.ask(index, total, batch, wants);
            }
        }
        self.refresh(index);
    }

    fn change_lender(&mut self, index: usize, lender: Option<Incarnation>) {
        let settled = self.now + lender_term(self.settings.credit_term);
        let alone = self.peers.count() == 1;
        let term = self.settings.credit_term;
        let seat = &mut self.seats[index];
        seat.lender = lender;
        seat.credit.keep = None;
        seat.credit.granted = seat.credit.serial;
        if seat.book.take().is_some() {
            seat.credit.total = seat.used;
            seat.credit.batch = seat.used_batch;
            seat.credit.until = self.now + term;
        }
        seat.credit.wanted = seat.credit.total;
        if lender == Some(self.me) {
            let from = if alone { self.now } else { settled };
            seat.book = Some(Book::new(from));
            seat.credit.until = seat.credit.until.max(from);
            self.borrowed.remove(&index);
            self.settling.insert(index);
        }
    }

    /// Divides the connections of a backend server evenly among the entry VMs.
    fn set_limit(&mut self, index: usize) {
        let count = self.peers.count();
        let seat = &mut self.seats[index];
        let connections = (seat.connections / count).max(1);
        if seat.limit != connections {
            seat.limit = connections;
            let backend = seat.id.clone();
            self.out.push(Action::Limit { backend, connections });
        }
    }

    /// Drops loans and credits of an incarnation that has ended.
    pub(crate) fn forget_borrower(&mut self, peer: Incarnation) {
        for index in 0..self.seats.len() {
            if let Some(book) = &mut self.seats[index].book {
                book.forget(peer);
            }
        }
    }

    /// After a pause of the process others may have lent the own slots: as a new lender would, it
    /// lends nothing and uses no more than before until that has lapsed.
    pub(crate) fn resume(&mut self) {
        if self.peers.count() == 1 {
            return;
        }
        let settled = self.now + lender_term(self.settings.credit_term);
        for index in 0..self.seats.len() {
            let seat = &mut self.seats[index];
            if seat.book.is_none() {
                continue;
            }
            seat.book = Some(Book::new(settled));
            seat.credit.total = seat.used;
            seat.credit.batch = seat.used_batch;
            seat.credit.until = settled;
            self.settling.insert(index);
            self.refresh(index);
        }
    }

    /// Whether messages reach the peer now.
    pub(crate) fn is_up(&self, peer: Incarnation) -> bool {
        self.peers.reach(peer) == Reach::Up
    }
}
