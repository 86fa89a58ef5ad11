//! Store access of the fleet membership: keys of members, shard owners and the configuration.

use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use log::debug;
use log::warn;
use serde::Deserialize;
use serde::Serialize;
use tokio::sync::mpsc;

use crate::members::Command;
use fleet::Event;
use fleet::Member;
use fleet::Ownership;
use fleet::Record;
use fleet::StoreOutcome;
use fleet::StoreRequest;
use model::Epoch;
use model::Incarnation;
use model::Revision;
use model::ShardId;
use store::Cas;
use store::Entry;
use store::KeepAlive;
use store::LeaseId;
use store::Purpose;
use store::Store;
use store::WatchEvent;

/// Key prefix that the fleet task watches.
const FLEET: &str = "basilrack/fleet/";
/// Key prefix of the members.
const MEMBERS: &str = "basilrack/fleet/members/";
/// Key prefix of the shard owners.
const SHARDS: &str = "basilrack/fleet/shards/";
/// Key of the configuration.
pub const TEXT: &str = "basilrack/fleet/text";

/// Stored value of a shard owner.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
struct Owner {
    owner: Incarnation,
}

/// Store client of the fleet task; holds the membership lease of this entry VM.
#[derive(Debug)]
pub struct FleetStore<S> {
    store: S,
    me: Member,
    lease: Mutex<Option<LeaseId>>,
}

impl<S: Store> FleetStore<S> {
    /// Creates a client for member `me` without a lease.
    pub fn new(store: S, me: Member) -> FleetStore<S> {
        FleetStore { store, me, lease: Mutex::new(None) }
    }

    /// Performs a store call of the fleet state machine.
    pub async fn call(&self, request: StoreRequest) -> StoreOutcome {
        let result = match request {
            StoreRequest::Join { ttl } => self.join(ttl).await,
            StoreRequest::Renew => self.renew().await,
            StoreRequest::List => self.list().await,
            StoreRequest::Read => self.read().await,
            StoreRequest::Claim { shard, expect } => self.claim(&shard, expect).await,
            StoreRequest::Release { shard, epoch } => self.release(&shard, epoch).await,
            StoreRequest::Leave => self.leave().await,
        };
        result.unwrap_or_else(|error| {
            debug!("fleet: store call failed: {error}");
            StoreOutcome::Failed
        })
    }

    async fn join(&self, ttl: Duration) -> Result<StoreOutcome, store::Error> {
        let lease = self.store.grant(Purpose::Membership, ttl).await?;
        let key = format!("{MEMBERS}{}", self.me.incarnation);
        let value = encode(&self.me);
        self.store.put(Purpose::Membership, &key, value.into(), Some(lease.id)).await?;
        self.set_lease(Some(lease.id));
        Ok(StoreOutcome::Done)
    }

    async fn renew(&self) -> Result<StoreOutcome, store::Error> {
        let Some(lease) = self.lease() else { return Ok(StoreOutcome::LeaseGone) };
        match self.store.keep_alive(Purpose::Membership, lease).await? {
            KeepAlive::Renewed { .. } => Ok(StoreOutcome::Done),
            KeepAlive::Gone => Ok(StoreOutcome::LeaseGone),
        }
    }

    async fn list(&self) -> Result<StoreOutcome, store::Error> {
        let listing = self.store.list(Purpose::Membership, FLEET).await?;
        let mut members = Vec::new();
        let mut owners = Vec::new();
        for entry in &listing.entries {
            match parse_entry(entry) {
                Some(Event::MemberSeen(member)) => members.push(member),
                Some(Event::OwnerSeen(owner)) => owners.push(owner),
                _ => {}
            }
        }
        Ok(StoreOutcome::Listed { members, owners })
    }

    async fn read(&self) -> Result<StoreOutcome, store::Error> {
        let entry = self.store.get(Purpose::Configuration, TEXT).await?;
        let seen = entry.as_ref().and_then(parse_entry);
        Ok(match (entry, seen) {
            (_, Some(Event::TextSeen { revision, text })) => StoreOutcome::Text { revision, text },
            (None, _) => StoreOutcome::Text { revision: Revision(0), text: "".into() },
            (Some(_), _) => StoreOutcome::Failed,
        })
    }

