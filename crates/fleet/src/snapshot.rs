//! Published state of one entry VM.

use std::time::Duration;

use serde::Serialize;

use crate::Fleet;
use crate::Member;
use crate::MemberState;
use crate::Ownership;
use crate::TextState;
use crate::machine::Lifecycle;
use model::Incarnation;
use model::Revision;

/// Member in a snapshot.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct MemberView {
    /// The member.
    pub member: Member,
    /// Its state.
    pub state: MemberState,
    /// Whether it is reachable, directly or according to other members.
    pub reachable: bool,
    /// Time since any member heard it; `None` if none did.
    pub silence: Option<Duration>,
    /// Highest revision that it is known to have in force.
    pub revision: Revision,
}

/// Health of the store as seen by one entry VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct StoreHealth {
    /// Whether the last call was answered.
    pub healthy: bool,
    /// Time since `healthy` last changed.
    pub since: Duration,
    /// Time since the last answer; `None` if there was none.
    pub answered: Option<Duration>,
    /// Whether this entry VM holds a valid lease.
    pub lease: bool,
}

/// What one entry VM knows about the fleet.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Snapshot {
    /// Incarnation of this entry VM.
    pub me: Incarnation,
    /// All remembered members, including those that are gone.
    pub members: Vec<MemberView>,
    /// Last known owner of each shard.
    pub owners: Vec<Ownership>,
    /// Revision in force on this entry VM; 0 if there is none.
    pub revision: Revision,
    /// State of the configuration relative to the highest known revision.
    pub text: TextState,
    /// Highest revision known to exist.
    pub highest: Revision,
    /// Time since the store confirmed that no revision is higher than the one in force; `None` if
    /// it never did.
    pub checked: Option<Duration>,
    /// Whether the revision in force is the highest known and was confirmed recently.
    pub current: bool,
    /// Health of the store.
    pub store: StoreHealth,
    /// Whether this entry VM accepts no new work.
    pub leaving: bool,
}

impl Fleet {
    /// Returns what this entry VM knows about the fleet as of the last event.
    pub fn snapshot(&self) -> Snapshot {
        let checked = self.replica.checked_at().map(|at| self.now.since(at));
        let latest = self.replica.highest_known() == self.replica.revision();
        Snapshot {
            me: self.me.incarnation,
            members: self.view.members.values().map(|peer| self.member_view(peer)).collect(),
            owners: self.view.owners.values().map(|o| o.ownership.clone()).collect(),
            revision: self.replica.revision(),
            text: self.replica.state(),
            highest: self.replica.highest_known(),
            checked,
            current: latest
                && checked.is_some_and(|age| age <= self.store_intervals().max_check_age()),
            store: StoreHealth {
                healthy: self.calls.is_healthy(),
                since: self.now.since(self.calls.health_since()),
                answered: self.calls.last_answer().map(|at| self.now.since(at)),
                lease: self.lease.is_some_and(|lease| self.now < lease.valid_until),
            },
            leaving: self.lifecycle != Lifecycle::Serving,
        }
    }

    fn member_view(&self, peer: &crate::view::Peer) -> MemberView {
        let is_me = peer.member.incarnation == self.me.incarnation;
        let silence = peer.last_contact().map(|at| self.now.since(at));
        MemberView {
            member: peer.member.clone(),
            state: peer.state,
            reachable: peer.reachable,
            silence: if is_me { Some(Duration::ZERO) } else { silence },
            revision: peer.revision,
        }
    }
}
