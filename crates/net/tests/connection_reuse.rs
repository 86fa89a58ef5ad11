//! Conditions under which a connection is reused for another request.

mod raw;

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::mpsc;

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
use net::Pool;
use net::Reuse;
use net::pool::Cause;
use net::pool::Config;

/// Timeout of requests that are meant to time out.
const SHORT_TIMEOUT: Duration = Duration::from_secs(1);

/// Returns the body of the response, in which the servers below put the connection's number.
async fn response_body(pool: &Pool, dispatch: Dispatch) -> String {
    match pool.run(dispatch).await {
        Outcome::Answered(answer) => String::from_utf8(answer.body.to_vec()).unwrap(),
        outcome => panic!("{outcome:?}"),
    }
}

/// Answers every request on a connection with the connection's number.
async fn answer_all(mut stream: TcpStream, number: usize) {
    while let Some(request) = read(&mut stream).await {
        stream.write_all(answer(&request, &number.to_string()).as_bytes()).await.unwrap();
    }
}

/// Like [`answer_all`], but leaves requests unanswered whose body is `hang`.
async fn answer_some(mut stream: TcpStream, number: usize) {
    while let Some(request) = read(&mut stream).await {
        if !request.ends_with("hang") {
            stream.write_all(answer(&request, &number.to_string()).as_bytes()).await.unwrap();
        }
    }
}

fn unanswered(address: SocketAddr, sequence: u64) -> Dispatch {
    Dispatch { body: "hang".into(), timeout: SHORT_TIMEOUT, ..dispatch(address, sequence) }
}

#[tokio::test]
async fn sequential_requests() {
    let address = serve(answer_all).await;
    let (pool, _closed) = pool(Config::default());
    for sequence in 0..10 {
        assert_eq!(response_body(&pool, dispatch(address, sequence)).await, "0");
    }
    let counters = pool.counters();
    assert_eq!((counters.opened, counters.reused, counters.answered), (1, 9, 10));
    assert_eq!((counters.open, counters.idle), (1, 1));
}

#[tokio::test]
async fn proven_only() {
    let address = serve(answer_all).await;
    let proven = |sequence| Dispatch { reuse: Reuse::Proven, ..dispatch(address, sequence) };
    let (long, _closed) = pool(Config { proven_window: raw::LONG_TIMEOUT, ..Config::default() });
    assert_eq!(response_body(&long, dispatch(address, 1)).await, "0");
    assert_eq!(response_body(&long, proven(2)).await, "0");
    let (none, _closed) = pool(Config { proven_window: Duration::ZERO, ..Config::default() });
    assert_eq!(response_body(&none, dispatch(address, 3)).await, "1");
    assert_eq!(response_body(&none, proven(4)).await, "2");
    assert_eq!(none.counters().reused, 0);
}

#[tokio::test]
async fn closed_while_idle() {
    let (release, released) = tokio::sync::watch::channel(false);
    let address = serve(move |mut stream, number| {
        let mut released = released.clone();
        async move {
            let request = read(&mut stream).await.unwrap();
            stream.write_all(answer(&request, &number.to_string()).as_bytes()).await.unwrap();
            released.wait_for(|released| *released).await.unwrap();
        }
    })
    .await;
    let (pool, mut closed) = pool(Config::default());
    assert_eq!(response_body(&pool, dispatch(address, 1)).await, "0");
    assert_eq!(pool.counters().idle, 1);
    release.send_replace(true);
    assert_eq!(closed.recv().await, Some(backend()));
    assert_eq!((pool.counters().closed_idle, pool.open_count(&backend())), (1, 0));
    assert_eq!(response_body(&pool, dispatch(address, 2)).await, "1");
}

#[tokio::test]
async fn closed_before_reuse() {
    // Each connection answers once and then closes, so the next request races with the close.
    let address = serve(|mut stream, number| async move {
        let request = read(&mut stream).await.unwrap();
        stream.write_all(answer(&request, &number.to_string()).as_bytes()).await.unwrap();
    })
    .await;
    let (pool, _closed) = pool(Config::default());
    for sequence in 0..500 {
        let outcome = pool.run(dispatch(address, sequence)).await;
        match &outcome {
            Outcome::Answered(_) => {}
            Outcome::Broken { .. } => assert_eq!(outcome.verdict(), Verdict::Unknown),
            _ => panic!("the request was not sent on a new connection: {outcome:?}"),
        }
    }
}

#[tokio::test]
async fn connection_close_header() {
    let address = serve(|mut stream, number| async move {
        read(&mut stream).await.unwrap();
        let text =
            format!("HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: 1\r\n\r\n{number}");
        stream.write_all(text.as_bytes()).await.unwrap();
        assert_eq!(read(&mut stream).await, None);
    })
    .await;
    let (pool, _closed) = pool(Config::default());
    assert_eq!(response_body(&pool, dispatch(address, 1)).await, "0");
    assert_eq!(pool.open_count(&backend()), 0);
    assert_eq!(response_body(&pool, dispatch(address, 2)).await, "1");
}

