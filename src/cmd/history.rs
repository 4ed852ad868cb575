//! `saddlerail history`: lists the latest accepted changes.

use clap::ArgMatches;
use errors::Result;
use serde_json::json;
use store_client::read_head;

use crate::cli::{Output, output_of};
use crate::context::store;

pub(crate) fn run(args: &ArgMatches) -> Result<()> {
    let (head, _) = read_head(&store(args)?)?;
    match output_of(args) {
        Output::Json => out!("{}", json!(head)),
        Output::Text => {
            head.recent.iter().for_each(|(change, revision)| out!("{revision:>8} {change}"));
        }
    }
    Ok(())
}
