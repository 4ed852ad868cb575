//! `saddlerail apply`: add or change objects.

use std::process::ExitCode;

use catalogue::{check, diff};
use clap::ArgMatches;
use errors::Result;

use crate::cmd::diff::report;
use crate::context::{accepted, change, documents, store};

pub(crate) fn run(args: &ArgMatches) -> Result<ExitCode> {
    let store = store(args)?;
    let documents = documents(args)?;
    let before = accepted(&store)?;
    let mut after = before.catalogue.clone();
    documents.into_iter().for_each(|document| after.put(document));
    if args.get_flag("dry-run") {
        check(&after)?;
        return Ok(report(args, &diff(&before.catalogue, &after)));
    }
    change(args, &store, &before, &after)?;
    Ok(ExitCode::SUCCESS)
}
