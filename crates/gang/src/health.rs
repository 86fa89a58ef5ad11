//! Detection of workers on which jobs fail.
//!
//! A failure counts against a worker only while the job has failed on no other worker: a job that
//! fails on several is assumed to be at fault itself, and its failures are taken back from all of
//! them. A quarantined worker is probed with one job at a time, at intervals that double.

use std::collections::BTreeSet;
use std::time::Duration;

use model::JobId;
use model::Time;

/// Failure history and probe schedule of one worker.
#[derive(Clone, Debug, Default)]
pub(crate) struct Health {
    /// Jobs that failed on the worker since one last succeeded.
    pub(crate) failed_jobs: BTreeSet<JobId>,
    /// Time before the next probe, zero if the worker is not quarantined.
    pub(crate) probe_interval: Duration,
    /// When the next probe, or the end of the current one, is due.
    pub(crate) next_probe: Time,
}

impl Health {
    /// Clears failures and probes after a job succeeded.
    pub(crate) fn reset(&mut self) {
        *self = Health::default();
    }

    /// Starts a quarantine of `min`, or doubles the probe interval up to `max`.
    pub(crate) fn quarantine(&mut self, now: Time, min: Duration, max: Duration) {
        self.probe_interval =
            if self.probe_interval.is_zero() { min } else { (self.probe_interval * 2).min(max) };
        self.next_probe = now + self.probe_interval;
    }
}
