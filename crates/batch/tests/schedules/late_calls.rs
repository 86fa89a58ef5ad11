//! Calls that reach a worker after it has restarted under its id.

use crate::load::step;
use crate::worker::FakeWorker;
use crate::worker::Work;
use crate::world::Faults;
use crate::world::LISTING_PAUSE_MS;
use crate::world::NOTICE_MS;
use crate::world::World;
use crate::world::policy;
use crate::world::worker_id;
use batch::JobId;
use batch::JobState;
use batch::Refusal;
use batch::StartResult;
use batch::TaskKey;
use batch::WorkerId;

/// Time for which a crashed worker is away, in ms.
const DOWN_MS: u64 = 600;
/// Earliest time at which an unanswered call is carried out, in ms.
const DELAY_MS: u64 = 2_000;
/// How much longer a delayed start's lease lasts on the clock of the former incarnation, in ms.
const LEASE_MS: u64 = 3_000;

/// A start that is still on its way to a worker which has had the run.
struct LateStart {
    worker: WorkerId,
    task: TaskKey,
    work: Work,
    token: u64,
    deadline: u64,
}

impl LateStart {
    /// Another copy of the start of a run that is active.
    fn of_job(world: &World, job: &JobId) -> LateStart {
        let runs = |(id, fake): (&WorkerId, &FakeWorker)| {
            let (task, work) = fake.running.iter().find(|(task, _)| task.job == *job)?;
            Some(LateStart {
                worker: id.clone(),
                task: task.clone(),
                work: work.clone(),
                token: fake.token,
                deadline: fake.clock(world.now) + LEASE_MS,
            })
        };
        world.workers.iter().find_map(runs).expect("a run of the job")
    }

    /// Delivers the start to whichever incarnation answers now.
    fn arrive(&self, world: &mut World) -> StartResult {
        let now = world.now;
        let work = Work { since: now, ..self.work.clone() };
        let fake = world.workers.get_mut(&self.worker).expect("a known worker");
        assert!(fake.up && fake.called_at.is_some(), "the worker has not been called");
        fake.start(now, self.token, &self.task, self.deadline, work)
    }

    /// Restarts the worker, and lets the start arrive afterwards.
    fn arrive_after_restart(&self, world: &mut World) -> StartResult {
        world.crash(&self.worker, DOWN_MS);
        world.run(DOWN_MS + DELAY_MS);
        self.arrive(world)
    }
}

const FENCED: StartResult = StartResult::Refused(Refusal::Fence);

/// A world whose first job, of tasks that take about `estimate_ms`, is running.
fn running_job(workers: usize, count: u32, estimate_ms: u64) -> (World, JobId) {
    let mut world = World::new(11, workers, Faults::default(), policy(0));
    let steps = vec![step(count, 1, estimate_ms)];
    let job = world.submit("00000000000000aa", "patient", "a", steps);
    world.run(400);
    (world, job)
}

/// Guards against a task that runs again after its end was acknowledged.
#[test]
fn ended_run() {
    let (mut world, job) = running_job(1, 1, 1_000);
    let late = LateStart::of_job(&world, &job);
    world.run(4_000);
    assert_eq!(world.stored_state(&job), JobState::Completed);
    world.submit("00000000000000ab", "patient", "a", vec![step(4, 1, 60_000)]);
    world.run(500);
    assert_eq!(late.arrive_after_restart(&mut world), FENCED);
}

/// Guards against a task that runs twice: its run was given up while the worker was out of reach,
/// which restarts later.
#[test]
fn abandoned_run() {
    let (mut world, job) = running_job(2, 1, 40_000);
    let late = LateStart::of_job(&world, &job);
    world.workers.get_mut(&late.worker).expect("there").deaf_until = world.now + 15_000;
    world.run(17_000);
    assert_ne!(LateStart::of_job(&world, &job).worker, late.worker, "the task runs elsewhere");
    assert_eq!(late.arrive_after_restart(&mut world), FENCED);
}

/// Guards against a task that starts after its job was cancelled.
#[test]
fn cancelled_run() {
    let (mut world, job) = running_job(1, 1, 60_000);
    let late = LateStart::of_job(&world, &job);
    world.cancel(&job);
    world.run(2_000);
    assert_eq!(world.stored_state(&job), JobState::Cancelled);
    assert_eq!(late.arrive_after_restart(&mut world), FENCED);
}

