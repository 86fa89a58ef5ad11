//! Evacuations of availability zones in a simulation, and the invariant that they set.

use std::collections::BTreeSet;

use rand::RngExt;

use super::World;
use batch::Action;
use batch::Event;
use batch::TaskKey;
use batch::View;
use batch::WorkerId;
use model::Time;

/// Time from the acknowledgement of an evacuation after which no task may start in the zone, in ms.
pub const EVACUATE_MS: u64 = 5_000;
/// Longest time for which the owners of a schedule do not learn of evacuations, in ms.
const MAX_READ_DELAY_MS: u64 = 12_000;
/// Availability zones of the workers.
pub const ZONES: [&str; 3] = ["north-a", "north-b", "south-a"];
/// Number of workers in a row that are in the same zone.
const ZONE_WORKERS: usize = 8;

/// Availability zone of the worker with this number.
pub fn zone(number: usize) -> String {
    ZONES[number / ZONE_WORKERS % ZONES.len()].to_owned()
}

impl World {
    /// The store acknowledges an evacuation.
    pub fn evacuate(&mut self, zone: &str) {
        self.log_line(format!("evacuate {zone}"));
        let now = self.now;
        self.evacuations.entry(zone.to_owned()).or_insert(now);
    }

    /// The store acknowledges that an evacuation is lifted.
    pub fn lift(&mut self, zone: &str) {
        self.log_line(format!("lift {zone}"));
        self.evacuations.remove(zone);
    }

    pub(super) fn lift_all(&mut self) {
        if !self.evacuations.is_empty() {
            self.log_line("lift all".to_owned());
            self.evacuations.clear();
        }
    }

    /// Evacuates or reopens a zone, or keeps the owners from learning of it for a while.
    pub(super) fn change_evacuations(&mut self) {
        let zone = ZONES[self.rng.random_range(0..ZONES.len())];
        match self.rng.random_range(0..8) {
            0 | 1 => self.evacuate(zone),
            2 => self.lift(zone),
            3 => {
                self.reads_delayed_until = self.now + self.rng.random_range(500..MAX_READ_DELAY_MS)
            }
            _ => {}
        }
    }

    /// Passes the present evacuations to an owner.
    pub fn show_evacuations(&mut self, owner: u64) {
        let now = Time::from_millis(self.now);
        let zones: BTreeSet<String> = self.evacuations.keys().cloned().collect();
        let Some(planner) = self.owners.get_mut(&owner) else { return };
        planner.apply(now, Event::Evacuated(zones));
        planner.apply(now, Event::Viewed(View::Evacuations, now));
    }

    /// Passes the present evacuations to the owners that reach the store now.
    pub(super) fn confirm_evacuations(&mut self) {
        if self.now < self.reads_delayed_until {
            return;
        }
        for owner in self.owners.keys().copied().collect::<Vec<_>>() {
            let cut = self
                .partition
                .as_ref()
                .is_some_and(|partition| partition.owner == owner && self.now < partition.until);
            if !cut {
                self.show_evacuations(owner);
            }
        }
    }

    /// Checks that no order that arrived at `arrived` has started a task in a zone that had been
    /// evacuated long enough before.
    pub(super) fn check_evacuation(&self, worker: &WorkerId, task: &TaskKey, arrived: u64) {
        let zone = self.entry(worker).zone;
        if let Some(at) = self.evacuations.get(&zone).filter(|at| **at + EVACUATE_MS < arrived) {
            self.fail_schedule(&format!(
                "{task} starts on {worker} in {zone}, which is evacuated since {at} ms"
            ));
        }
    }

    /// Checks that an owner sends no start to a zone that it knows to be evacuated.
    pub(super) fn check_sent(&self, owner: u64, action: &Action) {
        let Action::Start { worker, task, .. } = action else { return };
        let zone = self.entry(worker).zone;
        let known =
            self.owners.get(&owner).is_some_and(|planner| planner.evacuated().contains(&zone));
        if known {
            self.fail_schedule(&format!("{owner} sends {task} to {worker} in {zone}"));
        }
    }

    /// Number of runs on the workers of a zone.
    pub fn runs_in(&self, zone: &str) -> usize {
        let inside = self.workers.iter().filter(|(id, _)| self.entry(id).zone == zone);
        inside.map(|(_, worker)| worker.running.len()).sum()
    }
}
