//! One backend server as this entry VM sees it, and the order in which pools offer theirs.

use std::collections::BTreeSet;

use crate::BackendState;
use crate::PoolId;
use crate::lending::Book;
use crate::lending::Supply;
use crate::queue::Queue;
use model::BackendId;
use model::Incarnation;
use model::RegionId;
use model::Time;

/// Slowness of a backend server that is as fast as the others.
const EVEN: f64 = 1.0;
const SLOWNESS_GAIN: f64 = 1.0 / 8.0;
const SCORE_UNIT: f64 = 64.0;

/// Score that puts backend servers of other regions behind all others.
const REMOTE_SCORE: u32 = 1 << 20;

/// How close a backend server is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Near {
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
    Firm,
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
    pub(crate) granted: u64,
    pub(crate) total: u32,
    pub(crate) batch: u32,
    pub(crate) until: Time,
    /// When the last ask was sent.
    pub(crate) sent: Time,
    /// Total that the last ask named.
    pub(crate) wanted: u32,
    /// Most that the lender lets this entry VM keep, until it is met.
    pub(crate) keep: Option<u32>,
    /// Most slots used since the last renewal.
    pub(crate) peak: u32,
}

impl Credit {
    /// Whether the last ask may still bring more.
    pub(crate) fn pending(&self) -> bool {
        self.wanted > self.total
    }
}

/// Position of a backend server in its pool's order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Rank {
    score: u32,
    turn: u64,
    pub(crate) seat: usize,
}

/// One backend server.
#[derive(Debug)]
pub(crate) struct Seat {
    pub(crate) id: BackendId,
    pub(crate) pool: usize,
    pub(crate) region: RegionId,
    pub(crate) near: Near,
    pub(crate) slots: u32,
    pub(crate) connections: u32,
    /// Most connections of this entry VM.
    pub(crate) limit: u32,
    pub(crate) state: BackendState,
    /// Whether the last list of VMs had it.
    pub(crate) listed: bool,
    pub(crate) used: u32,
    pub(crate) used_batch: u32,
    /// Slots open while warming.
    pub(crate) warm: u32,
    pub(crate) failures: u32,
    pub(crate) ejections: u32,
    /// When the next probe is due.
    pub(crate) wake: Option<Time>,
    /// When a probe was last sent because of a closed connection.
    pub(crate) probed: Time,
    pub(crate) slowness: f64,
    pub(crate) turn: u64,
    pub(crate) lender: Option<Incarnation>,
    /// Loans, if this entry VM is the lender.
    pub(crate) book: Option<Book>,
    pub(crate) credit: Credit,
    pub(crate) ranks: [Option<Rank>; 2],
    /// Its place among those that could be asked for credits.
    pub(crate) ask: Option<Rank>,
    /// Credits and openness as its pool counts them.
    pub(crate) counted: (u32, bool),
}

impl Seat {
    /// Slots and the part of them that batch work may use.
    pub(crate) fn supply(&self, reserved_percent: u32) -> Supply {
        let reserved = (self.slots * reserved_percent).div_ceil(100);
        let batch = self.slots.saturating_sub(reserved).max(u32::from(self.slots == 1));
        Supply { slots: self.slots, batch }
    }

    /// Credits that may be used now: all and for batch work.
    pub(crate) fn credits(&self, reserved_percent: u32, now: Time) -> (u32, u32) {
        match &self.book {
            Some(book) if now >= book.settled => {
                let supply = self.supply(reserved_percent);
                let (lent, lent_batch) = (book.lent(), book.lent_batch());
                (supply.slots.saturating_sub(lent), supply.batch.saturating_sub(lent_batch))
            }
            _ if now < self.credit.until => (self.credit.total, self.credit.batch),
            _ => (0, 0),
        }
    }

    /// Free slots: for interactive and for batch work.
    pub(crate) fn free(&self, reserved_percent: u32, now: Time) -> (u32, u32) {
        if !self.state.is_open() || !self.listed {
            return (0, 0);
        }
        let (total, batch) = self.credits(reserved_percent, now);
        let warm = if self.state == BackendState::Warming { self.warm } else { u32::MAX };
        let free = total.min(warm).min(self.limit).saturating_sub(self.used);
        (free, free.min(batch.saturating_sub(self.used_batch)))
    }

