//! Typed options, converted from the parsed command line.

use std::path::PathBuf;
use std::time::Duration;

use clap::ArgMatches;
use clap_complete::Shell;
use strum::EnumString;
use strum::VariantNames;

use wire::border;

/// Options of one invocation.
#[derive(Clone, Debug)]
pub struct Options {
    /// Subcommand with its own options.
    pub command: Command,
    /// How to reach the entry VMs.
    pub connection: Connection,
    /// When to colour the output.
    pub colour: Colour,
}

/// Subcommand with its options.
#[derive(Clone, Debug)]
pub enum Command {
    /// Check a configuration.
    Check(CheckOptions),
    /// Compare two configurations.
    Diff(DiffOptions),
    /// Apply a configuration.
    Apply(ApplyOptions),
    /// List the retained revisions of the configuration.
    History(Format),
    /// Print the configuration in force.
    Text(Format),
    /// Show the state of the system.
    Status(Format),
    /// Show the state changes of a request.
    ExplainRequest(IdOptions),
    /// Show the state changes of a job.
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
    /// Run a complete system in this process.
    Dev(DevOptions),
    /// Print shell completions.
    Completions(Shell),
    /// Print or write manual pages.
    Man(ManOptions),
}

/// How to reach the entry VMs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Connection {
    /// URLs of entry VMs, tried in turn.
    pub urls: Vec<String>,
    /// Operator token given on the command line or in the environment.
    pub token: Option<String>,
    /// File with the operator token; takes precedence over `token`.
    pub token_file: Option<PathBuf>,
}

/// When to colour the output.
#[derive(Clone, Copy, Debug, PartialEq, Eq, EnumString, VariantNames)]
#[strum(serialize_all = "snake_case")]
pub enum Colour {
    /// On a terminal, unless `NO_COLOR` is set.
    Auto,
    /// Always.
    Always,
    /// Never.
    Never,
}

/// Output format.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Format {
    /// Tables and lines of text.
    Table,
    /// JSON.
    Json,
}

/// Options of `check`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CheckOptions {
    /// Configuration to check.
    pub file: PathBuf,
    /// Size of the worker fleet that guarantees are checked against.
    pub fleet: Option<PathBuf>,
    /// Output format of the faults.
    pub format: Format,
}

/// Options of `diff`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DiffOptions {
    /// Old configuration; `None` for the one in force.
    pub old: Option<PathBuf>,
    /// New configuration.
    pub new: PathBuf,
    /// Output format of the changes.
    pub format: Format,
}

/// Options of `apply`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ApplyOptions {
    /// Configuration to apply.
    pub file: PathBuf,
    /// Whether to wait until the entry VMs have applied it.
    pub wait: bool,
    /// Revision that the change is based on; `None` for the one in force.
    pub expect: Option<u64>,
    /// Author recorded with the change.
    pub author: String,
    /// Id of an earlier write to repeat; `None` for a new id.
    pub write: Option<u64>,
    /// Output format of the outcome.
    pub format: Format,
}

/// Options of commands about one request or job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct IdOptions {
    /// Id of the request or job.
    pub id: String,
    /// Output format.
    pub format: Format,
}

/// Options of `jobs submit`.
#[derive(Clone, Debug, PartialEq)]
pub struct SubmitOptions {
    /// Where the job specification comes from.
    pub source: JobSource,
    /// Availability zone; overrides the one in the job specification.
    pub zone: Option<String>,
    /// Whether to wait until the job has ended.
    pub wait: bool,
    /// Output format of the job status.
    pub format: Format,
}

/// Source of a job specification.
#[derive(Clone, Debug, PartialEq)]
pub enum JobSource {
    /// JSON file.
    File(PathBuf),
    /// Flags of the command line.
    Flags(Box<border::JobSpec>),
}

/// Options of `burn`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BurnOptions {
    /// File to write the SVG chart to.
    pub svg: Option<PathBuf>,
    /// Output format of the report.
    pub format: Format,
}

/// Options of `trace`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TraceOptions {
    /// Id of a job, a task or a worker.
    pub id: String,
    /// Log files of entry VMs, as JSON lines.
    pub logs: Vec<PathBuf>,
}

/// Options of `man`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ManOptions {
    /// Folder to write one page per command to; `None` prints the main page.
    pub folder: Option<PathBuf>,
}

/// Options of `dev`.
#[derive(Clone, Debug, PartialEq)]
pub struct DevOptions {
    /// Time after which it stops; `None` to run until Ctrl-C.
    pub duration: Option<Duration>,
    /// Configuration to run; `None` for the embedded sample.
    pub text: Option<PathBuf>,
    /// Number of entry VMs.
    pub entries: u32,
    /// Requests sent per second.
    pub rate: u32,
    /// Seed of the load and the simulated services.
    pub seed: u64,
    /// Whether to print only the final report.
    pub quiet: bool,
}

