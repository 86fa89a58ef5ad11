//! Three entry VMs as processes keep their word while one stops and one dies.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use hyper::Method;

use crate::stage::Caller;
use crate::stage::Reply;
use crate::stage::Stage;
use crate::stage::until;
use fake::Gang;
use model::JobId;
use model::RequestId;
use model::Verdict;
use wire::border;

/// Callers that send at the same time.
const CALLERS: usize = 12;
/// Requests of each phase.
const PHASE: usize = 300;
/// Longest time for which a part of a gang may run alone: its lease and one renewal interval.
const PARTIAL: Duration = Duration::from_secs(38);

/// What callers were told under each id.
#[derive(Default)]
struct Book {
    told: BTreeMap<RequestId, Vec<Reply>>,
    bodies: BTreeMap<RequestId, String>,
    silent: Vec<RequestId>,
}

impl Book {
    fn answered(&self) -> usize {
        self.told.values().map(Vec::len).sum()
    }

    fn unknown(&self) -> Vec<RequestId> {
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

async fn submit_gang(stage: &Stage, address: SocketAddr) -> Gang {
    let spec = border::JobSpec {
        account: "sorting".to_owned(),
        service: "reviews".to_owned(),
        shape: border::GangShape {
            tasks: 8,
            accelerators: 8,
            millicores: 8_000,
            memory_mib: 8_192,
            adjacency: border::Adjacency::Rack,
        },
        priority: border::Priority::Normal,
        idempotent: false,
        checkpoint: false,
        declared_ms: 20_000,
        zone: Some("zone-a".to_owned()),
        volatile: false,
    };
    let body = serde_json::to_vec(&spec).unwrap();
    let reply = stage.caller.call(address, Method::POST, "/v1/jobs", &[], body).await.unwrap();
    assert_eq!(reply.status, 202, "{}", String::from_utf8_lossy(&reply.body));
    let status: border::JobStatus = reply.json();
    Gang { job: status.id.parse().unwrap(), tasks: 8, idempotent: false }
}

async fn job_state(stage: &Stage, address: SocketAddr, job: JobId) -> Option<border::JobStatus> {
    let path = format!("/v1/jobs/{job}");
    let reply = stage.caller.call(address, Method::GET, &path, &[], "").await?;
    serde_json::from_slice(&reply.body).ok()
}

/// Compares every answer with what the backend servers saw.
fn check(stage: &Stage, book: &Book) {
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

#[tokio::test(flavor = "multi_thread")]
async fn stop_and_kill() {
    let stage = Stage::start("stop-and-kill");
    let (first, mut second, third) = (stage.spawn("a"), stage.spawn("b"), stage.spawn("c"));
    stage.apply(&[&first, &second, &third]).await;

    let gang = submit_gang(&stage, first.address).await;
    let running = async || {
        let status = job_state(&stage, third.address, gang.job).await;
        status.is_some_and(|status| status.state == "running")
    };
    until("the gang runs", running).await;
    assert_eq!(stage.workers.runs().iter().filter(|run| run.to.is_none()).count(), 8);

    let addresses = Arc::new(Mutex::new(vec![first.address, second.address, third.address]));
    let book: Arc<Mutex<Book>> = Arc::default();
    let ended = Arc::new(AtomicBool::new(false));
    let callers: Vec<_> = (0..CALLERS)
        .map(|number| {
            let (addresses, book) = (addresses.clone(), book.clone());
            tokio::spawn(send(stage.caller.clone(), addresses, book, ended.clone(), number))
        })
        .collect();
    let answered = |count: usize| {
        let book = book.clone();
        async move || book.lock().unwrap().answered() >= count
    };
    until("requests flow", answered(PHASE)).await;

    first.terminate();
    addresses.lock().unwrap().remove(0);
    assert!(first.exit().await.success(), "a planned stop has to end well");
    let so_far = book.lock().unwrap().answered();
    until("requests flow after a stop", answered(so_far + PHASE)).await;
    assert_eq!(book.lock().unwrap().unknown(), [], "a planned stop left doubt");

    second.kill();
    addresses.lock().unwrap().remove(0);
    let so_far = book.lock().unwrap().answered();
    until("requests flow after a crash", answered(so_far + PHASE)).await;
    ended.store(true, Ordering::Relaxed);
    for caller in callers {
        caller.await.unwrap();
    }
    check(&stage, &book.lock().unwrap());
    assert_eq!(book.lock().unwrap().silent, [], "the surviving entry VM did not answer");

    let done = async || {
        let status = job_state(&stage, third.address, gang.job).await;
        status.is_some_and(|status| status.state == "done")
    };
    until("the gang is done", done).await;
    assert_eq!(stage.workers.violations(&[gang], PARTIAL), []);
    third.terminate();
    assert!(third.exit().await.success());
}
