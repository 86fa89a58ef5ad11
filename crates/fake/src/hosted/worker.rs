//! A worker that runs many tasks, each for a fixed time.

use std::collections::BTreeMap;
use std::io;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use serde_json::Value;
use serde_json::json;
use tokio::time::Instant;
use tokio::time::sleep;

use crate::http::Address;
use crate::http::Body;
use crate::http::Handler;
use crate::http::Hangup;
use crate::http::Server;
use crate::http::json as answer;
use crate::http::read;
use crate::http::status;

/// Pause between looks of a renewal that waits for an end.
const LOOK: Duration = Duration::from_millis(5);
/// Longest lease that it grants, in ms.
const LEASE_MS: u64 = 6_000;

/// A start that was carried out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunStarted {
    /// Name of the task.
    pub task: String,
    /// Number of the run.
    pub run: u64,
    /// Fencing token of the order.
    pub token: u64,
    /// Ticket of the advice service; empty for none.
    pub ticket: String,
}

#[derive(Debug)]
struct State {
    born: u64,
    origin: Instant,
    token: u64,
    deadline: u64,
    work: Duration,
    running: BTreeMap<String, (u64, Instant)>,
    ended: Vec<(u64, String, u64, &'static str)>,
    next: u64,
    highest: BTreeMap<String, u64>,
    starts: Vec<RunStarted>,
}

/// A stand-in for a worker.
#[derive(Debug)]
pub struct HostedWorker {
    server: Server,
    state: Arc<Mutex<State>>,
    id: String,
}

impl HostedWorker {
    /// A worker on a free loopback port, whose tasks take `work` each.
    ///
    /// # Errors
    ///
    /// No port can be listened on.
    pub fn start(id: &str, work: Duration) -> io::Result<HostedWorker> {
        let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let state = Arc::new(Mutex::new(State {
            born: u64::try_from(since.as_millis()).unwrap_or(u64::MAX),
            origin: Instant::now(),
            token: 0,
            deadline: 0,
            work,
            running: BTreeMap::new(),
            ended: Vec::new(),
            next: 1,
            highest: BTreeMap::new(),
            starts: Vec::new(),
        }));
        let server = Server::start(WorkerHandler { state: Arc::clone(&state) }, None)?;
        Ok(HostedWorker { server, state, id: id.to_owned() })
    }

    /// Where it listens.
    pub fn address(&self) -> Address {
        self.server.address()
    }

    /// Key of its entry in the store.
    pub fn key(&self) -> String {
        format!("servers/{}", self.id)
    }

    /// Its entry in the store.
    pub fn entry(&self, service: &str) -> Value {
        json!({
            "service": service,
            "address": self.address().to_string(),
            "zone": "north-a",
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "coldRemainingMs": 0,
            "capacity": { "cpu": 8000, "memMb": 32768, "gpu": 8 },
            "labels": ["a", "r1-1"],
            "born": lock(&self.state).born,
            "sequence": 1,
        })
    }

    /// Starts that it carried out.
    pub fn starts(&self) -> Vec<RunStarted> {
        lock(&self.state).starts.clone()
    }

    /// Lets every open connection go silent for good.
    pub fn silence(&self) {
        self.server.silence();
    }

