//! Settings of an entry VM that keeps its persistent state in the platform's store.

use std::net::SocketAddr;
use std::time::Duration;

use jsonc_parser::ast::Value;

use crate::Bytes;
use crate::Fault;
use crate::LogFormat;
use crate::LogLevel;
use crate::reader::Read;
use crate::reader::Reader;
use crate::settings::Name;
use model::RegionId;
use model::VmId;
use model::ZoneId;

/// Settings of an entry VM that keeps its persistent state in the platform's store.
#[derive(Clone, Debug, PartialEq)]
pub struct HostSettings {
    /// Name of the VM.
    pub vm: VmId,
    /// Availability zone of the VM.
    pub zone: ZoneId,
    /// Region of the VM.
    pub region: RegionId,
    /// Listen address for callers.
    pub callers: SocketAddr,
    /// Listen address for the load balancer's readiness checks.
    pub readiness: SocketAddr,
    /// Listen address for peers.
    pub peers: SocketAddr,
    /// Listen address for metrics; `None` disables them.
    pub metrics: Option<SocketAddr>,
    /// Address of the store.
    pub store: SocketAddr,
    /// Address of the advice service; `None` if there is none.
    pub advice: Option<SocketAddr>,
    /// CPU capacity of the VM over all its cores, in cores.
    pub cpu: f64,
    /// Bandwidth of the VM's network link, in Mbit/s.
    pub link_mbps: f64,
    /// Time to live of the ownership lease in the store.
    pub ownership: Duration,
    /// Maximum time until a new configuration must be in force.
    pub apply: Duration,
    /// Time from the request to stop to the end of the process.
    pub grace: Duration,
    /// Maximum size of a request body, in effect until a configuration is known.
    pub body: Bytes,
    /// Time limits of job scheduling.
    pub jobs: JobBounds,
    /// Minimum level of logged messages.
    pub log_level: LogLevel,
    /// Format of log lines.
    pub log_format: LogFormat,
}

/// Time limits of job scheduling.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct JobBounds {
    /// Maximum lease that a worker grants.
    pub lease: Duration,
    /// Maximum time that a worker takes to stop a task.
    pub stop: Duration,
    /// Retention time of the state of a finished job.
    pub retention: Duration,
    /// Time after a worker has announced that it drains from which it must get no starts; `None`
    /// sets no bound.
    pub drain: Option<Duration>,
    /// Time after an availability zone has been evacuated from which its workers must get no starts;
    /// `None` sets no bound.
    pub evacuate: Option<Duration>,
    /// Time after a job has been cancelled from which it must get no starts; `None` sets no bound.
    pub cancel: Option<Duration>,
    /// Whether gangs are preempted as a whole, with their cost counted once and all the capacity
    /// that they free.
    pub preempt_gangs: bool,
    /// Maximum number of reservations for wide steps at a time; zero for none.
    pub reservations: u32,
}

const FIELDS: [&str; 18] = [
    "vm",
    "zone",
    "region",
    "callers",
    "readiness",
    "peers",
    "metrics",
    "store",
    "advice",
    "cpu",
    "link_mbps",
    "ownership",
    "apply",
    "grace",
    "body",
    "jobs",
    "log_level",
    "log_format",
];

impl Read for JobBounds {
    fn read(reader: &mut Reader<'_>, value: &Value<'_>, path: &str) -> Option<JobBounds> {
        let known = [
            "lease",
            "stop",
            "retention",
            "drain",
            "evacuate",
            "cancel",
            "preempt_gangs",
            "reservations",
        ];
        let object = reader.object(value, path, &known)?;
        let lease = reader.required(object, path, "lease", "\"6s\"");
        let stop = reader.required(object, path, "stop", "\"200ms\"");
        let retention = reader.required(object, path, "retention", "\"2m\"");
        let drain = reader.optional_or(object, path, "drain", None);
        let evacuate = reader.optional_or(object, path, "evacuate", None);
        let cancel = reader.optional_or(object, path, "cancel", None);
        let preempt_gangs = reader.optional_or(object, path, "preempt_gangs", false);
        let reservations = reader.optional_or(object, path, "reservations", 0);
        Some(JobBounds {
            lease: lease?,
            stop: stop?,
            retention: retention?,
            drain: drain?,
            evacuate: evacuate?,
            cancel: cancel?,
            preempt_gangs: preempt_gangs?,
            reservations: reservations?,
        })
    }
}

impl Read for HostSettings {
    fn read(reader: &mut Reader<'_>, value: &Value<'_>, path: &str) -> Option<HostSettings> {
        let object = reader.object(value, path, &FIELDS)?;
        let vm: Option<Name> = reader.required(object, path, "vm", "\"entry-1\"");
        let zone: Option<Name> = reader.required(object, path, "zone", "\"north-a\"");
        let region: Option<Name> = reader.required(object, path, "region", "\"north\"");
        let callers = reader.required(object, path, "callers", "\"0.0.0.0:8080\"");
        let readiness = reader.required(object, path, "readiness", "\"0.0.0.0:8081\"");
        let peers = reader.required(object, path, "peers", "\"10.0.0.5:8090\"");
        let metrics = reader.optional_or(object, path, "metrics", None);
        let store = reader.required(object, path, "store", "\"10.0.0.2:2379\"");
        let advice = reader.optional_or(object, path, "advice", None);
        let cpu = reader.required(object, path, "cpu", "0.25");
        let link_mbps = reader.required(object, path, "link_mbps", "1000");
        let ownership = reader.required(object, path, "ownership", "\"1200ms\"");
        let apply = reader.required(object, path, "apply", "\"3s\"");
        let grace = reader.required(object, path, "grace", "\"6s\"");
        let body = reader.optional_or(object, path, "body", Bytes(262_144));
        let jobs = reader.required(object, path, "jobs", "{}");
        let log_level = reader.optional_or(object, path, "log_level", LogLevel::Info);
        let log_format = reader.optional_or(object, path, "log_format", LogFormat::Json);
        Some(HostSettings {
            vm: VmId::from(vm?.0.as_str()),
            zone: ZoneId::from(zone?.0.as_str()),
            region: RegionId::from(region?.0.as_str()),
            callers: callers?,
            readiness: readiness?,
            peers: peers?,
            metrics: metrics?,
            store: store?,
            advice: advice?,
            cpu: cpu?,
            link_mbps: link_mbps?,
            ownership: ownership?,
            apply: apply?,
            grace: grace?,
            body: body?,
            jobs: jobs?,
            log_level: log_level?,
            log_format: log_format?,
        })
    }
}

/// Parses and checks the settings. `file` is the file name to show in faults.
///
/// # Errors
///
/// All faults, ordered by position.
pub fn parse_host_settings(file: &str, source: &str) -> Result<HostSettings, Vec<Fault>> {
    let mut reader = Reader::new(file, source);
    let settings = reader.root::<HostSettings>();
    reader.into_result(settings).map(|(settings, _)| settings)
}
