//! The store as the machine uses it: lease, listings, reads.

use std::sync::Arc;
use std::time::Duration;

use crate::Action;
use crate::Fleet;
use crate::StoreOutcome;
use crate::StoreRequest;
use crate::calls::Pending;
use crate::machine::Lease;
use crate::machine::Life;
use crate::shard::ShardState;
use model::Revision;
use model::Time;

/// Share of a lease's time to live that its holder relies on.
const RELIANCE: f64 = 0.9;

impl Fleet {
    /// Lets go of everything that rests on a lease that may have lapsed.
    pub(crate) fn expire_lease(&mut self, out: &mut Vec<Action>) {
        if self.lease.is_some_and(|lease| self.now >= lease.until) {
            self.lose_lease(out);
        }
    }

    fn lose_lease(&mut self, out: &mut Vec<Action>) {
        self.lease = None;
        self.disown_all(out);
    }

    /// Makes the store calls that are due, the most urgent first.
    pub(crate) fn run_store(&mut self, out: &mut Vec<Action>) {
        while let Some(call) = self.calls.overdue(self.now) {
            self.take_outcome(call, StoreOutcome::Failed, out);
        }
        if self.life == Life::Ended {
            return;
        }
        self.watch(out);
        self.hold_lease(out);
        self.list(out);
        self.read(out);
    }

    fn watch(&mut self, out: &mut Vec<Action>) {
        let relay = self.is_relay();
        if relay != self.watching {
            self.watching = relay;
            out.push(Action::Watch(relay));
        }
    }

    fn hold_lease(&mut self, out: &mut Vec<Action>) {
        // The first listing tells how large the fleet is, and with it how long a lease has to be.
        let first = self.listed.is_none() && self.terms == 0;
        let renew = self.lease.map(|lease| lease.renew);
        if renew.is_none() && !first && !self.calls.is_joining() {
            let ttl = self.pace().ttl();
            self.call(StoreRequest::Join { ttl }, out);
        }
        let due = renew.is_some_and(|at| self.now >= at);
        if !due || self.calls.is_pending(&StoreRequest::Renew) || self.calls.is_joining() {
            return;
        }
        let ttl = self.pace().ttl();
        if self.is_short(ttl) {
            self.call(StoreRequest::Join { ttl }, out);
        } else {
            self.call(StoreRequest::Renew, out);
        }
    }

    /// Whether the lease is much shorter than the fleet's size asks for, and nothing but the
    /// member's own key hangs on it.
    fn is_short(&self, ttl: Duration) -> bool {
        let short = self.lease.is_some_and(|lease| lease.ttl * 2 <= ttl);
        short && self.holdings.values().all(|h| h.state() == ShardState::Free)
    }

    fn list(&mut self, out: &mut Vec<Action>) {
        let due = self.listed.is_none() || self.is_relay();
        let idle = !self.calls.is_pending(&StoreRequest::List);
        if due && idle && self.now >= self.next_list && self.call(StoreRequest::List, out) {
            self.next_list = self.now + self.jittered(self.pace().list, 0.2);
        }
    }

    fn read(&mut self, out: &mut Vec<Action>) {
        let due = self.revision() == Revision(0) || self.is_relay();
        let idle = !self.calls.is_pending(&StoreRequest::Read);
        if due && idle && self.now >= self.next_read && self.call(StoreRequest::Read, out) {
            self.next_read = self.now + self.jittered(self.pace().read, 0.2);
        }
    }

    /// Takes the outcome of a store call.
    pub(crate) fn take_outcome(&mut self, call: u64, outcome: StoreOutcome, out: &mut Vec<Action>) {
        let Some(pending) = self.calls.finish(call) else { return };
        match outcome {
            StoreOutcome::Failed => {
                let jitter = self.random();
                self.calls.fail(self.now, jitter);
            }
            _ => self.calls.succeed(self.now),
        }
        self.settle(&pending, outcome, out);
    }

    fn settle(&mut self, pending: &Pending, outcome: StoreOutcome, out: &mut Vec<Action>) {
        match (&pending.request, outcome) {
            (StoreRequest::Join { ttl }, StoreOutcome::Done) => {
                self.terms += 1;
                let renew = pending.sent + *ttl / 3;
                let until = pending.sent + ttl.mul_f64(RELIANCE);
                let granted = pending.sent;
                self.lease = Some(Lease { granted, until, ttl: *ttl, renew, term: self.terms });
                self.expire_lease(out);
            }
            (StoreRequest::Renew, StoreOutcome::Done) if self.is_current(pending) => {
                self.extend(pending.sent);
            }
            (StoreRequest::Renew, StoreOutcome::LeaseGone) if self.is_current(pending) => {
                self.lose_lease(out);
            }
            (StoreRequest::List, StoreOutcome::Listed { members, owners }) => {
                self.listed = Some(self.now);
                self.see_members(&members);
                self.see_owners(&owners, pending.change, out);
            }
            (StoreRequest::Read, StoreOutcome::Text { revision, text }) => {
                self.take_text(revision, &text, out);
                self.spread.confirm(revision, pending.sent);
            }
            (StoreRequest::Claim { shard, .. }, outcome) => self.take_claim(shard, outcome, out),
            (StoreRequest::Release { shard, .. }, outcome) => self.take_release(shard, &outcome),
            _ => {}
        }
    }

    /// Whether a call was made under the lease that holds now.
    fn is_current(&self, pending: &Pending) -> bool {
        self.lease.is_some_and(|lease| pending.sent >= lease.granted)
    }

    fn extend(&mut self, sent: Time) {
        if let Some(lease) = &mut self.lease {
            lease.until = lease.until.max(sent + lease.ttl.mul_f64(RELIANCE));
            lease.renew = sent + lease.ttl / 3;
        }
    }

    /// Takes a text that is known to have been stored.
    pub(crate) fn take_text(&mut self, revision: Revision, text: &Arc<str>, out: &mut Vec<Action>) {
        if !self.spread.adopt(revision, text) {
            return;
        }
        if let Some(me) = self.view.members.get_mut(&self.me.incarnation) {
            me.revision = revision;
        }
        out.push(Action::Adopt { revision, text: text.clone() });
        // The others of the zone hear of it from the relay, or else at the next heartbeat.
        if self.is_relay() {
            self.hurry_text();
        }
    }
}
