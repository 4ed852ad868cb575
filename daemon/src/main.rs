//! Command line of `saddleraild`, the daemon that routes requests from callers to targets on each
//! entry VM.
//!
//! The subcommand `serve` runs the gateway on the users' platform; without a subcommand the daemon
//! of this package runs.

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};

use saddleraild::{console, run};

/// Subcommand that runs the gateway with the adapter for the users' platform.
const SERVE: &str = "serve";
/// Environment variable with the path of the settings file for `serve`.
const SETTINGS_VARIABLE: &str = "SADDLERAIL_NODE_FILE";

/// Exit code for invalid settings.
const BAD_SETTINGS: u8 = 2;
/// Exit code for a daemon that could not start or ended with an error.
const FAILED: u8 = 1;

fn command() -> Command {
    Command::new("saddleraild")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Serves callers' requests over the stages of their services")
        .args_conflicts_with_subcommands(true)
        .subcommand_negates_reqs(true)
        .arg(settings_arg().required(true))
        .arg(check_arg())
        .subcommand(
            Command::new(SERVE)
                .about("Serves on the users' platform")
                .arg(settings_arg().env(SETTINGS_VARIABLE).required(true))
                .arg(check_arg()),
        )
}

fn settings_arg() -> Arg {
    Arg::new("settings")
        .long("settings")
        .value_name("FILE")
        .value_parser(value_parser!(PathBuf))
        .help("YAML file with this VM's settings")
}

fn check_arg() -> Arg {
    Arg::new("check").long("check").action(ArgAction::SetTrue).help("Check the settings and exit")
}

fn main() -> ExitCode {
    let args = command().get_matches();
    match args.subcommand() {
        Some((SERVE, args)) => start(args, gateway::settings::load, |path, cfg| {
            gateway::run(path, cfg, users_platform::adapter())
        }),
        _ => start(&args, settings::load, |_, cfg| run(cfg)),
    }
}

/// Loads the settings and runs the daemon, or only checks the settings if `--check` is given.
fn start<T>(
    args: &ArgMatches,
    load: impl FnOnce(&Path) -> errors::Result<T>,
    run: impl FnOnce(PathBuf, T) -> errors::Result<()>,
) -> ExitCode {
    let path = args.get_one::<PathBuf>("settings").cloned().unwrap_or_default();
    let cfg = match load(&path) {
        Ok(cfg) => cfg,
        Err(e) => {
            console::print_error(&e);
            return ExitCode::from(BAD_SETTINGS);
        }
    };
    if args.get_flag("check") {
        console::print_settings_valid(&path);
        return ExitCode::SUCCESS;
    }
    match run(path, cfg) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            console::print_error(&e);
            ExitCode::from(FAILED)
        }
    }
}
