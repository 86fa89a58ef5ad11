//! Heartbeat tree: the peers that a member exchanges heartbeats with.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::Fleet;
use crate::tuning::LOCAL_SILENCE_LIMIT;
use crate::view::Peer;
use model::Incarnation;
use model::RegionId;
use model::Time;
use model::ZoneId;

/// Maximum number of members of another zone or region tried until one is heard.
const MAX_CONTACT_ATTEMPTS: usize = 4;

impl Fleet {
    /// Whether this member is the relay of its availability zone.
    pub fn is_relay(&self) -> bool {
        let zone = &self.me.zone;
        self.view.relay(|member| member.zone == *zone) == Some(self.me.incarnation)
    }

    /// Whether this member is the relay of its region.
    pub(crate) fn is_region_relay(&self) -> bool {
        let region = &self.me.region;
        self.view.relay(|member| member.region == *region) == Some(self.me.incarnation)
    }

    /// Members to which this member initiates heartbeats.
    pub(crate) fn heartbeat_targets(&self) -> BTreeSet<Incarnation> {
        let others = || {
            let members = self.view.members.values();
            members.filter(|p| !p.is_gone() && p.member.incarnation != self.me.incarnation)
        };
        let mut targets = BTreeSet::new();
        targets.extend(others().filter(|p| p.member.zone == self.me.zone).map(incarnation));
        if self.is_relay() {
            let region = others().filter(|p| p.member.region == self.me.region);
            let mut zones: BTreeMap<&ZoneId, Vec<&Peer>> = BTreeMap::new();
            for peer in region.filter(|p| p.member.zone != self.me.zone) {
                zones.entry(&peer.member.zone).or_default().push(peer);
            }
            for peers in zones.values() {
                targets.extend(contacts(peers, self.now));
            }
        }
        if self.is_region_relay() {
            let mut regions: BTreeMap<&RegionId, Vec<&Peer>> = BTreeMap::new();
            for peer in others().filter(|p| p.member.region != self.me.region) {
                regions.entry(&peer.member.region).or_default().push(peer);
            }
            for peers in regions.values() {
                targets.extend(contacts(peers, self.now));
            }
        }
        targets
    }

    /// Members that initiate heartbeats to this one and get answers.
    pub(crate) fn initiators(&self) -> BTreeSet<Incarnation> {
        let recent = |at: Time| self.now.since(at) < LOCAL_SILENCE_LIMIT;
        let links = self.links.iter().filter(|(_, link)| link.last_initiated.is_some_and(recent));
        let present = |incarnation: &Incarnation| self.view.members.contains_key(incarnation);
        links.map(|(incarnation, _)| *incarnation).filter(present).collect()
    }
}

/// Selects the members to contact, in order of preference, up to the first that is heard.
fn contacts(peers: &[&Peer], now: Time) -> Vec<Incarnation> {
    let mut order: Vec<&Peer> = peers.to_vec();
    order.sort_by_key(|p| (!p.is_eligible(), p.member.incarnation));
    let mut chosen = Vec::new();
    for peer in order.into_iter().take(MAX_CONTACT_ATTEMPTS) {
        chosen.push(peer.member.incarnation);
        if is_recently_heard(peer, now) {
            break;
        }
    }
    chosen
}

fn is_recently_heard(peer: &Peer, now: Time) -> bool {
    peer.last_heard.is_some_and(|at| now.since(at) < LOCAL_SILENCE_LIMIT)
}

fn incarnation(peer: &Peer) -> Incarnation {
    peer.member.incarnation
}
