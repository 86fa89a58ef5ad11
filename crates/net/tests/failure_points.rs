//! Outcome and verdict of a request at every point at which it can fail.

mod raw;

use std::time::Duration;

use bytes::Bytes;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::timeout;

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
use net::pool::Cause;
use net::pool::Config;

/// Timeout of requests that are meant to time out.
const SHORT_TIMEOUT: Duration = Duration::from_secs(1);

/// Returns the outcome of one request to a server that sends `text` and closes the connection.
async fn outcome_of(text: &'static str, config: Config) -> Outcome {
    let address = serve(move |mut stream, _| async move {
        read(&mut stream).await.unwrap();
        stream.write_all(text.as_bytes()).await.unwrap();
    })
    .await;
    let (pool, _closed) = pool(config);
    let outcome = pool.run(dispatch(address, 1)).await;
    assert_eq!(pool.open_count(&backend()), 0, "the connection is closed");
    outcome
}

#[tokio::test]
async fn complete_answer() {
    let (seen, mut requests) = mpsc::channel(1);
    let address = serve(move |mut stream, _| {
        let seen = seen.clone();
        async move {
            let request = read(&mut stream).await.unwrap();
            stream.write_all(answer(&request, "done").as_bytes()).await.unwrap();
            seen.send(request).await.unwrap();
        }
    })
    .await;
    let (pool, _closed) = pool(Config::default());
    let outcome = pool.run(dispatch(address, 7)).await;
    assert_eq!(outcome.verdict(), Verdict::Ran);
    let Outcome::Answered(answer) = outcome else { panic!("{outcome:?}") };
    assert_eq!((answer.status, answer.body), (200, Bytes::from_static(b"done")));
    let request = requests.recv().await.unwrap();
    assert!(request.starts_with("POST /run HTTP/1.1\r\n"), "{request}");
    assert_eq!(header(&request, "basilrack-request"), Some("0000000000000001:7"));
    assert_eq!(header(&request, "basilrack-attempt"), Some("1"));
    let left: u128 = header(&request, "basilrack-deadline-ms").unwrap().parse().unwrap();
    assert!(left > 0 && left <= raw::LONG_TIMEOUT.as_millis(), "{left}");
    assert!(request.ends_with("\r\n\r\nwork"), "{request}");
}

#[tokio::test]
async fn verdict_header() {
    let text = "HTTP/1.1 503 Service Unavailable\r\nbasilrack-verdict: not_run\r\n\
                content-length: 0\r\n\r\n";
    let outcome = outcome_of(text, Config::default()).await;
    assert!(matches!(&outcome, Outcome::Answered(answer) if answer.status == 503));
    assert_eq!(outcome.verdict(), Verdict::NotRun);
}

#[tokio::test]
async fn connection_refused() {
    // Bound but not listening, so that no other process gets the port.
    let socket = TcpSocket::new_v4().unwrap();
    socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let (pool, _closed) = pool(Config::default());
    let outcome = pool.run(dispatch(socket.local_addr().unwrap(), 1)).await;
    assert!(matches!(outcome, Outcome::NotSent { cause: Cause::Refused }), "{outcome:?}");
    assert_eq!(outcome.verdict(), Verdict::NotRun);
    assert_eq!(pool.counters().unsent, 1);
}

#[tokio::test]
async fn connect_times_out() {
    let socket = TcpSocket::new_v4().unwrap();
    socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let listener = socket.listen(1).unwrap();
    let address = listener.local_addr().unwrap();
    // Fills the listener's backlog, since no connection is accepted.
    let mut waiting = Vec::new();
    while let Ok(stream) = timeout(SHORT_TIMEOUT, TcpStream::connect(address)).await {
        waiting.push(stream.unwrap());
    }
    let (first, _closed) = pool(Config { connect_timeout: SHORT_TIMEOUT, ..Config::default() });
    let outcome = first.run(dispatch(address, 1)).await;
    let unreachable = matches!(outcome, Outcome::NotSent { cause: Cause::Unreachable { .. } });
    assert!(unreachable, "{outcome:?}");
    let (second, _closed) =
        pool(Config { connect_timeout: raw::LONG_TIMEOUT, ..Config::default() });
    let outcome = second.run(Dispatch { timeout: SHORT_TIMEOUT, ..dispatch(address, 2) }).await;
    assert!(matches!(outcome, Outcome::TimedOut { sent: false }), "{outcome:?}");
    assert_eq!(outcome.verdict(), Verdict::NotRun);
    assert_eq!(second.open_count(&backend()), 0);
}

