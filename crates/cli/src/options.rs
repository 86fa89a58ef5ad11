//! The command line as typed options.

use std::path::PathBuf;
use std::time::Duration;

use clap::ArgMatches;
use clap_complete::Shell;
use strum::EnumString;
use strum::VariantNames;

use wire::border;

/// What the program is to do and how.
#[derive(Clone, Debug)]
pub struct Options {
    /// What to do.
    pub command: Command,
    /// How to reach the entry VMs.
    pub connection: Connection,
    /// When to colour what is printed.
    pub colour: Colour,
}

/// What the program is to do.
#[derive(Clone, Debug)]
pub enum Command {
    /// Check a configuration.
    Check(CheckOptions),
    /// Compare two configurations.
    Diff(DiffOptions),
    /// Put a configuration in force.
    Apply(ApplyOptions),
    /// List the kept revisions.
    History(Format),
    /// Print the configuration in force.
    Text(Format),
    /// Show the state of the system.
    Status(Format),
    /// Show the path of a request.
    ExplainRequest(IdOptions),
    /// Show the path of a job.
    ExplainJob(IdOptions),
    /// Submit a job.
    Submit(SubmitOptions),
    /// Show a job.
    ShowJob(IdOptions),
    /// Cancel a job.
    CancelJob(IdOptions),
    /// Show error budgets and burn rates.
    Burn(BurnOptions),
    /// Print the log lines of an id.
    Trace(TraceOptions),
    /// Run a whole system in this process.
    Dev(DevOptions),
    /// Print shell completions.
    Completions(Shell),
    /// Print or write manual pages.
    Man(ManOptions),
}

/// How to reach the entry VMs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Connection {
    /// Entry VMs, tried in turn.
    pub urls: Vec<String>,
    /// Operator token.
    pub token: Option<String>,
    /// File that holds the operator token.
    pub token_file: Option<PathBuf>,
}

/// When to colour what is printed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, EnumString, VariantNames)]
#[strum(serialize_all = "snake_case")]
pub enum Colour {
    /// On a terminal.
    Auto,
    /// Always.
    Always,
    /// Never.
    Never,
}

/// How to print what was read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Format {
    /// As tables and lines.
    Table,
    /// As JSON.
    Json,
}

/// Options of `check`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CheckOptions {
    /// The configuration.
    pub file: PathBuf,
    /// The workers.
    pub fleet: Option<PathBuf>,
    /// How to print the faults.
    pub format: Format,
}

/// Options of `diff`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DiffOptions {
    /// The old configuration; the one in force without it.
    pub old: Option<PathBuf>,
    /// The new configuration.
    pub new: PathBuf,
    /// How to print the changes.
    pub format: Format,
}

/// Options of `apply`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ApplyOptions {
    /// The configuration.
    pub file: PathBuf,
    /// Whether to wait until it is in force.
    pub wait: bool,
    /// Revision that the change was made on.
    pub expect: Option<u64>,
    /// Who makes the change.
    pub author: String,
    /// Id of an earlier write to settle.
    pub write: Option<u64>,
    /// How to print the outcome.
    pub format: Format,
}

/// Options of commands about one request or job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct IdOptions {
    /// Its id.
    pub id: String,
    /// How to print it.
    pub format: Format,
}

/// Options of `jobs submit`.
#[derive(Clone, Debug, PartialEq)]
pub struct SubmitOptions {
    /// The job.
    pub source: JobSource,
    /// Availability zone, in place of the job's own.
    pub zone: Option<String>,
    /// Whether to wait until the job has ended.
    pub wait: bool,
    /// How to print its state.
    pub format: Format,
}

/// Where a job is described.
#[derive(Clone, Debug, PartialEq)]
pub enum JobSource {
    /// In a file.
    File(PathBuf),
    /// By flags.
    Flags(Box<border::JobSpec>),
}

/// Options of `burn`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BurnOptions {
    /// File to draw into.
    pub svg: Option<PathBuf>,
    /// How to print the report.
    pub format: Format,
}

/// Options of `trace`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TraceOptions {
    /// Id of a job, a task or a worker.
    pub id: String,
    /// Logs of entry VMs, as JSON lines.
    pub logs: Vec<PathBuf>,
}

/// Options of `man`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ManOptions {
    /// Folder for one page for each command; the main page is printed without it.
    pub folder: Option<PathBuf>,
}

/// Options of `dev`.
#[derive(Clone, Debug, PartialEq)]
pub struct DevOptions {
    /// Time after which it ends.
    pub duration: Option<Duration>,
    /// The operators' configuration.
    pub text: Option<PathBuf>,
    /// Number of entry VMs.
    pub entries: u32,
    /// Requests a second.
    pub rate: u32,
    /// Seed of the load and the stand-ins.
    pub seed: u64,
    /// Whether to print the report only.
    pub quiet: bool,
}

impl Options {
    /// Reads the options from parsed arguments.
    ///
    /// # Panics
    ///
    /// The arguments do not come from [`crate::app::build`].
    pub fn from_matches(matches: &ArgMatches) -> Options {
        Options {
            command: Command::from_matches(matches),
            connection: Connection {
                urls: matches.get_many("url").into_iter().flatten().cloned().collect(),
                token: matches.get_one("token").cloned(),
                token_file: matches.get_one("token-file").cloned(),
            },
            colour: matches.get_one("color").copied().unwrap_or(Colour::Auto),
        }
    }
}

