//! Handles that the platform's store came back from a copy some seconds old. It has lost its latest
//! changes, and its writers write them again. Until they have, this VM goes on with what it knew.

use std::time::{Duration, Instant};

use eligibility::Lifetime;
use ids::{StoreRevision, TargetName};
use slog::{info, warn};
use store_view::Completion;

use crate::app::App;
use crate::shared::Shared;
use crate::store_changes::{Arrival, Source};

/// Time within which targets write their entries again, from the first complete content of an era.
const TARGETS_GRACE: Duration = Duration::from_millis(2100);
/// Time within which operators and VMs write theirs again: longer than the interval between two
/// renewals of any VM's lease.
const OTHERS_GRACE: Duration = Duration::from_secs(8);
/// Time after which a target whose removal was lost counts as running: an entry without its target
/// is removed again after three missed heartbeats.
const REAPPEARED_GRACE: Duration = Duration::from_secs(4);

/// Until when entries of earlier eras are kept that the present one lacks.
#[derive(Debug, Clone, Copy)]
pub(crate) struct CarriedOver {
    /// Targets' entries; `None` once they were dropped.
    targets_until: Option<Instant>,
    others_until: Instant,
}

/// Records the era that an answer of the store names. If it has risen, the watch is started anew.
pub(crate) fn observe(app: &App, era: u64) {
    if app.state.with(|shared, now| shared.observe_era(era, now)) {
        app.watch_stalled.notify_waiters();
    }
}

impl Shared {
    /// Records that the store is in an era; returns whether that is later than one whose content
    /// this VM knows.
    pub(crate) fn observe_era(&mut self, era: u64, now: Instant) -> bool {
        let before = self.view.as_of();
        if !self.view.observe_era(era) || self.is_first_snapshot() {
            return false;
        }
        warn!(self.log, "store came back older"; "era" => era, "known" => %before);
        // An entry of the copy may not say so yet.
        let leaving = self.targets.leaving().map(Lifetime::from);
        leaving.collect::<Vec<_>>().into_iter().for_each(|lifetime| {
            self.departures.record(lifetime, now, now);
        });
        true
    }

    /// Records that all changes up to a revision are known, and how they became known.
    pub(crate) fn complete_up_to(&mut self, revision: StoreRevision, by: Completion, now: Instant) {
        let was_first = self.is_first_snapshot();
        if !self.view.advance_to(revision, by) || was_first {
            return;
        }
        self.carried_over = Some(CarriedOver {
            targets_until: Some(now + TARGETS_GRACE),
            others_until: now + OTHERS_GRACE,
        });
        self.write_refusals_again(now);
        info!(self.log, "content of the store's era known"; "as_of" => %revision,
            "targets" => self.targets.len(), "reappeared" => self.reappeared.len());
    }

    /// Handles a target's entry whose removal the store has lost: the target has probably ended.
    pub(crate) fn target_reappeared(&mut self, key: &str, now: Instant) {
        let id = key.strip_prefix(self.adapter.intents.targets_prefix);
        if let Some(id) = id.and_then(|id| TargetName::new(id).ok()) {
            info!(self.log, "target's entry reappeared"; "target" => %id);
            self.reappeared.insert(id, now + REAPPEARED_GRACE);
        }
    }

    /// When the next grace period of entries around a change of the era ends.
    pub(crate) fn next_era_grace_end(&self) -> Option<Instant> {
        let carried_over = self.carried_over.map(|c| c.targets_until.unwrap_or(c.others_until));
        carried_over.into_iter().chain(self.reappeared.values().copied()).min()
    }

    /// Ends the grace periods that are over.
    pub(crate) fn end_era_graces(&mut self, now: Instant) {
        self.admit_reappeared(now);
        let Some(mut carried_over) = self.carried_over else { return };
        if carried_over.targets_until.is_some_and(|until| until <= now) {
            carried_over.targets_until = None;
            self.carried_over = Some(carried_over);
            self.drop_carried_over(self.adapter.intents.targets_prefix, now);
        }
        if carried_over.others_until <= now {
            self.carried_over = None;
            self.drop_carried_over("", now);
        }
    }

    /// Drops entries that were not written again.
    fn drop_carried_over(&mut self, prefix: &str, now: Instant) {
        let changes = self.view.drop_carried_over(prefix);
        if !changes.is_empty() {
            info!(self.log, "entries of an earlier era dropped"; "prefix" => prefix,
                "entries" => changes.len());
            self.apply(changes, Source::Listing, now);
        }
    }

    /// Adds targets whose entries reappeared and are still there.
    fn admit_reappeared(&mut self, now: Instant) {
        let due: Vec<TargetName> = self
            .reappeared
            .iter()
            .filter(|(_, until)| **until <= now)
            .map(|(id, _)| id.clone())
            .collect();
        if due.is_empty() {
            return;
        }
        for id in due {
            self.reappeared.remove(&id);
            let key = format!("{}{id}", self.adapter.intents.targets_prefix);
            if let Some(value) = self.view.get(&key).cloned() {
                let arrival = Arrival { from: "its entry, which reappeared", in_bulk: false };
                self.apply_target(&key, &value, arrival, now);
            }
        }
        self.sync_pools();
    }
}
