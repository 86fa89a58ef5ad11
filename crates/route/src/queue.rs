//! Queue of one pool and lane: weighted fair queueing among client accounts, earliest deadline
//! first within a quantum.
//!
//! Each account has a virtual time that advances by the slot time it receives, divided by its
//! weight. Accounts at most a quantum ahead of the one furthest behind are eligible, and among them
//! the request with the earliest deadline goes next. Without saturation the order is therefore
//! earliest deadline first.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use model::RequestId;
use model::Time;

/// Virtual time in microseconds by which an eligible account may be ahead of the one furthest
/// behind; equal to slot time at weight 1.
const QUANTUM_MICROS: u64 = 100_000;

/// A queued request, ordered by deadline.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Waiting {
    /// Time at which its caller gives up.
    pub(crate) deadline: Time,
    /// The request.
    pub(crate) id: RequestId,
}

/// Queued requests and virtual time of one client account.
#[derive(Debug, Default)]
struct AccountQueue {
    /// Slot time received in microseconds, divided by the weight.
    virtual_time: u64,
    weight: u64,
    /// Expected slot time of the queued requests in microseconds.
    work: u64,
    order: BTreeSet<Waiting>,
}

/// Queued requests of one pool and lane.
#[derive(Debug, Default)]
pub(crate) struct Queue {
    accounts: BTreeMap<usize, AccountQueue>,
    /// Accounts with queued requests.
    active: BTreeSet<usize>,
    /// Lowest virtual time at which an account that was idle starts again.
    virtual_floor: u64,
    len: usize,
    work: u64,
    /// Sum of the weights of the active accounts.
    total_weight: u64,
}

impl Queue {
    /// Number of queued requests.
    pub(crate) fn len(&self) -> usize {
        self.len
    }

    /// Expected slot time in microseconds to be served before a new request of `account`.
    pub(crate) fn work_ahead(&self, account: usize, weight: u32) -> u64 {
        let Some(queue) = self.accounts.get(&account).filter(|queue| !queue.order.is_empty())
        else {
            return 0;
        };
        let own = queue.work.saturating_mul(self.total_weight) / u64::from(weight.max(1));
        own.min(self.work)
    }

    /// Expected slot time of all queued requests in microseconds.
    pub(crate) fn work(&self) -> u64 {
        self.work
    }

    /// Adds a request whose expected slot time is `cost` microseconds.
    pub(crate) fn push(&mut self, account: usize, weight: u32, waiting: Waiting, cost: u64) {
        let queue = self.accounts.entry(account).or_default();
        if queue.order.is_empty() {
            queue.weight = u64::from(weight.max(1));
            queue.virtual_time = queue.virtual_time.max(self.virtual_floor);
            self.active.insert(account);
            self.total_weight += queue.weight;
        }
        let new = queue.order.insert(waiting);
        assert!(new, "request {} is queued twice", waiting.id);
        queue.work += cost;
        self.len += 1;
        self.work += cost;
    }

    /// Removes a request; returns whether it was queued.
    pub(crate) fn remove(&mut self, account: usize, waiting: Waiting, cost: u64) -> bool {
        let Some(queue) = self.accounts.get_mut(&account) else { return false };
        if !queue.order.remove(&waiting) {
            return false;
        }
        queue.work = queue.work.saturating_sub(cost);
        if queue.order.is_empty() {
            self.active.remove(&account);
            self.total_weight -= queue.weight;
        }
        self.len -= 1;
        self.work = self.work.saturating_sub(cost);
        true
    }

    /// The request to dispatch next.
    pub(crate) fn next(&mut self) -> Option<Waiting> {
        let accounts = &self.accounts;
        let least = self.active.iter().map(|account| accounts[account].virtual_time).min()?;
        self.virtual_floor = self.virtual_floor.max(least);
        let eligible = |account: &&usize| accounts[*account].virtual_time <= least + QUANTUM_MICROS;
        let heads = self.active.iter().filter(eligible).map(|account| &accounts[account].order);
        heads.filter_map(BTreeSet::first).min().copied()
    }

    /// The request with the latest deadline.
    pub(crate) fn latest_deadline(&self) -> Option<Waiting> {
        let accounts = self.active.iter().map(|account| &self.accounts[account].order);
        accounts.filter_map(BTreeSet::last).max().copied()
    }

    /// Charges `account` with slot time in microseconds; a negative value is a refund.
    pub(crate) fn charge(&mut self, account: usize, micros: i64) {
        let Some(queue) = self.accounts.get_mut(&account) else { return };
        let share = micros / i64::try_from(queue.weight.max(1)).unwrap_or(i64::MAX);
        queue.virtual_time = queue.virtual_time.saturating_add_signed(share);
    }

    /// Ids of all queued requests, in no particular order.
    pub(crate) fn ids(&self) -> Vec<RequestId> {
        let orders = self.accounts.values().flat_map(|queue| &queue.order);
        orders.map(|waiting| waiting.id).collect()
    }

    /// Accounts with queued requests, and how many each has.
    pub(crate) fn account_lengths(&self) -> impl Iterator<Item = (usize, usize)> {
        self.active.iter().map(|account| (*account, self.accounts[account].order.len()))
    }
}
