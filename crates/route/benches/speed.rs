//! Time of routing one request: dispatching the call, and handling the end of its attempt.
//!
//! Besides Criterion's estimate of the mean it prints the median and the 99th percentile of all
//! rounds, which other load on the machine affects less.

use std::collections::BTreeMap;
use std::hint::black_box;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use criterion::BenchmarkId;
use criterion::Criterion;
use criterion::criterion_group;
use criterion::criterion_main;
use hdrhistogram::Histogram;

use model::AccountId;
use model::Class;
use model::Incarnation;
use model::ServiceId;
use model::Time;
use route::AccountPolicy;
use route::Action;
use route::AttemptResult;
use route::Backend;
use route::Call;
use route::Event;
use route::Policy;
use route::PoolId;
use route::Router;
use route::ServicePolicy;
use route::Settings;
use route::Ticket;

/// Upper limit of the histogram in nanoseconds; longer times are recorded as this one.
const MAX_NANOS: u64 = 1_000_000_000;

/// Creates a router with `backends` backend servers.
fn router(backends: usize) -> Router {
    let settings = Settings { answer_bytes: 1 << 20, ..Settings::default() };
    let mut router = Router::new(settings, Incarnation(1), "z1".into(), "r1".into(), 1);
    let service = ServicePolicy::new(PoolId::new("hub"), Class::Interactive);
    let policy = Policy {
        services: BTreeMap::from([(ServiceId::new("intake"), service)]),
        accounts: BTreeMap::from([(AccountId::new("coop"), AccountPolicy::default())]),
        ..Policy::default()
    };
    let list = (0..backends).map(|index| Backend {
        id: format!("b{index}").as_str().into(),
        pool: PoolId::new("hub"),
        zone: "z1".into(),
        region: "r1".into(),
        slots: 8,
        connections: 64,
        leaving: false,
    });
    let mut out = Vec::new();
    router.handle(Time::ZERO, Event::Policy { policy: Arc::new(policy) }, &mut out);
    router.handle(Time::ZERO, Event::Backends { list: list.collect() }, &mut out);
    router
}

/// Measures the call alone, up to its dispatch.
fn decision(c: &mut Criterion) {
    run(c, "decision", false);
}

/// Measures the call and the end of its attempt.
fn cycle(c: &mut Criterion) {
    run(c, "cycle", true);
}

fn run(c: &mut Criterion, name: &str, with_completion: bool) {
    let mut group = c.benchmark_group(name);
    for backends in [48, 480, 4_800, 10_000] {
        let mut router = router(backends);
        let (service, account) = (ServiceId::new("intake"), AccountId::new("coop"));
        let mut out = Vec::new();
        let mut micros = 0;
        let mut times = Histogram::<u64>::new_with_max(MAX_NANOS, 3).expect("bounds are valid");
        group.bench_function(BenchmarkId::from_parameter(backends), |bencher| {
            bencher.iter_custom(|rounds| {
                let mut spent = Duration::ZERO;
                for _ in 0..rounds {
                    micros += 20;
                    let now = Time::from_micros(micros);
                    let id = router.issue_id();
                    let call = Call {
                        id,
                        service: service.clone(),
                        account: account.clone(),
                        deadline: Duration::from_secs(1),
                        body: Bytes::new(),
                    };
                    out.clear();
                    let start = Instant::now();
                    router.handle(now, Event::Call { ticket: Ticket(micros), call }, &mut out);
                    let decided = start.elapsed();
                    let dispatched = matches!(out[0], Action::Dispatch { .. });
                    assert!(dispatched, "the call was not dispatched: {out:?}");
                    let result = AttemptResult::Answered { status: 200, body: Bytes::new() };
                    let event = Event::Attempt { id, attempt: 1, result };
                    let start = Instant::now();
                    router.handle(now, event, &mut out);
                    let time = if with_completion { decided + start.elapsed() } else { decided };
                    times.saturating_record(time.as_nanos() as u64);
                    spent += time;
                    black_box(&out);
                }
                spent
            });
        });
        let (p50, p99) = (times.value_at_quantile(0.5), times.value_at_quantile(0.99));
        println!("{name}/{backends}: p50 {p50} ns, p99 {p99} ns of {} rounds", times.len());
    }
    group.finish();
}

criterion_group!(benches, decision, cycle);
criterion_main!(benches);
