//! Versions of streams on this VM: at which one a new stream begins, and at which one a stream that a
//! caller resumes goes on. What follows from the shares of the versions, and what is recorded of
//! single streams, is in the `stream_versions` crate.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::{Duration, Instant};

use ids::{RequestId, ServiceName, TargetName};
use intent::{Intent, Target};
use peering::work::{OriginSource, StreamAsk, StreamOrigin, StreamStart, StreamStarts};
use rollout::{TargetVersion, Versions};
use selection::{Availability, SelectionRequest};
use slog::info;
use stream_versions::{DeviationNeed, Record, Records, StreamKey, VersionPlan};
use tokio::time::timeout;

use crate::app::App;
use crate::outbound_links::Link;
use crate::requests::AcceptedRequest;
use crate::shared::Shared;
use crate::state_handle::{now, time_until};
use crate::version_plans;

/// Longest wait for what peers know of a stream; dozens of round trips between halls.
const ASK_TIMEOUT: Duration = Duration::from_millis(80);
/// Time for which a VM that the store does not answer may begin streams by shares that others have
/// replaced.
const MAX_SHARES_LAG: Duration = Duration::from_secs(15);

/// What this VM knows of the versions of streams.
#[derive(Debug, Default)]
pub(crate) struct StreamOrigins {
    /// Time from the first event of a stream during which it may be resumed.
    pub(crate) horizon: Duration,
    /// Plans of the services whose streams may be resumed, or might be by an earlier configuration.
    pub(crate) plans: BTreeMap<ServiceName, VersionPlan>,
    pub(crate) records: Records,
    /// Streams to announce to peers.
    unsent: Vec<Record>,
    /// Versions whose streams have to begin at another one on this VM, until the store's plan says
    /// so.
    pub(crate) deviations: BTreeMap<(ServiceName, TargetVersion), DeviationNeed>,
}

impl StreamOrigins {
    /// Applies a new configuration.
    pub(crate) fn set_intent(&mut self, intent: &Intent) {
        let resumable = || intent.entries().filter(|entry| entry.streams && entry.repeatable);
        let longest = resumable().map(|entry| entry.max_duration).max().unwrap_or_default();
        self.horizon = longest + MAX_SHARES_LAG;
        for share in resumable().flat_map(|entry| &entry.shares) {
            self.plans.entry(share.service.clone()).or_default();
        }
    }

    /// Has the streams of this VM announced to peers whose versions no longer follow from the plan.
    pub(crate) fn recheck(&mut self, service: &ServiceName, now: Instant) {
        let Some(plan) = self.plans.get(service) else { return };
        let horizon = self.horizon;
        let is_known = |record: &Record| {
            record.service != *service
                || plan.origin(record.stream, horizon, now) == Some(&record.version)
        };
        self.unsent.extend(self.records.take_unpublished(is_known));
    }

    /// Has the plan say that streams of a version may begin at another one.
    fn request_deviation(
        &mut self,
        service: &ServiceName,
        version: TargetVersion,
        need: DeviationNeed,
    ) {
        let requested =
            self.deviations.entry((service.clone(), version)).or_insert(DeviationNeed::Known);
        *requested = need.max(*requested);
    }

    /// Records a stream of which this VM sends events. It is announced to peers if its version does
    /// not follow from the plan; with `in_advance`, also if it might not after the next change.
    fn record_own(&mut self, record: Record, target: &TargetName, in_advance: bool, now: Instant) {
        let plan = self.plans.get(&record.service);
        let is_known = plan.is_some_and(|plan| {
            let has_one_version = plan.sole_version(self.horizon, now).is_some();
            let origin = plan.origin(record.stream, self.horizon, now);
            origin == Some(&record.version) && (has_one_version || !in_advance)
        });
        if !is_known {
            self.unsent.push(record.clone());
        }
        self.records.record_own(record, target, !is_known);
    }

