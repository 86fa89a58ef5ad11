//! Requests that a VM without the store passes to its peers.

use std::time::Duration;

use hyper::Method;
use tokio::time::sleep;

use crate::PEER_LIST_DELAY;
use crate::SHORT_TASK;
use crate::cluster::Cluster;
use crate::configuration_with_other_key;
use fake::hosted_job as job;

/// Time within which a VM has noticed that it cannot reach the store.
const LOSS_DELAY: Duration = Duration::from_millis(300);
/// Pause between two requests of a caller.
const PAUSE: Duration = Duration::from_millis(40);
/// Number of these requests, made while one peer has not heard of the new configuration.
const REQUESTS: usize = 25;

/// Guards against a VM that goes back to an older configuration while it cannot reach the store: one
/// peer served its requests by the new configuration, and another one by the old one.
#[tokio::test]
async fn monotonic_configuration() {
    let mut cluster = Cluster::start("passed", 3, 1, SHORT_TASK).await;
    let port = cluster.store.open_port().expect("a port");
    cluster.vms[0].set_store(&port.address().to_string());
    cluster.vms[0].restart();
    cluster.wait_ready(0).await;
    sleep(PEER_LIST_DELAY).await;
    // The peers begin their watches now, and learn nothing from them for more than two seconds.
    for vm in 1..3 {
        cluster.vms[vm].restart();
    }
    for vm in 1..3 {
        cluster.wait_ready(vm).await;
    }
    cluster.store.silence_watches("o");
    cluster.store.configure(&configuration_with_other_key());
    // One peer learns of the new configuration from a conflict.
    let path = "/work/00000000000000e5";
    assert_eq!(cluster.ask(2, Method::POST, path, &job(1)).await.0, 401);
    port.set_accepting(false);
    sleep(LOSS_DELAY).await;
    let mut statuses = Vec::new();
    for _ in 0..REQUESTS {
        let vm = cluster.vms[0].callers;
        let reply = cluster.call(vm, Method::GET, path, Some("another-key"), "").await;
        statuses.push(reply.map_or(0, |reply| reply.status));
        sleep(PAUSE).await;
    }
    let first = statuses.iter().position(|status| *status == 410);
    let first = first.unwrap_or_else(|| panic!("the new key is not known: {statuses:?}"));
    assert!(!statuses[first..].contains(&401), "{statuses:?}");
}
