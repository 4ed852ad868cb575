//! Encodes and decodes the messages that VMs exchange over links, applies peers' hellos and
//! heartbeats, and tracks which changes were already sent on a link.

use std::time::Duration;

use batching::{PieceOutcome, QueueCounts, Submission};
use eligibility::{AllowedHalls, ChangeCursor, Departure};
use fleet::VmEntry;
use ids::{HallName, RequestId, ServiceName, StoreRevision, TargetName, VmName};
use peering::work::{
    self, Beat, BrittleService, Coming, Crashes, Departures, Done, Failure, Fetched, FromOwner,
    Hello, PieceDone, PoolLoad, Rates, Submit, TargetLoad, Waiting, from_owner,
};
use quarantine::{Crash, CrashCursor, LifetimeHash, LifetimeId, RequestDigest, Suspect};
use rollout::Phase;

use crate::app::App;
use crate::outbound_links::DialerSender;
use crate::rate_messages::take_unsent_rates;
use crate::rollout_messages::{decode_phase, encode_phase};
use crate::store_messages;

/// Number of heartbeats on a link of which one tells the content of the store that this VM knows.
const HEARTBEATS_PER_CONTENT: u32 = 20;
/// How long an assembled heartbeat is reused: a tenth of the interval between two heartbeats.
const HEARTBEAT_REUSE: Duration = Duration::from_millis(20);

/// The first message on a link: this VM's identity.
pub(crate) fn own_hello(app: &App) -> Hello {
    app.state.with(|shared, _| {
        let entry = shared.fleet.own_entry();
        Hello {
            vm: app.cfg.vm.to_string(),
            hall: entry.hall.to_string(),
            incarnation: shared.fleet.incarnation,
            peers: entry.peers.to_string(),
            cores: entry.cores,
            claims: true,
            shares_versions: true,
        }
    })
}

/// This VM's next heartbeat on a link. What it knows of the store is told with the first one and from
/// time to time.
pub(crate) fn next_heartbeat(app: &App, sent: &mut SentCursors) -> Beat {
    let mut beat = own_heartbeat(app);
    if sent.heartbeats.is_multiple_of(HEARTBEATS_PER_CONTENT) {
        beat.content = Some(store_messages::own_content(app));
    }
    sent.heartbeats = sent.heartbeats.wrapping_add(1);
    beat
}

/// This VM's heartbeat. It is the same for all peers and therefore assembled once for many links:
/// an owner sends it to every VM at each interval.
fn own_heartbeat(app: &App) -> Beat {
    let now = tokio::time::Instant::now();
    let mut last = app.last_heartbeat.borrow_mut();
    match &*last {
        Some((at, beat)) if now.duration_since(*at) < HEARTBEAT_REUSE => beat.clone(),
        _ => {
            let beat = assemble_heartbeat(app);
            last.insert((now, beat)).1.clone()
        }
    }
}

fn assemble_heartbeat(app: &App) -> Beat {
    app.state.with(|shared, now| Beat {
        as_of: shared.view.as_of().number,
        era: Some(shared.view.as_of().era),
        draining: shared.is_stopping(),
        store_age_ms: shared.contact.age(now).map(millis),
        watches: shared.watches_store && !shared.contact.is_lost(now),
        configuration: shared.intent.as_ref().map_or(0, |intent| intent.version),
        loads: shared
            .targets
            .own_load()
            .map(|(id, calls, tokens)| TargetLoad { target: id.to_string(), calls, tokens })
            .collect(),
        coming: shared
            .admission
            .upcoming()
            .map(|(pool, pieces)| Coming { pool: pool.to_string(), pieces })
            .collect(),
        pools: shared
            .pools
            .iter()
            .filter(|(name, _)| shared.owns_local_part(name, now))
            .filter_map(|(name, _)| Some((name, shared.local_load(name, now)?)))
            .map(|(name, load)| PoolLoad {
                pool: name.to_string(),
                turn_ms: millis(load.turnaround),
                rate: load.rate as f32,
                waiting: encode_queue(&load.queue),
                late: load.late as u32,
                coming: load.incoming as u32,
            })
            .collect(),
        rollouts: shared
            .rollouts
            .phases()
            .filter(|(_, phase)| *phase > Phase::Canary)
            .map(|(order, phase)| encode_phase(order, phase))
            .collect(),
        cut_off: shared.target_paths.is_cut_off(),
        content: None,
        brittle: shared
            .targets
            .brittle(now)
            .map(|(service, limit, said_at)| BrittleService {
                service: service.to_string(),
                limit,
                said_ms: millis(now.saturating_duration_since(said_at)),
                requests: Some(u32::try_from(shared.own_demand(service, now)).unwrap_or(u32::MAX)),
            })
            .collect(),
    })
}

