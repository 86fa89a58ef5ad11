//! The command line.

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

/// Where an entry VM serves operators unless its settings name another address.
const DEFAULT_URL: &str = "http://127.0.0.1:8081";

/// Builds the command line.
pub fn build() -> Command {
    Command::new("basilrack")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Schedules multi-accelerator jobs and short requests, and says what it cannot know")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .after_help(status::help())
        .args(connection())
        .arg(colour())
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

fn connection() -> [Arg; 3] {
    [
        Arg::new("url")
            .long("url")
            .value_name("URL")
            .env("BASILRACK_URL")
            .value_delimiter(',')
            .action(ArgAction::Append)
            .default_value(DEFAULT_URL)
            .global(true)
            .help("Entry VM to ask; repeat it to name others that are tried in turn"),
        Arg::new("token")
            .long("token")
            .value_name("TOKEN")
            .env("BASILRACK_TOKEN")
            .hide_env_values(true)
            .global(true)
            .help("Operator token; others on this VM can see it, so prefer a file or the variable"),
        Arg::new("token-file")
            .long("token-file")
            .value_name("FILE")
            .value_parser(value_parser!(PathBuf))
            .global(true)
            .help("File that holds the operator token; used in place of --token"),
    ]
}

fn colour() -> Arg {
    Arg::new("color")
        .long("color")
        .value_name("WHEN")
        .value_parser(
            PossibleValuesParser::new(Colour::VARIANTS).try_map(|when| when.parse::<Colour>()),
        )
        .default_value("auto")
        .global(true)
        .help("When to colour what is printed; auto does so on a terminal unless NO_COLOR is set")
}

fn json() -> Arg {
    Arg::new("json").long("json").action(ArgAction::SetTrue).help("Print JSON")
}

fn file(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name).value_name("FILE").value_parser(value_parser!(PathBuf)).help(help)
}

fn check() -> Command {
    Command::new("check")
        .about("Checks a configuration and names every fault with its place")
        .arg(file("file", "The configuration").required(true))
        .arg(
            file("fleet", "Workers that the guarantees have to fit into, as JSON")
                .long("fleet")
                .long_help(
                    "Workers that the guarantees have to fit into, as JSON:\n\
                     {\"zones\": {\"zone-a\": {\"racks\": 2, \"workers\": 8, \"worker\":\n\
                     {\"accelerators\": 8, \"millicores\": 128000, \"memory_mib\": 262144}}}}",
                ),
        )
        .arg(json())
}

fn diff() -> Command {
    Command::new("diff")
        .about("Shows what a configuration changes")
        .arg(file("file", "The new configuration, or the old one if two are given").required(true))
        .arg(
            file(
                "new",
                "The new configuration; without it, FILE is compared with the one in force",
            )
            .value_name("NEW"),
        )
        .arg(json())
}

fn apply() -> Command {
    Command::new("apply")
        .about("Puts a configuration in force")
        .arg(file("file", "The configuration").required(true))
        .arg(
            Arg::new("wait")
                .long("wait")
                .action(ArgAction::SetTrue)
                .help("Wait until the entry VMs have it in force, and name those that cannot say"),
        )
        .arg(
            Arg::new("expect")
                .long("expect")
                .value_name("REVISION")
                .value_parser(value_parser!(u64).range(1..))
                .help("Revision that the change was made on; without it, the one in force"),
        )
        .arg(
            Arg::new("author")
                .long("author")
                .value_name("NAME")
                .env("USER")
                .default_value("unnamed")
                .help("Who makes the change"),
        )
        .arg(
            Arg::new("write")
                .long("write")
                .value_name("ID")
                .value_parser(|text: &str| parse_write(text))
                .requires("expect")
                .help("Id of an earlier write whose outcome was unknown, to settle it"),
        )
        .arg(json())
}

/// Reads a write id of 16 hex digits.
fn parse_write(text: &str) -> Result<u64, String> {
    let valid = text.len() == 16 && text.bytes().all(|byte| byte.is_ascii_hexdigit());
    let number = if valid { u64::from_str_radix(text, 16).ok() } else { None };
    number.ok_or_else(|| "a write id has 16 hex digits".to_owned())
}

fn history() -> Command {
    Command::new("history").about("Lists the kept revisions of the configuration").arg(json())
}

fn text() -> Command {
    Command::new("text").about("Prints the configuration in force").arg(json())
}

fn status() -> Command {
    Command::new("status")
        .about("Shows entry VMs, shards, backend servers, workers, guarantees and what is unknown")
        .arg(json())
}

