//! State machine of one entry VM: its state and the handling of events.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::Action;
use crate::Event;
use crate::Member;
use crate::Phase;
use crate::Shard;
use crate::StoreIntervals;
use crate::StoreRequest;
use crate::VmEntry;
use crate::beats::Link;
use crate::calls::StoreCalls;
use crate::shard::LocalShard;
use crate::spread::TextReplica;
use crate::tuning::FLUSH_DELAY;
use crate::tuning::HEARTBEAT_INTERVAL;
use crate::tuning::TEXT_FLUSH_GAP;
use crate::tuning::TICK_INTERVAL;
use crate::tuning::VIEW_FLUSH_GAP;
use crate::view::View;
use model::Epoch;
use model::Incarnation;
use model::Revision;
use model::ShardId;
use model::Time;

/// Store lease of one entry VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Lease {
    /// When it was requested.
    pub(crate) requested_at: Time,
    /// Time until which the lease is certainly valid, by this process's clock.
    pub(crate) valid_until: Time,
    pub(crate) ttl: Duration,
    pub(crate) renew_at: Time,
    /// Number of this lease among those of the process, from 1.
    pub(crate) term: u64,
}

/// Stage in the life cycle of this process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Lifecycle {
    Serving,
    Leaving,
    Ended,
}

/// State machine of one entry VM.
#[derive(Clone, Debug)]
pub struct Fleet {
    pub(crate) me: Member,
    pub(crate) now: Time,
    pub(crate) lifecycle: Lifecycle,
    pub(crate) view: View,
    pub(crate) links: BTreeMap<Incarnation, Link>,
    pub(crate) replica: TextReplica,
    pub(crate) calls: StoreCalls,
    pub(crate) lease: Option<Lease>,
    pub(crate) lease_count: u64,
    pub(crate) shards: BTreeMap<ShardId, Shard>,
    pub(crate) local_shards: BTreeMap<ShardId, LocalShard>,
    pub(crate) vms: Vec<VmEntry>,
    pub(crate) watching: bool,
    pub(crate) next_read: Time,
    pub(crate) next_list: Time,
    pub(crate) last_listed: Option<Time>,
    pub(crate) next_heartbeat: Time,
    pub(crate) next_tick: Time,
    pub(crate) flush_at: Option<Time>,
    pub(crate) last_flush: Time,
    pub(crate) greeting_count: usize,
    rng: SmallRng,
}

