//! The lender's table of slot loans of one backend server.
//!
//! Each credit request carries an increasing serial and commits the borrower to use no more than
//! the total that it names. The table never records less for a borrower than that borrower may use:
//! a loan shrinks only by a request or by expiry, and the borrower counts the term from an earlier
//! time than the lender does. The sum over all borrowers never exceeds the slots.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::CreditGrant;
use crate::CreditRequest;
use model::Incarnation;
use model::Time;

/// Slots of a backend server, and how many of them batch work may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Supply {
    pub(crate) slots: u32,
    pub(crate) batch: u32,
}

/// Slots that the lender itself uses, and its demand.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Usage {
    pub(crate) total: u32,
    pub(crate) batch: u32,
    /// Whether requests are queued at the lender for more slots.
    pub(crate) has_demand: bool,
}

/// Slots lent to one borrower.
#[derive(Clone, Debug)]
struct Loan {
    /// Serial of the request that this loan answers.
    serial: u64,
    total: u32,
    batch: u32,
    expires_at: Time,
    /// Slots requested; more than `total` if not all could be lent.
    want: u32,
    want_batch: u32,
    /// Whether a recall was sent since the last request.
    recalled: bool,
}

impl Loan {
    fn wants_more(&self) -> bool {
        self.total < self.want
    }
}

/// Loans of one backend server by borrower.
#[derive(Clone, Debug, Default)]
pub(crate) struct LoanTable {
    /// Time from which new loans are made; before, only credits from the previous lender are
    /// confirmed.
    pub(crate) settled_at: Time,
    loans: BTreeMap<Incarnation, Loan>,
}

impl LoanTable {
    /// Creates a table that makes no new loans before `settled_at`.
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

    /// Whether there are no borrowers, waiting ones included.
    pub(crate) fn is_empty(&self) -> bool {
        self.loans.is_empty()
    }

    /// Entry VMs that borrow or wait to borrow.
    pub(crate) fn borrowers(&self) -> Vec<Incarnation> {
        self.loans.keys().copied().collect()
    }

    /// Handles a credit request. Returns `None` for one that a later request has overtaken.
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
        let previous = old.map_or((0, 0), |loan| (loan.total, loan.batch));
        let claim = if settling { (want.held, want.batch_held) } else { (0, 0) };
        let lender_use = if settling { usage.total } else { 0 };
        let room = supply.slots.saturating_sub(self.lent()).saturating_sub(lender_use);
        let floor = previous.0.max(claim.0).min(want.total).min(room);
        let idle = room.saturating_sub(floor).saturating_sub(usage.total);
        let lender_first = usage.has_demand && floor >= usage.total;
        let extra = if settling || lender_first { 0 } else { idle };
        let total = want.total.min(floor + extra);
        let batch_room = supply.batch.saturating_sub(self.lent_batch());
        let batch_floor = previous.1.max(claim.1).min(want.batch).min(batch_room);
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
        assert!(self.lent() <= supply.slots, "more slots are lent than the backend server has");
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

    /// Removes loans that have expired.
    pub(crate) fn remove_expired(&mut self, now: Time) {
        self.loans.retain(|_, loan| now < loan.expires_at);
    }

    /// Removes the loan of a borrower whose process has ended.
    pub(crate) fn remove_borrower(&mut self, borrower: Incarnation) {
        self.loans.remove(&borrower);
    }

    /// Lends a free slot to the waiting borrower with the fewest slots. Returns the borrower with
    /// the serial, total and batch part of its loan, or `None` if no slot is free or the lender
    /// itself waits with no more slots than that borrower.
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
        let can_lend = |loan: &Loan| {
            let wants_interactive =
                loan.total - loan.batch < loan.want.saturating_sub(loan.want_batch);
            loan.wants_more() && (wants_interactive || batch_room && loan.batch < loan.want_batch)
        };
        let candidates = self.loans.iter_mut().filter(|(_, loan)| can_lend(loan));
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

    /// Chooses the borrower with the most slots to return one for an entry VM that has `least`
    /// slots. Returns it with the number that it may keep, or `None` if it was asked already or has
    /// at most one slot more.
    pub(crate) fn recall(&mut self, least: u32) -> Option<(Incarnation, u32)> {
        let (borrower, loan) = self.loans.iter_mut().max_by_key(|(_, loan)| loan.total)?;
        if loan.recalled || loan.total <= least + 1 {
            return None;
        }
        loan.recalled = true;
        Some((*borrower, loan.total - 1))
    }

    /// Fewest slots of any borrower that waits for more; `None` if none waits.
    pub(crate) fn least_unmet(&self) -> Option<u32> {
        self.loans.values().filter(|loan| loan.wants_more()).map(|loan| loan.total).min()
    }
}

/// Term of a loan at the lender: a quarter longer than at the borrower, which must stop first.
pub(crate) fn lender_term(term: Duration) -> Duration {
    term + term / 4
}
