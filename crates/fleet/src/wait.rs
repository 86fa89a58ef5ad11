//! Waiting until a revision is in force on every entry VM.

use serde::Serialize;

use crate::MemberState;
use crate::Snapshot;
use model::Revision;
use model::VmId;

/// Waits until a revision is in force on every entry VM.
#[derive(Clone, Copy, Debug)]
pub struct Wait {
    revision: Revision,
}

/// How far a revision has spread.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Progress {
    /// VMs that confirm the revision or a higher one.
    pub confirmed: Vec<VmId>,
    /// VMs within reach that do not confirm it yet.
    pub pending: Vec<VmId>,
    /// VMs out of reach that have not confirmed it: whether it is in force there is unknown.
    pub unknown: Vec<VmId>,
}

impl Progress {
    /// Whether every VM within reach confirms the revision.
    pub fn is_done(&self) -> bool {
        self.pending.is_empty()
    }
}

impl Wait {
    /// Waits for `revision`.
    pub fn new(revision: Revision) -> Wait {
        Wait { revision }
    }

    /// How far the revision has spread by one entry VM's view.
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
