//! Decisions for jobs of steps on workers that run many tasks each.
//!
//! A [`Planner`] decides for all jobs of one owner. It is a deterministic state machine: events and
//! the time go in, actions come out. Three rules carry its safety. A run is stored before its
//! worker is told to start it; an end is stored before the worker may forget it; and a task gets a
//! new run only once its last one has provably ended, never began, or outlived every lease that
//! was ever sent.

mod action;
mod advice;
mod calls;
mod directory;
mod event;
mod job;
mod order;
mod place;
mod planner;
mod policy;
mod reclaim;
mod record;
mod room;
mod settings;
mod settle;
mod spec;

pub use action::Action;
pub use action::Note;
pub use advice::Advice;
pub use directory::WorkerInfo;
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
pub use record::Record;
pub use record::TaskRecord;
pub use settings::Settings;
pub use spec::JobId;
pub use spec::Need;
pub use spec::Spec;
pub use spec::StepKey;
pub use spec::StepSpec;
pub use spec::Submission;
pub use spec::TaskKey;
pub use spec::WorkerId;
