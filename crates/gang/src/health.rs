//! Workers that fail what they start.
//!
//! A failure counts against a worker only while the job has failed nowhere else: a job that fails
//! on several workers is suspected itself, and its strikes are taken back. A quarantined worker is
//! tried with one job at a time, after pauses that double.

use std::collections::BTreeSet;
use std::time::Duration;

use model::JobId;
use model::Time;

/// Failures and probes of one worker.
#[derive(Clone, Debug, Default)]
pub(crate) struct Health {
    /// Different jobs that failed here since one ended well.
    pub(crate) failed_jobs: BTreeSet<JobId>,
    /// Pause before the next probe, zero while not quarantined.
    pub(crate) probe_interval: Duration,
    /// When the next probe is due.
    pub(crate) next_probe: Time,
}

impl Health {
    /// Forgets failures after a task ended well.
    pub(crate) fn reset(&mut self) {
        *self = Health::default();
    }

    /// Begins or lengthens the quarantine.
    pub(crate) fn quarantine(&mut self, now: Time, min: Duration, max: Duration) {
        self.probe_interval =
            if self.probe_interval.is_zero() { min } else { (self.probe_interval * 2).min(max) };
        self.next_probe = now + self.probe_interval;
    }
}
