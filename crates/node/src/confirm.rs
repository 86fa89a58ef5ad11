//! Watches the configuration, the evacuations and the ownership key in the store.
//!
//! One watch covers them all. Each of its answers confirms that the active configuration is the
//! latest; requests that depend on the configuration require a sufficiently recent confirmation.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use log::info;
use log::warn;
use tokio::time::sleep;

use crate::clients;
use crate::state::ActiveConfiguration;
use crate::state::OWNER_KEY;
use crate::state::State;
use crate::state::WATCHED_PREFIX;
use model::Time;
use platform::configuration;
use platform::store::Change;
use platform::store::Item;
use platform::store::StoreError;

/// Part of the time in which a new configuration has to take effect that is reserved for calls in
/// flight; a confirmation expires earlier by this much.
const CONFIRM_MARGIN: Duration = Duration::from_millis(400);
/// Part of a confirmation's lifetime reserved for the answer of a watch to arrive.
const WATCH_MARGIN: Duration = Duration::from_millis(600);
/// Timeout of a poll for changes, which transfers few bytes.
const POLL_TIMEOUT: Duration = Duration::from_millis(700);
/// Initial timeout of a read of the whole configuration.
const READ_TIMEOUT: Duration = Duration::from_millis(700);
/// Maximum timeout of such a read. A configuration of 1 MB, a third larger in Base64, takes about a
/// second on a link of 10 Mbit/s, and several VMs may share the link between regions.
const READ_TIMEOUT_MAX: Duration = Duration::from_millis(5_600);
/// How long a poll waits for changes: the minimum, since the store takes whole milliseconds.
const POLL_WAIT: Duration = Duration::from_millis(1);
/// How much earlier than asked for the store may end a wait, since its timer and clock differ from
/// ours.
const TIMER_TOLERANCE: Duration = Duration::from_millis(50);
/// Pause after a failed store call.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// Maximum age of a confirmation on which the answer to a request may rely.
pub fn confirmation_lifetime(state: &State) -> Duration {
    state.settings.apply.saturating_sub(CONFIRM_MARGIN)
}

/// Activates a stored configuration unless the active one is as new or newer.
pub fn apply_configuration(state: &State, item: &Item) {
    let active = state.active_configuration();
    if active.as_ref().is_some_and(|active| active.revision >= item.revision) {
        return;
    }
    let decoded = item.value.as_deref().map_err(String::clone).and_then(configuration::decode_all);
    match decoded {
        Ok((policy, limits)) => {
            if active.is_some_and(|active| active.policy.version > policy.version) {
                warn!(version = policy.version, revision = item.revision;
                    "configuration: stored version is older; the newer one stays in force");
                return;
            }
            info!(version = policy.version, revision = item.revision; "configuration: in force");
            state.metrics.set_gauge("configuration_version", policy.version);
            let configuration =
                ActiveConfiguration { policy: Arc::new(policy), revision: item.revision };
            *state.configuration.borrow_mut() = Some(configuration);
            state.configuration_changed.send_replace(item.revision);
            clients::apply_limits(state, &limits);
        }
        Err(error) => {
            warn!(revision = item.revision, error = error.as_str();
                "configuration: cannot be decoded; the last valid one stays in force");
        }
    }
}

/// Time since which the configuration has to be confirmed for a caller's request that is served now.
pub fn confirmed_since(state: &State) -> Time {
    state.passed.get().confirmed_since(state.clock.now(), confirmation_lifetime(state))
}

/// Polls the store for changes of the configuration unless it was confirmed at `since` or later.
///
/// Returns whether the active configuration is confirmed to be the latest.
pub async fn ensure_confirmed(state: &State, since: Time) -> bool {
    if state.confirmed_at.get() > since && state.active_configuration().is_some() {
        return true;
    }
    let result = match state.watched_revision.get() {
        Some(after) => poll_changes(state, after).await.map(drop),
        None => Err(StoreError::Refused("configuration has not been read yet".to_owned())),
    };
    match result {
        Ok(()) => true,
        Err(error) => {
            warn!(error = error.to_string().as_str(), age_ms = as_millis(state.configuration_age());
                "configuration: cannot confirm that it is the latest");
            false
        }
    }
}

