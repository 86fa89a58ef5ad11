//! Scheduler for batch jobs. Jobs consist of steps, steps of tasks; a worker runs many tasks at
//! once.
//!
//! A [`Planner`] schedules all jobs of one owner. It is a deterministic state machine without I/O:
//! events and the current time go in, actions come out. Its safety rests on three rules:
//!
//! - A run is stored before its worker is told to start it.
//! - The end of a run is stored before the worker may discard its report of it.
//! - A task gets a new run only after the last one has provably ended, provably never started, or
//!   outlived every lease that was ever sent for it.

mod action;
mod address;
mod advice;
mod calls;
mod crash;
mod directory;
mod evacuation;
mod event;
mod fence;
mod headroom;
mod job;
mod lost;
mod open;
mod order;
mod pace;
mod place;
mod planner;
mod policy;
mod reclaim;
mod record;
mod reservations;
mod room;
mod settings;
mod settle;
mod spec;
mod views;

pub use action::Action;
pub use action::Note;
pub use advice::Advice;
pub use directory::WorkerInfo;
pub use evacuation::EvacuatedZone;
pub use event::End;
pub use event::Event;
pub use event::Outcome;
pub use event::Refusal;
pub use event::RenewalReport;
pub use event::RunReport;
pub use event::StartResult;
pub use job::JobState;
pub use planner::Planner;
pub use planner::Summary;
pub use policy::Account;
pub use policy::Policy;
pub use policy::Queue;
pub use policy::Service;
pub use record::Fate;
pub use record::Record;
pub use record::TaskRecord;
pub use settings::Settings;
pub use spec::JobId;
pub use spec::MAX_JOB_TASKS;
pub use spec::Need;
pub use spec::Spec;
pub use spec::StepKey;
pub use spec::StepSpec;
pub use spec::Submission;
pub use spec::TaskKey;
pub use spec::WorkerId;
pub use views::View;
pub use views::ViewBounds;
