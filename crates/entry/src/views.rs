//! Converts the state of the router and the shards to the reports of the web interface.

use std::collections::BTreeMap;

use crate::clock::Clock;
use crate::members::View;
use crate::relay::OwnedShards;
use crate::web::problem::border_verdict;
use model::JobId;
use model::ShardId;
use model::Verdict;
use wire::border;

/// State history of a job.
pub fn job(id: JobId, known: &gang::Explanation) -> border::Explanation {
    let steps = known.path.iter().map(|step| border::Step {
        at_ms: step.at.0,
        state: step.state.to_string(),
        reason: step.reason.clone(),
    });
    let mut unknown = Vec::new();
    if known.verdict == Some(Verdict::Unknown) {
        let why = known.reason.clone();
        unknown.push(border::Doubt { subject: format!("whether job {id} ran"), why });
    }
    border::Explanation {
        id: id.to_string(),
        state: known.state.to_string(),
        verdict: border_verdict(known.verdict.unwrap_or(Verdict::Unknown)),
        steps: steps.collect(),
        unknown,
    }
}

/// State history of a request.
pub fn request(
    clock: &Clock,
    answer: &route::Answer,
    steps: &[route::Step],
) -> border::Explanation {
    let path = steps.iter().map(|step| border::Step {
        at_ms: clock.stamp_at(step.at).0,
        state: step.state.to_string(),
        reason: step_reason(step),
    });
    let mut unknown = Vec::new();
    if answer.verdict == Verdict::Unknown {
        let why = answer.reason.to_string();
        unknown.push(border::Doubt { subject: format!("whether request {} ran", answer.id), why });
    }
    border::Explanation {
        id: answer.id.to_string(),
        state: steps.last().map_or_else(|| answer.reason.to_string(), |s| s.state.to_string()),
        verdict: border_verdict(answer.verdict),
        steps: path.collect(),
        unknown,
    }
}

fn step_reason(step: &route::Step) -> String {
    let mut parts = Vec::new();
    if step.attempt > 0 {
        parts.push(format!("attempt {}", step.attempt));
    }
    if let Some(backend) = &step.backend {
        parts.push(format!("backend server {backend}"));
    }
    if let Some(reason) = step.reason {
        parts.push(reason.to_string());
    }
    parts.join(", ")
}

/// Status of the shards that this entry VM owns.
pub fn shards(view: &View, shards: &BTreeMap<ShardId, gang::Snapshot>) -> OwnedShards {
    let mut owned = OwnedShards::default();
    for (id, state) in shards {
        owned.shards.push(shard(view, id, state));
        add_workers(&mut owned, id, state);
        add_guarantees(&mut owned, id, state);
        add_doubts(&mut owned, view, id, state);
    }
    owned
}

fn shard(view: &View, id: &ShardId, state: &gang::Snapshot) -> border::ShardStatus {
    let count = |wanted: &[gang::JobState]| {
        let counts = state.jobs.iter().filter(|(state, _)| wanted.contains(state));
        counts.map(|(_, count)| *count).sum::<u32>()
    };
    border::ShardStatus {
        shard: id.to_string(),
        owner: view.is_owned(id).then(|| view.me.vm.to_string()),
        epoch: view.epochs.get(id).map(|epoch| epoch.0),
        queued: Some(count(&[gang::JobState::Queued])),
        running: Some(count(&[gang::JobState::Running])),
    }
}

fn add_workers(owned: &mut OwnedShards, shard: &ShardId, state: &gang::Snapshot) {
    let mut add = |id: &model::WorkerId, condition: &str, why: &str| {
        owned.workers.push(border::WorkerStatus {
            name: id.to_string(),
            zone: shard.to_string(),
            state: condition.to_owned(),
            why: why.to_owned(),
        });
    };
    for id in &state.lost {
        add(id, "lost", "it does not answer, or it left the list of VMs while it held tasks");
    }
    for id in &state.quarantined {
        add(id, "quarantined", "tasks of different jobs failed on it in a row");
    }
}

fn add_guarantees(owned: &mut OwnedShards, shard: &ShardId, state: &gang::Snapshot) {
    for view in &state.guarantees {
        let parts =
            [("in_use", view.used), ("reclaimable", view.reclaimable), ("at_risk", view.at_risk)];
        for (condition, count) in parts {
            if count > 0 {
                owned.guarantees.push(border::GuaranteeStatus {
                    account: view.account.to_string(),
                    shard: shard.to_string(),
                    count,
                    state: condition.to_owned(),
                });
            }
        }
    }
}

fn add_doubts(owned: &mut OwnedShards, view: &View, shard: &ShardId, state: &gang::Snapshot) {
    if !view.is_owned(shard) {
        owned.unknown.push(border::Doubt {
            subject: format!("whether shard {shard} has an owner"),
            why: format!(
                "the ownership of entry VM {} has lapsed; it keeps the running gangs alive",
                view.me.vm
            ),
        });
    }
    for job in &state.unknown {
        owned.unknown.push(border::Doubt {
            subject: format!("whether job {job} ran"),
            why: "its worker was lost before it reported".to_owned(),
        });
    }
    if state.store_down {
        owned.unknown.push(border::Doubt {
            subject: format!("whether the latest placements of shard {shard} are stored"),
            why: "the store does not answer".to_owned(),
        });
    }
}

/// Status of all shards: as described by their owners, and for the others what the view tells.
pub fn all_shards(view: &View, described: Vec<border::ShardStatus>) -> Vec<border::ShardStatus> {
    let mut shards: BTreeMap<String, border::ShardStatus> =
        described.into_iter().map(|shard| (shard.shard.clone(), shard)).collect();
    for id in &view.shards {
        let name = id.to_string();
        let owner = view.owners.get(id).filter(|_| view.is_owned(id));
        let owner = owner.map(|owner| view.vm_name(*owner));
        shards.entry(name.clone()).or_insert(border::ShardStatus {
            shard: name,
            owner,
            epoch: view.epochs.get(id).map(|epoch| epoch.0),
            queued: None,
            running: None,
        });
    }
    shards.into_values().collect()
}

/// Status of a backend server.
pub fn backend(state: &route::BackendView, view: &View) -> border::BackendStatus {
    border::BackendStatus {
        name: state.id.to_string(),
        pool: state.pool.to_string(),
        zone: view.backend_zones.get(&state.id).map_or_else(String::new, |zone| zone.to_string()),
        state: state.state.to_string(),
        busy: state.used,
    }
}
