//! `saddlerail settle`: shows whether a change whose response was lost was accepted.

use clap::ArgMatches;
use errors::Result;
use serde_json::json;

use crate::cli::{Output, output_of};
use crate::context::store;
use crate::messages;

pub(crate) fn run(args: &ArgMatches) -> Result<()> {
    let change = args.get_one::<String>("change").cloned().unwrap_or_default();
    let revision = store_client::revision_of_change(&store(args)?, &change)?;
    match output_of(args) {
        Output::Json => out!("{}", json!({ "change": change, "revision": revision })),
        Output::Text => messages::settled(&change, revision),
    }
    Ok(())
}
