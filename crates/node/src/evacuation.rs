//! Evacuations of availability zones: what this VM knows of them, and how the owner passes them to
//! the planner and shows them to operators.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use log::info;
use log::warn;

use crate::state::State;
use batch::EvacuatedZone;
use batch::Event;
use batch::Planner;
use batch::View;
use batch::WorkerId;
use model::Time;
use platform::evacuation;
use platform::store::Change;
use platform::store::Item;

/// Interval at which the owner updates the gauges of evacuated zones. Counting takes a pass over all
/// workers.
const GAUGE_INTERVAL: Duration = Duration::from_millis(1_000);
/// Maximum number of zones with gauges, since whoever writes the keys chooses the names.
const MAX_GAUGE_ZONES: usize = 64;

/// An evacuation as the store holds it.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Evacuation {
    /// Store revision of its key.
    revision: u64,
    /// What is wrong with the key or the value; `None` if both are as expected.
    fault: Option<String>,
}

impl Evacuation {
    /// Evacuation that an item of the store makes, with its zone; `None` for other items.
    fn from_item(item: &Item) -> Option<(String, Evacuation)> {
        let zone = evacuation::zone(&item.key)?;
        let fault = match &item.value {
            _ if zone.is_empty() => Some("the key names no zone".to_owned()),
            Err(error) => Some(error.clone()),
            Ok(value) if !evacuation::is_readable(value) => Some("no JSON object".to_owned()),
            Ok(_) => None,
        };
        Some((zone.to_owned(), Evacuation { revision: item.revision, fault }))
    }
}

/// Evacuated availability zones as far as a VM knows.
///
/// Two calls to the store can be in flight at a time, and the one that is answered last may have the
/// older answer. An answer whose revision is not beyond the known one therefore changes nothing.
#[derive(Debug, Default)]
pub struct Evacuations {
    zones: BTreeMap<String, Evacuation>,
    /// Store revision up to which changes are known.
    revision: u64,
    /// Time up to which all acknowledged changes are known; `None` before the first read.
    confirmed_at: Option<Time>,
    /// Number of updates that changed the zones or their revisions.
    updates: u64,
}

impl Evacuations {
    /// Replaces the zones by those of a read of all items, which was sent at `sent`.
    pub fn replace(&mut self, items: &[Item], revision: u64, sent: Time) {
        if revision < self.revision {
            return;
        }
        self.update(items.iter().filter_map(Evacuation::from_item).collect(), revision);
        self.confirm(sent);
    }

    /// Applies the changes up to `revision` that a watch returned. The call was sent at `sent`, and
    /// the store has waited for `waited` if there are no changes.
    pub fn apply(&mut self, changes: &[Change], revision: u64, sent: Time, waited: Duration) {
        if revision < self.revision {
            return;
        }
        if revision > self.revision {
            let mut zones = self.zones.clone();
            for change in changes {
                match change {
                    Change::Written(item) => zones.extend(Evacuation::from_item(item)),
                    Change::Removed(key) => {
                        evacuation::zone(key).and_then(|zone| zones.remove(zone));
                    }
                }
            }
            self.update(zones, revision);
        }
        // An answer with changes may have been on its way for almost all of the call's time.
        self.confirm(if changes.is_empty() { sent + waited } else { sent });
    }

    /// Time up to which all acknowledged changes are known; `None` before the first read.
    pub fn confirmed_at(&self) -> Option<Time> {
        self.confirmed_at
    }

    fn confirm(&mut self, at: Time) {
        self.confirmed_at = Some(self.confirmed_at.map_or(at, |known| known.max(at)));
    }

    /// Replaces the zones by those of a store revision, and logs what has changed.
    fn update(&mut self, zones: BTreeMap<String, Evacuation>, revision: u64) {
        self.revision = revision;
        if self.zones == zones {
            return;
        }
        self.updates += 1;
        let before = std::mem::replace(&mut self.zones, zones);
        for zone in before.keys().filter(|zone| !self.zones.contains_key(*zone)) {
            info!(zone = zone.as_str(), revision = revision; "evacuation: lifted");
        }
        for (zone, heard) in &self.zones {
            if before.get(zone) == Some(heard) {
                continue;
            }
            let (zone, revision) = (zone.as_str(), heard.revision);
            match &heard.fault {
                Some(fault) if zone.is_empty() => {
                    warn!(revision = revision, fault = fault.as_str(); "evacuation: ignored");
                }
                Some(fault) => warn!(zone = zone, revision = revision, fault = fault.as_str();
                    "evacuation: received, though its value cannot be read"),
                None => info!(zone = zone, revision = revision; "evacuation: received"),
            }
        }
    }

