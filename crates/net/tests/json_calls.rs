//! JSON calls, and the verdicts of failed ones.

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use hyper::Method;
use hyper::Uri;
use serde::Deserialize;
use serde::Serialize;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpSocket;

use model::Verdict;
use net::Rest;
use net::RestError;
use net::rest::Config;

#[derive(Debug, PartialEq, Serialize, Deserialize)]
struct Lease {
    worker: String,
    epoch: u64,
}

/// A server that answers the first request of each connection with a fixed text.
struct Server {
    uri: Uri,
    requests: Arc<AtomicUsize>,
}

impl Server {
    /// Starts a server that sends `text` and then keeps the connection open if `keep` is set.
    async fn start(text: &'static str, keep: bool) -> Server {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let uri = format!("http://{}/lease", listener.local_addr().unwrap()).parse().unwrap();
        let requests = Arc::new(AtomicUsize::new(0));
        let seen = Arc::clone(&requests);
        tokio::spawn(async move {
            let mut kept = Vec::new();
            loop {
                let (mut stream, _) = listener.accept().await.unwrap();
                let mut request = [0; 4_096];
                let len = stream.read(&mut request).await.unwrap();
                seen.fetch_add(usize::from(len > 0), Ordering::Relaxed);
                stream.write_all(text.as_bytes()).await.unwrap();
                if keep {
                    kept.push(stream);
                }
            }
        });
        Server { uri, requests }
    }

    /// Returns the error of one POST request.
    async fn post_error(&self, config: Config) -> RestError {
        let lease = Lease { worker: "w1".to_owned(), epoch: 3 };
        let answer: Result<Lease, _> = Rest::new(config).post_json(&self.uri, &lease).await;
        assert_eq!(self.requests.load(Ordering::Relaxed), 1, "the request is sent exactly once");
        answer.unwrap_err()
    }
}

#[tokio::test]
async fn complete_answers() {
    let text = "HTTP/1.1 200 OK\r\ncontent-length: 25\r\n\r\n{\"worker\":\"w1\",\"epoch\":3}\n";
    let server = Server::start(text, true).await;
    let rest = Rest::new(Config::default());
    let lease = Lease { worker: "w1".to_owned(), epoch: 3 };
    assert_eq!(rest.get_json::<Lease>(&server.uri).await.unwrap(), lease);
    let server = Server::start(text, true).await;
    assert_eq!(rest.post_json::<_, Lease>(&server.uri, &lease).await.unwrap(), lease);
    let server = Server::start("HTTP/1.1 204 No Content\r\n\r\n", true).await;
    let empty: Option<Lease> = rest.send_json(Method::PUT, &server.uri, &lease).await.unwrap();
    assert_eq!(empty, None);
}

#[tokio::test]
async fn refused_connection() {
    // Bound but not listening, so that no other process gets the port.
    let socket = TcpSocket::new_v4().unwrap();
    socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let uri = format!("http://{}/", socket.local_addr().unwrap()).parse().unwrap();
    let error = Rest::new(Config::default()).get_json::<Lease>(&uri).await.unwrap_err();
    assert!(matches!(error, RestError::Connect { .. }), "{error}");
    assert_eq!(error.verdict(), Verdict::NotRun);
}

#[tokio::test]
async fn error_statuses() {
    let cases = [
        ("HTTP/1.1 409 Conflict\r\ncontent-length: 4\r\n\r\nheld", Verdict::NotRun),
        ("HTTP/1.1 408 Request Timeout\r\ncontent-length: 0\r\n\r\n", Verdict::Unknown),
        ("HTTP/1.1 500 Oops\r\ncontent-length: 0\r\n\r\n", Verdict::Unknown),
        (
            "HTTP/1.1 503 Busy\r\ncontent-length: 21\r\n\r\n{\"verdict\":\"not_run\"}\n",
            Verdict::NotRun,
        ),
    ];
    for (text, verdict) in cases {
        let error = Server::start(text, true).await.post_error(Config::default()).await;
        assert!(matches!(error, RestError::Status { .. }), "{error}");
        assert_eq!(error.verdict(), verdict, "{error}");
    }
}

#[tokio::test]
async fn incomplete_answers() {
    let short = Config { deadline: Duration::from_secs(1), ..Config::default() };
    let silent = Server::start("", true).await.post_error(short).await;
    assert!(matches!(silent, RestError::Deadline { .. }), "{silent}");
    assert_eq!(silent.verdict(), Verdict::Unknown);
    for text in ["", "HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\n{}", "what?\r\n\r\n"] {
        let error = Server::start(text, false).await.post_error(Config::default()).await;
        assert!(matches!(error, RestError::Broken { .. }), "{text:?}: {error}");
        assert_eq!(error.verdict(), Verdict::Unknown);
    }
}

#[tokio::test]
async fn unusable_answers() {
    let text = "HTTP/1.1 200 OK\r\ncontent-length: 7\r\n\r\n[1,2,3]";
    let error = Server::start(text, true).await.post_error(Config::default()).await;
    assert!(matches!(error, RestError::Answer { .. }), "{error}");
    assert_eq!(error.verdict(), Verdict::Ran);
    let short = Config { answer_len: 6, ..Config::default() };
    let error = Server::start(text, true).await.post_error(short).await;
    assert!(matches!(error, RestError::TooLong { limit: 6, .. }), "{error}");
}
