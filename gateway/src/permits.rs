//! Permits to send something to a target. Nothing is sent without one: a target that announces a
//! rate limit gets no more than that from all VMs together, by any path.
//!
//! The permit for a request to a plain target or an engine is requested from the VM that holds the
//! token buckets of the service. All VMs determine that VM alike, since requests may arrive at any
//! of them. A pool's calls are made by one VM, which holds the token buckets of its workers itself.

use std::rc::Rc;
use std::time::{Duration, Instant};

use eligibility::{Lifetime, PermitDecision, RateLimit};
use fleet::Owner;
use ids::{ServiceName, VmName};
use intent::Target;
use peering::work::{Permit as PermitReply, PermitAsk};
use slog::info;
use tokio::time::timeout;

use crate::app::App;
use crate::rate_messages::{decode_rate, encode_rate};
use crate::shared::Shared;
use crate::state_handle::now;

/// Longest wait for the answer of the VM that holds a token bucket; dozens of round trips between
/// halls.
const ASK_TIMEOUT: Duration = Duration::from_millis(60);
/// Pause before a permit is requested again when nobody answered: the VM that holds the token
/// buckets may be paused, or a link to it is about to be established.
const NO_OWNER_PAUSE: Duration = Duration::from_millis(100);
/// Shortest time for which a target is skipped after a denial. Without it, each request would spend
/// a round trip to another VM on a target that is at its rate limit.
const MIN_HOLD_BACK: Duration = Duration::from_millis(5);

/// Number of request intervals of a target for which release notices to it are batched.
const RELEASE_BATCH_INTERVALS: u32 = 3;
/// Longest time for which release notices are batched, since results expire by themselves after
/// some seconds.
const MAX_RELEASE_BATCH_WINDOW: Duration = Duration::from_secs(3);

/// The right to send one message to one target. Only this module creates permits.
pub(crate) struct Permit {
    app: Rc<App>,
    target: Target,
    kind: Kind,
}

/// What a permit is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Kind {
    /// New work for a target without a rate limit.
    Unlimited,
    /// New work that was counted against the target's rate limit.
    Counted,
    /// A release notice, which a target is sent whatever it has announced.
    Release,
}

impl Permit {
    /// Whether the permit may still be used. Between choosing a target and sending the first byte,
    /// a connection may have to be opened or a permit waited for, and the target's state may
    /// change.
    pub(crate) fn is_valid(&self) -> bool {
        self.kind == Kind::Release
            || self.app.state.with(|shared, now| {
                let is_counted = self.kind == Kind::Counted;
                let limit_announced_since =
                    !is_counted && shared.rates.limit(&self.target).is_some();
                !limit_announced_since && shared.takes_new_work(&self.target, now)
            })
    }
}

/// The target's rate limit allows no more for now.
#[derive(Debug)]
pub(crate) struct RateLimited;

/// Gets the permit for a request to the chosen target. Waits until the request may be sent, for
/// `within` at most.
///
/// # Errors
/// [`RateLimited`] if the permit is denied, or the VM that holds the token bucket doesn't answer.
pub(crate) async fn for_request(
    app: &Rc<App>,
    target: &Target,
    within: Duration,
) -> Result<Permit, RateLimited> {
    let Some(limit) = app.state.with(|shared, _| shared.rates.limit(target)) else {
        return Ok(permit(app, target, Kind::Unlimited));
    };
    let asked = now();
    let decision = decide(app, target, limit, within).await;
    let granted = matches!(decision, Some(PermitDecision::Granted(_)));
    app.metrics.permit_requested(target.service.as_str(), granted);
    match decision {
        Some(PermitDecision::Granted(wait)) => {
            tokio::time::sleep_until(tokio::time::Instant::from_std(asked + wait)).await;
            return Ok(permit(app, target, Kind::Counted));
        }
        Some(PermitDecision::Denied(wait)) => {
            app.state.with(|shared, now| shared.hold_back(target, now + wait.max(MIN_HOLD_BACK)));
        }
        None => app
            .state
            .with(|shared, now| shared.hold_back_all(&target.service, now + NO_OWNER_PAUSE)),
    }
    Err(RateLimited)
}

/// The permit for a pool's call, which is never denied: only one VM makes calls to such a target,
/// and only while the target is not held back.
pub(crate) fn for_pool_call(app: &Rc<App>, target: &Target) -> Permit {
    app.state.with(|shared, now| shared.consume(target, now));
    permit(app, target, Kind::Counted)
}

