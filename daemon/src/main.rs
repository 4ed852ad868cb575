//! `saddleraild`, the process that stands between callers and targets on each entry VM.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Arg, ArgAction, Command, value_parser};

use saddleraild::{messages, run};

/// Exit code for settings that can't be taken.
const BAD_SETTINGS: u8 = 2;
/// Exit code for a daemon that could not start.
const NOT_STARTED: u8 = 1;

fn command() -> Command {
    Command::new("saddleraild")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Serves callers' requests over the stages of their services")
        .arg(
            Arg::new("settings")
                .long("settings")
                .value_name("FILE")
                .required(true)
                .value_parser(value_parser!(PathBuf))
                .help("YAML file with this VM's settings"),
        )
        .arg(
            Arg::new("check")
                .long("check")
                .action(ArgAction::SetTrue)
                .help("Check the settings and exit"),
        )
}

fn main() -> ExitCode {
    let args = command().get_matches();
    let path = args.get_one::<PathBuf>("settings").cloned().unwrap_or_default();
    let cfg = match settings::load(&path) {
        Ok(cfg) => cfg,
        Err(e) => {
            messages::failed(&e);
            return ExitCode::from(BAD_SETTINGS);
        }
    };
    if args.get_flag("check") {
        messages::settings_fine(&path);
        return ExitCode::SUCCESS;
    }
    match run(cfg) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            messages::failed(&e);
            ExitCode::from(NOT_STARTED)
        }
    }
}
