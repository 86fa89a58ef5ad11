//! Sends a planner's orders to the workers and reports their results.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use log::Level;
use log::info;
use log::log;
use log::warn;
use tokio::sync::Semaphore;
use tokio::sync::SemaphorePermit;
use tokio::sync::mpsc::UnboundedSender;
use tokio::task::spawn_local;
use tokio::time::sleep;

use crate::clock::Clock;
use crate::evacuation::ClosedWorkers;
use crate::metrics::Metrics;
use batch::Action;
use batch::Advice;
use batch::Event;
use batch::Outcome;
use batch::Refusal;
use batch::RenewalReport;
use batch::StartResult;
use batch::StepKey;
use batch::WorkerId;
use net::Caller;
use platform::advice::advise;
use platform::worker::Renewal;
use platform::worker::StartOrder;
use platform::worker::StopOrder;
use platform::worker::WorkerClient;
use platform::worker::WorkerError;

/// Timeout of a start or a stop: four round trips to another region. Both can be sent again, so an
/// unanswered order delays a run by little more than this.
const ORDER_TIMEOUT: Duration = Duration::from_millis(300);
/// Timeout of a renewal, in addition to the wait that it requests.
const RENEWAL_TIMEOUT: Duration = Duration::from_millis(700);

/// Payload size, in bytes, from which starts are limited by [`LARGE_STARTS_KB`].
const LARGE_PAYLOAD_BYTES: usize = 16 << 10;
/// Maximum size of the payloads of all large starts in flight, in kB, since each start holds copies
/// of its payload.
const LARGE_STARTS_KB: usize = 8 << 10;

/// Timeout of a call for advice: 100 workers at some tens of milliseconds each.
const ADVICE_TIMEOUT: Duration = Duration::from_millis(5_000);

/// Sends orders and returns their results to the planner as events.
#[derive(Clone, Debug)]
pub struct OrderSender {
    /// Client of the workers.
    pub workers: WorkerClient,
    /// Clock of the process.
    pub clock: Clock,
    /// Channel to the planner for the results.
    pub events: UnboundedSender<Event>,
    /// Metrics of the process.
    pub metrics: Metrics,
    /// HTTP client for the advice service.
    pub caller: Caller,
    /// Address of the advice service; `None` if the settings name none.
    pub advice_address: Option<SocketAddr>,
    /// Permits for the payloads of large starts, one for each kB.
    pub payload_permits: Rc<Semaphore>,
    /// Workers of evacuated availability zones.
    pub closed: ClosedWorkers,
}

/// Creates the permits for the payloads of large starts.
pub fn payload_permits() -> Rc<Semaphore> {
    Rc::new(Semaphore::new(LARGE_STARTS_KB))
}

