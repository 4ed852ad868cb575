//! `saddlerail apply`: adds or changes the objects of YAML files.

use std::process::ExitCode;

use catalogue::{check, diff};
use clap::ArgMatches;
use errors::Result;

use crate::cmd::diff::print_changes;
use crate::context::{publish_change, read_accepted, read_documents, store};

pub(crate) fn run(args: &ArgMatches) -> Result<ExitCode> {
    let store = store(args)?;
    let documents = read_documents(args)?;
    let before = read_accepted(&store)?;
    let mut after = before.catalogue.clone();
    documents.into_iter().for_each(|document| after.put(document));
    if args.get_flag("dry-run") {
        check(&after)?;
        return Ok(print_changes(args, &diff(&before.catalogue, &after)));
    }
    publish_change(args, &store, &before, &after)?;
    Ok(ExitCode::SUCCESS)
}
