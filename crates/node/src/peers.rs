//! Finds the other entry VMs, and passes requests on to them while the store turns this one away.
//!
//! Each VM keeps its address in the store under a lease. A request that is passed on is served by
//! the peer as if it had come from the caller, but is never passed on again.

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
use net::Reply;
use net::call::Call;
use platform::store::StoreError;
use platform::store::Txn;
use platform::store::TxnOutcome;

/// Header with the host that the caller named.
pub const HOST_HEADER: HeaderName = HeaderName::from_static("basilrack-host");
/// Life of a VM's entry.
const ENTRY_TTL: Duration = Duration::from_secs(10);
/// Pause between renewals of it.
const RENEW_PAUSE: Duration = Duration::from_millis(3_000);
/// Time after the start at which the other VMs of a first start have registered.
const FIRST_READ_DELAY: Duration = Duration::from_millis(1_500);
/// Renewals between reads of the list.
const RENEWALS_PER_READ: u32 = 4;
/// Limit on one store call.
const STORE_TIMEOUT: Duration = Duration::from_millis(900);
/// Limit on one call to a peer, which makes up to two store calls.
const PEER_TIMEOUT: Duration = Duration::from_millis(900);
/// Peers that are asked in turn.
const MAX_PEERS_TRIED: usize = 3;
/// How long a peer that could not help is not asked.
const PEER_BACKOFF: Duration = Duration::from_millis(1_000);

/// Keeps this VM's entry and reads those of the others, for as long as the process runs.
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
            Err(error) => warn!(error = error.to_string().as_str(); "peers: not registered"),
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

async fn read_peers(state: &State) {
    match state.store.range(PEER_PREFIX, STORE_TIMEOUT).await {
        Ok((items, _)) => {
            let address = |value: &[u8]| std::str::from_utf8(value).ok()?.parse().ok();
            let peers: Vec<SocketAddr> =
                items.iter().filter_map(|item| address(&item.value)).collect();
            let own = state.settings.peers;
            *state.peers.borrow_mut() = peers.into_iter().filter(|peer| *peer != own).collect();
        }
        Err(error) => warn!(error = error.to_string().as_str(); "peers: not read"),
    }
}

/// A request as it is passed on.
#[derive(Clone, Debug)]
pub struct Request {
    /// Method.
    pub method: Method,
    /// Host that the caller named.
    pub host: String,
    /// Path.
    pub path: String,
    /// Key of the client account.
    pub key: Option<String>,
    /// Body.
    pub body: Bytes,
    /// When the caller stops waiting.
    pub deadline: Time,
}

/// What passing a request on has led to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ForwardOutcome {
    /// A peer has answered it.
    Answered(Reply),
    /// Peers answer, but the store turns them away too.
    Refused,
    /// No peer answers.
    NoPeer,
    /// A peer may have carried it out.
    Unknown,
}

/// Passes a request on to a few peers in turn.
///
/// `doubt` says that it may have been carried out already: a peer that turns it down, by a newer
/// configuration for instance, says nothing about that.
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

/// Whether a peer's answer tells what became of a request that may have been carried out before:
/// it is stored, another job has its id, or the job is gone.
fn is_conclusive(status: u16) -> bool {
    matches!(status, 200..300 | 409 | 410)
}

fn back_off(state: &State, peer: SocketAddr) {
    let until = state.clock.now() + PEER_BACKOFF;
    state.failed_peers.borrow_mut().insert(peer, until);
}

/// A few peers in random order, without those that could not help lately.
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

/// Asks one peer; an error says whether the request may have been sent.
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
    match state.caller.call(peer, call).await {
        Ok(reply) => {
            info!(path = request.path.as_str(), peer = peer.to_string().as_str(),
                status = reply.status; "passed on");
            Ok(reply)
        }
        Err(error) => {
            info!(path = request.path.as_str(), peer = peer.to_string().as_str(),
                error = error.to_string().as_str(); "passed on in vain");
            Err(matches!(error, net::CallError::NoAnswer(_)))
        }
    }
}
