//! Settings of the process of one entry VM.

use std::net::SocketAddr;
use std::time::Duration;

use jsonc_parser::ast::Value;
use serde::Deserialize;
use serde::Serialize;
use strum::AsRefStr;
use strum::Display;
use strum::EnumString;
use strum::VariantArray;

use crate::Bytes;
use crate::Fault;
use crate::reader::Read;
use crate::reader::Reader;
use crate::reader::is_name;
use crate::reader::join_path;
use crate::reader::read_variant;
use model::RegionId;
use model::VmId;
use model::ZoneId;

/// Settings of the process of one entry VM.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Settings {
    /// Name of the VM.
    pub vm: VmId,
    /// Availability zone of the VM.
    pub zone: ZoneId,
    /// Region of the VM.
    pub region: RegionId,
    /// Listen addresses.
    pub listen: Endpoints,
    /// Address at which peers reach this VM.
    pub advertise: SocketAddr,
    /// Base URLs of the key-value store, in order of preference.
    pub store: Vec<String>,
    /// URL of the platform's list of VMs.
    pub vms: String,
    /// Token that operators must present; `None` disables changes through this VM.
    pub token: Option<String>,
    /// Minimum level of logged messages.
    pub log_level: LogLevel,
    /// Format of log lines.
    pub log_format: LogFormat,
    /// Resource limits of one process.
    pub limits: Bounds,
    /// Bandwidth limit of traffic to other regions, in bytes per second.
    pub link_budget: Bytes,
}

/// Listen addresses of one entry VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Endpoints {
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for operators; may be the same as that for callers, which is the default.
    pub operators: SocketAddr,
    /// Address for other entry VMs.
    pub peers: SocketAddr,
}

/// Resource limits of one process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Bounds {
    /// Maximum number of requests in progress or queued.
    pub requests: u32,
    /// Maximum size of the body of one request or response.
    pub body: Bytes,
    /// Memory limit of stored responses.
    pub answers: Bytes,
    /// Time limit of a graceful shutdown.
    pub drain: Duration,
    /// Rate limit of store calls, in calls per second.
    pub store_calls: u32,
}

impl Default for Bounds {
    fn default() -> Bounds {
        Bounds {
            requests: 20_000,
            body: Bytes(1_000_000),
            answers: Bytes(64_000_000),
            drain: Duration::from_secs(300),
            store_calls: 50,
        }
    }
}

/// Minimum level of logged messages.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    Serialize,
    Deserialize,
    AsRefStr,
    Display,
    EnumString,
    VariantArray,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum LogLevel {
    /// Failures that need an operator's attention.
    Error,
    /// Failures from which the process recovers.
    Warn,
    /// State changes.
    Info,
    /// Individual decisions.
    Debug,
    /// Individual messages.
    Trace,
}

/// Format of log lines.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    Serialize,
    Deserialize,
    AsRefStr,
    Display,
    EnumString,
    VariantArray,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum LogFormat {
    /// Human-readable lines.
    Text,
    /// One JSON object per line.
    Json,
}

impl Read for LogLevel {
    fn read(reader: &mut Reader<'_>, value: &Value<'_>, path: &str) -> Option<LogLevel> {
        read_variant(reader, value, path)
    }
}

impl Read for LogFormat {
    fn read(reader: &mut Reader<'_>, value: &Value<'_>, path: &str) -> Option<LogFormat> {
        read_variant(reader, value, path)
    }
}

impl Read for SocketAddr {
    fn read(reader: &mut Reader<'_>, value: &Value<'_>, path: &str) -> Option<SocketAddr> {
        let address = value.as_string_lit().and_then(|s| s.value.parse().ok());
        if address.is_none() {
            reader.report_invalid(
                value,
                path,
                "an IP number and a port, such as \"10.0.0.5:8080\"",
            );
        }
        address
    }
}

impl Read for Endpoints {
    fn read(reader: &mut Reader<'_>, value: &Value<'_>, path: &str) -> Option<Endpoints> {
        let object = reader.object(value, path, &["callers", "operators", "peers"])?;
        let callers: Option<SocketAddr> =
            reader.required(object, path, "callers", "\"0.0.0.0:8080\"");
        let operators = reader.optional_or(object, path, "operators", None);
        let peers = reader.required(object, path, "peers", "\"0.0.0.0:8090\"");
        let callers = callers?;
        Some(Endpoints { callers, operators: operators?.unwrap_or(callers), peers: peers? })
    }
}