    /// Handles that a target's entry states another version than before. Streams may have begun there
    /// since its process changed and before the entry arrived.
    pub(crate) fn version_changed(&mut self, target: &TargetName, version: &TargetVersion) {
        self.unsent.extend(self.records.version_changed(target, version));
    }
}

/// How a VM knows the version that began a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Source {
    /// This VM recorded the stream.
    Record,
    /// A peer did.
    Peer,
    /// It follows from the shares of the versions.
    Shares,
}

impl Source {
    /// Name in the log and metrics.
    fn name(self) -> &'static str {
        match self {
            Source::Record => "record",
            Source::Peer => "peer",
            Source::Shares => "shares",
        }
    }
}

/// Whether the attempts of a request have to stay at one version.
pub(crate) fn is_resumable(req: &AcceptedRequest) -> bool {
    req.entry.streams && req.entry.repeatable
}

/// The key of the stream whose first event the request `first` of the same caller brought.
fn key(req: &AcceptedRequest, first: &RequestId) -> StreamKey {
    StreamKey::new(&req.service, req.customer.as_ref(), first)
}

/// The key of the stream that a request begins or resumes; `None` if it does not name the first one.
fn key_of(req: &AcceptedRequest) -> Option<StreamKey> {
    let is_resumption = req.head.last_event.is_some();
    let first = if is_resumption { req.head.resumes.as_ref() } else { Some(&req.id) };
    first.map(|first| key(req, first))
}

/// Whether it has become uncertain which version began the stream of a request.
pub(crate) fn is_uncertain(app: &App, req: &AcceptedRequest) -> bool {
    app.state.with(|shared, _| {
        key_of(req).is_some_and(|stream| shared.stream_origins.records.is_ambiguous(stream))
    })
}

/// Records the version that began a stream, once its first event arrived, and announces the stream to
/// peers if they can't compute its version.
pub(crate) fn stream_begun(app: &App, req: &AcceptedRequest, target: &Target) {
    let Some(stream) = key_of(req) else { return };
    let is_resumption = req.head.last_event.is_some();
    app.state.with(|shared, now| {
        // In a large fleet, a few VMs receive the announcements of all others.
        let in_advance = shared.fleet.is_full_mesh();
        let versions = &mut shared.stream_origins;
        let record = Record {
            stream,
            service: req.service.clone(),
            version: target.version.clone(),
            expires: now + versions.horizon,
        };
        versions.record_own(record, &target.id, in_advance, now);
        if !is_resumption {
            shared.check_deviation(req, &target.version, now);
        }
    });
    send_unsent(app);
    if app.state.with(|shared, _| !shared.stream_origins.deviations.is_empty()) {
        app.versions_deviate.notify_one();
    }
}

/// The version that began the stream which a caller resumes; `None` if this VM can't determine it.
pub(crate) async fn origin(app: &Rc<App>, req: &AcceptedRequest) -> Option<TargetVersion> {
    let found = match req.head.resumes.as_ref().map(|first| key(req, first)) {
        Some(stream) => find(app, &req.service, stream).await,
        None => find_sole(app, &req.service).await,
    };
    let source = found.as_ref().map_or("unknown", |(_, source)| source.name());
    let version = found.map(|(version, _)| version);
    app.metrics.stream_resumption(req.service.as_str(), source);
    info!(app.log, "stream resumption requested"; "request" => %req.id, "after" => req.head.last_event,
        "first" => req.head.resumes.as_ref().map(ToString::to_string), "known_by" => source,
        "version" => version.as_ref().and_then(Option::as_ref).map(ToString::to_string));
    version
}

/// The version of all streams of a service, if there is only one, for a caller that does not name the
/// request that began the stream.
async fn find_sole(app: &Rc<App>, service: &ServiceName) -> Option<(TargetVersion, Source)> {
    if app.state.with(|shared, now| shared.fleet.is_alone(now))
        && !version_plans::read_again(app, service).await
    {
        return None;
    }
    app.state.with(|shared, now| shared.sole_version(service, now))
}

