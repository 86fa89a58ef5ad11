//! One backend server as this entry VM sees it, and the order in which pools offer theirs.

use std::collections::BTreeSet;

use crate::BackendState;
use crate::PoolId;
use crate::lending::LoanTable;
use crate::lending::Supply;
use crate::queue::Queue;
use model::BackendId;
use model::Incarnation;
use model::RegionId;
use model::Time;

/// Slowness of a backend server that is as fast as the others.
const NEUTRAL_SLOWNESS: f64 = 1.0;
const SLOWNESS_GAIN: f64 = 1.0 / 8.0;
const SCORE_SCALE: f64 = 64.0;

/// Score that puts backend servers of other regions behind all others.
const REMOTE_SCORE: u32 = 1 << 20;

/// How close a backend server is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Locality {
    Zone,
    Region,
    Remote,
}

/// Lane of a queue; the first is served first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Lane {
    /// Somebody waits for it.
    Interactive,
    /// Batch work that may be stopped and run again.
    Batch,
    /// Batch work that must run at most once.
    BatchOnce,
}

impl Lane {
    pub(crate) fn is_batch(self) -> bool {
        self != Lane::Interactive
    }
}

/// Slot credits that were borrowed.
#[derive(Clone, Debug, Default)]
pub(crate) struct Credit {
    /// Serial of the last ask.
    pub(crate) serial: u64,
    /// Serial of the last grant.
    pub(crate) granted_serial: u64,
    pub(crate) total: u32,
    pub(crate) batch: u32,
    pub(crate) expires_at: Time,
    /// When the last ask was sent.
    pub(crate) sent_at: Time,
    /// Total that the last ask named.
    pub(crate) wanted: u32,
    /// Most that the lender lets this entry VM keep, until it is met.
    pub(crate) recall_limit: Option<u32>,
    /// Most slots used since the last renewal.
    pub(crate) peak_used: u32,
}

impl Credit {
    /// Whether the last ask may still bring more.
    pub(crate) fn has_pending_request(&self) -> bool {
        self.wanted > self.total
    }
}

/// Position of a backend server in its pool's order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Rank {
    score: u32,
    tie_break: u64,
    pub(crate) server: usize,
}

/// One backend server.
#[derive(Debug)]
pub(crate) struct Server {
    pub(crate) id: BackendId,
    pub(crate) pool: usize,
    pub(crate) region: RegionId,
    pub(crate) locality: Locality,
    pub(crate) slots: u32,
    pub(crate) connections: u32,
    /// Most connections of this entry VM.
    pub(crate) connection_limit: u32,
    pub(crate) state: BackendState,
    /// Whether the last list of VMs had it.
    pub(crate) listed: bool,
    pub(crate) used: u32,
    pub(crate) used_batch: u32,
    /// Slots open while warming.
    pub(crate) warm_slots: u32,
    pub(crate) failures: u32,
    pub(crate) ejections: u32,
    /// When the next probe is due.
    pub(crate) timer_at: Option<Time>,
    /// When a probe was last sent because of a closed connection.
    pub(crate) last_probe: Time,
    pub(crate) slowness: f64,
    pub(crate) last_dispatch: u64,
    pub(crate) lender: Option<Incarnation>,
    /// Loans, if this entry VM is the lender.
    pub(crate) loans: Option<LoanTable>,
    pub(crate) credit: Credit,
    pub(crate) ranks: [Option<Rank>; 2],
    /// Its place among those that could be asked for credits.
    pub(crate) ask_rank: Option<Rank>,
    /// Credits and openness as its pool counts them.
    pub(crate) counted: (u32, bool),
}

impl Server {
    /// Slots and the part of them that batch work may use.
    pub(crate) fn supply(&self, reserved_percent: u32) -> Supply {
        let reserved = (self.slots * reserved_percent).div_ceil(100);
        let batch = self.slots.saturating_sub(reserved).max(u32::from(self.slots == 1));
        Supply { slots: self.slots, batch }
    }

    /// Credits that may be used now: all and for batch work.
    pub(crate) fn credits(&self, reserved_percent: u32, now: Time) -> (u32, u32) {
        match &self.loans {
            Some(loans) if now >= loans.settled_at => {
                let supply = self.supply(reserved_percent);
                let (lent, lent_batch) = (loans.lent(), loans.lent_batch());
                (supply.slots.saturating_sub(lent), supply.batch.saturating_sub(lent_batch))
            }
            _ if now < self.credit.expires_at => (self.credit.total, self.credit.batch),
            _ => (0, 0),
        }
    }

    /// Free slots: for interactive and for batch work.
    pub(crate) fn free(&self, reserved_percent: u32, now: Time) -> (u32, u32) {
        if !self.state.is_open() || !self.listed {
            return (0, 0);
        }
        let (total, batch) = self.credits(reserved_percent, now);
        let warm = if self.state == BackendState::Warming { self.warm_slots } else { u32::MAX };
        let free = total.min(warm).min(self.connection_limit).saturating_sub(self.used);
        (free, free.min(batch.saturating_sub(self.used_batch)))
    }

