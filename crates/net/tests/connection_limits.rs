//! Limits on the connections to a backend server, and retirement of backend servers.

mod raw;

use std::sync::Arc;

use tokio::io::AsyncWriteExt;
use tokio::sync::Semaphore;

use crate::raw::answer;
use crate::raw::backend;
use crate::raw::dispatch;
use crate::raw::header;
use crate::raw::pool;
use crate::raw::read;
use crate::raw::serve;
use model::Verdict;
use net::Dispatch;
use net::Outcome;
use net::Reuse;
use net::pool::Cause;
use net::pool::Config;

/// Starts a server that answers one request for each permit of `gate`.
async fn serve_permitted(gate: &Arc<Semaphore>) -> std::net::SocketAddr {
    let gate = Arc::clone(gate);
    serve(move |mut stream, number| {
        let gate = Arc::clone(&gate);
        async move {
            while let Some(request) = read(&mut stream).await {
                assert!(header(&request, "basilrack-request").is_some());
                gate.acquire().await.unwrap().forget();
                let text = answer(&request, &number.to_string());
                // The caller may have closed the connection.
                let _ = stream.write_all(text.as_bytes()).await;
            }
        }
    })
    .await
}

#[tokio::test]
async fn all_connections_busy() {
    let gate = Arc::new(Semaphore::new(0));
    let address = serve_permitted(&gate).await;
    let (pool, _closed) = pool(Config { max_connections: 3, ..Config::default() });
    let running: Vec<_> = (0..3)
        .map(|sequence| {
            let pool = pool.clone();
            tokio::spawn(async move { pool.run(dispatch(address, sequence)).await })
        })
        .collect();
    while pool.open_count(&backend()) < 3 {
        tokio::task::yield_now().await;
    }
    let outcome = pool.run(dispatch(address, 9)).await;
    let busy = matches!(outcome, Outcome::NotSent { cause: Cause::Busy { limit: 3 } });
    assert!(busy, "{outcome:?}");
    gate.add_permits(3);
    for task in running {
        assert_eq!(task.await.unwrap().verdict(), Verdict::Ran);
    }
    assert_eq!(pool.counters().idle, 3);
}

#[tokio::test]
async fn idle_connection_replaced() {
    let address = serve_permitted(&Arc::new(Semaphore::new(9))).await;
    let config = Config {
        max_connections: 1,
        proven_window: std::time::Duration::ZERO,
        ..Config::default()
    };
    let (pool, _closed) = pool(config);
    for sequence in 0..5 {
        let outcome = pool.run(Dispatch { reuse: Reuse::Proven, ..dispatch(address, sequence) });
        assert_eq!(outcome.await.verdict(), Verdict::Ran);
        assert_eq!(pool.open_count(&backend()), 1);
    }
    assert_eq!(pool.counters().opened, 5);
}

#[tokio::test]
async fn lowered_limit() {
    let address = serve_permitted(&Arc::new(Semaphore::new(9))).await;
    let (pool, _closed) = pool(Config::default());
    tokio::join!(pool.run(dispatch(address, 1)), pool.run(dispatch(address, 2)));
    assert_eq!(pool.open_count(&backend()), 2);
    pool.set_limit(&backend(), 1);
    assert_eq!(pool.open_count(&backend()), 1);
    pool.drop_idle(&backend());
    assert_eq!(pool.open_count(&backend()), 0);
}

#[tokio::test]
async fn retired_backend() {
    let gate = Arc::new(Semaphore::new(1));
    let address = serve_permitted(&gate).await;
    let (pool, _closed) = pool(Config::default());
    assert_eq!(pool.run(dispatch(address, 1)).await.verdict(), Verdict::Ran);
    let running = {
        let pool = pool.clone();
        tokio::spawn(async move { pool.run(dispatch(address, 2)).await })
    };
    while pool.counters().reused == 0 {
        tokio::task::yield_now().await;
    }
    pool.retire(&backend());
    let outcome = pool.run(dispatch(address, 3)).await;
    assert!(matches!(outcome, Outcome::NotSent { cause: Cause::Retired }), "{outcome:?}");
    gate.add_permits(2);
    assert_eq!(running.await.unwrap().verdict(), Verdict::Ran, "a running request continues");
    assert_eq!(pool.open_count(&backend()), 0, "its connection is closed afterwards");
    pool.restore(&backend());
    assert_eq!(pool.run(dispatch(address, 4)).await.verdict(), Verdict::Ran);
}
