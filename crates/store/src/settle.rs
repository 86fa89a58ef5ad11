//! Determines the outcome of a compare-and-swap whose response was lost.

use bytes::Bytes;

use crate::api::Cas;
use crate::api::Entry;
use crate::api::LeaseId;
use crate::api::Purpose;
use crate::api::Store;
use crate::error::Error;

/// Outcome of a compare-and-swap whose response was lost.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CasResolution {
    /// The first or the second attempt took effect, and the key still holds the value.
    Committed {
        /// Version of the key that holds the value.
        version: u64,
    },
    /// Another write changed the key before or after this one. Only the history recorded in the
    /// current value can show whether this write ever took effect.
    Superseded {
        /// Current entry of the key, or `None` if it is absent.
        current: Option<Entry>,
    },
}

/// Repeats a compare-and-swap and infers the outcome of the first attempt from the result.
///
/// A read alone is not enough, since the first request may still be in flight. At most one of two
/// swaps from the same version can succeed, so the second one either takes effect in place of the
/// first or finds what the key holds. The value must differ from that of every other write, for
/// example by containing a unique write id.
///
/// # Errors
/// The repeated call failed too; the outcome of the first is still unknown.
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