fn encode_queue(queue: &QueueCounts) -> Vec<Waiting> {
    let encode_waiting = |(urgency, counts): (u8, &[u32])| Waiting {
        urgency: urgency.into(),
        counts: counts.to_vec(),
    };
    queue.counts().map(encode_waiting).collect()
}

fn decode_queue(waiting: &[Waiting]) -> QueueCounts {
    let mut queue = QueueCounts::default();
    for Waiting { urgency, counts } in waiting {
        queue.set_counts(u8::try_from(*urgency).unwrap_or(u8::MAX), counts);
    }
    queue
}

fn decode_entry(hello: &Hello) -> Option<VmEntry> {
    let hall = HallName::new(&hello.hall).ok()?;
    Some(VmEntry { peers: hello.peers.parse().ok()?, hall, cores: hello.cores })
}

/// Records that a message from a peer arrived, and its identity if the message is a hello.
pub(crate) fn record_peer(app: &App, vm: &VmName, hello: Option<&Hello>) {
    let entry = hello.and_then(decode_entry);
    app.state.with(|shared, now| {
        let linked = app.links.borrow().contains_key(vm);
        shared.fleet.record_heard(vm, linked, now);
        if let Some(hello) = hello {
            shared.fleet.record_identity(vm, hello.incarnation, entry);
            if let Some(peer) = shared.fleet.peers.get_mut(vm) {
                peer.shares_versions = hello.shares_versions;
            }
        }
    });
}

/// Applies a peer's heartbeat.
pub(crate) fn apply_heartbeat(app: &App, vm: &VmName, beat: &Beat) {
    record_peer(app, vm, None);
    let loads: Vec<(TargetName, u32, u64)> = beat
        .loads
        .iter()
        .filter_map(|load| Some((TargetName::new(&load.target).ok()?, load.calls, load.tokens)))
        .collect();
    let starts_draining = app.state.with(|shared, now| {
        let starts_draining = shared.fleet.record_draining(vm, beat.draining, now);
        let pools = beat.pools.iter().map(|pool| {
            let turnaround = Duration::from_millis(u64::from(pool.turn_ms));
            let queue = decode_queue(&pool.waiting);
            let (rate, incoming) = (f64::from(pool.rate), f64::from(pool.coming));
            let late = f64::from(pool.late);
            (
                pool.pool.clone(),
                fleet::PoolLoad { turnaround, rate, queue, late, incoming, received_at: now },
            )
        });
        shared.targets.record_peer_load(peer_hash(vm), &loads, now);
        for BrittleService { service, limit, said_ms, requests } in &beat.brittle {
            let said_at = now.checked_sub(Duration::from_millis(u64::from(*said_ms)));
            if let (Ok(service), Some(said_at)) = (ServiceName::new(service), said_at) {
                shared.targets.record_brittle(&service, *limit, said_at);
                if let Some(requests) = requests {
                    shared.record_peer_demand(service, peer_hash(vm), *requests, now);
                }
            }
        }
        let Some(peer) = shared.fleet.peers.get_mut(vm) else { return starts_draining };
        // An older build knows no eras; its number is taken for one of the present era.
        let era = beat.era.unwrap_or(shared.view.as_of().era);
        peer.as_of = StoreRevision { era, number: beat.as_of };
        if let Some(content) = &beat.content {
            peer.history = store_messages::decode_history(content.history.as_ref(), era);
            peer.content = store_messages::decode_content(content, peer.as_of);
        }
        peer.watches_store = beat.watches;
        peer.configuration = beat.configuration;
        peer.cut_off = beat.cut_off;
        peer.pools = pools.collect();
        let coming = beat.coming.iter();
        peer.incoming = coming.map(|c| (c.pool.clone(), f64::from(c.pieces))).collect();
        for (service, order, phase) in beat.rollouts.iter().filter_map(decode_phase) {
            shared.apply_phase(&service, order, phase, now);
        }
        shared.compare_versions(now);
        let age = beat.store_age_ms.map(|ms| Duration::from_millis(u64::from(ms)));
        if let Some(at) = age.and_then(|age| now.checked_sub(age)) {
            shared.contact.record_peer_answer(at);
        }
        starts_draining
    });
    if starts_draining {
        // Wakes the link dialer: other VMs become owners in place of the draining one.
        app.vms_changed.notify_one();
    }
}

