//! Invariants that hold at any moment, and the agreement required after the faults have ended.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::MemberState;
use crate::trial::world::World;
use model::Epoch;
use model::Incarnation;
use model::Revision;
use model::ShardId;

/// Maximum time from the end of the faults until the members agree.
pub const CONVERGENCE_TIMEOUT: Duration = Duration::from_secs(60);
/// Interval between checks for agreement.
const AGREEMENT_CHECK_INTERVAL: Duration = Duration::from_millis(500);

impl World {
    /// Asserts the invariants that hold at any moment.
    pub(crate) fn check_invariants(&self) {
        let mut epochs: BTreeMap<(&ShardId, Epoch), Incarnation> = BTreeMap::new();
        for node in (0..self.nodes.len()).filter(|node| self.nodes[*node].up) {
            self.check_confirmed_revision(node);
            let fleet = &self.nodes[node].fleet;
            let local = self.local_time(node);
            for shard in fleet.shards.keys() {
                let Some(epoch) = fleet.epoch(local, shard) else { continue };
                let other = epochs.insert((shard, epoch), fleet.me().incarnation);
                assert!(other.is_none(), "shard {shard} has two owners in epoch {epoch}");
            }
        }
    }

    /// Asserts that the store held no higher revision than the member's at the time for which the
    /// member counts its revision as confirmed.
    fn check_confirmed_revision(&self, node: usize) {
        let fleet = &self.nodes[node].fleet;
        let Some(checked) = fleet.replica.checked_at() else { return };
        let stored = self.store.revision_at(self.run_time(node, checked));
        let revision = fleet.revision();
        let name = &fleet.me().vm;
        assert!(stored <= revision, "{name} counts {revision} as confirmed, stored was {stored}");
    }

    /// Runs until all members agree.
    pub(crate) fn converge(&mut self) {
        let ended = self.now;
        loop {
            let Err(reason) = self.check_agreement() else {
                self.report.convergence_time = self.now.since(ended);
                return;
            };
            let waited = self.now.since(ended);
            assert!(
                waited < CONVERGENCE_TIMEOUT,
                "no agreement {waited:?} after the faults: {reason}"
            );
            self.run_until(self.now + AGREEMENT_CHECK_INTERVAL);
        }
    }

    fn check_agreement(&self) -> Result<(), String> {
        let up: Vec<usize> = (0..self.nodes.len()).filter(|node| self.is_up(*node)).collect();
        if up.len() != self.plan.members() as usize {
            return Err(format!("{} of {} members are up", up.len(), self.plan.members()));
        }
        for node in &up {
            self.check_text(*node)?;
            self.check_members(*node, &up)?;
            self.check_owners(*node)?;
        }
        Ok(())
    }

    fn check_text(&self, node: usize) -> Result<(), String> {
        let fleet = &self.nodes[node].fleet;
        let old = self.store.revision_at(self.now - Duration::from_secs(2));
        let name = &fleet.me().vm;
        if fleet.revision() < old || fleet.revision() == Revision(0) {
            return Err(format!("{name} has {}, stored is {old}", fleet.revision()));
        }
        if !fleet.snapshot().current && fleet.replica.state() == crate::TextState::Current {
            return Err(format!("{name} has no recent confirmation of {}", fleet.revision()));
        }
        Ok(())
    }

    fn check_members(&self, node: usize, up: &[usize]) -> Result<(), String> {
        let fleet = &self.nodes[node].fleet;
        let snapshot = fleet.snapshot();
        for other in up {
            let me = self.nodes[*other].fleet.me();
            let seen = snapshot.members.iter().find(|m| m.member.incarnation == me.incarnation);
            if seen.is_none_or(|seen| seen.state != MemberState::Live) {
                return Err(format!("{} sees {} as {seen:?}", fleet.me().vm, me.vm));
            }
        }
        let is_down = |incarnation| {
            !up.iter().any(|other| self.nodes[*other].fleet.me().incarnation == incarnation)
        };
        let mut live = snapshot.members.iter().filter(|m| m.state == MemberState::Live);
        match live.find(|m| is_down(m.member.incarnation)) {
            Some(stale) => Err(format!("{} sees {} as live", fleet.me().vm, stale.member.vm)),
            None => Ok(()),
        }
    }

    fn check_owners(&self, node: usize) -> Result<(), String> {
        let fleet = &self.nodes[node].fleet;
        for shard in fleet.shards.keys() {
            let Some(stored) = self.store.owners().get(shard) else {
                return Err(format!("shard {shard} has no owner"));
            };
            let seen = fleet.view.owners.get(shard).map(|owner| &owner.ownership);
            if seen != Some(stored) {
                return Err(format!("{} sees {seen:?}, stored is {stored:?}", fleet.me().vm));
            }
            let holds = |n: &crate::trial::world::Node| {
                n.up && n.fleet.local_shards.get(shard).and_then(|h| h.owned_epoch())
                    == Some(stored.epoch)
            };
            if self.nodes.iter().filter(|n| holds(n)).count() != 1 {
                return Err(format!(
                    "shard {shard} is stored as {stored:?}, but not owned by exactly one member"
                ));
            }
        }
        Ok(())
    }
}
