//! `saddlerail remove`: remove objects.

use catalogue::ObjectKey;
use clap::ArgMatches;
use errors::{Error, Result};

use crate::context::{accepted, change, store};

pub(crate) fn run(args: &ArgMatches) -> Result<()> {
    let store = store(args)?;
    let before = accepted(&store)?;
    let mut after = before.catalogue.clone();
    for key in args.get_many::<ObjectKey>("object").into_iter().flatten() {
        if !after.remove(key) {
            return Err(Error::bad_input(key.to_string(), "no such object"));
        }
    }
    change(args, &store, &before, &after)
}