/// Looks for the version of a stream in this VM's records, then in those of peers, then in the shares
/// of the versions.
async fn find(
    app: &Rc<App>,
    service: &ServiceName,
    stream: StreamKey,
) -> Option<(TargetVersion, Source)> {
    let (recorded, is_ambiguous) = app.state.with(|shared, now| {
        let is_ambiguous = shared.stream_origins.records.is_ambiguous(stream);
        (shared.recorded_version(stream, now), is_ambiguous)
    });
    if recorded.is_some() || is_ambiguous {
        return recorded.map(|version| (version, Source::Record));
    }
    let replies = ask_peers(app, service, stream).await;
    if let Some(reply) = replies.iter().find(|reply| reply.source() == OriginSource::Recorded) {
        return Some((decode_version(reply.version.as_deref())?, Source::Peer));
    }
    // A VM that no peer answers may not know the latest shares.
    let is_alone = replies.is_empty() && app.state.with(|shared, _| shared.fleet.size()) > 1;
    if is_alone && !version_plans::read_again(app, service).await {
        return None;
    }
    let from_shares = app.state.with(|shared, now| {
        if !shared.contact.is_lost(now) || replies.is_empty() {
            return shared.version_by_shares(service, stream, now);
        }
        // Others may have newer shares than this VM.
        let in_contact = |reply: &&StreamOrigin| reply.source() != OriginSource::StoreLost;
        match replies.iter().find(in_contact) {
            Some(reply) if reply.source() == OriginSource::Shares => {
                decode_version(reply.version.as_deref())
            }
            Some(_) => None,
            None => shared.version_by_shares(service, stream, now),
        }
    });
    from_shares.map(|version| (version, Source::Shares))
}

/// Asks the peers that streams are announced to; returns the replies that arrived in time.
async fn ask_peers(app: &App, service: &ServiceName, stream: StreamKey) -> Vec<StreamOrigin> {
    let ask = StreamAsk { number: 0, stream: stream.0, service: service.to_string() };
    let recipients = recipients(app).into_iter().filter(|recipient| !recipient.passes_on);
    let pending: Vec<_> =
        recipients.map(|recipient| recipient.link.request_stream_origin(ask.clone())).collect();
    let until = now() + ASK_TIMEOUT;
    let mut replies = Vec::new();
    for reply in pending {
        if let Ok(Ok(reply)) = timeout(time_until(until), reply).await {
            replies.push(reply);
        }
    }
    replies
}

/// Answers a peer that asks for the version of a stream.
pub(crate) fn answer(app: &App, ask: &StreamAsk) -> StreamOrigin {
    let (source, version) = app.state.with(|shared, now| {
        let stream = StreamKey(ask.stream);
        if let Some(version) = shared.recorded_version(stream, now) {
            return (OriginSource::Recorded, Some(version));
        }
        if shared.contact.is_lost(now) {
            return (OriginSource::StoreLost, None);
        }
        let service = ServiceName::new(&ask.service).ok();
        match service.and_then(|service| shared.version_by_shares(&service, stream, now)) {
            Some(version) => (OriginSource::Shares, Some(version)),
            None => (OriginSource::Unknown, None),
        }
    });
    let version = version.flatten().map(|version| version.to_string());
    StreamOrigin { number: ask.number, source: source.into(), version }
}

/// Records the streams that a peer announces, and forwards them if the peer asks for that.
pub(crate) fn apply_starts(app: &App, message: StreamStarts) {
    let now = now();
    app.state.with(|shared, _| {
        for record in message.starts.iter().filter_map(|start| decode_start(start, now)) {
            shared.stream_origins.records.record_of_peer(record);
        }
    });
    if message.pass_on {
        let to_hall = StreamStarts { pass_on: false, ..message };
        for recipient in recipients(app).into_iter().filter(|recipient| !recipient.passes_on) {
            recipient.link.send_stream_starts(to_hall.clone());
        }
    }
}