/// Guards against a preempted run that starts again beside the urgent ones.
#[test]
fn preempted_run() {
    let (mut world, job) = running_job(1, 8, 60_000);
    let late = LateStart::of_job(&world, &job);
    let steps = vec![step(8, 1, 30_000)];
    world.submit("00000000000000ab", "urgent", "a", steps);
    world.run(3_000);
    assert!(!world.workers[&late.worker].running.contains_key(&late.task), "it was preempted");
    assert_eq!(late.arrive_after_restart(&mut world), FENCED);
}

/// Guards against starts of an incarnation that reach the next but one.
#[test]
fn second_restart() {
    let (mut world, job) = running_job(1, 1, 60_000);
    let first = LateStart::of_job(&world, &job);
    world.crash(&first.worker, DOWN_MS);
    world.run(DOWN_MS + DELAY_MS);
    let second = LateStart::of_job(&world, &job);
    assert!(second.work.run > first.work.run);
    world.cancel(&job);
    world.submit("00000000000000ab", "patient", "a", vec![step(4, 1, 60_000)]);
    world.run(2_000);
    world.crash(&first.worker, DOWN_MS);
    world.run(DOWN_MS + DELAY_MS);
    assert_eq!(first.arrive(&mut world), FENCED);
    assert_eq!(second.arrive(&mut world), FENCED);
}

/// Guards against a restored run that starts again on a worker which restarts: the start is one of
/// the former owner.
#[test]
fn restored_run() {
    let (mut world, job) = running_job(2, 1, 60_000);
    let late = LateStart::of_job(&world, &job);
    world.take_over(false);
    world.run(1_000);
    assert_eq!(late.arrive_after_restart(&mut world), FENCED);
}

/// Lets the next owner take over, crashes the worker, and lets the start of the former owner arrive
/// as soon as an owner may be expected to have called the next incarnation, before the directory is
/// read again.
fn arrive_after_takeover(late: &LateStart, world: &mut World) -> StartResult {
    world.take_over(false);
    world.run(1_500);
    arrive_between_listings(late, world)
}

fn arrive_between_listings(late: &LateStart, world: &mut World) -> StartResult {
    let listing = (world.now + DOWN_MS).next_multiple_of(LISTING_PAUSE_MS);
    let down = listing + 20 - world.now;
    world.crash(&late.worker, down);
    world.run(down + NOTICE_MS);
    late.arrive(world)
}

/// Guards against a task that runs again although its job was shown as completed: the owner that had
/// sent the start was killed, and the next one did not call the idle worker.
#[test]
fn ended_before_takeover() {
    let (mut world, job) = running_job(1, 1, 1_000);
    let late = LateStart::of_job(&world, &job);
    world.run(4_000);
    assert_eq!(world.stored_state(&job), JobState::Completed);
    assert_eq!(arrive_after_takeover(&late, &mut world), FENCED);
}

/// The same for a job that was cancelled.
#[test]
fn cancelled_before_takeover() {
    let (mut world, job) = running_job(1, 1, 60_000);
    let late = LateStart::of_job(&world, &job);
    world.cancel(&job);
    world.run(2_000);
    assert_eq!(world.stored_state(&job), JobState::Cancelled);
    assert_eq!(arrive_after_takeover(&late, &mut world), FENCED);
}

/// The same for a run that was given up, whose task runs elsewhere.
#[test]
fn abandoned_before_takeover() {
    let (mut world, job) = running_job(2, 1, 60_000);
    let late = LateStart::of_job(&world, &job);
    let deaf_until = world.now + 9_000;
    world.workers.get_mut(&late.worker).expect("there").deaf_until = deaf_until;
    world.run(11_000);
    assert_ne!(LateStart::of_job(&world, &job).worker, late.worker, "the task runs elsewhere");
    assert_eq!(arrive_after_takeover(&late, &mut world), FENCED);
}

/// The same for a run that was preempted.
#[test]
fn preempted_before_takeover() {
    let (mut world, job) = running_job(1, 8, 60_000);
    let late = LateStart::of_job(&world, &job);
    world.submit("00000000000000ab", "urgent", "a", vec![step(8, 1, 500)]);
    world.run(600);
    assert!(!world.workers[&late.worker].running.contains_key(&late.task), "it was preempted");
    assert_eq!(arrive_after_takeover(&late, &mut world), FENCED);
}

