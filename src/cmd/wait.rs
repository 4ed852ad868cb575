//! `saddlerail wait`: wait until a revision is in force on every VM.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

use clap::ArgMatches;
use errors::{Error, Result};
use ids::Revision;
use store_client::{Store, VmState, read_head};

use crate::context::{page, store, wait_for};
use crate::fleet::known_vms;
use crate::messages;

/// Time between two looks at the fleet.
const LOOK: Duration = Duration::from_millis(50);

pub(crate) fn run(args: &ArgMatches) -> Result<()> {
    let store = store(args)?;
    let revision = match args.get_one::<u64>("revision") {
        Some(revision) => Revision(*revision),
        None => read_head(&store)?.0.revision,
    };
    wait_for(args, &store, revision)
}

/// Waits until every VM that the platform lists or that daemons have heard of says that
/// `revision`, or a later one, is in force.
pub(crate) fn wait_everywhere(
    store: &Store,
    vm: SocketAddr,
    revision: Revision,
    timeout: Duration,
) -> Result<()> {
    let began = Instant::now();
    loop {
        let missing = missing(store, vm, revision)?;
        if let Ok(vms) = missing {
            messages::in_force(revision, vms, began.elapsed());
            return Ok(());
        }
        if began.elapsed() >= timeout {
            for (vm, why) in missing.err().into_iter().flatten() {
                messages::missing(&vm, &why);
            }
            let what = format!("revision {revision} in force everywhere");
            return Err(Error::TimedOut { what, waited: timeout });
        }
        thread::sleep(LOOK);
    }
}

/// The number of VMs that have the revision, or those that miss it with what is known of each.
fn missing(
    store: &Store,
    vm: SocketAddr,
    revision: Revision,
) -> Result<std::result::Result<usize, BTreeMap<String, String>>> {
    let known = known_vms(vm)?.into_iter().map(|(name, address)| (name, Some(address)));
    let mut pages: BTreeMap<String, Option<SocketAddr>> = known.collect();
    // The list may be out; what the daemons know must do then.
    for listed in store.vms().unwrap_or_default() {
        if listed.entry && listed.state == VmState::Live {
            pages.entry(listed.name).or_insert(None);
        }
    }
    let count = pages.len();
    let missing: BTreeMap<String, String> = pages
        .into_iter()
        .filter_map(|(name, address)| why_missing(address, revision).map(|why| (name, why)))
        .collect();
    Ok(if missing.is_empty() { Ok(count) } else { Err(missing) })
}

fn why_missing(address: Option<SocketAddr>, revision: Revision) -> Option<String> {
    let Some(address) = address else {
        return Some("listed by the platform, but not heard of by the daemons asked".to_owned());
    };
    match page(address, "/revision") {
        Ok(found) => {
            let found = found.as_u64().unwrap_or(0);
            (found < revision.0).then(|| format!("has revision {found}"))
        }
        Err(e) => Some(e.to_string()),
    }
}
