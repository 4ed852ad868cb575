//! `saddlerail remove`: removes objects.

use catalogue::ObjectKey;
use clap::ArgMatches;
use errors::{Error, Result};

use crate::context::{publish_change, read_accepted, store};

pub(crate) fn run(args: &ArgMatches) -> Result<()> {
    let store = store(args)?;
    let before = read_accepted(&store)?;
    let mut after = before.catalogue.clone();
    for key in args.get_many::<ObjectKey>("object").into_iter().flatten() {
        if !after.remove(key) {
            return Err(Error::bad_input(key.to_string(), "no such object"));
        }
    }
    publish_change(args, &store, &before, &after)
}
