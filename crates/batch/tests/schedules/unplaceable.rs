//! Steps that wait for particular workers beside equal steps that may use any.

use crate::load::step;
use crate::world::Faults;
use crate::world::World;
use crate::world::policy;
use crate::world::worker_id;
use batch::JobState;
use batch::StepSpec;

/// A filler waits beside tasks with a latency target, or the other way round. Guards against an equal
/// step that waits with it although it may share the worker.
#[test]
fn isolated_steps() {
    let target = StepSpec { target_ms: 40, lasting: true, ..step(1, 1, 500) };
    let fills = StepSpec { fills: true, lasting: true, ..step(1, 1, 500) };
    for gang in [false, true] {
        for (running, waiting) in [(&target, &fills), (&fills, &target)] {
            let mut world = World::new(51, 1, Faults::default(), policy(0));
            world.submit("00000000000000a1", "usual", "a", vec![running.clone()]);
            world.run(1_000);
            let waiting = StepSpec { gang, ..waiting.clone() };
            let waiting = world.submit("00000000000000a2", "patient", "a", vec![waiting]);
            world.run(500);
            let plain = StepSpec { gang, ..step(1, 1, 1_000) };
            let plain = world.submit("00000000000000a3", "patient", "a", vec![plain]);
            world.run(4_000);
            assert_eq!(world.stored_state(&waiting), JobState::Pending);
            assert_eq!(world.stored_state(&plain), JobState::Completed, "gang: {gang}");
        }
    }
}

/// A step whose run has failed avoids the only worker, which is suspected. Guards against an equal
/// step that waits with it although it has not failed.
#[test]
fn avoided_suspect() {
    let mut world = World::new(52, 1, Faults::default(), policy(0));
    let failing = world.submit("00000000000000b1", "patient", "a", vec![step(1, 1, 500)]);
    world.run(200);
    let running = &mut world.workers.get_mut(&worker_id(0)).expect("there").running;
    running.values_mut().for_each(|work| work.fails = true);
    world.run(1_500);
    assert_eq!(world.stored_state(&failing), JobState::Running);
    let plain = world.submit("00000000000000b2", "patient", "a", vec![step(1, 1, 1_000)]);
    world.run(1_800);
    assert_eq!(world.stored_state(&plain), JobState::Completed, "{}", world.trace.join("\n"));
}
