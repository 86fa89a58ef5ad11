//! Request router of one entry VM, as a state machine without clock, sockets or tasks.
//!
//! A [`Router`] takes [`Event`]s with their time and returns [`Action`]s, which the caller (called
//! the shell here) carries out. It is deterministic: the same seed and the same events in the same
//! order give the same actions.
//!
//! Terms: the *home* of a request is the entry VM that issued its id and alone may dispatch it. A
//! request is *settled* once its answer is final for the router. A *verdict* says whether it ran.
//! The *lender* of a backend server divides its slots among the entry VMs as *slot credits*. The
//! *heir* takes over the ids of a home that stops as planned.

mod action;
mod answers;
mod attempts;
mod backends;
mod budget;
mod calls;
mod catalog;
mod completion;
mod credits;
mod dispatch;
mod drain;
mod event;
mod forwarding;
mod ledger;
mod lending;
mod lifecycle;
mod message;
mod peers;
mod policy;
mod queue;
mod report;
mod router;
mod run_time;
mod server;
mod settings;
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
pub use lifecycle::BackendState;
pub use lifecycle::RequestState;
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
