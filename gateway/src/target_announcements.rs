//! What targets announce about themselves in the headers of their answers: that they are leaving,
//! that they want no calls for some time (backoff), or a rate limit. A target's entry in the
//! platform's store also says that it is leaving, but seconds later, and not at all while the store
//! is unreachable. Therefore a departure holds as soon as either source reports it, and an entry
//! never revokes it.

use std::rc::Rc;
use std::time::{Duration, Instant};

use eligibility::{
    AllowedHalls, Departure, Lifetime, RateChange, RateLimit, RateObservation, RateObservations,
};
use http::response::Parts;
use ids::ServiceName;
use intent::Target;
use peering::work::Rates;
use platform_interface::calls::{AnnouncedRate, AnswerHead, Evidence};
use slog::{debug, info, warn};

use crate::app::App;
use crate::halls::recheck_pools;
use crate::rate_messages::decode_rates;
use crate::shared::Shared;
use crate::state_handle::now;

/// Most names of unknown headers that are logged; bounded, since targets may send any names.
const MAX_LOGGED_HEADERS: usize = 64;

/// Applies what the answer to a request announces about the target that gave it; the request was
/// sent at `sent` or later.
pub(crate) fn apply_answer(app: &Rc<App>, target: &Target, answer: &AnswerHead, sent: Instant) {
    let is_trusted = match answer.evidence {
        Evidence::Answered | Evidence::Declined | Evidence::InputGone => true,
        // The answer comes from another lifetime, or any part of it may be corrupt.
        Evidence::OtherTarget | Evidence::OtherRequest | Evidence::Invalid => false,
    };
    if is_trusted {
        apply_announcements(app, target, answer, sent);
    }
}

/// Applies what the answer to one of the gateway's own calls ([`crate::own_calls`]) announces,
/// unless another target gave it. Such a call carries no request ID by which its answer could be
/// checked.
pub(crate) fn apply_own_call_answer(
    app: &Rc<App>,
    target: &Target,
    answer: &AnswerHead,
    sent: Instant,
) {
    if answer.evidence != Evidence::OtherTarget {
        apply_announcements(app, target, answer, sent);
    }
}

/// Applies a rate limit, a backoff and a departure that an answer announces.
fn apply_announcements(app: &Rc<App>, target: &Target, answer: &AnswerHead, sent: Instant) {
    apply_rate(app, target, answer.rate, sent);
    app.state.with(|shared, now| match answer.brittle {
        Some(limit) => shared.record_brittle(target, limit, now),
        None => shared.targets.record_sound(&target.service, sent),
    });
    if !answer.is_leaving && answer.retry_after.is_none() {
        return;
    }
    let lifetime = Lifetime::from(target);
    let is_new_departure = app.state.with(|shared, now| {
        if let Some(time) = answer.retry_after {
            shared.record_backoff(&lifetime, time, now);
        }
        answer.is_leaving && shared.record_departure(lifetime, now, "its answer", now)
    });
    if is_new_departure {
        app.metrics.target_departed(target.service.as_str(), "answer");
    }
    recheck_pools(app);
}

/// Counts unknown headers in an answer and logs each name once per service, so that an announcement
/// that this system ignores is noticed before it causes harm.
pub(crate) fn report_unknown_headers(app: &App, target: &Target, answer: &Parts) {
    for name in (app.adapter.calls.unknown_headers)(answer) {
        let is_new = app.state.with(|shared, _| {
            let key = (target.service.clone(), name.clone());
            shared.unknown_headers.len() < MAX_LOGGED_HEADERS && shared.unknown_headers.insert(key)
        });
        if is_new {
            warn!(app.log, "unknown header in answer"; "header" => &name,
                "service" => %target.service, "target" => %target.id);
        }
        app.metrics.unknown_header(target.service.as_str());
    }
}

/// Applies the rate limit that an answer announces. An answer without a limit ends an earlier one;
/// an unreadable limit changes nothing.
fn apply_rate(app: &Rc<App>, target: &Target, rate: AnnouncedRate, sent: Instant) {
    let limit = match rate {
        AnnouncedRate::Absent => None,
        AnnouncedRate::PerSecond(per_s) => RateLimit::new(per_s),
        AnnouncedRate::Unreadable => {
            debug!(app.log, "target's rate not parsed"; "target" => %target.id);
            return;
        }
    };
    let observation = RateObservation { limit, sent, received: now() };
    let changed = app.state.with(|shared, now| shared.apply_rate(target, observation, now));
    if changed {
        on_rates_changed(app);
    }
}

/// Applies a peer's observations of targets' rate limits.
pub(crate) fn apply_peer_rates(app: &Rc<App>, peer: &str, rates: &Rates) {
    for (lifetime, observations) in decode_rates(rates) {
        app.state.with(|shared, now| shared.merge_peer_rate(lifetime, &observations, peer, now));
    }
    on_rates_changed(app);
}

/// Updates what depends on rate limits: links to the VMs that hold the token buckets are needed,
/// and pools may choose other targets.
pub(crate) fn on_rates_changed(app: &Rc<App>) {
    app.vms_changed.notify_one();
    recheck_pools(app);
}

