//! Health of backend servers: the list of VMs, health signals, ejection of outliers, probes and
//! slow start.

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
use crate::credits::RequestsByLender;
use crate::lifecycle::BackendEvent;
use crate::router::Timer;
use crate::server::Credit;
use crate::server::Locality;
use crate::server::Pool;
use crate::server::Server;
use model::BackendId;
use model::Incarnation;
use model::Time;

/// Largest exponent of two by which an ejection is prolonged.
const MAX_EJECTION_EXPONENT: u32 = 5;

/// Time during which a health signal is sent again to other entry VMs.
const SIGNAL_REPEAT_TIME: Duration = Duration::from_secs(3);

/// A health signal that this entry VM itself received from a backend server.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LocalSignal {
    sign: HealthSignal,
    until: Time,
}

impl Router {
    pub(crate) fn apply_policy(&mut self, policy: Arc<Policy>) {
        let mut catalog = std::mem::take(&mut self.catalog);
        catalog.apply(&policy, |service| self.pool_of(&service.pool));
        self.catalog = catalog;
        self.policy = policy;
        for pool in 0..self.pools.len() {
            self.dispatch_queued(pool);
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

    /// Applies a new list of VMs. If no backend server was known before, the new ones skip slow
    /// start.
    pub(crate) fn apply_backend_list(&mut self, list: &[Backend]) {
        let first = self.server_index.is_empty();
        for server in &mut self.servers {
            server.listed = false;
        }
        for pool in &mut self.pools {
            pool.listed = 0;
        }
        for backend in list {
            self.apply_listed_backend(backend, first);
        }
        let mut wants = RequestsByLender::new();
        for index in 0..self.servers.len() {
            if self.servers[index].listed {
                self.assign_lender(index, &mut wants);
            } else {
                self.remove_unlisted(index);
            }
        }
        self.send_credit_requests(wants);
        for pool in 0..self.pools.len() {
            self.dispatch_queued(pool);
        }
    }

    fn apply_listed_backend(&mut self, backend: &Backend, first: bool) {
        let pool = self.pool_of(&backend.pool);
        let known = self.server_index.get(&backend.id).copied();
        let index = known.unwrap_or_else(|| self.add_server(backend, pool, first));
        let server = &mut self.servers[index];
        server.listed = true;
        server.slots = backend.slots;
        server.connections = backend.connections;
        let state = server.state;
        self.pools[server.pool].listed += 1;
        if backend.leaving && state != BackendState::Leaving {
            self.advance_server(index, BackendEvent::Leave);
        }
        if !backend.leaving && state == BackendState::Leaving {
            self.servers[index].reset();
            self.advance_server(index, BackendEvent::Stay);
        }
    }

    fn add_server(&mut self, backend: &Backend, pool: usize, first: bool) -> usize {
        let locality = match (backend.region == self.region, backend.zone == self.zone) {
            (true, true) => Locality::Zone,
            (true, false) => Locality::Region,
            (false, _) => Locality::Remote,
        };
        let mut server = Server {
            id: backend.id.clone(),
            pool,
            region: backend.region.clone(),
            locality,
            slots: backend.slots,
            connections: backend.connections,
            connection_limit: u32::MAX,
            state: self.charts.backend.initial(),
            listed: true,
            used: 0,
            used_batch: 0,
            warm_slots: 1,
            failures: 0,
            ejections: 0,
            timer_at: None,
            last_probe: Time::ZERO,
            slowness: 1.0,
            last_dispatch: 0,
            lender: None,
            loans: None,
            credit: Credit::default(),
            ranks: [None, None],
            ask_rank: None,
            counted: (0, false),
        };
        if first {
            self.charts.backend.advance(&mut server.state, BackendEvent::Warm);
        }
        let index = match self.free_indexes.pop() {
            Some(index) => {
                self.servers[index] = server;
                index
            }
            None => {
                self.servers.push(server);
                self.servers.len() - 1
            }
        };
        self.server_index.insert(backend.id.clone(), index);
        index
    }

    /// Marks a backend server that the list of VMs no longer has as leaving, and frees its index
    /// once no attempt runs there.
    fn remove_unlisted(&mut self, index: usize) {
        let server = &self.servers[index];
        if self.server_index.get(&server.id) != Some(&index) {
            return;
        }
        if server.state != BackendState::Leaving {
            self.advance_server(index, BackendEvent::Leave);
        }
        self.update_indexes(index);
        let server = &mut self.servers[index];
        if server.used > 0 {
            return;
        }
        server.loans = None;
        self.server_index.remove(&server.id);
        if let Some(wake) = server.timer_at.take() {
            self.stop_timer(wake, Timer::Server(index));
        }
        self.borrowed.remove(&index);
        self.settling.remove(&index);
        self.update_indexes(index);
        self.free_indexes.push(index);
    }

    fn advance_server(&mut self, index: usize, event: BackendEvent) {
        let server = &mut self.servers[index];
        self.charts.backend.advance(&mut server.state, event);
        self.update_indexes(index);
    }

    /// Handles a health signal that came outside an attempt.
    pub(crate) fn handle_backend_signal(&mut self, backend: &BackendId, sign: HealthSignal) {
        if let Some(index) = self.server_index.get(backend).copied() {
            self.handle_signal(index, sign);
        }
    }

    pub(crate) fn handle_signal(&mut self, index: usize, sign: HealthSignal) {
        let state = self.servers[index].state;
        match sign {
            HealthSignal::Connected if state == BackendState::Probing => {
                self.servers[index].reset();
                self.advance_server(index, BackendEvent::Connect);
                self.dispatch_queued(self.servers[index].pool);
            }
            HealthSignal::Connected => {}
            HealthSignal::Closed => self.probe_after_close(index),
            HealthSignal::Refused | HealthSignal::Unavailable => {
                if self.take_out_of_service(index, sign) {
                    self.propagate_signal(index, sign, None);
                    let until = self.now + SIGNAL_REPEAT_TIME;
                    self.local_signals.insert(index, LocalSignal { sign, until });
                }
            }
        }
    }

    /// Handles a health signal that a peer received; the lender sends it on to its borrowers.
    pub(crate) fn handle_peer_signal(
        &mut self,
        from: Incarnation,
        backend: &BackendId,
        sign: HealthSignal,
    ) {
        let Some(index) = self.server_index.get(backend).copied() else { return };
        let rejects = matches!(sign, HealthSignal::Refused | HealthSignal::Unavailable);
        if rejects && self.take_out_of_service(index, sign) && self.servers[index].loans.is_some() {
            self.propagate_signal(index, sign, Some(from));
        }
    }

    /// Sends a health signal to the lender or, if this is the lender, to all borrowers, so that
    /// they stop using their credits.
    fn propagate_signal(&mut self, index: usize, sign: HealthSignal, except: Option<Incarnation>) {
        let server = &self.servers[index];
        let backend = server.id.clone();
        let to = match (&server.loans, server.lender) {
            (Some(loans), _) => loans.borrowers(),
            (None, lender) => lender.into_iter().filter(|lender| *lender != self.me).collect(),
        };
        for peer in to {
            if Some(peer) != except {
                self.send(peer, Message::Signal { backend: backend.clone(), sign });
            }
        }
    }

    /// Sends recent health signals again, as the message may have been lost or the lender have
    /// changed.
    pub(crate) fn resend_signals(&mut self) {
        let now = self.now;
        self.local_signals.retain(|_, own| now < own.until);
        let signs: Vec<(usize, HealthSignal)> =
            self.local_signals.iter().map(|(i, own)| (*i, own.sign)).collect();
        for (index, sign) in signs {
            if !self.servers[index].state.is_open() {
                self.propagate_signal(index, sign, None);
            }
        }
    }

    /// Takes a backend server that rejects work out of service; returns whether it was in service.
    fn take_out_of_service(&mut self, index: usize, sign: HealthSignal) -> bool {
        let state = self.servers[index].state;
        let open = state.is_open();
        match state {
            BackendState::Leaving | BackendState::Suspect => return false,
            BackendState::Ejected if sign == HealthSignal::Refused => return false,
            _ => {}
        }
        if sign == HealthSignal::Unavailable && !self.is_mass_failure(index) {
            self.advance_server(index, BackendEvent::Suspect);
            self.set_server_timer(index, self.settings.list_lag);
        } else if state != BackendState::Ejected {
            self.eject(index);
        }
        open
    }

    /// Whether at least half of a pool of more than two is out of service, which a rolling restart
    /// cannot explain.
    fn is_mass_failure(&self, index: usize) -> bool {
        let pool = &self.pools[self.servers[index].pool];
        pool.open_total() * 2 <= pool.listed && pool.listed > 2
    }

    fn eject(&mut self, index: usize) {
        self.advance_server(index, BackendEvent::Eject);
        let server = &mut self.servers[index];
        let steps = server.ejections.min(MAX_EJECTION_EXPONENT);
        server.ejections += 1;
        server.failures = 0;
        let time = self.settings.eject_time * 2_u32.pow(steps);
        let time = self.jitter(time);
        self.set_server_timer(index, time);
    }

    fn set_server_timer(&mut self, index: usize, after: Duration) {
        let wake = self.now + after;
        if let Some(old) = self.servers[index].timer_at.replace(wake) {
            self.stop_timer(old, Timer::Server(index));
        }
        self.start_timer(wake, Timer::Server(index));
    }

    /// Handles the timer of a backend server: sends a probe, or ejects it again when a probe went
    /// unanswered.
    pub(crate) fn handle_server_timer(&mut self, index: usize) {
        let server = &mut self.servers[index];
        if server.timer_at.take().is_none() {
            return;
        }
        let backend = server.id.clone();
        match server.state {
            BackendState::Ejected | BackendState::Suspect => {
                self.advance_server(index, BackendEvent::Probe);
                self.out.push(Action::Probe { backend });
                self.set_server_timer(index, self.settings.eject_time);
            }
            BackendState::Probing => self.eject(index),
            _ => {}
        }
    }

    /// Probes a backend server that closed an idle connection, as it may be about to stop.
    fn probe_after_close(&mut self, index: usize) {
        let now = self.now;
        let pause = self.settings.eject_time;
        let server = &mut self.servers[index];
        if server.state.is_open() && now.since(server.last_probe) >= pause {
            server.last_probe = now;
            let backend = server.id.clone();
            self.out.push(Action::Probe { backend });
        }
    }

    /// Records a successful attempt: clears the failure count and doubles the open slots in slow
    /// start.
    pub(crate) fn record_success(&mut self, index: usize) {
        let server = &mut self.servers[index];
        server.failures = 0;
        if server.state != BackendState::Warming {
            return;
        }
        server.warm_slots = server.warm_slots.saturating_mul(2);
        if server.warm_slots >= server.slots {
            server.ejections = 0;
            self.advance_server(index, BackendEvent::Warm);
        } else {
            self.update_indexes(index);
        }
    }

    /// Records a failure that may be due to the backend server, and ejects it after too many in a
    /// row unless much of its pool is out of service as well.
    pub(crate) fn record_failure(&mut self, index: usize) {
        let server = &mut self.servers[index];
        server.failures += 1;
        let (failures, open) = (server.failures, server.state.is_open());
        if open && failures >= self.settings.eject_after && !self.is_mass_failure(index) {
            self.eject(index);
        }
    }
}
