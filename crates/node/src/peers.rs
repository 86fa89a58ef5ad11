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
const ENTRY_LIFE: Duration = Duration::from_secs(10);
/// Pause between renewals of it.
const RENEW_PAUSE: Duration = Duration::from_millis(3_000);
/// Time after the start at which the other VMs of a first start have registered.
const FIRST_READ: Duration = Duration::from_millis(1_500);
/// Renewals between reads of the list.
const RENEWALS_A_READ: u32 = 4;
/// Limit on one store call.
const STORE_LIMIT: Duration = Duration::from_millis(900);
/// Limit on one call to a peer, which makes up to two store calls.
const PEER_LIMIT: Duration = Duration::from_millis(900);
/// Peers that are asked in turn.
const PEERS_ASKED: usize = 3;
/// How long a peer that could not help is not asked.
const UNHELPFUL_TIME: Duration = Duration::from_millis(1_000);

/// Keeps this VM's entry and reads those of the others, for as long as the process runs.
pub async fn follow(state: Rc<State>) {
    let mut lease = None;
    let mut renewals = 0;
    loop {
        let kept = match lease {
            Some(id) => state.store.renew(id, STORE_LIMIT).await.map(|left| left.map(|_| id)),
            None => register(&state).await,
        };
        let first = lease.is_none();
        match kept {
            Ok(kept) => lease = kept,
            Err(error) => warn!(error = error.to_string().as_str(); "peers: not registered"),
        }
        if first {
            sleep(FIRST_READ).await;
        }
        if renewals % RENEWALS_A_READ == 0 {
            read(&state).await;
        }
        renewals += 1;
        sleep(RENEW_PAUSE).await;
        if state.draining.get() {
            return;
        }
    }
}

async fn register(state: &State) -> Result<Option<u64>, StoreError> {
    let (lease, _) = state.store.grant(ENTRY_LIFE, STORE_LIMIT).await?;
    let key = format!("{PEER_PREFIX}{}", state.settings.vm);
    let address = state.settings.peers.to_string();
    let txn = Txn {
        conditions: Vec::new(),
        writes: vec![(&key, address.as_bytes(), Some(lease))],
        deletes: Vec::new(),
    };
    let committed = state.store.commit(&txn, STORE_LIMIT).await?;
    Ok(matches!(committed, TxnOutcome::Done(_)).then_some(lease))
}

async fn read(state: &State) {
    match state.store.range(PEER_PREFIX, STORE_LIMIT).await {
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
pub enum Passed {
    /// A peer has answered it.
    Answered(Reply),
    /// Peers answer, but the store turns them away too.
    Refused,
    /// No peer answers.
    Alone,
    /// A peer may have carried it out.
    Unknown,
}

/// Passes a request on to a few peers in turn.
///
/// `doubt` says that it may have been carried out already: a peer that turns it down, by a newer
/// configuration for instance, says nothing about that.
pub async fn pass(state: &State, request: &Request, doubt: bool) -> Passed {
    let mut passed = if doubt { Passed::Unknown } else { Passed::Alone };
    for peer in candidates(state) {
        let left = request.deadline.since(state.clock.now());
        if left.is_zero() {
            return passed;
        }
        match ask(state, peer, request, PEER_LIMIT.min(left)).await {
            Ok(reply) if passed == Passed::Unknown && !settles(reply.status) => shun(state, peer),
            Ok(reply) if reply.status != 503 && reply.status != 504 => {
                return Passed::Answered(reply);
            }
            Ok(reply) => {
                shun(state, peer);
                match (reply.status, &passed) {
                    (504, _) => passed = Passed::Unknown,
                    (_, Passed::Alone) => passed = Passed::Refused,
                    _ => {}
                }
            }
            Err(sent) => {
                shun(state, peer);
                if sent && request.method != Method::GET {
                    passed = Passed::Unknown;
                }
            }
        }
    }
    passed
}

/// Whether a peer's answer tells what became of a request that may have been carried out before:
/// it is stored, another job has its id, or the job is gone.
fn settles(status: u16) -> bool {
    matches!(status, 200..300 | 409 | 410)
}

fn shun(state: &State, peer: SocketAddr) {
    let until = state.clock.now() + UNHELPFUL_TIME;
    state.failed_peers.borrow_mut().insert(peer, until);
}

/// A few peers in random order, without those that could not help lately.
fn candidates(state: &State) -> Vec<SocketAddr> {
    let now = state.clock.now();
    state.failed_peers.borrow_mut().retain(|_, until| *until > now);
    let unhelpful = state.failed_peers.borrow();
    let peers = state.peers.borrow();
    let mut peers: Vec<SocketAddr> =
        peers.iter().filter(|peer| !unhelpful.contains_key(peer)).copied().collect();
    let mut chosen = Vec::new();
    while !peers.is_empty() && chosen.len() < PEERS_ASKED {
        chosen.push(peers.swap_remove(rand::rng().random_range(0..peers.len())));
    }
    chosen
}

/// Asks one peer; an error says whether the request may have been sent.
async fn ask(
    state: &State,
    peer: SocketAddr,
    request: &Request,
    limit: Duration,
) -> Result<Reply, bool> {
    let text = |text: &str| HeaderValue::from_str(text).map_err(|_| false);
    let time = limit.as_millis().to_string();
    let mut headers = vec![
        (HOST_HEADER, text(&request.host)?),
        (HeaderName::from_static(platform::DEADLINE_HEADER), text(&time)?),
    ];
    if let Some(key) = &request.key {
        headers.push((HeaderName::from_static(platform::API_KEY_HEADER), text(key)?));
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