impl Fleet {
    /// Creates the state machine of `me`; `seed` determines its random choices.
    pub fn new(me: Member, seed: u64) -> Fleet {
        let mut view = View::default();
        view.merge_member(&me, Phase::Serving, Time::ZERO);
        Fleet {
            me,
            now: Time::ZERO,
            lifecycle: Lifecycle::Serving,
            view,
            links: BTreeMap::new(),
            replica: TextReplica::default(),
            calls: StoreCalls::default(),
            lease: None,
            lease_count: 0,
            shards: BTreeMap::new(),
            local_shards: BTreeMap::new(),
            vms: Vec::new(),
            watching: false,
            next_read: Time::ZERO,
            next_list: Time::ZERO,
            last_listed: None,
            next_heartbeat: Time::ZERO,
            next_tick: Time::ZERO,
            flush_at: None,
            last_flush: Time::ZERO,
            greeting_count: 0,
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// Handles an event and appends the resulting actions to `out`.
    ///
    /// # Panics
    ///
    /// Panics if an invariant is broken or `now` is earlier than at a previous call.
    pub fn handle(&mut self, now: Time, event: Event, out: &mut Vec<Action>) {
        assert!(now >= self.now, "time went back from {} to {now}", self.now);
        self.now = now;
        if self.lifecycle == Lifecycle::Ended {
            return;
        }
        self.expire_lease(out);
        self.handle_event(event, out);
        self.run_due(out);
        self.check_invariants();
    }

    fn handle_event(&mut self, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::Message { from, message } => self.handle_message(from, message, out),
            Event::Store { call, outcome } => self.handle_outcome(call, outcome, out),
            Event::TextSeen { revision, text } => self.adopt_text(revision, &text, out),
            Event::MemberSeen(member) => self.record_member_key(&member),
            Event::MemberLapsed(incarnation) => self.record_member_lapse(incarnation),
            Event::OwnerSeen(ownership) => self.merge_owner(&ownership, out),
            Event::OwnerLapsed { shard, version } => self.lapse_owner(&shard, version, out),
            Event::VmList(entries) => self.update_vm_list(entries),
            Event::Shards(shards) => self.update_shards(shards, out),
            Event::Drain => self.drain(out),
            Event::Finished => self.leave(out),
            Event::Tick => {}
        }
    }

    /// Time by which [`Fleet::handle`] must be called again; `None` once the process has ended.
    pub fn next_wake(&self) -> Option<Time> {
        if self.lifecycle == Lifecycle::Ended {
            return None;
        }
        let flush = self.flush_at.unwrap_or(Time::NEVER);
        Some(self.next_tick.min(self.next_heartbeat).min(flush).max(self.now))
    }

    /// The member that this state machine runs.
    pub fn me(&self) -> &Member {
        &self.me
    }

    /// Revision in force; 0 if there is none.
    pub fn revision(&self) -> Revision {
        self.replica.revision()
    }

    /// Epoch in which this entry VM may decide for `shard` at `now`; `None` if it does not own it.
    ///
    /// Must be called before each decision: the lease may have lapsed without an event while the
    /// process was paused.
    pub fn epoch(&self, now: Time, shard: &ShardId) -> Option<Epoch> {
        let valid = self.lease.is_some_and(|lease| now < lease.valid_until);
        self.local_shards.get(shard).filter(|_| valid)?.owned_epoch()
    }

    fn run_due(&mut self, out: &mut Vec<Action>) {
        if self.lifecycle == Lifecycle::Ended {
            return;
        }
        if self.now >= self.next_tick {
            self.next_tick = self.now + TICK_INTERVAL;
            self.evaluate_members(out);
            self.publish_zone_report();
            self.run_store_calls(out);
            self.reconcile_shards(out);
            self.replica.expire_fetch(self.now, |peer| !self.view.members.contains_key(&peer));
        }
        if self.now >= self.next_heartbeat {
            self.next_heartbeat = self.now + self.jittered(HEARTBEAT_INTERVAL, 0.1);
            self.flush_at = None;
            self.send_heartbeats(out);
            self.send_greetings(out);
        }
        if self.flush_at.is_some_and(|at| self.now >= at) {
            self.flush_at = None;
            self.last_flush = self.now;
            self.send_heartbeats(out);
        }
    }

    /// Schedules an early heartbeat because a new configuration is in force.
    pub(crate) fn schedule_text_flush(&mut self) {
        self.schedule_flush(TEXT_FLUSH_GAP);
    }

    /// Schedules an early heartbeat because the view has changed.
    pub(crate) fn schedule_view_flush(&mut self) {
        self.schedule_flush(VIEW_FLUSH_GAP);
    }

    fn schedule_flush(&mut self, gap: Duration) {
        let at = (self.now + FLUSH_DELAY).max(self.last_flush + gap);
        self.flush_at = Some(self.flush_at.map_or(at, |flush| flush.min(at)));
    }

    /// Returns `span`, lengthened or shortened at random by at most the fraction `share`.
    pub(crate) fn jittered(&mut self, span: Duration, share: f64) -> Duration {
        span.mul_f64(1.0 - share + 2.0 * share * self.random())
    }

    pub(crate) fn random(&mut self) -> f64 {
        self.rng.random()
    }

    /// Intervals between store calls for the known size of the fleet.
    pub(crate) fn store_intervals(&self) -> StoreIntervals {
        let (members, zones) = self.view.member_and_zone_counts();
        StoreIntervals::new(members.max(self.vms.len()), zones)
    }

    /// Starts a store call unless the rate limit or backoff forbids it. Returns whether it started.
    pub(crate) fn call(&mut self, request: StoreRequest, out: &mut Vec<Action>) -> bool {
        let Some(call) = self.calls.start(self.now, &request, self.view.last_change) else {
            return false;
        };
        out.push(Action::Store { call, request });
        true
    }

    fn check_invariants(&self) {
        self.replica.check_invariants();
        let gone = self.view.members[&self.me.incarnation].phase == Phase::Gone;
        assert!(
            !gone || self.lifecycle == Lifecycle::Ended,
            "a member declared gone is still acting"
        );
        for (shard, local) in &self.local_shards {
            let Some(epoch) = local.owned_epoch() else { continue };
            let valid = self.lease.is_some_and(|lease| self.now < lease.valid_until);
            assert!(valid, "shard {shard} is owned without a lease");
            let known = self.view.owners.get(shard).map(|owner| &owner.ownership);
            let mine = known.is_some_and(|o| o.owner == self.me.incarnation && o.epoch == epoch);
            assert!(mine, "shard {shard} is owned in epoch {epoch}, known as {known:?}");
        }
    }
}
