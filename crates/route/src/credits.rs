//! Slot credits: requesting and lending them, and assigning a lender to each backend server.
//!
//! An entry VM dispatches to a backend server only within its slot credits, so that all of them
//! together never exceed the server's slots. Credits are leases that expire unless renewed.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::Action;
use crate::CreditGrant;
use crate::CreditRequest;
use crate::Message;
use crate::Router;
use crate::lending::LoanTable;
use crate::lending::Usage;
use crate::lending::lender_term;
use crate::peers::Reach;
use crate::server::Lane;
use crate::server::Locality;
use model::BackendId;
use model::Incarnation;

/// Maximum number of backend servers for which credits are requested at a time.
const MAX_CREDIT_REQUESTS: usize = 64;

/// Maximum number of backend servers of which loans are recalled at a time.
const MAX_RECALLS: usize = 8;

/// Credit requests to be sent, by lender.
pub(crate) type RequestsByLender = BTreeMap<Incarnation, Vec<CreditRequest>>;

impl Router {
    /// Updates the indexes and totals of the pool after a change to a backend server.
    pub(crate) fn update_indexes(&mut self, index: usize) {
        let reserved = self.settings.reserved_percent;
        let now = self.now;
        let server = &mut self.servers[index];
        let pool = &mut self.pools[server.pool];
        let open = server.listed && server.state.is_open();
        let free = server.free(reserved, now);
        let credits = if open { server.credits(reserved, now).0 } else { 0 };
        pool.index_free(index, server, free);
        pool.update_totals(server, credits, open);
        let max_total = server.slots.min(server.connection_limit);
        let is_borrower = server.lender.is_some_and(|lender| lender != self.me);
        let askable = open
            && is_borrower
            && !server.credit.has_pending_request()
            && server.credit.total < max_total;
        pool.index_askable(index, server, askable);
        match &server.loans {
            Some(loans) if !loans.is_empty() => pool.lent_servers.insert(index),
            _ => pool.lent_servers.remove(&index),
        };
    }

    /// Slots that this entry VM uses as lender. Until a new lender may lend, credits that it holds
    /// from its predecessor count as used.
    fn local_usage(&self, index: usize) -> Usage {
        let server = &self.servers[index];
        let has_demand = self.pools[server.pool].waiting() > 0;
        let settling = server.loans.as_ref().is_some_and(|loans| self.now < loans.settled_at);
        let claimed = settling && self.now < server.credit.expires_at;
        let claim = if claimed { server.credit.total } else { 0 };
        Usage { total: server.used.max(claim), batch: server.used_batch, has_demand }
    }

    /// Requests credits from other lenders, and recalls part of the slots lent from here.
    pub(crate) fn request_credits(&mut self, pool: usize) {
        self.recall_loans(pool);
        let queues = &self.pools[pool].queues;
        let batch = queues[Lane::Batch as usize].len() + queues[Lane::BatchOnce as usize].len();
        let need = self.pools[pool].waiting().min(MAX_CREDIT_REQUESTS);
        let use_remote = self.pools[pool].open_in_region() == 0 || self.is_wait_long(pool);
        let chosen: Vec<usize> = self.pools[pool]
            .askable
            .iter()
            .map(|rank| rank.server)
            .take_while(|server| use_remote || self.servers[*server].locality != Locality::Remote)
            .take(need)
            .collect();
        if chosen.is_empty() {
            return;
        }
        let step = u32::try_from(self.pools[pool].waiting().div_ceil(chosen.len())).unwrap_or(1);
        let mut wants = RequestsByLender::new();
        for index in chosen {
            let server = &self.servers[index];
            let total = (server.credit.total + step).min(server.slots.min(server.connection_limit));
            let max_batch = if batch > 0 { total } else { server.credit.batch };
            self.add_credit_request(index, total, max_batch, &mut wants);
        }
        self.send_credit_requests(wants);
    }

