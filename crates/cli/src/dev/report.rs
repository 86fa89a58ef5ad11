//! What a trial has shown.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use crate::dev::load::Load;
use crate::dev::tally::Told;
use crate::dev::tally::Waits;
use crate::dev::world::World;
use model::RequestId;
use wire::border;

/// Longest time for which a part of a gang may run alone: the lease time, and a renewal on top.
const PARTIAL_BOUND: Duration = Duration::from_secs(38);

/// What a trial has shown.
#[derive(Debug)]
pub struct Report {
    told: BTreeMap<Told, u64>,
    reasons: BTreeMap<String, u64>,
    waits: Vec<String>,
    jobs: BTreeMap<String, u64>,
    refused: BTreeMap<String, u64>,
    completions: String,
    doubled: usize,
    crossed: usize,
    false_refusals: usize,
    false_claims: usize,
    violations: Vec<Broken>,
    store_calls: u64,
    burn: Option<border::BurnReport>,
}

impl Report {
    /// Compares what callers were told with what the stand-ins saw.
    pub async fn new(load: &Load, world: &World, burn: Option<border::BurnReport>) -> Report {
        let violations = broken(load, world).await;
        let tally = load.tally();
        let runs = |id: &RequestId| world.pools.iter().map(|p| p.executions(*id)).sum::<u32>();
        let doubled = world.pools.iter().flat_map(|pool| pool.doubled());
        let waits = tally.waits.iter().map(|(class, waits)| format!("{class}: {}", line(waits)));
        Report {
            told: tally.told.clone(),
            reasons: tally.reasons.clone(),
            waits: waits.collect(),
            jobs: tally.jobs.clone(),
            refused: tally.refused.clone(),
            completions: line(&tally.completions),
            doubled: doubled.filter(|id| !tally.idempotent.contains(id)).count(),
            crossed: tally.crossed.len(),
            false_refusals: tally.not_run.iter().filter(|id| runs(id) > 0).count(),
            false_claims: tally.ran.iter().filter(|id| runs(id) == 0).count(),
            violations,
            store_calls: world.store_calls(),
            burn,
        }
    }

    /// Whether every promise was kept.
    pub fn is_kept(&self) -> bool {
        let lost = self.told.get(&Told::Lost).copied().unwrap_or_default();
        let broken = self.doubled + self.crossed + self.false_refusals + self.false_claims;
        lost == 0 && broken == 0 && self.violations.is_empty()
    }
}

/// A promise that a gang broke.
#[derive(Debug)]
struct Broken {
    violation: String,
    path: Vec<String>,
}

async fn broken(load: &Load, world: &World) -> Vec<Broken> {
    let gangs: Vec<fake::Gang> = load.tally().gangs.values().copied().collect();
    let mut broken = Vec::new();
    for violation in world.workers.violations(&gangs, PARTIAL_BOUND) {
        let job = violation.job();
        let mut path = world.explain(job).await;
        let runs = world.workers.runs();
        path.extend(runs.iter().filter(|run| run.job == job).map(|run| format!("{run:?}")));
        broken.push(Broken { violation: format!("{violation:?}"), path });
    }
    broken
}

fn line(waits: &Waits) -> String {
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
        for (told, count) in &self.told {
            writeln!(f, "  {told}: {count}")?;
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
        writeln!(f, "  doubled: {}", self.doubled)?;
        writeln!(f, "  answers of another request: {}", self.crossed)?;
        writeln!(f, "  told not run, but ran: {}", self.false_refusals)?;
        writeln!(f, "  told ran, but did not: {}", self.false_claims)?;
        for broken in &self.violations {
            writeln!(f, "  gang: {}", broken.violation)?;
            for step in &broken.path {
                writeln!(f, "    {step}")?;
            }
        }
        write!(f, "{}", if self.is_kept() { "All promises kept." } else { "A PROMISE WAS BROKEN." })
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
