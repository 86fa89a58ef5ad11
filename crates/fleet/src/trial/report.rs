//! What a run showed.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::Purpose;

/// What a run showed.
#[derive(Clone, Debug, Default)]
pub struct Report {
    /// Time from the commit of each revision until it was in force, for each member that was up.
    pub spread_times: Vec<Duration>,
    /// Revisions committed.
    pub revisions: u64,
    /// Store calls by second and purpose; those of operators apart.
    pub calls: BTreeMap<u64, BTreeMap<Purpose, u64>>,
    /// Store calls of operators by second.
    pub operator_calls: BTreeMap<u64, u64>,
    /// Messages between members after the warm-up.
    pub messages: u64,
    /// Their bytes.
    pub bytes: u64,
    /// Most bytes that one member sent after the warm-up.
    pub peak_sent: u64,
    /// Events that the machines took.
    pub events: u64,
    /// Members declared gone.
    pub gone: u64,
    /// Members declared gone that were up.
    pub false_gone: u64,
    /// Members that the others fenced.
    pub fenced: u64,
    /// Times that a shard changed hands.
    pub moves: u64,
    /// Times that a live member was seen as out of reach, after the warm-up.
    pub false_silences: u64,
    /// Time from the end of the faults until the fleet agreed.
    pub convergence_time: Duration,
    /// Second in which an outage ended, if one was planned.
    pub recovered_at: Option<u64>,
    /// Outcomes of operators' changes by name.
    pub outcomes: BTreeMap<&'static str, u64>,
    /// Highest store call rate of the members, by second.
    pub peak_calls: u64,
    /// Length of the run with its warm-up, in seconds.
    pub seconds: u64,
}

impl Report {
    /// Quantile `q` of the time until a revision was in force.
    pub fn quantile(&self, q: f64) -> Duration {
        let mut sorted = self.spread_times.clone();
        sorted.sort();
        let last = sorted.len().saturating_sub(1);
        let at = ((sorted.len() as f64) * q).ceil() as usize;
        sorted.get(at.saturating_sub(1).min(last)).copied().unwrap_or_default()
    }

    /// Store calls of members and operators from second `from` to second `to`.
    pub fn calls_between(&self, from: u64, to: u64) -> u64 {
        let members = self.calls.range(from..to).flat_map(|(_, by)| by.values());
        let operators = self.operator_calls.range(from..to).map(|(_, count)| count);
        members.chain(operators).sum()
    }
}
