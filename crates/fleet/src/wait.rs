//! Progress of a revision until it is in force on every entry VM.

use serde::Serialize;

use crate::MemberState;
use crate::Snapshot;
use model::Revision;
use model::VmId;

/// Tracks whether a revision is in force on every entry VM.
#[derive(Clone, Copy, Debug)]
pub struct Wait {
    revision: Revision,
}

/// How far a revision has spread.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Progress {
    /// VMs known to have the revision or a higher one in force.
    pub confirmed: Vec<VmId>,
    /// Reachable VMs that have not confirmed the revision yet.
    pub pending: Vec<VmId>,
    /// Unreachable VMs that have not confirmed the revision; whether it is in force there is
    /// unknown.
    pub unknown: Vec<VmId>,
}

impl Progress {
    /// Whether every reachable VM has confirmed the revision.
    pub fn is_done(&self) -> bool {
        self.pending.is_empty()
    }
}

impl Wait {
    /// Waits for `revision`.
    pub fn new(revision: Revision) -> Wait {
        Wait { revision }
    }

    /// Returns how far the revision has spread according to one entry VM's snapshot.
    pub fn progress(&self, snapshot: &Snapshot) -> Progress {
        let mut progress = Progress::default();
        let present = snapshot.members.iter().filter(|m| m.state != MemberState::Gone);
        for member in present {
            let list = if member.revision >= self.revision {
                &mut progress.confirmed
            } else if member.reachable {
                &mut progress.pending
            } else {
                &mut progress.unknown
            };
            list.push(member.member.vm.clone());
        }
        progress
    }
}
