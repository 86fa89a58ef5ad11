//! Tests of the simulated VM list.

use std::time::Duration;

use fake::BackendOptions;
use fake::BackendPool;
use fake::VmServer;
use wire::border::VmList;
use wire::border::VmRole;
use wire::border::VmState;

async fn list(server: &VmServer) -> VmList {
    let reply = fake::send(server.address(), fake::get("/v1/vms")).await;
    reply.expect("the server answers").json()
}

#[tokio::test]
async fn shows_live_and_leaving() {
    let pool = BackendPool::start(BackendOptions::new("hub", 3)).expect("ports are free");
    let server = VmServer::start(pool.vms()).expect("port is free");
    let listed = list(&server).await.vms;
    assert_eq!(listed, pool.vms());
    assert!(listed.iter().all(|vm| vm.role == VmRole::Backend && vm.state == VmState::Live));
    server.set_state(&listed[1].name, VmState::Leaving);
    server.remove(&listed[2].name);
    let listed = list(&server).await.vms;
    assert_eq!(listed.len(), 2);
    assert_eq!(listed[1].state, VmState::Leaving);
    assert_eq!(server.calls(), 2);
}

#[tokio::test]
async fn changes_lag() {
    let pool = BackendPool::start(BackendOptions::new("hub", 1)).expect("ports are free");
    let server = VmServer::start(pool.vms()).expect("port is free");
    server.set_lag(Duration::from_secs(3600));
    server.update(Vec::clear);
    assert_eq!(list(&server).await.vms.len(), 1);
    server.set_lag(Duration::ZERO);
    assert_eq!(list(&server).await.vms.len(), 0);
}