    /// Takes in how long a run was, relative to the mean of its service.
    pub(crate) fn observe(&mut self, ratio: f64) {
        let bounded = ratio.clamp(0.1, 10.0);
        self.slowness += (bounded - self.slowness) * SLOWNESS_GAIN;
    }

    /// Forgets how slow it was.
    pub(crate) fn reset(&mut self) {
        self.slowness = EVEN;
        self.failures = 0;
        self.warm = 1;
    }

    fn rank(&self, index: usize) -> Rank {
        let load = f64::from(self.used + 1) / f64::from(self.slots.max(1));
        let score = (load * self.slowness.clamp(0.5, 8.0) * SCORE_UNIT) as u32;
        Rank { score, turn: self.turn, seat: index }
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
    pub(crate) firm: u32,
    /// Slots in use by runs that are known as stragglers.
    pub(crate) stragglers: u32,
    /// Borrowed backend servers that could be asked for more credits.
    pub(crate) askable: BTreeSet<Rank>,
    /// Own-lent backend servers with loans.
    pub(crate) lent: BTreeSet<usize>,
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
            firm: 0,
            stragglers: 0,
            askable: BTreeSet::new(),
            lent: BTreeSet::new(),
        }
    }

    /// Number of waiting requests.
    pub(crate) fn waiting(&self) -> usize {
        self.queues.iter().map(Queue::len).sum()
    }

    /// Puts `seat` where its free slots belong.
    pub(crate) fn place(&mut self, index: usize, seat: &mut Seat, free: (u32, u32)) {
        let near = seat.near as usize;
        let wanted = [free.0 > 0, free.1 > 0];
        for (class, open) in wanted.into_iter().enumerate() {
            let rank = open.then(|| seat.rank(index));
            if seat.ranks[class] == rank {
                continue;
            }
            if let Some(old) = seat.ranks[class] {
                self.free[class][near].remove(&old);
            }
            if let Some(new) = rank {
                self.free[class][near].insert(new);
            }
            seat.ranks[class] = rank;
        }
    }

    /// Backend servers that take work.
    pub(crate) fn open_total(&self) -> usize {
        self.open.iter().sum()
    }

    /// Backend servers of the own region that take work.
    pub(crate) fn open_near(&self) -> usize {
        self.open[Near::Zone as usize] + self.open[Near::Region as usize]
    }

    /// Counts the credits and the openness of `seat`.
    pub(crate) fn count(&mut self, seat: &mut Seat, credits: u32, open: bool) {
        let (old_credits, old_open) = std::mem::replace(&mut seat.counted, (credits, open));
        self.credits = self.credits + credits - old_credits;
        let place = &mut self.open[seat.near as usize];
        *place = *place + usize::from(open) - usize::from(old_open);
    }

    /// Puts `seat` where it belongs among those that could be asked for credits.
    pub(crate) fn place_ask(&mut self, index: usize, seat: &mut Seat, askable: bool) {
        let far = if seat.near == Near::Remote { REMOTE_SCORE } else { seat.near as u32 };
        let score = far + seat.credit.total * 4;
        let rank = askable.then_some(Rank { score, turn: seat.credit.serial, seat: index });
        if seat.ask == rank {
            return;
        }
        if let Some(old) = seat.ask {
            self.askable.remove(&old);
        }
        if let Some(new) = rank {
            self.askable.insert(new);
        }
        seat.ask = rank;
    }

    /// Best backend server of `lane` at distance `near`, other than `not`.
    pub(crate) fn best(&self, lane: Lane, near: Near, not: Option<usize>) -> Option<usize> {
        let set = &self.free[usize::from(lane.is_batch())][near as usize];
        set.iter().map(|rank| rank.seat).find(|seat| Some(*seat) != not)
    }

    /// Whether anything is free for `lane` at any distance.
    pub(crate) fn has_free(&self, lane: Lane) -> bool {
        self.free[usize::from(lane.is_batch())].iter().any(|set| !set.is_empty())
    }
}
