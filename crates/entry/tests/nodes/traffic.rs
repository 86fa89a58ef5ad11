//! Callers that send without a pause and hold every answer against what the backend servers saw.

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

/// Callers that send at the same time.
const CALLERS: usize = 12;

/// What callers were told under each id.
#[derive(Default)]
pub struct Book {
    /// Answers by request.
    pub told: BTreeMap<RequestId, Vec<Reply>>,
    bodies: BTreeMap<RequestId, String>,
    /// Requests without any answer.
    pub silent: Vec<RequestId>,
}

impl Book {
    /// Number of answers.
    pub fn answered(&self) -> usize {
        self.told.values().map(Vec::len).sum()
    }

    /// Requests whose callers were left in doubt.
    pub fn unknown(&self) -> Vec<RequestId> {
        let unknown = |replies: &Vec<Reply>| {
            replies.last().is_some_and(|reply| reply.verdict == Some(Verdict::Unknown))
        };
        self.told.iter().filter(|(_, replies)| unknown(replies)).map(|(id, _)| *id).collect()
    }
}

/// Sends requests to the entry VMs in turn, and repeats those without an answer elsewhere.
async fn send(
    caller: Caller,
    addresses: Arc<Mutex<Vec<SocketAddr>>>,
    book: Arc<Mutex<Book>>,
    ended: Arc<AtomicBool>,
    number: usize,
) {
    let mut turn = number;
    while !ended.load(Ordering::Relaxed) {
        turn += 1;
        let list = addresses.lock().unwrap().clone();
        let (first, second) = (list[turn % list.len()], list[(turn + 1) % list.len()]);
        let Some(id) = caller.id(first).await else { continue };
        let key: RequestId = id.parse().unwrap();
        let body = format!("caller {number}, turn {turn}");
        book.lock().unwrap().bodies.insert(key, body.clone());
        let mut reply = caller.put(first, &id, "tickets", &body).await;
        if reply.is_none() {
            // The entry VM went away with the request; another one has to know what became of it.
            reply = caller.put(second, &id, "tickets", &body).await;
        }
        let mut book = book.lock().unwrap();
        match reply {
            Some(reply) => book.told.entry(key).or_default().push(reply),
            None => book.silent.push(key),
        }
    }
}

/// Compares every answer with what the backend servers saw.
pub fn check(stage: &Stage, book: &Book) {
    for (id, replies) in &book.told {
        let runs = stage.pool.executions(*id);
        assert!(runs <= 1, "request {id} ran {runs} times");
        for reply in replies {
            assert_eq!(reply.request, Some(*id), "an answer names another request");
            match reply.verdict {
                Some(Verdict::NotRun) => assert_eq!(runs, 0, "{id} ran: {}", reply.reason),
                Some(Verdict::Ran) => {
                    assert_eq!(runs, 1, "{id} did not run: {}", reply.reason);
                    if reply.reason == "answered" {
                        let expected =
                            fake::Answer::to(&id.to_string(), book.bodies[id].as_bytes());
                        assert_eq!(reply.json::<fake::Answer>(), expected, "a crossed answer");
                    }
                }
                Some(Verdict::Unknown) => {}
                None => panic!("answer to {id} has no verdict: {reply:?}"),
            }
        }
    }
}

/// Callers at work.
pub struct Traffic {
    addresses: Arc<Mutex<Vec<SocketAddr>>>,
    book: Arc<Mutex<Book>>,
    ended: Arc<AtomicBool>,
    callers: Vec<JoinHandle<()>>,
}

impl Traffic {
    /// Starts to send to the entry VMs at `addresses`.
    pub fn start(stage: &Stage, addresses: Vec<SocketAddr>) -> Traffic {
        let addresses = Arc::new(Mutex::new(addresses));
        let book: Arc<Mutex<Book>> = Arc::default();
        let ended = Arc::new(AtomicBool::new(false));
        let callers = (0..CALLERS).map(|number| {
            let (addresses, book) = (addresses.clone(), book.clone());
            tokio::spawn(send(stage.caller.clone(), addresses, book, ended.clone(), number))
        });
        let callers = callers.collect();
        Traffic { addresses, book, ended, callers }
    }

    /// Sends to another entry VM as well.
    pub fn add(&self, address: SocketAddr) {
        self.addresses.lock().unwrap().push(address);
    }

    /// Sends nothing new to an entry VM.
    pub fn remove(&self, address: SocketAddr) {
        self.addresses.lock().unwrap().retain(|known| *known != address);
    }

    /// What callers were told so far.
    pub fn book(&self) -> MutexGuard<'_, Book> {
        self.book.lock().unwrap()
    }

    /// Waits for this many further answers.
    pub async fn flow(&self, count: usize, when: &str) {
        let enough = self.book().answered() + count;
        until(&format!("requests flow {when}"), async || self.book().answered() >= enough).await;
    }

    /// Ends the load and checks every answer.
    pub async fn finish(mut self, stage: &Stage) {
        self.ended.store(true, Ordering::Relaxed);
        for caller in std::mem::take(&mut self.callers) {
            caller.await.unwrap();
        }
        check(stage, &self.book());
        assert_eq!(self.book().silent, [], "an entry VM that runs did not answer");
    }
}
