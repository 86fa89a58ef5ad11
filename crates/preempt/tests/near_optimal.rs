//! Plans beside the best of all sets of groups, on small random fleets.

use proptest::prelude::*;
use proptest::test_runner::RngSeed;

use preempt::Amount;
use preempt::Ending;
use preempt::Group;
use preempt::Request;
use preempt::Site;
use preempt::Victims;
use preempt::plan_groups;

/// Cores and accelerators.
#[derive(Clone, Copy, Debug, Default)]
struct Pair(u64, u64);

impl Amount for Pair {
    fn fits(&self, free: &Pair) -> bool {
        self.0 <= free.0 && self.1 <= free.1
    }

    fn copies(&self, need: &Pair) -> u64 {
        let times = |free: u64, need: u64| free.checked_div(need).unwrap_or(u64::MAX);
        times(self.0, need.0).min(times(self.1, need.1))
    }

    fn add(&mut self, other: &Pair) {
        *self = Pair(self.0 + other.0, self.1 + other.1);
    }

    fn less(&self, other: &Pair) -> Pair {
        Pair(self.0.saturating_sub(other.0), self.1.saturating_sub(other.1))
    }
}

fn pair(cores: std::ops::Range<u64>, gpus: std::ops::Range<u64>) -> impl Strategy<Value = Pair> {
    (cores, gpus).prop_map(|(cores, gpus)| Pair(cores, gpus))
}

/// A single run, or a gang with up to four members.
fn group(sites: usize) -> impl Strategy<Value = Group<Pair>> {
    let members = prop::collection::vec(0..sites, 1..5);
    (1..100u64, pair(1..6, 0..5), members, any::<bool>()).prop_map(|(cost, each, members, gang)| {
        let members = members.into_iter().take(if gang { 4 } else { 1 });
        let members: Vec<(usize, Pair)> = members.map(|at| (at, each)).collect();
        Group { cost: cost * members.len() as u64, stopping: false, ending: false, members }
    })
}

/// Free capacity of each site once the groups in `set` are stopped.
fn freed(before: &[Pair], groups: &[Group<Pair>], set: impl Fn(usize) -> bool) -> Vec<Pair> {
    let mut free = before.to_vec();
    for (_, group) in groups.iter().enumerate().filter(|(number, _)| set(*number)) {
        group.members.iter().for_each(|(at, amount)| free[*at].add(amount));
    }
    free
}

/// Maximum cost of a plan, in multiples of the best one's. The largest ratio in 100,000 random cases
/// was 2.55; 1.5% of the plans were not the best.
const MAX_RATIO: u64 = 3;

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 2_000,
        rng_seed: RngSeed::Fixed(17),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against stops that place no whole step, places without capacity, superfluous stops, and
    /// sets that cost far more than the best one.
    #[test]
    fn near_best_set(
        before in prop::collection::vec(pair(0..4, 0..3), 5),
        groups in prop::collection::vec(group(5), 1..9),
        need in pair(1..5, 0..4),
        count in 1..6usize,
    ) {
        let costs = |set: usize| -> u64 {
            let chosen = groups.iter().enumerate().filter(|(number, _)| set >> number & 1 == 1);
            chosen.map(|(_, group)| group.cost).sum()
        };
        let suffices = |set: usize| {
            let free = freed(&before, &groups, |number| set >> number & 1 == 1);
            free.iter().map(|free| free.copies(&need)).sum::<u64>() >= count as u64
        };
        let best = (0..1usize << groups.len()).filter(|&set| suffices(set)).map(costs).min();
        let sites: Vec<Site<'_, Pair>> = before
            .iter()
            .map(|free| Site { free: *free, room: u32::MAX, ..Site::default() })
            .collect();
        let victims = Victims::new(groups.clone(), sites.len());
        let ending = Ending::Awaited;
        let request =
            Request { need, count, one_rack: false, rack: None, avoid_suspects: false, ending };
        let plan = plan_groups(&sites, &victims, &request);
        prop_assert_eq!(plan.is_some(), best.is_some());
        if let (Some(plan), Some(best)) = (plan, best) {
            let set = plan.stopped.iter().fold(0, |set, (group, _)| set | 1 << group);
            prop_assert_eq!(plan.cost, costs(set));
            prop_assert!(plan.cost <= MAX_RATIO * best, "{} instead of {best}", plan.cost);
            for (group, _) in &plan.stopped {
                prop_assert!(!suffices(set & !(1 << group)), "group {group} is superfluous");
            }
            let free = freed(&before, &groups, |number| set >> number & 1 == 1);
            for (at, free) in free.iter().enumerate() {
                let placed = plan.places.iter().filter(|&&place| place == at).count() as u64;
                prop_assert!(placed <= free.copies(&need));
            }
            prop_assert_eq!(plan.places.len(), count);
        }
    }
}
