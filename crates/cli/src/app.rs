//! Definition of the command line: subcommands, flags and help texts.

use std::path::PathBuf;

use clap::Arg;
use clap::ArgAction;
use clap::ArgGroup;
use clap::Command;
use clap::builder::EnumValueParser;
use clap::builder::PossibleValuesParser;
use clap::builder::TypedValueParser;
use clap::value_parser;
use clap_complete::Shell;
use strum::VariantNames;

use crate::options::Colour;
use crate::status;

/// URL at which an entry VM serves operators unless its settings name another address.
const DEFAULT_URL: &str = "http://127.0.0.1:8081";

/// Builds the command line definition, from which completions and manual pages are generated too.
pub fn build() -> Command {
    Command::new("basilrack")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Operates basilrack, a scheduler for multi-accelerator jobs and short requests")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .after_help(status::help())
        .args(connection_args())
        .arg(color_arg())
        .subcommand(check())
        .subcommand(diff())
        .subcommand(apply())
        .subcommand(history())
        .subcommand(text())
        .subcommand(status())
        .subcommand(explain())
        .subcommand(jobs())
        .subcommand(burn())
        .subcommand(trace())
        .subcommand(dev())
        .subcommand(completions())
        .subcommand(man())
}

fn connection_args() -> [Arg; 3] {
    [
        Arg::new("url")
            .long("url")
            .value_name("URL")
            .env("BASILRACK_URL")
            .value_delimiter(',')
            .action(ArgAction::Append)
            .default_value(DEFAULT_URL)
            .global(true)
            .help("URL of an entry VM; repeat it for further entry VMs, which are tried in turn"),
        Arg::new("token")
            .long("token")
            .value_name("TOKEN")
            .env("BASILRACK_TOKEN")
            .hide_env_values(true)
            .global(true)
            .help("Operator token; visible in the process list, so prefer a file or the variable"),
        Arg::new("token-file")
            .long("token-file")
            .value_name("FILE")
            .value_parser(value_parser!(PathBuf))
            .global(true)
            .help("File with the operator token; overrides --token"),
    ]
}

fn color_arg() -> Arg {
    Arg::new("color")
        .long("color")
        .value_name("WHEN")
        .value_parser(
            PossibleValuesParser::new(Colour::VARIANTS).try_map(|when| when.parse::<Colour>()),
        )
        .default_value("auto")
        .global(true)
        .help("When to use colours; auto uses them on a terminal unless NO_COLOR is set")
}

fn json_arg() -> Arg {
    Arg::new("json").long("json").action(ArgAction::SetTrue).help("Print JSON")
}

fn file_arg(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name).value_name("FILE").value_parser(value_parser!(PathBuf)).help(help)
}

fn check() -> Command {
    Command::new("check")
        .about("Checks a configuration and reports every fault with its line and column")
        .arg(file_arg("file", "The configuration").required(true))
        .arg(
            file_arg("fleet", "Size of the worker fleet as JSON, to check that guarantees fit")
                .long("fleet")
                .long_help(
                    "Size of the worker fleet as JSON, to check that guarantees fit:\n\
                     {\"zones\": {\"zone-a\": {\"racks\": 2, \"workers\": 8, \"worker\":\n\
                     {\"accelerators\": 8, \"millicores\": 128000, \"memory_mib\": 262144}}}}",
                ),
        )
        .arg(json_arg())
}

fn diff() -> Command {
    Command::new("diff")
        .about("Shows the changes between two configurations")
        .arg(
            file_arg("file", "The new configuration, or the old one if two are given")
                .required(true),
        )
        .arg(
            file_arg(
                "new",
                "The new configuration; without it, FILE is compared with the one in force",
            )
            .value_name("NEW"),
        )
        .arg(json_arg())
}

fn apply() -> Command {
    Command::new("apply")
        .about("Applies a configuration")
        .arg(file_arg("file", "The configuration").required(true))
        .arg(
            Arg::new("wait").long("wait").action(ArgAction::SetTrue).help(
                "Wait until the entry VMs have applied it, and list those that did not confirm",
            ),
        )
        .arg(
            Arg::new("expect")
                .long("expect")
                .value_name("REVISION")
                .value_parser(value_parser!(u64).range(1..))
                .help("Revision that the change is based on; without it, the one in force"),
        )
        .arg(
            Arg::new("author")
                .long("author")
                .value_name("NAME")
                .env("USER")
                .default_value("unnamed")
                .help("Name recorded as the author of the change"),
        )
        .arg(
            Arg::new("write")
                .long("write")
                .value_name("ID")
                .value_parser(|text: &str| parse_write_id(text))
                .requires("expect")
                .help("Id of an earlier write with an unknown outcome, to repeat it safely"),
        )
        .arg(json_arg())
}

/// Parses a write id of exactly 16 hexadecimal digits.
fn parse_write_id(text: &str) -> Result<u64, String> {
    let valid = text.len() == 16 && text.bytes().all(|byte| byte.is_ascii_hexdigit());
    let number = if valid { u64::from_str_radix(text, 16).ok() } else { None };
    number.ok_or_else(|| "a write id has 16 hexadecimal digits".to_owned())
}

fn history() -> Command {
    Command::new("history")
        .about("Lists the retained revisions of the configuration")
        .arg(json_arg())
}

fn text() -> Command {
    Command::new("text").about("Prints the configuration in force").arg(json_arg())
}

fn status() -> Command {
    Command::new("status")
        .about("Shows entry VMs, shards, backend servers, workers, guarantees and unknown state")
        .arg(json_arg())
}

fn explain() -> Command {
    let id = || Arg::new("id").value_name("ID").required(true).help("Id of the request or job");
    Command::new("explain")
        .about("Shows the state changes of one request or job, with times and reasons")
        .subcommand_required(true)
        .subcommand(Command::new("request").about("Explains a request").arg(id()).arg(json_arg()))
        .subcommand(Command::new("job").about("Explains a job").arg(id()).arg(json_arg()))
}

