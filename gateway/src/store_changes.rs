//! Applies changes of the store's content, whichever way they arrive: the configuration, targets,
//! evacuations, rollouts, and what VMs keep there about themselves.

use std::collections::HashSet;
use std::sync::Arc;
use std::time::{Duration, Instant};

use ids::{StoreRevision, VmName};
use intent::Intent;
use platform_interface::PlatformAdapter;
use slog::{info, warn};
use store_view::{Change, Item, Listed, Reporter};

use crate::shared::Shared;

/// Prefix of the store keys under which VMs register themselves.
pub(crate) fn vms_prefix(adapter: &PlatformAdapter) -> String {
    format!("{}vms/", adapter.intents.own_prefix)
}

/// Prefixes of all keys of the store that VMs read. The targets come last: who lists more than
/// their first page depends on the list of VMs.
pub(crate) fn read_prefixes(adapter: &PlatformAdapter) -> [&'static str; 5] {
    let intents = &adapter.intents;
    [
        intents.intent_key,
        intents.evacuations_prefix,
        intents.rollouts_prefix,
        intents.own_prefix,
        intents.targets_prefix,
    ]
}

/// Where changes of the store's content come from.
#[derive(Debug, Clone, Copy)]
pub(crate) enum Source<'a> {
    /// The answer to a watch.
    Watch,
    /// A complete listing of a prefix.
    Listing,
    /// Another VM.
    Peer(&'a VmName),
}

impl<'a> Source<'a> {
    /// The source's name in the log.
    pub(crate) fn name(self) -> &'a str {
        match self {
            Source::Watch => "store",
            Source::Listing => "store listing",
            Source::Peer(vm) => vm.as_str(),
        }
    }

    pub(crate) fn reporter(self) -> Reporter {
        match self {
            Source::Watch | Source::Listing => Reporter::Store,
            Source::Peer(_) => Reporter::Peer,
        }
    }
}

/// Number of targets' entries in one batch of changes up to which each is logged. More come when
/// thousands of targets start or a VM reads its first copy of the store: as many lines would delay
/// both.
const MAX_LOGGED_ENTRIES: usize = 50;

/// How changes arrived, for the log.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Arrival<'a> {
    /// Name of the source.
    pub(crate) from: &'a str,
    /// Whether the batch holds more targets' entries than are logged one by one.
    pub(crate) in_bulk: bool,
}

impl Shared {
    /// Applies changes read from the store or received from a peer.
    pub(crate) fn merge(&mut self, items: Vec<Item>, source: Source<'_>, now: Instant) {
        let changes = self.view.merge(items);
        self.apply(changes, source, now);
    }

    /// Whether changes of the store arrived from a peer within the last `patience`.
    pub(crate) fn is_receiving_changes(&self, patience: Duration, now: Instant) -> bool {
        self.changes_received_at.is_some_and(|at| now.saturating_duration_since(at) < patience)
    }

    /// Applies a complete listing of the keys with a prefix.
    pub(crate) fn merge_listed(&mut self, items: Vec<Item>, listed: &Listed, now: Instant) {
        let changes = self.view.merge_listed(items, listed);
        self.apply(changes, Source::Listing, now);
    }

    /// Removes what the prefixes of a complete listing lack and others have sent in between.
    pub(crate) fn remove_absent(&mut self, listed: &[Listed], now: Instant) {
        let lacking = listed.iter().flat_map(|listed| self.view.remove_absent(listed));
        let changes = lacking.collect();
        self.apply(changes, Source::Listing, now);
    }