/// The permit for a release notice. It is not counted: each request releases its own results, and
/// six notices would keep a worker that takes two calls a second from work for three seconds.
pub(crate) fn for_release(app: &Rc<App>, target: &Target) -> Permit {
    permit(app, target, Kind::Release)
}

/// Time for which release notices to a target are batched; `None` if it announces no rate limit.
/// Batching keeps them few compared to the calls that the rate allows, in case the target counts
/// them against its limit.
pub(crate) fn release_batch_window(app: &App, target: &Target) -> Option<Duration> {
    let interval = app.state.with(|shared, _| shared.targets.get(&target.id)?.request_interval)?;
    Some((interval * RELEASE_BATCH_INTERVALS).min(MAX_RELEASE_BATCH_WINDOW))
}

/// The permit to ask a worker for its report; `None` if it announces a rate limit, since that is
/// kept for the pool's calls.
pub(crate) fn for_report(app: &Rc<App>, target: &Target) -> Option<Permit> {
    let is_rate_limited = app.state.with(|shared, _| shared.rates.limit(target).is_some());
    (!is_rate_limited).then(|| permit(app, target, Kind::Unlimited))
}

/// Creates a permit.
fn permit(app: &Rc<App>, target: &Target, kind: Kind) -> Permit {
    Permit { app: Rc::clone(app), target: target.clone(), kind }
}

/// The decision of the VM that holds the token bucket; `None` if nobody answers.
async fn decide(
    app: &Rc<App>,
    target: &Target,
    limit: RateLimit,
    within: Duration,
) -> Option<PermitDecision> {
    let owner = app.state.with(|shared, now| shared.update_bucket_owner(&target.service, now));
    match owner {
        Owner::This => Some(app.state.with(|shared, now| {
            shared.token_buckets.acquire(&Lifetime::from(target), limit, within, now)
        })),
        Owner::Peer(vm) => ask_peer(app, &vm, build_permit_ask(app, target, within)).await,
        Owner::Unknown => None,
    }
}

/// Asks a peer for a permit; `None` if it does not answer in time.
async fn ask_peer(app: &App, vm: &VmName, ask: PermitAsk) -> Option<PermitDecision> {
    let link = app.links.borrow().get(vm).cloned()?;
    let reply = timeout(ASK_TIMEOUT, link.request_permit(ask)).await.ok()?.ok()?;
    let wait = Duration::from_millis(u64::from(reply.wait_ms));
    Some(if reply.granted { PermitDecision::Granted(wait) } else { PermitDecision::Denied(wait) })
}

/// The request for a permit, with what this VM has observed of the target's rate.
fn build_permit_ask(app: &App, target: &Target, within: Duration) -> PermitAsk {
    app.state.with(|shared, now| {
        let lifetime = Lifetime::from(target);
        let own = shared.rates.own_observations(&lifetime).cloned().unwrap_or_default();
        let within_ms = u32::try_from(within.as_millis()).unwrap_or(u32::MAX);
        let rate = Some(encode_rate(&lifetime, &own, now));
        PermitAsk { number: 0, rate, within_ms, passed_on: false }
    })
}

/// Answers a peer that asks for a permit; `None` if its request can't be read.
pub(crate) async fn answer(app: &App, vm: &str, ask: PermitAsk) -> Option<PermitReply> {
    let (lifetime, observations) = ask.rate.as_ref().and_then(|rate| decode_rate(rate, now()))?;
    let number = ask.number;
    let owner = app.state.with(|shared, now| {
        shared.merge_peer_rate(lifetime.clone(), &observations, vm, now);
        let service = shared.targets.service_of(&lifetime.target).cloned()?;
        Some(shared.update_bucket_owner(&service, now))
    });
    let decision = match owner {
        Some(Owner::This) => Some(decide_here(app, &lifetime, &ask)),
        // The asking VM may know fewer VMs, or learn of them later. Two token buckets for one
        // target would admit twice its rate, so the request is forwarded, once.
        Some(Owner::Peer(owner)) if !ask.passed_on => {
            ask_peer(app, &owner, PermitAsk { passed_on: true, ..ask }).await
        }
        Some(Owner::Peer(_) | Owner::Unknown) | None => None,
    };
    let (granted, wait) = match decision {
        Some(PermitDecision::Granted(wait)) => (true, wait),
        Some(PermitDecision::Denied(wait)) => (false, wait),
        None => (false, NO_OWNER_PAUSE),
    };
    let wait_ms = u32::try_from(wait.as_millis()).unwrap_or(u32::MAX);
    Some(PermitReply { number, granted, wait_ms })
}

