//! Checks of the limits on clients against the VM.

use serde_json::Value;
use serde_json::json;

use node::Error;

/// Checks settings with the given fields in addition to the required ones.
fn check(fields: Value) -> Result<(), String> {
    let mut settings = json!({
        "vm": "entry-0", "zone": "north-a", "region": "north", "callers": "127.0.0.1:1",
        "readiness": "127.0.0.1:2", "peers": "127.0.0.1:3", "store": "127.0.0.1:4", "cpu": 0.25,
        "link_mbps": 1000, "ownership": "1200ms", "apply": "3s", "grace": "4s",
        "jobs": { "lease": "6s", "stop": "200ms", "retention": "2m" },
    });
    let all = settings.as_object_mut().expect("an object");
    all.extend(fields.as_object().expect("an object").clone());
    let parsed = text::parse_host_settings("settings", &settings.to_string()).expect("valid");
    node::check(&parsed).map_err(|error: Error| error.to_string())
}

/// Guards against limits that a VM cannot keep, or with which no job could be submitted.
#[test]
fn conflicts() {
    let small = json!({ "memory_mb": 120, "descriptors": 3_075 });
    assert_eq!(check(small), Ok(()), "the smallest VM needs no further settings");
    assert_eq!(check(json!({ "intake": { "held": "16MB", "body": "30s" } })), Ok(()));
    let most = check(json!({ "memory_mb": 120, "intake": { "held": "100MB" } }));
    assert!(most.is_err_and(|error| error.contains("memory_mb")));
    let least = check(json!({ "intake": { "held": "1MB" } }));
    assert!(least.is_err_and(|error| error.contains("one request")));
    for none in [json!({ "connections": 0 }), json!({ "body": "0s" })] {
        let refused = check(json!({ "intake": none }));
        assert!(refused.is_err_and(|error| error.contains("more than zero")));
    }
    let served = json!({ "descriptors": 300, "intake": { "connections": 4_000 } });
    assert_eq!(check(served), Ok(()), "fewer connections still serve ordinary callers");
}
