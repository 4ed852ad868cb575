//! What VMs tell each other over links, read and written.

use std::time::Duration;

use batching::{PieceOutcome, Queue, Submission};
use eligibility::{ChangeCursor, Departure};
use fleet::VmEntry;
use ids::{HallName, RequestId, ServiceName, TargetName, VmName};
use peering::work::{
    self, Beat, Coming, Crashes, Departures, Done, Failure, Fetched, FromOwner, Hello, PieceDone,
    PoolLoad, Rates, Submit, TargetLoad, Waiting, from_owner,
};

use quarantine::{Birth, Crash, Cursor, Lifetime, RequestDigest};

use crate::app::App;
use crate::outbound_links::DialerSender;
use crate::rate_messages::take_unsent_rates;

/// A heartbeat is sent as it was put together for this long, a tenth of the pause between two.
const BEAT_LIFE: Duration = Duration::from_millis(20);

/// Who this VM is.
pub(crate) fn own_hello(app: &App) -> Hello {
    app.hub.with(|shared, _| {
        let entry = shared.fleet.own_entry();
        Hello {
            vm: app.cfg.vm.to_string(),
            hall: entry.hall.to_string(),
            incarnation: shared.fleet.incarnation,
            peers: entry.peers.to_string(),
            cores: entry.cores,
            claims: true,
        }
    })
}

/// This VM's heartbeat. It says the same to all peers, so that it is put together once for many links:
/// an owner tells 294 others five times a second.
pub(crate) fn own_heartbeat(app: &App) -> Beat {
    let now = tokio::time::Instant::now();
    let mut last = app.last_heartbeat.borrow_mut();
    match &*last {
        Some((at, beat)) if now.duration_since(*at) < BEAT_LIFE => beat.clone(),
        _ => {
            let beat = new_beat(app);
            last.insert((now, beat)).1.clone()
        }
    }
}

fn new_beat(app: &App) -> Beat {
    app.hub.with(|shared, now| Beat {
        as_of: shared.view.as_of(),
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
                waiting: waiting(&load.queue),
                late: load.late as u32,
                coming: load.coming as u32,
            })
            .collect(),
    })
}

fn waiting(queue: &Queue) -> Vec<Waiting> {
    let of_urgency = |(urgency, counts): (u8, &[u32])| Waiting {
        urgency: urgency.into(),
        counts: counts.to_vec(),
    };
    queue.counts().map(of_urgency).collect()
}

fn queue_of(waiting: &[Waiting]) -> Queue {
    let mut queue = Queue::default();
    for Waiting { urgency, counts } in waiting {
        queue.set_counts(u8::try_from(*urgency).unwrap_or(u8::MAX), counts);
    }
    queue
}

fn entry_of(hello: &Hello) -> Option<VmEntry> {
    let hall = HallName::new(&hello.hall).ok()?;
    Some(VmEntry { peers: hello.peers.parse().ok()?, hall, cores: hello.cores })
}

/// Notes that a peer lives.
pub(crate) fn record_peer(app: &App, vm: &VmName, hello: Option<&Hello>) {
    let entry = hello.and_then(entry_of);
    app.hub.with(|shared, now| {
        let linked = app.links.borrow().contains_key(vm);
        shared.fleet.record_heard(vm, linked, now);
        if let Some(hello) = hello {
            shared.fleet.record_identity(vm, hello.incarnation, entry);
        }
    });
}

/// Takes a heartbeat.
pub(crate) fn apply_heartbeat(app: &App, vm: &VmName, beat: &Beat) {
    record_peer(app, vm, None);
    let loads: Vec<(TargetName, u32, u64)> = beat
        .loads
        .iter()
        .filter_map(|load| Some((TargetName::new(&load.target).ok()?, load.calls, load.tokens)))
        .collect();
    let stops = app.hub.with(|shared, now| {
        let stops = shared.fleet.record_draining(vm, beat.draining, now);
        let pools = beat.pools.iter().map(|pool| {
            let turnaround = Duration::from_millis(u64::from(pool.turn_ms));
            let queue = queue_of(&pool.waiting);
            let (rate, coming) = (f64::from(pool.rate), f64::from(pool.coming));
            let late = f64::from(pool.late);
            (pool.pool.clone(), fleet::PoolLoad { turnaround, rate, queue, late, coming, at: now })
        });
        shared.targets.record_peer_load(peer_number(vm), &loads, now);
        let Some(peer) = shared.fleet.peers.get_mut(vm) else { return stops };
        peer.as_of = beat.as_of;
        peer.watches = beat.watches;
        peer.configuration = beat.configuration;
        peer.pools = pools.collect();
        let coming = beat.coming.iter();
        peer.coming = coming.map(|c| (c.pool.clone(), f64::from(c.pieces))).collect();
        shared.compare_versions(now);
        let age = beat.store_age_ms.map(|ms| Duration::from_millis(u64::from(ms)));
        if let Some(at) = age.and_then(|age| now.checked_sub(age)) {
            shared.contact.record_peer_answer(at);
        }
        stops
    });
    if stops {
        // Whoever takes its place is linked to at once.
        app.vms_changed.notify_one();
    }
}

fn peer_number(vm: &VmName) -> u64 {
    hashing::hash_text(vm.as_str())
}

/// What became of a piece, as its owner tells it.
pub(crate) fn piece_outcome(piece: &PieceDone) -> PieceOutcome {
    match piece.failure() {
        Failure::None => PieceOutcome::Stored(piece.handle.clone()),
        Failure::Late => PieceOutcome::Late,
        Failure::Gone => PieceOutcome::InputGone,
        Failure::Broken => PieceOutcome::Failed,
    }
}

