//! Prometheus metrics of an entry VM.

use prometheus::Encoder;
use prometheus::HistogramOpts;
use prometheus::HistogramVec;
use prometheus::IntCounterVec;
use prometheus::IntGauge;
use prometheus::IntGaugeVec;
use prometheus::Opts;
use prometheus::Registry;
use prometheus::TextEncoder;
use prometheus::core::Collector;
use prometheus::process_collector::ProcessCollector;

use crate::error::Error;

/// Upper bounds of the buckets of the request time histogram, in seconds.
const REQUEST_SECONDS_BUCKETS: [f64; 14] =
    [0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 30.0, 300.0];

/// Counters, gauges and histograms of one entry VM.
#[derive(Clone, Debug)]
pub struct Metrics {
    registry: Registry,
    http_responses: IntCounterVec,
    answers: IntCounterVec,
    request_seconds: HistogramVec,
    store_calls: IntCounterVec,
    peer_bytes: IntCounterVec,
    queued: IntGauge,
    running: IntGauge,
    shards: IntGauge,
    jobs: IntGaugeVec,
    revision: IntGauge,
    ready: IntGauge,
}

impl Metrics {
    /// Registers all metrics.
    ///
    /// # Errors
    ///
    /// Two metrics have the same name, which is a bug.
    pub fn new() -> Result<Metrics, Error> {
        let registry = Registry::new();
        let metrics = Metrics {
            http_responses: counters(
                "http_responses_total",
                "HTTP responses by status",
                &["status"],
            )?,
            answers: counters("answers_total", "Answers by verdict", &["verdict", "reason"])?,
            request_seconds: HistogramVec::new(
                HistogramOpts::new("basilrack_request_seconds", "Time from receipt to answer")
                    .buckets(REQUEST_SECONDS_BUCKETS.to_vec()),
                &["service"],
            )?,
            store_calls: counters("store_calls_total", "Store calls", &["purpose", "outcome"])?,
            peer_bytes: counters(
                "peer_bytes_total",
                "Bytes to and from peers",
                &["direction", "distance"],
            )?,
            queued: gauge("requests_queued", "Requests that wait here")?,
            running: gauge("requests_running", "Requests in progress here")?,
            shards: gauge("shards_owned", "Placement shards owned here")?,
            jobs: IntGaugeVec::new(
                Opts::new("basilrack_jobs", "Jobs of the shards owned here, by state"),
                &["state"],
            )?,
            revision: gauge("text_revision", "Revision of the configuration in force")?,
            ready: gauge("ready", "Whether new work is taken")?,
            registry,
        };
        metrics.register_all()?;
        Ok(metrics)
    }

    fn register_all(&self) -> Result<(), Error> {
        self.register_one(self.http_responses.clone())?;
        self.register_one(self.answers.clone())?;
        self.register_one(self.request_seconds.clone())?;
        self.register_one(self.store_calls.clone())?;
        self.register_one(self.peer_bytes.clone())?;
        self.register_one(self.queued.clone())?;
        self.register_one(self.running.clone())?;
        self.register_one(self.shards.clone())?;
        self.register_one(self.jobs.clone())?;
        self.register_one(self.revision.clone())?;
        self.register_one(self.ready.clone())?;
        self.register_one(ProcessCollector::for_self())
    }

    fn register_one<C: Collector + 'static>(&self, collector: C) -> Result<(), Error> {
        self.registry.register(Box::new(collector))?;
        Ok(())
    }

    /// Counts an HTTP response.
    pub fn count_response(&self, status: u16) {
        self.http_responses.with_label_values(&[status.to_string().as_str()]).inc();
    }

    /// Counts an answer to a request, `seconds` after its receipt.
    pub fn count_answer(&self, service: &str, answer: &route::Answer, seconds: f64) {
        let labels = [answer.verdict.as_ref(), answer.reason.as_ref()];
        self.answers.with_label_values(&labels).inc();
        self.request_seconds.with_label_values(&[service]).observe(seconds);
    }

    /// Sets the gauges of queued and running requests.
    pub fn set_requests(&self, state: &route::Snapshot) {
        let queued = state.queues.iter().map(|queue| queue.waiting).sum::<usize>();
        self.queued.set(i64::try_from(queued).unwrap_or(i64::MAX));
        self.running.set(i64::try_from(state.running).unwrap_or(i64::MAX));
    }

    /// Sets the gauges of the shards owned here and their jobs.
    pub fn set_shards<'s>(&self, shards: impl Iterator<Item = &'s gang::Snapshot>) {
        self.jobs.reset();
        let mut owned = 0;
        for shard in shards {
            owned += 1;
            for (state, count) in &shard.jobs {
                self.jobs.with_label_values(&[state.as_ref()]).add(i64::from(*count));
            }
        }
        self.shards.set(owned);
    }

    /// Sets the gauges of the revision in force and of readiness.
    pub fn set_node(&self, revision: u64, ready: bool) {
        self.revision.set(i64::try_from(revision).unwrap_or(i64::MAX));
        self.ready.set(i64::from(ready));
    }

    /// Raises a counter of store calls to the total that the store client counted.
    pub fn set_store_calls(&self, purpose: &str, outcome: &str, total: u64) {
        raise_to(&self.store_calls, &[purpose, outcome], total);
    }

    /// Raises a counter of peer bytes to the total that the peer links counted.
    pub fn set_peer_bytes(&self, direction: &str, distance: &str, total: u64) {
        raise_to(&self.peer_bytes, &[direction, distance], total);
    }

    /// Renders all metrics in the Prometheus text format.
    pub fn render(&self) -> Vec<u8> {
        let mut text = Vec::new();
        let families = self.registry.gather();
        // Encoding to memory fails only for a metric family without values, which can be left out.
        let _ = TextEncoder::new().encode(&families, &mut text);
        text
    }
}

fn raise_to(counters: &IntCounterVec, labels: &[&str], total: u64) {
    let counter = counters.with_label_values(labels);
    counter.inc_by(total.saturating_sub(counter.get()));
}

fn counters(name: &str, help: &str, labels: &[&str]) -> Result<IntCounterVec, Error> {
    Ok(IntCounterVec::new(Opts::new(format!("basilrack_{name}"), help), labels)?)
}

fn gauge(name: &str, help: &str) -> Result<IntGauge, Error> {
    Ok(IntGauge::new(format!("basilrack_{name}"), help)?)
}
