//! Links open, carry messages in order, and are replaced when they end.

mod nodes;

use std::time::Duration;

use bytes::Bytes;

use crate::nodes::Fault;
use crate::nodes::Node;
use crate::nodes::Proxy;
use crate::nodes::quick;
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

/// The number in the next message to `node`.
async fn received(node: &mut Node) -> u64 {
    let body = node
        .next(|event| match event {
            PeerEvent::Message { body, .. } => Some(body),
            _ => None,
        })
        .await;
    wire::decode(&body).unwrap()
}

/// Checks that links to one peer open and close in turn, and returns the event.
fn alternate(up: &mut bool, event: PeerEvent) -> PeerEvent {
    match &event {
        PeerEvent::Up { .. } => assert!(!std::mem::replace(up, true), "a second link"),
        PeerEvent::Down { .. } => assert!(std::mem::replace(up, false), "no link to end"),
        PeerEvent::Message { .. } => assert!(*up, "message without a link"),
        PeerEvent::Failed { .. } => {}
    }
    event
}

#[tokio::test]
async fn in_order() {
    let mut one = Node::start(1, Config::default()).await;
    let mut two = Node::start(2, Config::default()).await;
    let missing = one.peers.send(two.id, Subsystem::Route, number(0));
    assert_eq!(missing, Err(SendError::NoLink(two.id)));
    one.peers.connect(two.id, two.address);
    assert_eq!((one.up().await, two.up().await), (two.id, one.id));
    for value in 0..1_000 {
        one.peers.send(two.id, Subsystem::Route, number(value)).unwrap();
        two.peers.send(one.id, Subsystem::Gang, number(value)).unwrap();
    }
    for value in 0..1_000 {
        assert_eq!((received(&mut one).await, received(&mut two).await), (value, value));
    }
    let counters = one.peers.counters();
    assert_eq!((counters.sent, counters.received, counters.dropped), (1_000, 1_000, 1));
    let volume = counters.bytes[&Distance::Region];
    assert!(volume.sent > 1_000 && volume.received > 1_000, "{volume:?}");
}

#[tokio::test]
async fn part_and_sender() {
    let mut one = Node::start(1, Config::default()).await;
    let mut two = Node::start(2, Config::default()).await;
    one.peers.connect(two.id, two.address);
    one.up().await;
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
async fn both_dial() {
    for round in 0..20 {
        let mut one = Node::start(1, Config::default()).await;
        let mut two = Node::start(2, Config::default()).await;
        one.peers.connect(two.id, two.address);
        two.peers.connect(one.id, one.address);
        let (mut one_up, mut two_up) = (false, false);
        // Messages may be lost while one connection gives way, so each side repeats its own.
        let (mut heard_one, mut heard_two) = (None, None);
        let mut value = 0;
        while heard_one.is_none() || heard_two.is_none() {
            value += 1;
            let _ = one.peers.send(two.id, Subsystem::Route, number(value));
            let _ = two.peers.send(one.id, Subsystem::Route, number(value));
            let pause = tokio::time::sleep(Duration::from_millis(1));
            tokio::select! {
                event = one.events.recv() => heard(&mut one_up, &mut heard_one, event.unwrap()),
                event = two.events.recv() => heard(&mut two_up, &mut heard_two, event.unwrap()),
                () = pause => {}
            }
        }
        assert_eq!(one.peers.counters().links, 1, "round {round}");
        assert_eq!(two.peers.counters().links, 1, "round {round}");
        one.peers.stop().await;
        two.peers.stop().await;
    }
}

fn heard(up: &mut bool, last: &mut Option<u64>, event: PeerEvent) {
    if let PeerEvent::Message { body, .. } = alternate(up, event) {
        let value = wire::decode(&body).unwrap();
        assert!(last.is_none_or(|last| last < value), "{last:?} then {value}");
        *last = Some(value);
    }
}

#[tokio::test]
async fn cut_links() {
    const CUTS: u64 = 20;
    const MESSAGES: u64 = 50;
    let one = Node::start(1, quick()).await;
    let mut two = Node::start(2, quick()).await;
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
    while links <= CUTS {
        let event = two.events.recv().await.unwrap();
        match event {
            PeerEvent::Up { .. } => (count, links) = (0, links + 1),
            PeerEvent::Message { .. } => count += 1,
            _ => {}
        }
        heard(&mut up, &mut last, event);
        if count == MESSAGES {
            proxy.strike(Fault::Cut);
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
async fn met_by_address() {
    let mut one = Node::start(1, Config::default()).await;
    let mut two = Node::start(2, Config::default()).await;
    one.peers.dial_once(one.address);
    one.peers.dial_once(two.address);
    assert_eq!((one.up().await, two.up().await), (two.id, one.id));
    // Neither replaces the link.
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
async fn meeting_again() {
    let config = Config::default();
    let mut one = Node::start(1, config.clone()).await;
    let mut two = Node::start(2, config.clone()).await;
    one.peers.dial_once(two.address);
    assert_eq!((one.up().await, two.up().await), (two.id, one.id));
    // By now a second connection no longer counts as dialled at the same time.
    tokio::time::sleep(config.handshake_timeout * 2).await;
    two.peers.dial_once(one.address);
    assert_eq!((one.up().await, two.up().await), (two.id, one.id));
    // Both know by now whom they would meet.
    tokio::time::sleep(config.handshake_timeout * 2).await;
    one.peers.dial_once(two.address);
    two.peers.dial_once(one.address);
    one.peers.send(two.id, Subsystem::Fleet, number(1)).unwrap();
    two.peers.send(one.id, Subsystem::Fleet, number(2)).unwrap();
    assert_eq!((received(&mut one).await, received(&mut two).await), (2, 1));
    one.peers.stop().await;
    two.peers.stop().await;
    assert_eq!((one.peers.counters().opened, two.peers.counters().opened), (2, 2));
}

#[tokio::test]
async fn forgotten() {
    let mut one = Node::start(1, Config::default()).await;
    let mut two = Node::start(2, Config::default()).await;
    one.peers.connect(two.id, two.address);
    one.up().await;
    two.up().await;
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
    assert_eq!((one.up().await, two.up().await), (two.id, one.id));
}

#[tokio::test]
async fn stop_writes_queues() {
    let mut one = Node::start(1, Config::default()).await;
    let mut two = Node::start(2, Config::default()).await;
    one.peers.connect(two.id, two.address);
    one.up().await;
    two.up().await;
    let padded = |value: u64| wire::encode(&(value, vec![0u8; 1_000])).unwrap();
    for value in 0..2_000 {
        one.peers.send(two.id, Subsystem::Route, padded(value)).unwrap();
        // What the stopping side leaves unread must not cost the other what was written to it.
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
