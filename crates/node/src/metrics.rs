//! Prometheus metrics of an entry VM.
//!
//! Label values come from small fixed sets; none contains a job, a caller or a worker. Only the
//! names of evacuated availability zones are chosen by operators, and their number is limited.

use std::time::Duration;

use prometheus::Encoder;
use prometheus::HistogramOpts;
use prometheus::HistogramVec;
use prometheus::IntCounterVec;
use prometheus::IntGaugeVec;
use prometheus::Opts;
use prometheus::Registry;
use prometheus::TextEncoder;

use crate::error::Error;
use platform::store::Observer;

/// Bucket bounds of the histograms, in seconds.
const TIME_BUCKETS: [f64; 12] =
    [0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 20.0];

/// Counters, gauges and histograms of an entry VM.
#[derive(Clone, Debug)]
pub struct Metrics {
    registry: Registry,
    answer_seconds: HistogramVec,
    store_seconds: HistogramVec,
    order_seconds: HistogramVec,
    placement_seconds: HistogramVec,
    events: IntCounterVec,
    gauges: IntGaugeVec,
    evacuations: IntGaugeVec,
    preempted: IntCounterVec,
}

impl Metrics {
    /// Registers all metrics.
    ///
    /// # Errors
    ///
    /// Two metrics have the same name, which is a bug.
    pub fn new() -> Result<Metrics, Error> {
        let histogram = |name: &str, help: &str, labels: &[&str]| {
            HistogramVec::new(HistogramOpts::new(name, help).buckets(TIME_BUCKETS.to_vec()), labels)
        };
        let metrics = Metrics {
            registry: Registry::new(),
            answer_seconds: histogram(
                "basilrack_answer_seconds",
                "Answers to callers by method, status and reason",
                &["method", "status", "reason"],
            )?,
            store_seconds: histogram(
                "basilrack_store_seconds",
                "Calls to the store by purpose and outcome",
                &["purpose", "outcome"],
            )?,
            order_seconds: histogram(
                "basilrack_order_seconds",
                "Orders to workers by kind and outcome",
                &["kind", "outcome"],
            )?,
            placement_seconds: histogram(
                "basilrack_place_seconds",
                "Age of jobs when tasks of theirs get places, by urgency",
                &["rank"],
            )?,
            events: IntCounterVec::new(
                Opts::new("basilrack_events_total", "Decisions and changes of belief by kind"),
                &["kind"],
            )?,
            gauges: IntGaugeVec::new(
                Opts::new("basilrack_level", "Jobs, runs, workers, versions and ages, by name"),
                &["name"],
            )?,
            evacuations: IntGaugeVec::new(
                Opts::new(
                    "basilrack_evacuation",
                    "Evacuated availability zones at the owner, by zone and name",
                ),
                &["zone", "name"],
            )?,
            preempted: IntCounterVec::new(
                Opts::new("basilrack_preempted_total", "Preempted runs, and their cost in core-ms"),
                &["what"],
            )?,
        };
        let registry = &metrics.registry;
        registry.register(Box::new(metrics.answer_seconds.clone()))?;
        registry.register(Box::new(metrics.store_seconds.clone()))?;
        registry.register(Box::new(metrics.order_seconds.clone()))?;
        registry.register(Box::new(metrics.placement_seconds.clone()))?;
        registry.register(Box::new(metrics.events.clone()))?;
        registry.register(Box::new(metrics.gauges.clone()))?;
        registry.register(Box::new(metrics.evacuations.clone()))?;
        registry.register(Box::new(metrics.preempted.clone()))?;
        Ok(metrics)
    }

    /// Records an answer to a caller that took `took`.
    pub fn observe_answer(&self, method: &str, status: u16, reason: &str, took: Duration) {
        // Callers choose the method, so all unknown methods share a label.
        let known = ["GET", "POST", "DELETE"].contains(&method);
        let method = if known { method } else { "other" };
        let labels = [method, &status.to_string(), reason];
        self.answer_seconds.with_label_values(&labels).observe(took.as_secs_f64());
    }

    /// Records an order to a worker, or a call for advice, that took `took`.
    pub fn observe_order(&self, kind: &str, outcome: &str, took: Duration) {
        self.order_seconds.with_label_values(&[kind, outcome]).observe(took.as_secs_f64());
    }

    /// Records that tasks of a job of age `age` were placed.
    pub fn observe_placement(&self, rank: &str, age: Duration) {
        self.placement_seconds.with_label_values(&[rank]).observe(age.as_secs_f64());
    }

    /// Counts a scheduling decision, a change of a worker's health or a takeover.
    pub fn count_event(&self, kind: &str) {
        self.events.with_label_values(&[kind]).inc();
    }

    /// Counts preempted runs, and what stopping them costs in core-milliseconds.
    pub fn count_preemption(&self, runs: usize, core_ms: u64) {
        self.preempted.with_label_values(&["runs"]).inc_by(runs as u64);
        self.preempted.with_label_values(&["core_ms"]).inc_by(core_ms);
    }

    /// Sets the gauge `name` to its current value.
    pub fn set_gauge(&self, name: &str, value: u64) {
        self.gauges.with_label_values(&[name]).set(i64::try_from(value).unwrap_or(i64::MAX));
    }

    /// Sets a gauge of an evacuated availability zone to its current value.
    pub fn set_evacuation(&self, zone: &str, name: &str, value: u64) {
        let value = i64::try_from(value).unwrap_or(i64::MAX);
        self.evacuations.with_label_values(&[zone, name]).set(value);
    }

    /// Removes the gauges of all availability zones, as on an entry VM that is not the owner.
    pub fn clear_evacuations(&self) {
        self.evacuations.reset();
    }

    /// Encodes all metrics in the Prometheus text format; empty if that fails.
    pub fn encode_text(&self) -> Vec<u8> {
        let mut text = Vec::new();
        match TextEncoder::new().encode(&self.registry.gather(), &mut text) {
            Ok(()) => text,
            Err(error) => {
                log::warn!(error = error.to_string().as_str(); "metrics: cannot encode");
                Vec::new()
            }
        }
    }
}

impl Observer for Metrics {
    fn observe(&self, purpose: &str, outcome: &str, took: Duration) {
        self.store_seconds.with_label_values(&[purpose, outcome]).observe(took.as_secs_f64());
    }
}
