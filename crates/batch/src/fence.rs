//! Fencing of calls that reach the next incarnation of a worker.
//!
//! A call that got no answer may be carried out seconds later. A worker that has restarted under its
//! id in the meantime accepts such a call: it remembers neither the runs that ended there nor the
//! fencing tokens that it has seen, its clock starts anew, so that the lease of a delayed start
//! seems to last, and its ends are numbered from one again, so that a delayed acknowledgement would
//! discard them.
//!
//! So calls to a worker carry a higher token as soon as it leaves a start or a renewal unanswered,
//! and again once another incarnation has answered. The next renewal makes the worker refuse
//! whatever was sent before. The token is the store revision of the owner's last transaction. It is
//! higher than that of the claim and lower than that of the next owner's claim, since all of them
//! write the same key on condition that nobody else has done so in the meantime. If a worker has
//! seen the last revision already, the raise waits for a further transaction.
//!
//! What remains is the time until the restarted worker is called for the first time. It is kept
//! short while a start may still be on its way: each worker with such a start is called all the
//! time, also while it is idle or the directory does not list it. These are the workers that left a
//! start of this owner unanswered, and for a while after a takeover all of them, since nothing that
//! is stored tells which starts of the former owner got an answer. An idle worker is also called
//! when its entry in the directory states another incarnation.

use std::time::Duration;

use crate::Planner;
use crate::action::Action;
use crate::action::Note;
use crate::directory::Worker;
use crate::spec::WorkerId;
use model::Time;

/// Maximum time after which a start that got no answer is carried out: on the users' bad days this
/// takes 2 to 12 s.
pub(crate) const DELAYED_START_TIME: Duration = Duration::from_secs(12);

/// Fencing token of the calls to one worker.
#[derive(Clone, Debug, Default)]
pub(crate) struct Fence {
    /// Token that calls carry.
    pub token: u64,
    /// Token that the last renewal carried.
    pub sent: u64,
    /// Token of the last renewal that was answered.
    pub answered: u64,
    /// Until when an unanswered start of this owner may still be carried out.
    pub doubtful_until: Time,
    /// Incarnation that the worker's entry stated when it was last called; zero for none.
    pub listed: u64,
}

impl Fence {
    /// Fence of a worker that has not been called yet.
    pub fn new(token: u64) -> Fence {
        Fence { token, ..Fence::default() }
    }

    /// Whether the worker has not answered a renewal with the current token.
    pub fn is_open(&self) -> bool {
        self.answered < self.token
    }

    /// Whether an unanswered start of this owner may still be carried out.
    pub fn is_doubtful(&self, now: Time) -> bool {
        now < self.doubtful_until
    }
}

impl Worker {
    /// Whether its entry states a later incarnation than the one that last answered, and it has not
    /// been called since. An entry of another writer may state any, so it is called once for each.
    pub fn seems_restarted(&self) -> bool {
        let listed = self.info.incarnation.unwrap_or(0);
        let later = self.incarnation > 0 && listed > self.incarnation;
        self.listed && later && listed != self.fence.listed
    }
}

impl Planner {
    /// Records the store revision of a transaction of this owner.
    pub(crate) fn transaction_stored(&mut self, revision: u64) {
        self.revision = self.revision.max(revision);
        for id in std::mem::take(&mut self.raises) {
            self.raise_token(&id);
        }
    }

    /// Raises the fencing token of the calls to a worker, at once or after the next transaction.
    pub(crate) fn raise_token(&mut self, id: &WorkerId) {
        let Some(worker) = self.workers.get_mut(id) else { return };
        if self.revision <= worker.fence.token {
            self.raises.insert(id.clone());
            return;
        }
        worker.fence.token = self.revision;
        let (worker, token) = (id.clone(), self.revision);
        self.out.push(Action::Note(Note::RaisesToken { worker, token }));
    }

    /// Processes the refusal of a call that carried `token`: another owner has taken over, unless
    /// the call was overtaken by one with a higher token of this owner.
    pub(crate) fn fenced(&mut self, id: &WorkerId, token: u64) {
        let overtaken = |worker: &Worker| token < worker.fence.token;
        if !self.workers.get(id).is_none_or(overtaken) {
            self.out.push(Action::Resign);
        }
    }

    /// Records that a start got no answer. The raised token makes the next incarnation refuse it as
    /// soon as any call arrives there, even if the owner has not learned of the restart.
    pub(crate) fn note_doubtful_start(&mut self, now: Time, id: &WorkerId) {
        if let Some(worker) = self.workers.get_mut(id) {
            worker.fence.doubtful_until = now + DELAYED_START_TIME;
        }
        self.raise_token(id);
    }
}
