//! Discovery of the other entry VMs, and forwarding of requests to them while this VM cannot use
//! the store.
//!
//! Each VM registers its address in the store under a lease. The peer serves a forwarded request as
//! if it came from the caller, but never forwards it again, and by a configuration that it confirms
//! for this request.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hyper::Method;
use hyper::http::HeaderName;
use hyper::http::HeaderValue;
use log::info;
use log::warn;
use rand::RngExt;
use tokio::time::sleep;

use crate::state::PEER_PREFIX;
use crate::state::State;
use model::Time;
use net::CallError;
use net::Reply;
use net::call::Call;
use platform::store::Item;
use platform::store::StoreError;
use platform::store::Txn;
use platform::store::TxnOutcome;

/// Request header with the host that the caller asked for.
pub const HOST_HEADER: HeaderName = HeaderName::from_static("basilrack-host");
/// Lifetime of a registration without renewal.
const ENTRY_TTL: Duration = Duration::from_secs(10);
/// Pause between renewals of the registration.
const RENEW_PAUSE: Duration = Duration::from_millis(3_000);
/// Delay between registering and reading the peers, so that VMs that start together find each
/// other.
const FIRST_READ_DELAY: Duration = Duration::from_millis(1_500);
/// Number of renewals per read of the peers.
const RENEWALS_PER_READ: u32 = 4;
/// Timeout of a store call.
const STORE_TIMEOUT: Duration = Duration::from_millis(900);
/// Timeout of a call to a peer, which makes up to two store calls.
const PEER_TIMEOUT: Duration = Duration::from_millis(900);
/// Maximum number of peers that are tried for a request.
const MAX_PEERS_TRIED: usize = 3;
/// Time for which a peer that could not serve a request is not tried again.
const PEER_BACKOFF: Duration = Duration::from_millis(1_000);

/// Keeps this VM registered and reads the addresses of its peers, until the VM drains.
pub async fn follow(state: Rc<State>) {
    let mut lease = None;
    let mut renewals = 0;
    loop {
        let lease_result = match lease {
            Some(id) => state.store.renew(id, STORE_TIMEOUT).await.map(|left| left.map(|_| id)),
            None => register_address(&state).await,
        };
        let is_new = lease.is_none();
        match lease_result {
            Ok(current) => lease = current,
            Err(error) => warn!(error = error.to_string().as_str(); "peers: cannot register"),
        }
        if is_new {
            sleep(FIRST_READ_DELAY).await;
        }
        if renewals % RENEWALS_PER_READ == 0 {
            read_peers(&state).await;
        }
        renewals += 1;
        sleep(RENEW_PAUSE).await;
        if state.draining.get() {
            return;
        }
    }
}

/// Stores this VM's address under a new lease, and returns the lease.
async fn register_address(state: &State) -> Result<Option<u64>, StoreError> {
    let (lease, _) = state.store.grant(ENTRY_TTL, STORE_TIMEOUT).await?;
    let key = format!("{PEER_PREFIX}{}", state.settings.vm);
    let address = state.settings.peers.to_string();
    let txn = Txn {
        conditions: Vec::new(),
        writes: vec![(&key, address.as_bytes(), Some(lease))],
        deletes: Vec::new(),
    };
    let outcome = state.store.commit(&txn, STORE_TIMEOUT).await?;
    Ok(matches!(outcome, TxnOutcome::Done(_)).then_some(lease))
}

/// Reads the addresses of the other entry VMs; keeps the known ones if that fails.
async fn read_peers(state: &State) {
    match state.store.range(PEER_PREFIX, STORE_TIMEOUT).await {
        Ok((items, _)) => {
            let peers: Vec<SocketAddr> = items.iter().filter_map(parse_address).collect();
            let own = state.settings.peers;
            *state.peers.borrow_mut() = peers.into_iter().filter(|peer| *peer != own).collect();
        }
        Err(error) => warn!(error = error.to_string().as_str(); "peers: cannot read addresses"),
    }
}

fn parse_address(item: &Item) -> Option<SocketAddr> {
    let text = item.value.as_deref().map(String::from_utf8_lossy);
    let address = text.ok().and_then(|text| text.parse().ok());
    if address.is_none() {
        warn!(key = item.key.as_str(); "peers: malformed address; ignored");
    }
    address
}

/// A request that can be forwarded.
#[derive(Clone, Debug)]
pub struct Request {
    /// Method.
    pub method: Method,
    /// Host that the caller asked for.
    pub host: String,
    /// Path.
    pub path: String,
    /// API key of the client account, if the caller sent one.
    pub key: Option<String>,
    /// Body.
    pub body: Bytes,
    /// Time at which the caller stops waiting, with a margin for the answer.
    pub deadline: Time,
}

/// Outcome of forwarding a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ForwardOutcome {
    /// A peer answered it conclusively.
    Answered(Reply),
    /// A peer answered but cannot use the store either.
    Refused,
    /// No peer answered.
    NoPeer,
    /// The request may or may not have been carried out.
    Unknown,
}

