//! Final report of `basilrack dev`: compares reported outcomes with actual executions.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use crate::dev::load::LoadGenerator;
use crate::dev::local_cluster::LocalCluster;
use crate::dev::tally::CallerOutcome;
use crate::dev::tally::Latencies;
use model::RequestId;
use wire::border;

/// Maximum time for which only some tasks of a gang may run: the lease time plus one renewal.
const MAX_PARTIAL_RUN: Duration = Duration::from_secs(38);

/// Final report with the results of all checks.
#[derive(Debug)]
pub struct Report {
    outcomes: BTreeMap<CallerOutcome, u64>,
    reasons: BTreeMap<String, u64>,
    latencies: Vec<String>,
    jobs: BTreeMap<String, u64>,
    refused: BTreeMap<String, u64>,
    completions: String,
    duplicated: usize,
    mismatched: usize,
    false_refusals: usize,
    false_claims: usize,
    violations: Vec<GangViolation>,
    store_calls: u64,
    burn: Option<border::BurnReport>,
}

impl Report {
    /// Compares the outcomes that callers were told with the records of the simulated services.
    pub async fn new(
        load: &LoadGenerator,
        cluster: &LocalCluster,
        burn: Option<border::BurnReport>,
    ) -> Report {
        let violations = find_violations(load, cluster).await;
        let tally = load.tally();
        let runs = |id: &RequestId| cluster.pools.iter().map(|p| p.executions(*id)).sum::<u32>();
        let duplicated = cluster.pools.iter().flat_map(|pool| pool.duplicated_requests());
        let latencies = tally
            .latencies
            .iter()
            .map(|(class, latencies)| format!("{class}: {}", format_latencies(latencies)));
        Report {
            outcomes: tally.outcomes.clone(),
            reasons: tally.reasons.clone(),
            latencies: latencies.collect(),
            jobs: tally.jobs.clone(),
            refused: tally.refused.clone(),
            completions: format_latencies(&tally.completions),
            duplicated: duplicated.filter(|id| !tally.idempotent.contains(id)).count(),
            mismatched: tally.mismatched.len(),
            false_refusals: tally.not_run.iter().filter(|id| runs(id) > 0).count(),
            false_claims: tally.ran.iter().filter(|id| runs(id) == 0).count(),
            violations,
            store_calls: cluster.store_calls(),
            burn,
        }
    }

    /// Whether no response was lost and every check passed.
    pub fn all_passed(&self) -> bool {
        let lost = self.outcomes.get(&CallerOutcome::Lost).copied().unwrap_or_default();
        let failed = self.duplicated + self.mismatched + self.false_refusals + self.false_claims;
        lost == 0 && failed == 0 && self.violations.is_empty()
    }
}

/// Violation by a gang, with the state changes and executions of its job.
#[derive(Debug)]
struct GangViolation {
    violation: String,
    path: Vec<String>,
}

async fn find_violations(load: &LoadGenerator, cluster: &LocalCluster) -> Vec<GangViolation> {
    let gangs: Vec<fake::Gang> = load.tally().gangs.values().copied().collect();
    let mut violations = Vec::new();
    for violation in cluster.workers.violations(&gangs, MAX_PARTIAL_RUN) {
        let job = violation.job();
        let mut path = cluster.explain(job).await;
        let runs = cluster.workers.runs();
        path.extend(runs.iter().filter(|run| run.job == job).map(|run| format!("{run:?}")));
        violations.push(GangViolation { violation: format!("{violation:?}"), path });
    }
    violations
}

fn format_latencies(latencies: &Latencies) -> String {
    format!(
        "{} samples, p50 {:?}, p99 {:?}, max {:?}",
        latencies.count(),
        latencies.quantile(0.5),
        latencies.quantile(0.99),
        latencies.quantile(1.0),
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
        for line in &self.latencies {
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
        writeln!(f, "Checks against the simulated services")?;
        writeln!(f, "  duplicate executions: {}", self.duplicated)?;
        writeln!(f, "  answers of another request: {}", self.mismatched)?;
        writeln!(f, "  told not run, but ran: {}", self.false_refusals)?;
        writeln!(f, "  told ran, but did not: {}", self.false_claims)?;
        for found in &self.violations {
            writeln!(f, "  gang: {}", found.violation)?;
            for step in &found.path {
                writeln!(f, "    {step}")?;
            }
        }
        write!(f, "{}", if self.all_passed() { "All checks passed." } else { "A CHECK FAILED." })
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
