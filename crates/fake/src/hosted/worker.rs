//! Simulated platform worker, which runs any number of tasks for a fixed time each.

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
use crate::http::CloseConnection;
use crate::http::Handler;
use crate::http::Server;
use crate::http::json as answer;
use crate::http::read;
use crate::http::status;

/// Interval at which a waiting `hold` call checks for ended tasks.
const HOLD_POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Request header with the id of the worker that a call is meant for.
const EXPECTED_INSTANCE: &str = "x-basilrack-expect-instance";
/// Maximum number of ended runs in an answer to a `hold` call.
const MAX_ENDS: usize = 500;
/// Maximum lease time, in ms.
const MAX_LEASE_MS: u64 = 6_000;

/// An executed start call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunStarted {
    /// Name of the task.
    pub task: String,
    /// Number of the run.
    pub run: u64,
    /// Fencing token of the start call.
    pub token: u64,
    /// Ticket of the advice service; empty if the call had none.
    pub ticket: String,
}

#[derive(Debug)]
struct State {
    /// Start time of the worker, in ms since the Unix epoch.
    born_ms: u64,
    origin: Instant,
    /// Highest fencing token seen.
    token: u64,
    /// End of the lease on the worker's clock, in ms.
    deadline_ms: u64,
    run_time: Duration,
    /// Run number and start time by task.
    running: BTreeMap<String, (u64, Instant)>,
    /// Ended runs: sequence number, task, run number and how the run ended.
    ended: Vec<(u64, String, u64, &'static str)>,
    next_ended: u64,
    /// Highest ended or stopped run by task; starts of lower or equal runs are refused.
    highest_runs: BTreeMap<String, u64>,
    starts: Vec<RunStarted>,
    /// Number of further starts to withhold.
    withholds: usize,
    /// Bodies of the starts that were withheld.
    withheld: Vec<Value>,
    /// Number of `hold` calls to this incarnation.
    holds: usize,
}

/// A simulated worker of the platform.
#[derive(Debug)]
pub struct HostedWorker {
    server: Server,
    state: Arc<Mutex<State>>,
    id: String,
}

impl HostedWorker {
    /// Starts a worker on a free loopback port whose tasks run for `run_time` each.
    ///
    /// # Errors
    ///
    /// No loopback port is free.
    pub fn start(id: &str, run_time: Duration) -> io::Result<HostedWorker> {
        let state = Arc::new(Mutex::new(State::new(run_time)));
        let handler = WorkerHandler { state: Arc::clone(&state), id: id.to_owned() };
        let server = Server::start(handler, None)?;
        Ok(HostedWorker { server, state, id: id.to_owned() })
    }

    /// Returns the address of the worker.
    pub fn address(&self) -> Address {
        self.server.address()
    }

    /// Returns the key of the worker's entry in the store.
    pub fn key(&self) -> String {
        format!("servers/{}", self.id)
    }

