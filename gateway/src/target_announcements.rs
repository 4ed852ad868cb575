//! What targets say of themselves in the heads of their answers: that they leave, or that they want no work for
//! some time. An entry in the platform's store tells the first one as well, but seconds later, and not at all
//! while the store is out of reach; therefore whatever is heard first holds, and an entry never takes it back.

use std::rc::Rc;
use std::time::{Duration, Instant};

use eligibility::{Departure, Lifetime, RateChange, RateLimit, RateObservation, RateObservations};
use http::response::Parts;
use ids::ServiceName;
use intent::Target;
use peering::work::Rates;
use platform_adapter::calls::{AnswerHead, Evidence, NamedRate};
use slog::{debug, info, warn};

use crate::app::App;
use crate::halls::recheck_pools;
use crate::hub::now;
use crate::rate_messages::decode_rates;
use crate::shared::Shared;

/// Most words that are told of: targets may say anything.
const MOST_UNKNOWN: usize = 64;

/// Takes what the answer to a request says of the target that gave it; the request was sent at `sent` or later.
pub(crate) fn apply_answer(app: &Rc<App>, target: &Target, answer: &AnswerHead, sent: Instant) {
    let speaks_for_it = match answer.evidence {
        Evidence::Answered | Evidence::Declined | Evidence::InputGone => true,
        // Another lifetime speaks, or what came may be spoilt in all its parts.
        Evidence::OtherTarget | Evidence::Crossed | Evidence::Invalid => false,
    };
    if speaks_for_it {
        take(app, target, answer, sent);
    }
}

/// Takes what the answer to a call of this system's own says, which carries no request's id.
pub(crate) fn apply_own_call_answer(
    app: &Rc<App>,
    target: &Target,
    answer: &AnswerHead,
    sent: Instant,
) {
    if answer.evidence != Evidence::OtherTarget {
        take(app, target, answer, sent);
    }
}

fn take(app: &Rc<App>, target: &Target, answer: &AnswerHead, sent: Instant) {
    take_rate(app, target, answer.rate, sent);
    if !answer.is_leaving && answer.retry_after.is_none() {
        return;
    }
    let lifetime = Lifetime::from(target);
    let newly_leaves = app.hub.with(|shared, now| {
        if let Some(time) = answer.retry_after {
            shared.leave_alone(&lifetime, time, now);
        }
        answer.is_leaving && shared.departs(lifetime, now, "its answer", now)
    });
    if newly_leaves {
        app.metrics.target_departed(target.service.as_str(), "answer");
    }
    recheck_pools(app);
}

/// Looks for words in an answer that nobody here knows, and tells each once: what a target says and nobody heeds
/// is seen before it hurts.
pub(crate) fn report_unknown_headers(app: &App, target: &Target, answer: &Parts) {
    for name in (app.adapter.calls.unknown_headers)(answer) {
        let is_new = app.hub.with(|shared, _| {
            let word = (target.service.clone(), name.clone());
            shared.unknown_words.len() < MOST_UNKNOWN && shared.unknown_words.insert(word)
        });
        if is_new {
            warn!(app.log, "answer says what is not known"; "header" => &name,
                "service" => %target.service, "target" => %target.id);
        }
        app.metrics.unknown_header(target.service.as_str());
    }
}

/// Takes what an answer says of its target's rate. That none is named is a word as well: it ends one before.
fn take_rate(app: &Rc<App>, target: &Target, rate: NamedRate, sent: Instant) {
    let limit = match rate {
        NamedRate::Nothing => None,
        NamedRate::PerSecond(per_s) => RateLimit::new(per_s),
        NamedRate::Unreadable => {
            debug!(app.log, "target's rate not read"; "target" => %target.id);
            return;
        }
    };
    let sighting = RateObservation { limit, sent, received: now() };
    let changed = app.hub.with(|shared, now| shared.take_rate(target, sighting, now));
    if changed {
        on_rates_changed(app);
    }
}

/// Takes what a peer heard of targets' rates.
pub(crate) fn apply_peer_rates(app: &Rc<App>, peer: &str, rates: &Rates) {
    for (lifetime, belief) in decode_rates(rates) {
        app.hub.with(|shared, now| shared.merge_peer_rate(lifetime, &belief, peer, now));
    }
    on_rates_changed(app);
}

