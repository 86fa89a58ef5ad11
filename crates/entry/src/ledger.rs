//! Counts answers for the burn-rate report and persists the counts in the store.
//!
//! Every entry VM writes its own record about once a minute and when it stops, so that a crash
//! loses at most a minute of counts. A report asks the running entry VMs for their records and
//! reads those of the others from the store.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use futures_util::future::join_all;
use log::debug;
use log::warn;
use tokio::sync::watch;

use crate::clock::Clock;
use crate::members::View;
use crate::metrics::Metrics;
use crate::relay::PeerAnswer;
use crate::relay::Question;
use crate::relay::Relay;
use burn::Outcome;
use burn::Record;
use burn::Series;
use fleet::MemberState;
use model::AccountId;
use model::ServiceId;
use model::Stamp;
use model::Verdict;
use model::VmId;
use route::Answer;
use route::Reason;
use store::Cas;
use store::Purpose;
use store::Store;
use wire::border;

/// Interval at which the record is written to the store.
const WRITE_INTERVAL: Duration = Duration::from_secs(55);
/// Delay before the initial read of the store is retried.
const READ_RETRY_DELAY: Duration = Duration::from_secs(5);
/// Key prefix of the records in the store.
const RECORDS: &str = "basilrack/burn/";
/// Lowest HTTP status that counts against the objective of a service.
const MIN_SERVER_ERROR: u16 = 500;

/// Counts of the answers of this entry VM.
#[derive(Clone, Debug)]
pub struct Ledger {
    clock: Clock,
    vm: VmId,
    counts: Arc<Mutex<burn::Ledger>>,
    metrics: Metrics,
    view: watch::Receiver<Arc<View>>,
}

impl Ledger {
    /// Creates an empty ledger of `vm` that also updates `metrics`.
    pub fn new(
        clock: Clock,
        vm: VmId,
        metrics: Metrics,
        view: watch::Receiver<Arc<View>>,
    ) -> Ledger {
        let counts = burn::Ledger::new(vm.clone(), clock.stamp());
        Ledger { clock, vm, counts: Arc::new(Mutex::new(counts)), metrics, view }
    }

    /// Counts the answer to a request; ignores unknown services and client accounts.
    pub fn count_answer(
        &self,
        service: &ServiceId,
        account: &AccountId,
        answer: &Answer,
        took: Duration,
    ) {
        let view = self.view.borrow().clone();
        let Some(policy) = view.text.services.get(service) else { return };
        if !view.text.accounts.contains_key(account) {
            return;
        }
        self.metrics.count_answer(service.as_str(), answer, took.as_secs_f64());
        if let Some(outcome) = classify(answer, took, policy.objective.latency) {
            let series = Series { service: service.clone(), account: account.clone() };
            self.lock_counts().count(self.clock.stamp(), &series, outcome);
        }
    }

    /// Counts of this entry VM up to now.
    pub fn record(&self) -> Record {
        self.lock_counts().record(self.clock.stamp())
    }

    /// Loads the counts of earlier processes of this entry VM, then writes the record at intervals.
    pub async fn write_periodically<S: Store>(self, store: S) {
        let mut version = loop {
            match self.load_earlier(&store).await {
                Ok(version) => break version,
                Err(error) => debug!("burn: cannot read the earlier counts: {error}"),
            }
            tokio::time::sleep(READ_RETRY_DELAY).await;
        };
        loop {
            tokio::time::sleep(WRITE_INTERVAL).await;
            version = self.write(&store, version).await;
        }
    }

    async fn load_earlier<S: Store>(&self, store: &S) -> Result<u64, store::Error> {
        let Some(entry) = store.get(Purpose::Report, &self.key()).await? else { return Ok(0) };
        match wire::decode(&entry.value) {
            Ok(record) => self.lock_counts().inherit(&record),
            Err(error) => warn!("burn: cannot decode the earlier counts: {error}"),
        }
        Ok(entry.version)
    }

    /// Writes the record and returns the version to expect at the next write.
    async fn write<S: Store>(&self, store: &S, version: u64) -> u64 {
        let Ok(value) = wire::encode(&self.record()) else { return version };
        match store.cas(Purpose::Report, &self.key(), version, value, None).await {
            Ok(Cas::Committed { version }) => version,
            Ok(Cas::Conflict { current }) => current.map_or(0, |entry| entry.version),
            Err(error) => {
                debug!("burn: cannot write the counts: {error}");
                version
            }
        }
    }

    /// Writes the record on shutdown.
    pub async fn write_final<S: Store>(&self, store: &S) {
        let version = match store.get(Purpose::Report, &self.key()).await {
            Ok(entry) => entry.map_or(0, |entry| entry.version),
            Err(_) => return,
        };
        self.write(store, version).await;
    }

