//! Command-line arguments and exit codes, both documented in `docs/operators/tool.md`.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

use catalogue::ObjectKey;
use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use errors::Error;

/// Any failure without an exit code of its own.
const FAILED: u8 = 1;
/// The input is invalid.
const BAD_INPUT: u8 = 2;
/// The change was refused because another one was accepted first.
const REFUSED: u8 = 3;
/// It is not known whether the change was accepted.
const UNKNOWN: u8 = 4;
/// The revision was not in force on every VM before the timeout.
const TIMED_OUT: u8 = 5;
/// The platform or a daemon is unreachable.
const UNREACHABLE: u8 = 6;
/// `diff` or `apply --dry-run` found changes.
pub(crate) const DIFFERS: u8 = 10;

/// Exit code for an error.
pub(crate) fn exit_code_of(e: &Error) -> ExitCode {
    ExitCode::from(match e {
        Error::BadInput { .. } => BAD_INPUT,
        Error::ChangeRefused { .. } | Error::StoreConflict { .. } => REFUSED,
        Error::ChangeUnknown { .. } => UNKNOWN,
        Error::TimedOut { .. } => TIMED_OUT,
        Error::StoreUnavailable(_) | Error::Unreachable { .. } => UNREACHABLE,
        Error::Io { .. } => FAILED,
    })
}

/// Output format of lists and dumps.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Output {
    /// Human-readable text.
    Text,
    /// JSON for programs.
    Json,
}

/// Output format selected with `--output`; text unless JSON is given.
pub(crate) fn output_of(args: &ArgMatches) -> Output {
    match args.get_one::<String>("output").map(String::as_str) {
        Some("json") => Output::Json,
        _ => Output::Text,
    }
}

/// Builds the command-line parser.
pub(crate) fn command() -> Command {
    Command::new("saddlerail")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Configures and inspects a saddlerail fleet")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .arg(
            address("platform", "SADDLERAIL_PLATFORM", "Address of the platform's store")
                .global(true),
        )
        .arg(address("vm", "SADDLERAIL_VM", "Operations address of a daemon").global(true))
        .arg(
            Arg::new("output")
                .long("output")
                .value_name("FORMAT")
                .value_parser(["text", "json"])
                .default_value("text")
                .global(true)
                .help("Output format"),
        )
        .subcommands([apply(), diff(), list(), show(), remove(), label()])
        .subcommands([history(), rollback(), settle(), wait(), state(), explain(), completions()])
        .subcommands([trace(), report(), check()])
}

fn address(name: &'static str, variable: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .env(variable)
        .value_name("ADDRESS")
        .value_parser(value_parser!(SocketAddr))
        .help(help)
}

fn files() -> Arg {
    Arg::new("file")
        .short('f')
        .long("file")
        .value_name("FILE")
        .action(ArgAction::Append)
        .required(true)
        .value_parser(value_parser!(PathBuf))
        .help("YAML file with objects; may be repeated")
}

fn wait_flag() -> Arg {
    Arg::new("wait")
        .long("wait")
        .action(ArgAction::SetTrue)
        .help("Wait until the change is in force on every VM")
}

fn timeout() -> Arg {
    Arg::new("timeout-ms")
        .long("timeout-ms")
        .value_name("MS")
        .default_value("5000")
        .value_parser(value_parser!(u64))
        .help("Timeout in milliseconds for a change to be in force")
}

fn object(name: &'static str) -> Arg {
    Arg::new(name)
        .value_name("KIND/NAME")
        .required(true)
        .value_parser(value_parser!(ObjectKey))
        .help("Object key, such as target/enc-1")
}

fn apply() -> Command {
    Command::new("apply")
        .about("Add or change objects atomically")
        .args([files(), wait_flag(), timeout()])
        .arg(
            Arg::new("dry-run")
                .long("dry-run")
                .action(ArgAction::SetTrue)
                .help("Validate and show what would change, without changing anything"),
        )
}

fn diff() -> Command {
    Command::new("diff").about("Show what applying the files would change").arg(files())
}

