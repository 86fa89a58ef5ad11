//! Gang scheduler: places multi-accelerator jobs whole or not at all.
//!
//! A [`Shard`] schedules the jobs on the workers of one placement shard, which is an availability
//! zone or a part of one. It is a deterministic state machine: [`Event`]s and the current time go
//! in, [`Action`]s come out. The caller performs the actions against the store and the workers and
//! feeds their answers back as events.

mod action;
mod calls;
mod commit;
mod effect;
mod event;
mod failure;
mod guarantee;
mod health;
mod job;
mod lease;
mod page;
mod place;
mod plan;
mod policy;
mod preempt;
mod queue;
mod quota;
mod rate_limit;
mod recover;
mod renew;
mod report;
mod reserve;
mod run_time;
mod schedule;
mod settings;
mod shard;
mod snapshot;
mod spec;
mod state;
mod stop;
mod view;

pub use action::Action;
pub use action::LeaseRef;
pub use action::Reply;
pub use action::TaskRange;
pub use event::Event;
pub use event::Grant;
pub use event::LeaseReport;
pub use event::ReadResult;
pub use event::StoredPage;
pub use event::TaskReport;
pub use event::TaskStatus;
pub use event::Ticket;
pub use event::WorkerAnswer;
pub use event::WorkerInfo;
pub use event::WorkerReport;
pub use event::WriteId;
pub use event::WriteResult;
pub use page::PageError;
pub use page::PageValue;
pub use page::Record;
pub use page::Stage;
pub use page::page_prefix;
pub use policy::AccountPolicy;
pub use policy::Guaranteed;
pub use policy::Policy;
pub use policy::ServicePolicy;
pub use quota::Ledger;
pub use quota::QuotaError;
pub use quota::QuotaParts;
pub use settings::Discipline;
pub use settings::Settings;
pub use shard::Shard;
pub use snapshot::Explanation;
pub use snapshot::GuaranteeView;
pub use snapshot::Snapshot;
pub use snapshot::Step;
pub use spec::Attempt;
pub use spec::JobSpec;
pub use spec::Part;
pub use state::JobEvent;
pub use state::JobState;
pub use state::WorkerEvent;
pub use state::WorkerState;
