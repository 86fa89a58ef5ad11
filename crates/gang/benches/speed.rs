//! Time of a placement decision with 9,300 workers, and memory per worker and per job.
//!
//! Steps during which the thread was descheduled in favour of other work on the machine are left
//! out.

use std::alloc::GlobalAlloc;
use std::alloc::Layout;
use std::alloc::System;
use std::hint::black_box;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use criterion::Criterion;
use hdrhistogram::Histogram;

use gang::Action;
use gang::Event;
use gang::JobSpec;
use gang::Settings;
use gang::Shard;
use gang::Ticket;
use gang::WorkerAnswer;
use gang::WorkerInfo;
use gang::WriteResult;
use model::Adjacency;
use model::Epoch;
use model::GangShape;
use model::Incarnation;
use model::Priority;
use model::ShardId;
use model::Stamp;
use model::Time;
use trial::sample;

const RACKS: u32 = 1_163;
const TICK: Duration = Duration::from_millis(50);
const SUBMISSIONS: u32 = 2_000;

static ALLOCATED_BYTES: AtomicUsize = AtomicUsize::new(0);

struct CountingAllocator;

// SAFETY: every call is passed on to the system allocator; only sizes are counted.
unsafe impl GlobalAlloc for CountingAllocator {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        ALLOCATED_BYTES.fetch_add(layout.size(), Ordering::Relaxed);
        // SAFETY: the caller upholds the contract of `alloc`.
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, pointer: *mut u8, layout: Layout) {
        ALLOCATED_BYTES.fetch_sub(layout.size(), Ordering::Relaxed);
        // SAFETY: the caller upholds the contract of `dealloc`.
        unsafe { System.dealloc(pointer, layout) }
    }
}

#[global_allocator]
static ALLOCATOR: CountingAllocator = CountingAllocator;

/// A shard whose store and workers accept every request at once.
struct Bench {
    shard: Shard,
    now: Time,
    next: u64,
    version: u64,
    interrupted: u64,
}

/// Number of times that Linux has scheduled this thread on a processor.
fn times_scheduled() -> u64 {
    let text = std::fs::read_to_string("/proc/thread-self/schedstat").unwrap_or_default();
    text.split_whitespace().nth(2).and_then(|count| count.parse().ok()).unwrap_or_default()
}

fn fleet() -> Vec<WorkerInfo> {
    sample::workers(RACKS).into_iter().take(9_300).collect()
}

impl Bench {
    fn new() -> Bench {
        let long = Duration::from_secs(1_000_000);
        let settings = Settings {
            lease_ttl: long,
            renew_max: long,
            lost_after: long,
            write_rate: 100_000,
            ..Settings::default()
        };
        let shard = Shard::new(settings, ShardId::new("z"), Incarnation(1), Epoch(1), 1);
        let mut bench =
            Bench { shard, now: Time::from_millis(1_000), next: 0, version: 0, interrupted: 0 };
        bench.handle_all(Event::Policy { policy: Arc::new(sample::policy()) });
        bench.handle_all(Event::Workers { list: fleet() });
        bench.handle_all(Event::Pages { pages: Vec::new(), at: Stamp(1) });
        bench.settle();
        bench
    }

    /// Handles an event and answers all resulting actions. Returns the time of the slowest step
    /// that placed a job or preempted others for it.
    fn handle_all(&mut self, event: Event) -> Duration {
        let mut open = vec![event];
        let mut slowest = Duration::ZERO;
        while let Some(event) = open.pop() {
            let mut out = Vec::new();
            let before = times_scheduled();
            let begin = Instant::now();
            self.shard.handle(self.now, event, &mut out);
            let took = begin.elapsed();
            let places = |action: &Action| {
                matches!(action, Action::Lease { .. } | Action::Checkpoint { .. })
            };
            match (out.iter().any(places), times_scheduled() == before) {
                (true, true) => slowest = slowest.max(took),
                (true, false) => self.interrupted += 1,
                (false, _) => {}
            }
            for action in black_box(out) {
                open.extend(self.answer(action));
            }
        }
        slowest
    }

