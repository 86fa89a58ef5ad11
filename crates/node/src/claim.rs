//! Leader election: claims the ownership of the jobs when no entry VM holds it.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use log::info;
use log::warn;
use rand::RngExt;
use tokio::time::sleep;

use crate::commit::Sequence;
use crate::state::OWNER_KEY;
use crate::state::SEQUENCE_KEY;
use crate::state::State;
use crate::transactions::encode_json;
use model::Time;
use platform::store::Txn;
use platform::store::TxnOutcome;

/// Timeout of each store call of a claim.
const CLAIM_TIMEOUT: Duration = Duration::from_millis(700);
/// Maximum random delay before a claim, in ms, so that not all entry VMs claim at once.
const CLAIM_JITTER_MS: u64 = 40;
/// CPU share, in cores, from which an entry VM claims without a capacity delay. A quarter of a core
/// suffices for the users' 48 workers and for the 350 that they will grow to.
const PREFERRED_CPU_CORES: f64 = 0.25;
/// Link bandwidth, in Mbit/s, from which an entry VM claims without a capacity delay. Commits,
/// orders and renewals of 350 workers take up to 10 Mbit/s at peak load.
const PREFERRED_LINK_MBPS: f64 = 50.0;
/// Delay of an entry VM without CPU or bandwidth. The delay shrinks linearly with the scarcer of
/// the two: a VM with half of the preferred capacity waits half of it.
const LOW_CAPACITY_DELAY_MAX: Duration = Duration::from_millis(600);
/// Delay for distance from the store, in multiples of the measured duration of a store call.
const DISTANCE_DELAY_FACTOR: u32 = 6;
/// Maximum delay for distance: a store that is slow for every entry VM says nothing about distance.
const DISTANCE_DELAY_MAX: Duration = Duration::from_millis(250);

/// A successful claim of the ownership.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Claim {
    /// Fencing token: the store revision of the claim, which increases with each claim.
    pub token: u64,
    /// Store lease that the ownership key is attached to.
    pub lease: u64,
    /// Store revision of the sequence key.
    pub sequence: u64,
    /// Time at which the claim was sent.
    pub since: Time,
}

/// Waits until no entry VM owns the jobs, and claims the ownership.
pub async fn claim(state: &Rc<State>) -> Claim {
    let mut vacant = state.vacant.subscribe();
    loop {
        // The wait cannot fail while `state` exists, which holds the sender.
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

/// Claims the ownership once; `None` if another VM has it, or the claim failed or is in doubt.
async fn try_claim(state: &State) -> Option<Claim> {
    let started = state.clock.now();
    let (granted, waiting) = tokio::join!(
        state.store.grant(state.settings.ownership, CLAIM_TIMEOUT),
        queue_lengths(state)
    );
    let lease = match granted {
        Ok((lease, _)) => lease,
        Err(error) => {
            warn!(error = error.to_string().as_str(); "ownership: store grants no lease");
            sleep(Duration::from_millis(CLAIM_JITTER_MS * 4)).await;
            return None;
        }
    };
    // VMs near the store claim first, since the owner's commits are faster from there.
    let distance_delay =
        (state.clock.now().since(started) * DISTANCE_DELAY_FACTOR).min(DISTANCE_DELAY_MAX);
    sleep(distance_delay + low_capacity_delay(state)).await;
    if !*state.vacant.borrow() {
        release_lease(state, lease).await;
        return None;
    }
    let since = state.clock.now();
    let name = state.settings.vm.to_string();
    let sequence = encode_json(&Sequence::claimed(waiting));
    let txn = Txn {
        conditions: vec![(OWNER_KEY, 0)],
        writes: vec![(OWNER_KEY, name.as_bytes(), Some(lease)), (SEQUENCE_KEY, &sequence, None)],
        deletes: Vec::new(),
    };
    match state.store.commit(&txn, CLAIM_TIMEOUT).await {
        Ok(TxnOutcome::Done(revision)) => {
            info!(token = revision, lease = lease; "ownership: claimed");
            Some(Claim { token: revision, lease, sequence: revision, since })
        }
        Ok(other) => {
            info!(lease = lease; "ownership: not claimed ({})", outcome_name(&other));
            state.vacant.send_replace(false);
            release_lease(state, lease).await;
            None
        }
        Err(error) => {
            // If the claim took effect unnoticed, it ends with the lease.
            warn!(error = error.to_string().as_str(), lease = lease;
                "ownership: claim failed or in doubt; revoking its lease");
            release_lease(state, lease).await;
            None
        }
    }
}

/// Reads the queue lengths that the last owner stored; empty if they cannot be read. They are shown
/// until the first commit of the next owner.
async fn queue_lengths(state: &State) -> BTreeMap<String, u64> {
    let sequence = match state.store.get(SEQUENCE_KEY, CLAIM_TIMEOUT).await {
        Ok(item) => item.and_then(|item| item.json::<Sequence>().ok()),
        Err(error) => {
            warn!(error = error.to_string().as_str(); "ownership: cannot read the queue lengths");
            None
        }
    };
    sequence.map(|sequence| sequence.waiting).unwrap_or_default()
}

/// Delay that lets entry VMs with more CPU and bandwidth claim first.
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

/// Revokes a lease, which removes the keys attached to it.
pub async fn release_lease(state: &State, lease: u64) {
    if let Err(error) = state.store.release(lease, CLAIM_TIMEOUT).await {
        warn!(error = error.to_string().as_str(), lease = lease;
            "ownership: cannot revoke the lease");
    }
}
