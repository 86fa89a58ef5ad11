//! Tests of a single entry VM with a store.

use std::sync::Arc;

use fleet::Action;
use fleet::Event;
use fleet::Fleet;
use fleet::Member;
use fleet::Shard;
use fleet::StoreOutcome;
use fleet::StoreRequest;
use model::Epoch;
use model::Incarnation;
use model::RegionId;
use model::Revision;
use model::ShardId;
use model::Time;
use model::VmId;
use model::ZoneId;

fn member() -> Member {
    Member {
        incarnation: Incarnation(7),
        vm: VmId::from("entry-1"),
        zone: ZoneId::from("north-a"),
        region: RegionId::from("north"),
        address: "10.0.0.1:8090".to_owned(),
    }
}

fn shard() -> Shard {
    let zone = ZoneId::from("north-a");
    Shard { id: ShardId::from("north-a"), zone, region: RegionId::from("north") }
}

/// Answers store calls as a healthy store would.
fn answer(request: &StoreRequest) -> StoreOutcome {
    match request {
        StoreRequest::List => StoreOutcome::Listed { members: Vec::new(), owners: Vec::new() },
        StoreRequest::Read => {
            StoreOutcome::Text { revision: Revision(3), text: Arc::from("text of revision 3") }
        }
        StoreRequest::Claim { .. } => StoreOutcome::Won { epoch: Epoch(9) },
        _ => StoreOutcome::Done,
    }
}

/// Starts with one shard and runs until `end`, answering store calls at once. Returns all actions.
fn run(fleet: &mut Fleet, now: &mut Time, end: Time) -> Vec<Action> {
    let mut done = Vec::new();
    let mut event = Event::Shards(vec![shard()]);
    while let Some(at) = fleet.next_wake().filter(|at| *at <= end) {
        *now = at;
        let mut out = Vec::new();
        fleet.handle(*now, event, &mut out);
        event = Event::Tick;
        while let Some(action) = out.pop() {
            if let Action::Store { call, request } = &action {
                let outcome = answer(request);
                fleet.handle(*now, Event::Store { call: *call, outcome }, &mut out);
            }
            done.push(action);
        }
    }
    done
}

#[test]
fn joins_reads_and_owns() {
    let mut fleet = Fleet::new(member(), 1);
    let mut now = Time::ZERO;
    let shard = shard().id;
    let done = run(&mut fleet, &mut now, Time::from_millis(5_000));
    assert!(done.contains(&Action::Watch(true)));
    assert!(done.contains(&Action::Own { shard: shard.clone(), epoch: Epoch(9) }));
    assert_eq!(fleet.revision(), Revision(3));
    assert_eq!(fleet.epoch(now, &shard), Some(Epoch(9)));
    assert!(fleet.snapshot().current);
}

#[test]
fn paused_owner_loses_its_shard() {
    let mut fleet = Fleet::new(member(), 1);
    let mut now = Time::ZERO;
    let shard = shard().id;
    run(&mut fleet, &mut now, Time::from_millis(5_000));
    let later = Time::from_millis(60_000);
    assert_eq!(fleet.epoch(later, &shard), None);
    let mut out = Vec::new();
    fleet.handle(later, Event::Tick, &mut out);
    assert_eq!(out.first(), Some(&Action::Disown { shard, epoch: Epoch(9) }));
}

#[test]
fn lower_revision_is_refused() {
    let mut fleet = Fleet::new(member(), 1);
    let mut out = Vec::new();
    let seen = |revision, text| Event::TextSeen { revision, text: Arc::from(text) };
    fleet.handle(Time::ZERO, seen(Revision(5), "five"), &mut out);
    fleet.handle(Time::ZERO, seen(Revision(4), "four"), &mut out);
    assert_eq!(fleet.revision(), Revision(5));
    let adopted = out.iter().filter(|action| matches!(action, Action::Adopt { .. })).count();
    assert_eq!(adopted, 1);
}