    pub(crate) fn apply(&mut self, changes: Vec<Change>, source: Source<'_>, now: Instant) {
        let from = source.name();
        let (intent_key, targets_prefix) =
            (self.adapter.intents.intent_key, self.adapter.intents.targets_prefix);
        let evacuations_prefix = self.adapter.intents.evacuations_prefix;
        let rollouts_prefix = self.adapter.intents.rollouts_prefix;
        let is_entry = |change: &&Change| matches!(change, Change::Put(key, _) if key.starts_with(targets_prefix));
        let entries = changes.iter().filter(is_entry).count();
        let arrival = Arrival { from, in_bulk: entries > MAX_LOGGED_ENTRIES };
        let mut targets_changed = false;
        for change in changes {
            let change = match change {
                Change::Reappeared(key, _) if key.starts_with(targets_prefix) => {
                    self.target_reappeared(&key, now);
                    continue;
                }
                Change::Reappeared(key, value) => Change::Put(key, value),
                change => change,
            };
            match change {
                Change::Reappeared(..) => {}
                Change::Put(key, value) if key == intent_key => {
                    self.apply_intent(&value, from);
                    self.compare_versions(now);
                }
                Change::Put(key, value) if key.starts_with(targets_prefix) => {
                    self.apply_target(&key, &value, arrival, now);
                    targets_changed = true;
                }
                Change::Put(key, value) if key.starts_with(evacuations_prefix) => {
                    self.apply_evacuation(&key, &value, from, now);
                }
                Change::Put(key, value) if key.starts_with(rollouts_prefix) => {
                    self.apply_rollout(&key, &value, from, now);
                }
                Change::Put(key, value) => self.apply_own_prefix_entry(&key, Some(&value), now),
                Change::Removed(key) if key.starts_with(evacuations_prefix) => {
                    self.end_evacuation(&key, from, now);
                }
                Change::Removed(key) if key.starts_with(rollouts_prefix) => {
                    self.withdraw_rollout(&key, from);
                }
                Change::Removed(key) => match key.strip_prefix(targets_prefix) {
                    Some(id) => {
                        self.target_entry_removed(id, source, now);
                        targets_changed = true;
                    }
                    None => self.apply_own_prefix_entry(&key, None, now),
                },
            }
        }
        if targets_changed {
            self.sync_pools();
        }
        self.set_initial_shares(now);
        if arrival.in_bulk {
            info!(self.log, "targets known"; "entries" => entries, "targets" => self.targets.len(),
                "from" => from, "as_of" => %self.view.as_of());
        }
        self.update_cold_shares(now);
    }

    /// Whether this VM still reads or receives its first copy of the store's content.
    pub(crate) fn is_first_snapshot(&self) -> bool {
        self.view.as_of() == StoreRevision::default()
    }

    /// Applies a change under this system's own prefix: a VM's entry or a refused request.
    fn apply_own_prefix_entry(&mut self, key: &str, value: Option<&[u8]>, now: Instant) {
        if value.is_some_and(|value| self.apply_stored_refusal(key, value, now))
            || self.apply_rollout_decision(key, now)
            || self.apply_stored_plan(key, value, now)
        {
            return;
        }
        let Some(vm) = key.strip_prefix(&vms_prefix(&self.adapter)) else { return };
        let Ok(vm) = VmName::new(vm) else { return };
        match value.map(serde_json::from_slice) {
            Some(Ok(entry)) => self.fleet.add_listed(vm, entry, now),
            Some(Err(e)) => {
                warn!(self.log, "VM entry ignored"; "key" => key, "why" => %e);
            }
            None => self.fleet.remove_listed(&vm),
        }
    }

    fn apply_intent(&mut self, value: &[u8], from: &str) {
        let as_of = self.view.as_of().to_string();
        match (self.adapter.intents.intent)(value) {
            Ok(intent) => {
                let at_least_as_new =
                    self.intent.as_ref().filter(|current| current.version >= intent.version);
                if let Some(current) = at_least_as_new {
                    warn!(self.log, "configuration kept out"; "version" => intent.version,
                        "in_force" => current.version, "from" => from, "why" => "not newer");
                    return;
                }
                info!(self.log, "configuration in force"; "version" => intent.version,
                    "entries" => intent.entries().count(), "from" => from, "as_of" => as_of);
                self.drop_obsolete_response_times(&intent);
                self.stream_origins.set_intent(&intent);
                self.intent = Some(Arc::new(intent));
                self.sync_pools();
            }
            Err(e) => {
                let in_force = self.intent.as_ref().map_or(0, |intent| intent.version);
                warn!(self.log, "configuration kept out"; "in_force" => in_force, "from" => from,
                    "why" => %e);
            }
        }
    }

    /// Drops the response times of entries that a new configuration doesn't contain.
    fn drop_obsolete_response_times(&mut self, intent: &Intent) {
        let names: HashSet<&str> = intent.entries().map(|entry| entry.name.as_str()).collect();
        self.response_times.retain(|name, _| names.contains(name.as_str()));
    }
}
