//! Frames round-trip through encoding, and no input makes the decoder panic.

use bytes::Bytes;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use serde::Deserialize;
use serde::Serialize;

use model::Incarnation;
use model::RegionId;
use model::VmId;
use model::ZoneId;
use wire::DecodeError;
use wire::EncodeError;
use wire::Frame;
use wire::Hello;
use wire::MAX_BODY_LEN;
use wire::MAX_FRAME_LEN;
use wire::PROTOCOL_VERSION;
use wire::Subsystem;

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
enum Message {
    Short(u8),
    Long { names: Vec<String>, next: Option<Box<Message>> },
}

fn hello(number: u64, name: &str) -> Hello {
    Hello::new(Incarnation(number), VmId::new(name), ZoneId::new(name), RegionId::new(name))
}

fn frames() -> impl Strategy<Value = Frame> {
    let subsystem = prop_oneof![
        Just(Subsystem::Route),
        Just(Subsystem::Gang),
        Just(Subsystem::Fleet),
        Just(Subsystem::Burn)
    ];
    let body = proptest::collection::vec(any::<u8>(), 0..300).prop_map(Bytes::from);
    prop_oneof![
        (any::<u64>(), "\\PC{0,20}").prop_map(|(number, name)| Frame::Hello(hello(number, &name))),
        any::<u64>().prop_map(Frame::Ping),
        any::<u64>().prop_map(Frame::Pong),
        (subsystem, body).prop_map(|(subsystem, body)| Frame::Data { subsystem, body }),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(3),
        cases: 2_000,
        ..ProptestConfig::default()
    })]

    #[test]
    fn round_trip(frame in frames()) {
        let bytes = frame.encode().unwrap();
        prop_assert_eq!(Frame::decode(&bytes), Ok(frame));
    }

    #[test]
    fn arbitrary_bytes(bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
        if let Ok(frame) = Frame::decode(&bytes) {
            prop_assert!(frame.encode().is_ok());
        }
        if let Ok(message) = wire::decode::<Message>(&bytes) {
            prop_assert!(wire::encode(&message).is_ok());
        }
    }

    #[test]
    fn damaged_frames(frame in frames(), at: prop::sample::Index, byte: u8, cut: bool) {
        let mut bytes = frame.encode().unwrap().to_vec();
        let at = at.index(bytes.len());
        if cut {
            bytes.truncate(at);
            prop_assert!(Frame::decode(&bytes).is_err());
        } else {
            bytes[at] = byte;
            if let Ok(frame) = Frame::decode(&bytes) {
                prop_assert!(frame.encode().is_ok());
            }
        }
    }
}

#[test]
fn unknown_kind() {
    let frame = wire::encode(&(900u16, Bytes::from_static(b"no CBOR \xff"))).unwrap();
    assert_eq!(Frame::decode(&frame), Ok(Frame::Unknown { kind: 900 }));
}

#[test]
fn unknown_variant() {
    let body = wire::encode(&"Newer").unwrap();
    let error = wire::decode::<Message>(&body).unwrap_err();
    assert!(matches!(error, DecodeError::Unexpected { .. }), "{error}");
}

#[test]
fn unsupported_version() {
    #[derive(Serialize)]
    struct Newer {
        version: u16,
        shape: &'static str,
    }
    let newer = Newer { version: PROTOCOL_VERSION + 1, shape: "unlike today's" };
    let frame = wire::encode(&(0u16, wire::encode(&newer).unwrap())).unwrap();
    let error = Frame::decode(&frame).unwrap_err();
    assert_eq!(error, DecodeError::Version { found: PROTOCOL_VERSION + 1 });
    assert_eq!(error.to_string(), "protocol version 2 is not supported, expected 1");
}

#[test]
fn unknown_fields_ignored() {
    #[derive(Serialize)]
    struct Newer {
        #[serde(flatten)]
        hello: Hello,
        extra: u8,
    }
    let newer = Newer { hello: hello(7, "a"), extra: 1 };
    let frame = wire::encode(&(0u16, wire::encode(&newer).unwrap())).unwrap();
    assert_eq!(Frame::decode(&frame), Ok(Frame::Hello(hello(7, "a"))));
}

#[test]
fn trailing_bytes() {
    let mut bytes = Frame::Ping(1).encode().unwrap().to_vec();
    bytes.extend([0, 0]);
    assert_eq!(Frame::decode(&bytes), Err(DecodeError::Trailing { len: 2 }));
}

#[test]
fn length_limits() {
    let longest = Frame::Data { subsystem: Subsystem::Gang, body: vec![1; MAX_BODY_LEN].into() };
    let bytes = longest.encode().unwrap();
    assert!(bytes.len() <= MAX_FRAME_LEN);
    assert_eq!(Frame::decode(&bytes), Ok(longest));
    let longer = Frame::Data { subsystem: Subsystem::Gang, body: vec![1; MAX_BODY_LEN + 1].into() };
    let limit = EncodeError::TooLong { len: MAX_BODY_LEN + 1, limit: MAX_BODY_LEN };
    assert_eq!(longer.encode(), Err(limit));
    let bytes = vec![0; MAX_FRAME_LEN + 1];
    let limit = DecodeError::TooLong { len: MAX_FRAME_LEN + 1, limit: MAX_FRAME_LEN };
    assert_eq!(Frame::decode(&bytes), Err(limit));
}
