//! A request that ends every target which runs it.
//!
//! What users saw: abstract drafts of one customer failed, then a tenth of all drafts, while one engine after
//! the other stopped answering and came back. The order of events: a caller sent the same request again and
//! again, each time under a new id and to another VM; each VM sent it to an engine, which ended within a tenth
//! of a second and cut the streams of everybody else on it; 48 engines started again in 85 seconds. The
//! cause: tries and budgets belong to one attempt at one VM, and failures to one lifetime of a target, so
//! that nothing connected a return with what the attempts before it had done.

// A fixture that can't be set up fails its test.
#![allow(clippy::expect_used)]

use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

use standins::fleet::wait_until;
use standins::serving_path::callers::Call;
use standins::serving_path::crashing::{
    CrashTrigger, CrashingRunner, CrashingRunnerConfig, RestartId,
};
use standins::serving_path::runners::Behavior;
use standins::serving_path::site::{SETTLE_TIME, Site, Vm, post, send_expecting_answer};
use standins::serving_path::store::{Store, StoreMode};

/// The body that ends its target.
const FATAL: &[u8] = b"a request that no target survives";
/// Ends after which a request is known to be one.
const CRASHES: u64 = 3;
/// Pause between two returns: the engines are back, and VMs have told each other.
const RETURN_PAUSE: Duration = Duration::from_millis(600);
/// Returns after those that make it known.
const RETURNS: usize = 6;
/// An answer that was not waited for.
const AT_ONCE: Duration = Duration::from_millis(250);

/// Callers of streams beside it, the requests of each, and the pause after each of their events.
const CALLERS_BESIDE: usize = 8;
const SENDS_BESIDE: usize = 4;
const BESIDE_PAUSE: Duration = Duration::from_millis(60);

/// Time for which workers hold pieces that wait.
const HANG: Duration = Duration::from_millis(2400);
/// How often they do so: as often as a piece is tried.
const HANGS: usize = 4;

/// VMs of a fleet of which each one is linked to some others only, and the time in which all have heard.
const LARGE_FLEET: usize = 12;
const WORD_IS_OUT: Duration = Duration::from_secs(2);

/// VMs before fragile engines, which are the only ones.
struct Case {
    site: Site,
    engines: Vec<CrashingRunner>,
    vms: Vec<Vm>,
}

impl Case {
    fn start(name: &str, restart_id: RestartId) -> Self {
        Case::start_with(name, restart_id, Behavior::Stream(5), 3)
    }

    /// The same; engines do this with other requests.
    fn start_with(
        name: &str,
        restart_id: RestartId,
        default_behavior: Behavior,
        vms: usize,
    ) -> Self {
        let site = Site::start();
        for engine in &site.engines {
            site.store.remove(&format!("servers/{}", engine.id));
        }
        let engines: Vec<CrashingRunner> = (0..5)
            .map(|number| {
                fragile(&format!("i-{name}-{number}"), restart_id, &default_behavior, &site.store)
            })
            .collect();
        let vms = (0..vms).map(|number| site.start_vm(&format!("{name}-{number}"), "")).collect();
        Case { site, engines, vms }
    }

    /// Waits until each VM is linked to so many others: without links and the store none can hear.
    fn wait_linked(&self, least: usize) {
        wait_until("the VMs are linked", || self.vms.iter().all(|vm| vm.linked_peers() >= least));
    }

    fn crashes(&self) -> u64 {
        self.engines.iter().map(CrashingRunner::crashes).sum()
    }

    fn reached(&self) -> usize {
        self.engines.iter().map(|engine| engine.requests_with_body(FATAL)).sum()
    }

    /// The fatal request, returned so many times at one VM after the other; gives the last answer's status,
    /// Retry-After and time.
    fn send_fatal(&self, name: &str, returns: usize) -> (u16, String, Duration) {
        let mut last = (0, String::new(), Duration::ZERO);
        for number in 0..returns {
            let vm = &self.vms[number % self.vms.len()];
            let began = Instant::now();
            let call = post("/stream/", &format!("{name}-{number}")).body(FATAL);
            let answer = call.send(vm.callers).unwrap_or_default();
            last = (answer.status(), answer.header("retry-after").to_owned(), began.elapsed());
            sleep(RETURN_PAUSE);
        }
        last
    }

    /// Whether each VM serves a request that does no harm.
    fn serves_others(&self, name: &str) -> bool {
        self.vms.iter().enumerate().all(|(number, vm)| {
            let answer =
                send_expecting_answer(&post("/stream/", &format!("{name}-other-{number}")), vm);
            answer.status() == 200 && answer.is_complete
        })
    }
}

fn nature() -> CrashingRunnerConfig {
    CrashingRunnerConfig {
        trigger: CrashTrigger::Body(FATAL.to_vec()),
        crash_delay: Duration::from_millis(30),
        downtime: Duration::from_millis(400),
        restart_id: RestartId::NewId,
        default_behavior: Behavior::Answer,
    }
}

