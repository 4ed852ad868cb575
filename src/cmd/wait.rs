//! `saddlerail wait`: waits until a revision is in force on every VM.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

use clap::ArgMatches;
use errors::{Error, Result};
use ids::Revision;
use store_client::{Store, VmState, read_head};

use crate::context::{fetch_json, store, wait_for};
use crate::fleet::discover_vms;
use crate::messages;

/// Time between two polls of the fleet.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

pub(crate) fn run(args: &ArgMatches) -> Result<()> {
    let store = store(args)?;
    let revision = match args.get_one::<u64>("revision") {
        Some(revision) => Revision(*revision),
        None => read_head(&store)?.0.revision,
    };
    wait_for(args, &store, revision)
}

/// Waits until every VM that the platform lists or the daemons know reports `revision` or a
/// later one. `first` is the operations address of the VM from which the others are discovered.
///
/// # Errors
/// `TimedOut` after `timeout`; the VMs without the revision are printed first.
pub(crate) fn wait_everywhere(
    store: &Store,
    first: SocketAddr,
    revision: Revision,
    timeout: Duration,
) -> Result<()> {
    let began = Instant::now();
    loop {
        let checked = check_vms(store, first, revision)?;
        if let Ok(vms) = checked {
            messages::in_force(revision, vms, began.elapsed());
            return Ok(());
        }
        if began.elapsed() >= timeout {
            for (vm, why) in checked.err().into_iter().flatten() {
                messages::missing(&vm, &why);
            }
            let what = format!("revision {revision} in force everywhere");
            return Err(Error::TimedOut { what, waited: timeout });
        }
        thread::sleep(POLL_INTERVAL);
    }
}

/// Number of VMs if all have the revision; otherwise each VM without it, and why.
fn check_vms(
    store: &Store,
    first: SocketAddr,
    revision: Revision,
) -> Result<std::result::Result<usize, BTreeMap<String, String>>> {
    let known = discover_vms(first)?.into_iter().map(|(name, address)| (name, Some(address)));
    let mut addresses: BTreeMap<String, Option<SocketAddr>> = known.collect();
    // The platform's list may be unavailable; the VMs known to the daemons are used then.
    for listed in store.vms().unwrap_or_default() {
        if listed.entry && listed.state == VmState::Live {
            addresses.entry(listed.name).or_insert(None);
        }
    }
    let count = addresses.len();
    let missing: BTreeMap<String, String> = addresses
        .into_iter()
        .filter_map(|(name, address)| why_missing(address, revision).map(|why| (name, why)))
        .collect();
    Ok(if missing.is_empty() { Ok(count) } else { Err(missing) })
}

/// Why a VM is not known to have the revision; `None` if it has it.
fn why_missing(address: Option<SocketAddr>, revision: Revision) -> Option<String> {
    let Some(address) = address else {
        return Some("listed by the platform but unknown to the queried daemons".to_owned());
    };
    match fetch_json(address, "/revision") {
        Ok(found) => {
            let found = found.as_u64().unwrap_or(0);
            (found < revision.0).then(|| format!("has revision {found}"))
        }
        Err(e) => Some(e.to_string()),
    }
}
