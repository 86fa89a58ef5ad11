//! Generator of typical jobs.

use std::sync::Arc;

use rand::RngExt;
use rand::rngs::StdRng;

use batch::Need;
use batch::Spec;
use batch::StepSpec;
use batch::Submission;
use model::Stamp;

/// A step of `count` tasks with `gpu` accelerators each and a run time estimate in ms.
pub fn step(count: u32, gpu: u64, estimate_ms: u64) -> StepSpec {
    let need = Need { cpu: 2_000 * gpu.max(1), memory: 8_000 * gpu.max(1), gpu };
    StepSpec { count, need, estimate_ms, ..StepSpec::default() }
}

/// A job of one step as it is stored.
pub fn submission(queue: &str, step: StepSpec) -> Submission {
    Submission {
        queue: queue.to_owned(),
        admitted: None,
        account: None,
        taken: Stamp(1),
        cancelled: false,
        spec: Arc::new(Spec { steps: vec![step], ..Spec::default() }),
    }
}

/// A random job: its queue and its steps.
pub fn random_steps(rng: &mut StdRng) -> (&'static str, Vec<StepSpec>) {
    let gpu = [1, 2, 4, 8, 8][rng.random_range(0..5)];
    let count = rng.random_range(1..6);
    match rng.random_range(0..4) {
        0 => {
            let mut step_spec = step(count, gpu, rng.random_range(500..3_000));
            step_spec.gang = rng.random_bool(0.7);
            step_spec.one_rack = step_spec.gang && rng.random_bool(0.7);
            ("urgent", vec![step_spec])
        }
        1 => {
            let mut step_spec = step(count, gpu, rng.random_range(2_000..8_000));
            step_spec.gang = true;
            step_spec.checkpoints = rng.random_bool(0.5);
            ("usual", vec![step_spec])
        }
        2 => {
            let mut step_spec = step(rng.random_range(4..20), 1, rng.random_range(2_000..6_000));
            step_spec.spread = rng.random_bool(0.3).then_some(2);
            ("patient", vec![step_spec])
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
