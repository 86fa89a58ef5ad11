//! Resource requirements of a gang of tasks.

use serde::Deserialize;
use serde::Serialize;
use strum::AsRefStr;
use strum::Display;
use strum::EnumString;
use strum::VariantArray;

/// Required locality of a gang's accelerators.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
    AsRefStr,
    Display,
    EnumString,
    VariantArray,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Adjacency {
    /// All on one worker.
    Worker,
    /// All in one rack, on consecutive workers.
    Rack,
    /// On consecutive racks of one availability zone.
    Racks,
    /// Anywhere in one availability zone.
    Zone,
}

/// Resources of a gang of tasks, allocated all or nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct GangShape {
    /// Number of tasks.
    pub tasks: u32,
    /// Accelerators of each task, all on one worker.
    pub accelerators: u32,
    /// CPU of each task, in thousandths of a core.
    pub millicores: u32,
    /// Memory of each task, in mebibytes.
    pub memory_mib: u32,
    /// Required locality of the accelerators.
    pub adjacency: Adjacency,
}

impl GangShape {
    /// Number of accelerators of all tasks together.
    pub fn total_accelerators(&self) -> u32 {
        self.tasks.saturating_mul(self.accelerators)
    }
}
