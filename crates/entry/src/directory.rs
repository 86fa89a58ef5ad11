//! Locates the owner of a shard or job and forwards calls to it.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use tokio::sync::watch;

use crate::jobs;
use crate::jobs::Answer;
use crate::jobs::Call;
use crate::ledger::Ledger;
use crate::members::View;
use crate::relay::OwnedShards;
use crate::relay::PeerAnswer;
use crate::relay::Question;
use crate::relay::Relay;
use model::Incarnation;
use model::JobId;
use model::ShardId;
use model::Verdict;
use model::ZoneId;
use wire::border;

/// Routes calls about shards and jobs to the entry VMs that own them.
#[derive(Clone, Debug)]
pub struct Directory {
    me: Incarnation,
    jobs: jobs::Handle,
    relay: Relay,
    view: watch::Receiver<Arc<View>>,
    ledger: Ledger,
}

/// Answer to a call about a job that may be in any shard.
#[derive(Clone, Debug)]
pub struct JobLookup {
    /// Shard that knows the job; `None` if none does.
    pub shard: Option<ShardId>,
    /// Answer of that shard, or a refusal.
    pub answer: Answer,
}

impl Directory {
    /// Creates a directory that takes the owners of shards from `view`.
    pub fn new(
        me: Incarnation,
        jobs: jobs::Handle,
        relay: Relay,
        view: watch::Receiver<Arc<View>>,
        ledger: Ledger,
    ) -> Directory {
        Directory { me, jobs, relay, view, ledger }
    }

    /// Shards with a known owner.
    pub fn shards(&self) -> Vec<ShardId> {
        self.view.borrow().owners.keys().cloned().collect()
    }

    /// Shards to try for a job without a zone, in order: that of `zone` first.
    pub fn candidate_shards(&self, zone: &ZoneId) -> Vec<ShardId> {
        let mut shards = self.shards();
        shards.sort_by_key(|shard| shard.as_str() != zone.as_str());
        shards
    }

    /// Calls a shard, locally or at the entry VM that owns it.
    pub async fn call(&self, shard: &ShardId, call: Call) -> Answer {
        let owner = self.view.borrow().owners.get(shard).copied();
        match owner {
            None => no_owner(shard),
            Some(owner) if owner == self.me => self.jobs.call(shard.clone(), call).await,
            Some(owner) => self.call_remote(owner, shard, call).await,
        }
    }

    async fn call_remote(&self, owner: Incarnation, shard: &ShardId, call: Call) -> Answer {
        let question = Question::Job { shard: shard.clone(), call: call.clone() };
        match self.relay.ask(owner, question).await {
            Ok(PeerAnswer::Job(answer)) => answer,
            Ok(_) => no_answer(&call, Verdict::Unknown),
            Err(error) => no_answer(&call, error.verdict()),
        }
    }

    /// Calls every shard in turn until one knows the job.
    ///
    /// If none does, the refusal has an unknown verdict when some shard could not tell.
    pub async fn find_job(&self, make_call: impl Fn() -> Call) -> JobLookup {
        let mut unknown = None;
        for shard in self.shards() {
            match self.call(&shard, make_call()).await {
                Answer::Refused { verdict: Verdict::Unknown, reason } => unknown = Some(reason),
                Answer::Refused { .. } => {}
                answer => return JobLookup { shard: Some(shard), answer },
            }
        }
        let (verdict, reason) = match unknown {
            Some(reason) => (Verdict::Unknown, reason),
            None => (Verdict::NotRun, "no shard knows the job".to_owned()),
        };
        JobLookup { shard: None, answer: Answer::Refused { verdict, reason } }
    }

    /// Looks up the state history of a job at all owners; `None` if none knows it.
    pub async fn explain(&self, job: JobId) -> Option<border::Explanation> {
        if let Some(known) = self.jobs.explain(job).await {
            return Some(crate::views::job(job, &known));
        }
        for owner in self.other_owners() {
            let question = Question::ExplainJob { job };
            if let Ok(PeerAnswer::ExplainJob(Some(known))) = self.relay.ask(owner, question).await {
                return Some(known);
            }
        }
        None
    }

    /// State of all shards; owners that do not answer are listed as unknown.
    pub async fn overview(&self) -> OwnedShards {
        let mut overview = self.owned_shards().await;
        for owner in self.other_owners() {
            match self.relay.ask(owner, Question::Shards).await {
                Ok(PeerAnswer::Shards(part)) => {
                    overview.shards.extend(part.shards);
                    overview.workers.extend(part.workers);
                    overview.guarantees.extend(part.guarantees);
                    overview.unknown.extend(part.unknown);
                }
                Ok(_) => {}
                Err(error) => overview.unknown.push(border::Doubt {
                    subject: format!("shards of entry VM {owner}"),
                    why: error.to_string(),
                }),
            }
        }
        overview
    }

    /// Snapshots of the shards that this entry VM owns.
    pub async fn snapshot(&self) -> BTreeMap<ShardId, gang::Snapshot> {
        self.jobs.snapshot().await
    }

    /// State of the shards that this entry VM owns, in the form of the status report.
    pub async fn owned_shards(&self) -> OwnedShards {
        let view = self.view.borrow().clone();
        crate::views::shards(&view, &self.jobs.snapshot().await)
    }

    /// Answers a question from another entry VM.
    pub async fn respond(self, question: Question) -> PeerAnswer {
        match question {
            Question::Job { shard, call } => PeerAnswer::Job(self.jobs.call(shard, call).await),
            Question::ExplainJob { job } => {
                let known = self.jobs.explain(job).await;
                PeerAnswer::ExplainJob(known.map(|known| crate::views::job(job, &known)))
            }
            Question::Shards => PeerAnswer::Shards(self.owned_shards().await),
            Question::Burn => PeerAnswer::Burn(Box::new(self.ledger.record())),
        }
    }

    fn other_owners(&self) -> BTreeSet<Incarnation> {
        let view = self.view.borrow();
        view.owners.values().copied().filter(|owner| *owner != self.me).collect()
    }
}

fn no_owner(shard: &ShardId) -> Answer {
    let reason = format!("shard {shard} has no owner at the moment");
    Answer::Refused { verdict: Verdict::NotRun, reason }
}

fn no_answer(call: &Call, verdict: Verdict) -> Answer {
    let reason = "the owner of the shard did not answer; query the job by its id".to_owned();
    let verdict = match call {
        // A query that was not answered tells nothing about the job.
        Call::Query { .. } => Verdict::Unknown,
        Call::Submit { .. } | Call::Cancel { .. } => verdict,
    };
    Answer::Refused { verdict, reason }
}
