//! A link that goes silent is found and replaced in time.

mod nodes;

use std::time::Duration;

use bytes::Bytes;
use futures_util::SinkExt;
use futures_util::StreamExt;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use tokio::time::Instant;
use tokio_tungstenite::tungstenite::Message;

use crate::nodes::Fault;
use crate::nodes::Node;
use crate::nodes::Proxy;
use crate::nodes::hello;
use crate::nodes::quick;
use net::PeerEvent;
use net::peer::Config;
use net::peer::Heartbeat;
use net::peer::HeartbeatAction;
use net::peer::Reason;
use net::peer::Side;
use wire::Frame;
use wire::Subsystem;

/// Limit on replacing a silent link.
const LIMIT: Duration = Duration::from_secs(3);

#[test]
fn within_limit() {
    let config = Config::default();
    let found = config.heartbeat_interval + config.silence_timeout;
    assert!(found + config.min_backoff + config.handshake_timeout <= LIMIT, "{config:?}");
    assert!(
        config.write_timeout + config.min_backoff + config.handshake_timeout <= LIMIT,
        "{config:?}"
    );
}

/// When `heartbeat` finds a link silent on which nothing arrives after `now`.
fn silence_time(heartbeat: &mut Heartbeat, mut now: Instant) -> Instant {
    loop {
        match heartbeat.poll(now) {
            HeartbeatAction::Wait(until) => {
                assert!(until > now, "waits for the past");
                now = until;
            }
            HeartbeatAction::Ping(_) => {}
            HeartbeatAction::Silent => return now,
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(5),
        ..ProptestConfig::default()
    })]

    #[test]
    fn silence_is_found(trips in proptest::collection::vec(0u64..1_400, 0..50)) {
        let config = Config::default();
        let limit = config.heartbeat_interval + config.silence_timeout;
        let mut now = Instant::now();
        let mut dialer = Heartbeat::new(Side::Dialer, config.heartbeat_interval, config.silence_timeout, now);
        let mut acceptor = Heartbeat::new(Side::Acceptor, config.heartbeat_interval, config.silence_timeout, now);
        let mut last = now;
        for trip in trips {
            let ping = loop {
                match dialer.poll(now) {
                    HeartbeatAction::Wait(until) => now = until,
                    HeartbeatAction::Ping(sequence) => break sequence,
                    HeartbeatAction::Silent => prop_assert!(false, "an answered link is not silent"),
                }
            };
            prop_assert!(acceptor.poll(now) != HeartbeatAction::Silent);
            acceptor.record_frame(now);
            let late = silence_time(&mut acceptor.clone(), now);
            prop_assert!(late - now <= limit);
            now += Duration::from_millis(trip);
            dialer.record_pong(ping, now);
            last = now;
        }
        prop_assert!(silence_time(&mut dialer, now) - last <= limit);
    }
}

#[tokio::test]
async fn swallowed_frames() {
    let mut one = Node::start(1, quick()).await;
    let mut two = Node::start(2, quick()).await;
    let proxy = Proxy::start(two.address).await;
    one.peers.connect(two.id, proxy.address);
    one.up().await;
    two.up().await;
    for _ in 0..3 {
        proxy.strike(Fault::Silence);
        for node in [&mut one, &mut two] {
            let reason = node
                .next(|event| match event {
                    PeerEvent::Down { reason, .. } => Some(reason),
                    _ => None,
                })
                .await;
            // Either may be first to close, and the other then sees an end or a new connection.
            let expected = matches!(
                reason,
                Reason::Silent | Reason::Replaced | Reason::Closed(_) | Reason::Io(_)
            );
            assert!(expected, "{reason}");
        }
        assert_eq!((one.up().await, two.up().await), (two.id, one.id));
    }
    let (sender, to) = (one.peers.clone(), two.id);
    let sending = async {
        loop {
            // On a busy machine the link may be replaced once more.
            let _ = sender.send(to, Subsystem::Burn, Bytes::from_static(b"x"));
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    tokio::select! {
        () = sending => {}
        () = two.next(|event| matches!(event, PeerEvent::Message { .. }).then_some(())) => {}
    }
    assert!(one.peers.counters().silent + two.peers.counters().silent >= 3);
    proxy.strike(Fault::Cut);
    assert_eq!((one.up().await, two.up().await), (two.id, one.id));
}

#[tokio::test]
async fn peer_stops_reading() {
    let config = Config { silence_timeout: LIMIT * 10, ..quick() };
    let mut node = Node::start(1, config).await;
    let url = format!("ws://{}/peer", node.address);
    let stream = tokio::net::TcpStream::connect(node.address).await.unwrap();
    let (mut socket, _) = tokio_tungstenite::client_async(url, stream).await.unwrap();
    let frame = Frame::Hello(hello(2)).encode().unwrap();
    socket.send(Message::Binary(frame)).await.unwrap();
    let answer = socket.next().await.unwrap().unwrap();
    assert_eq!(Frame::decode(&answer.into_data()), Ok(Frame::Hello(hello(1))));
    let peer = node.up().await;
    // Keeps pinging, so that only the writing side can find out.
    let pings = async {
        for sequence in 1.. {
            let ping = Frame::Ping(sequence).encode().unwrap();
            if socket.send(Message::Binary(ping)).await.is_err() {
                break;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    let body = Bytes::from(vec![0; 1 << 20]);
    let peers = node.peers.clone();
    let flood = async {
        while peers.is_linked(peer) {
            // The queue fills up; that it never grows beyond its limit is tested elsewhere.
            let _ = peers.send(peer, Subsystem::Gang, body.clone());
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    };
    let down = node.next(|event| match event {
        PeerEvent::Down { reason, .. } => Some(reason),
        _ => None,
    });
    let (_, (), reason) = tokio::join!(tokio::time::timeout(LIMIT * 10, pings), flood, down);
    assert!(matches!(reason, Reason::Stalled), "{reason}");
}
