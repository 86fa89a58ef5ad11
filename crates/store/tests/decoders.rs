//! Decoders of the gateway's responses, on arbitrary, damaged and well-formed input.

use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use proptest::collection::vec;
use proptest::prelude::ProptestConfig;
use proptest::prelude::Strategy;
use proptest::prelude::any;
use proptest::prop_assert;
use proptest::prop_assert_eq;
use proptest::proptest;
use proptest::test_runner::RngSeed;
use serde_json::Value;
use serde_json::json;

use store::Cas;
use store::Entry;
use store::LeaseId;
use store::WatchEvent;
use store::WatchLine;
use store::parse_grant;
use store::parse_range;
use store::parse_renewal;
use store::parse_txn;
use store::parse_watch;

/// Upper bound of the lease TTLs that the client decodes.
const MAX_TTL: Duration = Duration::from_secs(365 * 24 * 3600);

fn entry() -> impl Strategy<Value = Entry> {
    let value = vec(any::<u8>(), 0..64).prop_map(Bytes::from);
    ("[a-z/é]{0,12}", value, 1..i64::MAX as u64).prop_map(|(key, value, version)| Entry {
        key,
        value,
        version,
    })
}

fn kv(entry: &Entry) -> Value {
    json!({
        "key": STANDARD.encode(&entry.key),
        "value": STANDARD.encode(&entry.value),
        "mod_revision": entry.version.to_string(),
        "create_revision": "1",
        "version": "3",
    })
}

/// Well-formed JSON with one byte changed.
fn damaged_response() -> impl Strategy<Value = Vec<u8>> {
    (vec(entry(), 0..4), any::<usize>(), any::<u8>()).prop_map(|(entries, at, byte)| {
        let kvs: Vec<_> = entries.iter().map(kv).collect();
        let answer = json!({"header": {"revision": "9"}, "kvs": kvs, "count": "4"});
        let mut body = answer.to_string().into_bytes();
        let at = at % body.len();
        body[at] = byte;
        body
    })
}

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(12),
        cases: 2_000,
        ..ProptestConfig::default()
    })]

    #[test]
    fn arbitrary_bytes_are_rejected(body in vec(any::<u8>(), 0..200)) {
        prop_assert!(parse_range(&body).is_err());
        prop_assert!(parse_txn(&body).is_err());
        prop_assert!(parse_watch(&body).is_err());
        prop_assert!(parse_grant(&body).is_err());
        prop_assert!(parse_renewal(&body).is_err());
    }

    #[test]
    fn leases_round_trip(id in any::<i64>(), seconds in any::<i64>()) {
        let lease = json!({"ID": id.to_string(), "TTL": seconds.to_string()});
        let granted = parse_grant(lease.to_string().as_bytes());
        let renewed = parse_renewal(json!({"result": lease}).to_string().as_bytes());
        prop_assert_eq!(granted.is_ok(), seconds >= 0);
        prop_assert_eq!(renewed.is_ok(), seconds >= 0);
        if let (Ok(granted), Ok(renewed)) = (granted, renewed) {
            prop_assert_eq!(granted.id, LeaseId(id));
            prop_assert_eq!(granted.ttl, renewed);
            prop_assert!(renewed <= MAX_TTL);
        }
    }

    #[test]
    fn damaged_responses_do_not_panic(body in damaged_response()) {
        // The response may still be valid after one byte changed, but it must not yield more
        // entries than it had.
        if let Ok(listing) = parse_range(&body) {
            prop_assert!(listing.entries.len() <= 4);
        }
        prop_assert!(parse_txn(&body).is_err());
        prop_assert!(parse_watch(&body).is_err());
    }

    #[test]
    fn ranges_round_trip(entries in vec(entry(), 0..5), revision in 1..i64::MAX as u64) {
        let kvs: Vec<_> = entries.iter().map(kv).collect();
        let answer = json!({"header": {"revision": revision.to_string()}, "kvs": kvs});
        let listing = parse_range(answer.to_string().as_bytes()).expect("answer is well-formed");
        prop_assert_eq!(listing.entries, entries);
        prop_assert_eq!(listing.revision, revision);
    }

    #[test]
    fn transactions_round_trip(current in entry(), revision in 1..i64::MAX as u64) {
        let header = json!({"revision": revision.to_string()});
        let won = json!({"header": header, "succeeded": true, "responses": [
            {"response_put": {"header": header}}
        ]});
        let committed = parse_txn(won.to_string().as_bytes()).expect("answer is well-formed");
        prop_assert_eq!(committed, Cas::Committed { version: revision });

        let lost = json!({"header": header, "responses": [
            {"response_range": {"header": header, "kvs": [kv(&current)], "count": "1"}}
        ]});
        let conflict = parse_txn(lost.to_string().as_bytes()).expect("answer is well-formed");
        prop_assert_eq!(conflict, Cas::Conflict { current: Some(current) });

        let no_result = json!({"header": header});
        prop_assert!(parse_txn(no_result.to_string().as_bytes()).is_err());
    }

    #[test]
    fn watch_lines_round_trip(put in entry(), deleted in entry()) {
        let events = json!([
            {"kv": kv(&put)},
            {"type": "DELETE", "kv": kv(&deleted)},
        ]);
        let line = json!({"result": {"header": {"revision": "9"}, "events": events}});
        let line = parse_watch(line.to_string().as_bytes()).expect("line is well-formed");
        let Entry { key, version, .. } = deleted;
        let expected = vec![WatchEvent::Put(put), WatchEvent::Delete { key, version }];
        prop_assert_eq!(line, WatchLine::Changes(expected));
    }
}

#[test]
fn invalid_numbers_are_rejected() {
    for revision in ["-1", "9223372036854775808", "18446744073709551615", "", "1e3"] {
        let line = json!({"result": {"header": {"revision": revision}}}).to_string();
        assert!(parse_watch(line.as_bytes()).is_err(), "{revision}");
    }
}

#[test]
fn watch_line_kinds_are_distinguished() {
    let line = |result: Value| {
        let line = json!({"result": result}).to_string();
        parse_watch(line.as_bytes()).expect("line is well-formed")
    };
    let header = json!({"revision": "9"});
    let created = line(json!({"header": header, "created": true}));
    assert_eq!(created, WatchLine::Created { revision: 9 });
    assert_eq!(line(json!({"header": header})), WatchLine::Progress { revision: 9 });
    let compacted = line(json!({"header": header, "canceled": true, "compact_revision": "7"}));
    assert_eq!(compacted, WatchLine::Compacted { revision: 7 });
    assert_eq!(line(json!({"header": header, "canceled": true})), WatchLine::Canceled);
}
