//! Invalid input from a peer ends only its connection, with a close frame that states the reason.

mod nodes;

use bytes::Bytes;
use futures_util::SinkExt;
use futures_util::StreamExt;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio_tungstenite::WebSocketStream;
use tokio_tungstenite::tungstenite::Message;

use crate::nodes::Fault;
use crate::nodes::Node;
use crate::nodes::Proxy;
use crate::nodes::fast_config;
use crate::nodes::hello;
use net::PeerEvent;
use net::SendError;
use net::peer::Config;
use net::peer::Reason;
use wire::Frame;
use wire::Hello;
use wire::MAX_FRAME_LEN;
use wire::PROTOCOL_VERSION;
use wire::Subsystem;

type Socket = WebSocketStream<TcpStream>;

async fn dial(node: &Node) -> Socket {
    let stream = TcpStream::connect(node.address).await.unwrap();
    let url = format!("ws://{}/peer", node.address);
    tokio_tungstenite::client_async(url, stream).await.unwrap().0
}

async fn send(socket: &mut Socket, frame: &Frame) {
    socket.send(Message::Binary(frame.encode().unwrap())).await.unwrap();
}

/// Opens a connection to `node` and exchanges hellos.
async fn handshake(node: &mut Node) -> Socket {
    let mut socket = dial(node).await;
    send(&mut socket, &Frame::Hello(hello(2))).await;
    let answer = socket.next().await.unwrap().unwrap().into_data();
    assert_eq!(Frame::decode(&answer), Ok(Frame::Hello(hello(node.id.0))));
    node.wait_up().await;
    socket
}

/// Returns the reason with which the node closes the connection.
async fn close_reason(socket: &mut Socket) -> String {
    loop {
        match socket.next().await {
            Some(Ok(Message::Close(Some(frame)))) => return frame.reason.to_string(),
            Some(Ok(Message::Binary(_))) => {}
            other => panic!("no reason: {other:?}"),
        }
    }
}

async fn wait_down(node: &mut Node) -> Reason {
    node.next(|event| match event {
        PeerEvent::Down { reason, .. } => Some(reason),
        _ => None,
    })
    .await
}

#[tokio::test]
async fn unsupported_dialer_version() {
    let mut node = Node::start(1, Config::default()).await;
    let mut socket = dial(&node).await;
    send(&mut socket, &Frame::Hello(Hello { version: PROTOCOL_VERSION + 1, ..hello(2) })).await;
    let reason = close_reason(&mut socket).await;
    assert_eq!(reason, "protocol version 2 is not supported, expected 1");
    assert_eq!(node.peers.counters().malformed, 1);
    handshake(&mut node).await;
}

#[tokio::test]
async fn unsupported_acceptor_version() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let mut node = Node::start(1, Config::default()).await;
    node.peers.connect(hello(2).incarnation, address);
    let (stream, _) = listener.accept().await.unwrap();
    let mut socket = tokio_tungstenite::accept_async(stream).await.unwrap();
    socket.next().await.unwrap().unwrap();
    send(&mut socket, &Frame::Hello(Hello { version: 9, ..hello(2) })).await;
    assert_eq!(close_reason(&mut socket).await, "protocol version 9 is not supported, expected 1");
    let reason = node
        .next(|event| match event {
            PeerEvent::Failed { reason, .. } => Some(reason),
            _ => None,
        })
        .await;
    assert!(matches!(reason, Reason::Version { found: 9, expected: 1 }), "{reason}");
}

#[tokio::test]
async fn malformed_frames() {
    let mut node = Node::start(1, Config::default()).await;
    let frames = [
        Message::Binary(Bytes::from_static(b"\xff\xff\xff")),
        Message::Binary(Bytes::new()),
        Message::Binary(Bytes::from(vec![0x81; 4_096])),
        Message::Text("hello".into()),
        Message::Binary(Frame::Hello(hello(2)).encode().unwrap()),
    ];
    for (round, frame) in frames.into_iter().enumerate() {
        let mut socket = handshake(&mut node).await;
        socket.send(frame).await.unwrap();
        let reason = close_reason(&mut socket).await;
        assert!(reason.starts_with("protocol error: "), "{round}: {reason}");
        let reason = wait_down(&mut node).await;
        assert!(matches!(reason, Reason::Protocol(_)), "{round}: {reason}");
    }
    assert_eq!(node.peers.counters().malformed, 5);
}

