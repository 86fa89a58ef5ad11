//! Results of a run.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::Purpose;

/// Results of a run.
#[derive(Clone, Debug, Default)]
pub struct Report {
    /// Time from the commit of each revision until it was in force, for each member that was
    /// already running.
    pub spread_times: Vec<Duration>,
    /// Number of committed revisions.
    pub revisions: u64,
    /// Number of store calls of members, by second and purpose.
    pub calls: BTreeMap<u64, BTreeMap<Purpose, u64>>,
    /// Number of store calls of operators, by second.
    pub operator_calls: BTreeMap<u64, u64>,
    /// Number of messages between members after the warm-up.
    pub messages: u64,
    /// Size of these messages, in bytes.
    pub bytes: u64,
    /// Largest number of bytes that one member sent after the warm-up.
    pub peak_sent: u64,
    /// Number of events that the state machines handled.
    pub events: u64,
    /// Number of times that a member declared another one gone.
    pub gone: u64,
    /// Number of these in which the other member was running and not leaving.
    pub false_gone: u64,
    /// Number of members that were fenced.
    pub fenced: u64,
    /// Number of times that a member started to own a shard.
    pub moves: u64,
    /// Number of times that a live member was seen as unreachable after the warm-up.
    pub false_silences: u64,
    /// Time from the end of the faults until all members agreed.
    pub convergence_time: Duration,
    /// Second in which the last outage ended; `None` if there was none.
    pub recovered_at: Option<u64>,
    /// Number of changes by outcome.
    pub outcomes: BTreeMap<&'static str, u64>,
    /// Highest number of store calls of the members in one second.
    pub peak_calls: u64,
    /// Length of the run including the warm-up, in seconds.
    pub seconds: u64,
}

impl Report {
    /// Quantile `q`, from 0 to 1, of `spread_times`.
    pub fn quantile(&self, q: f64) -> Duration {
        let mut sorted = self.spread_times.clone();
        sorted.sort();
        let last = sorted.len().saturating_sub(1);
        let at = ((sorted.len() as f64) * q).ceil() as usize;
        sorted.get(at.saturating_sub(1).min(last)).copied().unwrap_or_default()
    }

    /// Number of store calls of members and operators from second `from` up to, but excluding,
    /// second `to`.
    pub fn calls_between(&self, from: u64, to: u64) -> u64 {
        let members = self.calls.range(from..to).flat_map(|(_, by)| by.values());
        let operators = self.operator_calls.range(from..to).map(|(_, count)| count);
        members.chain(operators).sum()
    }
}
