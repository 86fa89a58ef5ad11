//! Measures the CPU time of one call, client and fake server together on one thread.

use std::time::Duration;

use bytes::Bytes;
use tokio::time::Instant;

use fake::StoreServer;
use store::Cas;
use store::Client;
use store::Config;
use store::Purpose;
use store::Store;

const CALLS: u32 = 20_000;
const PAGE_BYTES: usize = 32 << 10;

#[tokio::main(flavor = "current_thread")]
async fn main() {
    let server = StoreServer::start(1).expect("port is free");
    let config = Config { rate: 1e6, burst: 1_000, ..Config::new(&server.url()) };
    let client = Client::new(config).expect("url is valid");

    let began = Instant::now();
    for _ in 0..CALLS {
        client.get(Purpose::Report, "absent").await.expect("the store is up");
    }
    print_mean("read of an absent key", began.elapsed());

    let page = Bytes::from(vec![7; PAGE_BYTES]);
    let mut version = 0;
    let began = Instant::now();
    for _ in 0..CALLS {
        let cas = client.cas(Purpose::Commit, "page", version, page.clone(), None).await;
        let Ok(Cas::Committed { version: next }) = cas else { panic!("{cas:?}") };
        version = next;
    }
    print_mean("swap of a page of 32 KiB", began.elapsed());
}

fn print_mean(name: &str, elapsed: Duration) {
    println!("{name}: {} us", (elapsed / CALLS).as_micros());
}
