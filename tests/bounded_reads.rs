//! Answers of targets that stop amid a body, or have no end.

// A failing `expect` in a fixture fails the test.
#![allow(clippy::expect_used)]

use std::thread::spawn;
use std::time::{Duration, Instant};

use peering::WorkClient;
use peering::work::ToTarget;
use standins::fleet::wait_until;
use standins::serving_path::HttpMessage;
use standins::serving_path::callers::Call;
use standins::serving_path::runners::{Behavior, Part, Runner};
use standins::serving_path::site::{
    SETTLE_TIME, Site, Vm, default_configuration, get, post, send_expecting_answer,
};
use standins::serving_path::store::StoreMode;
use tokio::sync::mpsc::unbounded_channel;
use tokio_stream::wrappers::UnboundedReceiverStream;
use tonic::transport::Endpoint;

/// When an answer has to be there: the request's time, which is 2 s, and half a second.
const ANSWERED_WITHIN: Duration = Duration::from_millis(2500);

/// Time of requests.
const DEADLINE: Duration = Duration::from_secs(2);
/// Memory of a small VM, in megabytes; a process that takes more is killed.
const MEMORY_MB: u64 = 260;
/// Callers that meet answers without an end at a time.
const CALLERS: usize = 24;
/// When a relayed connection without a target has to have ended; connections have 0.4 s.
const RELAY_ENDS_WITHIN: Duration = Duration::from_secs(2);
/// How long the store sends answers without an end.
const STORE_TROUBLE: Duration = Duration::from_secs(4);
/// Size of a large sound answer, in bytes.
const LARGE: usize = 8_000_000;

/// Sends requests at a time; returns the answers and how long each took.
fn send_at_once(calls: Vec<Call>, vm: &Vm) -> Vec<(Option<HttpMessage>, Duration)> {
    let address = vm.callers;
    let send = |call: Call| {
        spawn(move || {
            let began = Instant::now();
            let answer = call.send(address);
            (answer, began.elapsed())
        })
    };
    let sending: Vec<_> = calls.into_iter().map(send).collect();
    sending.into_iter().map(|sending| sending.join().expect("a caller")).collect()
}

/// Has runners handle all their next requests in this way.
fn behave(runners: &[Runner], behavior: &Behavior) {
    for runner in runners {
        runner.clear_script();
        runner.queue_behaviors(&vec![behavior.clone(); 4 * CALLERS]);
    }
}

fn calls(path: &str, name: &str, count: usize) -> Vec<Call> {
    let name = name.replace(['(', ')'], "-");
    let call = |number| {
        let id = format!("{name}-{number}-{}", path.trim_matches('/'));
        if path == "/once/" { post(path, &id) } else { get(path, &id) }
    };
    (0..count).map(call).collect()
}

/// Checks that all callers have an answer in time, and that none has a success.
fn assert_all_fail_in_time(answers: &[(Option<HttpMessage>, Duration)], what: &str) {
    for (answer, took) in answers {
        let status = answer.as_ref().map_or(0, HttpMessage::status);
        assert!(status >= 500, "{what}: {status} after {took:?}");
        assert!(*took < ANSWERED_WITHIN, "{what}: {status} after {took:?}");
    }
}

/// Guards against VMs that are killed for the memory that answers without an end take.
#[test]
fn answers_without_an_end_take_bounded_memory_and_time() {
    let site = Site::start();
    let vm = site.start_vm("endless-bodies", "");
    let cases = [
        ("/once/", &site.plain, Part::Success),
        ("/once/", &site.plain, Part::Failure),
        ("/repeat/", &site.plain, Part::Success),
        ("/repeat/", &site.plain, Part::Failure),
        ("/stream/", &site.engines, Part::Failure),
        ("/stream/", &site.engines, Part::Event),
        ("/resumed/", &site.engines, Part::Event),
    ];
    for (path, runners, part) in cases {
        let what = format!("{path} {part:?}");
        behave(runners, &Behavior::Endless(part));

        let answers = send_at_once(calls(path, &format!("{part:?}"), CALLERS), &vm);

        assert_all_fail_in_time(&answers, &what);
        let peak = vm.peak_memory_mb();
        assert!(peak > 0 && peak < MEMORY_MB, "{what}: {peak} MB");
    }
}

