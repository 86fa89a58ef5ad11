//! Jobs of the kinds that users send.

use rand::RngExt;
use rand::rngs::StdRng;

use batch::Need;
use batch::StepSpec;

/// A step of `count` tasks with `gpu` accelerators each and an estimate in ms.
pub fn step(count: u32, gpu: u64, estimate_ms: u64) -> StepSpec {
    let need = Need { cpu: 2_000 * gpu.max(1), memory: 8_000 * gpu.max(1), gpu };
    StepSpec { count, need, estimate_ms, ..StepSpec::default() }
}

/// A random job: its queue and its steps.
pub fn steps(rng: &mut StdRng) -> (&'static str, Vec<StepSpec>) {
    let gpu = [1, 2, 4, 8, 8][rng.random_range(0..5)];
    let count = rng.random_range(1..6);
    match rng.random_range(0..4) {
        0 => {
            let mut one = step(count, gpu, rng.random_range(500..3_000));
            one.gang = rng.random_bool(0.7);
            one.one_rack = one.gang && rng.random_bool(0.7);
            ("urgent", vec![one])
        }
        1 => {
            let mut one = step(count, gpu, rng.random_range(2_000..8_000));
            one.gang = true;
            one.checkpoints = rng.random_bool(0.5);
            ("usual", vec![one])
        }
        2 => {
            let mut one = step(rng.random_range(4..20), 1, rng.random_range(2_000..6_000));
            one.spread = rng.random_bool(0.3).then_some(2);
            ("patient", vec![one])
        }
        _ => {
            let first = step(count, 1, rng.random_range(300..3_000));
            let mut second = step(rng.random_range(2..8), 1, rng.random_range(300..3_000));
            second.after = vec![0];
            second.checkpoints = true;
            ("patient", vec![first, second])
        }
    }
}
