//! Workers that fall silent for a second or so and then go on: the requests that wait for their
//! pieces are served, and no result stays at a worker.

// A failing `expect` in a fixture fails the test.
#![allow(clippy::expect_used)]

use std::collections::BTreeSet;
use std::thread;
use std::time::Duration;

use serde_json::json;
use standins::fleet::wait_until;
use standins::serving_path::HttpMessage;
use standins::serving_path::callers::Call;
use standins::serving_path::runners::{Behavior, Runner};
use standins::serving_path::site::{HOST, Site, Vm, default_configuration};

/// Timeout of requests, in milliseconds.
const TIMEOUT_MS: u32 = 20_000;
/// Latency goal of requests, in milliseconds.
const LATENCY_GOAL_MS: u32 = 2500;
/// How long a worker is silent in each call; many times the configured time of a call.
const SILENCE: Duration = Duration::from_millis(1500);
/// Requests in each case.
const REQUESTS: usize = 8;
/// Pause between two requests that all arrive before a call is overdue.
const PAUSE: Duration = Duration::from_millis(25);
/// Pause between two requests some of which arrive when all workers are known to be silent.
const LONG_PAUSE: Duration = Duration::from_millis(100);
/// Settings of a stop whose grace period is long enough for all requests.
const STOP: &str = "stop: {notice_ms: 1000, grace_s: 12}\n";

/// A site whose requests have a timeout of [`TIMEOUT_MS`].
fn start_site() -> Site {
    let site = Site::start();
    let mut config = default_configuration(2);
    for route in config["routes"].as_array_mut().expect("routes") {
        route["timeout_ms"] = json!(TIMEOUT_MS);
        route["target_latency_ms"] = json!(LATENCY_GOAL_MS);
    }
    site.store.put("op/config", &config);
    site
}

fn start_vm(site: &Site, name: &str) -> Vm {
    let vm = site.start_vm(name, STOP);
    wait_until("the configuration is in force", || vm.state()["configuration"] == json!(2));
    vm
}

/// Queues a behavior so often that all these runners use it until the end of the test.
fn set_behavior(runners: &[Runner], behavior: &Behavior) {
    runners.iter().for_each(|runner| runner.queue_behaviors(&vec![behavior.clone(); 1000]));
}

/// A request with this number of pieces in each of two stages.
fn chain(id: &str, pieces: &str) -> Call {
    Call::new("POST", HOST, "/chain/", id)
        .with_header("Deadline-Milliseconds", &TIMEOUT_MS.to_string())
        .with_header("Pieces", pieces)
        .with_header("Piece-Key", "k")
        .body(b"a body")
}

/// Sends requests with a piece in each of two stages at intervals of `pause`, without waiting for
/// answers, and calls `meanwhile`; returns the answers.
fn send_all(vm: &Vm, pause: Duration, meanwhile: impl FnOnce()) -> Vec<Option<HttpMessage>> {
    let address = vm.callers;
    thread::scope(|scope| {
        let callers: Vec<_> = (0..REQUESTS)
            .map(|number| {
                scope.spawn(move || {
                    thread::sleep(pause * u32::try_from(number).unwrap_or(u32::MAX));
                    chain(&format!("r-{number}"), "1,1").send(address)
                })
            })
            .collect();
        meanwhile();
        callers.into_iter().map(|caller| caller.join().expect("no panic")).collect()
    })
}

/// Status of each answer, and whether it is complete.
fn outcomes(answers: &[Option<HttpMessage>]) -> Vec<(u16, bool)> {
    let outcome = |answer: &Option<HttpMessage>| {
        answer.as_ref().map_or((0, false), |answer| (answer.status(), answer.is_complete))
    };
    answers.iter().map(outcome).collect()
}

fn wait_all_released(site: &Site) {
    let made = || site.pool.iter().flat_map(Runner::made).map(|made| made.handle);
    let released = || site.pool.iter().flat_map(Runner::released).collect::<BTreeSet<_>>();
    wait_until("each result is released", || made().collect::<BTreeSet<_>>() == released());
}

/// Guards against requests that are refused because their calls to silent workers were given up.
#[test]
fn requests_are_served_although_all_workers_are_silent_in_each_call() {
    let site = start_site();
    let vm = start_vm(&site, "all-silent");
    set_behavior(&site.pool, &Behavior::Hang(SILENCE));

    let answers = send_all(&vm, PAUSE, || ());

    assert_eq!(outcomes(&answers), [(200, true); REQUESTS]);
    wait_all_released(&site);
}

/// Guards against requests that are refused because all workers have been silent for a moment.
#[test]
fn requests_that_arrive_while_all_workers_are_silent_are_served() {
    let site = start_site();
    let vm = start_vm(&site, "arrive-silent");
    set_behavior(&site.pool, &Behavior::Hang(SILENCE));

    let answers = send_all(&vm, LONG_PAUSE, || ());

    assert_eq!(outcomes(&answers), [(200, true); REQUESTS]);
}

/// Guards against requests that a stopping VM refuses because their workers are silent.
#[test]
fn requests_are_served_by_a_stopping_vm_although_all_workers_are_silent() {
    let site = start_site();
    let mut vm = start_vm(&site, "stop-silent");
    set_behavior(&site.pool, &Behavior::Hang(SILENCE));

    let answers = send_all(&vm, PAUSE, || {
        thread::sleep(PAUSE * 4);
        vm.signal("-TERM");
    });

    assert_eq!(outcomes(&answers), [(200, true); REQUESTS]);
    assert_eq!(vm.wait_exit(), Some(0));
}

/// Guards against a result that stays at a worker which was silent while its entry lapsed.
#[test]
fn an_unused_result_is_released_at_a_worker_whose_entry_lapsed() {
    let site = start_site();
    let vm = start_vm(&site, "lapsed-silent");
    Site::queue_behavior(&site.pool, &Behavior::Hang(SILENCE));
    let address = vm.callers;

    let caller = thread::spawn(move || chain("r-1", "1,0").send(address));
    wait_until("both workers have a call", || {
        site.pool.iter().all(|worker| !worker.messages().is_empty())
    });
    site.pool.iter().for_each(|worker| site.store.remove(&format!("servers/{}", worker.id)));
    wait_until("the VM knows no worker", || vm.targets() == 4);
    for worker in &site.pool {
        site.register_runner(worker, "pool", "hall-a", Duration::ZERO);
    }

    let answer = caller.join().expect("no panic").expect("an answer");
    assert_eq!(answer.status(), 200, "{answer:?}");
    let made = || site.pool.iter().map(|worker| worker.made().len()).sum::<usize>();
    wait_until("the silent workers have made their results", || made() == 3);
    wait_all_released(&site);
}
