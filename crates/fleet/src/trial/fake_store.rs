//! Fake store: leases, keys and watches, without a network.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use crate::Answer;
use crate::Event;
use crate::Member;
use crate::Ownership;
use crate::Record;
use crate::StoreOutcome;
use crate::StoreRequest;
use model::Epoch;
use model::Incarnation;
use model::Revision;
use model::ShardId;
use model::Time;

#[derive(Clone, Debug)]
struct Lease {
    until: Time,
    ttl: Duration,
}

/// Fake store.
#[derive(Debug, Default)]
pub(crate) struct FakeStore {
    pub(crate) down: bool,
    /// Version of the last change.
    last_version: u64,
    leases: BTreeMap<Incarnation, Lease>,
    members: BTreeMap<Incarnation, Member>,
    owners: BTreeMap<ShardId, Ownership>,
    /// Version of the configuration's key.
    text_version: u64,
    text_value: Option<String>,
    /// All committed revisions with their commit time.
    pub(crate) commits: BTreeMap<Revision, (Time, Record)>,
}

impl FakeStore {
    /// Returns the highest revision committed at or before a time.
    pub(crate) fn revision_at(&self, at: Time) -> Revision {
        let mut commits = self.commits.iter().rev();
        commits.find(|(_, (time, _))| *time <= at).map_or(Revision(0), |(revision, _)| *revision)
    }

    pub(crate) fn owners(&self) -> &BTreeMap<ShardId, Ownership> {
        &self.owners
    }

    /// Returns the stored text and its revision.
    pub(crate) fn current_text(&self) -> (Revision, Arc<str>) {
        match self.commits.last_key_value() {
            Some((revision, (_, record))) => (*revision, record.text.clone()),
            None => (Revision(0), Arc::from("")),
        }
    }

    /// Events that a newly started watch reports.
    pub(crate) fn watch_snapshot(&self) -> Vec<Event> {
        let (revision, text) = self.current_text();
        let members = self.members.values().cloned().map(Event::MemberSeen);
        let owners = self.owners.values().cloned().map(Event::OwnerSeen);
        let text = (revision > Revision(0)).then_some(Event::TextSeen { revision, text });
        members.chain(owners).chain(text).collect()
    }

    /// Deletes expired leases and the keys set under them.
    pub(crate) fn expire(&mut self, now: Time) -> Vec<Event> {
        if self.down {
            return Vec::new();
        }
        let expired = self.leases.iter().filter(|(_, lease)| lease.until <= now);
        let expired: Vec<Incarnation> = expired.map(|(holder, _)| *holder).collect();
        expired.into_iter().flat_map(|holder| self.revoke(holder)).collect()
    }

    /// Ends an outage. Every lease gets its full time to live again, as after a restart of the
    /// store.
    pub(crate) fn recover(&mut self, now: Time) {
        self.down = false;
        for lease in self.leases.values_mut() {
            lease.until = now + lease.ttl;
        }
    }

    fn revoke(&mut self, holder: Incarnation) -> Vec<Event> {
        self.leases.remove(&holder);
        self.last_version += 1;
        let version = Epoch(self.last_version);
        let mut events = Vec::new();
        if self.members.remove(&holder).is_some() {
            events.push(Event::MemberLapsed(holder));
        }
        self.owners.retain(|shard, ownership| {
            let keep = ownership.owner != holder;
            if !keep {
                events.push(Event::OwnerLapsed { shard: shard.clone(), version });
            }
            keep
        });
        events
    }

    /// Executes a call. Returns its outcome and the events that watches report.
    pub(crate) fn execute(
        &mut self,
        now: Time,
        from: &Member,
        request: &StoreRequest,
    ) -> (StoreOutcome, Vec<Event>) {
        let me = from.incarnation;
        match request {
            StoreRequest::Join { ttl } => {
                self.leases.insert(me, Lease { until: now + *ttl, ttl: *ttl });
                self.members.insert(me, from.clone());
                self.last_version += 1;
                (StoreOutcome::Done, vec![Event::MemberSeen(from.clone())])
            }
            StoreRequest::Renew => match self.leases.get_mut(&me) {
                Some(lease) => {
                    lease.until = now + lease.ttl;
                    (StoreOutcome::Done, Vec::new())
                }
                None => (StoreOutcome::LeaseGone, Vec::new()),
            },
            StoreRequest::List => {
                let members = self.members.values().cloned().collect();
                let owners = self.owners.values().cloned().collect();
                (StoreOutcome::Listed { members, owners }, Vec::new())
            }
            StoreRequest::Read => {
                let (revision, text) = self.current_text();
                (StoreOutcome::Text { revision, text }, Vec::new())
            }
            StoreRequest::Claim { shard, expect } => self.claim(me, shard, *expect),
            StoreRequest::Release { shard, epoch } => self.release(shard, *epoch),
            StoreRequest::Leave => (StoreOutcome::Done, self.revoke(me)),
        }
    }

    fn claim(
        &mut self,
        me: Incarnation,
        shard: &ShardId,
        expect: Option<Epoch>,
    ) -> (StoreOutcome, Vec<Event>) {
        let known = self.owners.get(shard);
        if known.map(|ownership| ownership.epoch) != expect {
            let outcome = known.cloned().map_or(StoreOutcome::Absent, StoreOutcome::Held);
            return (outcome, Vec::new());
        }
        if !self.leases.contains_key(&me) {
            return (StoreOutcome::LeaseGone, Vec::new());
        }
        self.last_version += 1;
        let epoch = Epoch(self.last_version);
        let ownership = Ownership { shard: shard.clone(), epoch, released: false, owner: me };
        self.owners.insert(shard.clone(), ownership.clone());
        (StoreOutcome::Won { epoch }, vec![Event::OwnerSeen(ownership)])
    }

    fn release(&mut self, shard: &ShardId, epoch: Epoch) -> (StoreOutcome, Vec<Event>) {
        match self.owners.get(shard) {
            Some(known) if known.epoch == epoch => {
                self.owners.remove(shard);
                self.last_version += 1;
                let version = Epoch(self.last_version);
                (StoreOutcome::Done, vec![Event::OwnerLapsed { shard: shard.clone(), version }])
            }
            Some(known) => (StoreOutcome::Held(known.clone()), Vec::new()),
            None => (StoreOutcome::Absent, Vec::new()),
        }
    }

    /// Reads the configuration for an operator.
    pub(crate) fn read_for_operator(&self) -> Answer {
        Answer::Value { version: self.text_version, value: self.text_value.clone() }
    }

    /// Compare-and-swaps the configuration for an operator.
    pub(crate) fn write_for_operator(
        &mut self,
        now: Time,
        expect: u64,
        value: &str,
    ) -> (Answer, Vec<Event>) {
        if expect != self.text_version {
            return (Answer::Conflict, Vec::new());
        }
        self.last_version += 1;
        self.text_version = self.last_version;
        self.text_value = Some(value.to_owned());
        let record = Record::decode(value).unwrap_or_else(|error| panic!("{error}"));
        let (revision, text) = (record.revision, record.text.clone());
        let before = self.commits.insert(revision, (now, record));
        assert!(before.is_none(), "two writes share revision {revision}");
        (Answer::Written, vec![Event::TextSeen { revision, text }])
    }
}