/// Announces to a peer that was just linked the streams that were announced to others.
pub(crate) fn send_published(app: &App, link: &Link) {
    let starts: Vec<StreamStart> = app.state.with(|shared, now| {
        shared.stream_origins.records.published(now).map(|record| encode_start(&record)).collect()
    });
    if !starts.is_empty() {
        link.send_stream_starts(StreamStarts { starts, pass_on: false });
    }
}

/// Announces to peers the streams that were not announced yet.
pub(crate) fn send_unsent(app: &App) {
    let unsent = app.state.with(|shared, _| std::mem::take(&mut shared.stream_origins.unsent));
    if unsent.is_empty() {
        return;
    }
    let starts: Vec<StreamStart> = unsent.iter().map(encode_start).collect();
    for Recipient { link, passes_on } in recipients(app) {
        link.send_stream_starts(StreamStarts { starts: starts.clone(), pass_on: passes_on });
    }
}

/// A peer that streams are announced to.
struct Recipient {
    link: Rc<Link>,
    /// Whether it forwards them to others of its hall.
    passes_on: bool,
}

/// The peers that streams are announced to: all in a small fleet; in a large one the linked ones of this
/// VM's hall, which all VMs of the hall are linked to, and one of each other hall.
fn recipients(app: &App) -> Vec<Recipient> {
    let links = app.links.borrow();
    app.state.with(|shared, _| {
        let is_small = shared.fleet.is_full_mesh();
        let mut reached = BTreeSet::new();
        let mut recipients = Vec::new();
        for (vm, link) in links.iter() {
            let entry = shared.fleet.peers.get(vm).and_then(|peer| peer.entry.as_ref());
            let Some(hall) = entry.map(|entry| &entry.hall) else { continue };
            let passes_on = !is_small && *hall != shared.own_hall;
            if !passes_on || reached.insert(hall) {
                recipients.push(Recipient { link: Rc::clone(link), passes_on });
            }
        }
        recipients
    })
}

fn encode_start(record: &Record) -> StreamStart {
    StreamStart {
        stream: record.stream.0,
        service: record.service.to_string(),
        version: record.version.as_ref().map(ToString::to_string),
        left_ms: u32::try_from(time_until(record.expires).as_millis()).unwrap_or(u32::MAX),
    }
}

/// Decodes a stream's start; `None` if one of its names is invalid.
fn decode_start(start: &StreamStart, now: Instant) -> Option<Record> {
    Some(Record {
        stream: StreamKey(start.stream),
        service: ServiceName::new(&start.service).ok()?,
        version: decode_version(start.version.as_deref())?,
        expires: now + Duration::from_millis(u64::from(start.left_ms)),
    })
}

/// Decodes a version; `None` if its name is invalid.
fn decode_version(name: Option<&str>) -> Option<TargetVersion> {
    name.map(|name| ids::VersionName::new(name).ok()).map_or(Some(None), |name| name.map(Some))
}

impl Shared {
    /// The version of a stream that this VM recorded.
    fn recorded_version(&self, stream: StreamKey, now: Instant) -> Option<TargetVersion> {
        self.stream_origins.records.version_of(stream, now).cloned()
    }

    /// The version of a stream that follows from the shares of the versions.
    fn version_by_shares(
        &self,
        service: &ServiceName,
        stream: StreamKey,
        now: Instant,
    ) -> Option<TargetVersion> {
        if self.stream_origins.records.is_ambiguous(stream) {
            return None;
        }
        let plan = self.stream_origins.plans.get(service)?;
        let horizon = self.stream_origins.horizon;
        // Older builds begin streams at any version.
        let all_share = self.fleet.peers.values().all(|peer| peer.shares_versions);
        let origin = if all_share {
            plan.origin(stream, horizon, now)
        } else {
            plan.sole_version(horizon, now)
        };
        origin.cloned()
    }

