//! HTTP interface for callers and operators, on xitca-web.
//!
//! Handlers run on the threads of xitca-web and reach the tasks of the entry VM through channels.
//! Every refusal is an `application/problem+json` response with a verdict.

pub mod body;
pub mod callers;
pub mod jobs;
pub mod operators;
pub mod problem;
pub mod token;

use std::convert::Infallible;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::sync::watch;
use xitca_server::ServerFuture;
use xitca_web::App;
use xitca_web::WebContext;
use xitca_web::error::Error;
use xitca_web::handler::handler_service;
use xitca_web::http::StatusCode;
use xitca_web::http::WebResponse;
use xitca_web::route::get;
use xitca_web::route::post;
use xitca_web::route::put;
use xitca_web::service::Service;

use crate::clock::Clock;
use crate::directory::Directory;
use crate::ledger::Ledger;
use crate::members;
use crate::metrics::Metrics;
use crate::relay::Relay;
use crate::requests;
use crate::web::problem::Fault;
use crate::web::problem::Refusal;
use crate::web::token::Token;
use intake::Intake;
use intake::Limits;
use intake::Vm;
use wire::border;

/// Maximum number of threads that run handlers.
const MAX_WORKER_THREADS: usize = 8;
/// Timeout for receiving the head of a request.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);
/// Time after which an idle connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);

/// Maximum length of the head of a request, in bytes. The server's default of 1 MB would be held by
/// each connection that sends an endless head.
const MAX_HEAD_BYTES: usize = 32 << 10;
/// Bytes that the bodies of calls in progress may hold, unless one call needs more. Twice the default
/// limit on stored answers.
const MAX_HELD_BYTES: usize = 128 << 20;

/// Returns the limits on the bodies of calls, at most `calls` of them at a time.
pub fn body_limits(body_bytes: usize, calls: usize) -> Limits {
    Limits {
        held_bytes: MAX_HELD_BYTES.max(body_bytes),
        connections: calls,
        // The web server owns the connections.
        connection_bytes: 0,
        body_bytes,
        ..Limits::new(Vm::default())
    }
}

/// State shared by all handlers.
#[derive(Debug)]
pub struct WebState {
    /// Time source.
    pub clock: Clock,
    /// This entry VM.
    pub me: fleet::Member,
    /// Handle of the request task.
    pub requests: requests::Handle,
    /// Routes calls about shards and jobs to their owners.
    pub directory: Directory,
    /// Handle of the fleet task.
    pub members: members::Handle,
    /// The platform's store.
    pub store: store::Client,
    /// Runtime of the entry VM, for work that must go on if the caller disconnects.
    pub runtime: tokio::runtime::Handle,
    /// Links to the other entry VMs.
    pub peers: net::Peers,
    /// View that the fleet task publishes.
    pub view: watch::Receiver<Arc<members::View>>,
    /// Sends questions to other entry VMs.
    pub relay: Relay,
    /// Counts for the burn-rate report.
    pub ledger: Ledger,
    /// Prometheus metrics.
    pub metrics: Metrics,
    /// Token that operators authenticate with.
    pub token: Token,
    /// Bytes that the bodies of calls in progress hold.
    pub intake: Intake,
    /// Maximum length of a request body, in bytes.
    pub body_limit: usize,
    /// Whether new work is accepted; false once the entry VM is stopping.
    pub ready: AtomicBool,
    /// Number of calls in progress.
    pub active: AtomicUsize,
}

/// Shared pointer to the state of the handlers.
pub type SharedState = Arc<WebState>;

impl WebState {
    /// Updates the metrics of store calls and peer links.
    pub fn update_counters(&self) {
        for count in &self.store.counters().counts {
            let purpose = count.purpose.as_ref();
            self.metrics.set_store_calls(purpose, count.outcome.as_ref(), count.calls);
        }
        let peers = self.peers.counters();
        for (distance, volume) in &peers.bytes {
            self.metrics.set_peer_bytes("received", distance.as_ref(), volume.received);
            self.metrics.set_peer_bytes("sent", distance.as_ref(), volume.sent);
        }
    }

    /// Health of the store and numbers of store calls.
    pub fn store_status(&self, view: &members::View) -> border::StoreStatus {
        let counters = self.store.counters();
        let answered = counters.counts.iter().filter(|c| c.outcome == store::Outcome::Answered);
        let answered: u64 = answered.map(|count| count.calls).sum();
        let calls = counters.counts.iter().map(|count| count.calls).sum::<u64>();
        border::StoreStatus {
            healthy: view.fleet.store.healthy,
            calls,
            failed: calls.saturating_sub(answered),
        }
    }
}

