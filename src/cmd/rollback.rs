//! `saddlerail rollback`: publishes the content of an earlier revision as a new revision.

use catalogue::Catalogue;
use clap::ArgMatches;
use errors::{Error, Result};
use ids::Revision;
use store_client::snapshot_key;

use crate::context::{publish_change, read_accepted, store};

pub(crate) fn run(args: &ArgMatches) -> Result<()> {
    let store = store(args)?;
    let before = read_accepted(&store)?;
    let to = Revision(args.get_one::<u64>("to").copied().unwrap_or_default());
    let gone = || {
        Error::bad_input(format!("revision {to}"), "is no longer stored; see saddlerail history")
    };
    let (change_id, _) =
        before.head.recent.iter().find(|(_, revision)| *revision == to).ok_or_else(gone)?;
    let entry = store.get(&snapshot_key(to, change_id))?.ok_or_else(gone)?;
    let after: Catalogue = serde_json::from_slice(&entry.value)
        .map_err(|e| Error::bad_input(format!("revision {to}"), e.to_string()))?;
    publish_change(args, &store, &before, &after)
}
