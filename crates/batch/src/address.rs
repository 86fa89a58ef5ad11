//! Addresses at which a worker is called.
//!
//! The directory states the address of a worker, but an entry may come from another writer, and two
//! entries may state the same address. A worker answers only calls that are meant for it, so an
//! address is wrong if another one answers there. That says nothing of the worker that was meant: its
//! runs go on at its true address. So a worker that has runs and answers is called where it answered,
//! whatever its entry says, and after a failed call the stated address and the last good one are
//! tried by turns.

use std::net::SocketAddr;

/// Addresses of one worker.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Addresses {
    /// Address for the next calls.
    pub current: SocketAddr,
    /// Address in the worker's entry.
    listed: SocketAddr,
    /// Address from which it last answered a renewal.
    answered: Option<SocketAddr>,
    /// Address that the last renewal was sent to.
    called: SocketAddr,
}

impl Addresses {
    /// Addresses of a worker that has not been called yet.
    pub fn new(listed: SocketAddr) -> Addresses {
        Addresses { current: listed, listed, answered: None, called: listed }
    }

    /// Records the address in the worker's entry. A new one is used unless the current one is kept.
    pub fn list(&mut self, address: SocketAddr, keep: bool) {
        if self.listed == address {
            return;
        }
        self.listed = address;
        if !keep {
            self.current = address;
        }
    }

    /// Whether any address is known.
    pub fn known(&self) -> bool {
        self.current.port() != 0
    }

    /// Records that a renewal is sent.
    pub fn call(&mut self) {
        self.called = self.current;
    }

    /// Records that the worker answered a renewal.
    pub fn confirm(&mut self) {
        self.answered = Some(self.called);
        self.current = self.called;
    }

    /// Records that the worker did not answer a renewal, or that another one did.
    pub fn fail(&mut self) {
        self.current = match self.answered {
            Some(answered) if self.called == self.listed => answered,
            _ => self.listed,
        };
    }
}
