//! Choice between gangs and single runs, on workers with one kind of resource.

use preempt::Amount;
use preempt::Ending;
use preempt::Group;
use preempt::Plan;
use preempt::Request;
use preempt::Site;
use preempt::Victims;
use preempt::plan_groups;

/// A number of accelerators.
#[derive(Clone, Copy, Debug, Default)]
struct Gpus(u64);

impl Amount for Gpus {
    fn fits(&self, free: &Gpus) -> bool {
        self.0 <= free.0
    }

    fn copies(&self, need: &Gpus) -> u64 {
        self.0.checked_div(need.0).unwrap_or(u64::MAX)
    }

    fn add(&mut self, other: &Gpus) {
        self.0 += other.0;
    }

    fn less(&self, other: &Gpus) -> Gpus {
        Gpus(self.0.saturating_sub(other.0))
    }
}

/// Runs of `gpus` accelerators each on `sites`, which cost `cost` together.
fn group(cost: u64, gpus: u64, sites: &[usize]) -> Group<Gpus> {
    let members = sites.iter().map(|&at| (at, Gpus(gpus))).collect();
    Group { cost, stopping: false, ending: false, members }
}

fn site(free: u64) -> Site<'static, Gpus> {
    Site { free: Gpus(free), room: u32::MAX, ..Site::default() }
}

fn request(count: usize, need: u64) -> Request<'static, Gpus> {
    let need = Gpus(need);
    let ending = Ending::Awaited;
    Request { need, count, one_rack: false, rack: None, avoid_suspects: false, ending }
}

/// Plans on sites without free capacity; the stopped groups are in ascending order.
fn plan(sites: usize, groups: &[Group<Gpus>], request: &Request<'_, Gpus>) -> Option<Plan> {
    let victims = Victims::new(groups.to_vec(), sites);
    let mut plan = plan_groups(&vec![site(0); sites], &victims, request)?;
    plan.stopped.sort_unstable();
    Some(plan)
}

fn stopped(plan: &Plan) -> Vec<usize> {
    plan.stopped.iter().map(|(group, _)| *group).collect()
}

/// Guards against a gang that is stopped for the place of one member.
#[test]
fn single_for_one() {
    let groups = [group(90, 8, &[0, 1, 2]), group(40, 8, &[3])];
    let plan = plan(4, &groups, &request(1, 8)).expect("there is a victim");
    assert_eq!((stopped(&plan), plan.places), (vec![1], vec![3]));
}

/// Guards against single runs being stopped one by one where a gang costs less than all of them.
#[test]
fn gang_for_many() {
    let groups =
        [group(90, 8, &[0, 1, 2]), group(20, 8, &[3]), group(20, 8, &[4]), group(80, 8, &[5])];
    let plan = plan(6, &groups, &request(3, 8)).expect("there are victims");
    assert_eq!((stopped(&plan), plan.cost, plan.places), (vec![0], 90, vec![0, 1, 2]));
}

/// Guards against stops that do not place the whole step.
#[test]
fn all_or_nothing() {
    let groups = [group(90, 8, &[0, 1, 2]), group(40, 8, &[3])];
    assert_eq!(plan(4, &groups, &request(5, 8)), None);
}

/// Guards against cheap runs that are stopped though they free nothing that is missing.
#[test]
fn useless_cheap_run() {
    let groups = [group(1, 0, &[0]), group(5, 1, &[0]), group(50, 8, &[0])];
    let plan = plan(1, &groups, &request(1, 8)).expect("there is a victim");
    assert_eq!(stopped(&plan), vec![2]);
}

/// Guards against a second stop for capacity that runs being stopped already free, and against the
/// use of what they owe to a reservation.
#[test]
fn stopping_counts_once() {
    let stopping = Group { cost: 0, stopping: true, ..group(0, 8, &[0, 1]) };
    let victims = Victims::new(vec![stopping, group(30, 8, &[2])], 3);
    let mut sites = vec![site(0); 3];
    let free = plan_groups(&sites, &victims, &request(2, 8)).expect("two workers are being freed");
    assert_eq!((free.stopped, free.places), (vec![], vec![0, 1]));
    sites[0].owed = Gpus(8);
    let plan = plan_groups(&sites, &victims, &request(2, 8)).expect("one more run can be stopped");
    assert_eq!((stopped(&plan), plan.places), (vec![1], vec![1, 2]));
}

/// Guards against the stop of a run that ends by itself, and against a guaranteed step whose start
/// depends on that.
#[test]
fn ending_left_alone() {
    let ending = Group { ending: true, ..group(10, 8, &[0]) };
    let groups = [ending, group(70, 8, &[1])];
    let awaited = plan(2, &groups, &request(1, 8)).expect("the run ends by itself");
    assert_eq!((stopped(&awaited), awaited.places), (vec![], vec![0]));
    let guaranteed = Request { ending: Ending::Stopped, ..request(1, 8) };
    let one = plan(2, &groups, &guaranteed).expect("there is another victim");
    assert_eq!(stopped(&one), vec![1]);
    let two = plan(2, &groups, &Request { count: 2, ..guaranteed }).expect("there are victims");
    assert_eq!(stopped(&two), vec![0, 1]);
}

/// Guards against suspected workers being used before others, and against a gang that should share
/// a rack being spread.
#[test]
fn racks_and_suspects() {
    let mut sites = vec![site(0); 6];
    for (at, site) in sites.iter_mut().enumerate() {
        site.rack = ["a", "b", "c"][at / 2];
        site.suspect = at < 2;
    }
    let groups: Vec<Group<Gpus>> =
        [5, 5, 30, 40, 10, 70].iter().zip(0..).map(|(&cost, at)| group(cost, 8, &[at])).collect();
    let victims = Victims::new(groups, 6);
    let request = Request { one_rack: true, ..request(2, 8) };
    let plan = plan_groups(&sites, &victims, &request).expect("there are victims");
    assert_eq!(plan.places, vec![2, 3]);
    let wide = Request { count: 6, ..request };
    assert!(plan_groups(&sites, &victims, &wide).is_some(), "suspected workers come last");
    assert!(plan_groups(&sites, &victims, &Request { avoid_suspects: true, ..wide }).is_none());
}
