//! Discovery of all VMs of the fleet, starting from one of them.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use errors::Result;
use serde_json::Value;

use crate::context::fetch_json;

/// Operations addresses, by VM name, of the first VM and of all VMs with a current heartbeat
/// that are not draining.
///
/// A VM lists all VMs of its own hall but only some of other halls, so one VM of each hall is
/// queried.
///
/// # Errors
/// `Unreachable` if the first VM does not answer; other VMs that do not answer are skipped.
pub(crate) fn discover_vms(first: SocketAddr) -> Result<BTreeMap<String, SocketAddr>> {
    let view = fetch_json(first, "/vms")?;
    let mut known = BTreeMap::from([(text(&view["vm"]), first)]);
    let mut queried_halls = BTreeSet::from([text(&view["hall"])]);
    let mut pending = active_vms(&view);
    while let Some((name, hall, address)) = pending.pop() {
        known.entry(name).or_insert(address);
        if !queried_halls.contains(&hall)
            && let Ok(view) = fetch_json(address, "/vms")
        {
            queried_halls.insert(hall);
            pending.extend(active_vms(&view));
        }
    }
    Ok(known)
}

/// Name, hall and operations address of the VMs in one VM's view that are fresh and not draining.
fn active_vms(view: &Value) -> Vec<(String, String, SocketAddr)> {
    let vms = view["vms"].as_array().into_iter().flatten();
    let active = vms.filter(|vm| vm["age"] == "fresh" && vm["draining"] == false);
    active
        .filter_map(|vm| {
            let address = text(&vm["operations"]).parse().ok()?;
            Some((text(&vm["vm"]), text(&vm["hall"]), address))
        })
        .collect()
}

/// A JSON string as text; empty if it is not a string.
fn text(value: &Value) -> String {
    value.as_str().unwrap_or_default().to_owned()
}
