//! Carries out a planner's orders to workers.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use log::Level;
use log::info;
use log::log;
use log::warn;
use tokio::sync::mpsc::UnboundedSender;
use tokio::task::spawn_local;
use tokio::time::sleep;

use crate::clock::Clock;
use crate::metrics::Metrics;
use batch::Action;
use batch::Advice;
use batch::Event;
use batch::Outcome;
use batch::RenewalReport;
use batch::StartResult;
use batch::StepKey;
use batch::WorkerId;
use net::Caller;
use platform::advice::advise;
use platform::worker::Renewal;
use platform::worker::StartOrder;
use platform::worker::WorkerClient;
use platform::worker::WorkerError;

/// Limit on a start or a stop: four times the way to another region and back. Both may be sent
/// again, so an order that gets no answer costs little more than that.
const ORDER_TIMEOUT: Duration = Duration::from_millis(300);
/// Limit on a renewal, beside the wait that it asks for.
const RENEWAL_TIMEOUT: Duration = Duration::from_millis(700);

/// Limit on a call for advice: a hundred workers at some tens of milliseconds each.
const ADVICE_TIMEOUT: Duration = Duration::from_millis(5_000);

/// Carries out orders and reports what became of them.
#[derive(Clone, Debug)]
pub struct OrderSender {
    /// Calls under the owner's token.
    pub workers: WorkerClient,
    /// Time source.
    pub clock: Clock,
    /// Where answers go.
    pub events: UnboundedSender<Event>,
    /// What is measured.
    pub metrics: Metrics,
    /// Calls to the advice service.
    pub caller: Caller,
    /// Where the advice service is, if there is one.
    pub advice_address: Option<SocketAddr>,
}

impl OrderSender {
    /// Carries out one order, if it is one to a worker whose address is known.
    pub fn send(&self, addresses: &BTreeMap<WorkerId, SocketAddr>, action: Action) {
        let sender = self.clone();
        match action {
            Action::Start { worker, task, run, spec, deadline, saved, ticket } => {
                let Some(&address) = addresses.get(&worker) else { return };
                spawn_local(async move {
                    let (payload, saved) = (spec.payload.as_str(), saved.as_str());
                    let ticket = ticket.as_deref();
                    let start = StartOrder { task: &task, run, payload, deadline, saved, ticket };
                    let sent = sender.clock.now();
                    let result =
                        sender.workers.start(&worker, address, &start, ORDER_TIMEOUT).await;
                    let outcome = match result {
                        StartResult::Taken => "taken".to_owned(),
                        StartResult::Refused(reason) => reason.to_string(),
                        StartResult::Unknown => "unknown".to_owned(),
                    };
                    let took = sender.clock.now().since(sent);
                    sender.metrics.observe_order("start", &outcome, took);
                    // Starts that are taken are the usual case; where they went is in the store.
                    let level = match result {
                        StartResult::Taken => Level::Debug,
                        _ => Level::Info,
                    };
                    log!(level, task = task.to_string().as_str(), run = run, worker = &*worker.0,
                        result = format!("{result:?}").as_str(); "start");
                    sender.send_event(Event::Started(worker, task, run, result));
                });
            }
            Action::Stop { worker, task, run } => {
                let Some(&address) = addresses.get(&worker) else { return };
                spawn_local(async move {
                    let sent = sender.clock.now();
                    let result =
                        sender.workers.stop(&worker, address, &task, run, ORDER_TIMEOUT).await;
                    let outcome = if result.is_ok() { "done" } else { "failed" };
                    sender.metrics.observe_order("stop", outcome, sender.clock.now().since(sent));
                    let level = if result.is_ok() { Level::Debug } else { Level::Info };
                    log!(level, task = task.to_string().as_str(), run = run, worker = &*worker.0,
                        result = format!("{result:?}").as_str(); "stop");
                    if result == Err(WorkerError::Fenced) {
                        sender.send_event(Event::Deposed);
                    } else {
                        sender.send_event(Event::Stopped(worker, task, run, result.is_ok()));
                    }
                });
            }
            Action::Renew { worker, deadline, seen, wait } => {
                let Some(&address) = addresses.get(&worker) else {
                    sender.send_event(Event::RenewalFailed(worker));
                    return;
                };
                spawn_local(async move {
                    let event = sender.renew(worker, address, Renewal { deadline, seen, wait });
                    let event = event.await;
                    sender.send_event(event);
                });
            }
            Action::Advise { step, workers } => {
                spawn_local(async move {
                    let advice = sender.advise(&step, &workers).await;
                    sender.send_event(Event::Advised(advice));
                });
            }
            Action::Commit(_) | Action::Note(_) | Action::Resign => {}
        }
    }

    async fn advise(&self, step: &StepKey, workers: &[WorkerId]) -> Option<Advice> {
        let Some(address) = self.advice_address else {
            warn!(step = step.to_string().as_str(); "advice: the settings name no service");
            // A step that needs advice waits for settings that name the service.
            sleep(ADVICE_TIMEOUT).await;
            return None;
        };
        let sent = self.clock.now();
        let result = advise(&self.caller, address, step, workers, sent, ADVICE_TIMEOUT).await;
        let took = self.clock.now().since(sent);
        let outcome = if result.is_ok() { "done" } else { "failed" };
        self.metrics.observe_order("advice", outcome, took);
        match result {
            Ok(advice) => {
                info!(step = step.to_string().as_str(), asked = workers.len(),
                    named = advice.tickets.len(), took_ms = took.as_millis() as u64; "advice");
                Some(advice)
            }
            Err(error) => {
                info!(step = step.to_string().as_str(), asked = workers.len(),
                    error = error.as_str(); "advice: none");
                None
            }
        }
    }

    async fn renew(&self, worker: WorkerId, address: SocketAddr, renewal: Renewal) -> Event {
        let sent = self.clock.now();
        let timeout = RENEWAL_TIMEOUT + Duration::from_millis(renewal.wait);
        let result = self.workers.renew(&worker, address, renewal, timeout).await;
        let outcome = if result.is_ok() { "done" } else { "failed" };
        self.metrics.observe_order("renewal", outcome, self.clock.now().since(sent));
        match result {
            Ok(answer) => {
                for end in &answer.ended {
                    let expected = matches!(end.outcome, Outcome::Done | Outcome::Stopped);
                    let level = if expected { Level::Debug } else { Level::Info };
                    log!(level, task = end.task.to_string().as_str(), run = end.run, worker = &*worker.0,
                        number = end.number, outcome = end.outcome.to_string().as_str(); "end");
                }
                let report = RenewalReport {
                    sent,
                    clock: answer.clock,
                    incarnation: answer.incarnation,
                    running: answer.running,
                    ended: answer.ended,
                };
                Event::Renewed(worker, report)
            }
            Err(WorkerError::Fenced) => Event::Deposed,
            Err(WorkerError::Replaced) => Event::Replaced(worker),
            Err(WorkerError::Failed(error)) => {
                info!(worker = &*worker.0, error = error.as_str(); "renewal failed");
                Event::RenewalFailed(worker)
            }
        }
    }

    fn send_event(&self, event: Event) {
        // Nobody listens any more once the ownership is lost.
        let _ = self.events.send(event);
    }
}