impl Options {
    /// Converts parsed arguments.
    ///
    /// # Panics
    ///
    /// The arguments were not parsed by the command line of [`crate::app::build`].
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
                file: path_arg(matches, "file"),
                fleet: matches.get_one("fleet").cloned(),
                format: format_arg(matches),
            }),
            Some(("diff", matches)) => Command::Diff(DiffOptions::from_matches(matches)),
            Some(("apply", matches)) => Command::Apply(ApplyOptions::from_matches(matches)),
            Some(("history", matches)) => Command::History(format_arg(matches)),
            Some(("text", matches)) => Command::Text(format_arg(matches)),
            Some(("status", matches)) => Command::Status(format_arg(matches)),
            Some(("explain", matches)) => Command::explain(matches),
            Some(("jobs", matches)) => Command::jobs(matches),
            Some(("burn", matches)) => Command::Burn(BurnOptions {
                svg: matches.get_one("svg").cloned(),
                format: format_arg(matches),
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
            other => unreachable!("subcommand {other:?} is not handled"),
        }
    }

    fn explain(matches: &ArgMatches) -> Command {
        match matches.subcommand() {
            Some(("request", matches)) => Command::ExplainRequest(IdOptions::from_matches(matches)),
            Some(("job", matches)) => Command::ExplainJob(IdOptions::from_matches(matches)),
            other => unreachable!("subcommand {other:?} is not handled"),
        }
    }

    fn jobs(matches: &ArgMatches) -> Command {
        match matches.subcommand() {
            Some(("submit", matches)) => Command::Submit(SubmitOptions::from_matches(matches)),
            Some(("show", matches)) => Command::ShowJob(IdOptions::from_matches(matches)),
            Some(("cancel", matches)) => Command::CancelJob(IdOptions::from_matches(matches)),
            other => unreachable!("subcommand {other:?} is not handled"),
        }
    }
}

impl DiffOptions {
    fn from_matches(matches: &ArgMatches) -> DiffOptions {
        let first = path_arg(matches, "file");
        let second: Option<PathBuf> = matches.get_one("new").cloned();
        let (old, new) = match second {
            Some(second) => (Some(first), second),
            None => (None, first),
        };
        DiffOptions { old, new, format: format_arg(matches) }
    }
}

impl ApplyOptions {
    fn from_matches(matches: &ArgMatches) -> ApplyOptions {
        ApplyOptions {
            file: path_arg(matches, "file"),
            wait: matches.get_flag("wait"),
            expect: matches.get_one("expect").copied(),
            author: string_arg(matches, "author"),
            write: matches.get_one("write").copied(),
            format: format_arg(matches),
        }
    }
}

impl IdOptions {
    fn from_matches(matches: &ArgMatches) -> IdOptions {
        IdOptions { id: string_arg(matches, "id"), format: format_arg(matches) }
    }
}

impl SubmitOptions {
    fn from_matches(matches: &ArgMatches) -> SubmitOptions {
        let source = match matches.get_one::<PathBuf>("file") {
            Some(file) => JobSource::File(file.clone()),
            None => JobSource::Flags(Box::new(job_spec(matches))),
        };
        SubmitOptions {
            source,
            zone: matches.get_one("zone").cloned(),
            wait: matches.get_flag("wait"),
            format: format_arg(matches),
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

fn job_spec(matches: &ArgMatches) -> border::JobSpec {
    let number = |name: &str| matches.get_one::<u32>(name).copied().unwrap_or(1);
    let memory = matches.get_one::<text::Bytes>("memory").map_or(0, |size| size.mebibytes());
    let declared = matches.get_one::<Duration>("declared").copied().unwrap_or_default();
    border::JobSpec {
        account: string_arg(matches, "account"),
        service: string_arg(matches, "service"),
        shape: border::GangShape {
            tasks: number("tasks"),
            accelerators: number("accelerators"),
            millicores: number("cores").saturating_mul(1_000),
            memory_mib: u32::try_from(memory).unwrap_or(u32::MAX),
            adjacency: string_arg(matches, "adjacency").parse().unwrap_or(border::Adjacency::Zone),
        },
        priority: string_arg(matches, "priority").parse().unwrap_or(border::Priority::Normal),
        declared_ms: u64::try_from(declared.as_millis()).unwrap_or(u64::MAX),
        idempotent: matches.get_flag("idempotent"),
        checkpoint: matches.get_flag("checkpoint"),
        volatile: matches.get_flag("volatile"),
        zone: None,
    }
}

fn format_arg(matches: &ArgMatches) -> Format {
    if matches.get_flag("json") { Format::Json } else { Format::Table }
}

fn path_arg(matches: &ArgMatches, name: &str) -> PathBuf {
    matches.get_one(name).cloned().unwrap_or_default()
}

fn string_arg(matches: &ArgMatches, name: &str) -> String {
    matches.get_one(name).cloned().unwrap_or_default()
}