#[tokio::test]
async fn idle_older_than_failure() {
    let address = serve(answer_some).await;
    let (pool, _closed) = pool(Config::default());
    let (first, second) =
        tokio::join!(pool.run(dispatch(address, 1)), pool.run(dispatch(address, 2)));
    assert_eq!((first.verdict(), second.verdict()), (Verdict::Ran, Verdict::Ran));
    assert_eq!(pool.counters().idle, 2);
    let outcome = pool.run(unanswered(address, 3)).await;
    assert!(matches!(outcome, Outcome::TimedOut { sent: true }), "{outcome:?}");
    assert_eq!((pool.counters().idle, pool.open_count(&backend())), (0, 0));
    assert_eq!(response_body(&pool, dispatch(address, 4)).await, "2");
}

#[tokio::test]
async fn idle_newer_than_failure() {
    let (seen, mut hanging) = mpsc::channel(1);
    let address = serve(move |mut stream, number| {
        let seen = seen.clone();
        async move {
            while let Some(request) = read(&mut stream).await {
                if request.ends_with("hang") {
                    seen.send(()).await.unwrap();
                } else {
                    let text = answer(&request, &number.to_string());
                    stream.write_all(text.as_bytes()).await.unwrap();
                }
            }
        }
    })
    .await;
    let (pool, _closed) = pool(Config::default());
    let during = async {
        hanging.recv().await.unwrap();
        response_body(&pool, dispatch(address, 2)).await
    };
    let (failed, answered) = tokio::join!(pool.run(unanswered(address, 1)), during);
    assert!(matches!(failed, Outcome::TimedOut { sent: true }), "{failed:?}");
    assert_eq!(
        pool.counters().idle,
        1,
        "the connection answered after the failed request was sent"
    );
    assert_eq!(response_body(&pool, dispatch(address, 3)).await, answered);
}

#[tokio::test]
async fn late_answer_discarded() {
    let (release, released) = tokio::sync::watch::channel(false);
    let (ended, mut ends) = mpsc::channel(1);
    let address = serve(move |mut stream, number| {
        let mut released = released.clone();
        let ended = ended.clone();
        async move {
            if number > 0 {
                return answer_all(stream, number).await;
            }
            let request = read(&mut stream).await.unwrap();
            released.wait_for(|released| *released).await.unwrap();
            // The pool has closed the connection, so this may fail.
            let _ = stream.write_all(answer(&request, "late").as_bytes()).await;
            assert_eq!(read(&mut stream).await, None);
            ended.send(()).await.unwrap();
        }
    })
    .await;
    let (pool, _closed) = pool(Config::default());
    let outcome = pool.run(Dispatch { timeout: SHORT_TIMEOUT, ..dispatch(address, 1) }).await;
    assert!(matches!(outcome, Outcome::TimedOut { sent: true }), "{outcome:?}");
    release.send_replace(true);
    for sequence in 2..10 {
        assert_eq!(response_body(&pool, dispatch(address, sequence)).await, "1");
    }
    ends.recv().await.unwrap();
}

#[tokio::test]
async fn two_answers() {
    let address = serve(|mut stream, number| async move {
        while let Some(request) = read(&mut stream).await {
            let text = answer(&request, &number.to_string());
            let stale = "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nstale";
            // The pool may close the connection on seeing the second answer.
            let _ = stream.write_all(format!("{text}{stale}").as_bytes()).await;
        }
    })
    .await;
    let (pool, _closed) = pool(Config::default());
    for sequence in 0..50 {
        assert_eq!(response_body(&pool, dispatch(address, sequence)).await, sequence.to_string());
    }
}

#[tokio::test]
async fn mismatched_answer() {
    let address = serve(|mut stream, _| async move {
        let request = read(&mut stream).await.unwrap();
        let other = "basilrack-request: 0000000000000001:99";
        let own = format!("basilrack-request: {}", header(&request, "basilrack-request").unwrap());
        let text = answer(&request, "crossed").replace(&own, other);
        stream.write_all(text.as_bytes()).await.unwrap();
        assert_eq!(read(&mut stream).await, None);
    })
    .await;
    let (pool, _closed) = pool(Config::default());
    let outcome = pool.run(dispatch(address, 1)).await;
    let crossed = matches!(
        &outcome,
        Outcome::Broken { cause: Cause::Mismatched { found, .. } } if found.ends_with(":99")
    );
    assert!(crossed, "{outcome:?}");
    assert_eq!((pool.counters().mismatched, pool.open_count(&backend())), (1, 0));
}

#[tokio::test]
async fn cancelled_request() {
    let (seen, mut events) = mpsc::channel(2);
    let address = serve(move |mut stream, _| {
        let seen = seen.clone();
        async move {
            while let Some(request) = read(&mut stream).await {
                seen.send(Some(request)).await.unwrap();
            }
            seen.send(None).await.unwrap();
        }
    })
    .await;
    let (pool, _closed) = pool(Config::default());
    tokio::select! {
        outcome = pool.run(dispatch(address, 1)) => panic!("{outcome:?}"),
        request = events.recv() => assert!(request.unwrap().is_some()),
    }
    assert_eq!(events.recv().await, Some(None), "the backend server sees the end");
    assert_eq!(pool.open_count(&backend()), 0);
}
