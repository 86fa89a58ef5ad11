//! What one entry VM shows of its view.

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

/// One member in a snapshot.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct MemberView {
    /// The member.
    pub member: Member,
    /// Its state.
    pub state: MemberState,
    /// Whether it is within reach, directly or through others.
    pub reachable: bool,
    /// Time since anybody heard it; nothing if nobody did.
    pub silence: Option<Duration>,
    /// Highest revision that it is known to have in force.
    pub revision: Revision,
}

/// How the store answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct StoreHealth {
    /// Whether the last call got an answer.
    pub healthy: bool,
    /// Time since that changed.
    pub since: Duration,
    /// Time since the last answer.
    pub answered: Option<Duration>,
    /// Whether this entry VM holds a lease.
    pub lease: bool,
}

/// What one entry VM knows of the fleet.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Snapshot {
    /// The entry VM.
    pub me: Incarnation,
    /// All members that it remembers.
    pub members: Vec<MemberView>,
    /// Owners of shards.
    pub owners: Vec<Ownership>,
    /// The revision in force here, or 0.
    pub revision: Revision,
    /// How it compares with the highest revision known.
    pub text: TextState,
    /// Highest revision that is known to exist.
    pub highest: Revision,
    /// Age of the store's word that no revision is above the one in force; nothing if there was
    /// none.
    pub checked: Option<Duration>,
    /// Whether this entry VM can vouch that its configuration is current.
    pub current: bool,
    /// How the store answers.
    pub store: StoreHealth,
    /// Whether this entry VM takes no new work.
    pub leaving: bool,
}

impl Fleet {
    /// What this entry VM knows of the fleet, as of the last event.
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
