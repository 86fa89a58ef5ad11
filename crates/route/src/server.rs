//! State of one backend server at this entry VM, and the order in which a pool chooses servers.

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

/// Slowness of a backend server of average speed.
const NEUTRAL_SLOWNESS: f64 = 1.0;
/// Weight of a new run in the moving average of the slowness.
const SLOWNESS_GAIN: f64 = 1.0 / 8.0;
/// Factor that turns a load score into an integer.
const SCORE_SCALE: f64 = 64.0;

/// Added to the score of backend servers of other regions, so that they come last.
const REMOTE_SCORE: u32 = 1 << 20;

/// Locality of a backend server: same zone, same region or another region.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Locality {
    Zone,
    Region,
    Remote,
}

/// Lane of a pool's queues. Interactive work goes first, both batch lanes by deadline.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Lane {
    /// Interactive work.
    Interactive,
    /// Idempotent batch work, which may be stopped and run again.
    Batch,
    /// Batch work that must run at most once.
    BatchOnce,
}

impl Lane {
    pub(crate) fn is_batch(self) -> bool {
        self != Lane::Interactive
    }
}

/// Slot credits that this entry VM holds of a backend server.
#[derive(Clone, Debug, Default)]
pub(crate) struct Credit {
    /// Serial number of the last credit request.
    pub(crate) serial: u64,
    /// Serial number of the request that was last granted.
    pub(crate) granted_serial: u64,
    /// Credits held.
    pub(crate) total: u32,
    /// Of them, the maximum for batch work.
    pub(crate) batch: u32,
    pub(crate) expires_at: Time,
    /// When the last credit request was sent.
    pub(crate) sent_at: Time,
    /// Total of the last credit request.
    pub(crate) wanted: u32,
    /// Credits that may be kept after a recall; `None` once that is met.
    pub(crate) recall_limit: Option<u32>,
    /// Maximum number of slots used since the last renewal.
    pub(crate) peak_used: u32,
}

impl Credit {
    /// Whether less than the last requested total was granted, so that more may come.
    pub(crate) fn has_pending_request(&self) -> bool {
        self.wanted > self.total
    }
}

/// Sort key of a backend server in its pool; the lowest is chosen first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Rank {
    score: u32,
    tie_break: u64,
    pub(crate) server: usize,
}

/// State of one backend server.
#[derive(Debug)]
pub(crate) struct Server {
    pub(crate) id: BackendId,
    pub(crate) pool: usize,
    pub(crate) region: RegionId,
    pub(crate) locality: Locality,
    pub(crate) slots: u32,
    pub(crate) connections: u32,
    /// Maximum number of connections from this entry VM.
    pub(crate) connection_limit: u32,
    pub(crate) state: BackendState,
    /// Whether it is in the current list of VMs.
    pub(crate) listed: bool,
    /// Slots used by this entry VM.
    pub(crate) used: u32,
    /// Of them, those used by batch work.
    pub(crate) used_batch: u32,
    /// Slots that may be used during slow start.
    pub(crate) warm_slots: u32,
    /// Failures in a row.
    pub(crate) failures: u32,
    /// Ejections since it was last fully up.
    pub(crate) ejections: u32,
    /// When its timer fires, if set.
    pub(crate) timer_at: Option<Time>,
    /// When it was last probed because it closed a connection.
    pub(crate) last_probe: Time,
    /// Moving average of run times relative to the mean of their service.
    pub(crate) slowness: f64,
    /// Sequence number, over all backend servers, of the last attempt dispatched to it.
    pub(crate) last_dispatch: u64,
    /// Entry VM that lends its slots; `None` if it cannot be reached.
    pub(crate) lender: Option<Incarnation>,
    /// Loans to other entry VMs, if this one is the lender.
    pub(crate) loans: Option<LoanTable>,
    pub(crate) credit: Credit,
    /// Its sort keys among servers with free slots, for interactive and for batch work.
    pub(crate) ranks: [Option<Rank>; 2],
    /// Its sort key among servers of which more credits can be requested.
    pub(crate) ask_rank: Option<Rank>,
    /// Credits and availability as included in the totals of its pool.
    pub(crate) counted: (u32, bool),
}