    /// Builds the burn-rate report over all entry VMs.
    pub async fn report<S: Store>(&self, relay: &Relay, store: &S) -> border::BurnReport {
        let view = self.view.borrow().clone();
        let now = self.clock.stamp();
        let mut gathered = GatheredRecords::new(self.record());
        self.ask_peers(relay, &view, &mut gathered).await;
        add_stored_records(store, &mut gathered).await;
        let objectives = view
            .text
            .services
            .iter()
            .map(|(id, service)| (id.clone(), service.objective.availability.fraction()));
        let objectives: BTreeMap<ServiceId, f64> = objectives.collect();
        let report = burn::report(&gathered.records, &gathered.live, &objectives, now);
        border_report(&report, now, gathered.unknown)
    }

    async fn ask_peers(&self, relay: &Relay, view: &View, gathered: &mut GatheredRecords) {
        let others = view
            .fleet
            .members
            .iter()
            .filter(|member| member.member.vm != self.vm && member.state != MemberState::Gone);
        let asked = others.map(|member| async move {
            let answer = relay.ask(member.member.incarnation, Question::Burn).await;
            (member.member.vm.clone(), answer)
        });
        for (vm, answer) in join_all(asked).await {
            match answer {
                Ok(PeerAnswer::Burn(record)) => gathered.add(*record, true),
                Ok(_) => {}
                Err(error) => gathered.add_unreachable(&vm, &error.to_string()),
            }
        }
    }

    fn key(&self) -> String {
        format!("{RECORDS}{}", self.vm)
    }

    fn lock_counts(&self) -> MutexGuard<'_, burn::Ledger> {
        self.counts.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Records collected for one report.
struct GatheredRecords {
    records: Vec<Record>,
    live: BTreeSet<VmId>,
    unknown: Vec<border::Doubt>,
}

impl GatheredRecords {
    fn new(own: Record) -> GatheredRecords {
        let live = BTreeSet::from([own.vm.clone()]);
        GatheredRecords { records: vec![own], live, unknown: Vec::new() }
    }

    fn add(&mut self, record: Record, live: bool) {
        if self.records.iter().any(|known| known.vm == record.vm) {
            return;
        }
        if live {
            self.live.insert(record.vm.clone());
        }
        self.records.push(record);
    }

    fn add_unreachable(&mut self, vm: &VmId, why: &str) {
        self.live.insert(vm.clone());
        let subject = format!("counts of entry VM {vm} in the last minute");
        self.unknown.push(border::Doubt { subject, why: why.to_owned() });
    }
}

async fn add_stored_records<S: Store>(store: &S, gathered: &mut GatheredRecords) {
    match store.list(Purpose::Report, RECORDS).await {
        Ok(listing) => {
            for entry in &listing.entries {
                match wire::decode::<Record>(&entry.value) {
                    Ok(record) => gathered.add(record, false),
                    Err(error) => warn!("burn: cannot decode {}: {error}", entry.key),
                }
            }
        }
        Err(error) => gathered.unknown.push(border::Doubt {
            subject: "counts of entry VMs that are not running".to_owned(),
            why: error.to_string(),
        }),
    }
}

/// Classifies an answer against the objective; `None` if it is due to the caller alone.
fn classify(answer: &Answer, took: Duration, latency: Duration) -> Option<Outcome> {
    match answer.reason {
        Reason::Conflict
        | Reason::NotIssued
        | Reason::TooOld
        | Reason::Cancelled
        | Reason::RateLimit
        | Reason::NoService
        | Reason::NoAccount => return None,
        _ => {}
    }
    Some(match answer.verdict {
        Verdict::Unknown => Outcome::Unknown,
        Verdict::NotRun => Outcome::Bad,
        Verdict::Ran if answer.status >= MIN_SERVER_ERROR || took > latency => Outcome::Bad,
        Verdict::Ran => Outcome::Good,
    })
}

fn border_report(
    report: &burn::Report,
    now: Stamp,
    unknown: Vec<border::Doubt>,
) -> border::BurnReport {
    let window = |window: &burn::WindowReport| border::BurnWindow {
        window: window.window.to_string(),
        good: window.counts.good,
        bad: window.counts.bad,
        unknown: window.counts.unknown,
        burn: window.burn,
        covered: window.covered,
    };
    let lines = report.lines.iter().map(|line| border::BurnLine {
        service: line.series.service.to_string(),
        account: line.series.account.to_string(),
        objective: line.objective,
        windows: line.windows.iter().map(window).collect(),
        alert: line.alert.map(|alert| alert.to_string()),
        left: line.left,
    });
    border::BurnReport { as_of_ms: now.0, lines: lines.collect(), unknown }
}
