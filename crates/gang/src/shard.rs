//! The decision machine of one placement shard.

use std::collections::BTreeMap;

use crate::Action;
use crate::Event;
use crate::Explanation;
use crate::Reply;
use crate::Settings;
use crate::Snapshot;
use model::Epoch;
use model::Incarnation;
use model::JobId;
use model::ShardId;
use model::Time;
use model::Verdict;

/// The decision machine of one placement shard.
#[derive(Debug)]
pub struct Shard {
    settings: Settings,
    shard: ShardId,
    me: Incarnation,
    epoch: Epoch,
    seed: u64,
    jobs: BTreeMap<JobId, Explanation>,
}

impl Shard {
    /// A shard whose owner is `me`, under the ownership `epoch`.
    pub fn new(
        settings: Settings,
        shard: ShardId,
        me: Incarnation,
        epoch: Epoch,
        seed: u64,
    ) -> Shard {
        Shard { settings, shard, me, epoch, seed, jobs: BTreeMap::new() }
    }

    /// Takes an event and appends what is to be done.
    pub fn handle(&mut self, _now: Time, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::Submit { ticket, .. }
            | Event::Cancel { ticket, .. }
            | Event::Query { ticket, .. } => {
                let reason = "the shard does not accept jobs yet".to_owned();
                let reply = Reply::Refused { verdict: Verdict::NotRun, reason };
                out.push(Action::Reply { ticket, reply });
            }
            _ => {}
        }
    }

    /// When the shard next has to be given a tick.
    pub fn next_wake(&self) -> Option<Time> {
        None
    }

    /// State of the shard.
    pub fn snapshot(&self) -> Snapshot {
        Snapshot::default()
    }

    /// How a job came to its present state.
    pub fn explain(&self, job: JobId) -> Option<Explanation> {
        self.jobs.get(&job).cloned()
    }
}
