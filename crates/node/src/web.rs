//! HTTP interface for callers, peers, the load balancer and monitoring.
//!
//! It is served by hyper on the single thread of the process. A web server with threads of its own
//! would double the memory use and the wake-ups of a VM that has a quarter of a core.

use std::convert::Infallible;
use std::net::TcpListener;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::http::HeaderValue;
use hyper::http::header::CONNECTION;
use hyper::http::header::CONTENT_TYPE;
use hyper::http::header::HOST;
use hyper::http::header::RETRY_AFTER;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use log::info;
use log::warn;
use serde::Deserialize;
use tokio::task::spawn_local;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::clients;
use crate::commit::Sequence;
use crate::confirm::apply_configuration;
use crate::confirm::confirmed_since;
use crate::confirm::ensure_confirmed;
use crate::outage::Choice;
use crate::peers;
use crate::peers::ForwardOutcome;
use crate::peers::HOST_HEADER;
use crate::state::ActiveConfiguration;
use crate::state::JOB_PREFIX;
use crate::state::RECORD_PREFIX;
use crate::state::SEQUENCE_KEY;
use crate::state::State;
use batch::JobState;
use batch::MAX_JOB_TASKS;
use batch::Queue;
use batch::Submission;
use intake::BodyError;
use intake::Lease;
use intake::Port;
use intake::Reason;
use intake::Socket;
use model::Time;
use platform::callers;
use platform::configuration;
use platform::store::Item;
use platform::store::MAX_VALUE_BYTES;
use platform::store::StoreError;
use platform::store::Txn;
use platform::store::TxnOutcome;

/// Assumed time that a caller waits if the request does not state it.
const DEFAULT_CALLER_TIMEOUT: Duration = Duration::from_millis(3_000);
/// Part of the caller's time reserved for sending the answer.
const ANSWER_MARGIN: Duration = Duration::from_millis(150);
/// Timeout of a store call.
const STORE_TIMEOUT: Duration = Duration::from_millis(900);
/// Pause before a store call is retried, and after a failure to accept a connection.
const STORE_RETRY_PAUSE: Duration = Duration::from_millis(80);
/// Maximum time for which store calls are retried before the request is forwarded to a peer.
const STORE_RETRY_TIME: Duration = Duration::from_millis(300);
/// Value of Retry-After, in seconds, if no entry VM can serve the request now.
const RETRY_AFTER_SECONDS: u64 = 1;
/// Value of Retry-After, in seconds, if only this entry VM cannot serve the request.
const RETRY_ELSEWHERE_SECONDS: u64 = 0;
/// Maximum time for which a complete request waits for its share of the bytes.
const MAX_ROOM_WAIT: Duration = Duration::from_secs(1);
/// Forms of a stored value that are in memory while it is written: itself, in Base64 and within the
/// call, each in a buffer that doubles its size as it grows.
const VALUE_COPIES: usize = 6;
/// Size of a decoded step, in bytes, with its names and lists.
const STEP_BYTES: usize = 256;
/// Time without the store after which the VM reports not ready.
const STORE_LOSS_GRACE: Duration = Duration::from_millis(800);

/// The part of a stored record that callers see.
#[derive(Deserialize)]
struct StoredState {
    state: JobState,
}

/// An answer before it is encoded.
#[derive(Debug)]
struct Answer {
    status: StatusCode,
    body: Vec<u8>,
    /// Reason of the answer; a log value and a metric label.
    reason: &'static str,
    /// Whether another entry VM may be able to serve the request.
    forwardable: bool,
    /// Value of Retry-After, in seconds.
    retry_after: u64,
}

impl Answer {
    fn new(status: StatusCode, reason: &'static str) -> Answer {
        Answer {
            status,
            body: Vec::new(),
            reason,
            forwardable: false,
            retry_after: RETRY_AFTER_SECONDS,
        }
    }

    fn ok(body: Vec<u8>, reason: &'static str) -> Answer {
        Answer { body, ..Answer::new(StatusCode::OK, reason) }
    }