/// Guards against bounds that cut sound answers.
#[test]
fn large_answers_stay_whole_beside_answers_without_an_end() {
    let site = Site::start();
    let vm = site.start_vm("large-beside-endless", "");
    behave(&site.plain[..1], &Behavior::Endless(Part::Success));
    behave(&site.plain[1..], &Behavior::Large(LARGE));

    let answers = send_at_once(calls("/repeat/", "large", CALLERS / 4), &vm);

    let whole = answers.iter().filter_map(|(answer, _)| answer.as_ref());
    let whole = whole.filter(|answer| answer.status() == 200);
    let whole: Vec<_> = whole.map(|answer| (answer.is_complete, answer.body.len())).collect();
    assert!(!whole.is_empty(), "no answer of the sound target");
    assert!(whole.iter().all(|whole| *whole == (true, LARGE)), "{whole:?}");
    assert!(vm.peak_memory_mb() < MEMORY_MB, "{} MB", vm.peak_memory_mb());
}

/// Guards against refusals that wait for a body until the deadline.
#[test]
fn a_declined_request_is_refused_at_once_whatever_follows_the_head() {
    let site = Site::start();
    let vm = site.start_vm("declined-heads", "");
    let routes = [("/once/", &site.plain), ("/repeat/", &site.plain), ("/stream/", &site.engines)];
    for (path, runners) in routes {
        for behavior in [Behavior::Stall(Part::Decline), Behavior::Endless(Part::Decline)] {
            behave(runners, &behavior);

            let answers = send_at_once(calls(path, &format!("{behavior:?}"), CALLERS), &vm);

            // One that waits for the body is told 504 at its deadline.
            for (answer, took) in answers {
                let status = answer.map_or(0, |answer| answer.status());
                assert!(
                    status == 503 && took < DEADLINE,
                    "{path} {behavior:?}: {status}, {took:?}"
                );
            }
        }
    }
    assert!(vm.peak_memory_mb() < MEMORY_MB, "{} MB", vm.peak_memory_mb());
}

/// Guards against an event without an end that is kept until the deadline.
#[test]
fn an_event_without_an_end_is_left_once_it_is_too_long() {
    let site = Site::start();
    let vm = site.start_vm("endless-events", "");
    behave(&site.engines, &Behavior::Endless(Part::Event));

    let answers = send_at_once(calls("/stream/", "event", CALLERS), &vm);

    // One that waits for the end is told 504 at its deadline.
    for (answer, took) in answers {
        let status = answer.map_or(0, |answer| answer.status());
        assert!(status == 502 && took < DEADLINE, "{status} after {took:?}");
    }
}

/// Guards against heads, and informational answers before them, that are read without a bound.
#[test]
fn heads_without_an_end_and_bytes_behind_an_answer_are_left() {
    let site = Site::start();
    let vm = site.start_vm("endless-heads", "");
    for (part, expected) in [(Part::Head, 502), (Part::Interim, 502), (Part::Tail, 200)] {
        behave(&site.plain, &Behavior::Endless(part));

        let answers = send_at_once(calls("/once/", &format!("{part:?}"), CALLERS), &vm);

        for (answer, took) in answers {
            let status = answer.map_or(0, |answer| answer.status());
            assert!(status == expected && took < DEADLINE, "{part:?}: {status} after {took:?}");
        }
        assert!(vm.peak_memory_mb() < MEMORY_MB, "{part:?}: {} MB", vm.peak_memory_mb());
    }
}

/// Guards against answers of workers that are kept without a bound.
#[test]
fn answers_of_workers_without_an_end_take_bounded_memory() {
    let site = Site::start();
    let vm = site.start_vm("endless-workers", "");
    for part in [Part::Success, Part::Failure, Part::Decline] {
        behave(&site.pool, &Behavior::Endless(part));

        let answers = send_at_once(chains(&format!("{part:?}")), &vm);

        assert_all_fail_in_time(&answers, &format!("{part:?}"));
        assert!(vm.peak_memory_mb() < MEMORY_MB, "{part:?}: {} MB", vm.peak_memory_mb());
    }
    site.pool.iter().for_each(Runner::clear_script);
    let chain = chains("sound").remove(0);
    assert_eq!(chain.send_until_run(vm.callers).map(|answer| answer.status()), Some(200));
}