impl Command {
    fn from_matches(matches: &ArgMatches) -> Command {
        match matches.subcommand() {
            Some(("check", matches)) => Command::Check(CheckOptions {
                file: path(matches, "file"),
                fleet: matches.get_one("fleet").cloned(),
                format: format(matches),
            }),
            Some(("diff", matches)) => Command::Diff(DiffOptions::from_matches(matches)),
            Some(("apply", matches)) => Command::Apply(ApplyOptions::from_matches(matches)),
            Some(("history", matches)) => Command::History(format(matches)),
            Some(("text", matches)) => Command::Text(format(matches)),
            Some(("status", matches)) => Command::Status(format(matches)),
            Some(("explain", matches)) => Command::explain(matches),
            Some(("jobs", matches)) => Command::jobs(matches),
            Some(("burn", matches)) => Command::Burn(BurnOptions {
                svg: matches.get_one("svg").cloned(),
                format: format(matches),
            }),
            Some(("trace", matches)) => Command::Trace(TraceOptions {
                id: matches.get_one::<String>("id").cloned().unwrap_or_default(),
                logs: matches.get_many("log").into_iter().flatten().cloned().collect(),
            }),
            Some(("dev", matches)) => Command::Dev(DevOptions::from_matches(matches)),
            Some(("completions", matches)) => {
                Command::Completions(matches.get_one("shell").copied().unwrap_or(Shell::Bash))
            }
            Some(("man", matches)) => {
                Command::Man(ManOptions { folder: matches.get_one("dir").cloned() })
            }
            other => unreachable!("subcommand {other:?} is not built"),
        }
    }

    fn explain(matches: &ArgMatches) -> Command {
        match matches.subcommand() {
            Some(("request", matches)) => Command::ExplainRequest(IdOptions::from_matches(matches)),
            Some(("job", matches)) => Command::ExplainJob(IdOptions::from_matches(matches)),
            other => unreachable!("subcommand {other:?} is not built"),
        }
    }

    fn jobs(matches: &ArgMatches) -> Command {
        match matches.subcommand() {
            Some(("submit", matches)) => Command::Submit(SubmitOptions::from_matches(matches)),
            Some(("show", matches)) => Command::ShowJob(IdOptions::from_matches(matches)),
            Some(("cancel", matches)) => Command::CancelJob(IdOptions::from_matches(matches)),
            other => unreachable!("subcommand {other:?} is not built"),
        }
    }
}

impl DiffOptions {
    fn from_matches(matches: &ArgMatches) -> DiffOptions {
        let first = path(matches, "file");
        let second: Option<PathBuf> = matches.get_one("new").cloned();
        let (old, new) = match second {
            Some(second) => (Some(first), second),
            None => (None, first),
        };
        DiffOptions { old, new, format: format(matches) }
    }
}

impl ApplyOptions {
    fn from_matches(matches: &ArgMatches) -> ApplyOptions {
        ApplyOptions {
            file: path(matches, "file"),
            wait: matches.get_flag("wait"),
            expect: matches.get_one("expect").copied(),
            author: string(matches, "author"),
            write: matches.get_one("write").copied(),
            format: format(matches),
        }
    }
}

impl IdOptions {
    fn from_matches(matches: &ArgMatches) -> IdOptions {
        IdOptions { id: string(matches, "id"), format: format(matches) }
    }
}

impl SubmitOptions {
    fn from_matches(matches: &ArgMatches) -> SubmitOptions {
        let source = match matches.get_one::<PathBuf>("file") {
            Some(file) => JobSource::File(file.clone()),
            None => JobSource::Flags(Box::new(job(matches))),
        };
        SubmitOptions {
            source,
            zone: matches.get_one("zone").cloned(),
            wait: matches.get_flag("wait"),
            format: format(matches),
        }
    }
}

impl DevOptions {
    fn from_matches(matches: &ArgMatches) -> DevOptions {
        DevOptions {
            duration: matches.get_one("for").copied(),
            text: matches.get_one("text").cloned(),
            entries: matches.get_one("entries").copied().unwrap_or(3),
            rate: matches.get_one("rate").copied().unwrap_or(200),
            seed: matches.get_one("seed").copied().unwrap_or(1),
            quiet: matches.get_flag("quiet"),
        }
    }
}

fn job(matches: &ArgMatches) -> border::JobSpec {
    let number = |name: &str| matches.get_one::<u32>(name).copied().unwrap_or(1);
    let memory = matches.get_one::<text::Bytes>("memory").map_or(0, |size| size.mebibytes());
    let declared = matches.get_one::<Duration>("declared").copied().unwrap_or_default();
    border::JobSpec {
        account: string(matches, "account"),
        service: string(matches, "service"),
        shape: border::GangShape {
            tasks: number("tasks"),
            accelerators: number("accelerators"),
            millicores: number("cores").saturating_mul(1_000),
            memory_mib: u32::try_from(memory).unwrap_or(u32::MAX),
            adjacency: string(matches, "adjacency").parse().unwrap_or(border::Adjacency::Zone),
        },
        priority: string(matches, "priority").parse().unwrap_or(border::Priority::Normal),
        declared_ms: u64::try_from(declared.as_millis()).unwrap_or(u64::MAX),
        idempotent: matches.get_flag("idempotent"),
        checkpoint: matches.get_flag("checkpoint"),
        volatile: matches.get_flag("volatile"),
        zone: None,
    }
}

fn format(matches: &ArgMatches) -> Format {
    if matches.get_flag("json") { Format::Json } else { Format::Table }
}

fn path(matches: &ArgMatches, name: &str) -> PathBuf {
    matches.get_one(name).cloned().unwrap_or_default()
}

fn string(matches: &ArgMatches, name: &str) -> String {
    matches.get_one(name).cloned().unwrap_or_default()
}
