//! Permits to send something to a target. Nothing is sent to one without: a target that names the rate which it
//! takes gets no more than that from all VMs together, whichever way leads to it.
//!
//! A request to a plain target or an engine is asked for at the VM that holds the accounts of the service, which
//! all VMs find alike; it may come in at any of them. A pool's calls are made by one VM, which holds the accounts
//! of its workers itself.

use std::rc::Rc;
use std::time::{Duration, Instant};

use eligibility::{Decision, Lifetime, RateLimit};
use fleet::{Owner, Part, Split};
use ids::{ServiceName, VmName};
use intent::Target;
use peering::work::{Permit as Told, PermitAsk};
use slog::info;
use tokio::time::timeout;

use crate::app::App;
use crate::hub::now;
use crate::rate_messages::{decode_rate, encode_rate};
use crate::shared::Shared;

/// Longest wait for the word of the VM that holds an account: dozens of ways between halls.
const ASK_WAIT: Duration = Duration::from_millis(60);
/// Pause before the accounts of a service are asked again where nobody answered: the VM that holds them may stand
/// still, or a link to it is about to be made.
const NOBODY_WAIT: Duration = Duration::from_millis(100);
/// Least time for which a target is not asked for again once it was denied: without one, each request would
/// spend a way to another VM on a target that is at its rate.
const LEAST_HOLD: Duration = Duration::from_millis(5);

/// Pauses between two requests by a target's rate for which words to it are gathered.
const PAUSES_GATHERED: u32 = 3;
/// Longest time for which they are: results run out by themselves after some seconds.
const LONGEST_GATHERED: Duration = Duration::from_secs(3);

/// May be sent to one target once. Only this module gives any.
pub(crate) struct Permit {
    app: Rc<App>,
    target: Target,
    kind: Kind,
}

/// What a permit is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Kind {
    /// New work for a target that names no rate.
    Free,
    /// New work that was counted.
    Counted,
    /// Word that results are given up, which a target is told whatever it said.
    Release,
}

impl Permit {
    /// Whether it may still be used: between a choice and the first byte that is sent a connection may have to be
    /// opened, or a permit waited for, and word of the target may come.
    pub(crate) fn holds(&self) -> bool {
        self.kind == Kind::Release
            || self.app.hub.with(|shared, now| {
                let is_counted = self.kind == Kind::Counted;
                let named_since = !is_counted && shared.rates.limit(&self.target).is_some();
                !named_since && shared.takes_new_work(&self.target, now)
            })
    }
}

/// The target takes nothing more for now.
#[derive(Debug)]
pub(crate) struct AtItsRate;

/// The permit for a request to a target that was chosen; it waits until it may be sent, for `within` at most.
pub(crate) async fn for_request(
    app: &Rc<App>,
    target: &Target,
    within: Duration,
) -> Result<Permit, AtItsRate> {
    let Some(limit) = app.hub.with(|shared, _| shared.rates.limit(target)) else {
        return Ok(permit(app, target, Kind::Free));
    };
    let asked = now();
    let decision = decide(app, target, limit, within).await;
    let granted = matches!(decision, Some(Decision::Granted(_)));
    app.metrics.permit_requested(target.service.as_str(), granted);
    match decision {
        Some(Decision::Granted(wait)) => {
            tokio::time::sleep_until(tokio::time::Instant::from_std(asked + wait)).await;
            return Ok(permit(app, target, Kind::Counted));
        }
        Some(Decision::Denied(wait)) => {
            app.hub.with(|shared, now| shared.hold_back(target, now + wait.max(LEAST_HOLD)));
        }
        None => {
            app.hub.with(|shared, now| shared.hold_back_all(&target.service, now + NOBODY_WAIT))
        }
    }
    Err(AtItsRate)
}

/// The permit for a call that is made by the one VM that makes any to this target. Such calls are made while the
/// target is not held back only.
pub(crate) fn for_pool_call(app: &Rc<App>, target: &Target) -> Permit {
    app.hub.with(|shared, now| shared.spend(target, now));
    permit(app, target, Kind::Counted)
}

/// The permit for word that results are given up. It is not counted: each request gives its results up by itself, and
/// six of them in one call would keep a worker that takes two calls a second from work for three.
pub(crate) fn for_release(app: &Rc<App>, target: &Target) -> Permit {
    permit(app, target, Kind::Release)
}

