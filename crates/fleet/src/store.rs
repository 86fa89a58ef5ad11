//! Store access of the state machine: lease, listings and reads.

use std::sync::Arc;
use std::time::Duration;

use crate::Action;
use crate::Fleet;
use crate::StoreOutcome;
use crate::StoreRequest;
use crate::calls::PendingCall;
use crate::machine::Lease;
use crate::machine::Lifecycle;
use crate::shard::ShardState;
use model::Revision;
use model::Time;

/// Share of a lease's time to live during which its holder relies on it.
const USABLE_TTL_SHARE: f64 = 0.9;

impl Fleet {
    /// Gives up the lease and all shards once the lease may have expired.
    pub(crate) fn expire_lease(&mut self, out: &mut Vec<Action>) {
        if self.lease.is_some_and(|lease| self.now >= lease.valid_until) {
            self.lose_lease(out);
        }
    }

    fn lose_lease(&mut self, out: &mut Vec<Action>) {
        self.lease = None;
        self.disown_all(out);
    }

    /// Makes the store calls that are due, most urgent first.
    pub(crate) fn run_store_calls(&mut self, out: &mut Vec<Action>) {
        while let Some(call) = self.calls.overdue(self.now) {
            self.handle_outcome(call, StoreOutcome::Failed, out);
        }
        if self.lifecycle == Lifecycle::Ended {
            return;
        }
        self.update_watch(out);
        self.maintain_lease(out);
        self.list_if_due(out);
        self.read_if_due(out);
    }

    fn update_watch(&mut self, out: &mut Vec<Action>) {
        let relay = self.is_relay();
        if relay != self.watching {
            self.watching = relay;
            out.push(Action::Watch(relay));
        }
    }

    fn maintain_lease(&mut self, out: &mut Vec<Action>) {
        // The first listing shows the size of the fleet, which determines the lease's time to live.
        let first = self.last_listed.is_none() && self.lease_count == 0;
        let renew = self.lease.map(|lease| lease.renew_at);
        if renew.is_none() && !first && !self.calls.is_joining() {
            let ttl = self.store_intervals().ttl();
            self.call(StoreRequest::Join { ttl }, out);
        }
        let due = renew.is_some_and(|at| self.now >= at);
        if !due || self.calls.is_pending(&StoreRequest::Renew) || self.calls.is_joining() {
            return;
        }
        let ttl = self.store_intervals().ttl();
        if self.is_lease_too_short(ttl) {
            self.call(StoreRequest::Join { ttl }, out);
        } else {
            self.call(StoreRequest::Renew, out);
        }
    }

    /// Whether the lease is much shorter than the fleet's size requires. False while a shard is
    /// held, since a new lease would abandon the shard's key.
    fn is_lease_too_short(&self, ttl: Duration) -> bool {
        let short = self.lease.is_some_and(|lease| lease.ttl * 2 <= ttl);
        short && self.local_shards.values().all(|h| h.state() == ShardState::Free)
    }

    fn list_if_due(&mut self, out: &mut Vec<Action>) {
        let due = self.last_listed.is_none() || self.is_relay();
        let idle = !self.calls.is_pending(&StoreRequest::List);
        if due && idle && self.now >= self.next_list && self.call(StoreRequest::List, out) {
            self.next_list = self.now + self.jittered(self.store_intervals().list, 0.2);
        }
    }

    fn read_if_due(&mut self, out: &mut Vec<Action>) {
        let due = self.revision() == Revision(0) || self.is_relay();
        let idle = !self.calls.is_pending(&StoreRequest::Read);
        if due && idle && self.now >= self.next_read && self.call(StoreRequest::Read, out) {
            self.next_read = self.now + self.jittered(self.store_intervals().read, 0.2);
        }
    }

    /// Handles the outcome of a store call.
    pub(crate) fn handle_outcome(
        &mut self,
        call: u64,
        outcome: StoreOutcome,
        out: &mut Vec<Action>,
    ) {
        let Some(pending) = self.calls.finish(call) else { return };
        match outcome {
            StoreOutcome::Failed => {
                let jitter = self.random();
                self.calls.record_failure(self.now, jitter);
            }
            _ => self.calls.record_answer(self.now),
        }
        self.apply_outcome(&pending, outcome, out);
    }

    fn apply_outcome(
        &mut self,
        pending: &PendingCall,
        outcome: StoreOutcome,
        out: &mut Vec<Action>,
    ) {
        match (&pending.request, outcome) {
            (StoreRequest::Join { ttl }, StoreOutcome::Done) => {
                self.lease_count += 1;
                let renew_at = pending.sent_at + *ttl / 3;
                let valid_until = pending.sent_at + ttl.mul_f64(USABLE_TTL_SHARE);
                let requested_at = pending.sent_at;
                self.lease = Some(Lease {
                    requested_at,
                    valid_until,
                    ttl: *ttl,
                    renew_at,
                    term: self.lease_count,
                });
                self.expire_lease(out);
            }
            (StoreRequest::Renew, StoreOutcome::Done) if self.is_under_current_lease(pending) => {
                self.extend_lease(pending.sent_at);
            }
            (StoreRequest::Renew, StoreOutcome::LeaseGone)
                if self.is_under_current_lease(pending) =>
            {
                self.lose_lease(out);
            }
            (StoreRequest::List, StoreOutcome::Listed { members, owners }) => {
                self.last_listed = Some(self.now);
                self.record_member_listing(&members);
                self.reconcile_owner_listing(&owners, pending.view_change, out);
            }
            (StoreRequest::Read, StoreOutcome::Text { revision, text }) => {
                self.adopt_text(revision, &text, out);
                self.replica.record_check(revision, pending.sent_at);
            }
            (StoreRequest::Claim { shard, .. }, outcome) => self.handle_claim(shard, outcome, out),
            (StoreRequest::Release { shard, .. }, outcome) => self.handle_release(shard, &outcome),
            _ => {}
        }
    }

    /// Whether a call was made under the current lease.
    fn is_under_current_lease(&self, pending: &PendingCall) -> bool {
        self.lease.is_some_and(|lease| pending.sent_at >= lease.requested_at)
    }

    fn extend_lease(&mut self, sent: Time) {
        if let Some(lease) = &mut self.lease {
            lease.valid_until = lease.valid_until.max(sent + lease.ttl.mul_f64(USABLE_TTL_SHARE));
            lease.renew_at = sent + lease.ttl / 3;
        }
    }

    /// Puts a text in force if its revision is higher; the text must have been stored.
    pub(crate) fn adopt_text(
        &mut self,
        revision: Revision,
        text: &Arc<str>,
        out: &mut Vec<Action>,
    ) {
        if !self.replica.adopt(revision, text) {
            return;
        }
        if let Some(me) = self.view.members.get_mut(&self.me.incarnation) {
            me.revision = revision;
        }
        out.push(Action::Adopt { revision, text: text.clone() });
        // Other members of the zone get the revision from the relay, or with the next heartbeat.
        if self.is_relay() {
            self.schedule_text_flush();
        }
    }
}
