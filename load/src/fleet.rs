//! Starts fleets for the benchmarks: pools spread over halls, services and entry VMs.

use standins::fleet::{Fleet, Pool};

/// Layout of a fleet to start.
pub(crate) struct Layout<'a> {
    pub(crate) halls: &'a [&'a str],
    pub(crate) pools: &'a [Pool],
    /// Slots per target that the catalogue declares, for each pool.
    pub(crate) slots: &'a [u32],
    /// Name and share of each customer.
    pub(crate) customers: &'a [(&'a str, u32)],
    /// Catalogue documents of the services, as YAML.
    pub(crate) services: &'a str,
    /// Number of entry VMs.
    pub(crate) vms: usize,
    pub(crate) policy: &'a str,
}

/// Starts a fleet and waits until the configuration is in force and all VMs know each other.
pub(crate) fn start(layout: &Layout<'_>) -> Fleet {
    let mut fleet = Fleet::start(layout.pools);
    let applied = fleet.apply(&catalogue(&fleet, layout));
    assert!(applied.status.success(), "{}", String::from_utf8_lossy(&applied.stderr));
    let settings =
        format!("policy: {}\nlimits: {{requests: 4096, notice_ms: 200}}\n", layout.policy);
    for index in 0..layout.vms {
        fleet.start_vm_without_waiting(layout.halls[index % layout.halls.len()], &settings);
    }
    (0..layout.vms).for_each(|index| fleet.wait_ready(index));
    fleet.publish_vm_list(&[]);
    fleet.wait_for_peer_discovery();
    fleet
}

/// Catalogue of a fleet as YAML; the targets of a pool are assigned to the halls in turn.
fn catalogue(fleet: &Fleet, layout: &Layout<'_>) -> String {
    let customers = layout.customers.iter();
    let mut documents: Vec<String> = customers
        .map(|(name, share)| format!("customer: {{name: {name}, share: {share}}}"))
        .collect();
    for (pool, slots) in layout.pools.iter().zip(layout.slots) {
        let prefix = format!("{}-", pool.name);
        let pool_targets = fleet.targets.iter().filter(|(name, _)| name.starts_with(&prefix));
        for (index, (name, address)) in pool_targets.enumerate() {
            let hall = layout.halls[index % layout.halls.len()];
            documents.push(format!(
                "target: {{name: {name}, hall: {hall}, address: '{address}', slots: {slots}, \
                 labels: {{pool: {}}}}}",
                pool.name
            ));
        }
    }
    format!("{}\n---\n{}", documents.join("\n---\n"), layout.services)
}
