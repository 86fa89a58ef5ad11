//! Reservations for wide steps that cannot be placed.
//!
//! A gang or a step whose tasks need most of a worker would wait for as long as smaller tasks take
//! each bit of capacity that becomes free. So the first of these steps in the order of placement get
//! the workers on which they are expected to fit first, see [`reserve`]. In the rest of the pass,
//! tasks may use these workers if they are expected to end before the reservation begins, or fit
//! beside it. Urgent steps are placed before any reservation is made, and may preempt runs on these
//! workers.
//!
//! Every pass makes the reservations anew and nothing of them is stored, so a reservation whose time
//! slips, or which a takeover interrupts, needs no treatment of its own.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use crate::Planner;
use crate::action::Action;
use crate::action::Note;
use crate::directory::millis;
use crate::job::Job;
use crate::job::Run;
use crate::job::Stage;
use crate::order::PendingStep;
use crate::order::Rank;
use crate::order::worthless_from;
use crate::place::near_until;
use crate::room::Held;
use crate::room::Slot;
use crate::spec::Need;
use crate::spec::StepKey;
use crate::spec::StepSpec;
use crate::spec::TaskKey;
use crate::spec::WorkerId;
use model::Time;
use reserve::Demand;
use reserve::Release;
use reserve::Reservation;
use reserve::RunTimes;
use reserve::Tier;
use reserve::Worker;

/// Time after which no reservation begins. Capacity held for longer would be idle for too long, and
/// the longer the time, the less the expected ends can be relied on.
const HORIZON: Duration = Duration::from_millis(4_000);
/// Searches in one pass for each reservation that may be made. Without this bound, a pass with many
/// wide steps that fit nowhere within [`HORIZON`] would take too much processor time.
const SEARCHES_PER_RESERVATION: usize = 2;
/// Time for which no reservation is searched for a gang that is too large for the fleet, until it is
/// checked again. Searches for a few such gangs would use up those of each pass.
const TOO_LARGE_PAUSE: Duration = Duration::from_millis(2_000);
/// No further reservation is made once the workers that hold capacity make up this part of the usable
/// ones, in percent. Beyond it, the smaller tasks lose more than the wide steps gain.
const MAX_HOLDING_PERCENT: usize = 20;
/// Maximum number of tasks in the reservation of a step that is not a gang, whose tasks start one by
/// one. The rest follow in later passes.
const MAX_SINGLE_TASKS: u32 = 8;
/// Time for which the expected ends of the runs on a worker are kept while its used capacity does not
/// change. Placement passes may follow each other within milliseconds.
const ENDS_TIME: Duration = Duration::from_millis(240);
/// Time from a placement to the start on the worker, with the commit in between.
const START_TIME: Duration = Duration::from_millis(150);
/// Time for which a run that is being stopped for longer than it should is expected to go on.
const LATE_STOP_TIME: Duration = Duration::from_millis(250);

/// What is kept between placement passes.
#[derive(Debug, Default)]
pub(crate) struct Reservations {
    /// Maximum number of reservations; zero for none.
    most: usize,
    run_times: RunTimes,
    /// Number of reservations in the last pass.
    count: usize,
    /// Live steps whose reservation has been logged.
    noted: BTreeSet<StepKey>,
    /// Expected ends as last computed.
    fleet: Fleet,
    /// Capacity held in the last pass, ordered by worker.
    held: Vec<(WorkerId, Held)>,
}

impl Reservations {
    /// Number of reservations in the last pass.
    pub fn count(&self) -> usize {
        self.count
    }

    /// Records the reservations of a pass that has ended, which `slots` hold.
    pub fn finish_pass(&mut self, pass: PassReservations, slots: &[Slot]) {
        self.count = pass.count;
        let held = slots.iter().filter_map(|slot| Some((slot.worker.clone(), slot.held?)));
        self.held = held.collect();
        if let Some(fleet) = pass.fleet {
            self.fleet = fleet;
        }
    }

    /// Holds the capacity of the last pass against runs without an end.
    pub fn bind_lasting(&self, slots: &mut [Slot]) {
        for (worker, held) in &self.held {
            if let Ok(at) = slots.binary_search_by(|slot| slot.worker.cmp(worker)) {
                slots[at].held = Some(Held { binds: true, ..*held });
            }
        }
    }
}

