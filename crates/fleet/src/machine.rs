//! The machine of one entry VM: what it holds, and how it takes events.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::Action;
use crate::Event;
use crate::Member;
use crate::Pace;
use crate::Phase;
use crate::Shard;
use crate::StoreRequest;
use crate::VmEntry;
use crate::beats::Link;
use crate::calls::Calls;
use crate::shard::Holding;
use crate::spread::Spread;
use crate::tuning::BEAT_INTERVAL;
use crate::tuning::FLUSH_DELAY;
use crate::tuning::FLUSH_GAP;
use crate::tuning::NEWS_GAP;
use crate::tuning::TICK_INTERVAL;
use crate::view::View;
use model::Epoch;
use model::Incarnation;
use model::Revision;
use model::ShardId;
use model::Time;

/// The store lease of one entry VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Lease {
    /// When it was asked for.
    pub(crate) granted: Time,
    /// Until when it certainly holds, by this process's clock.
    pub(crate) until: Time,
    pub(crate) ttl: Duration,
    pub(crate) renew: Time,
    /// Number of leases before this one.
    pub(crate) term: u64,
}

/// How far the process is in its own life.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Life {
    Serving,
    Leaving,
    Ended,
}

/// The machine of one entry VM.
#[derive(Clone, Debug)]
pub struct Fleet {
    pub(crate) me: Member,
    pub(crate) now: Time,
    pub(crate) life: Life,
    pub(crate) view: View,
    pub(crate) links: BTreeMap<Incarnation, Link>,
    pub(crate) spread: Spread,
    pub(crate) calls: Calls,
    pub(crate) lease: Option<Lease>,
    pub(crate) terms: u64,
    pub(crate) shards: BTreeMap<ShardId, Shard>,
    pub(crate) holdings: BTreeMap<ShardId, Holding>,
    pub(crate) vms: Vec<VmEntry>,
    pub(crate) watching: bool,
    pub(crate) next_read: Time,
    pub(crate) next_list: Time,
    pub(crate) listed: Option<Time>,
    pub(crate) next_beat: Time,
    pub(crate) next_tick: Time,
    pub(crate) flush: Option<Time>,
    pub(crate) flushed: Time,
    pub(crate) greeted: usize,
    rng: SmallRng,
}

