//! Tests of the evidence by which a member becomes silent or gone.

use std::sync::Arc;
use std::time::Duration;

use fleet::Action;
use fleet::Event;
use fleet::Fleet;
use fleet::HeardPeer;
use fleet::Heartbeat;
use fleet::Member;
use fleet::MemberState;
use fleet::Message;
use fleet::Ownership;
use fleet::Shard;
use fleet::StoreOutcome;
use fleet::StoreRequest;
use fleet::VmEntry;
use fleet::Wait;
use model::Epoch;
use model::Incarnation;
use model::RegionId;
use model::Revision;
use model::ShardId;
use model::Time;
use model::VmId;
use model::ZoneId;

fn member(number: u64, vm: &str) -> Member {
    Member {
        incarnation: Incarnation(number),
        vm: VmId::from(vm),
        zone: ZoneId::from("north-a"),
        region: RegionId::from("north"),
        address: format!("{vm}:8090"),
    }
}

fn entry(vm: &str) -> VmEntry {
    VmEntry { vm: VmId::from(vm), address: format!("{vm}:8090"), leaving: false }
}

/// One member under test; the test plays the other members and the store.
struct Harness {
    fleet: Fleet,
    now: Time,
    seq: u64,
    /// Members that have a key in the store.
    stored: Vec<Member>,
    owners: Vec<Ownership>,
    actions: Vec<Action>,
}

impl Harness {
    fn new() -> Harness {
        let fleet = Fleet::new(member(1, "entry-1"), 1);
        let (stored, owners, actions) = (Vec::new(), Vec::new(), Vec::new());
        Harness { fleet, now: Time::ZERO, seq: 0, stored, owners, actions }
    }

    fn handle(&mut self, event: Event) {
        let mut out = Vec::new();
        self.fleet.handle(self.now, event, &mut out);
        while !out.is_empty() {
            let action = out.remove(0);
            if let Action::Store { call, request } = &action {
                let outcome = self.answer(request);
                let event = Event::Store { call: *call, outcome };
                self.fleet.handle(self.now, event, &mut out);
            }
            self.actions.push(action);
        }
    }

    fn answer(&self, request: &StoreRequest) -> StoreOutcome {
        match request {
            StoreRequest::List => {
                StoreOutcome::Listed { members: self.stored.clone(), owners: self.owners.clone() }
            }
            StoreRequest::Read => {
                StoreOutcome::Text { revision: Revision(1), text: Arc::from("text") }
            }
            StoreRequest::Claim { expect: Some(Epoch(5)), .. } => {
                StoreOutcome::Won { epoch: Epoch(8) }
            }
            StoreRequest::Claim { .. } => StoreOutcome::Absent,
            _ => StoreOutcome::Done,
        }
    }

    fn heartbeat(&mut self, from: &Member, hears: &[u64], revision: u64) {
        self.seq += 1;
        let heard_peer = |number: &u64| HeardPeer {
            incarnation: Incarnation(*number),
            age_ms: 100,
            revision: Revision(revision),
        };
        let heartbeat = Heartbeat {
            seq: self.seq,
            echo: None,
            reply_only: false,
            member: Some(from.clone()),
            revision: Revision(revision),
            check_age: None,
            heard_peers: hears.iter().map(heard_peer).collect(),
            updates: Vec::new(),
            updates_end: 0,
            ack: 0,
        };
        let message = Message::Heartbeat(Box::new(heartbeat));
        self.handle(Event::Message { from: from.incarnation, message });
    }

    /// Advances time by `seconds`; each of `from` sends a heartbeat every second and hears `hears`.
    fn run_for(&mut self, seconds: u64, from: &[&Member], hears: &[u64]) {
        for _ in 0..seconds {
            for peer in from {
                self.heartbeat(peer, hears, 1);
            }
            for _ in 0..5 {
                self.now = self.now + Duration::from_millis(200);
                self.handle(Event::Tick);
            }
        }
    }

    fn state(&self, number: u64) -> MemberState {
        let snapshot = self.fleet.snapshot();
        let mut members = snapshot.members.iter();
        let found = members.find(|m| m.member.incarnation == Incarnation(number));
        found.unwrap_or_else(|| panic!("member {number} is not known")).state
    }

    fn down_events(&self, number: u64) -> Vec<bool> {
        let incarnation = Incarnation(number);
        let down = |action: &Action| match action {
            Action::MemberDown { incarnation: i, gone } if *i == incarnation => Some(*gone),
            _ => None,
        };
        self.actions.iter().filter_map(down).collect()
    }
}

#[test]
fn silence_alone_is_not_gone() {
    let peer = member(2, "entry-2");
    let mut harness = Harness::new();
    harness.stored = vec![peer.clone()];
    harness.run_for(5, &[&peer], &[]);
    assert_eq!(harness.state(2), MemberState::Live);
    harness.run_for(300, &[], &[]);
    assert_eq!(harness.state(2), MemberState::Silent);
    assert_eq!(harness.down_events(2), [false]);
}

#[test]
fn heard_by_another_is_live() {
    let (peer, witness) = (member(2, "entry-2"), member(3, "entry-3"));
    let mut harness = Harness::new();
    harness.run_for(5, &[&peer, &witness], &[2]);
    harness.run_for(60, &[&witness], &[2]);
    assert_eq!(harness.state(2), MemberState::Live);
    assert_eq!(harness.down_events(2), [false; 0]);
    harness.run_for(10, &[&witness], &[]);
    assert_eq!(harness.state(2), MemberState::Silent);
}

