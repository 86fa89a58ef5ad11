//! Compares the queue disciplines on a cluster of today's size and on one of the target size.
//!
//! `cargo bench -p gang --bench policy -- --json` prints one JSON object per line, with the keys
//! measure, policy, value and unit. Every discipline gets the same jobs: sizes and run times are
//! drawn from long-tailed distributions, declared run times are up to five times too long or too
//! short, the arrival rate oscillates, and account `mill` uses its guaranteed rack in a closed
//! loop.

use std::collections::BTreeMap;
use std::time::Duration;

use clap::Arg;
use clap::ArgAction;
use clap::Command;
use hdrhistogram::Histogram;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use serde_json::json;
use strum::VariantArray;

use gang::AccountPolicy;
use gang::Discipline;
use gang::Guaranteed;
use gang::JobSpec;
use gang::Policy;
use gang::Settings;
use gang::WorkerInfo;
use model::AccountId;
use model::Adjacency;
use model::GangShape;
use model::JobId;
use model::Priority;
use model::ServiceId;
use model::ZoneId;
use trial::World;
use trial::sample;

const HOUR: Duration = Duration::from_secs(3_600);
const MINUTE: Duration = Duration::from_secs(60);
/// Longest run time of a short job.
const MAX_SHORT_RUN: Duration = Duration::from_secs(600);
/// Smallest size of a large gang, in accelerators: a full rack.
const MIN_LARGE_GANG: u32 = 64;
/// Time within which a guaranteed gang must start to count as having reclaimed its block.
const MAX_RECLAIM_TIME: Duration = Duration::from_secs(5);

/// Size and load of a simulated cluster.
struct Site {
    name: &'static str,
    zones: u32,
    racks: u32,
    largest: u32,
    /// Jobs per hour, or zero for one a day for each accelerator.
    hourly: f64,
    hours: u32,
    /// Share of all accelerators that the arriving jobs need on average.
    load: f64,
}

const SITES: [Site; 2] = [
    Site { name: "today", zones: 1, racks: 6, largest: 128, hourly: 0.0, hours: 96, load: 0.85 },
    Site {
        name: "target",
        zones: 26,
        racks: 45,
        largest: 512,
        hourly: 625.0,
        hours: 24,
        load: 1.0,
    },
];

struct Arrival {
    at: Duration,
    spec: JobSpec,
    run: Duration,
}

fn fleet(site: &Site) -> Vec<WorkerInfo> {
    let mut list = Vec::new();
    for zone in 0..site.zones {
        for mut info in sample::workers(site.racks) {
            info.id = format!("z{zone}-{}", info.id).as_str().into();
            info.rack = format!("z{zone}-{}", info.rack).as_str().into();
            info.zone = ZoneId::new(&format!("z{zone}"));
            list.push(info);
        }
    }
    list
}

fn accounts() -> Policy {
    let mut policy = Policy::default();
    for (name, weight) in [("mill", 1), ("depot", 2), ("bank", 1), ("field", 1)] {
        let account = AccountPolicy { weight, quota: 1_000_000, guaranteed: Vec::new() };
        policy.accounts.insert(AccountId::new(name), account);
    }
    if let Some(mill) = policy.accounts.get_mut("mill") {
        let shape = sample::shape(8, 8, Adjacency::Rack);
        mill.guaranteed.push(Guaranteed { shape, count: 1 });
    }
    policy
}

/// Draws a gang of up to `largest` accelerators; small gangs are more frequent.
fn draw_gang(rng: &mut SmallRng, largest: u32) -> GangShape {
    let size = match rng.random_range(0..1_000) {
        0..400 => 1 << rng.random_range(0..4),
        400..700 => 8 * rng.random_range(1..3),
        700..850 => 32,
        850..930 => 64,
        930..980 => 128,
        980..995 => 256,
        _ => 512,
    };
    let size = size.min(largest);
    match size {
        1..=8 => sample::shape(1, size, Adjacency::Worker),
        9..=64 => sample::shape(size / 8, 8, Adjacency::Rack),
        _ => sample::shape(size / 8, 8, Adjacency::Racks),
    }
}