    /// Refuses connections and ends those that are open, or accepts again.
    pub fn set_accepting(&self, up: bool) {
        self.server.set_accepting(up);
    }
}

impl State {
    fn clock(&self) -> u64 {
        u64::try_from(self.origin.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    /// Ends what is done, and everything if the lease has run out.
    fn pass(&mut self) {
        let lapsed = self.clock() >= self.deadline;
        let work = self.work;
        let over: Vec<(String, &'static str)> = self
            .running
            .iter()
            .filter_map(|(task, (_, since))| match since.elapsed() >= work {
                true => Some((task.clone(), "done")),
                false => lapsed.then(|| (task.clone(), "lapsed")),
            })
            .collect();
        for (task, how) in over {
            self.end(&task, how);
        }
    }

    fn end(&mut self, task: &str, how: &'static str) {
        let Some((run, _)) = self.running.remove(task) else { return };
        let highest = self.highest.entry(task.to_owned()).or_default();
        *highest = run.max(*highest);
        self.ended.push((self.next, task.to_owned(), run, how));
        self.next += 1;
    }

    fn refuse(&self, reason: &str) -> Response<Body> {
        answer(StatusCode::CONFLICT, &json!({ "clockMs": self.clock(), "reason": reason }))
    }

    fn renew(&mut self, deadline: u64) {
        self.deadline = self.deadline.max(deadline.min(self.clock() + LEASE_MS));
    }

    fn start(&mut self, body: &Value) -> Response<Body> {
        let task = body["task"].as_str().unwrap_or_default().to_owned();
        let run = body["run"].as_u64().unwrap_or(0);
        let deadline = body["deadlineMs"].as_u64().unwrap_or(0);
        if self.running.get(&task).is_none_or(|(there, _)| *there != run) {
            if self.highest.get(&task).is_some_and(|highest| run <= *highest) {
                return self.refuse("old");
            }
            if deadline <= self.clock() {
                return self.refuse("late");
            }
            let ticket = body["ticket"].as_str().unwrap_or_default().to_owned();
            self.starts.push(RunStarted { task: task.clone(), run, token: self.token, ticket });
            self.running.insert(task, (run, Instant::now()));
        }
        self.renew(deadline);
        answer(StatusCode::OK, &json!({ "clockMs": self.clock() }))
    }

    fn stop(&mut self, body: &Value) -> Response<Body> {
        let task = body["task"].as_str().unwrap_or_default().to_owned();
        let run = body["run"].as_u64().unwrap_or(0);
        let highest = self.highest.entry(task.clone()).or_default();
        *highest = run.max(*highest);
        if self.running.get(&task).is_some_and(|(there, _)| *there <= run) {
            self.end(&task, "stopped");
        }
        answer(StatusCode::OK, &json!({ "clockMs": self.clock() }))
    }

    fn lists(&self) -> Value {
        let percent = |since: &Instant| {
            (since.elapsed().as_millis() * 100 / self.work.as_millis().max(1)).min(100)
        };
        let running: Vec<Value> = self
            .running
            .iter()
            .map(|(task, (run, since))| json!([task, run, "", percent(since)]))
            .collect();
        let ended: Vec<Value> = self
            .ended
            .iter()
            .map(|(number, task, run, how)| json!([number, task, run, how, ""]))
            .collect();
        json!({ "clockMs": self.clock(), "born": self.born, "running": running, "finished": ended })
    }
}

#[derive(Clone)]
struct WorkerHandler {
    state: Arc<Mutex<State>>,
}

impl Handler for WorkerHandler {
    async fn handle(&self, request: Request<Incoming>) -> Result<Response<Body>, Hangup> {
        let path = request.uri().path().to_owned();
        let body = read(request.into_body()).await?;
        let body: Value = serde_json::from_slice(&body).unwrap_or_default();
        {
            let mut state = lock(&self.state);
            state.pass();
            let token = body["fencingToken"].as_u64().unwrap_or(0);
            if token < state.token {
                return Ok(state.refuse("fence"));
            }
            state.token = token;
            match path.as_str() {
                "/-/run-start" => return Ok(state.start(&body)),
                "/-/run-stop" => return Ok(state.stop(&body)),
                "/-/hold" => {
                    if let Some(deadline) = body["deadlineMs"].as_u64() {
                        state.renew(deadline);
                    }
                    let seen = body["lastSeen"].as_u64().unwrap_or(0);
                    state.ended.retain(|(number, ..)| *number > seen);
                }
                _ => return Ok(status(StatusCode::NOT_FOUND)),
            }
        }
        let end = Instant::now() + Duration::from_millis(body["waitMs"].as_u64().unwrap_or(0));
        loop {
            {
                let mut state = lock(&self.state);
                state.pass();
                if !state.ended.is_empty() || Instant::now() >= end {
                    return Ok(answer(StatusCode::OK, &state.lists()));
                }
            }
            sleep(LOOK).await;
        }
    }
}

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}