fn explain() -> Command {
    let id = || Arg::new("id").value_name("ID").required(true).help("Its id");
    Command::new("explain")
        .about("Shows the path of one request or job, with times and reasons")
        .subcommand_required(true)
        .subcommand(Command::new("request").about("Explains a request").arg(id()).arg(json()))
        .subcommand(Command::new("job").about("Explains a job").arg(id()).arg(json()))
}

fn jobs() -> Command {
    let id = || Arg::new("id").value_name("ID").required(true).help("The job's id");
    Command::new("jobs")
        .about("Submits, shows and cancels jobs")
        .subcommand_required(true)
        .subcommand(submit())
        .subcommand(Command::new("show").about("Shows a job").arg(id()).arg(json()))
        .subcommand(Command::new("cancel").about("Cancels a job").arg(id()).arg(json()))
}

fn submit() -> Command {
    Command::new("submit")
        .about("Submits a job described by a file or by flags")
        .arg(file("file", "The job as JSON, in the form of POST /v1/jobs"))
        .args(shape())
        .args(traits())
        .arg(
            Arg::new("zone")
                .long("zone")
                .value_name("ZONE")
                .help("Availability zone; without one, zones are tried, which needs the token"),
        )
        .arg(
            Arg::new("wait")
                .long("wait")
                .action(ArgAction::SetTrue)
                .help("Wait until the job has ended"),
        )
        .arg(json())
        .group(ArgGroup::new("source").args(["file", "account"]).required(true))
}

fn number(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name("NUMBER")
        .value_parser(value_parser!(u32).range(1..))
        .default_value(default)
        .help(help)
}

fn shape() -> [Arg; 5] {
    [
        number("tasks", "1", "Number of tasks"),
        number("accelerators", "1", "Accelerators of each task"),
        number("cores", "1", "Processor cores of each task"),
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
            .help("How close together the accelerators must be"),
    ]
}

fn traits() -> [Arg; 7] {
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
            .help("Service that it belongs to"),
        Arg::new("priority")
            .long("priority")
            .value_name("PRIORITY")
            .default_value("normal")
            .value_parser(PossibleValuesParser::new(["urgent", "normal", "spare"]))
            .help("Its priority"),
        Arg::new("declared")
            .long("declared")
            .value_name("DURATION")
            .default_value("10m")
            .value_parser(|text: &str| humantime::parse_duration(text))
            .help("Declared run time"),
        flag("idempotent", "It may run again from the start"),
        flag("checkpoint", "Its tasks can write a checkpoint and resume from it"),
        flag("volatile", "It may be accepted without being stored"),
    ]
}

fn burn() -> Command {
    Command::new("burn")
        .about("Shows error budgets, burn rates and alerts")
        .arg(json())
        .arg(file("svg", "Also draw the report into this file").long("svg"))
}

fn trace() -> Command {
    Command::new("trace")
        .about("Prints the log lines of one id, from the logs of several entry VMs, in order")
        .arg(Arg::new("id").value_name("ID").required(true).help("Id of a job, a task or a worker"))
        .arg(
            Arg::new("log")
                .value_name("FILE")
                .required(true)
                .num_args(1..)
                .value_parser(value_parser!(PathBuf))
                .help("Logs of entry VMs, as JSON lines"),
        )
}

fn completions() -> Command {
    Command::new("completions").about("Prints shell completions").arg(
        Arg::new("shell")
            .value_name("SHELL")
            .required(true)
            .value_parser(EnumValueParser::<Shell>::new())
            .help("The shell"),
    )
}

fn man() -> Command {
    Command::new("man")
        .about("Prints the manual page, or writes one for each command")
        .arg(file("dir", "Folder for one page for each command").long("dir").value_name("FOLDER"))
}

fn dev() -> Command {
    Command::new("dev")
        .about("Runs a whole system in this process, with stand-ins for the platform")
        .arg(
            Arg::new("for")
                .long("for")
                .value_name("DURATION")
                .value_parser(|text: &str| humantime::parse_duration(text))
                .help("Ends with a report after this time, such as 10s; without it, on Ctrl-C"),
        )
        .arg(
            file("text", "The operators' configuration to run; the embedded sample without it")
                .long("text"),
        )
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
                .help("Requests sent a second"),
        )
        .arg(
            Arg::new("seed")
                .long("seed")
                .value_name("NUMBER")
                .default_value("1")
                .value_parser(value_parser!(u64))
                .help("Seed of the load and the stand-ins"),
        )
        .arg(
            Arg::new("quiet")
                .long("quiet")
                .short('q')
                .action(ArgAction::SetTrue)
                .help("Print the report only"),
        )
}