    /// Answer to a request that this VM cannot serve without the store, but a peer may.
    fn forwardable(status: StatusCode, reason: &'static str) -> Answer {
        Answer { forwardable: true, ..Answer::new(status, reason) }
    }
}

/// Serves connections of `listener` for as long as the process runs.
pub async fn serve(state: Rc<State>, listener: TcpListener, port: Port) {
    if let Err(error) = intake::shrink_buffers(&listener) {
        warn!(error = error.to_string().as_str(); "web: cannot limit the buffers of connections");
    }
    let listener = match tokio::net::TcpListener::from_std(listener) {
        Ok(listener) => listener,
        Err(error) => {
            warn!(error = error.to_string().as_str(); "web: cannot listen");
            return;
        }
    };
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                // File descriptors may have run out; closing connections free some.
                warn!(error = error.to_string().as_str(); "web: cannot accept");
                sleep(STORE_RETRY_PAUSE).await;
                continue;
            }
        };
        let Some(lease) = state.intake.open(port) else {
            intake::refuse(&stream);
            continue;
        };
        let (state, lease) = (Rc::clone(&state), Rc::new(lease));
        spawn_local(async move {
            // Sends small answers without delay; a failure only costs latency.
            let _ = stream.set_nodelay(true);
            let socket = Socket::new(stream, Rc::clone(&lease));
            let service = service_fn(|request| {
                handle_request(Rc::clone(&state), request, port, Rc::clone(&lease))
            });
            let mut server = http1::Builder::new();
            // The intake limits the time of a head, without a timer per connection.
            server.header_read_timeout(None).max_buf_size(state.intake.limits().buffer_bytes());
            // An error on a connection affects only its caller.
            let _ = server.serve_connection(TokioIo::new(socket), service).await;
        });
    }
}

/// Counts a request as in progress until it is dropped, also if its connection breaks.
struct OpenRequest<'s>(&'s State);

impl<'s> OpenRequest<'s> {
    fn begin(state: &'s State) -> OpenRequest<'s> {
        state.open_requests.set(state.open_requests.get() + 1);
        OpenRequest(state)
    }
}

impl Drop for OpenRequest<'_> {
    fn drop(&mut self) {
        self.0.open_requests.set(self.0.open_requests.get() - 1);
    }
}

/// Answers one HTTP request, and logs and measures those of callers and peers.
async fn handle_request(
    state: Rc<State>,
    request: Request<Incoming>,
    port: Port,
    lease: Rc<Lease>,
) -> Result<Response<Full<Bytes>>, Infallible> {
    lease.begin_body();
    let response = answer_request(&state, request, port, &lease).await;
    lease.begin_answer();
    Ok(response)
}

async fn answer_request(
    state: &State,
    request: Request<Incoming>,
    port: Port,
    lease: &Lease,
) -> Response<Full<Bytes>> {
    if port == Port::Readiness {
        let lost_for = state.store_lost.get().map(|since| state.clock.now().since(since));
        let is_cut_off = lost_for.is_some_and(|elapsed| elapsed > STORE_LOSS_GRACE);
        let ready = state.active_configuration().is_some() && !state.draining.get() && !is_cut_off;
        let status = if ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
        return respond(state, Answer::new(status, "readiness"));
    }
    if port == Port::Metrics {
        clients::publish(state);
        state
            .metrics
            .set_gauge("configuration_age_ms", state.configuration_age().as_millis() as u64);
        return respond(state, Answer::ok(state.metrics.encode_text(), "metrics"));
    }
    let open = OpenRequest::begin(state);
    let started = state.clock.now();
    let method = request.method().clone();
    let path = request.uri().path().to_owned();
    let answer = handle_call(state, request, port, lease, started).await;
    let elapsed = state.clock.now().since(started);
    state.metrics.observe_answer(method.as_str(), answer.status.as_u16(), answer.reason, elapsed);
    let took_ms = elapsed.as_millis() as u64;
    let version = state.active_configuration().map_or(0, |active| active.policy.version);
    info!(method = method.as_str(), path = path.as_str(), status = answer.status.as_u16(),
        reason = answer.reason, took_ms = took_ms, configuration = version,
        age_ms = state.configuration_age().as_millis() as u64; "answer");
    drop(open);
    respond(state, answer)
}

