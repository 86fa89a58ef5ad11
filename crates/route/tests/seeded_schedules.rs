//! Checks all invariants in thousands of random schedules of several entry VMs.

mod cluster;
#[path = "cluster/schedule.rs"]
mod schedule;

use model::Verdict;

/// Number of schedules, with seeds from 0.
const SCHEDULES: u64 = 2_000;

#[test]
fn invariants_hold() {
    let mut verdicts = std::collections::BTreeMap::new();
    for seed in 0..SCHEDULES {
        let run = std::panic::catch_unwind(|| schedule::run_schedule(seed, None).oracle.answers);
        let answers = run.unwrap_or_else(|_| panic!("seed {seed} failed"));
        for (verdict, count) in answers {
            *verdicts.entry(verdict).or_insert(0) += count;
        }
    }
    for verdict in [Verdict::NotRun, Verdict::Ran, Verdict::Unknown] {
        assert!(verdicts.get(&verdict).is_some_and(|count| *count > 100), "{verdicts:?}");
    }
}
