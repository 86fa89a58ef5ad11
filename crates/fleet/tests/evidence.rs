//! What makes a member silent, and what makes it gone.

use std::sync::Arc;
use std::time::Duration;

use fleet::Action;
use fleet::Beat;
use fleet::Event;
use fleet::Fleet;
use fleet::Hearing;
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

/// One member, with the others and the store played by the test.
struct Stage {
    fleet: Fleet,
    now: Time,
    seq: u64,
    /// Members that have a key in the store.
    stored: Vec<Member>,
    owners: Vec<Ownership>,
    done: Vec<Action>,
}

impl Stage {
    fn new() -> Stage {
        let fleet = Fleet::new(member(1, "entry-1"), 1);
        let (stored, owners, done) = (Vec::new(), Vec::new(), Vec::new());
        Stage { fleet, now: Time::ZERO, seq: 0, stored, owners, done }
    }

    fn tell(&mut self, event: Event) {
        let mut out = Vec::new();
        self.fleet.handle(self.now, event, &mut out);
        while !out.is_empty() {
            let action = out.remove(0);
            if let Action::Store { call, request } = &action {
                let outcome = self.answer(request);
                let event = Event::Store { call: *call, outcome };
                self.fleet.handle(self.now, event, &mut out);
            }
            self.done.push(action);
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

    fn beat(&mut self, from: &Member, hears: &[u64], revision: u64) {
        self.seq += 1;
        let hearing = |number: &u64| Hearing {
            incarnation: Incarnation(*number),
            age: 100,
            revision: Revision(revision),
        };
        let beat = Beat {
            seq: self.seq,
            echo: None,
            reply: false,
            member: Some(from.clone()),
            revision: Revision(revision),
            checked: None,
            hears: hears.iter().map(hearing).collect(),
            news: Vec::new(),
            upto: 0,
            ack: 0,
        };
        let message = Message::Beat(Box::new(beat));
        self.tell(Event::Message { from: from.incarnation, message });
    }

    /// Lets time pass, with a heartbeat each second from each of `from`, who hear `hears`.
    fn pass(&mut self, seconds: u64, from: &[&Member], hears: &[u64]) {
        for _ in 0..seconds {
            for peer in from {
                self.beat(peer, hears, 1);
            }
            for _ in 0..5 {
                self.now = self.now + Duration::from_millis(200);
                self.tell(Event::Tick);
            }
        }
    }

    fn state(&self, number: u64) -> MemberState {
        let snapshot = self.fleet.snapshot();
        let mut members = snapshot.members.iter();
        let found = members.find(|m| m.member.incarnation == Incarnation(number));
        found.unwrap_or_else(|| panic!("member {number} is not known")).state
    }

    fn downs(&self, number: u64) -> Vec<bool> {
        let incarnation = Incarnation(number);
        let down = |action: &Action| match action {
            Action::MemberDown { incarnation: i, gone } if *i == incarnation => Some(*gone),
            _ => None,
        };
        self.done.iter().filter_map(down).collect()
    }
}

#[test]
fn silence_alone_is_not_gone() {
    let peer = member(2, "entry-2");
    let mut stage = Stage::new();
    stage.stored = vec![peer.clone()];
    stage.pass(5, &[&peer], &[]);
    assert_eq!(stage.state(2), MemberState::Live);
    stage.pass(300, &[], &[]);
    assert_eq!(stage.state(2), MemberState::Silent);
    assert_eq!(stage.downs(2), [false]);
}

#[test]
fn heard_by_another_is_live() {
    let (peer, witness) = (member(2, "entry-2"), member(3, "entry-3"));
    let mut stage = Stage::new();
    stage.pass(5, &[&peer, &witness], &[2]);
    stage.pass(60, &[&witness], &[2]);
    assert_eq!(stage.state(2), MemberState::Live);
    assert_eq!(stage.downs(2), [false; 0]);
    stage.pass(10, &[&witness], &[]);
    assert_eq!(stage.state(2), MemberState::Silent);
}

#[test]
fn lapsed_and_silent_is_gone() {
    let peer = member(2, "entry-2");
    let mut stage = Stage::new();
    stage.stored = vec![peer.clone()];
    stage.pass(10, &[&peer], &[]);
    stage.stored.clear();
    stage.pass(20, &[&peer], &[]);
    assert_eq!(stage.state(2), MemberState::Live, "a lapsed lease alone says nothing");
    stage.pass(20, &[], &[]);
    assert_eq!(stage.state(2), MemberState::Gone);
    assert_eq!(stage.downs(2), [false, true]);
}

#[test]
fn successor_on_the_same_vm() {
    let (old, new) = (member(2, "entry-2"), member(9, "entry-2"));
    let mut stage = Stage::new();
    stage.stored = vec![old.clone(), new.clone()];
    stage.pass(5, &[&old], &[]);
    stage.pass(5, &[&new], &[]);
    assert_eq!(stage.state(2), MemberState::Silent, "not silent for long enough");
    stage.pass(10, &[&new], &[]);
    assert_eq!(stage.state(2), MemberState::Gone);
    assert_eq!(stage.state(9), MemberState::Live);
}

#[test]
fn vm_list_lags_but_decides() {
    let peer = member(2, "entry-2");
    let mut stage = Stage::new();
    stage.stored = vec![peer.clone()];
    stage.pass(5, &[&peer], &[]);
    stage.tell(Event::VmList(vec![entry("entry-1")]));
    stage.pass(30, &[], &[]);
    assert_eq!(stage.state(2), MemberState::Silent, "the list has never shown it");
    stage.tell(Event::VmList(vec![entry("entry-1"), entry("entry-2")]));
    stage.pass(1, &[], &[]);
    stage.tell(Event::VmList(vec![entry("entry-1")]));
    stage.pass(1, &[], &[]);
    assert_eq!(stage.state(2), MemberState::Gone);
}

#[test]
fn dropped_from_the_list_but_heard() {
    let peer = member(2, "entry-2");
    let mut stage = Stage::new();
    stage.pass(5, &[&peer], &[]);
    stage.tell(Event::VmList(vec![entry("entry-1"), entry("entry-2")]));
    stage.tell(Event::VmList(vec![entry("entry-1")]));
    stage.pass(30, &[&peer], &[]);
    assert_eq!(stage.state(2), MemberState::Live);
}

#[test]
fn one_that_is_gone_is_fenced() {
    let peer = member(2, "entry-2");
    let mut stage = Stage::new();
    stage.pass(5, &[&peer], &[]);
    stage.tell(Event::Message { from: peer.incarnation, message: Message::Bye });
    assert_eq!(stage.state(2), MemberState::Gone);
    stage.done.clear();
    stage.beat(&peer, &[], 1);
    let fenced = Message::Fenced { incarnation: peer.incarnation };
    let sent = stage.done.iter().any(|action| match action {
        Action::Send { to, message, .. } => *to == peer.incarnation && *message == fenced,
        _ => false,
    });
    assert!(sent);
    assert_eq!(stage.state(2), MemberState::Gone);
    stage.tell(Event::Message {
        from: Incarnation(3),
        message: Message::Fenced { incarnation: Incarnation(1) },
    });
    assert!(stage.done.ends_with(&[Action::Fenced, Action::Watch(false)]));
    assert_eq!(stage.fleet.next_wake(), None);
}

#[test]
fn waiting_names_the_unknown() {
    let (peer, behind) = (member(2, "entry-2"), member(3, "entry-3"));
    let mut stage = Stage::new();
    stage.stored = vec![member(4, "entry-4")];
    stage.pass(5, &[&peer], &[]);
    stage.beat(&behind, &[], 0);
    let progress = Wait::new(Revision(1)).judge(&stage.fleet.snapshot());
    let names = |vms: &[VmId]| -> Vec<String> { vms.iter().map(VmId::to_string).collect() };
    assert_eq!(names(&progress.confirmed), ["entry-1", "entry-2"]);
    assert_eq!(names(&progress.pending), ["entry-3"]);
    assert_eq!(names(&progress.unknown), ["entry-4"]);
    assert!(!progress.is_done());
}

#[test]
fn silent_owner_is_succeeded_and_outranked() {
    let owner = member(2, "entry-2");
    let shard = ShardId::from("north-a");
    let (zone, region) = (ZoneId::from("north-a"), RegionId::from("north"));
    let mut stage = Stage::new();
    let owned =
        Ownership { shard: shard.clone(), epoch: Epoch(5), released: false, owner: Incarnation(2) };
    stage.owners = vec![owned.clone()];
    stage.tell(Event::Shards(vec![Shard { id: shard.clone(), zone, region }]));
    stage.pass(20, &[&owner], &[]);
    assert_eq!(stage.fleet.epoch(stage.now, &shard), None, "its owner is live");
    stage.pass(10, &[], &[]);
    assert_eq!(stage.fleet.epoch(stage.now, &shard), Some(Epoch(8)));
    // The old owner comes back and still believes in its epoch: that changes nothing here.
    stage.tell(Event::OwnerSeen(owned));
    assert_eq!(stage.fleet.epoch(stage.now, &shard), Some(Epoch(8)));
    // A later owner ends this one's epoch at once.
    let later =
        Ownership { shard: shard.clone(), epoch: Epoch(9), released: false, owner: Incarnation(2) };
    stage.done.clear();
    stage.tell(Event::OwnerSeen(later));
    assert_eq!(stage.done.first(), Some(&Action::Disown { shard: shard.clone(), epoch: Epoch(8) }));
    assert_eq!(stage.fleet.epoch(stage.now, &shard), None);
}