    /// Whether interactive work would wait so long that another region is worthwhile.
    fn is_wait_long(&self, pool: usize) -> bool {
        let pool = &self.pools[pool];
        let urgent = &pool.queues[Lane::Interactive as usize];
        let slots = u64::from(pool.used[0].max(1));
        Duration::from_micros(urgent.work() / slots) >= self.settings.link_wait
    }

    fn recall_loans(&mut self, pool: usize) {
        let lent: Vec<usize> =
            self.pools[pool].lent_servers.iter().copied().take(MAX_RECALLS).collect();
        for index in lent {
            let used = self.servers[index].used;
            self.recall(index, used);
        }
    }

    fn recall(&mut self, index: usize, least: u32) {
        let server = &mut self.servers[index];
        let recalled = server.loans.as_mut().and_then(|loans| loans.recall(least));
        let backend = server.id.clone();
        if let Some((borrower, keep)) = recalled {
            self.send(borrower, Message::Recall { backend, keep });
        }
    }

    /// Adds a request for `total` credits to `wants`; from now on no more than `total` are used.
    pub(crate) fn add_credit_request(
        &mut self,
        index: usize,
        total: u32,
        batch: u32,
        wants: &mut RequestsByLender,
    ) {
        let now = self.now;
        let server = &mut self.servers[index];
        let Some(lender) = server.lender.filter(|lender| *lender != self.me) else { return };
        let total = total.max(server.used).min(server.slots);
        let credit = &mut server.credit;
        if now >= credit.expires_at {
            credit.total = server.used;
            credit.batch = server.used_batch;
        }
        credit.serial += 1;
        credit.total = credit.total.min(total);
        credit.batch = credit.batch.min(batch.max(server.used_batch)).min(credit.total);
        credit.sent_at = now;
        credit.wanted = total;
        let want = CreditRequest {
            backend: server.id.clone(),
            serial: credit.serial,
            held: credit.total,
            batch_held: credit.batch,
            total,
            batch: batch.max(server.used_batch).min(total),
        };
        wants.entry(lender).or_default().push(want);
        self.borrowed.insert(index);
        self.update_indexes(index);
    }

    pub(crate) fn send_credit_requests(&mut self, wants: RequestsByLender) {
        for (lender, wants) in wants {
            self.send(lender, Message::Ask { wants });
        }
    }

