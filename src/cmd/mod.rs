//! The subcommands, one module each.

mod apply;
mod check;
mod completions;
mod diff;
mod explain;
mod history;
mod label;
mod list;
mod remove;
mod report;
mod rollback;
mod settle;
mod show;
mod state;
mod trace;
pub(crate) mod wait;

use std::process::ExitCode;

use clap::ArgMatches;
use errors::Result;

/// Runs the subcommand selected on the command line.
pub(crate) fn run(matches: &ArgMatches) -> Result<ExitCode> {
    let Some((name, args)) = matches.subcommand() else {
        return Ok(ExitCode::FAILURE);
    };
    match name {
        "apply" => return apply::run(args),
        "diff" => return diff::run(args),
        "list" => list::run(args),
        "show" => show::run(args),
        "remove" => remove::run(args),
        "label" => label::run(args),
        "history" => history::run(args),
        "rollback" => rollback::run(args),
        "settle" => settle::run(args),
        "wait" => wait::run(args),
        "state" => state::run(args),
        "explain" => explain::run(args),
        "trace" => trace::run(args),
        "report" => report::run(args),
        "check" => check::run(args),
        _ => {
            completions::run(args);
            Ok(())
        }
    }?;
    Ok(ExitCode::SUCCESS)
}