/// Reservations of one placement pass.
#[derive(Debug, Default)]
pub(crate) struct PassReservations {
    count: usize,
    searches: usize,
    /// Whether a step waits that is not too late to earn anything.
    worthwhile_waits: bool,
    /// Indexes of the slots that hold capacity.
    holding: Vec<usize>,
    /// Computed for the first search.
    fleet: Option<Fleet>,
}

/// Expected ends of the runs on a worker.
#[derive(Debug)]
struct Ends {
    worker: WorkerId,
    /// When they were computed.
    at: Time,
    /// Capacity that these runs use.
    used: Need,
    /// The ends within [`HORIZON`], the first one first.
    releases: Vec<Release<Need>>,
}

/// Data of all slots that the searches of a pass share.
#[derive(Debug, Default)]
struct Fleet {
    /// Ends on each slot.
    ends: Vec<Ends>,
    /// Index of the rack of each slot.
    racks: Vec<usize>,
    /// The largest capacity of any slot in each resource.
    largest: Need,
}

impl PassReservations {
    /// Applies the reservations made so far to runs that end at `ends`, which may use held capacity
    /// only if it is not needed before.
    pub fn bind(&self, slots: &mut [Slot], ends: Time) {
        for &at in &self.holding {
            if let Some(held) = &mut slots[at].held {
                held.binds = ends > held.from;
            }
        }
    }
}

impl Planner {
    /// Sets the maximum number of reservations for wide steps. It is zero before, which serves
    /// steps without any.
    pub fn limit_reservations(&mut self, most: usize) {
        self.reservations.most = most;
    }

    /// Learns from the current run of a task, which has completed, how long such runs take.
    pub(crate) fn learn_run_time(&mut self, now: Time, key: &TaskKey) {
        if self.reservations.most == 0 {
            return;
        }
        let Some(began) = self.work_begun(key) else { return };
        let Some(job) = self.jobs.get(&key.job) else { return };
        let step = key.step as usize;
        let estimate = Duration::from_millis(job.spec.steps[step].estimate_ms);
        self.reservations.run_times.record(&job.queue, step, estimate, now.since(began));
    }

    /// When the runs of a step would end that are placed now; `now` before the first reservation,
    /// since it does not matter then.
    pub(crate) fn step_end(
        &self,
        now: Time,
        job: &Job,
        step: usize,
        pass: &PassReservations,
    ) -> Time {
        if pass.holding.is_empty() {
            return now;
        }
        self.expected_run_time(job, step).map_or(Time::NEVER, |time| now + START_TIME + time)
    }

    /// Expected run time of a step's tasks; `None` if it is not known or they never end.
    fn expected_run_time(&self, job: &Job, step: usize) -> Option<Duration> {
        let spec = job.spec.steps.get(step).filter(|spec| !spec.lasting)?;
        let estimate = Duration::from_millis(spec.estimate_ms);
        self.reservations.run_times.expected(&job.queue, step, estimate)
    }

    /// Makes a reservation for a step that could not be placed fully, if it is wide and the limits
    /// allow it.
    pub(crate) fn reserve_ahead(
        &mut self,
        now: Time,
        pending: &PendingStep,
        step: &StepSpec,
        slots: &mut [Slot],
        pass: &mut PassReservations,
    ) {
        let most = self.reservations.most;
        let holds_enough = pass.holding.len() * 100 > slots.len() * MAX_HOLDING_PERCENT;
        let searched_enough = pass.searches >= most * SEARCHES_PER_RESERVATION;
        if pass.count >= most || holds_enough || searched_enough {
            return;
        }
        let late = pending.rank == Rank::Late;
        pass.worthwhile_waits |= !late;
        let urgent = matches!(pending.rank, Rank::Guaranteed | Rank::Priority(0));
        if urgent || late && pass.worthwhile_waits || self.is_search_paused(now, pending) {
            return;
        }
        if step.gang && !self.fits_empty_fleet(pending, step, slots) {
            self.pause_search(now, pending);
            return;
        }
        let fleet = pass.fleet.take().unwrap_or_else(|| self.fleet(now, slots));
        if step.gang || is_wide(&step.need, &fleet.largest) {
            pass.searches += 1;
            if let Some(found) = self.find_reservation(now, pending, step, slots, &fleet) {
                hold(slots, &fleet, step, &found, &mut pass.holding);
                pass.count += 1;
                self.note_reservation(now, pending, &found);
            }
        }
        pass.fleet = Some(fleet);
    }

