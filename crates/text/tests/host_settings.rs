//! Settings of an entry VM on a platform with its own store.

use text::parse_host_settings;

/// Number of reservations of settings whose group `jobs` has further `fields`, or the first fault.
fn reservations(fields: &str) -> Result<u32, String> {
    let source = format!(
        r#"{{
            "vm": "entry-1", "zone": "north-a", "region": "north",
            "callers": "127.0.0.1:8080", "readiness": "127.0.0.1:8081", "peers": "127.0.0.1:8090",
            "store": "127.0.0.1:2379", "cpu": 0.25, "link_mbps": 100,
            "ownership": "1200ms", "apply": "3s", "grace": "6s",
            "jobs": {{ "lease": "6s", "stop": "200ms", "retention": "2m"{fields} }}
        }}"#
    );
    match parse_host_settings("settings", &source) {
        Ok(settings) => Ok(settings.jobs.reservations),
        Err(faults) => Err(faults[0].to_string()),
    }
}

/// Guards against deployments that get reservations without asking for them, and against numbers
/// that would slow down every placement pass.
#[test]
fn reservation_limit() {
    assert_eq!(reservations(""), Ok(0));
    assert_eq!(reservations(r#", "reservations": 4"#), Ok(4));
    let refused = reservations(r#", "reservations": 33"#).expect_err("too many");
    assert!(refused.contains("jobs.reservations") && refused.contains("at most 32"), "{refused}");
    assert!(reservations(r#", "reservations": "4""#).is_err());
}