/// Links to whoever holds the accounts are wanted, and pools may be called otherwise.
pub(crate) fn on_rates_changed(app: &Rc<App>) {
    app.vms_changed.notify_one();
    recheck_pools(app);
}

/// Takes what a peer heard of targets that leave.
pub(crate) fn apply_peer_departures(app: &Rc<App>, peer: &str, departures: Vec<Departure>) {
    for Departure { lifetime, announced_at: said } in departures {
        let service = app.hub.with(|shared, now| {
            let service = shared.targets.service_of(&lifetime.target).cloned();
            let is_new = shared.departs(lifetime, said, peer, now);
            is_new.then_some(service).flatten()
        });
        if let Some(service) = service {
            app.metrics.target_departed(service.as_str(), "peer");
        }
    }
    recheck_pools(app);
}

impl Shared {
    /// Takes that a target leaves; says whether it is the first word of that.
    fn departs(&mut self, lifetime: Lifetime, said: Instant, from: &str, now: Instant) -> bool {
        if !self.departures.record(lifetime.clone(), said, now) {
            return false;
        }
        let entry = self.targets.get(&lifetime.target);
        info!(self.log, "target says that it leaves"; "target" => %lifetime.target, "born" => lifetime.born,
            "from" => from, "said_ms" => now.saturating_duration_since(said).as_millis(),
            "entry_leaving" => entry.map(|entry| entry.leaving),
            "store_heard_ms" => self.contact.age(now).map(|age| age.as_millis()));
        self.announcements_changed(&lifetime);
        self.peer_update_pending.send_replace(());
        true
    }

    /// Takes what an answer said of its target's rate; says whether another rate holds than before.
    fn take_rate(&mut self, target: &Target, sighting: RateObservation, now: Instant) -> bool {
        let lifetime = Lifetime::from(target);
        let change = self.rates.record(lifetime.clone(), sighting);
        let Some(change) = change else { return false };
        self.rate_changed(&lifetime, change, "its answer", now);
        self.peer_update_pending.send_replace(());
        true
    }

    /// Takes what a peer heard itself of a target's rate.
    pub(crate) fn merge_peer_rate(
        &mut self,
        lifetime: Lifetime,
        belief: &RateObservations,
        peer: &str,
        now: Instant,
    ) {
        if let Some(change) = self.rates.merge_peer(lifetime.clone(), belief) {
            self.rate_changed(&lifetime, change, peer, now);
        }
    }

    fn rate_changed(&mut self, lifetime: &Lifetime, change: RateChange, from: &str, now: Instant) {
        let per_s = |limit: Option<RateLimit>| limit.map(RateLimit::per_s);
        info!(self.log, "target's rate changed"; "target" => %lifetime.target, "born" => lifetime.born,
            "per_s" => per_s(change.now), "before" => per_s(change.before), "from" => from);
        self.hold_back_worker(lifetime, now);
        self.announcements_changed(lifetime);
    }

    /// Takes that a target wants no work from this VM for some time.
    fn leave_alone(&mut self, lifetime: &Lifetime, time: Duration, now: Instant) {
        // No clock goes on for long enough to overflow here: the time is at most a day.
        let until = now + time;
        if !self.backoffs.record(lifetime.clone(), until) {
            return;
        }
        info!(self.log, "target wants to be left alone"; "target" => %lifetime.target,
            "born" => lifetime.born, "for_ms" => time.as_millis());
        self.announcements_changed(lifetime);
    }

    /// Tells all who choose targets what one said of itself.
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

    /// Adds to a target's entry what the target said in answers.
    pub(crate) fn add_announcements(&self, target: &mut Target) {
        target.leaving |= self.departures.announced_at(target).is_some();
        target.backoff_until = self.backoffs.until(target);
        target.rate_limited_until = self.rates.held_until(target);
        let limit = self.rates.limit(target);
        target.request_interval = limit.map(|limit| Duration::from_secs_f64(1.0 / limit.per_s()));
    }

    /// For how long nothing may be sent to any target of a service, if some of them want no more than to be
    /// left alone for that time.
    pub(crate) fn time_until_open(&self, service: &ServiceName, now: Instant) -> Option<Duration> {
        let opens = self.targets.opens_at(service, now)?;
        Some(opens.saturating_duration_since(now)).filter(|time| !time.is_zero())
    }
}
