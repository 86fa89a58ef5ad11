//! `basilrack status`: shows what one entry VM knows of the system.

use std::collections::BTreeMap;

use crate::client::Client;
use crate::error::Error;
use crate::options::Format;
use crate::page::Page;
use crate::page::Row;
use crate::page::Tone;
use crate::page::known;
use crate::status::Status;
use wire::border;

/// State of a backend server that takes requests.
const OPEN: [&str; 2] = ["up", "warming"];

/// Shows entry VMs, shards, store, backend servers, workers, guarantees and what is unknown.
///
/// # Errors
///
/// No entry VM answers, or one refuses.
pub async fn run(format: Format, client: &Client, page: &mut Page) -> Result<Status, Error> {
    let status: border::Status = client.read("/v1/status").await?;
    match format {
        Format::Json => page.json(&status),
        Format::Table => write(page, &status),
    }
    page.show()?;
    Ok(Status::Success)
}

fn write(page: &mut Page, status: &border::Status) {
    write_vm(page, status);
    write_members(page, status);
    write_shards(page, &status.shards);
    write_store(page, &status.store);
    write_backends(page, &status.backends);
    write_workers(page, &status.workers);
    write_guarantees(page, &status.guarantees);
    page.doubts(&status.unknown);
}

fn write_vm(page: &mut Page, status: &border::Status) {
    page.line(Tone::Head, format!("Seen from {} in {}", status.vm, status.zone));
    let current = if status.current { "the latest" } else { "not known to be the latest" };
    let tone = if status.current { Tone::Plain } else { Tone::Doubt };
    page.line(tone, format!("  configuration: revision {}, {current}", status.revision));
    let work = if status.ready { "takes new work" } else { "takes no new work" };
    let tone = if status.ready { Tone::Plain } else { Tone::Doubt };
    page.line(tone, format!("  this entry VM {work}"));
    page.line(
        Tone::Plain,
        format!("  requests here: {} waiting, {} in progress", status.queued, status.running),
    );
}

fn write_members(page: &mut Page, status: &border::Status) {
    page.heading("Entry VMs");
    let mut members: Vec<&border::MemberStatus> = status.members.iter().collect();
    members.sort_by_key(|member| &member.vm);
    let rows: Vec<Row> = members.iter().map(|m| member(m, status.revision)).collect();
    page.table(&["name", "zone", "state", "revision", "incarnation"], &rows);
}

fn member(member: &border::MemberStatus, revision: u64) -> Row {
    let live = member.state == "live" && member.revision == Some(revision);
    let tone = if live { Tone::Plain } else { Tone::Doubt };
    let cells = [
        member.vm.clone(),
        member.zone.clone(),
        member.state.clone(),
        known(&member.revision),
        member.incarnation.clone(),
    ];
    Row::new(tone, cells)
}

fn write_shards(page: &mut Page, shards: &[border::ShardStatus]) {
    page.heading("Placement shards");
    let rows: Vec<Row> = shards
        .iter()
        .map(|shard| {
            let tone = if shard.owner.is_some() { Tone::Plain } else { Tone::Bad };
            let owner = shard.owner.clone().unwrap_or_else(|| "none known".to_owned());
            let (epoch, queued) = (known(&shard.epoch), known(&shard.queued));
            let cells = [shard.shard.clone(), owner, epoch, queued, known(&shard.running)];
            Row::new(tone, cells)
        })
        .collect();
    page.table(&["shard", "owner", "epoch", "queued", "running"], &rows);
}

fn write_store(page: &mut Page, store: &border::StoreStatus) {
    page.heading("Store");
    let (tone, health) =
        if store.healthy { (Tone::Plain, "answers") } else { (Tone::Bad, "does not answer") };
    page.line(tone, format!("  {health}; {} calls, {} failed", store.calls, store.failed));
}

/// Backend servers of one pool in one state.
#[derive(Clone, Copy, Debug, Default)]
struct Group {
    servers: u32,
    busy: u32,
}

fn write_backends(page: &mut Page, backends: &[border::BackendStatus]) {
    page.heading("Backend servers");
    let mut groups: BTreeMap<(&str, &str), Group> = BTreeMap::new();
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
            Row::new(tone(state), cells)
        })
        .collect();
    page.table(&["pool", "state", "servers", "slots in use here"], &rows);
    for backend in backends.iter().filter(|backend| !OPEN.contains(&backend.state.as_str())) {
        let line = format!("  {} in {} is {}", backend.name, backend.zone, backend.state);
        page.line(tone(&backend.state), line);
    }
}

fn tone(state: &str) -> Tone {
    match state {
        state if OPEN.contains(&state) => Tone::Plain,
        "ejected" => Tone::Bad,
        _ => Tone::Doubt,
    }
}

fn write_workers(page: &mut Page, workers: &[border::WorkerStatus]) {
    page.heading("Workers that are not well");
    let rows: Vec<Row> = workers
        .iter()
        .map(|worker| {
            let cells = [&worker.name, &worker.zone, &worker.state, &worker.why];
            Row::new(Tone::Bad, cells.map(String::clone))
        })
        .collect();
    page.table(&["name", "zone", "state", "why"], &rows);
}

fn write_guarantees(page: &mut Page, guarantees: &[border::GuaranteeStatus]) {
    page.heading("Guarantees");
    let rows: Vec<Row> = guarantees
        .iter()
        .map(|guarantee| {
            let tone = if guarantee.state == "at_risk" { Tone::Bad } else { Tone::Plain };
            let shapes = guarantee.count.to_string();
            let (account, shard) = (guarantee.account.clone(), guarantee.shard.clone());
            Row::new(tone, [account, shard, shapes, guarantee.state.clone()])
        })
        .collect();
    page.table(&["account", "shard", "shapes", "state"], &rows);
}
