//! Opening, replacing and closing links, and the order of their messages.

mod nodes;

use std::time::Duration;

use bytes::Bytes;

use crate::nodes::Fault;
use crate::nodes::Node;
use crate::nodes::Proxy;
use crate::nodes::fast_config;
use model::Incarnation;
use net::PeerEvent;
use net::SendError;
use net::peer::Config;
use net::peer::Distance;
use net::peer::Reason;
use wire::MAX_BODY_LEN;
use wire::Subsystem;

fn number(number: u64) -> Bytes {
    wire::encode(&number).unwrap()
}

/// Returns the number in the next message to `node`.
async fn next_number(node: &mut Node) -> u64 {
    let body = node
        .next(|event| match event {
            PeerEvent::Message { body, .. } => Some(body),
            _ => None,
        })
        .await;
    wire::decode(&body).unwrap()
}

/// Checks that links to one peer open and close alternately, and returns the event.
fn check_alternation(up: &mut bool, event: PeerEvent) -> PeerEvent {
    match &event {
        PeerEvent::Up { .. } => assert!(!std::mem::replace(up, true), "a second link"),
        PeerEvent::Down { .. } => assert!(std::mem::replace(up, false), "no link to end"),
        PeerEvent::Message { .. } => assert!(*up, "message without a link"),
        PeerEvent::Failed { .. } => {}
    }
    event
}

#[tokio::test]
async fn messages_in_order() {
    let mut one = Node::start(1, Config::default()).await;
    let mut two = Node::start(2, Config::default()).await;
    let missing = one.peers.send(two.id, Subsystem::Route, number(0));
    assert_eq!(missing, Err(SendError::NoLink(two.id)));
    one.peers.connect(two.id, two.address);
    assert_eq!((one.wait_up().await, two.wait_up().await), (two.id, one.id));
    for value in 0..1_000 {
        one.peers.send(two.id, Subsystem::Route, number(value)).unwrap();
        two.peers.send(one.id, Subsystem::Gang, number(value)).unwrap();
    }
    for value in 0..1_000 {
        assert_eq!((next_number(&mut one).await, next_number(&mut two).await), (value, value));
    }
    let counters = one.peers.counters();
    assert_eq!((counters.sent, counters.received, counters.dropped), (1_000, 1_000, 1));
    let volume = counters.bytes[&Distance::Region];
    assert!(volume.sent > 1_000 && volume.received > 1_000, "{volume:?}");
}

#[tokio::test]
async fn subsystem_and_sender() {
    let mut one = Node::start(1, Config::default()).await;
    let mut two = Node::start(2, Config::default()).await;
    one.peers.connect(two.id, two.address);
    one.wait_up().await;
    let longest = Bytes::from(vec![7; MAX_BODY_LEN]);
    one.peers.send(two.id, Subsystem::Fleet, longest.clone()).unwrap();
    let message = two
        .next(|event| match event {
            PeerEvent::Message { from, subsystem, body } => Some((from, subsystem, body)),
            _ => None,
        })
        .await;
    assert_eq!(message, (one.id, Subsystem::Fleet, longest));
    let longer = Bytes::from(vec![7; MAX_BODY_LEN + 1]);
    let error = one.peers.send(two.id, Subsystem::Fleet, longer).unwrap_err();
    assert!(matches!(error, SendError::Encode { .. }), "{error}");
}

#[tokio::test]
async fn simultaneous_dials() {
    for round in 0..20 {
        let mut one = Node::start(1, Config::default()).await;
        let mut two = Node::start(2, Config::default()).await;
        one.peers.connect(two.id, two.address);
        two.peers.connect(one.id, one.address);
        let (mut one_up, mut two_up) = (false, false);
        // Messages may be lost while one connection is replaced, so each side keeps sending.
        let (mut last_one, mut last_two) = (None, None);
        let mut value = 0;
        while last_one.is_none() || last_two.is_none() {
            value += 1;
            let _ = one.peers.send(two.id, Subsystem::Route, number(value));
            let _ = two.peers.send(one.id, Subsystem::Route, number(value));
            let pause = tokio::time::sleep(Duration::from_millis(1));
            tokio::select! {
                event = one.events.recv() =>
                    record_event(&mut one_up, &mut last_one, event.unwrap()),
                event = two.events.recv() =>
                    record_event(&mut two_up, &mut last_two, event.unwrap()),
                () = pause => {}
            }
        }
        assert_eq!(one.peers.counters().links, 1, "round {round}");
        assert_eq!(two.peers.counters().links, 1, "round {round}");
        one.peers.stop().await;
        two.peers.stop().await;
    }
}

fn record_event(up: &mut bool, last: &mut Option<u64>, event: PeerEvent) {
    if let PeerEvent::Message { body, .. } = check_alternation(up, event) {
        let value = wire::decode(&body).unwrap();
        assert!(last.is_none_or(|last| last < value), "{last:?} then {value}");
        *last = Some(value);
    }
}

#[tokio::test]
async fn reopened_links() {
    const RECONNECTS: u64 = 20;
    const MESSAGES: u64 = 50;
    let one = Node::start(1, fast_config()).await;
    let mut two = Node::start(2, fast_config()).await;
    let proxy = Proxy::start(two.address).await;
    one.peers.connect(two.id, proxy.address);
    let sender = one.peers.clone();
    let to = two.id;
    let sending = tokio::spawn(async move {
        for value in 0.. {
            let _ = sender.send(to, Subsystem::Route, number(value));
            if value % 10 == 0 {
                tokio::time::sleep(Duration::from_millis(1)).await;
            }
        }
    });
    let (mut up, mut last, mut count, mut links) = (false, None, 0, 0);
    while links <= RECONNECTS {
        let event = two.events.recv().await.unwrap();
        match event {
            PeerEvent::Up { .. } => (count, links) = (0, links + 1),
            PeerEvent::Message { .. } => count += 1,
            _ => {}
        }
        record_event(&mut up, &mut last, event);
        if count == MESSAGES {
            proxy.inject(Fault::Close);
        }
    }
    sending.abort();
}

