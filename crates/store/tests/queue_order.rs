//! Priority order, limits, rate and circuit breaker of the queue, with simulated time.

use std::collections::BTreeSet;
use std::time::Duration;

use proptest::prelude::ProptestConfig;
use proptest::prelude::Strategy;
use proptest::prelude::any;
use proptest::prop_assert;
use proptest::prop_assert_eq;
use proptest::prop_oneof;
use proptest::proptest;
use proptest::sample::select;
use proptest::test_runner::RngSeed;
use strum::VariantArray;

use model::Time;
use store::Admission;
use store::Purpose;
use store::Queue;

const RATE: f64 = 100.0;
const BURST: u32 = 5;
const INFLIGHT: usize = 3;
const DEPTH: usize = 6;
const INTERVAL: Duration = Duration::from_millis(10);
const BACKOFF: Duration = Duration::from_secs(2);

#[derive(Clone, Copy, Debug)]
enum Step {
    Push(Purpose),
    Finish,
    Succeed,
    Fail(f64),
    Cancel,
    Wait(Duration),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => select(Purpose::VARIANTS).prop_map(Step::Push),
        4 => proptest::strategy::Just(Step::Finish),
        2 => proptest::strategy::Just(Step::Succeed),
        1 => (0.0..1.0f64).prop_map(Step::Fail),
        1 => proptest::strategy::Just(Step::Cancel),
        4 => (0..30u64).prop_map(|millis| Step::Wait(Duration::from_millis(millis))),
    ]
}

fn queue() -> Queue {
    Queue::new(RATE, BURST, INFLIGHT, DEPTH, BACKOFF)
}

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(11),
        cases: 400,
        ..ProptestConfig::default()
    })]

    #[test]
    fn rate_limits_and_order_hold(steps in proptest::collection::vec(step(), 1..400)) {
        let mut queue = queue();
        let mut now = Time::from_millis(1_000);
        let mut waiting = BTreeSet::new();
        let mut inflight = 0;
        let mut sent_at: Vec<Time> = Vec::new();
        for step in steps {
            match step {
                Step::Push(purpose) => match queue.push(now, purpose) {
                    Admission::Queued { ticket, evicted } => {
                        if let Some(evicted) = evicted {
                            prop_assert_eq!(waiting.pop_last(), Some(evicted));
                            prop_assert!(evicted.purpose > purpose);
                        }
                        waiting.insert(ticket);
                    }
                    Admission::Full => {
                        prop_assert_eq!(waiting.len(), DEPTH);
                        prop_assert!(waiting.iter().all(|ticket| ticket.purpose <= purpose));
                    }
                    Admission::Down => {}
                },
                Step::Finish if inflight > 0 => {
                    inflight -= 1;
                    queue.finish();
                }
                Step::Succeed => queue.record_success(now),
                Step::Fail(jitter) => {
                    for ticket in queue.record_failure(now, jitter) {
                        prop_assert!(waiting.remove(&ticket));
                    }
                }
                Step::Cancel => {
                    if let Some(ticket) = waiting.pop_last() {
                        prop_assert!(queue.remove(ticket));
                    }
                }
                Step::Wait(span) => now = now + span,
                Step::Finish => {}
            }
            while let Some(ticket) = queue.pop(now) {
                prop_assert_eq!(waiting.pop_first(), Some(ticket), "the most urgent goes first");
                inflight += 1;
                sent_at.push(now);
            }
            prop_assert!(inflight <= INFLIGHT);
            prop_assert_eq!(queue.len(), waiting.len());
        }
        for (first, &from) in sent_at.iter().enumerate() {
            for (last, &to) in sent_at.iter().enumerate().skip(first) {
                let allowed = u64::from(BURST) + to.micros().abs_diff(from.micros())
                    / u64::try_from(INTERVAL.as_micros()).expect("interval is short");
                prop_assert!((last - first + 1) as u64 <= allowed, "{} to {}", from, to);
            }
        }
    }

    #[test]
    fn healthy_queue_drains(purposes in proptest::collection::vec(any::<u8>(), 1..6)) {
        let mut queue = queue();
        let mut now = Time::ZERO;
        for purpose in &purposes {
            let purpose = Purpose::VARIANTS[usize::from(*purpose) % Purpose::VARIANTS.len()];
            queue.push(now, purpose);
        }
        let mut sent = 0;
        while let Some(at) = queue.ready_at() {
            now = now.max(at);
            prop_assert!(queue.pop(now).is_some());
            queue.finish();
            sent += 1;
        }
        prop_assert_eq!(sent, purposes.len());
    }
}

#[test]
fn failing_store_gets_single_probes() {
    let mut queue = queue();
    let mut now = Time::from_millis(1_000);
    let mut sent = 0;
    let end = now + Duration::from_secs(600);
    while now < end {
        if let Admission::Queued { .. } = queue.push(now, Purpose::Commit) {
            let due = queue.ready_at().expect("a call waits");
            now = now.max(due);
            assert!(queue.pop(now).is_some());
            assert!(matches!(queue.push(now, Purpose::Ownership), Admission::Down) || sent < 4);
            queue.finish();
            queue.record_failure(now, 0.0);
            sent += 1;
        }
        now = now + Duration::from_millis(5);
    }
    let min_pause = BACKOFF.mul_f64(0.5);
    let max_sent = 4 + 8 + 600 * 1_000 / min_pause.as_millis();
    assert!(sent <= max_sent, "{sent} calls in ten minutes of outage");
    assert!(sent >= 600 / BACKOFF.as_secs() as u128, "only {sent} probes in ten minutes of outage");
}

#[test]
fn recovery_has_no_burst() {
    let mut queue = queue();
    let mut now = Time::from_millis(10_000);
    for _ in 0..4 {
        queue.push(now, Purpose::Report);
        assert!(queue.pop(now).is_some());
        queue.finish();
        queue.record_failure(now, 0.5);
    }
    now = now + BACKOFF;
    assert!(matches!(queue.push(now, Purpose::Report), Admission::Queued { .. }));
    assert!(queue.pop(now).is_some());
    queue.record_success(now);
    queue.finish();
    let mut sent = 0;
    for _ in 0..100 {
        while let Admission::Queued { .. } = queue.push(now, Purpose::Report) {}
        while queue.pop(now).is_some() {
            queue.finish();
            sent += 1;
        }
        now = now + Duration::from_millis(1);
    }
    assert!(sent >= 9, "100 ms at 100 calls per second let only {sent} through");
    assert!(sent <= 11, "100 ms at 100 calls per second let {sent} through");
}