fn peer_hash(vm: &VmName) -> u64 {
    hashing::hash_text(vm.as_str())
}

/// The outcome of a piece, as its owner reported it.
pub(crate) fn piece_outcome(piece: &PieceDone) -> PieceOutcome {
    match piece.failure() {
        Failure::None => PieceOutcome::Stored(piece.handle.clone()),
        Failure::Late => PieceOutcome::Late,
        Failure::Gone => PieceOutcome::InputGone,
        Failure::Broken => PieceOutcome::Failed,
    }
}

/// Sends a finished piece to the VM that submitted it.
pub(crate) fn send_done(tx: &DialerSender, job: u64, piece: u32, outcome: PieceOutcome) {
    let (handle, failure) = match outcome {
        PieceOutcome::Stored(handle) => (handle, Failure::None),
        PieceOutcome::Late => (String::new(), Failure::Late),
        PieceOutcome::InputGone => (String::new(), Failure::Gone),
        PieceOutcome::Failed => (String::new(), Failure::Broken),
    };
    let pieces = vec![PieceDone { piece, handle, failure: failure.into() }];
    // A peer whose link ended submits its pieces to another VM.
    drop(tx.send(Ok(FromOwner { kind: Some(from_owner::Kind::Done(Done { job, pieces })) })));
}

/// Tells the VM that sent a submission that its inputs were fetched.
pub(crate) fn send_fetched(tx: &DialerSender, job: u64) {
    // A peer whose link ended submits its pieces to another VM.
    drop(tx.send(Ok(FromOwner { kind: Some(from_owner::Kind::Fetched(Fetched { job })) })));
}

/// Names of the halls in which pieces may run; none if they may run in all.
pub(crate) fn encode_halls(halls: &AllowedHalls) -> Vec<String> {
    match halls {
        AllowedHalls::Any => Vec::new(),
        AllowedHalls::Only(halls) => halls.iter().map(ToString::to_string).collect(),
    }
}

/// Decodes [`encode_halls`]. A name that is invalid names no hall, so that it allows nothing.
fn decode_halls(names: &[String]) -> AllowedHalls {
    if names.is_empty() {
        return AllowedHalls::Any;
    }
    AllowedHalls::Only(names.iter().filter_map(|name| HallName::new(name).ok()).collect())
}

/// Decodes a submission of a peer; `None` if one of its names is invalid.
pub(crate) fn decode_submission(submit: Submit) -> Option<(ServiceName, Submission)> {
    let now = crate::state_handle::now();
    let slack = Duration::from_millis(u64::try_from(submit.slack_ms).unwrap_or(0));
    let submission = Submission {
        request: RequestId::new(&submit.request).ok()?,
        digest: RequestDigest::from_bytes(&submit.content),
        stage: submit.stage,
        pieces: submit.pieces,
        piece_key: (!submit.key.is_empty()).then_some(submit.key),
        inputs: submit.inputs,
        input_bytes: submit.input_bytes,
        deadline: now + Duration::from_millis(u64::from(submit.left_ms)),
        due: now + slack,
        urgency: u8::try_from(submit.urgency).unwrap_or(u8::MAX),
        result_bytes: submit.result_bytes,
        preferred_hall: HallName::new(&submit.hall).ok(),
        allowed_halls: decode_halls(&submit.allowed_halls),
    };
    Some((ServiceName::new(&submit.pool).ok()?, submission))
}

