//! Applies changes of the entries that targets keep about themselves in the platform's store. An
//! entry that is overwritten with something invalid, or removed around an outage of the store,
//! lapses: its target is kept for a grace period, in which the target can write the entry again.

use std::time::{Duration, Instant};

use ids::{StoreRevision, TargetName};
use intent::Target;
use slog::{debug, info, warn};

use crate::shared::Shared;
use crate::store_changes::{Arrival, Source};

/// Time within which a running target has written its entry again after another writer overwrote
/// it: longer than the interval between two of its writes, 1.2 s on the known platforms.
const REWRITE_TIME: Duration = Duration::from_millis(2100);

impl Shared {
    /// Parses and applies a target's entry.
    pub(crate) fn apply_target(
        &mut self,
        key: &str,
        value: &[u8],
        arrival: Arrival<'_>,
        now: Instant,
    ) {
        match (self.adapter.intents.target)(key, value) {
            Ok(target) => self.put_target(target, arrival, now),
            Err(e) => {
                warn!(self.log, "target's entry left out"; "key" => key, "from" => arrival.from,
                    "why" => %e);
                self.entry_overwritten(key, now);
            }
        }
    }

    /// Starts the grace period of a target whose entry was overwritten with something invalid: a
    /// running target writes its entry again soon, and one that has ended would otherwise be called
    /// forever.
    fn entry_overwritten(&mut self, key: &str, now: Instant) {
        let id = key.strip_prefix(self.adapter.intents.targets_prefix);
        let id = id.and_then(|id| TargetName::new(id).ok());
        if let Some(id) = id.filter(|id| self.targets.get(id).is_some()) {
            self.lapsed.entry(id).or_insert(now + REWRITE_TIME);
        }
    }

    /// Adds or updates a target, unless the entry is from an earlier lifetime than the known one.
    fn put_target(&mut self, mut target: Target, arrival: Arrival<'_>, now: Instant) {
        self.add_announcements(&mut target);
        self.log_target(&target, arrival);
        let known = self.targets.get(&target.id).cloned();
        if let Some(known) = known.as_ref().filter(|known| target.is_earlier_lifetime_than(known)) {
            info!(self.log, "target's entry of an earlier lifetime"; "target" => %target.id,
                "born" => target.born, "known" => known.born);
            return;
        }
        self.lapsed.remove(&target.id);
        self.reappeared.remove(&target.id);
        if let Some(known) = known.as_ref().filter(|known| target.is_other_lifetime_than(known)) {
            info!(self.log, "target restarted"; "target" => %target.id,
                "born" => target.born, "before" => known.born);
            self.target_ended(known, now);
        }
        if known.is_some_and(|known| known.version != target.version) {
            self.stream_origins.version_changed(&target.id, &target.version);
        }
        self.targets.upsert(target, now);
    }

    /// Logs a target's entry. Entries in bulk are counted in one line instead, except at debug level
    /// and for targets that leave.
    fn log_target(&self, target: &Target, arrival: Arrival<'_>) {
        let from = arrival.from;
        if arrival.in_bulk && !target.leaving {
            debug!(self.log, "target known"; "target" => %target.id, "from" => from);
            return;
        }
        info!(self.log, "target known"; "target" => %target.id,
            "service" => %target.service, "address" => %target.address,
            "version" => target.version.as_ref().map(ToString::to_string),
            "hall" => %target.hall, "leaving" => target.leaving,
            "cold_ms" => target.cold_start_remaining.as_millis(), "from" => from,
            "as_of" => %self.view.as_of());
    }

    /// Handles the removal of a target's entry from the store. Around an outage of the store the
    /// target is kept for a grace period.
    pub(crate) fn target_entry_removed(&mut self, id: &str, source: Source<'_>, now: Instant) {
        let Ok(id) = TargetName::new(id) else { return };
        let from = source.name();
        self.reappeared.remove(&id);
        if let Some(until) = self.contact.grace_until(source.reporter(), now) {
            info!(self.log, "target's entry lapsed around an outage"; "target" => %id,
                "from" => from, "kept_ms" => (until - now).as_millis());
            self.lapsed.insert(id, until);
            return;
        }
        if self.remove_target(&id, now) {
            info!(self.log, "target gone"; "target" => %id, "from" => from,
                "as_of" => %self.view.as_of());
        }
    }

    /// Revision of a target's entry, for the log; number 0 if the entry was removed and the target is
    /// kept around an outage of the store.
    pub(crate) fn entry_revision(&self, id: &TargetName) -> StoreRevision {
        self.view.revision_of(&format!("{}{id}", self.adapter.intents.targets_prefix))
    }

    /// Removes a target; returns whether it was known. Connections to it that broke recently count
    /// as crashes under the requests that they carried.
    fn remove_target(&mut self, id: &TargetName, now: Instant) -> bool {
        let Some(target) = self.targets.remove(id) else { return false };
        self.target_ended(&target, now);
        true
    }

    /// When the next grace period of a lapsed entry ends.
    pub(crate) fn next_grace_end(&self) -> Option<Instant> {
        self.lapsed.values().copied().chain(self.next_era_grace_end()).min()
    }

    /// Removes targets whose entry lapsed and was not written again within its grace period.
    pub(crate) fn expire_lapsed_targets(&mut self, now: Instant) {
        let has_ended = |at: &Instant| *at <= now;
        let gone: Vec<TargetName> =
            self.lapsed.iter().filter(|(_, at)| has_ended(at)).map(|(id, _)| id.clone()).collect();
        if gone.is_empty() {
            return;
        }
        for id in gone {
            info!(self.log, "target gone"; "target" => %id, "from" => "lapse");
            self.lapsed.remove(&id);
            self.remove_target(&id, now);
        }
        self.sync_pools();
    }

    /// Removes a target after another one answered at its address, before the store reports the
    /// removal.
    pub(crate) fn target_replaced(&mut self, target: &Target, now: Instant) {
        if self.remove_target(&target.id, now) {
            info!(self.log, "target gone"; "target" => %target.id, "from" => "its address");
            self.sync_pools();
        }
    }
}
