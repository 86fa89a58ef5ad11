//! A refused call must leave its connection usable, also when its body was not read.

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::Request;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

use crate::stage::Stage;

/// Number of times that all calls are sent on one connection.
const ROUNDS: usize = 50;

#[tokio::test(flavor = "multi_thread")]
async fn refusals_in_a_row() {
    let stage = Stage::start("kept-connections");
    let process = stage.spawn("a");
    let stream = TcpStream::connect(process.address).await.unwrap();
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await.unwrap();
    tokio::spawn(connection);
    let calls = [
        ("DELETE", "/v1/requests/0123456789abcdef:1", "", 405),
        ("PUT", "/v1/requests/1:2", "unwanted", 400),
        ("POST", "/nowhere", "unwanted", 404),
        ("POST", "/v1/jobs", "{", 400),
        ("GET", "/v1/status", "", 401),
    ];
    for round in 0..ROUNDS {
        for (method, path, body, status) in calls {
            let request = Request::builder().method(method).uri(path).header("host", "entry");
            let request = request.body(Full::new(Bytes::from_static(body.as_bytes()))).unwrap();
            sender.ready().await.unwrap_or_else(|error| panic!("round {round}, {path}: {error}"));
            let response = sender.send_request(request).await;
            let response = response.unwrap_or_else(|e| panic!("round {round}, {path}: {e}"));
            assert_eq!(response.status(), status, "{method} {path}");
            response.into_body().collect().await.unwrap();
        }
    }
}