/// The same after two takeovers in a row.
#[test]
fn second_takeover() {
    let (mut world, job) = running_job(1, 1, 1_000);
    let late = LateStart::of_job(&world, &job);
    world.run(3_000);
    world.take_over(false);
    world.run(4_000);
    assert_eq!(arrive_after_takeover(&late, &mut world), FENCED);
}

/// The same for a worker that restarts twice.
#[test]
fn restarts_after_takeover() {
    let (mut world, job) = running_job(1, 1, 1_000);
    let late = LateStart::of_job(&world, &job);
    world.run(3_000);
    assert_eq!(arrive_after_takeover(&late, &mut world), FENCED);
    world.run(1_000);
    assert_eq!(arrive_between_listings(&late, &mut world), FENCED);
}

/// Guards against a worker that the owner forgets while it is away, so that it is not called before
/// the directory lists it again.
#[test]
fn unlisted_worker() {
    let (mut world, job) = running_job(1, 1, 1_000);
    let late = LateStart::of_job(&world, &job);
    world.run(3_000);
    world.take_over(false);
    world.run(1_500);
    let down = 5_020 - world.now % LISTING_PAUSE_MS;
    world.crash(&late.worker, down);
    world.run(down + NOTICE_MS);
    assert_eq!(late.arrive(&mut world), FENCED);
}

/// Guards against a start that got no answer and is carried out by an incarnation which the owner
/// has called, but has not learned of yet: the call waits there for a run to end.
#[test]
fn waiting_renewal() {
    let (mut world, job) = running_job(1, 1, 60_000);
    let late = LateStart::of_job(&world, &job);
    world.start_unanswered(&late.worker, &late.task, late.work.run);
    world.run(1_000);
    world.cancel(&job);
    world.run(1_000);
    while !world.is_renewing(&late.worker) {
        world.run(1);
    }
    let now = world.now;
    world.workers.get_mut(&late.worker).expect("there").restart(now);
    world.run(100);
    assert_eq!(late.arrive(&mut world), FENCED);
}

/// Guards against a worker that is not called for as long as a renewal hangs which its former
/// incarnation held, although the directory lists the new one.
#[test]
fn hung_renewal() {
    let (mut world, job) = running_job(1, 1, 1_000);
    let late = LateStart::of_job(&world, &job);
    world.faults.hung_calls = true;
    world.run(3_000);
    world.take_over(false);
    world.run(1_500);
    let now = world.now;
    world.workers.get_mut(&late.worker).expect("there").restart(now);
    world.run(LISTING_PAUSE_MS + 100);
    assert_eq!(late.arrive(&mut world), FENCED);
}

/// Guards against starts of a former owner on an idle worker that restarts between two reads of the
/// directory: the owner had no reason to call the worker.
#[test]
fn idle_worker() {
    let (mut world, job) = running_job(1, 1, 1_000);
    let late = LateStart::of_job(&world, &job);
    world.run(4_000);
    world.take_over(false);
    world.run(4_000);
    assert_eq!(world.stored_state(&job), JobState::Completed);
    let now = world.now;
    world.workers.get_mut(&late.worker).expect("there").restart(now);
    world.run(DELAY_MS);
    assert_eq!(late.arrive(&mut world), FENCED);
}

/// Guards against ends that are never reported, and leases that last too long: a renewal that was
/// sent to the former incarnation acknowledges them and extends the leases.
#[test]
fn late_renewal() {
    let (mut world, job) = running_job(1, 4, 1_000);
    let token = world.workers[&worker_id(0)].token;
    world.run(4_000);
    assert_eq!(world.stored_state(&job), JobState::Completed);
    world.crash(&worker_id(0), DOWN_MS);
    world.run(DOWN_MS + DELAY_MS);
    let now = world.now;
    let fake = world.workers.get_mut(&worker_id(0)).expect("there");
    assert!(fake.called_at.is_some(), "the worker has not been called");
    assert_eq!(fake.answer_renewal(now, token, Some(60_000), 4), None);
    assert!(!fake.stop(token, &TaskKey { job, occurrence: 0, step: 0, index: 0 }, 1));
}