#[tokio::test]
async fn closed_after_request() {
    let outcome = outcome_of("", Config::default()).await;
    assert!(matches!(outcome, Outcome::Broken { cause: Cause::Closed { .. } }), "{outcome:?}");
    assert_eq!(outcome.verdict(), Verdict::Unknown);
}

#[tokio::test]
async fn closed_during_request() {
    let address = serve(|mut stream, _| async move {
        stream.read_exact(&mut [0; 1_000]).await.unwrap();
    })
    .await;
    let (pool, _closed) = pool(Config::default());
    let body = Bytes::from(vec![0; 32 << 20]);
    let outcome = pool.run(Dispatch { body, ..dispatch(address, 1) }).await;
    assert!(matches!(outcome, Outcome::Broken { .. }), "{outcome:?}");
    assert_eq!(outcome.verdict(), Verdict::Unknown);
}

#[tokio::test]
async fn truncated_answers() {
    let texts = [
        "HTTP/1.1 200 OK\r\ncontent-le",
        "HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\n",
        "HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\nabc",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n3\r\nabc\r\n",
    ];
    for text in texts {
        let outcome = outcome_of(text, Config::default()).await;
        let closed = matches!(outcome, Outcome::Broken { cause: Cause::Closed { .. } });
        assert!(closed, "{text:?}: {outcome:?}");
        assert_eq!(outcome.verdict(), Verdict::Unknown);
    }
}

#[tokio::test]
async fn malformed_answer() {
    let outcome = outcome_of("hello, how are you?\r\n\r\n", Config::default()).await;
    assert!(matches!(outcome, Outcome::Broken { cause: Cause::Malformed { .. } }), "{outcome:?}");
    assert_eq!(outcome.verdict(), Verdict::Unknown);
}

#[tokio::test]
async fn answer_too_long() {
    let config = Config { answer_len: 4, ..Config::default() };
    let texts = [
        "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nabcde",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n",
    ];
    for text in texts {
        let outcome = outcome_of(text, config.clone()).await;
        let too_long = matches!(outcome, Outcome::Broken { cause: Cause::TooLong { limit: 4 } });
        assert!(too_long, "{text:?}: {outcome:?}");
    }
}

#[tokio::test]
async fn no_answer_in_time() {
    let (ended, mut ends) = mpsc::channel(1);
    let address = serve(move |mut stream, _| {
        let ended = ended.clone();
        async move {
            read(&mut stream).await.unwrap();
            assert_eq!(read(&mut stream).await, None);
            ended.send(()).await.unwrap();
        }
    })
    .await;
    let (pool, _closed) = pool(Config::default());
    let outcome = pool.run(Dispatch { timeout: SHORT_TIMEOUT, ..dispatch(address, 1) }).await;
    assert!(matches!(outcome, Outcome::TimedOut { sent: true }), "{outcome:?}");
    assert_eq!(outcome.verdict(), Verdict::Unknown);
    ends.recv().await.expect("the backend server sees the connection closed");
    assert_eq!((pool.open_count(&backend()), pool.counters().timed_out), (0, 1));
}

#[tokio::test]
async fn body_not_read_in_time() {
    let address = serve(|stream, _| async move {
        tokio::time::sleep(raw::LONG_TIMEOUT).await;
        drop(stream);
    })
    .await;
    let (pool, _closed) = pool(Config::default());
    let body = Bytes::from(vec![0; 32 << 20]);
    let outcome = pool.run(Dispatch { timeout: SHORT_TIMEOUT, body, ..dispatch(address, 1) }).await;
    assert!(matches!(outcome, Outcome::TimedOut { sent: true }), "{outcome:?}");
}
