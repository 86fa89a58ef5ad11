//! Ownership of one shard as this entry VM holds it.

use std::sync::LazyLock;

use strum::AsRefStr;
use strum::Display;
use strum::VariantArray;

use chart::Machine;
use model::Epoch;
use model::Time;

/// State of one shard.
#[derive(Clone, Copy, Debug, PartialEq, Eq, AsRefStr, Display, VariantArray)]
#[strum(serialize_all = "snake_case")]
pub(crate) enum ShardState {
    /// Not ours.
    Free,
    /// A claim has no outcome so far.
    Claiming,
    /// Ours.
    Owned,
    /// No longer ours; the store's key has not been deleted yet.
    Releasing,
}

/// What changes the state of one shard.
#[derive(Clone, Copy, Debug, PartialEq, Eq, AsRefStr, Display, VariantArray)]
#[strum(serialize_all = "snake_case")]
pub(crate) enum ShardEvent {
    /// A claim is made.
    Claim,
    /// The claim took effect.
    Won,
    /// Another member owns the shard, or the outcome is not known.
    Refused,
    /// We let go.
    Release,
    /// The key is deleted.
    Released,
    /// The lease lapsed.
    Lapse,
}

static SHARD: LazyLock<Machine<ShardState, ShardEvent>> =
    LazyLock::new(|| Machine::embedded(include_str!("../charts/shard.json")));

/// One shard.
#[derive(Clone, Debug)]
pub(crate) struct LocalShard {
    state: ShardState,
    epoch: Epoch,
    /// Since when the shard would be better placed elsewhere.
    pub(crate) misplaced_since: Option<Time>,
    /// When it may be claimed again.
    pub(crate) retry_at: Time,
    /// Lease under which the last claim was made.
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

    /// The epoch of an owned shard.
    pub(crate) fn owned_epoch(&self) -> Option<Epoch> {
        (self.state == ShardState::Owned).then_some(self.epoch)
    }

    pub(crate) fn advance(&mut self, event: ShardEvent) {
        SHARD.advance(&mut self.state, event);
        self.misplaced_since = None;
    }

    pub(crate) fn complete_claim(&mut self, epoch: Epoch) {
        assert!(epoch > self.epoch, "epoch fell from {} to {epoch}", self.epoch);
        self.advance(ShardEvent::Won);
        self.epoch = epoch;
    }
}