#[test]
fn lapsed_and_silent_is_gone() {
    let peer = member(2, "entry-2");
    let mut harness = Harness::new();
    harness.stored = vec![peer.clone()];
    harness.run_for(10, &[&peer], &[]);
    harness.stored.clear();
    harness.run_for(20, &[&peer], &[]);
    assert_eq!(harness.state(2), MemberState::Live, "a lapsed lease alone is no evidence");
    harness.run_for(20, &[], &[]);
    assert_eq!(harness.state(2), MemberState::Gone);
    assert_eq!(harness.down_events(2), [false, true]);
}

#[test]
fn successor_on_the_same_vm() {
    let (old, new) = (member(2, "entry-2"), member(9, "entry-2"));
    let mut harness = Harness::new();
    harness.stored = vec![old.clone(), new.clone()];
    harness.run_for(5, &[&old], &[]);
    harness.run_for(5, &[&new], &[]);
    assert_eq!(harness.state(2), MemberState::Silent, "not silent for long enough");
    harness.run_for(10, &[&new], &[]);
    assert_eq!(harness.state(2), MemberState::Gone);
    assert_eq!(harness.state(9), MemberState::Live);
}

#[test]
fn drop_from_vm_list_confirms_gone() {
    let peer = member(2, "entry-2");
    let mut harness = Harness::new();
    harness.stored = vec![peer.clone()];
    harness.run_for(5, &[&peer], &[]);
    harness.handle(Event::VmList(vec![entry("entry-1")]));
    harness.run_for(30, &[], &[]);
    assert_eq!(harness.state(2), MemberState::Silent, "the VM list has never contained it");
    harness.handle(Event::VmList(vec![entry("entry-1"), entry("entry-2")]));
    harness.run_for(1, &[], &[]);
    harness.handle(Event::VmList(vec![entry("entry-1")]));
    harness.run_for(1, &[], &[]);
    assert_eq!(harness.state(2), MemberState::Gone);
}

#[test]
fn heard_member_outlives_drop_from_vm_list() {
    let peer = member(2, "entry-2");
    let mut harness = Harness::new();
    harness.run_for(5, &[&peer], &[]);
    harness.handle(Event::VmList(vec![entry("entry-1"), entry("entry-2")]));
    harness.handle(Event::VmList(vec![entry("entry-1")]));
    harness.run_for(30, &[&peer], &[]);
    assert_eq!(harness.state(2), MemberState::Live);
}

#[test]
fn gone_member_is_fenced() {
    let peer = member(2, "entry-2");
    let mut harness = Harness::new();
    harness.run_for(5, &[&peer], &[]);
    harness.handle(Event::Message { from: peer.incarnation, message: Message::Exit });
    assert_eq!(harness.state(2), MemberState::Gone);
    harness.actions.clear();
    harness.heartbeat(&peer, &[], 1);
    let fenced = Message::Fenced { incarnation: peer.incarnation };
    let sent = harness.actions.iter().any(|action| match action {
        Action::Send { to, message, .. } => *to == peer.incarnation && *message == fenced,
        _ => false,
    });
    assert!(sent);
    assert_eq!(harness.state(2), MemberState::Gone);
    harness.handle(Event::Message {
        from: Incarnation(3),
        message: Message::Fenced { incarnation: Incarnation(1) },
    });
    assert!(harness.actions.ends_with(&[Action::Fenced, Action::Watch(false)]));
    assert_eq!(harness.fleet.next_wake(), None);
}

#[test]
fn progress_lists_unknown_members() {
    let (peer, behind) = (member(2, "entry-2"), member(3, "entry-3"));
    let mut harness = Harness::new();
    harness.stored = vec![member(4, "entry-4")];
    harness.run_for(5, &[&peer], &[]);
    harness.heartbeat(&behind, &[], 0);
    let progress = Wait::new(Revision(1)).progress(&harness.fleet.snapshot());
    let names = |vms: &[VmId]| -> Vec<String> { vms.iter().map(VmId::to_string).collect() };
    assert_eq!(names(&progress.confirmed), ["entry-1", "entry-2"]);
    assert_eq!(names(&progress.pending), ["entry-3"]);
    assert_eq!(names(&progress.unknown), ["entry-4"]);
    assert!(!progress.is_done());
}

#[test]
fn silent_owner_is_replaced_and_higher_epoch_wins() {
    let owner = member(2, "entry-2");
    let shard = ShardId::from("north-a");
    let (zone, region) = (ZoneId::from("north-a"), RegionId::from("north"));
    let mut harness = Harness::new();
    let owned =
        Ownership { shard: shard.clone(), epoch: Epoch(5), released: false, owner: Incarnation(2) };
    harness.owners = vec![owned.clone()];
    harness.handle(Event::Shards(vec![Shard { id: shard.clone(), zone, region }]));
    harness.run_for(20, &[&owner], &[]);
    assert_eq!(harness.fleet.epoch(harness.now, &shard), None, "its owner is live");
    harness.run_for(10, &[], &[]);
    assert_eq!(harness.fleet.epoch(harness.now, &shard), Some(Epoch(8)));
    // The former owner returns and still claims its lower epoch, which must change nothing here.
    harness.handle(Event::OwnerSeen(owned));
    assert_eq!(harness.fleet.epoch(harness.now, &shard), Some(Epoch(8)));
    // A higher epoch must end this member's ownership at once.
    let later =
        Ownership { shard: shard.clone(), epoch: Epoch(9), released: false, owner: Incarnation(2) };
    harness.actions.clear();
    harness.handle(Event::OwnerSeen(later));
    assert_eq!(
        harness.actions.first(),
        Some(&Action::Disown { shard: shard.clone(), epoch: Epoch(8) })
    );
    assert_eq!(harness.fleet.epoch(harness.now, &shard), None);
}