    /// Names of the zones.
    pub fn names(&self) -> BTreeSet<String> {
        self.zones.keys().filter(|zone| !zone.is_empty()).cloned().collect()
    }
}

/// Workers of evacuated zones, to which no start may be sent. Shared between the owner and its
/// orders, which may have to wait before they are sent.
#[derive(Clone, Debug, Default)]
pub struct ClosedWorkers(Rc<RefCell<BTreeSet<WorkerId>>>);

impl ClosedWorkers {
    /// Whether the worker's zone is evacuated.
    pub fn contains(&self, worker: &WorkerId) -> bool {
        self.0.borrow().contains(worker)
    }
}

/// Connects the evacuations that an owner's VM knows with the planner, the logs and the gauges.
#[derive(Debug, Default)]
pub struct EvacuationFollower {
    /// Update that was last passed to the planner.
    passed: Option<u64>,
    closed: ClosedWorkers,
    /// Evacuations in force that have been logged, with whether their zone is empty.
    in_force: BTreeMap<String, (Evacuation, bool)>,
    /// Zones that have gauges.
    gauged: BTreeSet<String>,
    /// Update for which the gauges were last set.
    shown: Option<u64>,
    /// When the gauges are set again.
    show_at: Time,
}

impl EvacuationFollower {
    /// Workers to which no start may be sent, kept up to date.
    pub fn closed(&self) -> ClosedWorkers {
        self.closed.clone()
    }

    /// Passes the evacuations and their age to the planner, before it applies other events: some of
    /// these make it send starts.
    pub fn pass(&mut self, state: &State, planner: &mut Planner, now: Time) {
        let known = state.evacuations.borrow();
        if self.passed != Some(known.updates) {
            self.passed = Some(known.updates);
            planner.apply(now, Event::Evacuated(known.names()));
            self.close(planner);
        }
        if let Some(at) = known.confirmed_at() {
            planner.apply(now, Event::Viewed(View::Evacuations, at));
        }
    }

    /// Updates the workers to which no start may be sent, after the zones or the directory have
    /// changed.
    pub fn close(&self, planner: &Planner) {
        if !planner.evacuated().is_empty() || !self.closed.0.borrow().is_empty() {
            *self.closed.0.borrow_mut() = planner.evacuated_workers().cloned().collect();
        }
    }

    /// Logs evacuations that have come into force, and sets the gauges.
    pub fn show(&mut self, state: &State, planner: &Planner, now: Time) {
        let unchanged = self.shown == self.passed;
        if unchanged && (planner.evacuated().is_empty() || now < self.show_at) {
            return;
        }
        self.shown = self.passed;
        self.show_at = now + GAUGE_INTERVAL;
        let known = state.evacuations.borrow();
        let lifted = |zone: &&String| !planner.evacuated().contains(*zone);
        let lifted: Vec<String> = self.in_force.keys().filter(lifted).cloned().collect();
        for zone in lifted {
            self.in_force.remove(&zone);
            self.set_gauges(state, &zone, 0, 0);
        }
        for counts in planner.evacuated_zones() {
            self.set_gauges(state, &counts.zone, 1, counts.runs as u64);
            if let Some(heard) = known.zones.get(&counts.zone) {
                self.log_progress(&counts, heard);
            }
        }
    }

    /// Logs that an evacuation is in force, and that no run is left in its zone.
    fn log_progress(&mut self, counts: &EvacuatedZone, heard: &Evacuation) {
        let EvacuatedZone { zone, workers, runs } = counts;
        let (zone, workers, runs) = (zone.as_str(), *workers, *runs);
        let revision = heard.revision;
        let logged = self.in_force.get(zone).filter(|(logged, _)| logged == heard);
        let was_empty = logged.is_some_and(|(_, empty)| *empty);
        match logged {
            Some(_) if runs == 0 && !was_empty => {
                info!(zone = zone, revision = revision; "evacuation: empty");
            }
            Some(_) => {}
            None if workers == 0 => warn!(zone = zone, revision = revision;
                "evacuation: in force, but no worker is known in this zone"),
            None => info!(zone = zone, revision = revision, workers = workers, runs = runs;
                "evacuation: in force"),
        }
        self.in_force.insert(zone.to_owned(), (heard.clone(), runs == 0));
    }

    fn set_gauges(&mut self, state: &State, zone: &str, in_force: u64, runs: u64) {
        if !self.gauged.contains(zone) && self.gauged.len() >= MAX_GAUGE_ZONES {
            return;
        }
        self.gauged.insert(zone.to_owned());
        state.metrics.set_evacuation(zone, "in_force", in_force);
        state.metrics.set_evacuation(zone, "runs_left", runs);
    }
}
