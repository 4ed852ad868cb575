//! `saddlerail show`: prints one object.

use catalogue::ObjectKey;
use clap::ArgMatches;
use errors::{Error, Result};
use serde_json::json;

use crate::cli::{Output, output_of};
use crate::context::{read_accepted, store};

pub(crate) fn run(args: &ArgMatches) -> Result<()> {
    let accepted = read_accepted(&store(args)?)?;
    let Some(key) = args.get_one::<ObjectKey>("object") else {
        return Ok(());
    };
    let found = accepted.catalogue.documents().find(|d| d.key() == *key);
    let document = found.ok_or_else(|| Error::bad_input(key.to_string(), "no such object"))?;
    match output_of(args) {
        Output::Json => out!("{}", json!(document)),
        Output::Text => out!("{}", catalogue::to_yaml(&document)?.trim_end()),
    }
    Ok(())
}