/// Watches the configuration, the evacuations and the ownership for as long as the process runs.
///
/// After a failure it polls for changes since the last known revision. Reading everything again
/// would transfer the whole configuration, and many VMs doing so in turn would saturate the link
/// between regions.
pub async fn follow(state: Rc<State>) {
    let mut timeout = READ_TIMEOUT;
    let mut last_failed = false;
    loop {
        let result = match state.watched_revision.get() {
            None => read_all(&state, timeout).await,
            Some(after) if last_failed => poll_changes(&state, after).await,
            Some(after) => tokio::select! {
                result = watch_changes(&state, after) => result,
                // Another store call failed; polling detects sooner than a waiting watch whether
                // the store still answers.
                () = state.poll_store.notified() => poll_changes(&state, after).await,
            },
        };
        match result {
            Ok(revision) => {
                state.set_store_reachable(true);
                state.watched_revision.set(Some(revision));
                (timeout, last_failed) = (READ_TIMEOUT, false);
            }
            Err(StoreError::Compacted) => {
                info!(revision = state.watched_revision.get().unwrap_or(0);
                    "store: history has been compacted; reading again");
                state.watched_revision.set(None);
            }
            Err(error) => {
                warn!(error = error.to_string().as_str(); "store: watch failed");
                state.set_store_reachable(false);
                last_failed = true;
                timeout = (timeout * 2).min(READ_TIMEOUT_MAX);
                sleep(RETRY_PAUSE).await;
            }
        }
    }
}

/// Reads the configuration, the evacuations and the ownership, and returns the store revision of
/// the read.
async fn read_all(state: &State, timeout: Duration) -> Result<u64, StoreError> {
    let sent = state.clock.now();
    let (items, revision) = state.store.range(WATCHED_PREFIX, timeout).await?;
    state.evacuations.borrow_mut().replace(&items, revision, sent);
    let mut has_owner = false;
    for item in &items {
        match item.key.as_str() {
            configuration::KEY => apply_configuration(state, item),
            OWNER_KEY => has_owner = true,
            _ => {}
        }
    }
    state.confirmed_at.set(state.confirmed_at.get().max(sent));
    state.vacant.send_if_modified(|vacant| std::mem::replace(vacant, !has_owner) == has_owner);
    Ok(revision)
}

/// Waits for changes after store revision `after`.
async fn watch_changes(state: &State, after: u64) -> Result<u64, StoreError> {
    let longest = confirmation_lifetime(state).saturating_sub(WATCH_MARGIN);
    let known = state.evacuations.borrow().confirmed_at();
    let age = known.map_or(Duration::ZERO, |at| state.clock.now().since(at));
    let wait = watch_wait(longest, state.settings.jobs.evacuate, age);
    fetch_changes(state, after, wait, wait + WATCH_MARGIN / 2).await
}

/// Time for which a watch waits for changes, at most `longest`, if the evacuations have to be known
/// within `bound` and are `age` old.
///
/// The other half of the bound is left for a second attempt if the connection is silent. An answer
/// with changes confirms only the time at which its call was sent, so the next watch waits for less.
pub fn watch_wait(longest: Duration, bound: Option<Duration>, age: Duration) -> Duration {
    let most = bound.map_or(longest, |bound| (bound / 2).saturating_sub(age));
    longest.min(most).max(POLL_WAIT)
}

/// Reads changes after store revision `after` without waiting for new ones.
async fn poll_changes(state: &State, after: u64) -> Result<u64, StoreError> {
    fetch_changes(state, after, POLL_WAIT, POLL_TIMEOUT).await
}

/// Applies changes after store revision `after`, and returns the revision to continue from.
async fn fetch_changes(
    state: &State,
    after: u64,
    wait: Duration,
    timeout: Duration,
) -> Result<u64, StoreError> {
    let sent = state.clock.now();
    let (changes, revision) = state.store.watch(WATCHED_PREFIX, after, wait, timeout).await?;
    let held = held_time(state.clock.now().since(sent), wait, !changes.is_empty());
    state.evacuations.borrow_mut().apply(&changes, revision, sent, held);
    for change in changes {
        match change {
            Change::Written(item) if item.key == configuration::KEY => {
                apply_configuration(state, &item)
            }
            Change::Written(item) if item.key == OWNER_KEY => {
                state.vacant.send_replace(false);
            }
            Change::Removed(key) if key == OWNER_KEY => {
                state.vacant.send_replace(true);
            }
            _ => {}
        }
    }
    state.confirmed_at.set(state.confirmed_at.get().max(sent + held));
    Ok(revision)
}

/// How long the store has held back an answer that took `took`, at least.
///
/// An answer with changes is not held back, and may have been on its way for almost all of the time.
pub fn held_time(took: Duration, wait: Duration, changed: bool) -> Duration {
    match !changed && took + TIMER_TOLERANCE >= wait {
        true => took.min(wait).saturating_sub(TIMER_TOLERANCE),
        false => Duration::ZERO,
    }
}

fn as_millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