impl Server {
    /// Slots, and how many of them batch work may use.
    pub(crate) fn supply(&self, reserved_percent: u32) -> Supply {
        let reserved = (self.slots * reserved_percent).div_ceil(100);
        let batch = self.slots.saturating_sub(reserved).max(u32::from(self.slots == 1));
        Supply { slots: self.slots, batch }
    }

    /// Credits that may be used now: total, and the maximum for batch work.
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

    /// Free slots for interactive work and for batch work.
    pub(crate) fn free(&self, reserved_percent: u32, now: Time) -> (u32, u32) {
        if !self.state.is_open() || !self.listed {
            return (0, 0);
        }
        let (total, batch) = self.credits(reserved_percent, now);
        let warm = if self.state == BackendState::Warming { self.warm_slots } else { u32::MAX };
        let free = total.min(warm).min(self.connection_limit).saturating_sub(self.used);
        (free, free.min(batch.saturating_sub(self.used_batch)))
    }

    /// Updates the slowness with the run time of one run relative to the mean of its service.
    pub(crate) fn observe(&mut self, ratio: f64) {
        let bounded = ratio.clamp(0.1, 10.0);
        self.slowness += (bounded - self.slowness) * SLOWNESS_GAIN;
    }

    /// Resets slowness, failures and slow start.
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

/// Backend servers and queued requests of one pool.
#[derive(Debug)]
pub(crate) struct Pool {
    pub(crate) id: PoolId,
    /// Queues by lane.
    pub(crate) queues: [Queue; 3],
    /// Backend servers with free slots, by class and locality.
    free: [[BTreeSet<Rank>; 3]; 2],
    /// Number of backend servers in the list of VMs.
    pub(crate) listed: usize,
    /// Of them, the number that take work, by locality.
    pub(crate) open: [usize; 3],
    /// Credits that this entry VM holds.
    pub(crate) credits: u32,
    /// Slots in use by class: interactive and batch.
    pub(crate) used: [u32; 2],
    /// Slots in use by batch work that must run at most once.
    pub(crate) once_used: u32,
    /// Slots in use by runs marked as stragglers.
    pub(crate) stragglers: u32,
    /// Backend servers of which more credits can be requested from their lender.
    pub(crate) askable: BTreeSet<Rank>,
    /// Backend servers that this entry VM lends and that have loans.
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

    /// Number of queued requests.
    pub(crate) fn waiting(&self) -> usize {
        self.queues.iter().map(Queue::len).sum()
    }

    /// Updates the position of `server` in the indexes of servers with free slots.
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

    /// Number of backend servers that take work.
    pub(crate) fn open_total(&self) -> usize {
        self.open.iter().sum()
    }

    /// Number of backend servers of this region that take work.
    pub(crate) fn open_in_region(&self) -> usize {
        self.open[Locality::Zone as usize] + self.open[Locality::Region as usize]
    }

    /// Updates the totals of the pool with the credits and availability of `server`.
    pub(crate) fn update_totals(&mut self, server: &mut Server, credits: u32, open: bool) {
        let (old_credits, old_open) = std::mem::replace(&mut server.counted, (credits, open));
        self.credits = self.credits + credits - old_credits;
        let open_count = &mut self.open[server.locality as usize];
        *open_count = *open_count + usize::from(open) - usize::from(old_open);
    }

    /// Updates the position of `server` among those of which more credits can be requested.
    pub(crate) fn index_askable(&mut self, index: usize, server: &mut Server, askable: bool) {
        let base =
            if server.locality == Locality::Remote { REMOTE_SCORE } else { server.locality as u32 };
        let score = base + server.credit.total * 4;
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

    /// The best backend server with a free slot for `lane` at `locality`, other than `except`.
    pub(crate) fn best(
        &self,
        lane: Lane,
        locality: Locality,
        except: Option<usize>,
    ) -> Option<usize> {
        let set = &self.free[usize::from(lane.is_batch())][locality as usize];
        set.iter().map(|rank| rank.server).find(|server| Some(*server) != except)
    }

    /// Whether any backend server has a free slot for `lane`.
    pub(crate) fn has_free(&self, lane: Lane) -> bool {
        self.free[usize::from(lane.is_batch())].iter().any(|set| !set.is_empty())
    }
}