    /// Returns the worker's entry in the store.
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
            "born": lock(&self.state).born_ms,
            "sequence": 1,
        })
    }

    /// Returns the executed start calls.
    pub fn starts(&self) -> Vec<RunStarted> {
        lock(&self.state).starts.clone()
    }

    /// Returns the names of the tasks that are running.
    pub fn running_tasks(&self) -> Vec<String> {
        let mut state = lock(&self.state);
        state.advance();
        state.running.keys().cloned().collect()
    }

    /// Does not answer the next `count` starts, and keeps them back.
    pub fn withhold_starts(&self, count: usize) {
        lock(&self.state).withholds = count;
    }

    /// Carries out the starts that were kept back. Returns the status of each answer.
    pub fn release_starts(&self) -> Vec<u16> {
        let mut state = lock(&self.state);
        state.advance();
        let withheld = std::mem::take(&mut state.withheld);
        withheld
            .iter()
            .map(|body| state.carry_out("/-/run-start", body).status().as_u16())
            .collect()
    }

    /// Ends everything that runs, as a crash does, and refuses connections until the restart.
    pub fn crash(&self) {
        self.server.set_accepting(false);
        lock(&self.state).reset();
    }

    /// Starts again at once as another incarnation. Calls that were open are neither answered nor
    /// closed, as if the machine had lost power.
    pub fn power_cycle(&self) {
        self.server.silence();
        lock(&self.state).reset();
    }

    /// Accepts connections again after a crash, as another incarnation.
    pub fn restart(&self) {
        let mut state = lock(&self.state);
        (state.born_ms, state.origin) = (unix_ms(), Instant::now());
        self.server.set_accepting(true);
    }

    /// Returns the number of `hold` calls to the present incarnation.
    pub fn holds(&self) -> usize {
        lock(&self.state).holds
    }

    /// Stalls all open connections permanently without closing them.
    pub fn silence(&self) {
        self.server.silence();
    }

    /// Accepts connections, or refuses them and closes those that are open.
    pub fn set_accepting(&self, accepting: bool) {
        self.server.set_accepting(accepting);
    }
}

impl State {
    fn new(run_time: Duration) -> State {
        State {
            born_ms: unix_ms(),
            origin: Instant::now(),
            token: 0,
            deadline_ms: 0,
            run_time,
            running: BTreeMap::new(),
            ended: Vec::new(),
            next_ended: 1,
            highest_runs: BTreeMap::new(),
            starts: Vec::new(),
            withholds: 0,
            withheld: Vec::new(),
            holds: 0,
        }
    }

    /// Forgets everything but the records of the test.
    fn reset(&mut self) {
        let (starts, withheld) =
            (std::mem::take(&mut self.starts), std::mem::take(&mut self.withheld));
        *self = State { starts, withheld, ..State::new(self.run_time) };
    }

    /// Carries out a call other than a `hold`.
    fn carry_out(&mut self, path: &str, body: &Value) -> Response<Body> {
        if let Some(refusal) = self.fence(body) {
            return refusal;
        }
        match path {
            "/-/run-start" => self.start(body),
            "/-/run-stop" => self.stop(body),
            _ => status(StatusCode::NOT_FOUND),
        }
    }

    /// Refuses a call with a lower token than the highest one seen, and records a higher one.
    fn fence(&mut self, body: &Value) -> Option<Response<Body>> {
        let token = body["fencingToken"].as_u64().unwrap_or(0);
        if token < self.token {
            return Some(self.refuse("fence"));
        }
        self.token = token;
        None
    }