/// Forwards a request to a few peers in turn until one of them answers it.
///
/// `maybe_applied` says that this VM may have carried the request out already. A peer that rejects
/// it, for example under a newer configuration, then leaves the outcome unknown.
pub async fn forward(state: &State, request: &Request, maybe_applied: bool) -> ForwardOutcome {
    let mut outcome = if maybe_applied { ForwardOutcome::Unknown } else { ForwardOutcome::NoPeer };
    for peer in pick_peers(state) {
        let left = request.deadline.since(state.clock.now());
        if left.is_zero() {
            return outcome;
        }
        match call_peer(state, peer, request, PEER_TIMEOUT.min(left)).await {
            Ok(reply) if outcome == ForwardOutcome::Unknown && !is_conclusive(reply.status) => {
                back_off(state, peer)
            }
            Ok(reply) if reply.status != 503 && reply.status != 504 => {
                return ForwardOutcome::Answered(reply);
            }
            Ok(reply) => {
                back_off(state, peer);
                match (reply.status, &outcome) {
                    (504, _) => outcome = ForwardOutcome::Unknown,
                    (_, ForwardOutcome::NoPeer) => outcome = ForwardOutcome::Refused,
                    _ => {}
                }
            }
            Err(maybe_sent) => {
                back_off(state, peer);
                if maybe_sent && request.method != Method::GET {
                    outcome = ForwardOutcome::Unknown;
                }
            }
        }
    }
    outcome
}

/// Whether a peer's answer settles the outcome of a request that may have been carried out before:
/// the job is stored, another job has its id, or the job no longer exists.
pub fn is_conclusive(status: u16) -> bool {
    matches!(status, 200..300 | 409 | 410)
}

/// Excludes a peer from forwarding for [`PEER_BACKOFF`].
fn back_off(state: &State, peer: SocketAddr) {
    let until = state.clock.now() + PEER_BACKOFF;
    state.failed_peers.borrow_mut().insert(peer, until);
}

/// Picks up to [`MAX_PEERS_TRIED`] peers at random, except those that failed recently.
fn pick_peers(state: &State) -> Vec<SocketAddr> {
    let now = state.clock.now();
    state.failed_peers.borrow_mut().retain(|_, until| *until > now);
    let failed = state.failed_peers.borrow();
    let peers = state.peers.borrow();
    let mut peers: Vec<SocketAddr> =
        peers.iter().filter(|peer| !failed.contains_key(peer)).copied().collect();
    let mut chosen = Vec::new();
    while !peers.is_empty() && chosen.len() < MAX_PEERS_TRIED {
        chosen.push(peers.swap_remove(rand::rng().random_range(0..peers.len())));
    }
    chosen
}

/// Records a call to a peer until it is dropped, also if the caller leaves before the answer.
struct PassedCall<'s> {
    state: &'s State,
    /// Whether the peer can no longer act on the request.
    answered: bool,
}

impl<'s> PassedCall<'s> {
    fn begin(state: &'s State) -> PassedCall<'s> {
        let mut passed = state.passed.get();
        passed.begin();
        state.passed.set(passed);
        PassedCall { state, answered: false }
    }
}

impl Drop for PassedCall<'_> {
    fn drop(&mut self) {
        let mut passed = self.state.passed.get();
        passed.end(self.state.clock.now(), self.answered);
        self.state.passed.set(passed);
    }
}

/// Sends the request to one peer; the error says whether the peer may have received it.
async fn call_peer(
    state: &State,
    peer: SocketAddr,
    request: &Request,
    limit: Duration,
) -> Result<Reply, bool> {
    let header = |text: &str| HeaderValue::from_str(text).map_err(|_| false);
    let timeout_ms = limit.as_millis().to_string();
    let mut headers = vec![
        (HOST_HEADER, header(&request.host)?),
        (HeaderName::from_static(platform::DEADLINE_HEADER), header(&timeout_ms)?),
    ];
    if let Some(key) = &request.key {
        headers.push((HeaderName::from_static(platform::API_KEY_HEADER), header(key)?));
    }
    let (method, body) = (request.method.clone(), request.body.clone());
    let call = Call { method, path: &request.path, headers, body, limit };
    let mut passed = PassedCall::begin(state);
    let result = state.caller.call(peer, call).await;
    passed.answered = !matches!(result, Err(CallError::NoAnswer(_)));
    drop(passed);
    match result {
        Ok(reply) => {
            info!(path = request.path.as_str(), peer = peer.to_string().as_str(),
                status = reply.status; "passed on");
            Ok(reply)
        }
        Err(error) => {
            info!(path = request.path.as_str(), peer = peer.to_string().as_str(),
                error = error.to_string().as_str(); "passing on failed");
            Err(matches!(error, CallError::NoAnswer(_)))
        }
    }
}
