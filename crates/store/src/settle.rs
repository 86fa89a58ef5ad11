//! Finds out what became of a compare-and-swap whose answer was lost.

use bytes::Bytes;

use crate::api::Cas;
use crate::api::Entry;
use crate::api::LeaseId;
use crate::api::Purpose;
use crate::api::Store;
use crate::error::Error;

/// What became of a compare-and-swap.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CasResolution {
    /// It took effect, at first or now, and still stands.
    Committed {
        /// The version that holds the value.
        version: u64,
    },
    /// Another change came first or after. Whether this one ever took effect shows only in what
    /// the later value tells of its predecessors.
    Superseded {
        /// What the key holds instead.
        current: Option<Entry>,
    },
}

/// Makes a compare-and-swap again and compares what it finds.
///
/// The first call may still be on its way, so a read alone proves nothing. A second swap from the
/// same version can win only where the first one lost, and the other way round. The value must
/// differ from that of any other write, for example by a write id inside it.
///
/// # Errors
/// The store gave no answer again; the outcome is as unknown as before.
pub async fn resolve_cas<S: Store>(
    store: &S,
    purpose: Purpose,
    key: &str,
    expect: u64,
    value: Bytes,
    lease: Option<LeaseId>,
) -> Result<CasResolution, Error> {
    let current = match store.cas(purpose, key, expect, value.clone(), lease).await? {
        Cas::Committed { version } => return Ok(CasResolution::Committed { version }),
        Cas::Conflict { current } => current,
    };
    match current {
        Some(entry) if entry.value == value => {
            Ok(CasResolution::Committed { version: entry.version })
        }
        current => Ok(CasResolution::Superseded { current }),
    }
}
