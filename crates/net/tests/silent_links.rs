//! Silent links are detected and replaced within a time limit.

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
use crate::nodes::fast_config;
use crate::nodes::hello;
use net::PeerEvent;
use net::peer::Config;
use net::peer::Heartbeat;
use net::peer::HeartbeatAction;
use net::peer::Reason;
use net::peer::Side;
use wire::Frame;
use wire::Subsystem;

/// Time limit on replacing a silent link.
const REPLACE_TIMEOUT: Duration = Duration::from_secs(3);

#[test]
fn defaults_within_limit() {
    let config = Config::default();
    let detected = config.heartbeat_interval + config.silence_timeout;
    assert!(
        detected + config.min_backoff + config.handshake_timeout <= REPLACE_TIMEOUT,
        "{config:?}"
    );
    assert!(
        config.write_timeout + config.min_backoff + config.handshake_timeout <= REPLACE_TIMEOUT,
        "{config:?}"
    );
}

/// Returns when `heartbeat` reports a link as silent on which nothing arrives after `now`.
fn silence_time(heartbeat: &mut Heartbeat, mut now: Instant) -> Instant {
    loop {
        match heartbeat.poll(now) {
            HeartbeatAction::Wait(until) => {
                assert!(until > now, "the wait ends in the past");
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
    fn silence_detection_time(round_trips in proptest::collection::vec(0u64..1_400, 0..50)) {
        let config = Config::default();
        let limit = config.heartbeat_interval + config.silence_timeout;
        let mut now = Instant::now();
        let mut dialer =
            Heartbeat::new(Side::Dialer, config.heartbeat_interval, config.silence_timeout, now);
        let mut acceptor =
            Heartbeat::new(Side::Acceptor, config.heartbeat_interval, config.silence_timeout, now);
        let mut last = now;
        for round_trip in round_trips {
            let ping = loop {
                match dialer.poll(now) {
                    HeartbeatAction::Wait(until) => now = until,
                    HeartbeatAction::Ping(sequence) => break sequence,
                    HeartbeatAction::Silent =>
                        prop_assert!(false, "a link with answered pings is not silent"),
                }
            };
            prop_assert!(acceptor.poll(now) != HeartbeatAction::Silent);
            acceptor.record_frame(now);
            let detected = silence_time(&mut acceptor.clone(), now);
            prop_assert!(detected - now <= limit);
            now += Duration::from_millis(round_trip);
            dialer.record_pong(ping, now);
            last = now;
        }
        prop_assert!(silence_time(&mut dialer, now) - last <= limit);
    }
}

#[tokio::test]
async fn blackholed_link_replaced() {
    let mut one = Node::start(1, fast_config()).await;
    let mut two = Node::start(2, fast_config()).await;
    let proxy = Proxy::start(two.address).await;
    one.peers.connect(two.id, proxy.address);
    one.wait_up().await;
    two.wait_up().await;
    for _ in 0..3 {
        proxy.inject(Fault::Blackhole);
        for node in [&mut one, &mut two] {
            let reason = node
                .next(|event| match event {
                    PeerEvent::Down { reason, .. } => Some(reason),
                    _ => None,
                })
                .await;
            // Either side may close first; the other then sees the close or a new connection.
            let expected = matches!(
                reason,
                Reason::Silent | Reason::Replaced | Reason::Closed(_) | Reason::Io(_)
            );
            assert!(expected, "{reason}");
        }
        assert_eq!((one.wait_up().await, two.wait_up().await), (two.id, one.id));
    }
    let (sender, to) = (one.peers.clone(), two.id);
    let sending = async {
        loop {
            // On a busy machine the link may be replaced again, so the message is repeated.
            let _ = sender.send(to, Subsystem::Burn, Bytes::from_static(b"x"));
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    tokio::select! {
        () = sending => {}
        () = two.next(|event| matches!(event, PeerEvent::Message { .. }).then_some(())) => {}
    }
    assert!(one.peers.counters().silent + two.peers.counters().silent >= 3);
    proxy.inject(Fault::Close);
    assert_eq!((one.wait_up().await, two.wait_up().await), (two.id, one.id));
}

#[tokio::test]
async fn peer_stops_reading() {
    let config = Config { silence_timeout: REPLACE_TIMEOUT * 10, ..fast_config() };
    let mut node = Node::start(1, config).await;
    let url = format!("ws://{}/peer", node.address);
    let stream = tokio::net::TcpStream::connect(node.address).await.unwrap();
    let (mut socket, _) = tokio_tungstenite::client_async(url, stream).await.unwrap();
    let frame = Frame::Hello(hello(2)).encode().unwrap();
    socket.send(Message::Binary(frame)).await.unwrap();
    let answer = socket.next().await.unwrap().unwrap();
    assert_eq!(Frame::decode(&answer.into_data()), Ok(Frame::Hello(hello(1))));
    let peer = node.wait_up().await;
    // Keeps sending pings, so that only the node's write timeout can detect the peer.
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
            // The queue fills up; another test covers its limit.
            let _ = peers.send(peer, Subsystem::Gang, body.clone());
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    };
    let down = node.next(|event| match event {
        PeerEvent::Down { reason, .. } => Some(reason),
        _ => None,
    });
    let (_, (), reason) =
        tokio::join!(tokio::time::timeout(REPLACE_TIMEOUT * 10, pings), flood, down);
    assert!(matches!(reason, Reason::Stalled), "{reason}");
}