impl OrderSender {
    /// Sends one order in a task of its own.
    pub fn send(&self, action: Action) {
        let sender = self.clone();
        match action {
            Action::Start {
                worker,
                address,
                task,
                run,
                spec,
                deadline,
                saved,
                ticket,
                token,
                send_by,
            } => {
                spawn_local(async move {
                    let (payload, saved) = (spec.payload.as_str(), saved.as_str());
                    let _permit = sender.payload_permit(payload.len()).await;
                    let ticket = ticket.as_deref();
                    let start =
                        StartOrder { task: &task, run, payload, deadline, saved, ticket, token };
                    let sent = sender.clock.now();
                    // The views may have become too old during the wait, or the zone evacuated.
                    let may_send = sent <= send_by && !sender.closed.contains(&worker);
                    let result = match may_send {
                        true => sender.workers.start(&worker, address, &start, ORDER_TIMEOUT).await,
                        false => StartResult::NotSent,
                    };
                    let outcome = match result {
                        StartResult::Taken => "taken".to_owned(),
                        StartResult::Refused(reason) => reason.to_string(),
                        StartResult::Unknown => "unknown".to_owned(),
                        StartResult::NotSent => "not_sent".to_owned(),
                    };
                    let took = sender.clock.now().since(sent);
                    sender.metrics.observe_order("start", &outcome, took);
                    // Accepted starts are the normal case, and the store records their workers.
                    let level = match result {
                        StartResult::Taken => Level::Debug,
                        _ => Level::Info,
                    };
                    log!(level, task = task.to_string().as_str(), run = run, worker = &*worker.0,
                        result = format!("{result:?}").as_str(); "start");
                    if result == StartResult::Refused(Refusal::Fence) {
                        sender.send_event(Event::Fenced(worker.clone(), token));
                    }
                    sender.send_event(Event::Started(worker, task, run, result));
                });
            }
            Action::Stop { worker, address, task, run, token } => {
                spawn_local(async move {
                    let sent = sender.clock.now();
                    let stop = StopOrder { task: &task, run, token };
                    let result = sender.workers.stop(&worker, address, &stop, ORDER_TIMEOUT).await;
                    let outcome = if result.is_ok() { "done" } else { "failed" };
                    sender.metrics.observe_order("stop", outcome, sender.clock.now().since(sent));
                    let level = if result.is_ok() { Level::Debug } else { Level::Info };
                    log!(level, task = task.to_string().as_str(), run = run, worker = &*worker.0,
                        result = format!("{result:?}").as_str(); "stop");
                    if result == Err(WorkerError::Fenced) {
                        sender.send_event(Event::Fenced(worker, token));
                    } else {
                        sender.send_event(Event::Stopped(worker, task, run, result.is_ok()));
                    }
                });
            }
            Action::Renew { worker, address, deadline, seen, wait, token } => {
                spawn_local(async move {
                    let renewal = Renewal { deadline, seen, wait, token };
                    let event = sender.renew(worker, address, renewal).await;
                    sender.send_event(event);
                });
            }
            Action::Fence { worker, address, token } => {
                spawn_local(async move {
                    let renewal = Renewal { deadline: None, seen: 0, wait: 0, token };
                    let result =
                        sender.workers.renew(&worker, address, renewal, RENEWAL_TIMEOUT).await;
                    if matches!(result, Err(WorkerError::Fenced)) {
                        sender.send_event(Event::Fenced(worker, token));
                    }
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

    /// Waits until a start with a payload of `bytes` may be sent, and returns its permit; `None` if
    /// it needs none.
    async fn payload_permit(&self, bytes: usize) -> Option<SemaphorePermit<'_>> {
        if bytes < LARGE_PAYLOAD_BYTES {
            return None;
        }
        let size = u32::try_from((bytes >> 10).min(LARGE_STARTS_KB)).unwrap_or(u32::MAX);
        // Fails only if the semaphore is closed, which never happens.
        self.payload_permits.acquire_many(size).await.ok()
    }

    /// Asks the advice service; `None` if it refuses the call or does not answer.
    async fn advise(&self, step: &StepKey, workers: &[WorkerId]) -> Option<Advice> {
        let Some(address) = self.advice_address else {
            warn!(step = step.to_string().as_str(); "advice: the settings name no advice service");
            // The step cannot be placed until the settings name the service; the delay limits the
            // rate at which the planner asks again.
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

    /// Renews the lease of all runs on a worker and returns the resulting event.
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
                    log!(level, task = end.task.to_string().as_str(), run = end.run,
                        worker = &*worker.0, number = end.number,
                        outcome = end.outcome.to_string().as_str(); "end");
                }
                if answer.truncated {
                    info!(worker = &*worker.0, ends = answer.ended.len(); "ends: truncated");
                }
                let report = RenewalReport {
                    sent,
                    clock: answer.clock,
                    incarnation: answer.incarnation,
                    running: answer.running,
                    ended: answer.ended,
                    truncated: answer.truncated,
                };
                Event::Renewed(worker, report)
            }
            Err(WorkerError::Fenced) => {
                self.send_event(Event::Fenced(worker.clone(), renewal.token));
                Event::RenewalFailed(worker)
            }
            Err(WorkerError::Replaced) => Event::Replaced(worker),
            Err(WorkerError::Failed(error)) => {
                info!(worker = &*worker.0, error = error.as_str(); "renewal failed");
                Event::RenewalFailed(worker)
            }
        }
    }

    fn send_event(&self, event: Event) {
        // The receiver is gone once the ownership is lost.
        let _ = self.events.send(event);
    }
}
