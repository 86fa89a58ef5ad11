//! The setting `jobs.preempt_gangs` of an entry VM.

use text::parse_host_settings;

/// Settings of an entry VM with further fields of `jobs`.
fn settings(jobs: &str) -> String {
    format!(
        r#"{{
            "vm": "entry-1", "zone": "north-a", "region": "north",
            "callers": "0.0.0.0:8080", "readiness": "0.0.0.0:8081", "peers": "10.0.0.5:8090",
            "store": "10.0.0.2:2379", "cpu": 0.25, "link_mbps": 1000, "ownership": "1200ms",
            "apply": "3s", "grace": "6s",
            "jobs": {{ "lease": "6s", "stop": "200ms", "retention": "2m"{jobs} }}
        }}"#
    )
}

/// Guards against a deployment that does not ask for it and gets another choice of victims, and
/// against a value that is taken for one of the two.
#[test]
fn checked_default() {
    let preempts = |jobs: &str| {
        parse_host_settings("entry.jsonc", &settings(jobs)).map(|found| found.jobs.preempt_gangs)
    };
    assert_eq!(preempts("").ok(), Some(false));
    assert_eq!(preempts(", \"preempt_gangs\": true").ok(), Some(true));
    let faults = preempts(", \"preempt_gangs\": \"yes\"").expect_err("not a boolean");
    assert_eq!(faults.len(), 1);
}