impl Fleet {
    /// Starts the machine of `me`, whose random choices follow from `seed`.
    pub fn new(me: Member, seed: u64) -> Fleet {
        let mut view = View::default();
        view.merge_member(&me, Phase::Serving, Time::ZERO);
        Fleet {
            me,
            now: Time::ZERO,
            life: Life::Serving,
            view,
            links: BTreeMap::new(),
            spread: Spread::default(),
            calls: Calls::default(),
            lease: None,
            terms: 0,
            shards: BTreeMap::new(),
            holdings: BTreeMap::new(),
            vms: Vec::new(),
            watching: false,
            next_read: Time::ZERO,
            next_list: Time::ZERO,
            listed: None,
            next_beat: Time::ZERO,
            next_tick: Time::ZERO,
            flush: None,
            flushed: Time::ZERO,
            greeted: 0,
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// Takes an event and appends what is to be done about it.
    ///
    /// # Panics
    ///
    /// An invariant is broken, or `now` is before an earlier one.
    pub fn handle(&mut self, now: Time, event: Event, out: &mut Vec<Action>) {
        assert!(now >= self.now, "time went back from {} to {now}", self.now);
        self.now = now;
        if self.life == Life::Ended {
            return;
        }
        self.expire_lease(out);
        self.take(event, out);
        self.run(out);
        self.check();
    }

    fn take(&mut self, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::Message { from, message } => self.take_message(from, message, out),
            Event::Store { call, outcome } => self.take_outcome(call, outcome, out),
            Event::TextSeen { revision, text } => self.take_text(revision, &text, out),
            Event::MemberSeen(member) => self.see_member(&member),
            Event::MemberLapsed(incarnation) => self.see_lapse(incarnation),
            Event::OwnerSeen(ownership) => self.merge_owner(&ownership, out),
            Event::OwnerLapsed { shard, version } => self.lapse_owner(&shard, version, out),
            Event::VmList(entries) => self.take_vms(entries),
            Event::Shards(shards) => self.take_shards(shards, out),
            Event::Drain => self.drain(out),
            Event::Finished => self.finish(out),
            Event::Tick => {}
        }
    }

    /// When [`Fleet::handle`] is to be called again, if nothing happens before.
    pub fn next_wake(&self) -> Option<Time> {
        if self.life == Life::Ended {
            return None;
        }
        let flush = self.flush.unwrap_or(Time::NEVER);
        Some(self.next_tick.min(self.next_beat).min(flush).max(self.now))
    }

    /// The member that this machine is.
    pub fn me(&self) -> &Member {
        &self.me
    }

    /// The revision in force, or 0.
    pub fn revision(&self) -> Revision {
        self.spread.revision()
    }

    /// Epoch in which this entry VM may decide for `shard` at `now`, if it owns it.
    ///
    /// A process that was paused has to ask before each decision: the lease may have lapsed
    /// without any event.
    pub fn epoch(&self, now: Time, shard: &ShardId) -> Option<Epoch> {
        let valid = self.lease.is_some_and(|lease| now < lease.until);
        self.holdings.get(shard).filter(|_| valid)?.owned()
    }

    fn run(&mut self, out: &mut Vec<Action>) {
        if self.life == Life::Ended {
            return;
        }
        if self.now >= self.next_tick {
            self.next_tick = self.now + TICK_INTERVAL;
            self.judge_members(out);
            self.report_zone();
            self.run_store(out);
            self.run_shards(out);
            self.spread.expire(self.now, |peer| !self.view.members.contains_key(&peer));
        }
        if self.now >= self.next_beat {
            self.next_beat = self.now + self.jittered(BEAT_INTERVAL, 0.1);
            self.flush = None;
            self.send_beats(out);
            self.greet(out);
        }
        if self.flush.is_some_and(|at| self.now >= at) {
            self.flush = None;
            self.flushed = self.now;
            self.send_beats(out);
        }
    }

    /// Sends heartbeats soon instead of at the next interval, since a text is in force.
    pub(crate) fn hurry_text(&mut self) {
        self.hurry_after(FLUSH_GAP);
    }

    /// Sends heartbeats soon instead of at the next interval, since the view has changed.
    pub(crate) fn hurry(&mut self) {
        self.hurry_after(NEWS_GAP);
    }

    fn hurry_after(&mut self, gap: Duration) {
        let at = (self.now + FLUSH_DELAY).max(self.flushed + gap);
        self.flush = Some(self.flush.map_or(at, |flush| flush.min(at)));
    }

    /// `span`, longer or shorter by at most `share`.
    pub(crate) fn jittered(&mut self, span: Duration, share: f64) -> Duration {
        span.mul_f64(1.0 - share + 2.0 * share * self.random())
    }

    pub(crate) fn random(&mut self) -> f64 {
        self.rng.random()
    }

    /// Intervals for the fleet as it is known.
    pub(crate) fn pace(&self) -> Pace {
        let (members, zones) = self.view.size();
        Pace::new(members.max(self.vms.len()), zones)
    }

    /// Makes a store call if the pace allows it. Tells whether it did.
    pub(crate) fn call(&mut self, request: StoreRequest, out: &mut Vec<Action>) -> bool {
        let Some(call) = self.calls.start(self.now, &request, self.view.change) else {
            return false;
        };
        out.push(Action::Store { call, request });
        true
    }

    fn check(&self) {
        self.spread.check();
        let gone = self.view.members[&self.me.incarnation].phase == Phase::Gone;
        assert!(!gone || self.life == Life::Ended, "a member that is gone went on");
        for (shard, holding) in &self.holdings {
            let Some(epoch) = holding.owned() else { continue };
            let valid = self.lease.is_some_and(|lease| self.now < lease.until);
            assert!(valid, "shard {shard} is owned without a lease");
            let known = self.view.owners.get(shard).map(|owner| &owner.ownership);
            let mine = known.is_some_and(|o| o.owner == self.me.incarnation && o.epoch == epoch);
            assert!(mine, "shard {shard} is owned in epoch {epoch}, known as {known:?}");
        }
    }
}
