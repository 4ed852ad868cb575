//! `saddlerail completions`: prints a shell completion script.

use clap::ArgMatches;
use clap_complete::{Shell, generate};

use crate::cli::command;

pub(crate) fn run(args: &ArgMatches) {
    if let Some(shell) = args.get_one::<Shell>("shell") {
        let mut script = Vec::new();
        generate(*shell, &mut command(), "saddlerail", &mut script);
        out!("{}", String::from_utf8_lossy(&script).trim_end());
    }
}
