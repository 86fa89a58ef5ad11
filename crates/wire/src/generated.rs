///How close together the accelerators of a gang must be.
#[derive(
    ::serde::Deserialize,
    ::serde::Serialize,
    Clone,
    Copy,
    Debug,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd
)]
pub enum Adjacency {
    #[serde(rename = "worker")]
    Worker,
    #[serde(rename = "rack")]
    Rack,
    #[serde(rename = "racks")]
    Racks,
    #[serde(rename = "zone")]
    Zone,
}
impl ::std::fmt::Display for Adjacency {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::Worker => f.write_str("worker"),
            Self::Rack => f.write_str("rack"),
            Self::Racks => f.write_str("racks"),
            Self::Zone => f.write_str("zone"),
        }
    }
}
impl ::std::str::FromStr for Adjacency {
    type Err = self::error::ConversionError;
    fn from_str(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "worker" => Ok(Self::Worker),
            "rack" => Ok(Self::Rack),
            "racks" => Ok(Self::Racks),
            "zone" => Ok(Self::Zone),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for Adjacency {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for Adjacency {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
///The revision that a change became.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct ApplyAnswer {
    ///Entry VMs that have it in force.
    pub confirmed: ::std::vec::Vec<::std::string::String>,
    ///The new revision.
    pub revision: u64,
    ///Entry VMs that cannot be heard from.
    pub unknown: ::std::vec::Vec<::std::string::String>,
}
///Replaces the operators' configuration.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct ApplyCall {
    ///Who changes it.
    pub author: ::std::string::String,
    ///Revision that the change was made on.
    pub expect: u64,
    ///The new text.
    pub text: ::std::string::String,
    ///Id of this write.
    pub write: ::std::string::String,
}
///One backend server.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct BackendStatus {
    ///Slots in use by this VM.
    pub busy: u32,
    ///The backend server.
    pub name: ::std::string::String,
    ///Its pool.
    pub pool: ::std::string::String,
    ///Its state.
    pub state: ::std::string::String,
    ///Its availability zone.
    pub zone: ::std::string::String,
}
///Types that cross the border of the system.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(transparent)]
pub struct Border(pub ::serde_json::Value);
impl ::std::ops::Deref for Border {
    type Target = ::serde_json::Value;
    fn deref(&self) -> &::serde_json::Value {
        &self.0
    }
}
impl ::std::convert::From<Border> for ::serde_json::Value {
    fn from(value: Border) -> Self {
        value.0
    }
}
impl ::std::convert::From<::serde_json::Value> for Border {
    fn from(value: ::serde_json::Value) -> Self {
        Self(value)
    }
}
///Burn of one service and client account.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct BurnLine {
    ///The client account.
    pub account: ::std::string::String,
    ///Alert that fires.
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub alert: ::std::option::Option<::std::string::String>,
    ///Share of the error budget left.
    pub left: f64,
    ///Share of requests that must be good.
    pub objective: f64,
    ///The service.
    pub service: ::std::string::String,
    ///The windows.
    pub windows: ::std::vec::Vec<BurnWindow>,
}
///Error budgets and burn rates.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct BurnReport {
    ///When, in milliseconds since the Unix epoch.
    pub as_of_ms: u64,
    ///One line for each service and client account.
    pub lines: ::std::vec::Vec<BurnLine>,
    ///What cannot be known now.
    pub unknown: ::std::vec::Vec<Doubt>,
}
///Error budget burn over one window.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct BurnWindow {
    ///Requests outside it.
    pub bad: u64,
    ///Budget spent as a multiple of the sustainable rate.
    pub burn: f64,
    ///Share of the window that the counts cover.
    pub covered: f64,
    ///Requests within the objective.
    pub good: u64,
    ///Requests with an unknown verdict.
    pub unknown: u64,
    ///The window.
    pub window: ::std::string::String,
}
///Something that cannot be known now.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct Doubt {
    ///What it is about.
    pub subject: ::std::string::String,
    ///Why it cannot be known.
    pub why: ::std::string::String,
}
///The path of one request or job.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct Explanation {
    ///The request or job.
    pub id: ::std::string::String,
    ///Its state.
    pub state: ::std::string::String,
    ///The path.
    pub steps: ::std::vec::Vec<Step>,
    ///What cannot be known now.
    pub unknown: ::std::vec::Vec<Doubt>,
    pub verdict: Verdict,
}
///Resources of a gang.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct GangShape {
    ///Accelerators of each task.
    pub accelerators: u32,
    pub adjacency: Adjacency,
    ///Memory of each task, in mebibytes.
    pub memory_mib: u32,
    ///Processor cores of each task, in thousandths.
    pub millicores: u32,
    ///Number of tasks.
    pub tasks: u32,
}
///A client account's guaranteed shape.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct GuaranteeStatus {
    ///The client account.
    pub account: ::std::string::String,
    ///How many of them.
    pub count: u32,
    ///The placement shard.
    pub shard: ::std::string::String,
    ///Whether it can be reclaimed.
    pub state: ::std::string::String,
}
///Kept revisions.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct History {
    ///The revisions, newest first.
    pub entries: ::std::vec::Vec<HistoryEntry>,
}
///One kept revision.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct HistoryEntry {
    ///When, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    ///Who made it.
    pub author: ::std::string::String,
    ///What it changed.
    pub changes: ::std::vec::Vec<::std::string::String>,
    ///The revision.
    pub revision: u64,
}
///Fresh request ids.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct Ids {
    ///The ids, in order.
    pub ids: ::std::vec::Vec<::std::string::String>,
}
///A job to run.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct JobSpec {
    ///Client account that it runs for.
    pub account: ::std::string::String,
    ///Whether its tasks can write a checkpoint and resume from it.
    #[serde(default)]
    pub checkpoint: bool,
    ///Declared run time, in milliseconds.
    pub declared_ms: u64,
    ///Whether it may run again from the start.
    pub idempotent: bool,
    pub priority: Priority,
    ///Service that it belongs to.
    pub service: ::std::string::String,
    pub shape: GangShape,
    ///Whether it may be accepted without being stored.
    #[serde(default)]
    pub volatile: bool,
    ///Availability zone that it must run in.
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub zone: ::std::option::Option<::std::string::String>,
}
///State of one job.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct JobStatus {
    ///Whether the verdict can no longer change.
    #[serde(rename = "final")]
    pub final_: bool,
    ///The job id.
    pub id: ::std::string::String,
    ///Why it is in this state.
    pub reason: ::std::string::String,
    ///Placement shard that decides it.
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub shard: ::std::option::Option<::std::string::String>,
    ///State in its life cycle.
    pub state: ::std::string::String,
    pub verdict: Verdict,
    ///What it waits for, while it is queued.
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub waits: ::std::option::Option<::std::string::String>,
}
///A worker's answer to a lease.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct LeaseAnswer {
    ///Highest attempt of the job that the worker has seen.
    pub attempt: u64,
    ///Whether the lease is held now.
    pub granted: bool,
    ///Why not.
    #[serde(default)]
    pub reason: ::std::string::String,
}
///Asks a worker for a lease.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct LeaseCall {
    ///Accelerators to lease, by index.
    pub accelerators: ::std::vec::Vec<u8>,
    ///The attempt.
    pub attempt: u64,
    ///The job id.
    pub job: ::std::string::String,
    ///Time to live, in milliseconds.
    pub ttl_ms: u64,
}
///One attempt of one job.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct LeaseKey {
    ///The attempt.
    pub attempt: u64,
    ///The job id.
    pub job: ::std::string::String,
}
///One lease as its worker sees it.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct LeaseReport {
    ///Its accelerators, by index.
    pub accelerators: ::std::vec::Vec<u8>,
    ///The attempt.
    pub attempt: u64,
    ///The job id.
    pub job: ::std::string::String,
    ///Time left, in milliseconds.
    pub left_ms: u64,
    ///Whether tasks were started under it.
    pub started: bool,
}
///One entry VM.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct MemberStatus {
    ///Its incarnation.
    pub incarnation: ::std::string::String,
    ///Revision in force on it.
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub revision: ::std::option::Option<u64>,
    ///Its state.
    pub state: ::std::string::String,
    ///Its name.
    pub vm: ::std::string::String,
    ///Its availability zone.
    pub zone: ::std::string::String,
}
///Priority of a job.
#[derive(
    ::serde::Deserialize,
    ::serde::Serialize,
    Clone,
    Copy,
    Debug,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd
)]
pub enum Priority {
    #[serde(rename = "urgent")]
    Urgent,
    #[serde(rename = "normal")]
    Normal,
    #[serde(rename = "spare")]
    Spare,
}
impl ::std::fmt::Display for Priority {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::Urgent => f.write_str("urgent"),
            Self::Normal => f.write_str("normal"),
            Self::Spare => f.write_str("spare"),
        }
    }
}
impl ::std::str::FromStr for Priority {
    type Err = self::error::ConversionError;
    fn from_str(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "urgent" => Ok(Self::Urgent),
            "normal" => Ok(Self::Normal),
            "spare" => Ok(Self::Spare),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for Priority {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for Priority {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
///Why a call was not answered as asked, as application/problem+json.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct Problem {
    ///What happened and what to do about it.
    pub detail: ::std::string::String,
    ///Whether the verdict can no longer change.
    #[serde(rename = "final")]
    pub final_: bool,
    ///Reason code.
    pub reason: ::std::string::String,
    ///The request or job concerned.
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub request: ::std::option::Option<::std::string::String>,
    ///Whether the same call may be sent again.
    pub retry: bool,
    ///How long to wait before that, in milliseconds.
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub retry_after_ms: ::std::option::Option<u64>,
    ///HTTP status.
    pub status: u16,
    ///The problem in a few words.
    pub title: ::std::string::String,
    ///Kind of problem, as a URN.
    #[serde(rename = "type")]
    pub type_: ::std::string::String,
    pub verdict: Verdict,
}
///A worker's answer to a renewal.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct RenewAnswer {
    ///Leases that the worker does not hold.
    pub lapsed: ::std::vec::Vec<LeaseKey>,
}
///Extends leases.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct RenewCall {
    ///The leases.
    pub leases: ::std::vec::Vec<LeaseKey>,
    ///Time to live, in milliseconds.
    pub ttl_ms: u64,
}
///Verdict of one request.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct RequestStatus {
    ///Whether the verdict can no longer change.
    #[serde(rename = "final")]
    pub final_: bool,
    ///The request id.
    pub id: ::std::string::String,
    ///Reason code.
    pub reason: ::std::string::String,
    ///HTTP status of the kept answer.
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub status: ::std::option::Option<u16>,
    pub verdict: Verdict,
}
///One placement shard.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct ShardStatus {
    ///Epoch of the owner.
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub epoch: ::std::option::Option<u64>,
    ///Entry VM that owns it.
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub owner: ::std::option::Option<::std::string::String>,
    ///Jobs waiting.
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub queued: ::std::option::Option<u32>,
    ///Jobs running.
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub running: ::std::option::Option<u32>,
    ///The shard.
    pub shard: ::std::string::String,
}
///A worker's answer to a start.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct StartAnswer {
    ///Why not.
    #[serde(default)]
    pub reason: ::std::string::String,
    ///Whether every task was started.
    pub started: bool,
}
///Starts tasks under a lease.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct StartCall {
    ///The attempt.
    pub attempt: u64,
    ///The job id.
    pub job: ::std::string::String,
    ///The tasks.
    pub tasks: ::std::vec::Vec<TaskSpec>,
    ///Time to live of the lease, in milliseconds.
    pub ttl_ms: u64,
}
///What one entry VM knows.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct Status {
    ///Backend servers.
    pub backends: ::std::vec::Vec<BackendStatus>,
    ///Whether it can vouch that the revision is the latest.
    pub current: bool,
    ///Guaranteed shapes.
    pub guarantees: ::std::vec::Vec<GuaranteeStatus>,
    ///Its incarnation.
    pub incarnation: ::std::string::String,
    ///Entry VMs.
    pub members: ::std::vec::Vec<MemberStatus>,
    ///Requests waiting here.
    pub queued: u32,
    ///Whether it takes new work.
    pub ready: bool,
    ///Revision in force.
    pub revision: u64,
    ///Requests in progress here.
    pub running: u32,
    ///Placement shards.
    pub shards: ::std::vec::Vec<ShardStatus>,
    pub store: StoreStatus,
    ///What cannot be known now.
    pub unknown: ::std::vec::Vec<Doubt>,
    ///Its name.
    pub vm: ::std::string::String,
    ///Workers that are not well.
    pub workers: ::std::vec::Vec<WorkerStatus>,
    ///Its availability zone.
    pub zone: ::std::string::String,
}
///One step through a life cycle.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct Step {
    ///When, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    ///Why.
    pub reason: ::std::string::String,
    ///State entered.
    pub state: ::std::string::String,
}
///The key-value store as this VM sees it.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct StoreStatus {
    ///Calls made.
    pub calls: u64,
    ///Calls that failed.
    pub failed: u64,
    ///Whether it answers.
    pub healthy: bool,
}
///What to do with running tasks.
#[derive(
    ::serde::Deserialize,
    ::serde::Serialize,
    Clone,
    Copy,
    Debug,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd
)]
pub enum TaskAction {
    #[serde(rename = "checkpoint")]
    Checkpoint,
    #[serde(rename = "throttle")]
    Throttle,
    #[serde(rename = "stop")]
    Stop,
}
impl ::std::fmt::Display for TaskAction {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::Checkpoint => f.write_str("checkpoint"),
            Self::Throttle => f.write_str("throttle"),
            Self::Stop => f.write_str("stop"),
        }
    }
}
impl ::std::str::FromStr for TaskAction {
    type Err = self::error::ConversionError;
    fn from_str(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "checkpoint" => Ok(Self::Checkpoint),
            "throttle" => Ok(Self::Throttle),
            "stop" => Ok(Self::Stop),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for TaskAction {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for TaskAction {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
///A worker's answer to an action.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct TaskAnswer {
    ///Whether the action took effect.
    pub done: bool,
    ///Why not.
    #[serde(default)]
    pub reason: ::std::string::String,
}
///Acts on the tasks of a lease.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct TaskCall {
    pub action: TaskAction,
    ///The attempt.
    pub attempt: u64,
    ///Task to throttle; the others act on all tasks.
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub index: ::std::option::Option<u32>,
    ///The job id.
    pub job: ::std::string::String,
    ///Processor share of a throttled task, in thousandths of a core.
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub millicores: ::std::option::Option<u32>,
}
///One task as its worker sees it.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct TaskReport {
    ///The attempt.
    pub attempt: u64,
    ///Run time saved by the last checkpoint, in milliseconds.
    pub checkpoint_ms: u64,
    ///Exit code, once it has ended.
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub exit: ::std::option::Option<i32>,
    ///Its number in the gang.
    pub index: u32,
    ///The job id.
    pub job: ::std::string::String,
    ///Memory use, in mebibytes.
    pub memory_mib: u32,
    ///Processor use, in thousandths of a core.
    pub millicores: u32,
    ///Run time so far, in milliseconds.
    pub ran_ms: u64,
    pub state: TaskState,
    ///Whether it is throttled.
    #[serde(default)]
    pub throttled: bool,
}
///One task to start.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct TaskSpec {
    ///Its accelerators, by index.
    pub accelerators: ::std::vec::Vec<u8>,
    ///Declared run time, in milliseconds.
    pub declared_ms: u64,
    ///Its number in the gang.
    pub index: u32,
    ///Its memory, in mebibytes.
    pub memory_mib: u32,
    ///Its processor cores, in thousandths.
    pub millicores: u32,
    ///Service that it belongs to.
    pub service: ::std::string::String,
}
///State of a task on a worker.
#[derive(
    ::serde::Deserialize,
    ::serde::Serialize,
    Clone,
    Copy,
    Debug,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd
)]
pub enum TaskState {
    #[serde(rename = "running")]
    Running,
    #[serde(rename = "succeeded")]
    Succeeded,
    #[serde(rename = "failed")]
    Failed,
    #[serde(rename = "stopped")]
    Stopped,
    #[serde(rename = "overrun")]
    Overrun,
}
impl ::std::fmt::Display for TaskState {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::Running => f.write_str("running"),
            Self::Succeeded => f.write_str("succeeded"),
            Self::Failed => f.write_str("failed"),
            Self::Stopped => f.write_str("stopped"),
            Self::Overrun => f.write_str("overrun"),
        }
    }
}
impl ::std::str::FromStr for TaskState {
    type Err = self::error::ConversionError;
    fn from_str(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "running" => Ok(Self::Running),
            "succeeded" => Ok(Self::Succeeded),
            "failed" => Ok(Self::Failed),
            "stopped" => Ok(Self::Stopped),
            "overrun" => Ok(Self::Overrun),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for TaskState {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for TaskState {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
///The operators' configuration in force.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct TextAnswer {
    ///Whether the VM can vouch that it is the latest.
    pub current: bool,
    ///Its revision.
    pub revision: u64,
    ///The text.
    pub text: ::std::string::String,
}
///Whether a request or job may have run.
#[derive(
    ::serde::Deserialize,
    ::serde::Serialize,
    Clone,
    Copy,
    Debug,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd
)]
pub enum Verdict {
    #[serde(rename = "not_run")]
    NotRun,
    #[serde(rename = "ran")]
    Ran,
    #[serde(rename = "unknown")]
    Unknown,
}
impl ::std::fmt::Display for Verdict {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::NotRun => f.write_str("not_run"),
            Self::Ran => f.write_str("ran"),
            Self::Unknown => f.write_str("unknown"),
        }
    }
}
impl ::std::str::FromStr for Verdict {
    type Err = self::error::ConversionError;
    fn from_str(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "not_run" => Ok(Self::NotRun),
            "ran" => Ok(Self::Ran),
            "unknown" => Ok(Self::Unknown),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for Verdict {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for Verdict {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
///One VM of the platform's list.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct Vm {
    ///Its accelerators.
    #[serde(default)]
    pub accelerators: u32,
    ///Host and port that it serves on.
    pub address: ::std::string::String,
    ///Connections that it accepts.
    #[serde(default)]
    pub connections: u32,
    ///Its memory, in mebibytes.
    #[serde(default)]
    pub memory_mib: u32,
    ///Its processor cores, in thousandths.
    #[serde(default)]
    pub millicores: u32,
    ///Its name.
    pub name: ::std::string::String,
    ///Path prefix of its interface.
    #[serde(default)]
    pub path: ::std::string::String,
    ///Backend pool that it belongs to.
    #[serde(default)]
    pub pool: ::std::string::String,
    ///Its place in the rack.
    #[serde(default)]
    pub position: u32,
    ///Its rack.
    #[serde(default)]
    pub rack: ::std::string::String,
    ///Its region.
    pub region: ::std::string::String,
    pub role: VmRole,
    ///Requests that it runs at once.
    #[serde(default)]
    pub slots: u32,
    pub state: VmState,
    ///Its availability zone.
    pub zone: ::std::string::String,
}
///The platform's list of VMs.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct VmList {
    ///When the list was true, in milliseconds since the Unix epoch.
    pub as_of_ms: u64,
    ///The VMs.
    pub vms: ::std::vec::Vec<Vm>,
}
///What a VM is for.
#[derive(
    ::serde::Deserialize,
    ::serde::Serialize,
    Clone,
    Copy,
    Debug,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd
)]
pub enum VmRole {
    #[serde(rename = "entry")]
    Entry,
    #[serde(rename = "backend")]
    Backend,
    #[serde(rename = "worker")]
    Worker,
}
impl ::std::fmt::Display for VmRole {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::Entry => f.write_str("entry"),
            Self::Backend => f.write_str("backend"),
            Self::Worker => f.write_str("worker"),
        }
    }
}
impl ::std::str::FromStr for VmRole {
    type Err = self::error::ConversionError;
    fn from_str(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "entry" => Ok(Self::Entry),
            "backend" => Ok(Self::Backend),
            "worker" => Ok(Self::Worker),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for VmRole {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for VmRole {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
///Whether a VM is to stay.
#[derive(
    ::serde::Deserialize,
    ::serde::Serialize,
    Clone,
    Copy,
    Debug,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd
)]
pub enum VmState {
    #[serde(rename = "live")]
    Live,
    #[serde(rename = "leaving")]
    Leaving,
}
impl ::std::fmt::Display for VmState {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::Live => f.write_str("live"),
            Self::Leaving => f.write_str("leaving"),
        }
    }
}
impl ::std::str::FromStr for VmState {
    type Err = self::error::ConversionError;
    fn from_str(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "live" => Ok(Self::Live),
            "leaving" => Ok(Self::Leaving),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for VmState {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for VmState {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
///Leases and tasks of a worker.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct WorkerReport {
    ///Age of the usage figures, in milliseconds.
    pub lag_ms: u64,
    ///Leases held.
    pub leases: ::std::vec::Vec<LeaseReport>,
    ///Tasks that run or ended lately.
    pub tasks: ::std::vec::Vec<TaskReport>,
    ///The worker.
    pub worker: ::std::string::String,
}
///One worker that is not well.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct WorkerStatus {
    ///The worker.
    pub name: ::std::string::String,
    ///Its state.
    pub state: ::std::string::String,
    ///Why.
    #[serde(default)]
    pub why: ::std::string::String,
    ///Its availability zone.
    pub zone: ::std::string::String,
}
/// Error types.
pub mod error {
    /// Error from a `TryFrom` or `FromStr` implementation.
    pub struct ConversionError(::std::borrow::Cow<'static, str>);
    impl ::std::error::Error for ConversionError {}
    impl ::std::fmt::Display for ConversionError {
        fn fmt(
            &self,
            f: &mut ::std::fmt::Formatter<'_>,
        ) -> Result<(), ::std::fmt::Error> {
            ::std::fmt::Display::fmt(&self.0, f)
        }
    }
    impl ::std::fmt::Debug for ConversionError {
        fn fmt(
            &self,
            f: &mut ::std::fmt::Formatter<'_>,
        ) -> Result<(), ::std::fmt::Error> {
            ::std::fmt::Debug::fmt(&self.0, f)
        }
    }
    impl From<&'static str> for ConversionError {
        fn from(value: &'static str) -> Self {
            Self(value.into())
        }
    }
    impl From<String> for ConversionError {
        fn from(value: String) -> Self {
            Self(value.into())
        }
    }
}