/// Draws the run time of a job of one kind: minutes or hours, with a few that run six times longer.
fn draw_run_time(rng: &mut SmallRng, kind: usize) -> Duration {
    let base = [0.02, 0.3, 1.0, 2.0][kind];
    let spread = (rng.random_range(-0.7_f64..0.7)).exp();
    let straggler = if rng.random_bool(0.02) { 6.0 } else { 1.0 };
    Duration::from_secs_f64((base * spread * straggler * 3_600.0).max(10.0))
}

fn arrivals(site: &Site) -> Vec<Arrival> {
    let mut rng = SmallRng::seed_from_u64(11);
    let accelerators = f64::from(site.zones * site.racks * 64);
    let hourly = if site.hourly > 0.0 { site.hourly } else { accelerators / 24.0 };
    let mut list = Vec::new();
    let mut at = 0.0;
    let mut number = 0;
    while at < f64::from(site.hours) * 3_600.0 {
        let swing = 1.0 + 0.8 * (at / 3_600.0 / 6.0 * std::f64::consts::TAU).sin();
        at -= rng.random_range(1e-9_f64..1.0).ln() * 3_600.0 / (hourly * swing);
        number += 1;
        let kind = rng.random_range(0..4);
        let account = ["depot", "bank", "field"][rng.random_range(0..3)];
        let shape = draw_gang(&mut rng, site.largest);
        let run = draw_run_time(&mut rng, kind);
        let mut spec = sample::job(number, account, shape);
        spec.service = ServiceId::new(["tickets", "review", "images", "sorting"][kind]);
        spec.checkpoint = rng.random_bool(0.8);
        spec.declared = run.mul_f64(5_f64.powf(rng.random_range(-1.0..1.0)));
        spec.priority = match rng.random_range(0..100) {
            0 if shape.total_accelerators() <= 8 => Priority::Urgent,
            1..20 => Priority::Spare,
            _ => Priority::Normal,
        };
        list.push(Arrival { at: Duration::from_secs_f64(at), spec, run });
    }
    let work =
        list.iter().map(|a| f64::from(a.spec.shape.total_accelerators()) * a.run.as_secs_f64());
    let scale = site.load * accelerators * f64::from(site.hours) * 3_600.0 / work.sum::<f64>();
    for arrival in &mut list {
        arrival.run = arrival.run.mul_f64(scale);
        arrival.spec.declared = arrival.spec.declared.mul_f64(scale);
    }
    list
}

fn settings(discipline: Discipline) -> Settings {
    let long = Duration::from_secs(100 * 24 * 3_600);
    Settings {
        discipline,
        lease_ttl: long,
        renew_max: long,
        lost_after: long,
        retention: long,
        ..Settings::default()
    }
}

struct Outcome {
    world: World,
    fragmentation: f64,
    guaranteed_jobs: Vec<JobId>,
    samples: u32,
}

/// Runs all arriving jobs while `mill` uses its guaranteed rack for one hour in every three.
fn simulate(site: &Site, discipline: Discipline) -> Outcome {
    let mut world = World::new(1, settings(discipline), accounts(), &fleet(site));
    world.checks_disabled = true;
    world.start_owner();
    world.run_for(Duration::from_secs(1));
    let start = world.now;
    let mut outcome =
        Outcome { world, fragmentation: 0.0, guaranteed_jobs: Vec::new(), samples: 0 };
    let world = &mut outcome.world;
    let mut next = arrivals(site).into_iter().peekable();
    let mut minute = 0;
    while next.peek().is_some()
        || world.histories.values().any(|history| history.finished.is_none())
    {
        minute += 1;
        let until = start + MINUTE * minute;
        while let Some(arrival) = next.next_if(|arrival| start + arrival.at <= until) {
            world.run_until(start + arrival.at);
            world.submit(arrival.spec, arrival.run, true);
        }
        world.run_until(until);
        let idle =
            outcome.guaranteed_jobs.last().is_none_or(|id| world.histories[id].finished.is_some());
        if minute % 180 == 90 && next.peek().is_some() && idle {
            let shape = sample::shape(8, 8, Adjacency::Rack);
            let spec = sample::job(1_000_000 + u64::from(minute), "mill", shape);
            outcome.guaranteed_jobs.push(spec.id);
            world.submit(spec, HOUR, true);
        }
        let view = if minute % 30 == 0 { Some(world.owners[0].shard.snapshot()) } else { None };
        if let Some(view) = view.filter(|view| view.free > 0 && next.peek().is_some()) {
            outcome.fragmentation += view.fragmentation;
            outcome.samples += 1;
        }
        assert!(minute < 60 * 24 * 60, "{}: {discipline} does not finish", site.name);
    }
    outcome
}

