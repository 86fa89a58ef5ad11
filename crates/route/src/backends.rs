//! Condition of backend servers: the list of VMs, their own signs, ejection, probes, slow start.

use std::sync::Arc;
use std::time::Duration;

use crate::Action;
use crate::Backend;
use crate::BackendState;
use crate::HealthSignal;
use crate::Message;
use crate::Policy;
use crate::PoolId;
use crate::Router;
use crate::credits::Wants;
use crate::life::BackendEvent;
use crate::router::Timer;
use crate::seat::Credit;
use crate::seat::Near;
use crate::seat::Pool;
use crate::seat::Seat;
use model::BackendId;
use model::Incarnation;
use model::Time;

/// Highest power of two that lengthens an ejection.
const EJECTION_STEPS: u32 = 5;

/// Time for which a sign is passed on again and again.
const SIGN_TIME: Duration = Duration::from_secs(3);

/// A sign that a backend server showed to this entry VM.
#[derive(Clone, Copy, Debug)]
pub(crate) struct OwnSign {
    sign: HealthSignal,
    until: Time,
}

impl Router {
    pub(crate) fn apply_policy(&mut self, policy: Arc<Policy>) {
        let mut names = std::mem::take(&mut self.names);
        names.apply(&policy, |service| self.pool_of(&service.pool));
        self.names = names;
        self.policy = policy;
        for pool in 0..self.pools.len() {
            self.pump(pool);
        }
    }

    fn pool_of(&mut self, id: &PoolId) -> usize {
        if let Some(index) = self.pool_index.get(id) {
            return *index;
        }
        let index = self.pools.len();
        self.pool_index.insert(id.clone(), index);
        self.pools.push(Pool::new(id.clone()));
        index
    }

    /// Takes in the whole list of VMs.
    pub(crate) fn list_backends(&mut self, list: &[Backend]) {
        let first = self.seat_index.is_empty();
        for seat in &mut self.seats {
            seat.listed = false;
        }
        for pool in &mut self.pools {
            pool.listed = 0;
        }
        for backend in list {
            self.list_backend(backend, first);
        }
        let mut wants = Wants::new();
        for index in 0..self.seats.len() {
            if self.seats[index].listed {
                self.assign_lender(index, &mut wants);
            } else {
                self.unlist(index);
            }
        }
        self.send_wants(wants);
        for pool in 0..self.pools.len() {
            self.pump(pool);
        }
    }

    fn list_backend(&mut self, backend: &Backend, first: bool) {
        let pool = self.pool_of(&backend.pool);
        let known = self.seat_index.get(&backend.id).copied();
        let index = known.unwrap_or_else(|| self.add_seat(backend, pool, first));
        let seat = &mut self.seats[index];
        seat.listed = true;
        seat.slots = backend.slots;
        seat.connections = backend.connections;
        let state = seat.state;
        self.pools[seat.pool].listed += 1;
        if backend.leaving && state != BackendState::Leaving {
            self.step_seat(index, BackendEvent::Leave);
        }
        if !backend.leaving && state == BackendState::Leaving {
            self.seats[index].reset();
            self.step_seat(index, BackendEvent::Stay);
        }
    }

    fn add_seat(&mut self, backend: &Backend, pool: usize, first: bool) -> usize {
        let near = match (backend.region == self.region, backend.zone == self.zone) {
            (true, true) => Near::Zone,
            (true, false) => Near::Region,
            (false, _) => Near::Remote,
        };
        let mut seat = Seat {
            id: backend.id.clone(),
            pool,
            region: backend.region.clone(),
            near,
            slots: backend.slots,
            connections: backend.connections,
            limit: u32::MAX,
            state: self.charts.backend.initial(),
            listed: true,
            used: 0,
            used_batch: 0,
            warm: 1,
            failures: 0,
            ejections: 0,
            wake: None,
            probed: Time::ZERO,
            slowness: 1.0,
            turn: 0,
            lender: None,
            book: None,
            credit: Credit::default(),
            ranks: [None, None],
            ask: None,
            counted: (0, false),
        };
        if first {
            self.charts.backend.advance(&mut seat.state, BackendEvent::Warm);
        }
        let index = match self.vacant.pop() {
            Some(index) => {
                self.seats[index] = seat;
                index
            }
            None => {
                self.seats.push(seat);
                self.seats.len() - 1
            }
        };
        self.seat_index.insert(backend.id.clone(), index);
        index
    }

    /// A backend server is not in the list of VMs any more.
    fn unlist(&mut self, index: usize) {
        let seat = &self.seats[index];
        if self.seat_index.get(&seat.id) != Some(&index) {
            return;
        }
        if seat.state != BackendState::Leaving {
            self.step_seat(index, BackendEvent::Leave);
        }
        self.refresh(index);
        let seat = &mut self.seats[index];
        if seat.used > 0 {
            return;
        }
        seat.book = None;
        self.seat_index.remove(&seat.id);
        if let Some(wake) = seat.wake.take() {
            self.stop_timer(wake, Timer::Seat(index));
        }
        self.borrowed.remove(&index);
        self.settling.remove(&index);
        self.refresh(index);
        self.vacant.push(index);
    }

    fn step_seat(&mut self, index: usize, event: BackendEvent) {
        let seat = &mut self.seats[index];
        self.charts.backend.advance(&mut seat.state, event);
        self.refresh(index);
    }

    /// A backend server showed something outside an attempt.
    pub(crate) fn backend_sign(&mut self, backend: &BackendId, sign: HealthSignal) {
        if let Some(index) = self.seat_index.get(backend).copied() {
            self.seat_sign(index, sign);
        }
    }