impl Read for Bounds {
    fn read(reader: &mut Reader<'_>, value: &Value<'_>, path: &str) -> Option<Bounds> {
        let known = ["requests", "body", "answers", "drain", "store_calls"];
        let object = reader.object(value, path, &known)?;
        let defaults = Bounds::default();
        let requests = reader.optional_or(object, path, "requests", defaults.requests);
        let body = reader.optional_or(object, path, "body", defaults.body);
        let answers = reader.optional_or(object, path, "answers", defaults.answers);
        let drain = reader.optional_or(object, path, "drain", defaults.drain);
        let store_calls = reader.optional_or(object, path, "store_calls", defaults.store_calls);
        for (name, number) in [("requests", requests), ("store_calls", store_calls)] {
            if number == Some(0) {
                reader.report(&join_path(path, name), "is out of range", "write 1 or more");
            }
        }
        Some(Bounds {
            requests: requests?,
            body: body?,
            answers: answers?,
            drain: drain?,
            store_calls: store_calls?,
        })
    }
}

/// Valid name, such as that of a VM (see [`is_name`]).
pub(crate) struct Name(pub String);

impl Read for Name {
    fn read(reader: &mut Reader<'_>, value: &Value<'_>, path: &str) -> Option<Name> {
        let name = value.as_string_lit().filter(|s| is_name(&s.value));
        if name.is_none() {
            let expected = "a name of lower-case letters, digits and hyphens, a letter first";
            reader.report_invalid(value, path, expected);
        }
        name.map(|name| Name(name.value.to_string()))
    }
}

/// URL with the scheme `http`.
struct Url(String);

impl Read for Url {
    fn read(reader: &mut Reader<'_>, value: &Value<'_>, path: &str) -> Option<Url> {
        let host = |url: &str| url.strip_prefix("http://").is_some_and(|rest| !rest.is_empty());
        let plain = |url: &str| !url.contains(char::is_whitespace);
        let url = value.as_string_lit().filter(|s| host(&s.value) && plain(&s.value));
        if url.is_none() {
            reader.report_invalid(value, path, "a URL, such as \"http://10.0.0.2:2379\"");
        }
        url.map(|url| Url(url.value.to_string()))
    }
}

const FIELDS: [&str; 13] = [
    "$schema",
    "vm",
    "zone",
    "region",
    "listen",
    "advertise",
    "store",
    "vms",
    "token",
    "log_level",
    "log_format",
    "limits",
    "link_budget",
];

impl Read for Settings {
    fn read(reader: &mut Reader<'_>, value: &Value<'_>, path: &str) -> Option<Settings> {
        let object = reader.object(value, path, &FIELDS)?;
        let schema: Option<Option<String>> = reader.optional_or(object, path, "$schema", None);
        let vm: Option<Name> = reader.required(object, path, "vm", "\"entry-1\"");
        let zone: Option<Name> = reader.required(object, path, "zone", "\"north-a\"");
        let region: Option<Name> = reader.required(object, path, "region", "\"north\"");
        let listen = reader.required(object, path, "listen", "{}");
        let advertise = reader.required(object, path, "advertise", "\"10.0.0.5:8090\"");
        let example = "[\"http://10.0.0.2:2379\"]";
        let store: Option<Vec<Url>> = reader.required(object, path, "store", example);
        let vms: Option<Url> = reader.required(object, path, "vms", "\"http://10.0.0.2:8000/vms\"");
        let token = reader.optional_or(object, path, "token", None);
        let log_level = reader.optional_or(object, path, "log_level", LogLevel::Info);
        let log_format = reader.optional_or(object, path, "log_format", LogFormat::Text);
        let limits = reader.optional_or(object, path, "limits", Bounds::default());
        let link_budget = reader.optional_or(object, path, "link_budget", Bytes(200_000));
        if store.as_ref().is_some_and(Vec::is_empty) {
            reader.report("store", "is empty", format!("write {example}"));
        }
        schema?;
        Some(Settings {
            vm: VmId::from(vm?.0.as_str()),
            zone: ZoneId::from(zone?.0.as_str()),
            region: RegionId::from(region?.0.as_str()),
            listen: listen?,
            advertise: advertise?,
            store: store?.into_iter().map(|url| url.0).collect(),
            vms: vms?.0,
            token: token?,
            log_level: log_level?,
            log_format: log_format?,
            limits: limits?,
            link_budget: link_budget?,
        })
    }
}

/// Parses and checks the settings. `file` is the file name to show in faults.
///
/// # Errors
///
/// All faults, ordered by position.
pub fn parse_settings(file: &str, source: &str) -> Result<Settings, Vec<Fault>> {
    let mut reader = Reader::new(file, source);
    let settings = reader.root::<Settings>();
    reader.into_result(settings).map(|(settings, _)| settings)
}