    async fn claim(
        &self,
        shard: &ShardId,
        expect: Option<Epoch>,
    ) -> Result<StoreOutcome, store::Error> {
        let Some(lease) = self.lease() else { return Ok(StoreOutcome::LeaseGone) };
        let key = format!("{SHARDS}{shard}");
        let value = encode(&Owner { owner: self.me.incarnation });
        let expect = expect.map_or(0, |epoch| epoch.0);
        let cas =
            self.store.cas(Purpose::Ownership, &key, expect, value.into(), Some(lease)).await?;
        Ok(match cas {
            Cas::Committed { version } => StoreOutcome::Won { epoch: Epoch(version) },
            Cas::Conflict { current } => claim_conflict(current.as_ref()),
        })
    }

    async fn release(&self, shard: &ShardId, epoch: Epoch) -> Result<StoreOutcome, store::Error> {
        let key = format!("{SHARDS}{shard}");
        match self.store.delete(Purpose::Ownership, &key, epoch.0).await? {
            Cas::Committed { .. } => Ok(StoreOutcome::Done),
            Cas::Conflict { current } => Ok(claim_conflict(current.as_ref())),
        }
    }

    async fn leave(&self) -> Result<StoreOutcome, store::Error> {
        if let Some(lease) = self.lease() {
            self.store.revoke(Purpose::Membership, lease).await?;
            self.set_lease(None);
        }
        Ok(StoreOutcome::Done)
    }

    fn lease(&self) -> Option<LeaseId> {
        *self.lease.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn set_lease(&self, lease: Option<LeaseId>) {
        *self.lease.lock().unwrap_or_else(PoisonError::into_inner) = lease;
    }
}

fn claim_conflict(current: Option<&Entry>) -> StoreOutcome {
    match current.map(parse_entry) {
        Some(Some(Event::OwnerSeen(owner))) => StoreOutcome::Held(owner),
        Some(_) => StoreOutcome::Failed,
        None => StoreOutcome::Absent,
    }
}

fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    serde_json::to_vec(value).unwrap_or_default()
}

/// Decodes a store entry; `None` if its key or value is not known.
fn parse_entry(entry: &Entry) -> Option<Event> {
    if entry.key == TEXT {
        return parse_text(entry);
    }
    if entry.key.starts_with(MEMBERS) {
        return serde_json::from_slice(&entry.value).ok().map(Event::MemberSeen);
    }
    let shard = entry.key.strip_prefix(SHARDS)?;
    let owner: Owner = serde_json::from_slice(&entry.value).ok()?;
    Some(Event::OwnerSeen(Ownership {
        shard: ShardId::new(shard),
        epoch: Epoch(entry.version),
        released: false,
        owner: owner.owner,
    }))
}

fn parse_text(entry: &Entry) -> Option<Event> {
    let value = std::str::from_utf8(&entry.value).ok()?;
    match Record::decode(value) {
        Ok(record) => Some(Event::TextSeen { revision: record.revision, text: record.text }),
        Err(error) => {
            warn!("text: {error}");
            None
        }
    }
}

fn parse_delete(key: &str, version: u64) -> Option<Event> {
    if let Some(incarnation) = key.strip_prefix(MEMBERS) {
        return incarnation.parse().ok().map(Event::MemberLapsed);
    }
    let shard = ShardId::new(key.strip_prefix(SHARDS)?);
    Some(Event::OwnerLapsed { shard, version: Epoch(version) })
}

/// Watches the fleet's keys and sends each change to the fleet task, until that task ends.
pub async fn watch<S: Store>(store: S, commands: mpsc::WeakSender<Command>) {
    let mut changes = store.watch(Purpose::Configuration, FLEET, 0);
    loop {
        let event = match changes.next().await {
            WatchEvent::Put(entry) => parse_entry(&entry),
            WatchEvent::Delete { key, version } => parse_delete(&key, version),
            // The state machine lists and reads the keys at intervals, which covers missed changes.
            WatchEvent::Current { .. } | WatchEvent::Compacted { .. } | WatchEvent::Lost { .. } => {
                None
            }
        };
        let Some(commands) = commands.upgrade() else { return };
        if let Some(event) = event
            && commands.send(Command::Event(event)).await.is_err()
        {
            return;
        }
    }
}
