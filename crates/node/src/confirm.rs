//! Follows the configuration and the ownership.
//!
//! One watch covers both. Each of its answers confirms that the configuration known here is the
//! newest; a request that depends on that asks for a confirmation that is recent enough.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use log::info;
use log::warn;
use tokio::time::sleep;

use crate::state::ActiveConfiguration;
use crate::state::OWNER_KEY;
use crate::state::State;
use crate::state::WATCHED_PREFIX;
use platform::configuration;
use platform::store::Change;
use platform::store::Item;
use platform::store::StoreError;

/// Part of the time in which a change has to be in force that a confirmation may not use up,
/// for calls on their way.
const CONFIRM_MARGIN: Duration = Duration::from_millis(400);
/// Part of a confirmation's life for the answer of a watch to arrive.
const WATCH_MARGIN: Duration = Duration::from_millis(600);
/// Limit on a short look for changes, which moves few bytes.
const POLL_TIMEOUT: Duration = Duration::from_millis(700);
/// Limit on the first read of the whole configuration.
const READ_TIMEOUT: Duration = Duration::from_millis(700);
/// Longest limit on such a read: a configuration of a megabyte, a third longer on the way, takes
/// about a second on a link of 10 Mbit/s, and several VMs may share the one between regions.
const READ_TIMEOUT_MAX: Duration = Duration::from_millis(5_600);
/// How long a short look waits for changes; the store takes whole milliseconds.
const POLL_WAIT: Duration = Duration::from_millis(1);
/// Pause after a failed call.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// How old a confirmation may be on which a refusal rests.
pub fn confirmation_lifetime(state: &State) -> Duration {
    state.settings.apply.saturating_sub(CONFIRM_MARGIN)
}

/// Puts a stored configuration in force unless it is older than the one known.
pub fn apply_configuration(state: &State, item: &Item) {
    let active = state.active_configuration();
    if active.as_ref().is_some_and(|active| active.revision >= item.revision) {
        return;
    }
    match configuration::decode(&item.value) {
        Ok(policy) => {
            if active.is_some_and(|active| active.policy.version > policy.version) {
                warn!(version = policy.version, revision = item.revision;
                    "configuration: an older version was stored; the newer one stays in force");
                return;
            }
            info!(version = policy.version, revision = item.revision; "configuration: in force");
            state.metrics.set_gauge("configuration_version", policy.version);
            let configuration =
                ActiveConfiguration { policy: Arc::new(policy), revision: item.revision };
            *state.configuration.borrow_mut() = Some(configuration);
            state.configuration_changed.send_replace(item.revision);
        }
        Err(error) => {
            warn!(revision = item.revision, error = error.as_str();
                "configuration: unreadable; the last good one stays in force");
        }
    }
}

/// Asks the store for the newest configuration unless it was confirmed lately.
pub async fn ensure_confirmed(state: &State) -> bool {
    if state.configuration_age() < confirmation_lifetime(state)
        && state.active_configuration().is_some()
    {
        return true;
    }
    let result = match state.watched_revision.get() {
        Some(after) => poll_changes(state, after).await.map(drop),
        None => Err(StoreError::Refused("not read yet".to_owned())),
    };
    match result {
        Ok(()) => true,
        Err(error) => {
            warn!(error = error.to_string().as_str(), age_ms = as_millis(state.configuration_age());
                "configuration: cannot be confirmed");
            false
        }
    }
}

/// Follows the configuration and the ownership for as long as the process runs.
///
/// After a failure it looks for changes from where it was. Reading all anew moves the whole
/// configuration, and many VMs that do so in turn would fill the link between regions.
pub async fn follow(state: Rc<State>) {
    let mut timeout = READ_TIMEOUT;
    let mut last_failed = false;
    loop {
        let result = match state.watched_revision.get() {
            None => read_all(&state, timeout).await,
            Some(after) if last_failed => poll_changes(&state, after).await,
            Some(after) => tokio::select! {
                result = watch_changes(&state, after) => result,
                // Some other call failed: a watch that waits would tell only later.
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
                info!(revision = state.watched_revision.get().unwrap_or(0); "store: history is gone, read anew");
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

async fn read_all(state: &State, timeout: Duration) -> Result<u64, StoreError> {
    let sent = state.clock.now();
    let (items, revision) = state.store.range(WATCHED_PREFIX, timeout).await?;
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

/// Waits for changes after a store revision.
async fn watch_changes(state: &State, after: u64) -> Result<u64, StoreError> {
    let wait = confirmation_lifetime(state).saturating_sub(WATCH_MARGIN);
    fetch_changes(state, after, wait, wait + WATCH_MARGIN / 2).await
}

/// Asks for changes after a store revision without waiting for any.
async fn poll_changes(state: &State, after: u64) -> Result<u64, StoreError> {
    fetch_changes(state, after, POLL_WAIT, POLL_TIMEOUT).await
}

async fn fetch_changes(
    state: &State,
    after: u64,
    wait: Duration,
    timeout: Duration,
) -> Result<u64, StoreError> {
    let sent = state.clock.now();
    let (changes, revision) = state.store.watch(WATCHED_PREFIX, after, wait, timeout).await?;
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
    // The answer was made when its wait ended, and is no older than its way back.
    let waited = state.clock.now().since(sent).min(wait);
    state.confirmed_at.set(state.confirmed_at.get().max(sent + waited));
    Ok(revision)
}

fn as_millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