/// Time for which such words to a target are gathered into one, if it names a rate: they stay few beside the
/// calls that its rate allows, also where the target counts them.
pub(crate) fn release_batch_window(app: &App, target: &Target) -> Option<Duration> {
    let pause = app.hub.with(|shared, _| shared.targets.get(&target.id)?.request_interval)?;
    Some((pause * PAUSES_GATHERED).min(LONGEST_GATHERED))
}

/// The permit to ask a worker for its report; `None` if it names a rate, of which its calls need each part.
pub(crate) fn for_report(app: &Rc<App>, target: &Target) -> Option<Permit> {
    let names_rate = app.hub.with(|shared, _| shared.rates.limit(target).is_some());
    (!names_rate).then(|| permit(app, target, Kind::Free))
}

fn permit(app: &Rc<App>, target: &Target, kind: Kind) -> Permit {
    Permit { app: Rc::clone(app), target: target.clone(), kind }
}

/// What the VM that holds the account says; `None` if nobody answers.
async fn decide(
    app: &Rc<App>,
    target: &Target,
    limit: RateLimit,
    within: Duration,
) -> Option<Decision> {
    let owner = app.hub.with(|shared, now| shared.account_owner(&target.service, now));
    match owner {
        Owner::This => Some(app.hub.with(|shared, now| {
            shared.token_buckets.acquire(&Lifetime::from(target), limit, within, now)
        })),
        Owner::Peer(vm) => ask_peer(app, &vm, question(app, target, within)).await,
        Owner::Unknown => None,
    }
}

async fn ask_peer(app: &App, vm: &VmName, ask: PermitAsk) -> Option<Decision> {
    let link = app.links.borrow().get(vm).cloned()?;
    let told = timeout(ASK_WAIT, link.request_permit(ask)).await.ok()?.ok()?;
    let wait = Duration::from_millis(u64::from(told.wait_ms));
    Some(if told.granted { Decision::Granted(wait) } else { Decision::Denied(wait) })
}

fn question(app: &App, target: &Target, within: Duration) -> PermitAsk {
    app.hub.with(|shared, now| {
        let lifetime = Lifetime::from(target);
        let own = shared.rates.own_observations(&lifetime).cloned().unwrap_or_default();
        let within_ms = u32::try_from(within.as_millis()).unwrap_or(u32::MAX);
        let rate = Some(encode_rate(&lifetime, &own, now));
        PermitAsk { number: 0, rate, within_ms, passed_on: false }
    })
}

/// Answers a peer that asks for a permit; `None` if what it asks for can't be read.
pub(crate) async fn answer(app: &App, vm: &str, ask: PermitAsk) -> Option<Told> {
    let (lifetime, belief) = ask.rate.as_ref().and_then(|rate| decode_rate(rate, now()))?;
    let number = ask.number;
    let owner = app.hub.with(|shared, now| {
        shared.merge_peer_rate(lifetime.clone(), &belief, vm, now);
        let service = shared.targets.service_of(&lifetime.target).cloned()?;
        Some(shared.account_owner(&service, now))
    });
    let decision = match owner {
        Some(Owner::This) => Some(decide_here(app, &lifetime, &ask)),
        // Whoever asks knows fewer VMs, or later; two accounts of one target would be twice its rate.
        Some(Owner::Peer(owner)) if !ask.passed_on => {
            ask_peer(app, &owner, PermitAsk { passed_on: true, ..ask }).await
        }
        Some(Owner::Peer(_) | Owner::Unknown) | None => None,
    };
    let (granted, wait) = match decision {
        Some(Decision::Granted(wait)) => (true, wait),
        Some(Decision::Denied(wait)) => (false, wait),
        None => (false, NOBODY_WAIT),
    };
    let wait_ms = u32::try_from(wait.as_millis()).unwrap_or(u32::MAX);
    Some(Told { number, granted, wait_ms })
}

fn decide_here(app: &App, lifetime: &Lifetime, ask: &PermitAsk) -> Decision {
    let within = Duration::from_millis(u64::from(ask.within_ms));
    app.hub.with(|shared, now| match shared.rates.limit_of(lifetime) {
        Some(limit) => shared.token_buckets.acquire(lifetime, limit, within, now),
        // Others have heard since that it takes whatever comes.
        None => Decision::Granted(Duration::ZERO),
    })
}

