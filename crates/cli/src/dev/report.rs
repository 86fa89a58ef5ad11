//! What a trial has shown.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use crate::dev::load::LoadGenerator;
use crate::dev::local_cluster::LocalCluster;
use crate::dev::tally::CallerOutcome;
use crate::dev::tally::Latencies;
use model::RequestId;
use wire::border;

/// Longest time for which a part of a gang may run alone: the lease time, and a renewal on top.
const PARTIAL_BOUND: Duration = Duration::from_secs(38);

/// What a trial has shown.
#[derive(Debug)]
pub struct Report {
    outcomes: BTreeMap<CallerOutcome, u64>,
    reasons: BTreeMap<String, u64>,
    waits: Vec<String>,
    jobs: BTreeMap<String, u64>,
    refused: BTreeMap<String, u64>,
    completions: String,
    duplicated: usize,
    mismatched: usize,
    false_refusals: usize,
    false_claims: usize,
    violations: Vec<Broken>,
    store_calls: u64,
    burn: Option<border::BurnReport>,
}

impl Report {
    /// Compares what callers were told with what the stand-ins saw.
    pub async fn new(
        load: &LoadGenerator,
        cluster: &LocalCluster,
        burn: Option<border::BurnReport>,
    ) -> Report {
        let violations = broken(load, cluster).await;
        let tally = load.tally();
        let runs = |id: &RequestId| cluster.pools.iter().map(|p| p.executions(*id)).sum::<u32>();
        let duplicated = cluster.pools.iter().flat_map(|pool| pool.doubled());
        let waits = tally.waits.iter().map(|(class, waits)| format!("{class}: {}", line(waits)));
        Report {
            outcomes: tally.outcomes.clone(),
            reasons: tally.reasons.clone(),
            waits: waits.collect(),
            jobs: tally.jobs.clone(),
            refused: tally.refused.clone(),
            completions: line(&tally.completions),
            duplicated: duplicated.filter(|id| !tally.idempotent.contains(id)).count(),
            mismatched: tally.mismatched.len(),
            false_refusals: tally.not_run.iter().filter(|id| runs(id) > 0).count(),
            false_claims: tally.ran.iter().filter(|id| runs(id) == 0).count(),
            violations,
            store_calls: cluster.store_calls(),
            burn,
        }
    }

    /// Whether every promise was kept.
    pub fn all_passed(&self) -> bool {
        let lost = self.outcomes.get(&CallerOutcome::Lost).copied().unwrap_or_default();
        let broken = self.duplicated + self.mismatched + self.false_refusals + self.false_claims;
        lost == 0 && broken == 0 && self.violations.is_empty()
    }
}

/// A promise that a gang broke.
#[derive(Debug)]
struct Broken {
    violation: String,
    path: Vec<String>,
}

async fn broken(load: &LoadGenerator, cluster: &LocalCluster) -> Vec<Broken> {
    let gangs: Vec<fake::Gang> = load.tally().gangs.values().copied().collect();
    let mut broken = Vec::new();
    for violation in cluster.workers.violations(&gangs, PARTIAL_BOUND) {
        let job = violation.job();
        let mut path = cluster.explain(job).await;
        let runs = cluster.workers.runs();
        path.extend(runs.iter().filter(|run| run.job == job).map(|run| format!("{run:?}")));
        broken.push(Broken { violation: format!("{violation:?}"), path });
    }
    broken
}

fn line(waits: &Latencies) -> String {
    format!(
        "{} waits, p50 {:?}, p99 {:?}, max {:?}",
        waits.count(),
        waits.quantile(0.5),
        waits.quantile(0.99),
        waits.quantile(1.0),
    )
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "\nRequests")?;
        for (outcome, count) in &self.outcomes {
            writeln!(f, "  {outcome}: {count}")?;
        }
        for (reason, count) in &self.reasons {
            writeln!(f, "    {reason}: {count}")?;
        }
        for line in &self.waits {
            writeln!(f, "  {line}")?;
        }
        writeln!(f, "Jobs")?;
        for (state, count) in &self.jobs {
            writeln!(f, "  {state}: {count}")?;
        }
        for (reason, count) in &self.refused {
            writeln!(f, "  refused: {count}, {reason}")?;
        }
        writeln!(f, "  completion: {}", self.completions)?;
        writeln!(f, "Store calls: {}", self.store_calls)?;
        self.write_burn(f)?;
        writeln!(f, "Checked against the stand-ins")?;
        writeln!(f, "  doubled: {}", self.duplicated)?;
        writeln!(f, "  answers of another request: {}", self.mismatched)?;
        writeln!(f, "  told not run, but ran: {}", self.false_refusals)?;
        writeln!(f, "  told ran, but did not: {}", self.false_claims)?;
        for broken in &self.violations {
            writeln!(f, "  gang: {}", broken.violation)?;
            for step in &broken.path {
                writeln!(f, "    {step}")?;
            }
        }
        write!(
            f,
            "{}",
            if self.all_passed() { "All promises kept." } else { "A PROMISE WAS BROKEN." }
        )
    }
}

impl Report {
    fn write_burn(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "Burn")?;
        let Some(burn) = &self.burn else { return writeln!(f, "  unknown: no entry VM answered") };
        for line in &burn.lines {
            let Some(window) = line.windows.first() else { continue };
            writeln!(
                f,
                "  {} for {}: {:.2} times the budget over {}, {:.0}% covered",
                line.service,
                line.account,
                window.burn,
                window.window,
                window.covered * 100.0,
            )?;
        }
        Ok(())
    }
}