#[tokio::test]
async fn oversized_frame() {
    let mut node = Node::start(1, Config::default()).await;
    let mut socket = handshake(&mut node).await;
    // The node closes the connection before it has read the whole frame, so sending may fail.
    let _ = socket.send(Message::Binary(vec![0; MAX_FRAME_LEN + 1].into())).await;
    let reason = wait_down(&mut node).await;
    assert!(matches!(reason, Reason::Protocol(_)), "{reason}");
    handshake(&mut node).await;
}

#[tokio::test]
async fn malformed_hello() {
    let mut node = Node::start(1, Config::default()).await;
    for frame in [Frame::Ping(1).encode().unwrap(), Bytes::from_static(b"\x00")] {
        let mut socket = dial(&node).await;
        socket.send(Message::Binary(frame)).await.unwrap();
        let reason = close_reason(&mut socket).await;
        assert!(reason.starts_with("protocol error: "), "{reason}");
    }
    let mut socket = dial(&node).await;
    send(&mut socket, &Frame::Hello(hello(1))).await;
    assert_eq!(close_reason(&mut socket).await, "connection leads back to this process");
    handshake(&mut node).await;
}

#[tokio::test]
async fn not_a_websocket() {
    let mut node = Node::start(1, Config::default()).await;
    let mut stream = TcpStream::connect(node.address).await.unwrap();
    stream.write_all(b"\x16\x03\x01 what is this?\r\n\r\n").await.unwrap();
    // The node may send an error response or reset the connection, but must end it.
    let _ = stream.read_to_end(&mut Vec::new()).await;
    handshake(&mut node).await;
}

#[tokio::test]
async fn missing_hello() {
    let config = Config { handshake_timeout: std::time::Duration::from_secs(1), ..fast_config() };
    let node = Node::start(1, config).await;
    let mut stream = TcpStream::connect(node.address).await.unwrap();
    let mut socket = dial(&node).await;
    assert_eq!(stream.read(&mut [0; 8]).await.unwrap_or(0), 0, "closed before the upgrade");
    assert!(socket.next().await.is_none_or(|message| message.is_err()), "closed after it");
}

#[tokio::test]
async fn unknown_frame_kind() {
    let mut node = Node::start(1, Config::default()).await;
    let mut socket = handshake(&mut node).await;
    send(&mut socket, &Frame::Unknown { kind: 900 }).await;
    send(
        &mut socket,
        &Frame::Data { subsystem: Subsystem::Burn, body: Bytes::from_static(b"\xff") },
    )
    .await;
    let body = node
        .next(|event| match event {
            PeerEvent::Message { body, .. } => Some(body),
            PeerEvent::Down { reason, .. } => panic!("{reason}"),
            _ => None,
        })
        .await;
    assert_eq!(
        body,
        Bytes::from_static(b"\xff"),
        "the connection does not decode bodies of data frames"
    );
    assert_eq!(node.peers.counters().unknown, 1);
}

#[tokio::test]
async fn queue_full() {
    const FRAMES: usize = 16;
    const FRAME_LEN: usize = 100;
    let small = [
        Config { queue_frames: FRAMES, ..Config::default() },
        Config { queue_bytes: FRAMES * FRAME_LEN, ..Config::default() },
    ];
    for config in small {
        let mut one = Node::start(1, config).await;
        let mut two = Node::start(2, Config::default()).await;
        let proxy = Proxy::start(two.address).await;
        one.peers.connect(two.id, proxy.address);
        one.wait_up().await;
        two.wait_up().await;
        // The runtime has a single thread, so nothing is written between these calls.
        let body = Bytes::from(vec![0; FRAME_LEN]);
        let results: Vec<_> = (0..2 * FRAMES)
            .map(|_| one.peers.send(two.id, Subsystem::Route, body.clone()))
            .collect();
        let sent = results.iter().filter(|result| result.is_ok()).count();
        assert!(sent > 0 && sent <= FRAMES, "{sent}");
        assert_eq!(results.last(), Some(&Err(SendError::QueueFull(two.id))));
        assert_eq!(one.peers.counters().dropped as usize, 2 * FRAMES - sent);
        for _ in 0..sent {
            two.next(|event| matches!(event, PeerEvent::Message { .. }).then_some(())).await;
        }
        one.peers.send(two.id, Subsystem::Route, body).expect("the queue has room again");
        proxy.inject(Fault::Close);
        wait_down(&mut one).await;
    }
}
