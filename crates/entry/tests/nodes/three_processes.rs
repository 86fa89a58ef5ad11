//! Three entry VMs keep their guarantees to callers while one is stopped and another is killed.

use std::net::SocketAddr;
use std::time::Duration;

use hyper::Method;

use crate::stage::Stage;
use crate::stage::until;
use crate::traffic::Traffic;
use fake::Gang;
use model::JobId;
use wire::border;

/// Answers to wait for in each phase.
const PHASE_ANSWERS: usize = 300;
/// Longest time for which only part of a gang may run: its lease plus one renewal interval.
const MAX_PARTIAL_RUN: Duration = Duration::from_secs(38);

async fn submit_gang(stage: &Stage, address: SocketAddr) -> Gang {
    let spec = border::JobSpec {
        account: "sorting".to_owned(),
        service: "reviews".to_owned(),
        shape: border::GangShape {
            tasks: 8,
            accelerators: 8,
            millicores: 8_000,
            memory_mib: 8_192,
            adjacency: border::Adjacency::Rack,
        },
        priority: border::Priority::Normal,
        idempotent: false,
        checkpoint: false,
        declared_ms: 20_000,
        zone: Some("zone-a".to_owned()),
        volatile: false,
    };
    let body = serde_json::to_vec(&spec).unwrap();
    let reply = stage.caller.call(address, Method::POST, "/v1/jobs", &[], body).await.unwrap();
    assert_eq!(reply.status, 202, "{}", String::from_utf8_lossy(&reply.body));
    let status: border::JobStatus = reply.json();
    Gang { job: status.id.parse().unwrap(), tasks: 8, idempotent: false }
}

async fn job_state(stage: &Stage, address: SocketAddr, job: JobId) -> Option<border::JobStatus> {
    let path = format!("/v1/jobs/{job}");
    let reply = stage.caller.call(address, Method::GET, &path, &[], "").await?;
    serde_json::from_slice(&reply.body).ok()
}

#[tokio::test(flavor = "multi_thread")]
async fn stop_and_kill() {
    let stage = Stage::start("stop-and-kill");
    let (first, mut second, third) = (stage.spawn("a"), stage.spawn("b"), stage.spawn("c"));
    stage.apply(&[&first, &second, &third]).await;

    let gang = submit_gang(&stage, first.address).await;
    let running = async || {
        let status = job_state(&stage, third.address, gang.job).await;
        status.is_some_and(|status| status.state == "running")
    };
    until("the gang runs", running).await;
    assert_eq!(stage.workers.runs().iter().filter(|run| run.to.is_none()).count(), 8);

    let addresses = [first.address, second.address, third.address];
    let traffic = Traffic::start(&stage, addresses.to_vec());
    traffic.wait_for_answers(PHASE_ANSWERS, "at first").await;

    first.terminate();
    traffic.remove(first.address);
    assert!(first.exit().await.success(), "a planned stop must exit with success");
    traffic.wait_for_answers(PHASE_ANSWERS, "after a stop").await;
    assert_eq!(traffic.answers().unknown(), [], "a planned stop left unknown verdicts");

    second.kill();
    traffic.remove(second.address);
    traffic.wait_for_answers(PHASE_ANSWERS, "after a crash").await;
    traffic.finish(&stage).await;

    let done = async || {
        let status = job_state(&stage, third.address, gang.job).await;
        status.is_some_and(|status| status.state == "done")
    };
    until("the gang is done", done).await;
    assert_eq!(stage.workers.violations(&[gang], MAX_PARTIAL_RUN), []);
    third.terminate();
    assert!(third.exit().await.success());
}
