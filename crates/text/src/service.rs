//! Configuration of services and of the pools of backend servers that run them.

use std::time::Duration;

use jsonc_parser::ast::Value;
use serde::Deserialize;
use serde::Serialize;

use crate::Share;
use crate::reader::Read;
use crate::reader::Reader;
use crate::reader::join_path;
use crate::reader::read_variant;
use model::Class;
use model::ServiceId;

/// Maximum timeout, deadline or latency objective.
const MAX_DURATION: Duration = Duration::from_secs(24 * 3600);
/// Maximum number of slots, and of connections, of one backend server.
const MAX_SLOTS: u32 = 65_535;

/// Configuration of one service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Service {
    /// Latency class.
    pub class: Class,
    /// Whether a request may safely run more than once.
    pub idempotent: bool,
    /// Time limit of one attempt.
    pub timeout: Duration,
    /// Time limit from receipt to response, unless the caller requests a shorter one.
    pub deadline: Duration,
    /// Retry budget, as a share of recent successes.
    pub retry_share: Share,
    /// Delay after which an idempotent request is hedged, that is sent a second time; `None`
    /// disables hedging.
    pub hedge: Option<Duration>,
    /// Service level objective.
    pub objective: Objective,
    /// Services that this one cannot respond without.
    pub depends: Vec<ServiceId>,
    /// Name of the pool of backend servers that run the service.
    pub pool: String,
}

/// Service level objective of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Objective {
    /// Share of requests that must be answered within `latency`.
    pub availability: Share,
    /// Response time within which a request counts as answered in time.
    pub latency: Duration,
}

/// A pool of backend servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pool {
    /// Maximum number of requests that one backend server runs at once.
    pub slots: u32,
    /// Maximum number of connections that one backend server accepts from all entry VMs together.
    pub connections: u32,
}

impl Read for Class {
    fn read(reader: &mut Reader<'_>, value: &Value<'_>, path: &str) -> Option<Class> {
        read_variant(reader, value, path)
    }
}

impl Read for ServiceId {
    fn read(reader: &mut Reader<'_>, value: &Value<'_>, path: &str) -> Option<ServiceId> {
        String::read(reader, value, path).map(|name| ServiceId::from(name.as_str()))
    }
}

impl Read for Objective {
    fn read(reader: &mut Reader<'_>, value: &Value<'_>, path: &str) -> Option<Objective> {
        let object = reader.object(value, path, &["availability", "latency"])?;
        let availability = reader.required(object, path, "availability", "\"99.9%\"");
        let latency = reader.required(object, path, "latency", "\"500ms\"");
        if availability == Some(Share::WHOLE) {
            let path = join_path(path, "availability");
            reader.report(&path, "100% leaves no error budget", "write less, such as \"99.99%\"");
        }
        check_duration(reader, &join_path(path, "latency"), latency);
        Some(Objective { availability: availability?, latency: latency? })
    }
}

impl Read for Service {
    fn read(reader: &mut Reader<'_>, value: &Value<'_>, path: &str) -> Option<Service> {
        let known = [
            "class",
            "idempotent",
            "timeout",
            "deadline",
            "retry_share",
            "hedge",
            "objective",
            "depends",
            "pool",
        ];
        let object = reader.object(value, path, &known)?;
        let class = reader.required(object, path, "class", "\"interactive\"");
        let idempotent = reader.required(object, path, "idempotent", "false");
        let timeout = reader.required(object, path, "timeout", "\"1s\"");
        let deadline = reader.required(object, path, "deadline", "\"5s\"");
        let retry_share = reader.optional_or(object, path, "retry_share", Share(0));
        let hedge = reader.optional_or(object, path, "hedge", None);
        let objective = reader.required(object, path, "objective", "{}");
        let depends = reader.optional_or(object, path, "depends", Vec::new());
        let pool = reader.required(object, path, "pool", "\"main\"");
        check_duration(reader, &join_path(path, "timeout"), timeout);
        check_duration(reader, &join_path(path, "deadline"), deadline);
        let service = Service {
            class: class?,
            idempotent: idempotent?,
            timeout: timeout?,
            deadline: deadline?,
            retry_share: retry_share?,
            hedge: hedge?,
            objective: objective?,
            depends: depends?,
            pool: pool?,
        };
        service.check(reader, path);
        Some(service)
    }
}

impl Service {
    /// Reports fields that contradict each other.
    fn check(&self, reader: &mut Reader<'_>, path: &str) {
        if self.timeout > self.deadline {
            let path = join_path(path, "timeout");
            reader.report(&path, "is longer than the deadline", "write at most the deadline");
        }
        if self.objective.latency > self.deadline {
            let path = join_path(path, "objective.latency");
            reader.report(&path, "is longer than the deadline", "write at most the deadline");
        }
        match self.hedge {
            Some(_) if !self.idempotent => {
                let advice = "leave hedge out, or write \"idempotent\": true if running twice \
                              does no harm";
                reader.report(&join_path(path, "hedge"), "would run the request twice", advice);
            }
            Some(hedge) if hedge >= self.timeout => {
                let path = join_path(path, "hedge");
                reader.report(&path, "is not below the timeout", "write less than the timeout");
            }
            _ => {}
        }
    }
}

fn check_duration(reader: &mut Reader<'_>, path: &str, span: Option<Duration>) {
    if span.is_some_and(|span| span.is_zero() || span > MAX_DURATION) {
        reader.report(path, "is out of range", "write a duration from \"1us\" to \"24h\"");
    }
}

impl Read for Pool {
    fn read(reader: &mut Reader<'_>, value: &Value<'_>, path: &str) -> Option<Pool> {
        let object = reader.object(value, path, &["slots", "connections"])?;
        let slots = reader.required(object, path, "slots", "8");
        let connections = reader.required(object, path, "connections", "64");
        for (name, number) in [("slots", slots), ("connections", connections)] {
            if number.is_some_and(|n| !(1..=MAX_SLOTS).contains(&n)) {
                reader.report(&join_path(path, name), "is out of range", "write 1 to 65535");
            }
        }
        let pool = Pool { slots: slots?, connections: connections? };
        if pool.connections < pool.slots {
            let path = join_path(path, "connections");
            reader.report(&path, "is less than the slots", "write at least as many as slots");
        }
        Some(pool)
    }
}

impl<T: Read> Read for Option<T> {
    fn read(reader: &mut Reader<'_>, value: &Value<'_>, path: &str) -> Option<Option<T>> {
        T::read(reader, value, path).map(Some)
    }
}
