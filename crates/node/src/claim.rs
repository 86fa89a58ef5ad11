//! Claims the ownership when it is vacant.

use std::rc::Rc;
use std::time::Duration;

use log::info;
use log::warn;
use rand::RngExt;
use tokio::time::sleep;

use crate::state::OWNER_KEY;
use crate::state::SEQUENCE_KEY;
use crate::state::State;
use model::Time;
use platform::store::Txn;
use platform::store::TxnOutcome;

/// Limit on one call while claiming.
const CLAIM_TIMEOUT: Duration = Duration::from_millis(700);
/// Longest pause before a claim, so that not all entry VMs claim at once.
const CLAIM_JITTER_MS: u64 = 40;
/// Processor share from which a VM counts as fit to own the jobs, in cores: a quarter carries the
/// users' 48 workers and their grown 350.
const PREFERRED_CPU_CORES: f64 = 0.25;
/// Link from which a VM counts as fit, in Mbit/s: commits, orders and lists of 350 workers take up
/// to ten at a crest.
const PREFERRED_LINK_MBPS: f64 = 50.0;
/// Pause of a VM with nothing of either; a VM that is half fit waits half of it.
const LOW_CAPACITY_DELAY_MAX: Duration = Duration::from_millis(600);
/// Pause of an entry VM that is far from the store, in multiples of its call time.
const DISTANCE_DELAY_FACTOR: u32 = 6;
/// Longest such pause: a store that is slow for everyone says nothing about distance.
const DISTANCE_DELAY_MAX: Duration = Duration::from_millis(250);

/// A won ownership.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Claim {
    /// Fencing token: the store revision of the claim, which rises with each.
    pub token: u64,
    /// The store lease that it hangs on.
    pub lease: u64,
    /// Store revision of the sequence key.
    pub sequence: u64,
    /// When the claim was sent.
    pub since: Time,
}

/// Waits until the ownership is vacant and claims it.
pub async fn claim(state: &Rc<State>) -> Claim {
    let mut vacant = state.vacant.subscribe();
    loop {
        // The sender lives as long as the state.
        if vacant.wait_for(|vacant| *vacant).await.is_err() || state.draining.get() {
            std::future::pending::<()>().await;
        }
        let jitter = rand::rng().random_range(0..CLAIM_JITTER_MS);
        sleep(Duration::from_millis(jitter)).await;
        if !*state.vacant.borrow() {
            continue;
        }
        if let Some(claim) = try_claim(state).await {
            state.vacant.send_replace(false);
            return claim;
        }
    }
}

async fn try_claim(state: &State) -> Option<Claim> {
    let started = state.clock.now();
    let lease = match state.store.grant(state.settings.ownership, CLAIM_TIMEOUT).await {
        Ok((lease, _)) => lease,
        Err(error) => {
            warn!(error = error.to_string().as_str(); "ownership: no lease");
            sleep(Duration::from_millis(CLAIM_JITTER_MS * 4)).await;
            return None;
        }
    };
    // Those near the store go first: the owner's commits are the faster.
    let distance_delay =
        (state.clock.now().since(started) * DISTANCE_DELAY_FACTOR).min(DISTANCE_DELAY_MAX);
    sleep(distance_delay + low_capacity_delay(state)).await;
    if !*state.vacant.borrow() {
        release_lease(state, lease).await;
        return None;
    }
    let since = state.clock.now();
    let name = state.settings.vm.to_string();
    let txn = Txn {
        conditions: vec![(OWNER_KEY, 0)],
        writes: vec![
            (OWNER_KEY, name.as_bytes(), Some(lease)),
            (SEQUENCE_KEY, name.as_bytes(), None),
        ],
        deletes: Vec::new(),
    };
    match state.store.commit(&txn, CLAIM_TIMEOUT).await {
        Ok(TxnOutcome::Done(revision)) => {
            info!(token = revision, lease = lease; "ownership: claimed");
            Some(Claim { token: revision, lease, sequence: revision, since })
        }
        Ok(other) => {
            info!(lease = lease; "ownership: another was faster ({})", outcome_name(&other));
            state.vacant.send_replace(false);
            release_lease(state, lease).await;
            None
        }
        Err(error) => {
            // A claim that took effect unseen ends with its lease.
            warn!(error = error.to_string().as_str(), lease = lease; "ownership: claim in doubt");
            release_lease(state, lease).await;
            None
        }
    }
}

/// How long a VM lets fitter ones go first.
fn low_capacity_delay(state: &State) -> Duration {
    let cpu_ratio = (state.settings.cpu / PREFERRED_CPU_CORES).min(1.0);
    let link_ratio = (state.settings.link_mbps / PREFERRED_LINK_MBPS).min(1.0);
    LOW_CAPACITY_DELAY_MAX.mul_f64(1.0 - cpu_ratio.min(link_ratio))
}

fn outcome_name(outcome: &TxnOutcome) -> &'static str {
    match outcome {
        TxnOutcome::Done(_) => "done",
        TxnOutcome::Conflict(_) => "conflict",
        TxnOutcome::NoLease => "no lease",
    }
}

/// Ends a lease, and with it what hangs on it.
pub async fn release_lease(state: &State, lease: u64) {
    if let Err(error) = state.store.release(lease, CLAIM_TIMEOUT).await {
        warn!(error = error.to_string().as_str(), lease = lease; "ownership: lease not ended");
    }
}