    /// The version of all streams of a service that may be resumed, if there is only one.
    fn sole_version(&self, service: &ServiceName, now: Instant) -> Option<(TargetVersion, Source)> {
        let plan = self.stream_origins.plans.get(service)?;
        let sole = plan.sole_version(self.stream_origins.horizon, now)?;
        (!self.contact.is_lost(now)).then(|| (sole.clone(), Source::Shares))
    }

    /// Versions of targets to which an attempt at a new stream may be sent: the one that follows from
    /// the shares, unless another one can run it sooner. `wanted` tells what rollouts allow.
    pub(crate) fn versions_for_stream(
        &mut self,
        req: &AcceptedRequest,
        wanted: &SelectionRequest<'_>,
        now: Instant,
    ) -> Versions {
        let allowed = wanted.versions;
        let Some(plan) = self.stream_origins.plans.get(&req.service) else {
            return allowed.clone();
        };
        let stream = key(req, &req.id);
        let ranked = plan.ranked(stream).into_iter();
        let permitted = ranked
            .filter(|version| allowed.permits(version.as_ref()) && self.stays(req, version, now));
        let rated: Vec<(Availability, &TargetVersion)> = permitted
            .map(|version| {
                let versions = &Versions::Exactly(version.clone());
                let wanted = SelectionRequest { versions, ..*wanted };
                (self.targets.availability(&wanted, now), version)
            })
            .collect();
        // Of equally good ones the first.
        let best = rated.iter().min_by_key(|(availability, _)| availability);
        let (Some(first), Some(best)) = (rated.first(), best) else { return allowed.clone() };
        if best.0 == Availability::None {
            return allowed.clone();
        }
        if first.1 == best.1 {
            return Versions::Exactly(first.1.clone());
        }
        // A stream that can wait for a slot begins at another version only once all VMs can know
        // that such streams exist.
        let is_known = plan.may_deviate(first.1, stream, self.stream_origins.horizon, now);
        let waits = first.0 == Availability::Busy && !is_known;
        let need = match first.0 {
            _ if is_known => DeviationNeed::Known,
            Availability::Busy => DeviationNeed::More,
            _ => DeviationNeed::All,
        };
        let (planned, chosen) = (first.1.clone(), if waits { first.1 } else { best.1 }.clone());
        self.stream_origins.request_deviation(&req.service, planned, need);
        Versions::Exactly(chosen)
    }

    /// Has the plan say that streams begin at another version than planned, if a new stream did. A
    /// version without targets needs no such word: nobody can go on with its streams.
    fn check_deviation(&mut self, req: &AcceptedRequest, version: &TargetVersion, now: Instant) {
        let stream = key(req, &req.id);
        let Some(plan) = self.stream_origins.plans.get(&req.service) else { return };
        let planned = plan.version_of(stream).filter(|planned| *planned != version);
        let Some(planned) = planned.filter(|planned| self.stays(req, planned, now)).cloned() else {
            return;
        };
        info!(self.log, "stream began at another version than planned"; "request" => %req.id,
            "version" => version.as_ref().map(ToString::to_string),
            "planned" => planned.as_ref().map(ToString::to_string));
        let is_known = plan.may_deviate(&planned, stream, self.stream_origins.horizon, now);
        let need = if is_known { DeviationNeed::Known } else { DeviationNeed::All };
        self.stream_origins.request_deviation(&req.service, planned, need);
    }

    /// Whether a request may be sent to targets of a version, now or later.
    fn stays(&self, req: &AcceptedRequest, version: &TargetVersion, now: Instant) -> bool {
        let versions = Versions::Exactly(version.clone());
        self.targets.has_staying(&req.service, &req.allowed_halls, &versions, now)
    }

    /// Versions that a rollout allows for an attempt at a stream.
    pub(crate) fn rollout_versions_for_stream(
        &self,
        req: &AcceptedRequest,
        is_first: bool,
    ) -> Versions {
        let number = if is_first { key(req, &req.id).fraction() } else { 1.0 };
        self.rollouts.versions(&req.service).for_request(number)
    }
}
