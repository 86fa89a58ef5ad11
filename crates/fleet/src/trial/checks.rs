//! What must hold at any moment, and what must hold once the faults have ended.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::MemberState;
use crate::trial::world::World;
use model::Epoch;
use model::Incarnation;
use model::Revision;
use model::ShardId;

/// Time within which the fleet agrees after the faults have ended.
pub const CONVERGENCE: Duration = Duration::from_secs(60);
/// Between two looks whether the fleet agrees.
const LOOK: Duration = Duration::from_millis(500);

impl World {
    /// Checks what must hold at any moment.
    pub(crate) fn check_now(&self) {
        let mut epochs: BTreeMap<(&ShardId, Epoch), Incarnation> = BTreeMap::new();
        for node in (0..self.nodes.len()).filter(|node| self.nodes[*node].up) {
            self.check_vouching(node);
            let fleet = &self.nodes[node].fleet;
            let local = self.local(node);
            for shard in fleet.shards.keys() {
                let Some(epoch) = fleet.epoch(local, shard) else { continue };
                let other = epochs.insert((shard, epoch), fleet.me().incarnation);
                assert!(other.is_none(), "shard {shard} has two owners in epoch {epoch}");
            }
        }
    }

    /// A member that vouches for its configuration had the store's latest when it says.
    fn check_vouching(&self, node: usize) {
        let fleet = &self.nodes[node].fleet;
        let Some(checked) = fleet.spread.checked() else { return };
        let stored = self.store.revision_at(self.global(node, checked));
        let revision = fleet.revision();
        let name = &fleet.me().vm;
        assert!(stored <= revision, "{name} vouches for {revision}, stored was {stored}");
    }

    /// Runs until the fleet agrees.
    pub(crate) fn converge(&mut self) {
        let ended = self.now;
        loop {
            let Err(reason) = self.agrees() else {
                self.report.converged = self.now.since(ended);
                return;
            };
            let waited = self.now.since(ended);
            assert!(waited < CONVERGENCE, "no agreement {waited:?} after the faults: {reason}");
            self.until(self.now + LOOK);
        }
    }

    fn agrees(&self) -> Result<(), String> {
        let up: Vec<usize> = (0..self.nodes.len()).filter(|node| self.is_up(*node)).collect();
        if up.len() != self.plan.members() as usize {
            return Err(format!("{} of {} members are up", up.len(), self.plan.members()));
        }
        for node in &up {
            self.agrees_on_text(*node)?;
            self.agrees_on_members(*node, &up)?;
            self.agrees_on_owners(*node)?;
        }
        Ok(())
    }

    fn agrees_on_text(&self, node: usize) -> Result<(), String> {
        let fleet = &self.nodes[node].fleet;
        let old = self.store.revision_at(self.now - Duration::from_secs(2));
        let name = &fleet.me().vm;
        if fleet.revision() < old || fleet.revision() == Revision(0) {
            return Err(format!("{name} has {}, stored is {old}", fleet.revision()));
        }
        if !fleet.snapshot().current && fleet.spread.state() == crate::TextState::Current {
            return Err(format!("{name} cannot vouch for {}", fleet.revision()));
        }
        Ok(())
    }

    fn agrees_on_members(&self, node: usize, up: &[usize]) -> Result<(), String> {
        let fleet = &self.nodes[node].fleet;
        let snapshot = fleet.snapshot();
        for other in up {
            let me = self.nodes[*other].fleet.me();
            let seen = snapshot.members.iter().find(|m| m.member.incarnation == me.incarnation);
            if seen.is_none_or(|seen| seen.state != MemberState::Live) {
                return Err(format!("{} sees {} as {seen:?}", fleet.me().vm, me.vm));
            }
        }
        let gone = |incarnation| {
            !up.iter().any(|other| self.nodes[*other].fleet.me().incarnation == incarnation)
        };
        let mut live = snapshot.members.iter().filter(|m| m.state == MemberState::Live);
        match live.find(|m| gone(m.member.incarnation)) {
            Some(ghost) => Err(format!("{} sees {} as live", fleet.me().vm, ghost.member.vm)),
            None => Ok(()),
        }
    }

    fn agrees_on_owners(&self, node: usize) -> Result<(), String> {
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
                n.up && n.fleet.holdings.get(shard).and_then(|h| h.owned()) == Some(stored.epoch)
            };
            if self.nodes.iter().filter(|n| holds(n)).count() != 1 {
                return Err(format!("shard {shard} is stored as {stored:?}, nobody holds it"));
            }
        }
        Ok(())
    }
}