/// Applies a peer's reports of targets that are leaving.
pub(crate) fn apply_peer_departures(app: &Rc<App>, peer: &str, departures: Vec<Departure>) {
    for Departure { lifetime, announced_at: announced } in departures {
        let service = app.state.with(|shared, now| {
            let service = shared.targets.service_of(&lifetime.target).cloned();
            let is_new = shared.record_departure(lifetime, announced, peer, now);
            is_new.then_some(service).flatten()
        });
        if let Some(service) = service {
            app.metrics.target_departed(service.as_str(), "peer");
        }
    }
    recheck_pools(app);
}

impl Shared {
    /// Records that a target is leaving; returns whether that is new.
    fn record_departure(
        &mut self,
        lifetime: Lifetime,
        announced: Instant,
        from: &str,
        now: Instant,
    ) -> bool {
        self.departures.set_targets(self.targets.len());
        if !self.departures.record(lifetime.clone(), announced, now) {
            return false;
        }
        let entry = self.targets.get(&lifetime.target);
        info!(self.log, "target says that it leaves"; "target" => %lifetime.target, "born" => lifetime.born,
            "from" => from, "said_ms" => now.saturating_duration_since(announced).as_millis(),
            "entry_leaving" => entry.map(|entry| entry.leaving),
            "store_heard_ms" => self.contact.age(now).map(|age| age.as_millis()));
        self.announcements_changed(&lifetime);
        self.peer_update_pending.send_replace(());
        true
    }

    /// Records that a target is brittle.
    fn record_brittle(&mut self, target: &Target, limit: u32, now: Instant) {
        let is_new = self.targets.brittle(now).all(|(service, ..)| *service != target.service);
        if is_new {
            info!(self.log, "targets of a service are brittle"; "service" => %target.service,
                "target" => %target.id, "limit" => limit);
        }
        self.targets.record_brittle(&target.service, limit, now);
    }

    /// Records the rate limit that an answer announced; returns whether the limit in force changed.
    fn apply_rate(&mut self, target: &Target, observation: RateObservation, now: Instant) -> bool {
        let lifetime = Lifetime::from(target);
        let change = self.rates.record(lifetime.clone(), observation);
        let Some(change) = change else { return false };
        self.handle_rate_change(&lifetime, change, "its answer", now);
        self.peer_update_pending.send_replace(());
        true
    }

    /// Merges what a peer itself observed of a target's rate limit.
    pub(crate) fn merge_peer_rate(
        &mut self,
        lifetime: Lifetime,
        observations: &RateObservations,
        peer: &str,
        now: Instant,
    ) {
        if let Some(change) = self.rates.merge_peer(lifetime.clone(), observations) {
            self.handle_rate_change(&lifetime, change, peer, now);
        }
    }

    /// Logs a changed rate limit and updates target selection and pools.
    fn handle_rate_change(
        &mut self,
        lifetime: &Lifetime,
        change: RateChange,
        from: &str,
        now: Instant,
    ) {
        let per_s = |limit: Option<RateLimit>| limit.map(RateLimit::per_s);
        info!(self.log, "target's rate changed"; "target" => %lifetime.target, "born" => lifetime.born,
            "per_s" => per_s(change.now), "before" => per_s(change.before), "from" => from);
        self.hold_back_worker(lifetime, now);
        self.announcements_changed(lifetime);
    }

    /// Records that a target wants no calls from this VM for some time.
    fn record_backoff(&mut self, lifetime: &Lifetime, time: Duration, now: Instant) {
        // The sum does not overflow: the time is at most a day.
        let until = now + time;
        if !self.backoffs.record(lifetime.clone(), until) {
            return;
        }
        info!(self.log, "target asked for backoff"; "target" => %lifetime.target,
            "born" => lifetime.born, "for_ms" => time.as_millis());
        self.announcements_changed(lifetime);
    }

    /// Updates target selection and pools with what a target announced, if this lifetime of it is
    /// known.
    pub(crate) fn announcements_changed(&mut self, lifetime: &Lifetime) {
        let known = self.targets.get(&lifetime.target).cloned();
        let Some(mut target) = known.filter(|known| Lifetime::from(known) == *lifetime) else {
            return;
        };
        self.add_announcements(&mut target);
        self.targets.update_announced(&target);
        if self.pools.contains_key(&target.service) {
            self.sync_pools();
            self.eligibility_changed = true;
        }
    }

    /// Adds to a target's entry what the target announced in answers.
    pub(crate) fn add_announcements(&self, target: &mut Target) {
        target.leaving |= self.departures.announced_at(target).is_some();
        target.backoff_until = self.backoffs.until(target);
        target.rate_limited_until = self.rates.held_until(target);
        let limit = self.rates.limit(target);
        target.request_interval = limit.map(|limit| Duration::from_secs_f64(1.0 / limit.per_s()));
    }

    /// Time until some target of a service in `halls` may be sent requests, that is, until the first
    /// backoff or rate limit ends. `None` if a target may be sent requests now, or if no such time
    /// is known.
    pub(crate) fn time_until_open(
        &self,
        service: &ServiceName,
        halls: &AllowedHalls,
        now: Instant,
    ) -> Option<Duration> {
        let opens = self.targets.opens_at(service, halls, now)?;
        Some(opens.saturating_duration_since(now)).filter(|time| !time.is_zero())
    }
}