    /// Takes in how long a run was, relative to the mean of its service.
    pub(crate) fn observe(&mut self, ratio: f64) {
        let bounded = ratio.clamp(0.1, 10.0);
        self.slowness += (bounded - self.slowness) * SLOWNESS_GAIN;
    }

    /// Forgets how slow it was.
    pub(crate) fn reset(&mut self) {
        self.slowness = NEUTRAL_SLOWNESS;
        self.failures = 0;
        self.warm_slots = 1;
    }

    fn rank(&self, index: usize) -> Rank {
        let load = f64::from(self.used + 1) / f64::from(self.slots.max(1));
        let score = (load * self.slowness.clamp(0.5, 8.0) * SCORE_SCALE) as u32;
        Rank { score, tie_break: self.last_dispatch, server: index }
    }
}

/// Backend servers and waiting requests of one pool.
#[derive(Debug)]
pub(crate) struct Pool {
    pub(crate) id: PoolId,
    pub(crate) queues: [Queue; 3],
    /// Backend servers with free slots, by class and closeness.
    free: [[BTreeSet<Rank>; 3]; 2],
    /// Backend servers of the list of VMs.
    pub(crate) listed: usize,
    /// Of them those that take work, by closeness.
    pub(crate) open: [usize; 3],
    /// Credits of this entry VM.
    pub(crate) credits: u32,
    /// Slots in use by class: interactive, batch.
    pub(crate) used: [u32; 2],
    /// Slots in use by batch work that must run at most once.
    pub(crate) once_used: u32,
    /// Slots in use by runs that are known as stragglers.
    pub(crate) stragglers: u32,
    /// Borrowed backend servers that could be asked for more credits.
    pub(crate) askable: BTreeSet<Rank>,
    /// Own-lent backend servers with loans.
    pub(crate) lent_servers: BTreeSet<usize>,
}

impl Pool {
    pub(crate) fn new(id: PoolId) -> Pool {
        Pool {
            id,
            queues: Default::default(),
            free: Default::default(),
            listed: 0,
            open: [0; 3],
            credits: 0,
            used: [0, 0],
            once_used: 0,
            stragglers: 0,
            askable: BTreeSet::new(),
            lent_servers: BTreeSet::new(),
        }
    }

    /// Number of waiting requests.
    pub(crate) fn waiting(&self) -> usize {
        self.queues.iter().map(Queue::len).sum()
    }

    /// Puts `seat` where its free slots belong.
    pub(crate) fn index_free(&mut self, index: usize, server: &mut Server, free: (u32, u32)) {
        let locality = server.locality as usize;
        let wanted = [free.0 > 0, free.1 > 0];
        for (class, open) in wanted.into_iter().enumerate() {
            let rank = open.then(|| server.rank(index));
            if server.ranks[class] == rank {
                continue;
            }
            if let Some(old) = server.ranks[class] {
                self.free[class][locality].remove(&old);
            }
            if let Some(new) = rank {
                self.free[class][locality].insert(new);
            }
            server.ranks[class] = rank;
        }
    }

    /// Backend servers that take work.
    pub(crate) fn open_total(&self) -> usize {
        self.open.iter().sum()
    }

    /// Backend servers of the own region that take work.
    pub(crate) fn open_in_region(&self) -> usize {
        self.open[Locality::Zone as usize] + self.open[Locality::Region as usize]
    }

    /// Counts the credits and the openness of `seat`.
    pub(crate) fn update_totals(&mut self, server: &mut Server, credits: u32, open: bool) {
        let (old_credits, old_open) = std::mem::replace(&mut server.counted, (credits, open));
        self.credits = self.credits + credits - old_credits;
        let open_count = &mut self.open[server.locality as usize];
        *open_count = *open_count + usize::from(open) - usize::from(old_open);
    }

    /// Puts `seat` where it belongs among those that could be asked for credits.
    pub(crate) fn index_askable(&mut self, index: usize, server: &mut Server, askable: bool) {
        let far =
            if server.locality == Locality::Remote { REMOTE_SCORE } else { server.locality as u32 };
        let score = far + server.credit.total * 4;
        let rank =
            askable.then_some(Rank { score, tie_break: server.credit.serial, server: index });
        if server.ask_rank == rank {
            return;
        }
        if let Some(old) = server.ask_rank {
            self.askable.remove(&old);
        }
        if let Some(new) = rank {
            self.askable.insert(new);
        }
        server.ask_rank = rank;
    }

    /// Best backend server of `lane` at distance `near`, other than `not`.
    pub(crate) fn best(
        &self,
        lane: Lane,
        locality: Locality,
        except: Option<usize>,
    ) -> Option<usize> {
        let set = &self.free[usize::from(lane.is_batch())][locality as usize];
        set.iter().map(|rank| rank.server).find(|server| Some(*server) != except)
    }

    /// Whether anything is free for `lane` at any distance.
    pub(crate) fn has_free(&self, lane: Lane) -> bool {
        self.free[usize::from(lane.is_batch())].iter().any(|set| !set.is_empty())
    }
}