/// Decides about a permit with the token buckets of this VM.
fn decide_here(app: &App, lifetime: &Lifetime, ask: &PermitAsk) -> PermitDecision {
    let within = Duration::from_millis(u64::from(ask.within_ms));
    app.state.with(|shared, now| match shared.rates.limit_of(lifetime) {
        Some(limit) => shared.token_buckets.acquire(lifetime, limit, within, now),
        // This VM has learned meanwhile that the target has no rate limit.
        None => PermitDecision::Granted(Duration::ZERO),
    })
}

impl Shared {
    /// Determines the VM that holds the token buckets of a service's targets. If this VM takes them
    /// over from another, it drops its old ones, since it does not know what the other VM granted.
    pub(crate) fn update_bucket_owner(&mut self, service: &ServiceName, now: Instant) -> Owner {
        let owner = self.bucket_owner(service, now);
        let previous = self.token_bucket_owners.insert(service.clone(), owner.clone());
        if owner == Owner::This && previous.is_some_and(|previous| previous != Owner::This) {
            let targets: Vec<Lifetime> =
                self.targets.of_service(service).map(Lifetime::from).collect();
            targets.iter().for_each(|lifetime| self.token_buckets.remove(lifetime));
        }
        owner
    }

    /// Determines the owners of token buckets again, so that a change is noticed even if nobody
    /// requests a permit.
    pub(crate) fn refresh_bucket_owners(&mut self, now: Instant) {
        for service in self.rate_limited_services() {
            self.update_bucket_owner(&service, now);
        }
    }

    /// Whether a chosen target may still be sent new work: it is still the same process and still
    /// eligible, whatever its rate limit.
    fn takes_new_work(&self, chosen: &Target, now: Instant) -> bool {
        let known = self.targets.get(&chosen.id);
        known.filter(|known| Lifetime::from(*known) == Lifetime::from(chosen)).is_some_and(
            |known| {
                // The permit was already counted, so the rate limit is ignored here.
                let known = Target { rate_limited_until: None, ..known.clone() };
                self.halls.eligibility(&known, now).is_allowed()
            },
        )
    }

    /// Services, except pools, with a target that announces a rate limit. Permits may be requested
    /// for them.
    pub(crate) fn rate_limited_services(&self) -> Vec<ServiceName> {
        let rate_limited = self.rates.all().filter_map(|(lifetime, ..)| {
            let service = self.targets.service_of(&lifetime.target)?;
            (!self.pools.contains_key(service)).then(|| service.clone())
        });
        let mut services: Vec<ServiceName> = rate_limited.collect();
        services.sort_unstable();
        services.dedup();
        services
    }

    /// Holds a target back until `until`, since its rate limit is used up.
    fn hold_back(&mut self, target: &Target, until: Instant) {
        let lifetime = Lifetime::from(target);
        self.rates.hold_until(&lifetime, until);
        self.announcements_changed(&lifetime);
    }

    /// Holds back all targets of a service that announce a rate limit.
    fn hold_back_all(&mut self, service: &ServiceName, until: Instant) {
        let targets = self.targets.of_service(service);
        let rate_limited: Vec<Target> =
            targets.filter(|target| self.rates.limit(target).is_some()).cloned().collect();
        rate_limited.iter().for_each(|target| self.hold_back(target, until));
    }

    /// Counts a call to a target and holds it back until its rate limit allows the next one.
    fn consume(&mut self, target: &Target, now: Instant) {
        let lifetime = Lifetime::from(target);
        let Some(limit) = self.rates.limit(target) else { return };
        let wait = self.token_buckets.consume(&lifetime, limit, now);
        self.hold_back(target, now + wait);
    }

    /// Called when a worker of a pool changes its rate limit: holds it back until the new limit
    /// allows a call.
    pub(crate) fn hold_back_worker(&mut self, lifetime: &Lifetime, now: Instant) {
        let Some(target) = self.targets.get(&lifetime.target).cloned() else { return };
        if !self.pools.contains_key(&target.service) {
            return;
        }
        if let Some(limit) = self.rates.limit(&target) {
            let wait = self.token_buckets.time_until_permit(lifetime, limit, now);
            self.rates.hold_until(lifetime, now + wait);
        }
    }
}

/// Logs that a target was skipped for a request because of its rate limit.
pub(crate) fn log_skipped(app: &App, request: &ids::RequestId, target: &Target) {
    info!(app.log, "target skipped"; "request" => %request, "target" => %target.id,
        "why" => "it is at its rate limit");
}
