//! How recently the configuration has to be confirmed beside requests that were passed to peers.

use std::time::Duration;

use model::Time;
use node::freshness::PassedRequests;

const LIFETIME: Duration = Duration::from_millis(2_600);

fn at(ms: u64) -> Time {
    Time::from_millis(ms)
}

/// Without such requests a confirmation may be as old as its lifetime.
#[test]
fn usual_lifetime() {
    let passed = PassedRequests::default();
    assert_eq!(passed.confirmed_since(at(10_000), LIFETIME), at(7_400));
}

/// Guards against a VM that serves requests by an older configuration than a peer has used for it:
/// side by side with a request at a peer, and after the peer's answer.
#[test]
fn answered_request() {
    let mut passed = PassedRequests::default();
    passed.begin();
    passed.begin();
    assert_eq!(passed.confirmed_since(at(10_000), LIFETIME), at(10_000));
    passed.end(at(10_100), true);
    assert_eq!(passed.confirmed_since(at(10_200), LIFETIME), at(10_200), "one is in flight");
    passed.end(at(10_300), true);
    assert_eq!(passed.confirmed_since(at(10_400), LIFETIME), at(10_300));
    assert_eq!(passed.confirmed_since(at(20_000), LIFETIME), at(17_400));
}

/// Guards against the same if the peer's answer was lost: it may still serve the request.
#[test]
fn unanswered_request() {
    let mut passed = PassedRequests::default();
    passed.begin();
    passed.end(at(10_000), false);
    assert_eq!(passed.confirmed_since(at(10_500), LIFETIME), at(10_500));
    let later = passed.confirmed_since(at(12_000), LIFETIME);
    assert!(at(10_500) < later && later < at(12_000), "{later}");
}
