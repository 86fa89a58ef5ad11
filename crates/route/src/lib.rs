//! Request decisions of one entry VM, without clock, socket or task.
//!
//! A [`Router`] is told what happened as [`Event`]s, with the time, and answers with [`Action`]s
//! that a shell carries out. The same events in the same order give the same actions.

mod action;
mod answers;
mod attempts;
mod backends;
mod budget;
mod calls;
mod credits;
mod drain;
mod event;
mod homes;
mod ledger;
mod lending;
mod life;
mod message;
mod names;
mod peers;
mod policy;
mod pump;
mod queue;
mod report;
mod router;
mod runtime;
mod seat;
mod settings;
mod settle;
mod table;
mod view;

pub use action::Action;
pub use action::Answer;
pub use action::Reason;
pub use action::Reuse;
pub use event::AttemptResult;
pub use event::Backend;
pub use event::Call;
pub use event::Cause;
pub use event::Event;
pub use event::HealthSignal;
pub use event::Peer;
pub use event::Ticket;
pub use life::BackendState;
pub use life::RequestState;
pub use message::CreditGrant;
pub use message::CreditRequest;
pub use message::HandoverRecord;
pub use message::HandoverState;
pub use message::LedgerBlock;
pub use message::LedgerImage;
pub use message::Message;
pub use policy::AccountPolicy;
pub use policy::Policy;
pub use policy::PoolId;
pub use policy::ServicePolicy;
pub use router::Router;
pub use settings::Settings;
pub use view::AnswerCount;
pub use view::BackendView;
pub use view::PeerView;
pub use view::QueueView;
pub use view::Snapshot;
pub use view::Step;