    fn answer(&mut self, action: Action) -> Option<Event> {
        let result = WorkerAnswer::Granted;
        match action {
            Action::Write { write, .. } => {
                self.version += 1;
                let result = WriteResult::Committed { version: self.version };
                Some(Event::Written { write, result })
            }
            Action::Lease { worker, job, attempt, .. } => {
                Some(Event::Leased { worker, job, attempt, result })
            }
            Action::Start { worker, job, attempt, .. } => {
                Some(Event::Started { worker, job, attempt, result })
            }
            _ => None,
        }
    }

    /// Advances the time until no action is due soon. Returns the time of the slowest step.
    fn settle(&mut self) -> Duration {
        let mut slowest = Duration::ZERO;
        for _ in 0..8 {
            self.now = self.now + TICK;
            slowest = slowest.max(self.handle_all(Event::Tick));
        }
        slowest
    }

    fn submit(&mut self, shape: GangShape, priority: Priority) -> Duration {
        self.next += 1;
        let account = ["depot", "bank", "field"][self.next as usize % 3];
        let spec = JobSpec { priority, ..sample::job(self.next, account, shape) };
        let event = Event::Submit {
            ticket: Ticket(self.next),
            job: JobSpec { checkpoint: true, ..spec },
            at: Stamp(self.now.micros() / 1_000),
            durable: true,
        };
        let first = self.handle_all(event);
        first.max(self.settle())
    }

    fn free(&self) -> u32 {
        self.shard.snapshot().free
    }
}

fn shape(number: u64) -> GangShape {
    match number % 8 {
        0..4 => sample::shape(1, 1 << (number % 4), Adjacency::Worker),
        4 | 5 => sample::shape(2, 8, Adjacency::Rack),
        6 => sample::shape(8, 8, Adjacency::Rack),
        _ => sample::shape(6, 4, Adjacency::Zone),
    }
}

fn print(name: &str, histogram: &Histogram<u64>) {
    let micros = |quantile| histogram.value_at_quantile(quantile) as f64 / 1_000.0;
    let (median, high) = (micros(0.5), micros(0.99));
    println!("{name:40} median {median:10.1} us   p99 {high:10.1} us   of {}", histogram.len());
}

fn timed(
    bench: &mut Bench,
    tries: u32,
    next: impl Fn(u64) -> (GangShape, Priority),
) -> Histogram<u64> {
    let mut histogram = Histogram::new(3).expect("three digits are allowed");
    for number in 0..tries {
        let (shape, priority) = next(u64::from(number));
        let slowest = bench.submit(shape, priority);
        if !slowest.is_zero() {
            histogram.record(slowest.as_nanos() as u64).expect("it resizes");
        }
    }
    histogram
}

fn main() {
    let before = ALLOCATED_BYTES.load(Ordering::Relaxed);
    let mut bench = Bench::new();
    let workers = ALLOCATED_BYTES.load(Ordering::Relaxed) - before;
    println!("memory for a worker: {} bytes", workers / 9_300);

    let before = ALLOCATED_BYTES.load(Ordering::Relaxed);
    let placing = timed(&mut bench, SUBMISSIONS, |number| (shape(number), Priority::Normal));
    print("placement", &placing);
    let jobs = ALLOCATED_BYTES.load(Ordering::Relaxed).saturating_sub(before);
    println!("memory for a job: {} bytes", jobs / SUBMISSIONS as usize);

    while bench.free() > 0 && bench.next < 20_000 {
        bench.submit(sample::shape(8, 8, Adjacency::Rack), Priority::Spare);
        bench.submit(sample::shape(1, 1, Adjacency::Worker), Priority::Spare);
    }
    println!("{} of 74,400 accelerators are free", bench.free());
    let wide = |_| (sample::shape(64, 8, Adjacency::Racks), Priority::Urgent);
    let preempting = timed(&mut bench, 100, wide);
    print("placement of 512 with preemption", &preempting);

    println!("{} placing steps were interrupted and left out", bench.interrupted);

    let mut criterion = Criterion::default().configure_from_args().sample_size(20);
    criterion.bench_function("tick of a full shard", |b| b.iter(|| bench.handle_all(Event::Tick)));
    criterion.final_summary();
}
