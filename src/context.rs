//! Helpers shared by the subcommands: access to the store and to daemons, and publishing a
//! change.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use catalogue::{Catalogue, Document, check, diff, parse_documents};
use clap::ArgMatches;
use errors::{Error, Result};
use ids::Revision;
use serde_json::Value;
use store_client::{Head, Store, publish, read_catalogue, read_head};

use crate::cmd::wait::wait_everywhere;
use crate::messages;

/// Timeout of a request to a daemon.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);

/// Client of the platform's store at `--platform`.
///
/// # Errors
/// `BadInput` without `--platform` and `SADDLERAIL_PLATFORM`.
pub(crate) fn store(args: &ArgMatches) -> Result<Store> {
    let address = args.get_one::<SocketAddr>("platform");
    let missing = || {
        Error::bad_input(
            "--platform",
            "missing: expected the store's address, or set SADDLERAIL_PLATFORM",
        )
    };
    address.map(|a| Store::new(*a)).ok_or_else(missing)
}

/// Operations address of the daemon at `--vm`.
///
/// # Errors
/// `BadInput` without `--vm` and `SADDLERAIL_VM`.
pub(crate) fn operations_address(args: &ArgMatches) -> Result<SocketAddr> {
    let missing = || {
        Error::bad_input(
            "--vm",
            "missing: expected a daemon's operations address, or set SADDLERAIL_VM",
        )
    };
    args.get_one::<SocketAddr>("vm").copied().ok_or_else(missing)
}

/// Fetches a path of a daemon's operations server and parses it as JSON.
///
/// # Errors
/// `Unreachable` if the daemon does not answer in time or the answer is not JSON.
pub(crate) fn fetch_json(address: SocketAddr, path: &str) -> Result<Value> {
    let what = || format!("the daemon at {address}");
    let unreachable = |e: ureq::Error| Error::Unreachable { what: what(), problem: e.to_string() };
    let call = ureq::get(format!("http://{address}{path}"));
    let call = call.config().timeout_global(Some(REQUEST_TIMEOUT)).build();
    let text =
        call.call().map_err(unreachable)?.body_mut().read_to_string().map_err(unreachable)?;
    serde_json::from_str(&text)
        .map_err(|e| Error::Unreachable { what: what(), problem: e.to_string() })
}

/// Snapshot of the accepted configuration, which every change starts from.
pub(crate) struct Accepted {
    /// Latest accepted revision and the ids of recent changes, as stored.
    pub(crate) head: Head,
    /// Version of the head in the store; a change is published only if it is still the same.
    pub(crate) version: u64,
    pub(crate) catalogue: Catalogue,
}

/// Reads the accepted configuration from the store.
pub(crate) fn read_accepted(store: &Store) -> Result<Accepted> {
    let (head, version) = read_head(store)?;
    let catalogue = read_catalogue(store, &head)?;
    Ok(Accepted { head, version, catalogue })
}

/// Reads the objects from the files given with `--file`.
///
/// # Errors
/// `BadInput` if a file is invalid or an object occurs more than once.
pub(crate) fn read_documents(args: &ArgMatches) -> Result<Vec<Document>> {
    let mut documents = Vec::new();
    for path in args.get_many::<PathBuf>("file").into_iter().flatten() {
        let shown = path.display().to_string();
        let text =
            std::fs::read_to_string(path).map_err(|e| Error::io(format!("reading {shown}"), e))?;
        documents.extend(parse_documents(&text).map_err(|e| e.with_outer_place(&shown))?);
    }
    let mut seen = std::collections::BTreeSet::new();
    match documents.iter().map(Document::key).find(|key| !seen.insert(key.clone())) {
        Some(key) => {
            Err(Error::bad_input(key.to_string(), "is defined more than once in the files"))
        }
        None => Ok(documents),
    }
}

/// Validates and publishes a change, then waits until it is in force if `--wait` is given.
pub(crate) fn publish_change(
    args: &ArgMatches,
    store: &Store,
    before: &Accepted,
    after: &Catalogue,
) -> Result<()> {
    check(after)?;
    let changes = diff(&before.catalogue, after);
    messages::changes(&changes);
    if changes.is_empty() {
        messages::nothing_changes();
        return Ok(());
    }
    let change_id = ids::RequestId::generate().to_string();
    let base = (&before.head, before.version);
    let revision = publish(store, base, &before.catalogue, after, &change_id)?;
    messages::accepted(revision);
    if args.get_flag("wait") { wait_for(args, store, revision) } else { Ok(()) }
}

/// Waits until a revision is in force on every VM, or for `--timeout-ms`.
pub(crate) fn wait_for(args: &ArgMatches, store: &Store, revision: Revision) -> Result<()> {
    let millis = args.get_one::<u64>("timeout-ms").copied().unwrap_or_default();
    wait_everywhere(store, operations_address(args)?, revision, Duration::from_millis(millis))
}