    /// Handles a borrower's credit requests.
    pub(crate) fn handle_ask(&mut self, from: Incarnation, wants: Vec<CreditRequest>) {
        let mut grants = Vec::new();
        for want in wants {
            let Some(index) = self.server_index.get(&want.backend).copied() else { continue };
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
        let usage = self.local_usage(index);
        let until = self.now + lender_term(self.settings.credit_term);
        let supply = self.servers[index].supply(self.settings.reserved_percent);
        let server = &mut self.servers[index];
        if !server.listed || !server.state.is_open() {
            want.total = 0;
            want.batch = 0;
        }
        let grant =
            server.loans.as_mut()?.handle_request(from, &want, supply, usage, until, self.now);
        self.update_indexes(index);
        let least_unmet = self.servers[index].loans.as_ref().and_then(LoanTable::least_unmet);
        if let Some(least) = least_unmet {
            self.recall(index, least);
        }
        self.lend_free_slots(index);
        grant
    }

    /// Lends free slots of a backend server that this entry VM lends to waiting borrowers.
    fn lend_free_slots(&mut self, index: usize) {
        let supply = self.servers[index].supply(self.settings.reserved_percent);
        if !self.servers[index].listed || !self.servers[index].state.is_open() {
            return;
        }
        loop {
            let usage = self.local_usage(index);
            let server = &mut self.servers[index];
            let Some(loans) = server.loans.as_mut() else { return };
            let Some((to, serial, total, batch)) = loans.lend_free_slot(supply, usage, self.now)
            else {
                return;
            };
            let grant = CreditGrant { backend: server.id.clone(), serial, total, batch };
            self.update_indexes(index);
            self.send(to, Message::Grant { grants: vec![grant] });
        }
    }

    /// Handles the lender's grants; one for an older request is ignored.
    pub(crate) fn handle_grants(&mut self, from: Incarnation, grants: Vec<CreditGrant>) {
        let mut pools = std::collections::BTreeSet::new();
        for grant in grants {
            let Some(index) = self.server_index.get(&grant.backend).copied() else { continue };
            let server = &mut self.servers[index];
            let credit = &mut server.credit;
            if server.lender != Some(from) || credit.serial != grant.serial {
                continue;
            }
            let first = credit.granted_serial < grant.serial;
            credit.granted_serial = grant.serial;
            credit.total = if first { grant.total } else { credit.total.max(grant.total) };
            credit.batch = if first { grant.batch } else { credit.batch.max(grant.batch) };
            credit.expires_at = credit.sent_at + self.settings.credit_term;
            pools.insert(server.pool);
            self.update_indexes(index);
        }
        for pool in pools {
            self.dispatch_queued(pool);
        }
    }

    /// Handles the lender's recall of credits.
    pub(crate) fn handle_recall(&mut self, from: Incarnation, backend: &BackendId, keep: u32) {
        let Some(index) = self.server_index.get(backend).copied() else { return };
        let server = &mut self.servers[index];
        if server.lender != Some(from) {
            return;
        }
        server.credit.recall_limit = Some(keep);
        self.return_credits(index);
    }

    /// Returns recalled credits that are no longer in use or, as the lender, lends free slots on.
    pub(crate) fn return_credits(&mut self, index: usize) {
        if self.servers[index].loans.is_some() {
            return self.lend_free_slots(index);
        }
        let server = &mut self.servers[index];
        let Some(keep) = server.credit.recall_limit else { return };
        let least = keep.max(server.used);
        if server.used <= keep {
            server.credit.recall_limit = None;
        }
        if least < server.credit.total {
            let mut wants = RequestsByLender::new();
            let batch = server.credit.batch;
            self.add_credit_request(index, least, batch, &mut wants);
            self.send_credit_requests(wants);
        }
    }

    /// Renews credits in use, returns idle ones, and repeats requests that were not answered.
    pub(crate) fn renew_credits(&mut self) {
        let term = self.settings.credit_term;
        let mut wants = RequestsByLender::new();
        let borrowed: Vec<usize> = self.borrowed.iter().copied().collect();
        for index in borrowed {
            let server = &mut self.servers[index];
            let credit = &server.credit;
            let unanswered = credit.granted_serial < credit.serial;
            let retry =
                unanswered && self.now.since(credit.sent_at) >= self.settings.resend_interval;
            if !retry && self.now + term / 2 < credit.expires_at {
                continue;
            }
            if credit.total == 0 && server.used == 0 && !credit.has_pending_request() {
                self.borrowed.remove(&index);
                continue;
            }
            let has_demand = self.pools[server.pool].waiting() > 0;
            let more = if has_demand { server.credit.wanted } else { 0 };
            let total = server.credit.peak_used.max(more);
            let batch = server.credit.batch.max(if has_demand { total } else { 0 });
            server.credit.peak_used = server.used;
            self.add_credit_request(index, total, batch, &mut wants);
        }
        self.send_credit_requests(wants);
        self.expire_loans();
    }

    fn expire_loans(&mut self) {
        let lent: Vec<usize> =
            self.pools.iter().flat_map(|pool| &pool.lent_servers).copied().collect();
        for index in lent {
            if let Some(loans) = &mut self.servers[index].loans {
                loans.remove_expired(self.now);
            }
            self.update_indexes(index);
            self.lend_free_slots(index);
        }
        let settling = self.settling.split_off(&0);
        for index in settling {
            match &self.servers[index].loans {
                Some(loans) if self.now < loans.settled_at => {
                    self.settling.insert(index);
                }
                _ => self.update_indexes(index),
            }
        }
    }

    /// Reassigns lenders once the grace for unreachable peers has passed.
    pub(crate) fn reassign_lenders_if_due(&mut self) {
        if self.reassign_at.is_some_and(|due| due <= self.now) {
            self.reassign_at = None;
            self.assign_lenders();
        }
    }

    /// Assigns a lender to each backend server again after a change of membership.
    pub(crate) fn assign_lenders(&mut self) {
        let mut wants = RequestsByLender::new();
        for index in 0..self.servers.len() {
            self.assign_lender(index, &mut wants);
        }
        self.send_credit_requests(wants);
        for pool in 0..self.pools.len() {
            self.dispatch_queued(pool);
        }
    }

    pub(crate) fn assign_lender(&mut self, index: usize, wants: &mut RequestsByLender) {
        let grace = self.settings.reach_grace;
        let server = &self.servers[index];
        let lender = self.peers.choose_lender(&server.id, &server.region, self.now, grace);
        self.set_limit(index);
        if lender != self.servers[index].lender {
            self.change_lender(index, lender);
            let server = &self.servers[index];
            let (total, batch) = (server.credit.total, server.credit.batch);
            if total > 0 {
                self.add_credit_request(index, total, batch, wants);
            }
        }
        self.update_indexes(index);
    }

    /// Switches a backend server to another lender. A new lender lends nothing new until loans of
    /// its predecessor have expired, unless it is the only entry VM.
    fn change_lender(&mut self, index: usize, lender: Option<Incarnation>) {
        let settled = self.now + lender_term(self.settings.credit_term);
        let alone = self.peers.live_count() == 1;
        let term = self.settings.credit_term;
        let server = &mut self.servers[index];
        server.lender = lender;
        server.credit.recall_limit = None;
        server.credit.granted_serial = server.credit.serial;
        if server.loans.take().is_some() {
            server.credit.total = server.used;
            server.credit.batch = server.used_batch;
            server.credit.expires_at = self.now + term;
        }
        server.credit.wanted = server.credit.total;
        if lender == Some(self.me) {
            let settled_at = if alone { self.now } else { settled };
            server.loans = Some(LoanTable::new(settled_at));
            server.credit.expires_at = server.credit.expires_at.max(settled_at);
            self.borrowed.remove(&index);
            self.settling.insert(index);
        }
    }

    /// Divides the connections of a backend server evenly among the entry VMs.
    fn set_limit(&mut self, index: usize) {
        let count = self.peers.live_count();
        let server = &mut self.servers[index];
        let connections = (server.connections / count).max(1);
        if server.connection_limit != connections {
            server.connection_limit = connections;
            let backend = server.id.clone();
            self.out.push(Action::Limit { backend, connections });
        }
    }

    /// Drops the loans of an entry VM whose process has ended.
    pub(crate) fn remove_borrower(&mut self, peer: Incarnation) {
        for index in 0..self.servers.len() {
            if let Some(loans) = &mut self.servers[index].loans {
                loans.remove_borrower(peer);
            }
        }
    }

    /// Handles a pause of the process longer than the credit term, during which a peer may have
    /// become lender: like a new lender, this one lends nothing and uses no more than before until
    /// loans of the other have expired.
    pub(crate) fn handle_process_pause(&mut self) {
        if self.peers.live_count() == 1 {
            return;
        }
        let settled = self.now + lender_term(self.settings.credit_term);
        for index in 0..self.servers.len() {
            let server = &mut self.servers[index];
            if server.loans.is_none() {
                continue;
            }
            server.loans = Some(LoanTable::new(settled));
            server.credit.total = server.used;
            server.credit.batch = server.used_batch;
            server.credit.expires_at = settled;
            self.settling.insert(index);
            self.update_indexes(index);
        }
    }

    /// Whether the peer is reachable now.
    pub(crate) fn is_up(&self, peer: Incarnation) -> bool {
        self.peers.reach(peer) == Reach::Up
    }
}