/// Hands a finished piece back to the VM that handed it in.
pub(crate) fn send_done(tx: &DialerSender, job: u64, piece: u32, made: PieceOutcome) {
    let (handle, failure) = match made {
        PieceOutcome::Stored(handle) => (handle, Failure::None),
        PieceOutcome::Late => (String::new(), Failure::Late),
        PieceOutcome::InputGone => (String::new(), Failure::Gone),
        PieceOutcome::Failed => (String::new(), Failure::Broken),
    };
    let pieces = vec![PieceDone { piece, handle, failure: failure.into() }];
    // A peer that is gone hands its pieces in elsewhere.
    drop(tx.send(Ok(FromOwner { kind: Some(from_owner::Kind::Done(Done { job, pieces })) })));
}

/// Tells the VM that handed a submission in that its inputs were fetched.
pub(crate) fn send_fetched(tx: &DialerSender, job: u64) {
    // A peer that is gone hands its pieces in elsewhere.
    drop(tx.send(Ok(FromOwner { kind: Some(from_owner::Kind::Fetched(Fetched { job })) })));
}

/// Pieces that a peer submits; `None` if its names can't be read.
pub(crate) fn decode_submission(submit: Submit) -> Option<(ServiceName, Submission)> {
    let now = crate::hub::now();
    let slack = Duration::from_millis(u64::try_from(submit.slack_ms).unwrap_or(0));
    let submission = Submission {
        request: RequestId::new(&submit.request).ok()?,
        content: RequestDigest::from_bytes(&submit.content),
        stage: submit.stage,
        pieces: submit.pieces,
        key: (!submit.key.is_empty()).then_some(submit.key),
        inputs: submit.inputs,
        input_bytes: submit.input_bytes,
        until: now + Duration::from_millis(u64::from(submit.left_ms)),
        due: now + slack,
        urgency: u8::try_from(submit.urgency).unwrap_or(u8::MAX),
        result_bytes: submit.result_bytes,
        preferred_hall: HallName::new(&submit.hall).ok(),
    };
    Some((ServiceName::new(&submit.pool).ok()?, submission))
}

/// What a peer tells of requests that end targets; what can't be read is left out.
pub(crate) fn decode_crashes(told: &Crashes) -> Vec<Crash> {
    let crash = |crash: &work::Crash| {
        let content = RequestDigest::from_bytes(&crash.content)?;
        let lifetime = Lifetime { birth: Birth(crash.birth), ends_before: crash.ends_before };
        Some(Crash { digest: content, lifetime, cleared: crash.cleared })
    };
    told.crashes.iter().filter_map(crash).collect()
}

/// What a peer tells of targets that leave; what can't be read is left out.
pub(crate) fn decode_departures(told: &Departures) -> Vec<Departure> {
    let now = crate::hub::now();
    let departure = |told: &work::Departure| {
        let target = TargetName::new(&told.target).ok()?;
        let said = now.checked_sub(Duration::from_millis(u64::from(told.age_ms)))?;
        Some(Departure {
            lifetime: eligibility::Lifetime { target, born: told.born },
            announced_at: said,
        })
    };
    told.departures.iter().filter_map(departure).collect()
}

/// What a peer was told on a link of targets that leave, their rates, and requests that end them.
#[derive(Debug, Default)]
pub(crate) struct SentCursors {
    crashes: Cursor,
    departures: ChangeCursor,
    rates: ChangeCursor,
}

/// What a peer has not been told yet.
pub(crate) struct Unsent {
    pub(crate) crashes: Option<Crashes>,
    pub(crate) departures: Option<Departures>,
    pub(crate) rates: Option<Rates>,
}

/// What a peer is told next on a link.
pub(crate) fn take_unsent(app: &App, told: &mut SentCursors) -> Unsent {
    Unsent {
        crashes: take_unsent_crashes(app, &mut told.crashes),
        departures: take_unsent_departures(app, &mut told.departures),
        rates: take_unsent_rates(app, &mut told.rates),
    }
}

fn take_unsent_departures(app: &App, cursor: &mut ChangeCursor) -> Option<Departures> {
    let (changes, up_to, now) = app.hub.with(|shared, now| {
        let (changes, up_to) = shared.departures.changes_after(*cursor);
        (changes, up_to, now)
    });
    *cursor = up_to;
    let departure = |Departure { lifetime, announced_at: said }: Departure| work::Departure {
        target: lifetime.target.to_string(),
        born: lifetime.born,
        age_ms: millis(now.saturating_duration_since(said)),
    };
    let departures: Vec<_> = changes.into_iter().map(departure).collect();
    (!departures.is_empty()).then_some(Departures { departures })
}

fn millis(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}

fn take_unsent_crashes(app: &App, cursor: &mut Cursor) -> Option<Crashes> {
    let (changes, up_to) = app.hub.with(|shared, _| shared.quarantine.changes_after(*cursor));
    *cursor = up_to;
    let crash = |crash: Crash| work::Crash {
        content: crash.digest.to_bytes().to_vec(),
        birth: crash.lifetime.birth.0,
        ends_before: crash.lifetime.ends_before,
        cleared: crash.cleared,
    };
    (!changes.is_empty()).then(|| Crashes { crashes: changes.into_iter().map(crash).collect() })
}
