//! The router state machine: its state, its timers and the dispatch of events to handlers.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::Action;
use crate::Event;
use crate::Message;
use crate::Peer;
use crate::Policy;
use crate::PoolId;
use crate::Reason;
use crate::Settings;
use crate::Ticket;
use crate::backends::LocalSignal;
use crate::budget::TokenBucket;
use crate::catalog::Catalog;
use crate::drain::Drain;
use crate::forwarding::Forward;
use crate::forwarding::InheritedHome;
use crate::forwarding::Inquiry;
use crate::ledger::Ledger;
use crate::lifecycle::Charts;
use crate::peers::Peers;
use crate::server::Pool;
use crate::server::Server;
use crate::table::Table;
use crate::table::Waiter;
use model::BackendId;
use model::Incarnation;
use model::RegionId;
use model::RequestId;
use model::Time;
use model::Verdict;
use model::VmId;
use model::ZoneId;

/// What is due when a timer fires.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Timer {
    Request(RequestId),
    Forward(RequestId),
    Inquiry(RequestId),
    Server(usize),
    Maintenance,
}

/// Counters since the start.
#[derive(Debug, Default)]
pub(crate) struct Totals {
    pub(crate) answers: BTreeMap<(Verdict, Reason), u64>,
    pub(crate) retries: u64,
    pub(crate) hedges: u64,
    pub(crate) link_bytes: u64,
}

/// Request router of one incarnation of an entry VM.
#[derive(Debug)]
pub struct Router {
    pub(crate) settings: Settings,
    pub(crate) me: Incarnation,
    pub(crate) zone: ZoneId,
    pub(crate) region: RegionId,
    pub(crate) rng: StdRng,
    pub(crate) charts: Charts,
    pub(crate) now: Time,
    /// Time of the first event.
    pub(crate) started: Time,
    /// Actions of the current event.
    pub(crate) out: Vec<Action>,
    pub(crate) policy: Arc<Policy>,
    pub(crate) catalog: Catalog,
    /// Verdicts of the ids issued here.
    pub(crate) ledger: Ledger,
    /// Stopped or stopping homes that this router is the heir of.
    pub(crate) inherited_homes: BTreeMap<Incarnation, InheritedHome>,
    pub(crate) table: Table,
    /// Local callers that wait, and the request of each.
    pub(crate) tickets: BTreeMap<Ticket, RequestId>,
    pub(crate) forwards: BTreeMap<RequestId, Forward>,
    pub(crate) inquiries: BTreeMap<RequestId, Inquiry>,
    pub(crate) peers: Peers,
    pub(crate) pools: Vec<Pool>,
    pub(crate) pool_index: BTreeMap<PoolId, usize>,
    pub(crate) servers: Vec<Server>,
    pub(crate) server_index: BTreeMap<BackendId, usize>,
    /// Unused indexes of `servers`.
    pub(crate) free_indexes: Vec<usize>,
    /// Backend servers of which credits are held or requested.
    pub(crate) borrowed: BTreeSet<usize>,
    /// Backend servers of which this router has just become lender and may not lend yet.
    pub(crate) settling: BTreeSet<usize>,
    pub(crate) local_signals: BTreeMap<usize, LocalSignal>,
    /// When lenders must be reassigned because the grace of an unreachable peer ends.
    pub(crate) reassign_at: Option<Time>,
    /// Number of attempts started so far.
    pub(crate) dispatch_count: u64,
    /// Number of queued requests.
    pub(crate) waiting: usize,
    /// Bytes of their bodies.
    pub(crate) waiting_bytes: usize,
    /// Number of attempts in progress.
    pub(crate) running: usize,
    /// Budget of bytes sent to other regions.
    pub(crate) link: TokenBucket,
    /// The drain in progress, if any.
    pub(crate) drain: Option<Drain>,
    /// Number of requests in the table that were handed over to the heir.
    pub(crate) moved_count: usize,
    pub(crate) totals: Totals,
    timers: BTreeSet<(Time, Timer)>,
}

impl Router {
    /// Creates the router of incarnation `me`; the same `seed` and events give the same actions.
    pub fn new(
        settings: Settings,
        me: Incarnation,
        zone: ZoneId,
        region: RegionId,
        seed: u64,
    ) -> Router {
        let own =
            Peer { incarnation: me, vm: VmId::new(""), zone: zone.clone(), region: region.clone() };
        Router {
            ledger: Ledger::new(settings.ledger_ids),
            link: TokenBucket::new(settings.link_rate, settings.link_rate),
            settings,
            me,
            zone,
            region,
            rng: StdRng::seed_from_u64(seed),
            charts: Charts::load(),
            now: Time::ZERO,
            started: Time::NEVER,
            out: Vec::new(),
            policy: Arc::default(),
            catalog: Catalog::default(),
            inherited_homes: BTreeMap::new(),
            table: Table::default(),
            tickets: BTreeMap::new(),
            forwards: BTreeMap::new(),
            inquiries: BTreeMap::new(),
            peers: Peers::new(own),
            pools: Vec::new(),
            pool_index: BTreeMap::new(),
            servers: Vec::new(),
            server_index: BTreeMap::new(),
            free_indexes: Vec::new(),
            borrowed: BTreeSet::new(),
            settling: BTreeSet::new(),
            local_signals: BTreeMap::new(),
            reassign_at: None,
            dispatch_count: 0,
            waiting: 0,
            waiting_bytes: 0,
            running: 0,
            drain: None,
            moved_count: 0,
            totals: Totals::default(),
            timers: BTreeSet::from([(Time::ZERO, Timer::Maintenance)]),
        }
    }

