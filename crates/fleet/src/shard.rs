//! State of one shard on this entry VM.

use std::sync::LazyLock;

use strum::AsRefStr;
use strum::Display;
use strum::VariantArray;

use chart::Machine;
use model::Epoch;
use model::Time;

/// State of a shard on this entry VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, AsRefStr, Display, VariantArray)]
#[strum(serialize_all = "snake_case")]
pub(crate) enum ShardState {
    /// Not owned by this entry VM.
    Free,
    /// A claim is pending.
    Claiming,
    /// Owned by this entry VM.
    Owned,
    /// No longer owned; the deletion of the store's key is pending.
    Releasing,
}

/// Event that changes the state of a shard.
#[derive(Clone, Copy, Debug, PartialEq, Eq, AsRefStr, Display, VariantArray)]
#[strum(serialize_all = "snake_case")]
pub(crate) enum ShardEvent {
    /// A claim was sent.
    Claim,
    /// The claim took effect.
    Won,
    /// Another member owns the shard, or the outcome is unknown.
    Refused,
    /// This entry VM releases the shard.
    Release,
    /// The deletion of the key completed.
    Released,
    /// The lease expired.
    Lapse,
}

static SHARD: LazyLock<Machine<ShardState, ShardEvent>> =
    LazyLock::new(|| Machine::embedded(include_str!("../charts/shard.json")));

/// State of a shard on this entry VM, owned or not.
#[derive(Clone, Debug)]
pub(crate) struct LocalShard {
    state: ShardState,
    epoch: Epoch,
    /// Since when the shard has been assigned to another member; `None` if it is not.
    pub(crate) misplaced_since: Option<Time>,
    /// Earliest time of the next claim.
    pub(crate) retry_at: Time,
    /// Number of the lease under which the last claim was made.
    pub(crate) lease_term: u64,
}

impl Default for LocalShard {
    fn default() -> LocalShard {
        LocalShard {
            state: SHARD.initial(),
            epoch: Epoch(0),
            misplaced_since: None,
            retry_at: Time::ZERO,
            lease_term: 0,
        }
    }
}

impl LocalShard {
    pub(crate) fn state(&self) -> ShardState {
        self.state
    }

    /// Epoch of the shard if it is owned; `None` otherwise.
    pub(crate) fn owned_epoch(&self) -> Option<Epoch> {
        (self.state == ShardState::Owned).then_some(self.epoch)
    }

    pub(crate) fn advance(&mut self, event: ShardEvent) {
        SHARD.advance(&mut self.state, event);
        self.misplaced_since = None;
    }

    pub(crate) fn complete_claim(&mut self, epoch: Epoch) {
        assert!(epoch > self.epoch, "epoch did not increase from {} to {epoch}", self.epoch);
        self.advance(ShardEvent::Won);
        self.epoch = epoch;
    }
}