fn record_wait(histogram: &mut Histogram<u64>, history: &trial::JobHistory) {
    let waited = history.started.map_or(Duration::MAX, |started| started.since(history.submitted));
    histogram.saturating_record(waited.as_millis() as u64);
}

fn measures(outcome: &Outcome) -> BTreeMap<&'static str, (f64, &'static str)> {
    let most = 100 * 24 * 3_600 * 1_000;
    let new = || Histogram::<u64>::new_with_max(most, 3).expect("the bounds are valid");
    let (mut short, mut large, mut urgent) = (new(), new(), new());
    let mut completion = 0.0;
    let histories = &outcome.world.histories;
    for history in histories.values() {
        let finished = history.finished.unwrap_or(outcome.world.now);
        completion += finished.since(history.submitted).as_secs_f64();
        let wanted = history.spec.priority != Priority::Spare;
        if history.run_time <= MAX_SHORT_RUN && wanted {
            record_wait(&mut short, history);
        }
        if history.spec.shape.total_accelerators() >= MIN_LARGE_GANG && wanted {
            record_wait(&mut large, history);
        }
        if history.spec.priority == Priority::Urgent {
            record_wait(&mut urgent, history);
        }
    }
    let reclaimed = |id: &&JobId| {
        let history = &histories[*id];
        history.started.is_some_and(|started| started.since(history.submitted) <= MAX_RECLAIM_TIME)
    };
    let guaranteed_jobs = outcome.guaranteed_jobs.len();
    let reclaimed = outcome.guaranteed_jobs.iter().filter(reclaimed).count();
    let seconds = |millis: u64| millis as f64 / 1_000.0;
    BTreeMap::from([
        ("job_completion_mean", (completion / histories.len() as f64, "s")),
        ("short_job_wait_p99", (seconds(short.value_at_quantile(0.99)), "s")),
        ("large_gang_wait_p99", (seconds(large.value_at_quantile(0.99)), "s")),
        ("fragmentation", (outcome.fragmentation / f64::from(outcome.samples.max(1)), "share")),
        ("reclaim_success", (reclaimed as f64 / guaranteed_jobs.max(1) as f64, "share")),
        ("urgent_start_max", (seconds(urgent.max()), "s")),
        ("lost_work", (outcome.world.lost_work / 3_600.0, "accelerator-hours")),
    ])
}

fn main() {
    let flag = |name: &'static str| Arg::new(name).long(name).action(ArgAction::SetTrue);
    let only = Arg::new("site").long("site").help("Only this site: today or target");
    let policy = Arg::new("policy").long("policy").help("Only this policy");
    let command = Command::new("policy").args([flag("json"), flag("bench"), only, policy]);
    let matches = command.get_matches();
    let only = matches.get_one::<String>("site");
    let policy = matches.get_one::<String>("policy");
    for site in SITES.iter().filter(|site| only.is_none_or(|name| name == site.name)) {
        let wanted = |d: &&Discipline| policy.is_none_or(|name| *name == d.to_string());
        for discipline in Discipline::VARIANTS.iter().filter(wanted) {
            let outcome = simulate(site, *discipline);
            for (name, (value, unit)) in measures(&outcome) {
                let measure = format!("{}/{name}", site.name);
                let policy = discipline.to_string();
                match matches.get_flag("json") {
                    true => println!(
                        "{}",
                        json!({"measure": measure, "policy": policy, "value": value, "unit": unit})
                    ),
                    false => println!("{measure:32} {policy:10} {value:14.3} {unit}"),
                }
            }
        }
    }
}
