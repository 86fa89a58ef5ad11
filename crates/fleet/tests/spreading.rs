//! Tests of spreading the configuration between peers without the store.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use proptest::prelude::*;
use proptest::test_runner::RngSeed;

use fleet::Action;
use fleet::Event;
use fleet::Fleet;
use fleet::Member;
use fleet::Message;
use fleet::Record;
use fleet::StoreOutcome;
use fleet::TextBody;
use fleet::VmEntry;
use fleet::WriteId;
use model::Incarnation;
use model::RegionId;
use model::Revision;
use model::Time;
use model::VmId;
use model::ZoneId;

/// Members whose messages arrive at once, with a store that never answers.
struct Cluster {
    now: Time,
    fleets: BTreeMap<Incarnation, Fleet>,
    /// Number of texts sent in full, and number sent as splices.
    full_texts: usize,
    splices: usize,
}

impl Cluster {
    fn new(members: u64) -> Cluster {
        let mut cluster =
            Cluster { now: Time::ZERO, fleets: BTreeMap::new(), full_texts: 0, splices: 0 };
        for number in 1..=members {
            cluster.start(number, &format!("entry-{number}"));
        }
        cluster
    }

    fn start(&mut self, number: u64, vm: &str) {
        let incarnation = Incarnation(number);
        let member = Member {
            incarnation,
            vm: VmId::from(vm),
            zone: ZoneId::from("north-a"),
            region: RegionId::from("north"),
            address: vm.to_owned(),
        };
        self.fleets.retain(|_, fleet| fleet.me().vm.as_str() != vm);
        self.fleets.insert(incarnation, Fleet::new(member, number));
        let entry = |fleet: &Fleet| VmEntry {
            vm: fleet.me().vm.clone(),
            address: fleet.me().address.clone(),
            leaving: false,
        };
        let vms: Vec<VmEntry> = self.fleets.values().map(entry).collect();
        let all: Vec<Incarnation> = self.fleets.keys().copied().collect();
        for incarnation in all {
            self.handle(incarnation, Event::VmList(vms.clone()));
        }
    }

    fn handle(&mut self, to: Incarnation, event: Event) {
        let mut pending = vec![(to, event)];
        while let Some((to, event)) = pending.pop() {
            let Some(fleet) = self.fleets.get_mut(&to) else { continue };
            let mut out = Vec::new();
            fleet.handle(self.now, event, &mut out);
            for action in out {
                self.perform(to, action, &mut pending);
            }
        }
    }

    fn perform(
        &mut self,
        from: Incarnation,
        action: Action,
        pending: &mut Vec<(Incarnation, Event)>,
    ) {
        let (address, message) = match action {
            Action::Send { address, message, .. } | Action::Greet { address, message } => {
                (address, message)
            }
            Action::Store { call, .. } => {
                return pending.push((from, Event::Store { call, outcome: StoreOutcome::Failed }));
            }
            _ => return,
        };
        match &message {
            Message::Text { body: TextBody::Full(_), .. } => self.full_texts += 1,
            Message::Text { body: TextBody::Splice(_), .. } => self.splices += 1,
            _ => {}
        }
        let mut fleets = self.fleets.iter();
        let target = fleets.find(|(_, fleet)| fleet.me().address == address);
        if let Some((to, _)) = target {
            pending.push((*to, Event::Message { from, message }));
        }
    }

    fn run_for(&mut self, seconds: u64) {
        for _ in 0..seconds * 5 {
            self.now = self.now + Duration::from_millis(200);
            let all: Vec<Incarnation> = self.fleets.keys().copied().collect();
            for incarnation in all {
                self.handle(incarnation, Event::Tick);
            }
        }
    }

    fn show_text(&mut self, number: u64, revision: u64) {
        let text = Arc::from(format!("the text of revision {revision}"));
        let event = Event::TextSeen { revision: Revision(revision), text };
        self.handle(Incarnation(number), event);
    }

    fn revisions(&self) -> Vec<u64> {
        self.fleets.values().map(|fleet| fleet.revision().0).collect()
    }
}

#[test]
fn revision_reaches_all() {
    let mut cluster = Cluster::new(5);
    cluster.run_for(5);
    cluster.show_text(4, 7);
    cluster.run_for(3);
    assert_eq!(cluster.revisions(), [7; 5]);
    assert_eq!((cluster.full_texts, cluster.splices), (4, 0));
    cluster.show_text(2, 8);
    cluster.run_for(3);
    assert_eq!(cluster.revisions(), [8; 5]);
    assert_eq!(
        (cluster.full_texts, cluster.splices),
        (4, 4),
        "the second text was sent as splices"
    );
}

#[test]
fn restart_without_the_store() {
    let mut cluster = Cluster::new(3);
    cluster.run_for(5);
    cluster.show_text(1, 7);
    cluster.run_for(3);
    cluster.start(11, "entry-1");
    cluster.start(12, "entry-2");
    cluster.run_for(5);
    assert_eq!(cluster.revisions(), [7; 3]);
    let snapshot = cluster.fleets[&Incarnation(11)].snapshot();
    assert!(!snapshot.current, "no revision can be confirmed without the store");
    assert!(!snapshot.store.healthy);
}

#[test]
fn lower_revision_loses_after_restarts() {
    let mut cluster = Cluster::new(4);
    cluster.run_for(5);
    cluster.show_text(1, 7);
    cluster.run_for(3);
    cluster.start(11, "entry-1");
    cluster.start(12, "entry-2");
    // The new processes read a store that was reset to an older value.
    cluster.show_text(11, 5);
    cluster.show_text(12, 6);
    cluster.run_for(5);
    assert_eq!(cluster.revisions(), [7; 4]);
}

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(6),
        cases: 256,
        ..ProptestConfig::default()
    })]

    #[test]
    fn history_restores_texts(texts in prop::collection::vec("[ab\näö]{0,12}", 1..8)) {
        let first = Arc::from(texts[0].as_str());
        let mut record = Record::first(WriteId(0), "ana", model::Stamp(0), &first);
        for (number, text) in texts.iter().enumerate().skip(1) {
            let text = Arc::from(text.as_str());
            record = record.next(WriteId(number as u64), "ben", model::Stamp(1), &text);
        }
        let value = record.encode().expect("a short record encodes");
        let record = Record::decode(&value).expect("it decodes");
        for (number, text) in texts.iter().enumerate() {
            let revision = Revision(number as u64 + 1);
            let kept = record.text_at(revision);
            prop_assert_eq!(kept.as_deref(), Some(text.as_str()));
            prop_assert_eq!(record.revision_of(WriteId(number as u64)), Some(revision));
        }
    }

    #[test]
    fn decoding_returns_record_or_syntax_error(value in "\\PC{0,80}") {
        if let Err(error) = Record::decode(&value) {
            prop_assert!(error.to_string().starts_with("stored configuration does not parse"));
        }
    }
}
