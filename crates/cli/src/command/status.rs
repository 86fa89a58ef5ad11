//! `basilrack status`: shows the state of the system as one entry VM knows it.

use std::collections::BTreeMap;

use crate::client::Client;
use crate::error::Error;
use crate::options::Format;
use crate::output::LineKind;
use crate::output::Output;
use crate::output::Row;
use crate::output::format_optional;
use crate::status::Status;
use wire::border;

/// States in which a backend server receives requests.
const SERVING_STATES: [&str; 2] = ["up", "warming"];

/// Shows entry VMs, shards, store, backend servers, unhealthy workers, guarantees and what is
/// unknown.
///
/// # Errors
///
/// No entry VM responds, or one responds with an error.
pub async fn run(format: Format, client: &Client, output: &mut Output) -> Result<Status, Error> {
    let status: border::Status = client.read("/v1/status").await?;
    match format {
        Format::Json => output.json(&status),
        Format::Table => write(output, &status),
    }
    output.flush()?;
    Ok(Status::Success)
}

fn write(output: &mut Output, status: &border::Status) {
    write_vm(output, status);
    write_members(output, status);
    write_shards(output, &status.shards);
    write_store(output, &status.store);
    write_backends(output, &status.backends);
    write_workers(output, &status.workers);
    write_guarantees(output, &status.guarantees);
    output.unknowns(&status.unknown);
}

fn write_vm(output: &mut Output, status: &border::Status) {
    output.line(LineKind::Heading, format!("Seen from {} in {}", status.vm, status.zone));
    let current = if status.current { "the latest" } else { "not known to be the latest" };
    let kind = if status.current { LineKind::Plain } else { LineKind::Warning };
    output.line(kind, format!("  configuration: revision {}, {current}", status.revision));
    let readiness = if status.ready { "takes new work" } else { "takes no new work" };
    let kind = if status.ready { LineKind::Plain } else { LineKind::Warning };
    output.line(kind, format!("  this entry VM {readiness}"));
    output.line(
        LineKind::Plain,
        format!("  requests here: {} waiting, {} in progress", status.queued, status.running),
    );
}

fn write_members(output: &mut Output, status: &border::Status) {
    output.heading("Entry VMs");
    let mut members: Vec<&border::MemberStatus> = status.members.iter().collect();
    members.sort_by_key(|member| &member.vm);
    let rows: Vec<Row> = members.iter().map(|m| member_row(m, status.revision)).collect();
    output.table(&["name", "zone", "state", "revision", "incarnation"], &rows);
}

fn member_row(member: &border::MemberStatus, revision: u64) -> Row {
    let is_current = member.state == "live" && member.revision == Some(revision);
    let kind = if is_current { LineKind::Plain } else { LineKind::Warning };
    let cells = [
        member.vm.clone(),
        member.zone.clone(),
        member.state.clone(),
        format_optional(&member.revision),
        member.incarnation.clone(),
    ];
    Row::new(kind, cells)
}

fn write_shards(output: &mut Output, shards: &[border::ShardStatus]) {
    output.heading("Placement shards");
    let rows: Vec<Row> = shards
        .iter()
        .map(|shard| {
            let kind = if shard.owner.is_some() { LineKind::Plain } else { LineKind::Error };
            let owner = shard.owner.clone().unwrap_or_else(|| "none known".to_owned());
            let (epoch, queued) = (format_optional(&shard.epoch), format_optional(&shard.queued));
            let cells =
                [shard.shard.clone(), owner, epoch, queued, format_optional(&shard.running)];
            Row::new(kind, cells)
        })
        .collect();
    output.table(&["shard", "owner", "epoch", "queued", "running"], &rows);
}

fn write_store(output: &mut Output, store: &border::StoreStatus) {
    output.heading("Store");
    let (kind, health) = if store.healthy {
        (LineKind::Plain, "answers")
    } else {
        (LineKind::Error, "does not answer")
    };
    output.line(kind, format!("  {health}; {} calls, {} failed", store.calls, store.failed));
}

/// Number of backend servers of one pool in one state, and their slots in use.
#[derive(Clone, Copy, Debug, Default)]
struct PoolGroup {
    servers: u32,
    busy: u32,
}

fn write_backends(output: &mut Output, backends: &[border::BackendStatus]) {
    output.heading("Backend servers");
    let mut groups: BTreeMap<(&str, &str), PoolGroup> = BTreeMap::new();
    for backend in backends {
        let group = groups.entry((&backend.pool, &backend.state)).or_default();
        group.servers += 1;
        group.busy += backend.busy;
    }
    let rows: Vec<Row> = groups
        .iter()
        .map(|((pool, state), group)| {
            let cells = [*pool, *state]
                .map(str::to_owned)
                .into_iter()
                .chain([group.servers, group.busy].map(|number| number.to_string()));
            Row::new(backend_kind(state), cells)
        })
        .collect();
    output.table(&["pool", "state", "servers", "slots in use here"], &rows);
    for backend in
        backends.iter().filter(|backend| !SERVING_STATES.contains(&backend.state.as_str()))
    {
        let line = format!("  {} in {} is {}", backend.name, backend.zone, backend.state);
        output.line(backend_kind(&backend.state), line);
    }
}

fn backend_kind(state: &str) -> LineKind {
    match state {
        state if SERVING_STATES.contains(&state) => LineKind::Plain,
        "ejected" => LineKind::Error,
        _ => LineKind::Warning,
    }
}

fn write_workers(output: &mut Output, workers: &[border::WorkerStatus]) {
    output.heading("Unhealthy workers");
    let rows: Vec<Row> = workers
        .iter()
        .map(|worker| {
            let cells = [&worker.name, &worker.zone, &worker.state, &worker.why];
            Row::new(LineKind::Error, cells.map(String::clone))
        })
        .collect();
    output.table(&["name", "zone", "state", "why"], &rows);
}

fn write_guarantees(output: &mut Output, guarantees: &[border::GuaranteeStatus]) {
    output.heading("Guarantees");
    let rows: Vec<Row> = guarantees
        .iter()
        .map(|guarantee| {
            let kind = if guarantee.state == "at_risk" { LineKind::Error } else { LineKind::Plain };
            let shapes = guarantee.count.to_string();
            let (account, shard) = (guarantee.account.clone(), guarantee.shard.clone());
            Row::new(kind, [account, shard, shapes, guarantee.state.clone()])
        })
        .collect();
    output.table(&["account", "shard", "shapes", "state"], &rows);
}
