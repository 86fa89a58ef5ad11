//! Configuration of client accounts: weights, quotas, guarantees and rate limits.

use jsonc_parser::ast::Value;
use serde::Deserialize;
use serde::Serialize;

use crate::Bytes;
use crate::reader::Read;
use crate::reader::Reader;
use crate::reader::join_path;
use crate::reader::read_variant;
use model::Adjacency;
use model::GangShape;

/// Maximum weight of an account.
const MAX_WEIGHT: u32 = 10_000;
/// Maximum number of tasks of one gang.
const MAX_GANG_TASKS: u32 = 512;
/// Maximum number of accelerators, and of cores, of one task.
const MAX_TASK_RESOURCES: u32 = 1_024;
const MILLICORES_PER_CORE: u32 = 1_000;

/// Configuration of one client account.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Account {
    /// Relative share of contended resources, from 1 to 10000.
    pub weight: u32,
    /// Maximum number of accelerators in use at once; `None` means no limit.
    pub quota: Option<u32>,
    /// Guaranteed gang shapes; the account can reclaim all of them together at any time.
    pub guarantees: Vec<GangShape>,
    /// Request rate limit; `None` means no limit.
    pub rate: Option<Rate>,
}

/// Request rate limit, as a token bucket.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rate {
    /// Requests per second.
    pub requests: u32,
    /// Capacity of the bucket, in requests.
    pub burst: u32,
}

impl Read for Adjacency {
    fn read(reader: &mut Reader<'_>, value: &Value<'_>, path: &str) -> Option<Adjacency> {
        read_variant(reader, value, path)
    }
}

impl Read for GangShape {
    fn read(reader: &mut Reader<'_>, value: &Value<'_>, path: &str) -> Option<GangShape> {
        let known = ["tasks", "accelerators", "cores", "memory", "adjacency"];
        let object = reader.object(value, path, &known)?;
        let tasks = reader.required(object, path, "tasks", "1");
        let accelerators = reader.required(object, path, "accelerators", "8");
        let cores = reader.optional_or(object, path, "cores", 1_u32);
        let memory = reader.optional_or(object, path, "memory", Bytes(1 << 30));
        let adjacency = reader.required(object, path, "adjacency", "\"rack\"");
        let ranges = [
            ("tasks", tasks, MAX_GANG_TASKS),
            ("accelerators", accelerators, MAX_TASK_RESOURCES),
            ("cores", cores, MAX_TASK_RESOURCES),
        ];
        for (name, number, max) in ranges {
            if number.is_some_and(|n| !(1..=max).contains(&n)) {
                let advice = format!("write 1 to {max}");
                reader.report(&join_path(path, name), "is out of range", advice);
            }
        }
        let memory_mib = memory.and_then(|memory| u32::try_from(memory.mebibytes()).ok());
        if memory.is_some() && memory_mib.is_none() {
            reader.report(
                &join_path(path, "memory"),
                "is out of range",
                "write at most \"4000TB\"",
            );
        }
        Some(GangShape {
            tasks: tasks?,
            accelerators: accelerators?,
            millicores: cores?.saturating_mul(MILLICORES_PER_CORE),
            memory_mib: memory_mib?,
            adjacency: adjacency?,
        })
    }
}

impl Read for Rate {
    fn read(reader: &mut Reader<'_>, value: &Value<'_>, path: &str) -> Option<Rate> {
        let object = reader.object(value, path, &["requests", "burst"])?;
        let requests = reader.required(object, path, "requests", "100");
        let burst = reader.required(object, path, "burst", "200");
        for (name, number) in [("requests", requests), ("burst", burst)] {
            if number == Some(0) {
                reader.report(&join_path(path, name), "is out of range", "write 1 or more");
            }
        }
        Some(Rate { requests: requests?, burst: burst? })
    }
}

impl Read for Account {
    fn read(reader: &mut Reader<'_>, value: &Value<'_>, path: &str) -> Option<Account> {
        let object = reader.object(value, path, &["weight", "quota", "guarantees", "rate"])?;
        let weight = reader.optional_or(object, path, "weight", 1);
        let quota = reader.optional_or(object, path, "quota", None);
        let guarantees = reader.optional_or(object, path, "guarantees", Vec::new());
        let rate = reader.optional_or(object, path, "rate", None);
        if weight.is_some_and(|n| !(1..=MAX_WEIGHT).contains(&n)) {
            reader.report(&join_path(path, "weight"), "is out of range", "write 1 to 10000");
        }
        let account =
            Account { weight: weight?, quota: quota?, guarantees: guarantees?, rate: rate? };
        account.check(reader, path);
        Some(account)
    }
}

impl Account {
    /// Reports a quota below the total of the guarantees.
    fn check(&self, reader: &mut Reader<'_>, path: &str) {
        let total = self.guaranteed();
        if let Some(quota) = self.quota.filter(|quota| u64::from(*quota) < total) {
            let message = format!("{quota} is less than the guarantees, which sum to {total}");
            let advice = format!("write {total} or more, or fewer guarantees");
            reader.report(&join_path(path, "quota"), message, advice);
        }
    }

    /// Total number of accelerators of all guarantees.
    pub fn guaranteed(&self) -> u64 {
        self.guarantees.iter().map(|shape| u64::from(shape.total_accelerators())).sum()
    }
}
