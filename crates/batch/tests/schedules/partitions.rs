//! Partitions between two owners.

use crate::load::step;
use crate::world::Faults;
use crate::world::World;
use crate::world::policy;

/// Guards against tasks that run twice: an owner without access to the store went on extending the
/// leases of workers that the next owner did not reach.
#[test]
fn partitioned_owner() {
    for seed in crate::seeds(900_000) {
        println!("seed {seed}");
        let mut world = World::new(seed, 10, Faults::default(), policy(0));
        let mut number = 0;
        let mut run = |world: &mut World, ms: u64| {
            for _ in 0..ms / 250 {
                number += 1;
                let estimate_ms = [600, 2_000, 6_000, 20_000][number % 4];
                let id = format!("{number:016x}");
                world.submit(&id, "usual", "a", vec![step(1 + number as u32 % 3, 1, estimate_ms)]);
                world.run(250);
            }
        };
        run(&mut world, 3_000);
        for span in [6_000, 12_000, 20_000] {
            world.partition_owner(span);
            run(&mut world, span + 8_000);
        }
        world.run(120_000);
        world.check_ends();
    }
}
