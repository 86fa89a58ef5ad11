//! Random faults on real processes; checks from outside that the guarantees on jobs hold.
//!
//! `SOAK_SEEDS=50 cargo test --release -p entry --test hosted soak` runs fifty new seeds;
//! `SOAK_SEED=7` repeats one seed. Without either, a few fixed seeds are run.

use std::collections::BTreeMap;
use std::time::Duration;

use hyper::Method;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use tokio::time::Instant;
use tokio::time::sleep;

use crate::cluster::Cluster;
use fake::HostedStoreFaults;
use fake::hosted_job as job;

/// Seeds that are run by default.
const FIXED_SEEDS: [u64; 2] = [1, 2];
/// Time during which faults are injected.
const FAULT_TIME: Duration = Duration::from_millis(6_000);
/// Run time of a task; shorter than a lease, and every fault is shorter than a lease as well.
const TASK_TIME: Duration = Duration::from_millis(1_200);

fn seeds() -> Vec<u64> {
    let number = |name: &str| std::env::var(name).ok().and_then(|text| text.parse::<u64>().ok());
    match (number("SOAK_SEED"), number("SOAK_SEEDS")) {
        (Some(seed), _) => vec![seed],
        (_, Some(count)) => {
            let base: u64 = rand::rng().random_range(1_000..1_000_000_000);
            (base..base + count).collect()
        }
        _ => FIXED_SEEDS.to_vec(),
    }
}

#[tokio::test]
async fn random_faults() {
    for seed in seeds() {
        println!("seed {seed}");
        run_seed(seed).await;
    }
}

async fn run_seed(seed: u64) {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut cluster = Cluster::start(&format!("soak-{seed}"), 3, 3, TASK_TIME).await;
    // Number of tasks of each job; `None` if it is unknown whether the job was stored.
    let mut jobs: BTreeMap<String, Option<u32>> = BTreeMap::new();
    let end = Instant::now() + FAULT_TIME;
    let mut number = 0;
    while Instant::now() < end {
        number += 1;
        let id = format!("{:08x}{number:08x}", seed as u32);
        let count = rng.random_range(1..4);
        let vm = rng.random_range(0..3);
        match cluster.ask(vm, Method::POST, &format!("/work/{id}"), &job(count)).await.0 {
            200 => drop(jobs.insert(id, Some(count))),
            503 => {}
            _ => drop(jobs.insert(id, None)),
        }
        inject_fault(&mut cluster, &mut rng).await;
        sleep(Duration::from_millis(rng.random_range(20..300))).await;
    }
    cluster.store.set_faults(HostedStoreFaults::default());
    for vm in 0..3 {
        cluster.vms[vm].signal("-CONT");
        if !cluster.vms[vm].is_running() {
            cluster.vms[vm].restart();
        }
        cluster.wait_ready(vm).await;
    }
    for (id, count) in &jobs {
        let state = cluster.state(0, id).await;
        if count.is_some() || !state.is_empty() {
            cluster.wait_completed(0, id).await;
        }
    }
    let mut runs: BTreeMap<String, u32> = BTreeMap::new();
    for task in cluster.started_tasks() {
        *runs.entry(task).or_default() += 1;
    }
    let twice: Vec<&String> = runs.iter().filter(|(_, runs)| **runs > 1).map(|(t, _)| t).collect();
    assert!(twice.is_empty(), "seed {seed}: started more than once: {twice:?}");
    for task in runs.keys() {
        let job = task.split('.').next().unwrap_or_default();
        assert!(jobs.contains_key(job), "seed {seed}: {task} of a refused job was started");
    }
    for (id, count) in jobs {
        if let Some(count) = count {
            let tasks = runs.keys().filter(|task| task.starts_with(&id)).count();
            assert_eq!(tasks, count as usize, "seed {seed}: tasks of {id}");
        }
    }
}

/// Injects a random fault, or none.
async fn inject_fault(cluster: &mut Cluster, rng: &mut StdRng) {
    let vm = rng.random_range(0..3);
    match rng.random_range(0..12) {
        0 => cluster.vms[vm].kill(),
        1 if cluster.vms[vm].is_running() => {
            assert_eq!(cluster.vms[vm].terminate().await, Some(0));
        }
        2 | 3 => {
            let stopped = (0..3).find(|vm| !cluster.vms[*vm].is_running());
            if let Some(vm) = stopped {
                cluster.vms[vm].restart();
            }
        }
        4 => {
            // Pauses the owner, in some cases for longer than its ownership lasts.
            let vm = cluster.owner().unwrap_or(vm);
            cluster.vms[vm].signal("-STOP");
            sleep(Duration::from_millis(rng.random_range(200..1_800))).await;
            cluster.vms[vm].signal("-CONT");
        }
        5 => cluster.vms[vm].signal("-HUP"),
        6 => cluster.store.compact(),
        7 => cluster.store.silence(),
        8 => {
            let down = rng.random_bool(0.4);
            let unanswered_writes = !down && rng.random_bool(0.5);
            let delay = Duration::from_millis(if rng.random_bool(0.5) { 150 } else { 0 });
            let faults = HostedStoreFaults { down, unanswered_writes, delay, ..Default::default() };
            cluster.store.set_faults(faults);
            sleep(Duration::from_millis(rng.random_range(100..900))).await;
            cluster.store.set_faults(HostedStoreFaults::default());
        }
        9 => cluster.workers[rng.random_range(0..3)].silence(),
        _ => {}
    }
}
