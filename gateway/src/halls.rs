//! Eligibility of targets by data hall and by cold start. Combines the evacuations that operators
//! declare (a hall is taken out of service) with the halls that this VM finds unreachable, and
//! passes the result to target selection and to the pools.

use std::rc::Rc;
use std::time::{Duration, Instant};

use eligibility::{AllowedHalls, ColdBound};
use fleet::{Part, Split, UnreachableHalls};
use ids::{HallName, ServiceName};
use intent::Target;
use slog::{info, warn};

use crate::app::App;
use crate::attempts::NO_TARGET_RETRY_AFTER;
use crate::pool_calls;
use crate::requests::AcceptedRequest;
use crate::shared::Shared;
use crate::stages::pieces_of;

/// Rendezvous-hashing key by which all VMs determine the same senders for a cold target.
fn sender_key(target: &Target) -> String {
    format!("cold {}", target.id)
}

impl Shared {
    /// Applies an evacuation: operators take a hall's targets out of service.
    pub(crate) fn apply_evacuation(&mut self, key: &str, value: &[u8], from: &str, now: Instant) {
        match (self.adapter.intents.evacuation)(key, value) {
            Ok(hall) => self.evacuate(hall, from, now),
            Err(e) => {
                warn!(self.log, "evacuation entry ignored"; "key" => key, "from" => from,
                    "why" => %e);
            }
        }
    }

    fn evacuate(&mut self, hall: HallName, from: &str, now: Instant) {
        if !self.halls.evacuate(hall.clone()) {
            return;
        }
        self.propagate_halls();
        let targets = self.targets.of_hall(&hall).count();
        let closed =
            self.closed_services(now).map(ServiceName::as_str).collect::<Vec<_>>().join(",");
        warn!(self.log, "hall evacuated"; "hall" => %hall, "targets" => targets,
            "services_closed" => closed, "from" => from, "as_of" => %self.view.as_of());
    }

    /// Ends an evacuation: the hall is back in service. Its targets may have become cold meanwhile
    /// and their reports of it may still be in transit, so they are treated as cold for the length
    /// of a start.
    pub(crate) fn end_evacuation(&mut self, key: &str, from: &str, now: Instant) {
        let prefix = self.adapter.intents.evacuations_prefix;
        let Some(Ok(hall)) = key.strip_prefix(prefix).map(HallName::new) else { return };
        if !self.halls.restore(&hall) {
            return;
        }
        if let Some(intent) = self.intent.clone() {
            let cold_time = |service: &ServiceName| Some(intent.services.get(service)?.cold?.lasts);
            self.targets.assume_cold(&hall, cold_time, now);
        }
        self.propagate_halls();
        info!(self.log, "hall taken back"; "hall" => %hall, "from" => from,
            "targets" => self.targets.of_hall(&hall).count(), "as_of" => %self.view.as_of());
    }

    /// Replaces the set of unreachable halls.
    pub(crate) fn set_unreachable_halls(&mut self, unreachable: UnreachableHalls) {
        self.halls.set_unreachable(unreachable.clone());
        self.fleet.unreachable_halls = unreachable;
        self.propagate_halls();
    }

    /// Passes the state of the halls to target selection and to all pools.
    fn propagate_halls(&mut self) {
        self.eligibility_changed = true;
        self.targets.set_halls(self.halls.clone());
        self.pools.values_mut().for_each(|pool| pool.set_halls(self.halls.clone()));
    }

    /// Recomputes how many requests per second this VM may send to each cold target.
    pub(crate) fn update_cold_shares(&mut self, now: Instant) {
        let Some(intent) = self.intent.clone() else { return };
        let (fleet, margin) = (&self.fleet, self.cold_margin);
        let vms = fleet.size();
        let share = |target: &Target, targets: usize| {
            // A service without a cold rate has no cold targets.
            let service = intent.services.get(&target.service);
            let Some(cold) = service.and_then(|service| service.cold) else { return u32::MAX };
            let (overshoot, slack) = (margin.overshoot, margin.slack);
            let bound = ColdBound { per_s: cold.per_s, overshoot, slack };
            let share = eligibility::cold_share(bound, vms, targets);
            let sends = fleet.is_among_first(&sender_key(target), share.senders);
            if sends { share.per_sender } else { 0 }
        };
        self.cold_targets = self.targets.update_cold_shares(share, now);
    }

    /// Closed services: those that have targets, all of which are leaving or out of service, so
    /// that nothing can run on them.
    fn closed_services(&self, now: Instant) -> impl Iterator<Item = &ServiceName> {
        let services = self.intent.iter().flat_map(|intent| intent.services.keys());
        services.filter(move |service| self.targets.is_closed(service, &AllowedHalls::Any, now))
    }

    /// Retry delay for a request that needs a service whose targets accept no work before the
    /// request's deadline; `None` if the request may be served.
    pub(crate) fn closed_retry_after(
        &self,
        req: &AcceptedRequest,
        now: Instant,
    ) -> Option<Duration> {
        let stages = req.entry.stages.iter().zip(pieces_of(&req.entry, &req.head));
        let pools = stages.filter(|(_, pieces)| *pieces > 0).map(|(stage, _)| &stage.pool);
        let closed = |service: &ServiceName| {
            if self.targets.is_closed(service, &req.allowed_halls, now) {
                return Some(NO_TARGET_RETRY_AFTER);
            }
            let opens = self.time_until_open(service, &req.allowed_halls, now);
            opens.filter(|time| now + *time >= req.deadline)
        };
        pools.chain([&req.service]).filter_map(closed).max()
    }

    /// The part of a pool that receives pieces meant for part `wanted`: `wanted` itself, or the
    /// first other part with an eligible worker in `halls` if all workers of `wanted` are in other
    /// halls, out of service, leaving or backing off. Falls back to `wanted` if no part has an
    /// eligible worker.
    pub(crate) fn open_part(
        &self,
        pool: &ServiceName,
        split: &Split,
        wanted: Part,
        halls: &AllowedHalls,
        now: Instant,
    ) -> Part {
        if split.has_one_part() {
            return wanted;
        }
        let is_open = |part: &Part| {
            let mut workers = self.targets.of_service(pool);
            workers.any(|target| {
                split.part_of(&target.hall) == *part
                    && halls.permits(&target.hall)
                    && self.halls.eligibility(target, now).is_allowed()
            })
        };
        let mut parts = [wanted].into_iter().chain(split.parts());
        parts.find(is_open).unwrap_or(wanted)
    }
}

/// If the eligibility of targets changed, makes the calls of all pools that can be made now, and
/// rejects at once the waiting pieces whose workers are all out of service or leaving.
pub(crate) fn recheck_pools(app: &Rc<App>) {
    let pools: Vec<ServiceName> = app.state.with(|shared, _| {
        let changed = std::mem::take(&mut shared.eligibility_changed);
        if changed { shared.pools.keys().cloned().collect() } else { Vec::new() }
    });
    pools.iter().for_each(|pool| pool_calls::dispatch_calls(app, pool));
}