fn fragile(name: &str, restart_id: RestartId, usual: &Behavior, store: &Store) -> CrashingRunner {
    let nature = CrashingRunnerConfig { restart_id, default_behavior: usual.clone(), ..nature() };
    CrashingRunner::start(name, "engine", nature, store).expect("a runner starts")
}

/// Sends the request until it is known, then more often; nothing may reach a target any more.
fn is_stopped_for_good(name: &str, restart_id: RestartId) {
    let case = Case::start(name, restart_id);
    case.send_fatal("first", CRASHES as usize);
    assert_eq!(case.crashes(), CRASHES, "it ends each target that runs it");
    let before = case.reached();

    let (status, retry_after, took) = case.send_fatal("again", RETURNS);

    assert_eq!(case.crashes(), CRASHES, "no further target ended");
    assert_eq!(case.reached(), before, "it reached no further target");
    assert_eq!(status, 503);
    assert!(!retry_after.is_empty(), "it is told when to come back");
    assert!(took < AT_ONCE, "it is told at once: {took:?}");
    assert!(case.serves_others("after"), "others are served");
}

#[test]
fn a_request_that_ended_three_targets_reaches_none_at_any_vm() {
    is_stopped_for_good("fatal-new-ids", RestartId::NewId);
}

#[test]
fn a_request_that_ended_three_targets_under_their_ids_reaches_none_at_any_vm() {
    is_stopped_for_good("fatal-same-ids", RestartId::SameId);
}

#[test]
fn it_stays_known_when_all_vms_have_lost_power() {
    let mut case = Case::start("fatal-power", RestartId::NewId);
    case.send_fatal("first", CRASHES as usize);
    wait_until("it stands in the store", || {
        !case.site.store.keys("saddlerail/quarantine/").is_empty()
    });

    case.vms.iter_mut().for_each(Vm::restart);
    case.vms.iter().for_each(|vm| case.site.wait_for_all_runners(vm));
    let (status, ..) = case.send_fatal("again", RETURNS);

    assert_eq!((case.crashes(), status), (CRASHES, 503));
    assert!(case.serves_others("after"));
}

#[test]
fn vms_that_have_no_store_tell_each_other() {
    let case = Case::start("fatal-no-store", RestartId::SameId);
    case.wait_linked(2);
    case.site.store.set_mode(StoreMode::Unresponsive);

    case.send_fatal("first", CRASHES as usize);
    let ends = case.crashes();
    let (status, ..) = case.send_fatal("again", RETURNS);
    case.site.store.set_mode(StoreMode::Normal);

    assert_eq!((ends, case.crashes(), status), (CRASHES, CRASHES, 503));
    wait_until("it stands in the store", || {
        !case.site.store.keys("saddlerail/quarantine/").is_empty()
    });
}

#[test]
fn an_operator_sees_it_and_releases_it() {
    let mut case = Case::start("fatal-release", RestartId::NewId);
    case.send_fatal("first", CRASHES as usize);
    let content = case.vms[0].state()["quarantine"][0]["content"].clone();
    let content = content.as_str().expect("a refused request").to_owned();

    let path = format!("/quarantine/release/{content}");
    let answer = Call::new("POST", "operations", &path, "-").send(case.vms[0].operations);
    let unknown = Call::new("POST", "operations", "/quarantine/release/12", "-");
    let unknown = unknown.send(case.vms[0].operations);

    assert_eq!(answer.map(|answer| answer.status()), Some(200));
    assert_eq!(unknown.map(|answer| answer.status()), Some(400));
    wait_until("all VMs have released it", || {
        case.vms.iter().all(|vm| vm.state()["quarantine"].as_array().is_some_and(Vec::is_empty))
    });
    case.send_fatal("once-more", CRASHES as usize);
    assert_eq!(case.crashes(), 2 * CRASHES, "it runs again, until it is known again");
    // What the store has of the time before must not stand in the way.
    sleep(SETTLE_TIME);
    case.vms.iter_mut().for_each(Vm::restart);
    case.vms.iter().for_each(|vm| case.site.wait_for_all_runners(vm));
    case.send_fatal("after-power", 2);
    assert_eq!(case.crashes(), 2 * CRASHES, "it stays known");
}

#[test]
fn streams_beside_it_are_not_held_against_their_callers() {
    let case = Case::start_with(
        "fatal-beside",
        RestartId::NewId,
        Behavior::SlowStream(5, BESIDE_PAUSE),
        3,
    );
    let callers: Vec<_> = (0..CALLERS_BESIDE)
        .map(|caller| {
            let at = case.vms[caller % case.vms.len()].callers;
            spawn(move || {
                let body = format!("honest {caller}");
                let send = |number: usize| {
                    let call = post("/stream/", &format!("beside-{caller}-{number}"));
                    call.body(body.as_bytes()).send(at).unwrap_or_default()
                };
                (0..SENDS_BESIDE).map(send).map(|answer| answer.status()).collect::<Vec<_>>()
            })
        })
        .collect();

    case.send_fatal("first", CRASHES as usize);
    let statuses = callers.into_iter().flat_map(|caller| caller.join().expect("a caller"));
    let statuses: Vec<u16> = statuses.collect();

    assert!(case.crashes() >= CRASHES);
    let refused = case.vms.iter().map(|vm| vm.state()["quarantine"].as_array().map_or(0, Vec::len));
    assert_eq!(refused.max(), Some(1), "the fatal one only: {statuses:?}");
}