    fn is_search_paused(&self, now: Time, pending: &PendingStep) -> bool {
        let Some(job) = self.jobs.get(&pending.job) else { return false };
        now < job.occurrences[pending.occurrence][pending.step].search_after
    }

    fn pause_search(&mut self, now: Time, pending: &PendingStep) {
        let Some(job) = self.jobs.get_mut(&pending.job) else { return };
        let step_state = &mut job.occurrences[pending.occurrence][pending.step];
        step_state.search_after = now + TOO_LARGE_PAUSE;
    }

    /// Whether all tasks of a gang would fit if no other tasks were running.
    fn fits_empty_fleet(&self, pending: &PendingStep, step: &StepSpec, slots: &[Slot]) -> bool {
        let Some(job) = self.jobs.get(&pending.job) else { return false };
        let Some(queue) = self.policy.queue(job) else { return false };
        let most = step.spread.map_or(u64::MAX, u64::from);
        let suited = slots.iter().filter(|slot| slot.suits_unbarred(step, &queue.service));
        let copies = suited.map(|slot| slot.info.capacity.copies(&step.need).min(most));
        copies.fold(0, u64::saturating_add) >= u64::from(step.count)
    }

    /// Searches the reservation of a step that begins first.
    fn find_reservation(
        &self,
        now: Time,
        pending: &PendingStep,
        step: &StepSpec,
        slots: &[Slot],
        fleet: &Fleet,
    ) -> Option<Reservation> {
        let job = self.jobs.get(&pending.job)?;
        let queue = self.policy.queue(job).filter(|queue| !queue.advised)?;
        let step_state = &job.occurrences[pending.occurrence][pending.step];
        let suits = |slot: &Slot| slot.suits(step, &queue.service);
        let (indexes, workers): (Vec<usize>, Vec<Worker<'_, Need>>) = (0..slots.len())
            .filter(|&at| suits(&slots[at]) && step.need.fits(&slots[at].info.capacity))
            .map(|at| (at, view(slots, fleet, at, step.spread)))
            .unzip();
        let missing = step_state.tasks.iter().filter(|t| !t.done && t.stage == Stage::Idle);
        let missing = u32::try_from(missing.count()).unwrap_or(u32::MAX);
        let near = step.gang && step.one_rack || step.rack.is_some();
        let demand = Demand {
            need: step.need,
            count: if step.gang { missing } else { missing.min(MAX_SINGLE_TASKS) },
            together: step.gang,
            rack: step.rack.as_ref().map(|rack| {
                let at = slots.iter().position(|slot| slot.info.rack == *rack);
                at.map_or(usize::MAX, |at| fleet.racks[at])
            }),
            apart_from: near_until(step_state, step).filter(|_| near).unwrap_or(now),
            worst: if step_state.avoids_suspects(now) { Tier::Slow } else { Tier::Suspect },
        };
        let mut found = reserve::search(now, now + HORIZON, &workers, &demand)?;
        let run_time = self.expected_run_time(job, pending.step).unwrap_or_default();
        if pending.rank != Rank::Late && found.begins + run_time > worthless_from(job, &self.policy)
        {
            return None;
        }
        found.holds.iter_mut().for_each(|hold| hold.worker = indexes[hold.worker]);
        Some(found)
    }

    /// Logs the first reservation of a step.
    fn note_reservation(&mut self, now: Time, pending: &PendingStep, found: &Reservation) {
        let (occurrence, number) = (pending.occurrence as u32, pending.step as u32);
        let key = StepKey { job: pending.job.clone(), occurrence, step: number };
        let live = &self.live;
        let noted = &mut self.reservations.noted;
        if noted.contains(&key) {
            return;
        }
        noted.retain(|key| live.contains(&key.job));
        noted.insert(key);
        let workers: BTreeSet<usize> = found.holds.iter().map(|hold| hold.worker).collect();
        self.out.push(Action::Note(Note::Reserves {
            job: pending.job.clone(),
            step: pending.step,
            tasks: found.holds.iter().map(|hold| hold.tasks).sum(),
            workers: workers.len(),
            wait: millis(found.begins.since(now)),
        }));
    }

    /// Computes what the searches of a pass share.
    fn fleet(&mut self, now: Time, slots: &[Slot]) -> Fleet {
        let mut names: BTreeMap<&str, usize> = BTreeMap::new();
        let mut fleet = Fleet::default();
        // Both lists are ordered by worker.
        let former = std::mem::take(&mut self.reservations.fleet);
        let mut former = former.ends.into_iter().peekable();
        for slot in slots {
            let next = names.len();
            fleet.racks.push(*names.entry(&slot.info.rack).or_insert(next));
            let more = slot.info.capacity.less(&fleet.largest);
            fleet.largest.add(&more);
            while former.next_if(|ends| ends.worker < slot.worker).is_some() {}
            let known = former.next_if(|ends| ends.worker == slot.worker);
            let used = self.workers.get(&slot.worker).map(|worker| worker.used).unwrap_or_default();
            let valid = |ends: &Ends| ends.used == used && now < ends.at + ENDS_TIME;
            fleet.ends.push(match known.filter(valid) {
                Some(known) => known,
                None => self.ends(now, &slot.worker, used),
            });
        }
        fleet
    }

    /// Computes the expected ends of the runs on a worker, which use `used`.
    fn ends(&self, now: Time, worker: &WorkerId, used: Need) -> Ends {
        let keys = self.runs.get(worker).into_iter().flatten();
        let releases = keys.filter_map(|key| self.release(now, key));
        let mut releases: Vec<Release<Need>> =
            releases.filter(|release| release.at <= now + HORIZON).collect();
        releases.sort_unstable_by_key(|release| release.at);
        Ends { worker: worker.clone(), at: now, used, releases }
    }

    /// When the run of a task is expected to end, with its capacity.
    fn release(&self, now: Time, key: &TaskKey) -> Option<Release<Need>> {
        let job = self.jobs.get(&key.job)?;
        let step = job.spec.steps.get(key.step as usize)?;
        let Stage::Placed(run) = &job.task(key)?.stage else { return None };
        let at = match run.stopping {
            Some(since) => (since + self.settings.stop).max(now + LATE_STOP_TIME),
            None => {
                let estimate =
                    Duration::from_millis(if step.lasting { 0 } else { step.estimate_ms });
                let number = key.step as usize;
                let times = &self.reservations.run_times;
                let run_time = times.expected(&job.queue, number, estimate);
                reserve::expected_end(now, began(run, now), run_time, run.pace.progress())
            }
        };
        Some(Release { at, amount: step.need })
    }
}

/// When a run began as far as is known.
fn began(run: &Run, now: Time) -> Time {
    run.pace.started.or(run.confirmed).or(run.first_sent).unwrap_or(now)
}

/// Whether a task needs more than half of the largest worker.
fn is_wide(need: &Need, largest: &Need) -> bool {
    largest.copies(need) == 1
}

/// View of a slot for the search.
fn view<'f>(slots: &[Slot], fleet: &'f Fleet, at: usize, spread: Option<u32>) -> Worker<'f, Need> {
    let slot = &slots[at];
    // Runs that are being stopped first free the capacity that is reserved for urgent steps.
    let mut held = slot.unfreed;
    held.add(&slot.held.map(|held| held.amount).unwrap_or_default());
    Worker {
        free: slot.free,
        held,
        releases: &fleet.ends[at].releases,
        rack: fleet.racks[at],
        tier: match (slot.suspect, slot.slow) {
            (true, _) => Tier::Suspect,
            (false, true) => Tier::Slow,
            (false, false) => Tier::Sound,
        },
        most: spread.map_or(u32::MAX, |most| most.saturating_sub(slot.step_tasks)),
    }
}

/// Holds the capacity of a reservation on its slots.
fn hold(
    slots: &mut [Slot],
    fleet: &Fleet,
    step: &StepSpec,
    found: &Reservation,
    holding: &mut Vec<usize>,
) {
    for hold in &found.holds {
        let mut need = Need::default();
        (0..hold.tasks).for_each(|_| need.add(&step.need));
        let worker = view(slots, fleet, hold.worker, None);
        let slot = &mut slots[hold.worker];
        let beside = reserve::available_at(&worker, hold.at).less(&need).least(&slot.free);
        let former = slot.held.unwrap_or(Held {
            from: Time::NEVER,
            amount: Need::default(),
            beside,
            binds: false,
        });
        let mut amount = former.amount;
        amount.add(&need);
        slot.held = Some(Held {
            from: former.from.min(hold.at),
            amount,
            beside: former.beside.least(&beside),
            binds: false,
        });
        if !holding.contains(&hold.worker) {
            holding.push(hold.worker);
        }
    }
}