impl Shared {
    /// Who holds the accounts of a service's targets. One that this VM held before somebody else did is closed: it
    /// does not know what that one handed out.
    pub(crate) fn account_owner(&mut self, service: &ServiceName, now: Instant) -> Owner {
        let owner = self.account_owner_known(service, now);
        let before = self.token_bucket_owners.insert(service.clone(), owner.clone());
        if owner == Owner::This && before.is_some_and(|before| before != Owner::This) {
            let targets: Vec<Lifetime> =
                self.targets.of_service(service).map(Lifetime::from).collect();
            targets.iter().for_each(|lifetime| self.token_buckets.remove(lifetime));
        }
        owner
    }

    /// The same, for whoever only looks.
    pub(crate) fn account_owner_known(&self, service: &ServiceName, now: Instant) -> Owner {
        let (split, draining) = (Split::default(), self.is_stopping());
        self.fleet.owner_of(service.as_str(), &split, Part::default(), draining, now)
    }

    /// Looks who holds the accounts now, so that a change is seen though nobody asks.
    pub(crate) fn refresh_account_owners(&mut self, now: Instant) {
        for service in self.rate_limited_services() {
            self.account_owner(&service, now);
        }
    }

    /// Whether a target may still be sent what was permitted.
    fn takes_new_work(&self, chosen: &Target, now: Instant) -> bool {
        let known = self.targets.get(&chosen.id);
        known.filter(|known| Lifetime::from(*known) == Lifetime::from(chosen)).is_some_and(
            |known| {
                // That it is at its rate by now was counted before.
                let known = Target { rate_limited_until: None, ..known.clone() };
                self.halls.eligibility(&known, now).is_allowed()
            },
        )
    }

    /// Services, but for pools, some target of which names a rate: their accounts may be asked for.
    pub(crate) fn rate_limited_services(&self) -> Vec<ServiceName> {
        let rated = self.rates.all().filter_map(|(lifetime, ..)| {
            let service = self.targets.service_of(&lifetime.target)?;
            (!self.pools.contains_key(service)).then(|| service.clone())
        });
        let mut services: Vec<ServiceName> = rated.collect();
        services.sort_unstable();
        services.dedup();
        services
    }

    /// Sends a target nothing before `until`, since its rate is used up.
    fn hold_back(&mut self, target: &Target, until: Instant) {
        let lifetime = Lifetime::from(target);
        self.rates.hold_until(&lifetime, until);
        self.announcements_changed(&lifetime);
    }

    /// Sends nothing before `until` to any target of a service that names a rate.
    fn hold_back_all(&mut self, service: &ServiceName, until: Instant) {
        let targets = self.targets.of_service(service);
        let rated: Vec<Target> =
            targets.filter(|target| self.rates.limit(target).is_some()).cloned().collect();
        rated.iter().for_each(|target| self.hold_back(target, until));
    }

    /// Counts what is sent to a target and holds it back until it takes more.
    fn spend(&mut self, target: &Target, now: Instant) {
        let lifetime = Lifetime::from(target);
        let Some(limit) = self.rates.limit(target) else { return };
        let wait = self.token_buckets.consume(&lifetime, limit, now);
        self.hold_back(target, now + wait);
    }

    /// A worker of a pool names another rate than before: it is held back until it takes more by that.
    pub(crate) fn hold_back_worker(&mut self, lifetime: &Lifetime, now: Instant) {
        let Some(target) = self.targets.get(&lifetime.target).cloned() else { return };
        if !self.pools.contains_key(&target.service) {
            return;
        }
        if let Some(limit) = self.rates.limit(&target) {
            let wait = self.token_buckets.wait(lifetime, limit, now);
            self.rates.hold_until(lifetime, now + wait);
        }
    }
}

/// Logs that a target was passed over for a request.
pub(crate) fn tell_passed_over(app: &App, request: &ids::RequestId, target: &Target) {
    info!(app.log, "target passed over"; "request" => %request, "target" => %target.id,
        "why" => "it is at its rate");
}
