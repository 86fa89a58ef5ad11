//! Configuration and job bodies, as operators and callers write them.

use serde_json::Value;
use serde_json::json;

/// A configuration record with one queue, one service and one client account.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HostedConfiguration<'k> {
    /// Version of the configuration.
    pub version: u64,
    /// API key of the client account.
    pub key: &'k str,
    /// Whether jobs of the queue need the advice service.
    pub requires_advice: bool,
    /// Maximum size of a request body, in bytes.
    pub body_bytes: usize,
}

impl HostedConfiguration<'_> {
    /// Returns the JSON value of the configuration record in the store.
    pub(crate) fn body(&self) -> Value {
        let mut body = json!({
            "version": self.version,
            "routes": [{
                "name": "work", "host": "jobs.example", "prefix": "/work/",
                "type": "non_idempotent", "timeoutMs": 3000, "targetDurationMs": 600,
                "priority": 0, "service": "service", "maxAttempts": 4, "stretch": 1.5,
                "public": false,
            }],
            "services": [{ "name": "service", "enforcesCapacity": false, "spare": false }],
            "limits": { "maxHeaderBytes": 16384, "maxBodyBytes": self.body_bytes },
            "tenants": [{
                "name": "a", "apiKeys": [self.key], "priority": 1, "guaranteed": { "gpu": 8 },
            }],
        });
        if self.requires_advice {
            body["routes"][0]["advice"] = json!({ "decideMs": 5, "eachMs": 1, "validMs": 3000 });
        }
        body
    }
}

/// Returns the body of a job of `count` tasks with one accelerator each.
pub fn hosted_job(count: u32) -> String {
    let step = json!({ "count": count, "cpu": 500, "memMb": 256, "gpu": 1, "estimateMs": 500 });
    json!({ "spec": "text", "steps": [step] }).to_string()
}
