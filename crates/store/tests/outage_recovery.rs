//! Guards against a thundering herd: many clients retry when the store returns from an outage.

use std::sync::Arc;
use std::time::Duration;

use tokio::task::JoinSet;
use tokio::time::sleep;

use fake::StoreServer;
use store::Client;
use store::Config;
use store::LeaseId;
use store::Purpose;
use store::Store;

const CLIENTS: usize = 8;
const RENEWAL_INTERVAL: Duration = Duration::from_millis(100);
/// Calls per second of all clients together while the store is up.
const STEADY_RATE: u64 = CLIENTS as u64 * 10;

fn client(server: &StoreServer, seed: u64) -> Client {
    let config = Config {
        rate: 20.0,
        deadline: Duration::from_secs(1),
        backoff: Duration::from_millis(500),
        watch_timeout: Duration::from_secs(60),
        seed,
        ..Config::new(&server.url())
    };
    Client::new(config).expect("url is valid")
}

/// Renews a lease and watches a prefix, as an entry VM does.
async fn run_client(client: Client, lease: LeaseId) {
    let mut watch = client.watch(Purpose::Configuration, "t/", 1);
    let watcher = tokio::spawn(async move {
        loop {
            watch.next().await;
        }
    });
    loop {
        // Only the number of calls matters here, not their outcome.
        let _ = client.keep_alive(Purpose::Ownership, lease).await;
        sleep(RENEWAL_INTERVAL).await;
        assert!(!watcher.is_finished());
    }
}

#[tokio::test]
async fn recovery_causes_no_call_burst() {
    let server = Arc::new(StoreServer::start(1).expect("port is free"));
    server.set_faults(|faults| faults.lease_speed = 0.0);
    let mut clients = JoinSet::new();
    for seed in 0..CLIENTS as u64 {
        let client = client(&server, seed);
        let lease = client.grant(Purpose::Ownership, Duration::from_secs(5)).await;
        clients.spawn(run_client(client, lease.expect("the store is up").id));
    }
    sleep(Duration::from_millis(500)).await;

    server.set_faults(|faults| faults.down = true);
    sleep(Duration::from_millis(1_500)).await;
    server.reset_calls();
    server.set_faults(|faults| faults.down = false);
    while server.calls(None) < STEADY_RATE {
        sleep(Duration::from_millis(10)).await;
    }
    let peak = server.peak_calls(Duration::from_secs(1));
    assert!(
        peak <= 2 * STEADY_RATE,
        "{peak} calls in one second, while the steady rate is {STEADY_RATE}"
    );
    assert_eq!(server.leases().len(), CLIENTS);
    clients.abort_all();
}