/// Decodes a peer's reports of what crashes targets; invalid ones are left out.
pub(crate) fn decode_crashes(message: &Crashes) -> Vec<Crash> {
    let now = crate::state_handle::now();
    let before = |age_ms: u32| now.checked_sub(Duration::from_millis(u64::from(age_ms)));
    let crash = |crash: &work::Crash| {
        let suspect = Suspect::from_bytes(&crash.content)?;
        let lifetime =
            LifetimeId { lifetime_hash: LifetimeHash(crash.birth), ends_before: crash.ends_before };
        let at = crash.age_ms.and_then(before);
        Some(Crash { suspect, lifetime, cleared: crash.cleared, at })
    };
    message.crashes.iter().filter_map(crash).collect()
}

/// Decodes a peer's reports of targets that are leaving; invalid ones are left out.
pub(crate) fn decode_departures(message: &Departures) -> Vec<Departure> {
    let now = crate::state_handle::now();
    let departure = |message: &work::Departure| {
        let target = TargetName::new(&message.target).ok()?;
        let announced = now.checked_sub(Duration::from_millis(u64::from(message.age_ms)))?;
        Some(Departure {
            lifetime: eligibility::Lifetime { target, born: message.born },
            announced_at: announced,
        })
    };
    message.departures.iter().filter_map(departure).collect()
}

/// What was already sent on a link: the positions up to which crashes of targets, leaving targets and
/// targets' rate limits were, and how many heartbeats.
#[derive(Debug, Default)]
pub(crate) struct SentCursors {
    crashes: CrashCursor,
    departures: ChangeCursor,
    rates: ChangeCursor,
    /// Number of heartbeats that were sent.
    heartbeats: u32,
}

/// Changes that were not sent on a link yet.
pub(crate) struct Unsent {
    pub(crate) crashes: Option<Crashes>,
    pub(crate) departures: Option<Departures>,
    pub(crate) rates: Option<Rates>,
}

/// The changes to send next on a link; advances the cursors past them.
pub(crate) fn take_unsent(app: &App, cursors: &mut SentCursors) -> Unsent {
    Unsent {
        crashes: take_unsent_crashes(app, &mut cursors.crashes),
        departures: take_unsent_departures(app, &mut cursors.departures),
        rates: take_unsent_rates(app, &mut cursors.rates),
    }
}

fn take_unsent_departures(app: &App, cursor: &mut ChangeCursor) -> Option<Departures> {
    let (changes, up_to, now) = app.state.with(|shared, now| {
        let (changes, up_to) = shared.departures.changes_after(*cursor);
        (changes, up_to, now)
    });
    *cursor = up_to;
    let departure = |Departure { lifetime, announced_at: announced }: Departure| work::Departure {
        target: lifetime.target.to_string(),
        born: lifetime.born,
        age_ms: millis(now.saturating_duration_since(announced)),
    };
    let departures: Vec<_> = changes.into_iter().map(departure).collect();
    (!departures.is_empty()).then_some(Departures { departures })
}

fn millis(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}

fn take_unsent_crashes(app: &App, cursor: &mut CrashCursor) -> Option<Crashes> {
    let (changes, up_to, now) = app.state.with(|shared, now| {
        let (changes, up_to) = shared.quarantine.changes_after(*cursor);
        (changes, up_to, now)
    });
    *cursor = up_to;
    let crash = |crash: Crash| work::Crash {
        content: crash.suspect.to_bytes().to_vec(),
        birth: crash.lifetime.lifetime_hash.0,
        ends_before: crash.lifetime.ends_before,
        cleared: crash.cleared,
        age_ms: crash.at.map(|at| millis(now.saturating_duration_since(at))),
    };
    (!changes.is_empty()).then(|| Crashes { crashes: changes.into_iter().map(crash).collect() })
}
