//! `saddlerail diff`: shows what applying files would change.

use std::process::ExitCode;

use catalogue::{Change, diff};
use clap::ArgMatches;
use errors::Result;
use serde_json::json;

use crate::cli::{DIFFERS, Output, output_of};
use crate::context::{read_accepted, read_documents, store};
use crate::messages;

pub(crate) fn run(args: &ArgMatches) -> Result<ExitCode> {
    let documents = read_documents(args)?;
    let before = read_accepted(&store(args)?)?.catalogue;
    let mut after = before.clone();
    documents.into_iter().for_each(|document| after.put(document));
    Ok(print_changes(args, &diff(&before, &after)))
}

/// Prints the changes and returns `DIFFERS` as the exit code if there are any.
pub(crate) fn print_changes(args: &ArgMatches, changes: &[Change]) -> ExitCode {
    match output_of(args) {
        Output::Json => out!("{}", json!(changes)),
        Output::Text if changes.is_empty() => messages::nothing_changes(),
        Output::Text => messages::changes(changes),
    }
    if changes.is_empty() { ExitCode::SUCCESS } else { ExitCode::from(DIFFERS) }
}
