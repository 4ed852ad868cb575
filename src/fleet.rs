//! Finding every VM of the fleet from one of them.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use errors::Result;
use serde_json::Value;

use crate::context::page;

/// Operations pages of all VMs that are fresh and stay, by name.
///
/// A VM knows its whole hall and only some VMs of others, so one VM of each hall is asked.
///
/// # Errors
/// `Unreachable` if the first VM does not answer; others that don't are passed over.
pub(crate) fn known_vms(first: SocketAddr) -> Result<BTreeMap<String, SocketAddr>> {
    let view = page(first, "/vms")?;
    let mut known = BTreeMap::from([(text(&view["vm"]), first)]);
    let mut asked_halls = BTreeSet::from([text(&view["hall"])]);
    let mut to_ask = neighbours(&view);
    while let Some((name, hall, address)) = to_ask.pop() {
        known.entry(name).or_insert(address);
        if !asked_halls.contains(&hall)
            && let Ok(view) = page(address, "/vms")
        {
            asked_halls.insert(hall);
            to_ask.extend(neighbours(&view));
        }
    }
    Ok(known)
}

/// Name, hall and operations page of the VMs in one VM's view.
fn neighbours(view: &Value) -> Vec<(String, String, SocketAddr)> {
    let vms = view["vms"].as_array().into_iter().flatten();
    let staying = vms.filter(|vm| vm["age"] == "fresh" && vm["draining"] == false);
    staying
        .filter_map(|vm| {
            let address = text(&vm["operations"]).parse().ok()?;
            Some((text(&vm["vm"]), text(&vm["hall"]), address))
        })
        .collect()
}

fn text(value: &Value) -> String {
    value.as_str().unwrap_or_default().to_owned()
}