fn respond(state: &State, answer: Answer) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from(answer.body)));
    *response.status_mut() = answer.status;
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    if matches!(answer.status, StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS) {
        headers.insert(RETRY_AFTER, HeaderValue::from(answer.retry_after));
    }
    if state.draining.get() {
        headers.insert(CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

/// A request that the configuration permits.
struct Admitted {
    active: ActiveConfiguration,
    queue: String,
    account: Option<String>,
    /// The path after the queue's prefix: a job id, or empty for the queue itself.
    suffix: String,
}

impl Admitted {
    /// The queue in the configuration that admitted the request.
    fn definition(&self) -> Option<&Queue> {
        self.active.policy.queues.get(&self.queue)
    }
}

/// The parts of a request that decide on its admission.
struct RequestHead {
    host: String,
    path: String,
    key: Option<String>,
}

/// Finds the queue of a request and checks the API key.
fn admit(active: ActiveConfiguration, head: &RequestHead) -> Result<Admitted, Answer> {
    let policy = &active.policy;
    let Some((name, queue)) = policy.route(&head.host, &head.path) else {
        return Err(Answer::new(StatusCode::NOT_FOUND, "no such queue"));
    };
    let account = head.key.as_deref().and_then(|key| policy.holder(key));
    if account.is_none() && !queue.public {
        return Err(Answer::new(StatusCode::UNAUTHORIZED, "unknown key"));
    }
    let suffix = head.path[queue.prefix.len()..].to_owned();
    let (queue, account) = (name.to_owned(), account.map(str::to_owned));
    Ok(Admitted { active, queue, account, suffix })
}

/// Admits a request by a configuration that was confirmed at `since` or later.
async fn admit_confirmed(
    state: &State,
    head: &RequestHead,
    since: Time,
) -> Result<Admitted, Answer> {
    let unconfirmed =
        || Answer::forwardable(StatusCode::SERVICE_UNAVAILABLE, "configuration not confirmed");
    if !ensure_confirmed(state, since).await {
        return Err(unconfirmed());
    }
    admit(state.active_configuration().ok_or_else(unconfirmed)?, head)
}

/// Serves a request of a caller or a peer, and forwards it if this VM cannot serve a caller.
async fn handle_call(
    state: &State,
    request: Request<Incoming>,
    port: Port,
    lease: &Lease,
    started: Time,
) -> Answer {
    let header = |name: &str| {
        request.headers().get(name).and_then(|value| value.to_str().ok()).map(str::to_owned)
    };
    let host = match port {
        Port::Peers => header(HOST_HEADER.as_str()),
        _ => header(HOST.as_str()),
    };
    let host = host.unwrap_or_default();
    let host = host.split(':').next().unwrap_or_default().to_ascii_lowercase();
    let patience = header(platform::DEADLINE_HEADER).and_then(|text| text.parse().ok());
    let patience = patience.map_or(DEFAULT_CALLER_TIMEOUT, Duration::from_millis);
    let (method, path) = (request.method().clone(), request.uri().path().to_owned());
    let key = header(platform::API_KEY_HEADER);
    let max_bytes = state.active_configuration().map(|active| active.policy.body_bytes);
    let max_bytes = max_bytes.unwrap_or(state.settings.body.0 as usize);
    let body = match intake::read_body(request.into_body(), max_bytes, lease).await {
        Ok(body) => body,
        Err(error) => return refuse_body(error),
    };
    let deadline = started + patience.saturating_sub(ANSWER_MARGIN);
    let wait = MAX_ROOM_WAIT.min(deadline.since(state.clock.now()) / 2);
    if let Err(reason) = lease.begin_work(body.len(), Instant::now() + wait).await {
        return refuse_body(BodyError::Refused(reason));
    }
    let request = peers::Request { method, host, path, key, body, deadline };
    if port == Port::Peers {
        if state.store_lost.get().is_some() {
            return Answer::forwardable(StatusCode::SERVICE_UNAVAILABLE, "store is away");
        }
        let since = state.clock.now();
        return serve_locally(state, &request, lease, since).await;
    }
    serve_caller(state, &request, lease, started).await
}

/// Answer to a request that was not read or not passed on, so that no part of it has run.
fn refuse_body(error: BodyError) -> Answer {
    match error {
        BodyError::TooLong => Answer::new(StatusCode::PAYLOAD_TOO_LARGE, "body is too long"),
        BodyError::Broken => Answer::new(StatusCode::BAD_REQUEST, "body broke off"),
        BodyError::Refused(Reason::BodyTime) => {
            Answer::new(StatusCode::REQUEST_TIMEOUT, "body is too slow")
        }
        BodyError::Refused(Reason::Framing) => {
            Answer::new(StatusCode::BAD_REQUEST, "body has too much framing")
        }
        BodyError::Refused(_) => Answer::new(StatusCode::SERVICE_UNAVAILABLE, "too many clients"),
    }
}

/// Serves a caller's request here or through a peer; while neither can use the store, holds it for
/// a limited time.
async fn serve_caller(
    state: &State,
    request: &peers::Request,
    lease: &Lease,
    started: Time,
) -> Answer {
    let mut refusal = Answer::forwardable(StatusCode::SERVICE_UNAVAILABLE, "store is away");
    // Reason for which the request may have been carried out unnoticed.
    let mut doubt = None;
    let mut forwarded = false;
    loop {
        let choice = state.outage().choose(state.clock.now(), started, request.deadline, forwarded);
        match choice {
            Choice::Serve => {
                let since = confirmed_since(state);
                let local = serve_locally(state, request, lease, since).await;
                if !local.forwardable {
                    return settled(local, doubt);
                }
                if local.status == StatusCode::GATEWAY_TIMEOUT {
                    doubt = Some(local.reason);
                }
                refusal = local;
                if forwarded || !state.outage().can_forward(state.clock.now(), request.deadline) {
                    if state.outage().lost.is_none() {
                        return settled(refusal, doubt);
                    }
                    continue;
                }
            }
            Choice::Forward => {}
            Choice::Hold(until) => {
                let left = until.since(state.clock.now());
                // Whether the store has returned is checked next.
                let _ = timeout(left, state.store_returned.notified()).await;
                continue;
            }
            Choice::Refuse(seconds) => {
                return settled(Answer { retry_after: seconds, ..refusal }, doubt);
            }
        }
        forwarded = true;
        match peers::forward(state, request, doubt.is_some()).await {
            ForwardOutcome::Answered(reply) => match StatusCode::from_u16(reply.status) {
                Ok(status) => {
                    return Answer {
                        status,
                        ..Answer::ok(reply.body.to_vec(), "answered by a peer")
                    };
                }
                Err(_) => return settled(refusal, doubt),
            },
            // Other VMs may be able to serve the caller although this one cannot reach them.
            ForwardOutcome::NoPeer => refusal.retry_after = RETRY_ELSEWHERE_SECONDS,
            ForwardOutcome::Refused => state.peers_lost.set(Some(state.clock.now())),
            ForwardOutcome::Unknown if request.method == Method::GET => {}
            ForwardOutcome::Unknown => doubt = doubt.or(Some("peer in doubt")),
        }
    }
}

/// Returns `answer`, unless the request may have been carried out and the answer does not tell.
fn settled(answer: Answer, doubt: Option<&'static str>) -> Answer {
    match doubt {
        Some(reason) if !peers::is_conclusive(answer.status.as_u16()) => {
            Answer::new(StatusCode::GATEWAY_TIMEOUT, reason)
        }
        _ => answer,
    }
}

/// Serves a request with this VM's own calls to the store, by a configuration that was confirmed at
/// `since` or later.
async fn serve_locally(
    state: &State,
    request: &peers::Request,
    lease: &Lease,
    since: Time,
) -> Answer {
    let head = RequestHead {
        host: request.host.clone(),
        path: request.path.clone(),
        key: request.key.clone(),
    };
    let admitted = match admit_confirmed(state, &head, since).await {
        Ok(admitted) => admitted,
        Err(answer) => return answer,
    };
    match request.method {
        Method::GET if admitted.suffix.is_empty() => show_queue_length(state, &admitted).await,
        _ if !callers::is_job_id(&admitted.suffix) => {
            Answer::new(StatusCode::NOT_FOUND, "not the id of a job")
        }
        Method::GET => show_job(state, &admitted).await,
        Method::DELETE => cancel_job(state, &admitted, request.deadline).await,
        Method::POST => submit_job(state, admitted, &head, request, lease).await,
        _ => Answer::new(StatusCode::METHOD_NOT_ALLOWED, "no such method"),
    }
}

/// Outcome of a write to the store.
enum WriteOutcome {
    Done,
    /// A condition did not hold; carries the existing items among the keys of the conditions.
    Conflict(Vec<Item>),
    /// The write had no effect.
    Refused,
    /// The write may or may not have taken effect.
    Unknown,
}

/// Executes a transaction, with retries while the store refuses it.
///
/// Sets `maybe_applied` when the outcome is unknown. The transaction can then be sent again without
/// harm, since its conditions hold at most once.
async fn write_with_retry(
    state: &State,
    txn: &Txn<'_>,
    maybe_applied: &mut bool,
    deadline: Time,
) -> WriteOutcome {
    let started = state.clock.now();
    loop {
        let left = deadline.since(state.clock.now());
        if left.is_zero() {
            return if *maybe_applied { WriteOutcome::Unknown } else { WriteOutcome::Refused };
        }
        match state.store.commit(txn, STORE_TIMEOUT.min(left)).await {
            Ok(TxnOutcome::Done(_)) => return WriteOutcome::Done,
            Ok(TxnOutcome::Conflict(items)) => return WriteOutcome::Conflict(items),
            Ok(TxnOutcome::NoLease) => return WriteOutcome::Refused,
            Err(StoreError::Refused(_)) => {
                state.set_store_reachable(false);
                if !*maybe_applied && state.clock.now().since(started) > STORE_RETRY_TIME {
                    return WriteOutcome::Refused;
                }
                sleep(STORE_RETRY_PAUSE).await;
            }
            Err(_) => {
                *maybe_applied = true;
                state.set_store_reachable(false);
                // A peer that reaches the store settles the outcome by repeating the write.
                return WriteOutcome::Unknown;
            }
        }
    }
}

/// Stores a submitted job, and admits it again if the configuration changes meanwhile.
async fn submit_job(
    state: &State,
    mut admitted: Admitted,
    head: &RequestHead,
    request: &peers::Request,
    lease: &Lease,
) -> Answer {
    let spec = match callers::decode_job(&request.body) {
        Ok(spec) => spec,
        Err(error) => {
            info!(path = head.path.as_str(), error = error.as_str(); "job: malformed");
            return Answer::new(StatusCode::BAD_REQUEST, "malformed job");
        }
    };
    let tasks = spec.task_count();
    if tasks > MAX_JOB_TASKS {
        info!(path = head.path.as_str(), tasks = tasks; "job: too many tasks");
        return Answer::new(StatusCode::PAYLOAD_TOO_LARGE, "job has too many tasks");
    }
    let key = format!("{JOB_PREFIX}{}", admitted.suffix);
    let steps = spec.steps.len();
    let mut submission = Submission {
        queue: admitted.queue.clone(),
        admitted: admitted.definition().cloned(),
        account: admitted.account.clone(),
        taken: state.clock.stamp(),
        cancelled: false,
        spec: spec.into(),
    };
    let mut maybe_applied = false;
    loop {
        let value = match serde_json::to_vec(&submission) {
            Ok(value) => value,
            Err(_) => return Answer::new(StatusCode::BAD_REQUEST, "job cannot be stored"),
        };
        if value.len() > MAX_VALUE_BYTES {
            info!(path = head.path.as_str(), bytes = value.len(); "job: too large for the store");
            return Answer::new(StatusCode::PAYLOAD_TOO_LARGE, "job is too large for the store");
        }
        // Few bytes of a body can be many steps.
        if lease.reserve(value.len() * VALUE_COPIES + steps * STEP_BYTES).is_err() {
            return settled(refuse_body(BodyError::Refused(Reason::Bytes)), doubt(maybe_applied));
        }
        // Ensures that the admitting configuration is the latest when the job is stored.
        let txn = Txn {
            conditions: vec![(&key, 0), (configuration::KEY, admitted.active.revision)],
            writes: vec![(&key, &value, None)],
            deletes: Vec::new(),
        };
        match write_with_retry(state, &txn, &mut maybe_applied, request.deadline).await {
            WriteOutcome::Done => return accepted_answer(),
            WriteOutcome::Refused => {
                return Answer::forwardable(StatusCode::SERVICE_UNAVAILABLE, "store refuses");
            }
            WriteOutcome::Unknown => {
                return Answer::forwardable(StatusCode::GATEWAY_TIMEOUT, "store in doubt");
            }
            WriteOutcome::Conflict(items) => {
                if let Some(item) = items.iter().find(|item| item.key == key) {
                    return answer_duplicate(item, &submission);
                }
                if let Some(item) = items.iter().find(|item| item.key == configuration::KEY) {
                    apply_configuration(state, item);
                }
                let Some(active) = state.active_configuration() else {
                    return Answer::new(StatusCode::SERVICE_UNAVAILABLE, "no configuration");
                };
                if active.revision == admitted.active.revision {
                    // The stored configuration was deleted or is malformed, so it admits nothing.
                    return Answer::new(StatusCode::SERVICE_UNAVAILABLE, "configuration moved");
                }
                admitted = match admit(active, head) {
                    Ok(admitted) => admitted,
                    Err(answer) => return answer,
                };
                submission.queue.clone_from(&admitted.queue);
                submission.admitted = admitted.definition().cloned();
                submission.account.clone_from(&admitted.account);
            }
        }
    }
}

/// Reason for which a write may have been carried out, if it may.
fn doubt(maybe_applied: bool) -> Option<&'static str> {
    maybe_applied.then_some("store in doubt")
}

fn accepted_answer() -> Answer {
    Answer::ok(callers::encode_state(JobState::Pending), "stored")
}

/// Answers a submission whose id is already stored: accepted if the job is the same, gone if it was
/// cancelled before, otherwise a conflict.
fn answer_duplicate(item: &Item, submission: &Submission) -> Answer {
    match item.json::<Submission>() {
        Ok(stored) if stored.is_tombstone() => {
            Answer::new(StatusCode::GONE, "cancelled before it was stored")
        }
        Ok(stored) if stored.spec == submission.spec && stored.account == submission.account => {
            accepted_answer()
        }
        Ok(_) => Answer::new(StatusCode::CONFLICT, "another job has this id"),
        Err(_) => Answer::new(StatusCode::INTERNAL_SERVER_ERROR, "stored job is unreadable"),
    }
}

/// Reads an item, with retries; `Err` is the answer to the caller if the store does not respond.
async fn read_with_retry(state: &State, key: &str) -> Result<Option<Item>, Answer> {
    let started = state.clock.now();
    loop {
        match state.store.get(key, STORE_TIMEOUT).await {
            Ok(item) => return Ok(item),
            Err(_) if state.clock.now().since(started) < STORE_RETRY_TIME => {
                sleep(STORE_RETRY_PAUSE).await
            }
            Err(_) => {
                state.set_store_reachable(false);
                return Err(Answer::forwardable(StatusCode::SERVICE_UNAVAILABLE, "store is away"));
            }
        }
    }
}

async fn show_job(state: &State, admitted: &Admitted) -> Answer {
    match read_job_state(state, admitted).await {
        Ok(answer) | Err(answer) => answer,
    }
}

/// Answers with the state in the job's record, or as pending if it has no record yet.
async fn read_job_state(state: &State, admitted: &Admitted) -> Result<Answer, Answer> {
    let record = read_with_retry(state, &format!("{RECORD_PREFIX}{}", admitted.suffix)).await?;
    let unreadable = || Answer::new(StatusCode::INTERNAL_SERVER_ERROR, "record is unreadable");
    if let Some(item) = record {
        let stored: StoredState = item.json().map_err(|_| unreadable())?;
        let body = callers::encode_state(stored.state);
        return Ok(Answer::ok(body, "record"));
    }
    match read_with_retry(state, &format!("{JOB_PREFIX}{}", admitted.suffix)).await? {
        Some(item) if !item.json::<Submission>().is_ok_and(|stored| stored.is_tombstone()) => {
            let body = callers::encode_state(JobState::Pending);
            Ok(Answer::ok(body, "no record yet"))
        }
        _ => Ok(Answer::new(StatusCode::GONE, "no such job")),
    }
}

/// Answers with the number of waiting jobs of a queue, as last stored by the owner.
async fn show_queue_length(state: &State, admitted: &Admitted) -> Answer {
    let item = match read_with_retry(state, SEQUENCE_KEY).await {
        Ok(item) => item,
        Err(answer) => return answer,
    };
    let sequence = item.and_then(|item| item.json::<Sequence>().ok());
    let waiting = sequence.and_then(|sequence| sequence.waiting.get(&admitted.queue).copied());
    let body = callers::encode_queue_length(waiting.unwrap_or(0));
    Answer::ok(body, "length")
}

/// Marks a stored job as cancelled; the owner watches for the change.
///
/// If there is no such job, a tombstone is stored under its id: the submission may still be on its
/// way to the store, or in another entry VM.
async fn cancel_job(state: &State, admitted: &Admitted, deadline: Time) -> Answer {
    let key = format!("{JOB_PREFIX}{}", admitted.suffix);
    let mut maybe_applied = false;
    let mut stored = match read_with_retry(state, &key).await {
        Ok(stored) => stored,
        Err(answer) => return answer,
    };
    loop {
        let (submission, revision) = match &stored {
            Some(item) => {
                let Ok(submission) = item.json::<Submission>() else {
                    let status = StatusCode::INTERNAL_SERVER_ERROR;
                    return Answer::new(status, "stored job is unreadable");
                };
                if submission.cancelled {
                    return cancelled_answer(&submission);
                }
                (Submission { cancelled: true, ..submission }, item.revision)
            }
            None => {
                let (queue, account) = (admitted.queue.clone(), admitted.account.clone());
                (Submission::tombstone(queue, account, state.clock.stamp()), 0)
            }
        };
        let Ok(value) = serde_json::to_vec(&submission) else {
            return Answer::new(StatusCode::INTERNAL_SERVER_ERROR, "job cannot be stored");
        };
        let txn = Txn {
            conditions: vec![(&key, revision)],
            writes: vec![(&key, &value, None)],
            deletes: Vec::new(),
        };
        match write_with_retry(state, &txn, &mut maybe_applied, deadline).await {
            WriteOutcome::Done => return cancelled_answer(&submission),
            WriteOutcome::Refused => {
                return Answer::forwardable(StatusCode::SERVICE_UNAVAILABLE, "store refuses");
            }
            WriteOutcome::Unknown => {
                return Answer::forwardable(StatusCode::GATEWAY_TIMEOUT, "store in doubt");
            }
            WriteOutcome::Conflict(items) => match items.into_iter().find(|found| found.key == key)
            {
                Some(found) => stored = Some(found),
                // The job had ended and has been removed.
                None => return Answer::new(StatusCode::GONE, "no such job"),
            },
        }
    }
}

/// Answer to the cancellation of a job, or of an id under which there is none.
fn cancelled_answer(submission: &Submission) -> Answer {
    match submission.is_tombstone() {
        true => Answer::new(StatusCode::GONE, "no such job"),
        false => Answer::new(StatusCode::OK, "cancelled"),
    }
}