fn jobs() -> Command {
    let id = || Arg::new("id").value_name("ID").required(true).help("Id of the job");
    Command::new("jobs")
        .about("Submits, shows and cancels jobs")
        .subcommand_required(true)
        .subcommand(submit())
        .subcommand(Command::new("show").about("Shows a job").arg(id()).arg(json_arg()))
        .subcommand(Command::new("cancel").about("Cancels a job").arg(id()).arg(json_arg()))
}

fn submit() -> Command {
    Command::new("submit")
        .about("Submits a job described by a file or by flags")
        .arg(file_arg("file", "Job specification as JSON, as in the body of POST /v1/jobs"))
        .args(shape_args())
        .args(job_args())
        .arg(
            Arg::new("zone").long("zone").value_name("ZONE").help(
                "Availability zone; without it, zones are tried in turn, which needs the token",
            ),
        )
        .arg(
            Arg::new("wait")
                .long("wait")
                .action(ArgAction::SetTrue)
                .help("Wait until the job has ended"),
        )
        .arg(json_arg())
        .group(ArgGroup::new("source").args(["file", "account"]).required(true))
}

fn number_arg(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name("NUMBER")
        .value_parser(value_parser!(u32).range(1..))
        .default_value(default)
        .help(help)
}

fn shape_args() -> [Arg; 5] {
    [
        number_arg("tasks", "1", "Number of tasks"),
        number_arg("accelerators", "1", "Accelerators of each task"),
        number_arg("cores", "1", "Processor cores of each task"),
        Arg::new("memory")
            .long("memory")
            .value_name("SIZE")
            .default_value("1GB")
            .value_parser(|size: &str| text::Bytes::parse(size).ok_or("write a size such as 16GB"))
            .help("Memory of each task, such as 16GB"),
        Arg::new("adjacency")
            .long("adjacency")
            .value_name("WHERE")
            .default_value("zone")
            .value_parser(PossibleValuesParser::new(["worker", "rack", "racks", "zone"]))
            .help("How close together the accelerators must be placed"),
    ]
}

fn job_args() -> [Arg; 7] {
    let flag = |name: &'static str, help: &'static str| {
        Arg::new(name).long(name).action(ArgAction::SetTrue).help(help)
    };
    [
        Arg::new("account").long("account").value_name("NAME").help("Client account"),
        Arg::new("service")
            .long("service")
            .value_name("NAME")
            .requires("account")
            .required_unless_present("file")
            .help("Service that the job belongs to"),
        Arg::new("priority")
            .long("priority")
            .value_name("PRIORITY")
            .default_value("normal")
            .value_parser(PossibleValuesParser::new(["urgent", "normal", "spare"]))
            .help("Priority of the job"),
        Arg::new("declared")
            .long("declared")
            .value_name("DURATION")
            .default_value("10m")
            .value_parser(|text: &str| humantime::parse_duration(text))
            .help("Declared run time"),
        flag("idempotent", "The job may be run again from the start"),
        flag("checkpoint", "The tasks can write a checkpoint and resume from it"),
        flag("volatile", "The job may be accepted without being stored"),
    ]
}

fn burn() -> Command {
    Command::new("burn")
        .about("Shows error budgets, burn rates and alerts")
        .arg(json_arg())
        .arg(file_arg("svg", "Also write the report as an SVG chart to this file").long("svg"))
}

fn trace() -> Command {
    Command::new("trace")
        .about("Merges the log lines of one id from several entry VMs in order of time")
        .arg(Arg::new("id").value_name("ID").required(true).help("Id of a job, a task or a worker"))
        .arg(
            Arg::new("log")
                .value_name("FILE")
                .required(true)
                .num_args(1..)
                .value_parser(value_parser!(PathBuf))
                .help("Log files of entry VMs, as JSON lines"),
        )
}

fn completions() -> Command {
    Command::new("completions").about("Prints shell completions").arg(
        Arg::new("shell")
            .value_name("SHELL")
            .required(true)
            .value_parser(EnumValueParser::<Shell>::new())
            .help("Shell to generate completions for"),
    )
}

fn man() -> Command {
    Command::new("man").about("Prints the main manual page, or writes one page per command").arg(
        file_arg("dir", "Existing folder to write one page per command to")
            .long("dir")
            .value_name("FOLDER"),
    )
}

fn dev() -> Command {
    Command::new("dev")
        .about("Runs a complete system in one process, with simulated platform services")
        .arg(
            Arg::new("for")
                .long("for")
                .value_name("DURATION")
                .value_parser(|text: &str| humantime::parse_duration(text))
                .help("Stop and report after this time, such as 10s; without it, on Ctrl-C"),
        )
        .arg(file_arg("text", "Configuration to run; without it, the embedded sample").long("text"))
        .arg(
            Arg::new("entries")
                .long("entries")
                .value_name("NUMBER")
                .default_value("3")
                .value_parser(value_parser!(u32).range(1..=16))
                .help("Number of entry VMs"),
        )
        .arg(
            Arg::new("rate")
                .long("rate")
                .value_name("NUMBER")
                .default_value("200")
                .value_parser(value_parser!(u32).range(1..=20_000))
                .help("Requests sent per second"),
        )
        .arg(
            Arg::new("seed")
                .long("seed")
                .value_name("NUMBER")
                .default_value("1")
                .value_parser(value_parser!(u64))
                .help("Seed of the load and the simulated services"),
        )
        .arg(
            Arg::new("quiet")
                .long("quiet")
                .short('q')
                .action(ArgAction::SetTrue)
                .help("Print only the final report"),
        )
}
