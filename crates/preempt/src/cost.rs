//! Cost of stopping runs.

/// Maximum work that a checkpointing run loses when it is stopped, in ms: the time since its last
/// checkpoint. The users' checkpoint interval is a second or two.
const MAX_CHECKPOINT_LOSS_MS: u64 = 1_000;
/// Cost of each stop beside the lost work, in ms: starting the task again and restoring it.
const RESTART_COST_MS: u64 = 500;

/// What stopping one run loses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Loss {
    /// Time for which the run has worked, in ms.
    pub worked_ms: u64,
    /// Whether it saves checkpoints.
    pub checkpoints: bool,
    /// Estimate of its whole run time, in ms.
    pub estimate_ms: u64,
    /// Number of runs that its task lost before it.
    pub earlier: u64,
    /// CPU equivalent of its resources, in thousandths of a core.
    pub weight: u64,
}

impl Loss {
    /// Cost in core-milliseconds: the lost work and, for each run lost before, a whole run time. So a
    /// task that was stopped once is stopped again only if every other victim has almost ended.
    pub fn cost(&self) -> u64 {
        let most = if self.checkpoints { MAX_CHECKPOINT_LOSS_MS } else { u64::MAX };
        let lost = self.worked_ms.min(most).saturating_add(RESTART_COST_MS);
        let before = self.earlier.saturating_mul(self.estimate_ms.max(self.worked_ms));
        lost.saturating_add(before).saturating_mul(self.weight) / 1_000
    }
}