/// Guard that counts a call as in progress until it is dropped.
struct ActiveCall<'f>(&'f WebState);

impl<'f> ActiveCall<'f> {
    fn begin(state: &'f WebState) -> ActiveCall<'f> {
        state.active.fetch_add(1, Ordering::SeqCst);
        ActiveCall(state)
    }
}

impl Drop for ActiveCall<'_> {
    fn drop(&mut self) {
        self.0.active.fetch_sub(1, Ordering::SeqCst);
    }
}

macro_rules! handler {
    ($path:path) => {
        handler_service(async |ctx: &WebContext<'_, SharedState>| into_response($path(ctx).await))
    };
}

/// Serves the HTTP interface on `listener` until the handle of the returned server is stopped.
///
/// # Errors
///
/// The listener or the runtime of xitca-web cannot be started.
pub fn serve(listener: TcpListener, state: SharedState) -> std::io::Result<ServerFuture> {
    let app = App::new()
        .with_state(state)
        .at("/v1/ids", post(handler!(callers::ids)))
        .at(
            "/v1/requests/{id}",
            put(handler!(callers::put_request)).get(handler!(callers::get_request)),
        )
        .at("/v1/services/{service}", post(handler!(callers::post_service)))
        .at("/v1/jobs", post(handler!(jobs::post_job)))
        .at(
            "/v1/jobs/{id}",
            put(handler!(jobs::put_job))
                .get(handler!(jobs::get_job))
                .delete(handler!(jobs::delete_job)),
        )
        .at("/v1/explain/{id}", get(handler!(operators::explain)))
        .at("/v1/status", get(handler!(operators::status)))
        .at("/v1/burn", get(handler!(operators::burn)))
        .at("/v1/history", get(handler!(operators::history)))
        .at("/v1/text", get(handler!(operators::get_text)).put(handler!(operators::put_text)))
        .at("/metrics", get(handler!(operators::metrics)))
        .at("/ready", get(handler!(operators::ready)))
        .at("/live", get(handler!(operators::live)))
        .enclosed_fn(wrap_call);
    let server = app
        .serve()
        .disable_signal()
        .worker_threads(worker_thread_count())
        .request_head_timeout(HEAD_TIMEOUT)
        .keep_alive_timeout(IDLE_TIMEOUT)
        .max_read_buf_size::<MAX_HEAD_BYTES>()
        .listen(listener)?;
    Ok(server.run())
}

/// One thread per core, up to [`MAX_WORKER_THREADS`].
fn worker_thread_count() -> usize {
    std::thread::available_parallelism().map_or(1, usize::from).min(MAX_WORKER_THREADS)
}

fn into_response(result: Result<WebResponse, Refusal>) -> Result<WebResponse, Infallible> {
    Ok(result.unwrap_or_else(|refusal| refusal.response()))
}

/// Middleware that counts the call, converts library errors to problem responses and closes
/// connections while the entry VM is stopping.
async fn wrap_call<S>(
    service: &S,
    mut ctx: WebContext<'_, SharedState>,
) -> Result<WebResponse, Error>
where
    S: for<'r> Service<WebContext<'r, SharedState>, Response = WebResponse, Error = Error>,
{
    let state = ctx.state().clone();
    let active = ActiveCall::begin(&state);
    ctx.req_mut().extensions_mut().insert(body::LeaseSlot::default());
    let result = service.call(ctx.reborrow()).await;
    body::discard(&ctx).await;
    let mut response = match result {
        Ok(response) => response,
        Err(error) => {
            let cause = error.call(ctx).await?;
            library_refusal(cause.status()).response()
        }
    };
    if !state.ready.load(Ordering::Relaxed) {
        problem::close_connection(&mut response);
    }
    state.metrics.count_response(response.status().as_u16());
    drop(active);
    Ok(response)
}

fn library_refusal(status: StatusCode) -> Refusal {
    match status {
        StatusCode::NOT_FOUND => Refusal::new(Fault::NoSuchPath, "no such path"),
        StatusCode::METHOD_NOT_ALLOWED => {
            Refusal::new(Fault::WrongMethod, "the path does not support this method")
        }
        status => Refusal::new(
            Fault::BadBody,
            format!("the web server refused the call with status {status}"),
        ),
    }
}
