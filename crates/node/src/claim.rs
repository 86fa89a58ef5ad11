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
const CLAIM_LIMIT: Duration = Duration::from_millis(700);
/// Longest pause before a claim, so that not all entry VMs claim at once.
const CLAIM_SPREAD_MS: u64 = 40;
/// Processor share from which a VM counts as fit to own the jobs, in cores: a quarter carries the
/// users' 48 workers and their grown 350.
const FIT_CPU: f64 = 0.25;
/// Link from which a VM counts as fit, in Mbit/s: commits, orders and lists of 350 workers take up
/// to ten at a crest.
const FIT_LINK_MBPS: f64 = 50.0;
/// Pause of a VM with nothing of either; a VM that is half fit waits half of it.
const UNFIT_PAUSE: Duration = Duration::from_millis(600);
/// Pause of an entry VM that is far from the store, in multiples of its call time.
const FAR_FACTOR: u32 = 6;
/// Longest such pause: a store that is slow for everyone says nothing about distance.
const FAR_PAUSE_MAX: Duration = Duration::from_millis(250);

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
        let spread = rand::rng().random_range(0..CLAIM_SPREAD_MS);
        sleep(Duration::from_millis(spread)).await;
        if !*state.vacant.borrow() {
            continue;
        }
        if let Some(claim) = attempt(state).await {
            state.vacant.send_replace(false);
            return claim;
        }
    }
}

async fn attempt(state: &State) -> Option<Claim> {
    let asked = state.clock.now();
    let lease = match state.store.grant(state.settings.ownership, CLAIM_LIMIT).await {
        Ok((lease, _)) => lease,
        Err(error) => {
            warn!(error = error.to_string().as_str(); "ownership: no lease");
            sleep(Duration::from_millis(CLAIM_SPREAD_MS * 4)).await;
            return None;
        }
    };
    // Those near the store go first: the owner's commits are the faster.
    let far_pause = (state.clock.now().since(asked) * FAR_FACTOR).min(FAR_PAUSE_MAX);
    sleep(far_pause + unfit_pause(state)).await;
    if !*state.vacant.borrow() {
        release(state, lease).await;
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
    match state.store.commit(&txn, CLAIM_LIMIT).await {
        Ok(TxnOutcome::Done(revision)) => {
            info!(token = revision, lease = lease; "ownership: claimed");
            Some(Claim { token: revision, lease, sequence: revision, since })
        }
        Ok(other) => {
            info!(lease = lease; "ownership: another was faster ({})", outcome(&other));
            state.vacant.send_replace(false);
            release(state, lease).await;
            None
        }
        Err(error) => {
            // A claim that took effect unseen ends with its lease.
            warn!(error = error.to_string().as_str(), lease = lease; "ownership: claim in doubt");
            release(state, lease).await;
            None
        }
    }
}

/// How long a VM lets fitter ones go first.
fn unfit_pause(state: &State) -> Duration {
    let cpu = (state.settings.cpu / FIT_CPU).min(1.0);
    let link = (state.settings.link_mbps / FIT_LINK_MBPS).min(1.0);
    UNFIT_PAUSE.mul_f64(1.0 - cpu.min(link))
}

fn outcome(committed: &TxnOutcome) -> &'static str {
    match committed {
        TxnOutcome::Done(_) => "done",
        TxnOutcome::Conflict(_) => "conflict",
        TxnOutcome::NoLease => "no lease",
    }
}

/// Ends a lease, and with it what hangs on it.
pub async fn release(state: &State, lease: u64) {
    if let Err(error) = state.store.release(lease, CLAIM_LIMIT).await {
        warn!(error = error.to_string().as_str(), lease = lease; "ownership: lease not ended");
    }
}
