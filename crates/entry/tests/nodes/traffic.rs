//! Continuous load whose answers are checked against the executions on the backend servers.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use tokio::task::JoinHandle;

use crate::stage::Caller;
use crate::stage::Reply;
use crate::stage::Stage;
use crate::stage::until;
use model::RequestId;
use model::Verdict;

/// Number of concurrent callers.
const CALLERS: usize = 12;

/// Answers that callers received, by request id.
#[derive(Default)]
pub struct AnswerLog {
    /// Answers by request.
    pub replies: BTreeMap<RequestId, Vec<Reply>>,
    bodies: BTreeMap<RequestId, String>,
    /// Requests that no entry VM answered.
    pub unanswered: Vec<RequestId>,
}

impl AnswerLog {
    /// Number of answers.
    pub fn answered(&self) -> usize {
        self.replies.values().map(Vec::len).sum()
    }

    /// Requests whose last answer has an unknown verdict.
    pub fn unknown(&self) -> Vec<RequestId> {
        let unknown = |replies: &Vec<Reply>| {
            replies.last().is_some_and(|reply| reply.verdict == Some(Verdict::Unknown))
        };
        self.replies.iter().filter(|(_, replies)| unknown(replies)).map(|(id, _)| *id).collect()
    }
}

/// Sends requests to the entry VMs in turn; repeats a request without an answer at the next one.
async fn run_caller(
    caller: Caller,
    addresses: Arc<Mutex<Vec<SocketAddr>>>,
    answers: Arc<Mutex<AnswerLog>>,
    stopped: Arc<AtomicBool>,
    number: usize,
) {
    let mut turn = number;
    while !stopped.load(Ordering::Relaxed) {
        turn += 1;
        let list = addresses.lock().unwrap().clone();
        let (first, second) = (list[turn % list.len()], list[(turn + 1) % list.len()]);
        let Some(id) = caller.id(first).await else { continue };
        let key: RequestId = id.parse().unwrap();
        let body = format!("caller {number}, turn {turn}");
        answers.lock().unwrap().bodies.insert(key, body.clone());
        let mut reply = caller.put(first, &id, "tickets", &body).await;
        if reply.is_none() {
            // The entry VM stopped before it answered; another one must know the outcome.
            reply = caller.put(second, &id, "tickets", &body).await;
        }
        let mut answers = answers.lock().unwrap();
        match reply {
            Some(reply) => answers.replies.entry(key).or_default().push(reply),
            None => answers.unanswered.push(key),
        }
    }
}

/// Checks every answer against the executions on the backend servers.
pub fn check_answers(stage: &Stage, answers: &AnswerLog) {
    for (id, replies) in &answers.replies {
        let runs = stage.pool.executions(*id);
        assert!(runs <= 1, "request {id} ran {runs} times");
        for reply in replies {
            assert_eq!(reply.request, Some(*id), "the answer is for another request");
            match reply.verdict {
                Some(Verdict::NotRun) => assert_eq!(runs, 0, "{id} ran: {}", reply.reason),
                Some(Verdict::Ran) => {
                    assert_eq!(runs, 1, "{id} did not run: {}", reply.reason);
                    if reply.reason == "answered" {
                        let expected =
                            fake::Answer::to(&id.to_string(), answers.bodies[id].as_bytes());
                        assert_eq!(reply.json::<fake::Answer>(), expected, "wrong body");
                    }
                }
                Some(Verdict::Unknown) => {}
                None => panic!("answer to {id} has no verdict: {reply:?}"),
            }
        }
    }
}

/// Running load of several callers.
pub struct Traffic {
    addresses: Arc<Mutex<Vec<SocketAddr>>>,
    answers: Arc<Mutex<AnswerLog>>,
    stopped: Arc<AtomicBool>,
    callers: Vec<JoinHandle<()>>,
}

impl Traffic {
    /// Starts sending to the entry VMs at `addresses`.
    pub fn start(stage: &Stage, addresses: Vec<SocketAddr>) -> Traffic {
        let addresses = Arc::new(Mutex::new(addresses));
        let answers: Arc<Mutex<AnswerLog>> = Arc::default();
        let stopped = Arc::new(AtomicBool::new(false));
        let callers = (0..CALLERS).map(|number| {
            let (addresses, answers) = (addresses.clone(), answers.clone());
            tokio::spawn(run_caller(
                stage.caller.clone(),
                addresses,
                answers,
                stopped.clone(),
                number,
            ))
        });
        let callers = callers.collect();
        Traffic { addresses, answers, stopped, callers }
    }

    /// Adds an entry VM as a target.
    pub fn add(&self, address: SocketAddr) {
        self.addresses.lock().unwrap().push(address);
    }

    /// Removes an entry VM from the targets.
    pub fn remove(&self, address: SocketAddr) {
        self.addresses.lock().unwrap().retain(|known| *known != address);
    }

    /// Answers received so far.
    pub fn answers(&self) -> MutexGuard<'_, AnswerLog> {
        self.answers.lock().unwrap()
    }

    /// Waits until `count` more answers have been received.
    pub async fn wait_for_answers(&self, count: usize, when: &str) {
        let enough = self.answers().answered() + count;
        until(&format!("requests are answered {when}"), async || {
            self.answers().answered() >= enough
        })
        .await;
    }

    /// Stops the load and checks every answer.
    pub async fn finish(mut self, stage: &Stage) {
        self.stopped.store(true, Ordering::Relaxed);
        for caller in std::mem::take(&mut self.callers) {
            caller.await.unwrap();
        }
        check_answers(stage, &self.answers());
        assert_eq!(self.answers().unanswered, [], "a running entry VM did not answer");
    }
}