#[tokio::test]
async fn wrong_incarnation() {
    let mut one = Node::start(1, Config::default()).await;
    let two = Node::start(2, Config::default()).await;
    one.peers.connect(Incarnation(3), two.address);
    for _ in 0..3 {
        let reason = one
            .next(|event| match event {
                PeerEvent::Failed { reason, .. } => Some(reason),
                PeerEvent::Up { .. } => panic!("linked to another incarnation"),
                _ => None,
            })
            .await;
        let expected = Incarnation(3);
        let wrong = matches!(reason, Reason::WrongPeer { found, expected: e } if found == two.id && e == expected);
        assert!(wrong, "{reason}");
    }
}

#[tokio::test]
async fn dial_by_address() {
    let mut one = Node::start(1, Config::default()).await;
    let mut two = Node::start(2, Config::default()).await;
    one.peers.dial_once(one.address);
    one.peers.dial_once(two.address);
    assert_eq!((one.wait_up().await, two.wait_up().await), (two.id, one.id));
    // Neither call replaces the open link.
    one.peers.dial_once(two.address);
    one.peers.connect(two.id, two.address);
    one.peers.send(two.id, Subsystem::Fleet, number(1)).unwrap();
    let event = two.events.recv().await.unwrap();
    assert!(matches!(event, PeerEvent::Message { .. }), "{event:?}");
    two.peers.stop().await;
    let event = one.events.recv().await.unwrap();
    assert!(matches!(event, PeerEvent::Down { .. }), "{event:?}");
    assert_eq!((one.peers.counters().opened, two.peers.counters().opened), (1, 1));
}

#[tokio::test]
async fn repeated_dial_once() {
    let config = Config::default();
    let mut one = Node::start(1, config.clone()).await;
    let mut two = Node::start(2, config.clone()).await;
    one.peers.dial_once(two.address);
    assert_eq!((one.wait_up().await, two.wait_up().await), (two.id, one.id));
    // After the handshake timeout, a second connection no longer counts as dialled simultaneously.
    tokio::time::sleep(config.handshake_timeout * 2).await;
    two.peers.dial_once(one.address);
    assert_eq!((one.wait_up().await, two.wait_up().await), (two.id, one.id));
    // Both sides now know that they have a link to the address, so neither call dials.
    tokio::time::sleep(config.handshake_timeout * 2).await;
    one.peers.dial_once(two.address);
    two.peers.dial_once(one.address);
    one.peers.send(two.id, Subsystem::Fleet, number(1)).unwrap();
    two.peers.send(one.id, Subsystem::Fleet, number(2)).unwrap();
    assert_eq!((next_number(&mut one).await, next_number(&mut two).await), (2, 1));
    one.peers.stop().await;
    two.peers.stop().await;
    assert_eq!((one.peers.counters().opened, two.peers.counters().opened), (2, 2));
}

#[tokio::test]
async fn forgotten_peer() {
    let mut one = Node::start(1, Config::default()).await;
    let mut two = Node::start(2, Config::default()).await;
    one.peers.connect(two.id, two.address);
    one.wait_up().await;
    two.wait_up().await;
    one.peers.forget(two.id);
    let reason = one
        .next(|event| match event {
            PeerEvent::Down { reason, .. } => Some(reason),
            _ => None,
        })
        .await;
    assert!(matches!(reason, Reason::Local), "{reason}");
    let reason = two
        .next(|event| match event {
            PeerEvent::Down { reason, .. } => Some(reason),
            _ => None,
        })
        .await;
    assert!(matches!(reason, Reason::Closed(_)), "{reason}");
    assert!(!one.peers.is_linked(two.id) && !two.peers.is_linked(one.id));
    one.peers.connect(two.id, two.address);
    assert_eq!((one.wait_up().await, two.wait_up().await), (two.id, one.id));
}

#[tokio::test]
async fn stop_writes_queues() {
    let mut one = Node::start(1, Config::default()).await;
    let mut two = Node::start(2, Config::default()).await;
    one.peers.connect(two.id, two.address);
    one.wait_up().await;
    two.wait_up().await;
    let padded = |value: u64| wire::encode(&(value, vec![0u8; 1_000])).unwrap();
    for value in 0..2_000 {
        one.peers.send(two.id, Subsystem::Route, padded(value)).unwrap();
        // Bytes that the stopping node leaves unread must not discard those that it has written.
        two.peers.send(one.id, Subsystem::Route, padded(value)).unwrap();
    }
    let reading = async {
        for value in 0..2_000 {
            let body = two
                .next(|event| match event {
                    PeerEvent::Message { body, .. } => Some(body),
                    PeerEvent::Down { reason, .. } => panic!("{reason} before message {value}"),
                    _ => None,
                })
                .await;
            assert_eq!(wire::decode::<(u64, Vec<u8>)>(&body).unwrap().0, value);
        }
        two.next(|event| match event {
            PeerEvent::Down { reason, .. } => Some(reason),
            _ => None,
        })
        .await
    };
    let ((), reason) = tokio::join!(one.peers.stop(), reading);
    assert!(matches!(reason, Reason::Closed(_)), "{reason}");
    assert_eq!(one.peers.send(two.id, Subsystem::Route, number(0)), Err(SendError::NoLink(two.id)));
    let refused = tokio::net::TcpStream::connect(one.address).await;
    assert!(refused.is_err(), "the listener is closed");
}
