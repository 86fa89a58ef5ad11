//! The lender's book of one backend server's slots.
//!
//! Each ask carries a serial that rises and commits the borrower to use no more than the total it
//! names. The book never records less for a borrower than that borrower may use: an entry shrinks
//! only by an ask or by lapse, and the borrower counts the term from an earlier time than the
//! lender. The sum over all borrowers never exceeds the slots.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::CreditGrant;
use crate::CreditRequest;
use model::Incarnation;
use model::Time;

/// Slots of a backend server and how many of them batch work may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Supply {
    pub(crate) slots: u32,
    pub(crate) batch: u32,
}

/// Slots that the lender itself uses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Usage {
    pub(crate) total: u32,
    pub(crate) batch: u32,
    /// Whether work waits at the lender for more.
    pub(crate) has_demand: bool,
}

#[derive(Clone, Debug)]
struct Loan {
    serial: u64,
    total: u32,
    batch: u32,
    expires_at: Time,
    want: u32,
    want_batch: u32,
    recalled: bool,
}

impl Loan {
    fn wants_more(&self) -> bool {
        self.total < self.want
    }
}

/// Loans of one backend server.
#[derive(Clone, Debug, Default)]
pub(crate) struct LoanTable {
    /// Until then only credits of the previous lender are confirmed.
    pub(crate) settled_at: Time,
    loans: BTreeMap<Incarnation, Loan>,
}

impl LoanTable {
    /// A book that lends nothing new before `settled`.
    pub(crate) fn new(settled_at: Time) -> LoanTable {
        LoanTable { settled_at, loans: BTreeMap::new() }
    }

    /// Slots lent to others.
    pub(crate) fn lent(&self) -> u32 {
        self.loans.values().map(|loan| loan.total).sum()
    }

    /// Slots lent to others that batch work may use.
    pub(crate) fn lent_batch(&self) -> u32 {
        self.loans.values().map(|loan| loan.batch).sum()
    }

    /// Whether nobody borrows or wants to.
    pub(crate) fn is_empty(&self) -> bool {
        self.loans.is_empty()
    }

    /// Entry VMs that borrow or want to.
    pub(crate) fn borrowers(&self) -> Vec<Incarnation> {
        self.loans.keys().copied().collect()
    }

    /// Takes in an ask; nothing for one that is overtaken.
    pub(crate) fn handle_request(
        &mut self,
        from: Incarnation,
        want: &CreditRequest,
        supply: Supply,
        usage: Usage,
        expires_at: Time,
        now: Time,
    ) -> Option<CreditGrant> {
        let old = self.loans.remove(&from);
        if let Some(loan) = &old
            && loan.serial >= want.serial
        {
            self.loans.insert(from, loan.clone());
            return None;
        }
        let settling = now < self.settled_at;
        let last = old.map_or((0, 0), |loan| (loan.total, loan.batch));
        let claim = if settling { (want.held, want.batch_held) } else { (0, 0) };
        let own = if settling { usage.total } else { 0 };
        let room = supply.slots.saturating_sub(self.lent()).saturating_sub(own);
        let floor = last.0.max(claim.0).min(want.total).min(room);
        let idle = room.saturating_sub(floor).saturating_sub(usage.total);
        let own_turn = usage.has_demand && floor >= usage.total;
        let extra = if settling || own_turn { 0 } else { idle };
        let total = want.total.min(floor + extra);
        let batch_room = supply.batch.saturating_sub(self.lent_batch());
        let batch_floor = last.1.max(claim.1).min(want.batch).min(batch_room);
        let batch_idle = batch_room.saturating_sub(batch_floor).saturating_sub(usage.batch);
        let batch_extra = if settling { 0 } else { batch_idle };
        let batch = want.batch.min(batch_floor + batch_extra).min(total);
        let loan = Loan {
            serial: want.serial,
            total,
            batch,
            expires_at,
            want: want.total,
            want_batch: want.batch,
            recalled: false,
        };
        self.loans.insert(from, loan);
        assert!(self.lent() <= supply.slots, "more slots lent than there are");
        self.grant(from, want)
    }

    fn grant(&self, to: Incarnation, want: &CreditRequest) -> Option<CreditGrant> {
        let loan = self.loans.get(&to)?;
        Some(CreditGrant {
            backend: want.backend.clone(),
            serial: loan.serial,
            total: loan.total,
            batch: loan.batch,
        })
    }

    /// Drops loans that have lapsed.
    pub(crate) fn remove_expired(&mut self, now: Time) {
        self.loans.retain(|_, loan| now < loan.expires_at);
    }

    /// Drops the loans of an incarnation that has ended.
    pub(crate) fn remove_borrower(&mut self, borrower: Incarnation) {
        self.loans.remove(&borrower);
    }

    /// Lends a free slot to the borrower that has fewest, and names it; nothing if none is free or
    /// the lender itself is worse off.
    pub(crate) fn lend_free_slot(
        &mut self,
        supply: Supply,
        usage: Usage,
        now: Time,
    ) -> Option<(Incarnation, u64, u32, u32)> {
        if now < self.settled_at || self.lent() + usage.total >= supply.slots {
            return None;
        }
        let batch_room = self.lent_batch() + usage.batch < supply.batch;
        let fits = |loan: &Loan| {
            let plain = loan.total - loan.batch < loan.want.saturating_sub(loan.want_batch);
            loan.wants_more() && (plain || batch_room && loan.batch < loan.want_batch)
        };
        let candidates = self.loans.iter_mut().filter(|(_, loan)| fits(loan));
        let (borrower, loan) = candidates.min_by_key(|(_, loan)| loan.total)?;
        if usage.has_demand && loan.total >= usage.total {
            return None;
        }
        loan.total += 1;
        if batch_room && loan.batch < loan.want_batch {
            loan.batch += 1;
        }
        Some((*borrower, loan.serial, loan.total, loan.batch))
    }

    /// The borrower that should give a slot back for somebody who has `least`, and how many it may
    /// keep.
    pub(crate) fn recall(&mut self, least: u32) -> Option<(Incarnation, u32)> {
        let (borrower, loan) = self.loans.iter_mut().max_by_key(|(_, loan)| loan.total)?;
        if loan.recalled || loan.total <= least + 1 {
            return None;
        }
        loan.recalled = true;
        Some((*borrower, loan.total - 1))
    }

    /// Fewest slots of any borrower that wants more.
    pub(crate) fn least_unmet(&self) -> Option<u32> {
        self.loans.values().filter(|loan| loan.wants_more()).map(|loan| loan.total).min()
    }
}

/// Term of a loan at the lender, longer than at the borrower.
pub(crate) fn lender_term(term: Duration) -> Duration {
    term + term / 4
}