/// Requests with two stages of some pieces.
fn chains(name: &str) -> Vec<Call> {
    let chain = |call: Call| call.with_header("Pieces", "6,6").with_header("Piece-Key", "key");
    calls("/chain/", name, CALLERS).into_iter().map(chain).collect()
}

/// Guards against answers of the store that are kept without a bound.
#[test]
fn answers_of_the_store_without_an_end_take_bounded_memory() {
    let site = Site::start();
    let vm = site.start_vm("endless-store", "");
    for status in ["200 OK", "503 Busy"] {
        site.store.set_mode(StoreMode::Endless(status));
        let requests = calls("/repeat/", status.split_at(3).0, CALLERS);
        std::thread::sleep(STORE_TROUBLE);

        let answers = send_at_once(requests, &vm);

        assert!(answers.iter().all(|(answer, _)| answer.is_some()), "{status}");
        assert!(vm.peak_memory_mb() < MEMORY_MB, "{status}: {} MB", vm.peak_memory_mb());
        site.store.set_mode(StoreMode::Normal);
        let version = if status == "200 OK" { 2 } else { 3 };
        site.store.put("op/config", &default_configuration(version));
        wait_until("the change is known", || vm.state()["configuration"] == version);
    }
}

/// Guards against a repeatable request that waits for the body of a failure.
#[test]
fn a_repeatable_request_is_tried_elsewhere_at_the_head_of_a_failure() {
    let site = Site::start();
    let vm = site.start_vm("failed-heads", "");
    for part in [Behavior::Stall(Part::Failure), Behavior::Endless(Part::Failure)] {
        behave(&site.plain[..1], &part);

        // Fewer than the retry budget has for a window.
        let answers = send_at_once(calls("/repeat/", &format!("{part:?}"), 4), &vm);

        for (answer, took) in answers {
            let status = answer.map_or(0, |answer| answer.status());
            assert!(status == 200 && took < DEADLINE, "{part:?}: {status} after {took:?}");
        }
    }
    // Logged when a target has been silent for three latency goals. VMs write their logs at intervals.
    std::thread::sleep(SETTLE_TIME);
    assert!(!vm.log().contains("another target tried"), "{}", vm.log());
}

/// Guards against callers of a streaming route that never get an answer.
#[test]
fn a_failure_of_a_streaming_route_that_stops_amid_its_body_is_answered_in_time() {
    let site = Site::start();
    let vm = site.start_vm("stopped-failure", "");
    for path in ["/stream/", "/resumed/"] {
        Site::queue_behavior(&site.engines, &Behavior::Stall(Part::Failure));
        let began = Instant::now();

        let answer = send_expecting_answer(&get(path, &format!("s-{}", path.len())), &vm);

        assert!(began.elapsed() < ANSWERED_WITHIN, "{path}: {:?}", began.elapsed());
        assert!([200, 504].contains(&answer.status()), "{path}: {}", answer.start_line);
        site.engines.iter().for_each(|engine| engine.clear_script());
    }
}

/// Guards against a peer that has a connection relayed and never says to which target.
#[tokio::test]
async fn a_relayed_connection_without_a_target_ends() {
    let site = Site::start();
    let vm = site.start_vm("relay-without-target", "");
    let peers = Endpoint::from_shared(format!("http://{}", vm.peers())).expect("an address");
    let mut client = WorkClient::new(peers.connect().await.expect("a connection"));
    let (_tx, rx) = unbounded_channel::<ToTarget>();

    let relayed = client.relay(UnboundedReceiverStream::new(rx)).await;
    let mut answers = relayed.expect("a call").into_inner();
    let ended = tokio::time::timeout(RELAY_ENDS_WITHIN, answers.message()).await;

    assert!(matches!(ended, Ok(Ok(None) | Err(_))), "{ended:?}");
}
