//! The entries that targets keep of themselves in the platform's store: what comes in, lapses and goes.

use std::time::{Duration, Instant};

use ids::TargetName;
use intent::Target;
use slog::{info, warn};

use crate::shared::Shared;

/// Time within which a target that lives has written its entry again, whatever others wrote: more than a pause
/// between two of its writes, 1.2 s on the platforms seen so far.
const REWRITE_WAIT: Duration = Duration::from_millis(2100);

impl Shared {
    /// Takes what an entry says of its target, unless it is older than what is known.
    pub(crate) fn apply_target(&mut self, key: &str, value: &[u8], from: &str, now: Instant) {
        match (self.adapter.intents.target)(key, value) {
            Ok(target) => self.put_target(target, from, now),
            Err(e) => {
                warn!(self.log, "target's entry left out"; "key" => key, "from" => from,
                    "why" => %e);
                self.overwritten(key, now);
            }
        }
    }

    /// Something else stands where a target's entry was: a target that lives writes again soon, and one that
    /// does not would be sent to for ever.
    fn overwritten(&mut self, key: &str, now: Instant) {
        let id = key.strip_prefix(self.adapter.intents.targets_prefix);
        let id = id.and_then(|id| TargetName::new(id).ok());
        if let Some(id) = id.filter(|id| self.targets.get(id).is_some()) {
            self.lapsed.entry(id).or_insert(now + REWRITE_WAIT);
        }
    }

    fn put_target(&mut self, mut target: Target, from: &str, now: Instant) {
        self.add_announcements(&mut target);
        info!(self.log, "target known"; "target" => %target.id,
            "service" => %target.service, "address" => %target.address,
            "hall" => %target.hall, "leaving" => target.leaving,
            "cold_ms" => target.cold_remaining.as_millis(), "from" => from,
            "as_of" => self.view.as_of());
        let known = self.targets.get(&target.id).cloned();
        if let Some(known) = known.as_ref().filter(|known| target.is_earlier_lifetime_than(known)) {
            info!(self.log, "target's entry of an earlier lifetime"; "target" => %target.id,
                "born" => target.born, "known" => known.born);
            return;
        }
        self.lapsed.remove(&target.id);
        if let Some(known) = known.filter(|known| target.is_other_lifetime_than(known)) {
            info!(self.log, "target born again"; "target" => %target.id,
                "born" => target.born, "before" => known.born);
            self.target_ended(&known, now);
        }
        self.targets.upsert(target, now);
    }

    /// An entry is gone.
    pub(crate) fn target_entry_removed(&mut self, id: &str, from: &str, now: Instant) {
        let Ok(id) = TargetName::new(id) else { return };
        if let Some(until) = self.contact.grace_until(now) {
            info!(self.log, "target's entry lapsed around an outage"; "target" => %id,
                "from" => from, "kept_ms" => (until - now).as_millis());
            self.lapsed.insert(id, until);
            return;
        }
        if self.remove_target(&id, now) {
            info!(self.log, "target gone"; "target" => %id, "from" => from,
                "as_of" => self.view.as_of());
        }
    }

    /// Takes a target out; whatever broke under it of late counts as its end.
    fn remove_target(&mut self, id: &TargetName, now: Instant) -> bool {
        let Some(target) = self.targets.remove(id) else { return false };
        self.target_ended(&target, now);
        true
    }

    /// When the first entry that lapsed around an outage is taken as gone.
    pub(crate) fn next_grace_end(&self) -> Option<Instant> {
        self.lapsed.values().min().copied()
    }

    /// Takes as gone what lapsed around an outage and did not come back.
    pub(crate) fn expire_lapsed_targets(&mut self, now: Instant) {
        let over = |at: &Instant| *at <= now;
        let gone: Vec<TargetName> =
            self.lapsed.iter().filter(|(_, at)| over(at)).map(|(id, _)| id.clone()).collect();
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

    /// A target turned out to be gone before the store said so.
    pub(crate) fn target_replaced(&mut self, target: &Target, now: Instant) {
        if self.remove_target(&target.id, now) {
            info!(self.log, "target gone"; "target" => %target.id, "from" => "its address");
            self.sync_pools();
        }
    }
}