    /// Issues a new id whose home is this router.
    pub fn issue_id(&mut self) -> RequestId {
        RequestId { home: self.me, sequence: self.ledger.issue() }
    }

    /// Time at which [`Event::Tick`] is due if no other event comes before; `None` if no timer is
    /// set.
    pub fn next_wake(&self) -> Option<Time> {
        self.timers.first().map(|(time, _)| *time)
    }

    /// Handles `event` and appends the resulting actions to `out`.
    pub fn handle(&mut self, now: Time, event: Event, out: &mut Vec<Action>) {
        let paused = now.since(self.now) > self.settings.credit_term;
        self.now = self.now.max(now);
        self.started = self.started.min(now);
        if paused {
            self.handle_process_pause();
        }
        self.fire_timers();
        match event {
            Event::Call { ticket, call } => {
                self.tickets.insert(ticket, call.id);
                self.call(Waiter::Ticket(ticket), call);
            }
            Event::Hangup { ticket } => self.hang_up(ticket),
            Event::Query { ticket, id } => {
                self.tickets.insert(ticket, id);
                self.query(Waiter::Ticket(ticket), id);
            }
            Event::Peer { from, message } => self.receive(from, message),
            Event::PeerUp { peer } => self.handle_peer_up(peer),
            Event::PeerDown { peer, gone } => self.handle_peer_down(peer, gone),
            Event::Attempt { id, attempt, result } => self.attempt_ended(id, attempt, result),
            Event::Backends { list } => self.apply_backend_list(&list),
            Event::BackendSignal { backend, sign } => self.handle_backend_signal(&backend, sign),
            Event::Policy { policy } => self.apply_policy(policy),
            Event::Drain => self.start_drain(),
            Event::Tick => {}
        }
        self.advance_drain();
        out.append(&mut self.out);
    }

    fn fire_timers(&mut self) {
        while let Some((time, timer)) = self.timers.first().copied() {
            if time > self.now {
                break;
            }
            self.timers.pop_first();
            match timer {
                Timer::Request(id) => self.handle_request_timer(id),
                Timer::Forward(id) => self.handle_forward_timer(id),
                Timer::Inquiry(id) => self.handle_inquiry_timer(id),
                Timer::Server(server) => self.handle_server_timer(server),
                Timer::Maintenance => self.run_maintenance(),
            }
        }
    }

    /// Periodic maintenance: evicts old answers, renews credits and sends unanswered messages
    /// again.
    fn run_maintenance(&mut self) {
        let interval = self.settings.credit_term / 4;
        self.start_timer(self.now + interval, Timer::Maintenance);
        let (ttl, max_bytes) = (self.settings.answer_ttl, self.settings.answer_bytes);
        while self.table.evict_oldest(self.now, ttl, max_bytes) {}
        self.reassign_lenders_if_due();
        self.renew_credits();
        self.resend_signals();
        self.resend_handover();
        for pool in 0..self.pools.len() {
            self.dispatch_queued(pool);
        }
        self.check();
    }

    /// Asserts invariants that hold between any two events; the work per call is bounded.
    fn check(&self) {
        let waiting: usize = self.pools.iter().map(Pool::waiting).sum();
        assert_eq!(waiting, self.waiting, "queued requests are miscounted");
        for pool in &self.pools {
            assert!(pool.once_used <= pool.used[1], "batch slots are miscounted");
        }
    }

    pub(crate) fn start_timer(&mut self, at: Time, timer: Timer) {
        self.timers.insert((at, timer));
    }

    pub(crate) fn stop_timer(&mut self, at: Time, timer: Timer) {
        self.timers.remove(&(at, timer));
    }

    pub(crate) fn send(&mut self, to: Incarnation, message: Message) {
        self.out.push(Action::Send { to, message });
    }

    /// Prolongs `span` at random by up to a quarter.
    pub(crate) fn jitter(&mut self, span: Duration) -> Duration {
        span.mul_f64(self.rng.random_range(1.0..1.25))
    }

    /// Whether a drain was started.
    pub(crate) fn draining(&self) -> bool {
        self.drain.is_some()
    }
}
