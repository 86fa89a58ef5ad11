//! Random schedules of jobs and faults, reproducible by seed.

use std::time::Duration;

use rand::RngExt;

use crate::Faults;
use crate::World;
use crate::sample;
use gang::JobSpec;
use gang::Settings;
use model::Adjacency;
use model::Priority;
use model::WorkerId;

/// Number of racks.
const RACK_COUNT: u32 = 4;
/// Time after the end of the faults within which all jobs must end.
const SETTLE_TIME: Duration = Duration::from_secs(3_600);

/// Kinds of faults that a schedule injects.
#[derive(Clone, Copy, Debug, Default)]
pub struct Plan {
    /// Owners crash and new ones start.
    pub crashes: bool,
    /// Owners pause, and a second owner starts meanwhile.
    pub pauses: bool,
    /// The store has outages, loses answers and applies some writes late.
    pub store: bool,
    /// Calls to workers and their answers are lost.
    pub network: bool,
    /// Many jobs are cancelled at once.
    pub cancels: bool,
    /// Racks go down with all workers, and come up again.
    pub racks: bool,
    /// All racks of the availability zone go down at once. They come up again when all faults end,
    /// or earlier with `racks`.
    pub zone: bool,
    /// Some workers fail all tasks, and some jobs fail on all workers.
    pub failures: bool,
}

impl Plan {
    /// All kinds of faults.
    pub fn all() -> Plan {
        Plan {
            crashes: true,
            pauses: true,
            store: true,
            network: true,
            cancels: true,
            racks: true,
            zone: true,
            failures: true,
        }
    }
}

/// Runs a schedule of `steps` random steps, ends all faults, and checks that all jobs end.
///
/// # Panics
///
/// Panics if an invariant is broken.
pub fn run(world: &mut World, plan: &Plan, steps: u32) {
    world.start_owner();
    world.run_for(Duration::from_millis(200));
    let mut job_count = 0;
    for _ in 0..steps {
        let jobs = world.rng.random_range(0..6);
        for _ in 0..jobs {
            job_count += 1;
            submit_random_job(world, job_count, plan);
        }
        inject_faults(world, plan, job_count);
        let span = Duration::from_millis(world.rng.random_range(1..9_000));
        world.run_for(span);
    }
    end_faults(world);
    world.run_for(SETTLE_TIME);
    world.check_gangs();
    world.check_ends();
}

/// Creates the simulation for the schedule of a seed.
pub fn create_world(seed: u64) -> World {
    let settings = Settings { write_interval: Duration::from_millis(20), ..Settings::default() };
    World::new(seed, settings, sample::policy(), &sample::workers(RACK_COUNT))
}

fn submit_random_job(world: &mut World, number: u64, plan: &Plan) {
    let accounts = ["mill", "depot", "bank", "field"];
    let account = accounts[world.rng.random_range(0..accounts.len())];
    let shape = match world.rng.random_range(0..20) {
        0..8 => sample::shape(1, 1 << world.rng.random_range(0..4), Adjacency::Worker),
        8..11 => sample::shape(world.rng.random_range(1..9), 8, Adjacency::Rack),
        11..14 => sample::shape(world.rng.random_range(1..24), 2, Adjacency::Zone),
        14..16 => sample::shape(world.rng.random_range(9..17), 8, Adjacency::Racks),
        16..18 => sample::shape(2, 3, Adjacency::Worker),
        _ => sample::shape(world.rng.random_range(1..4), 0, Adjacency::Zone),
    };
    let mut spec: JobSpec = sample::job(number, account, shape);
    spec.priority = match world.rng.random_range(0..10) {
        0 => Priority::Urgent,
        1..4 => Priority::Spare,
        _ => Priority::Normal,
    };
    spec.idempotent = world.rng.random_bool(0.7);
    spec.checkpoint = world.rng.random_bool(0.5);
    let run_time = Duration::from_millis(world.rng.random_range(100..120_000));
    let durable = world.rng.random_bool(0.9);
    let id = spec.id;
    world.submit(spec, run_time, durable);
    if plan.failures && world.rng.random_bool(0.05) {
        world.set_always_fails(id);
    }
}

/// Injects random faults of the planned kinds. `jobs` is the number of jobs submitted so far.
fn inject_faults(world: &mut World, plan: &Plan, jobs: u64) {
    if plan.crashes && world.rng.random_bool(0.15) {
        let owner = world.last_owner();
        world.crash_owner(owner);
        world.start_owner();
    }
    if plan.pauses && world.rng.random_bool(0.1) {
        let owner = world.last_owner();
        let span = Duration::from_millis(world.rng.random_range(10..90_000));
        world.pause_owner(owner, span);
        world.start_owner();
    }
    if plan.store && world.rng.random_bool(0.1) {
        let span = Duration::from_millis(world.rng.random_range(10..60_000));
        world.store.down_until = world.now + span;
        world.log(format!("the store is down for {span:?}"));
    }
    world.faults = Faults {
        lost_answer: if plan.store { 0.05 } else { 0.0 },
        late_effect: if plan.store { 0.05 } else { 0.0 },
        lost_message: if plan.network { 0.01 } else { 0.0 },
    };
    if plan.cancels && jobs > 0 && world.rng.random_bool(0.1) {
        let from = world.rng.random_range(0..jobs);
        let ids: Vec<_> = world.histories.keys().filter(|id| id.sequence > from).copied().collect();
        for id in ids {
            world.cancel(id);
        }
    }
    if plan.racks && world.rng.random_bool(0.1) {
        take_down_racks(world, 1);
    }
    if plan.zone && world.rng.random_bool(0.02) {
        take_down_racks(world, RACK_COUNT);
    }
    if plan.racks && world.rng.random_bool(0.2) {
        restore_workers(world);
    }
    if plan.failures && world.rng.random_bool(0.03) {
        let ids: Vec<WorkerId> = world.workers.keys().cloned().collect();
        let id = &ids[world.rng.random_range(0..ids.len())];
        world.log(format!("{id} now fails all tasks"));
        if let Some(worker) = world.workers.get_mut(id) {
            worker.always_fails = true;
        }
    }
}

/// Takes adjacent racks down, starting at a random one. At random, the VM list either drops their
/// workers or keeps them.
fn take_down_racks(world: &mut World, racks: u32) {
    let first = world.rng.random_range(0..RACK_COUNT);
    let listed = world.rng.random_bool(0.5);
    for rack in (first..first + racks).map(|rack| rack % RACK_COUNT) {
        world.log(format!("rack r{rack} is down, listed: {listed}"));
        let prefix = format!("w{rack}-");
        let lost = world.workers.values_mut();
        for worker in lost.filter(|worker| worker.info.id.as_str().starts_with(&prefix)) {
            worker.down = true;
            worker.unlisted = !listed;
            worker.leases.clear();
        }
    }
    world.send_worker_list();
}

fn restore_workers(world: &mut World) {
    world.log("all workers are up again".to_owned());
    for worker in world.workers.values_mut() {
        worker.down = false;
        worker.unlisted = false;
    }
    world.send_worker_list();
}

/// Ends all faults and starts an owner if the last one crashed.
fn end_faults(world: &mut World) {
    world.log("all faults have ended".to_owned());
    world.faults = Faults::default();
    world.store.down_until = world.now;
    for worker in world.workers.values_mut() {
        worker.always_fails = false;
    }
    restore_workers(world);
    let last = world.last_owner();
    if world.owners[last].crashed {
        world.start_owner();
    }
}