/// Tries of a piece: a worker whose port is still open when its connections have ended is seen by a later
/// look, 40 ms on, when the next call is under way.
const PIECE_TRIES: u64 = 4;

#[test]
fn a_request_whose_pieces_end_their_workers_is_stopped_as_well() {
    let site = Site::start();
    site.pool.iter().for_each(|worker| site.store.remove(&format!("servers/{}", worker.id)));
    let worker = |number: usize| {
        let nature = CrashingRunnerConfig {
            trigger: CrashTrigger::PieceKey("fatal".to_owned()),
            ..nature()
        };
        let name = format!("i-fatal-pool-{number}");
        CrashingRunner::start(&name, "pool", nature, &site.store).expect("a worker starts")
    };
    let workers: Vec<CrashingRunner> = (0..5).map(worker).collect();
    let vms: Vec<Vm> =
        (0..3).map(|number| site.start_vm(&format!("fatal-pool-{number}"), "")).collect();
    let ends = || workers.iter().map(CrashingRunner::crashes).sum::<u64>();
    let send = |vm: &Vm, id: &str, body: &[u8], key: &str| {
        let call = post("/chain/", id)
            .body(body)
            .with_header("Pieces", "1,1")
            .with_header("Piece-Key", key);
        call.send(vm.callers).unwrap_or_default()
    };

    send(&vms[0], "first", b"fatal", "fatal");
    wait_until("it is known at all VMs", || {
        vms.iter().all(|vm| vm.state()["quarantine"].as_array().is_some_and(|all| all.len() == 1))
    });
    // A call that was under way then would have ended its worker by now.
    sleep(RETURN_PAUSE);
    let first = ends();
    let again: Vec<(u16, bool)> = (0..RETURNS)
        .map(|number| {
            let began = Instant::now();
            let answer = send(&vms[number % 3], &format!("again-{number}"), b"fatal", "fatal");
            (answer.status(), began.elapsed() < AT_ONCE)
        })
        .collect();
    sleep(RETURN_PAUSE);
    let other = send(&vms[1], "other", b"another", "secret");

    assert!((CRASHES..=PIECE_TRIES).contains(&first), "{first}");
    assert_eq!(ends(), first, "no further worker ended");
    assert_eq!(again, vec![(503, true); RETURNS], "all are told at once");
    assert_eq!(other.status(), 200);
}

#[test]
fn in_a_fleet_that_is_not_fully_linked_all_vms_know_it_without_the_store() {
    let case = Case::start_with("fatal-fleet", RestartId::SameId, Behavior::Stream(5), LARGE_FLEET);
    case.wait_linked(1);
    case.site.store.set_mode(StoreMode::Unresponsive);

    // Each end is seen by another VM.
    case.send_fatal("first", CRASHES as usize);
    let began = Instant::now();
    wait_until("all VMs refuse it", || {
        case.vms
            .iter()
            .all(|vm| vm.state()["quarantine"].as_array().is_some_and(|all| all.len() == 1))
    });
    let took = began.elapsed();
    let (status, ..) = case.send_fatal("again", LARGE_FLEET);
    case.site.store.set_mode(StoreMode::Normal);

    assert!(took < WORD_IS_OUT, "{took:?}");
    assert_eq!((case.crashes(), status), (CRASHES, 503));
}

#[test]
fn a_return_that_waits_for_its_stages_is_told_as_soon_as_it_is_known() {
    let case = Case::start("fatal-waits", RestartId::NewId);
    let chain = |id: &str, pieces: &str| {
        let call = post("/chain/", id).body(FATAL).with_header("Deadline-Milliseconds", "3000");
        call.with_header("Pieces", pieces).with_header("Piece-Key", "secret")
    };
    for _ in 0..HANGS {
        Site::queue_behavior(&case.site.pool, &Behavior::Hang(HANG));
    }
    let (at, waiting) = (case.vms[0].callers, chain("waits", "1,1"));
    let waits = spawn(move || (waiting.send(at), Instant::now()));
    wait_until("a worker is at work on it", || {
        case.site.pool.iter().any(|worker| !worker.messages().is_empty())
    });

    for number in 0..CRASHES as usize {
        // Without stages it is at an engine at once.
        chain(&format!("first-{number}"), "0,0").send(case.vms[number].callers);
    }
    let known = Instant::now();
    let (answer, at) = waits.join().expect("a caller");
    let took = at.saturating_duration_since(known);

    assert_eq!(case.crashes(), CRASHES);
    assert_eq!(answer.map(|answer| answer.status()), Some(503));
    assert!(took < AT_ONCE, "{took:?}");
}