    pub(crate) fn seat_sign(&mut self, index: usize, sign: HealthSignal) {
        let state = self.seats[index].state;
        match sign {
            HealthSignal::Connected if state == BackendState::Probing => {
                self.seats[index].reset();
                self.step_seat(index, BackendEvent::Connect);
                self.pump(self.seats[index].pool);
            }
            HealthSignal::Connected => {}
            HealthSignal::Closed => self.probe_open(index),
            HealthSignal::Refused | HealthSignal::Unavailable => {
                if self.withdraw(index, sign) {
                    self.share_sign(index, sign, None);
                    let until = self.now + SIGN_TIME;
                    self.signs.insert(index, OwnSign { sign, until });
                }
            }
        }
    }

    /// A peer passes on a sign.
    pub(crate) fn signalled(&mut self, from: Incarnation, backend: &BackendId, sign: HealthSignal) {
        let Some(index) = self.seat_index.get(backend).copied() else { return };
        let shows = matches!(sign, HealthSignal::Refused | HealthSignal::Unavailable);
        if shows && self.withdraw(index, sign) && self.seats[index].book.is_some() {
            self.share_sign(index, sign, Some(from));
        }
    }

    /// Tells the lender, or as the lender all borrowers, so that no credit is used any more.
    fn share_sign(&mut self, index: usize, sign: HealthSignal, except: Option<Incarnation>) {
        let seat = &self.seats[index];
        let backend = seat.id.clone();
        let to = match (&seat.book, seat.lender) {
            (Some(book), _) => book.borrowers(),
            (None, lender) => lender.into_iter().filter(|lender| *lender != self.me).collect(),
        };
        for peer in to {
            if Some(peer) != except {
                self.send(peer, Message::Signal { backend: backend.clone(), sign });
            }
        }
    }

    /// Tells lenders again what was seen here, as the message may be lost or the lender new.
    pub(crate) fn repeat_signs(&mut self) {
        let now = self.now;
        self.signs.retain(|_, own| now < own.until);
        let signs: Vec<(usize, HealthSignal)> =
            self.signs.iter().map(|(i, own)| (*i, own.sign)).collect();
        for (index, sign) in signs {
            if !self.seats[index].state.is_open() {
                self.share_sign(index, sign, None);
            }
        }
    }

    /// Takes a backend server that refuses work out of use; whether it was in use.
    fn withdraw(&mut self, index: usize, sign: HealthSignal) -> bool {
        let state = self.seats[index].state;
        let open = state.is_open();
        match state {
            BackendState::Leaving | BackendState::Suspect => return false,
            BackendState::Ejected if sign == HealthSignal::Refused => return false,
            _ => {}
        }
        if sign == HealthSignal::Unavailable && !self.is_mass(index) {
            self.step_seat(index, BackendEvent::Suspect);
            self.wake_seat(index, self.settings.list_lag);
        } else if state != BackendState::Ejected {
            self.eject(index);
        }
        open
    }

    /// Whether most of the pool is out of use, which no rolling restart explains.
    fn is_mass(&self, index: usize) -> bool {
        let pool = &self.pools[self.seats[index].pool];
        pool.open_total() * 2 <= pool.listed && pool.listed > 2
    }

    fn eject(&mut self, index: usize) {
        self.step_seat(index, BackendEvent::Eject);
        let seat = &mut self.seats[index];
        let steps = seat.ejections.min(EJECTION_STEPS);
        seat.ejections += 1;
        seat.failures = 0;
        let time = self.settings.eject_time * 2_u32.pow(steps);
        let time = self.jitter(time);
        self.wake_seat(index, time);
    }

    fn wake_seat(&mut self, index: usize, after: Duration) {
        let wake = self.now + after;
        if let Some(old) = self.seats[index].wake.replace(wake) {
            self.stop_timer(old, Timer::Seat(index));
        }
        self.start_timer(wake, Timer::Seat(index));
    }

    /// The timer of a backend server fired.
    pub(crate) fn seat_due(&mut self, index: usize) {
        let seat = &mut self.seats[index];
        if seat.wake.take().is_none() {
            return;
        }
        let backend = seat.id.clone();
        match seat.state {
            BackendState::Ejected | BackendState::Suspect => {
                self.step_seat(index, BackendEvent::Probe);
                self.out.push(Action::Probe { backend });
                self.wake_seat(index, self.settings.eject_time);
            }
            BackendState::Probing => self.eject(index),
            _ => {}
        }
    }

    /// It closed an idle connection, which may be the first sign that it leaves.
    fn probe_open(&mut self, index: usize) {
        let now = self.now;
        let pause = self.settings.eject_time;
        let seat = &mut self.seats[index];
        if seat.state.is_open() && now.since(seat.probed) >= pause {
            seat.probed = now;
            let backend = seat.id.clone();
            self.out.push(Action::Probe { backend });
        }
    }

    /// An attempt succeeded.
    pub(crate) fn seat_ok(&mut self, index: usize) {
        let seat = &mut self.seats[index];
        seat.failures = 0;
        if seat.state != BackendState::Warming {
            return;
        }
        seat.warm = seat.warm.saturating_mul(2);
        if seat.warm >= seat.slots {
            seat.ejections = 0;
            self.step_seat(index, BackendEvent::Warm);
        } else {
            self.refresh(index);
        }
    }

    /// An attempt failed for a reason that may lie with the backend server.
    pub(crate) fn seat_failed(&mut self, index: usize) {
        let seat = &mut self.seats[index];
        seat.failures += 1;
        let (failures, open) = (seat.failures, seat.state.is_open());
        if open && failures >= self.settings.eject_after && !self.is_mass(index) {
            self.eject(index);
        }
    }
}