fn list() -> Command {
    Command::new("list")
        .about("List objects")
        .arg(Arg::new("kind").required(true).value_parser(["service", "target", "customer"]))
        .arg(
            Arg::new("label")
                .short('l')
                .long("label")
                .value_name("KEY=VALUE")
                .action(ArgAction::Append)
                .help("Only objects with this label"),
        )
}

fn show() -> Command {
    Command::new("show").about("Print one object as YAML or JSON").arg(object("object"))
}

fn remove() -> Command {
    Command::new("remove")
        .about("Remove objects atomically")
        .arg(object("object").num_args(1..))
        .args([wait_flag(), timeout()])
}

fn label() -> Command {
    Command::new("label")
        .about("Set or remove labels of one object")
        .arg(object("object"))
        .arg(
            Arg::new("labels")
                .value_name("KEY=VALUE or KEY-")
                .required(true)
                .num_args(1..)
                .help("Labels to set (KEY=VALUE) or to remove (KEY-)"),
        )
        .args([wait_flag(), timeout()])
}

fn history() -> Command {
    Command::new("history").about("List the latest accepted changes")
}

fn rollback() -> Command {
    Command::new("rollback")
        .about("Publish the content of an earlier revision as a new revision")
        .arg(
            Arg::new("to")
                .long("to")
                .value_name("REVISION")
                .required(true)
                .value_parser(value_parser!(u64)),
        )
        .args([wait_flag(), timeout()])
}

fn settle() -> Command {
    Command::new("settle")
        .about("Show whether a change whose response was lost was accepted")
        .arg(Arg::new("change").value_name("CHANGE-ID").required(true))
}

fn wait() -> Command {
    Command::new("wait")
        .about("Wait until a revision is in force on every VM; list the VMs without it on timeout")
        .arg(
            Arg::new("revision")
                .long("revision")
                .value_parser(value_parser!(u64))
                .help("Revision to wait for; by default the latest accepted one"),
        )
        .arg(timeout())
}

fn state() -> Command {
    Command::new("state").about("Dump the state of one daemon")
}

fn explain() -> Command {
    Command::new("explain")
        .about("Show which targets each stage of a request tried, why, and the outcome")
        .arg(Arg::new("request").value_name("REQUEST-ID").required(true))
}

fn logs() -> Arg {
    Arg::new("logs")
        .value_name("LOG")
        .num_args(1..)
        .required(true)
        .value_parser(value_parser!(PathBuf))
        .help("Log files of the VMs")
}

fn trace() -> Command {
    Command::new("trace")
        .about("Print the log lines of a request, a target or a part of prompts, sorted by time")
        .arg(Arg::new("request").value_name("REQUEST-ID").required(true).help(
            "Id of an attempt, which may have begun a stream, the content hash shared by all \
                     attempts at a request, a target's id, or the id of a part of prompts",
        ))
        .arg(logs())
}

fn report() -> Command {
    Command::new("report")
        .about("Chart request outcomes, stage times and pool calls from the VMs' log files")
        .arg(logs())
        .arg(
            Arg::new("page")
                .long("page")
                .value_name("FILE")
                .value_parser(value_parser!(PathBuf))
                .help("HTML page to write; without it the figures go to standard output"),
        )
        .arg(
            Arg::new("seconds")
                .long("seconds")
                .value_name("N")
                .default_value("1")
                .value_parser(value_parser!(u32).range(1..=3600))
                .help("Length in seconds of the interval that one point covers"),
        )
}

fn check() -> Command {
    Command::new("check")
        .about("Validate a configuration of the users' platform and show how it is interpreted")
        .arg(
            Arg::new("file")
                .value_name("FILE")
                .required(true)
                .value_parser(value_parser!(PathBuf))
                .help("The configuration, in the format of the platform's store"),
        )
        .arg(
            Arg::new("against")
                .long("against")
                .value_name("OLDER")
                .value_parser(value_parser!(PathBuf))
                .help("Show only the changes from this configuration"),
        )
}

fn completions() -> Command {
    Command::new("completions")
        .about("Print a shell completion script")
        .arg(Arg::new("shell").required(true).value_parser(value_parser!(clap_complete::Shell)))
}