    fn clock_ms(&self) -> u64 {
        u64::try_from(self.origin.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    /// Ends tasks that have run their time, and all tasks if the lease has lapsed.
    fn advance(&mut self) {
        let lapsed = self.clock_ms() >= self.deadline_ms;
        let run_time = self.run_time;
        let ended: Vec<(String, &'static str)> = self
            .running
            .iter()
            .filter_map(|(task, (_, since))| match since.elapsed() >= run_time {
                true => Some((task.clone(), "done")),
                false => lapsed.then(|| (task.clone(), "lapsed")),
            })
            .collect();
        for (task, ending) in ended {
            self.end(&task, ending);
        }
    }

    fn end(&mut self, task: &str, ending: &'static str) {
        let Some((run, _)) = self.running.remove(task) else { return };
        let highest_run = self.highest_runs.entry(task.to_owned()).or_default();
        *highest_run = run.max(*highest_run);
        self.ended.push((self.next_ended, task.to_owned(), run, ending));
        self.next_ended += 1;
    }

    fn refuse(&self, reason: &str) -> Response<Body> {
        answer(StatusCode::CONFLICT, &json!({ "clockMs": self.clock_ms(), "reason": reason }))
    }

    fn renew(&mut self, deadline_ms: u64) {
        self.deadline_ms = self.deadline_ms.max(deadline_ms.min(self.clock_ms() + MAX_LEASE_MS));
    }

    fn start(&mut self, body: &Value) -> Response<Body> {
        let task = body["task"].as_str().unwrap_or_default().to_owned();
        let run = body["run"].as_u64().unwrap_or(0);
        let deadline_ms = body["deadlineMs"].as_u64().unwrap_or(0);
        if self.running.get(&task).is_none_or(|(current_run, _)| *current_run != run) {
            if self.highest_runs.get(&task).is_some_and(|highest_run| run <= *highest_run) {
                return self.refuse("old");
            }
            if deadline_ms <= self.clock_ms() {
                return self.refuse("late");
            }
            let ticket = body["ticket"].as_str().unwrap_or_default().to_owned();
            self.starts.push(RunStarted { task: task.clone(), run, token: self.token, ticket });
            self.running.insert(task, (run, Instant::now()));
        }
        self.renew(deadline_ms);
        answer(StatusCode::OK, &json!({ "clockMs": self.clock_ms() }))
    }

    fn stop(&mut self, body: &Value) -> Response<Body> {
        let task = body["task"].as_str().unwrap_or_default().to_owned();
        let run = body["run"].as_u64().unwrap_or(0);
        let highest_run = self.highest_runs.entry(task.clone()).or_default();
        *highest_run = run.max(*highest_run);
        if self.running.get(&task).is_some_and(|(current_run, _)| *current_run <= run) {
            self.end(&task, "stopped");
        }
        answer(StatusCode::OK, &json!({ "clockMs": self.clock_ms() }))
    }

    fn task_lists(&self) -> Value {
        let percent = |since: &Instant| {
            (since.elapsed().as_millis() * 100 / self.run_time.as_millis().max(1)).min(100)
        };
        let running: Vec<Value> = self
            .running
            .iter()
            .map(|(task, (run, since))| json!([task, run, "", percent(since)]))
            .collect();
        let ended: Vec<Value> = self
            .ended
            .iter()
            .take(MAX_ENDS)
            .map(|(number, task, run, ending)| json!([number, task, run, ending, ""]))
            .collect();
        json!({
            "clockMs": self.clock_ms(), "born": self.born_ms, "running": running, "finished": ended
        })
    }
}

#[derive(Clone)]
struct WorkerHandler {
    state: Arc<Mutex<State>>,
    id: String,
}

impl Handler for WorkerHandler {
    async fn handle(&self, request: Request<Incoming>) -> Result<Response<Body>, CloseConnection> {
        let path = request.uri().path().to_owned();
        let expected = request.headers().get(EXPECTED_INSTANCE);
        if expected.is_some_and(|expected| *expected != *self.id) {
            return Ok(status(StatusCode::MISDIRECTED_REQUEST));
        }
        let body = read(request.into_body()).await?;
        let body: Value = serde_json::from_slice(&body).unwrap_or_default();
        {
            let mut state = lock(&self.state);
            state.advance();
            if path == "/-/run-start" && state.withholds > 0 {
                state.withholds -= 1;
                state.withheld.push(body);
                return Err(CloseConnection);
            }
            if path != "/-/hold" {
                return Ok(state.carry_out(&path, &body));
            }
            if let Some(refusal) = state.fence(&body) {
                return Ok(refusal);
            }
            state.holds += 1;
            if let Some(deadline_ms) = body["deadlineMs"].as_u64() {
                state.renew(deadline_ms);
            }
            let seen = body["lastSeen"].as_u64().unwrap_or(0);
            state.ended.retain(|(number, ..)| *number > seen);
        }
        let end = Instant::now() + Duration::from_millis(body["waitMs"].as_u64().unwrap_or(0));
        loop {
            {
                let mut state = lock(&self.state);
                state.advance();
                if !state.ended.is_empty() || Instant::now() >= end {
                    return Ok(answer(StatusCode::OK, &state.task_lists()));
                }
            }
            sleep(HOLD_POLL_INTERVAL).await;
        }
    }
}

/// Milliseconds since the Unix epoch.
fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}
