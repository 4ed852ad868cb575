//! Requests with stages beside VMs and workers that fall silent for a second or two and go on: each
//! request runs at most once, with exactly one result of each piece, one that is refused never
//! runs, and no result stays at a worker.

// A failing `expect` in a fixture fails the test.
#![allow(clippy::expect_used)]

use std::collections::BTreeSet;
use std::thread;
use std::time::Duration;

use serde_json::{Value, json};
use standins::fleet::wait_until;
use standins::serving_path::HttpMessage;
use standins::serving_path::callers::Call;
use standins::serving_path::runners::{Behavior, Runner};
use standins::serving_path::site::{HOST, Site, Vm, default_configuration};

/// Timeout of requests, in milliseconds.
const TIMEOUT_MS: u32 = 20_000;
/// Latency goal of requests, in milliseconds.
const LATENCY_GOAL_MS: u32 = 2500;
/// Pieces of the two stages of each request.
const PIECES: [usize; 2] = [2, 3];
/// Requests in each case.
const REQUESTS: u32 = 24;
/// Pause between two requests.
const PAUSE: Duration = Duration::from_millis(60);
/// Time of a worker's call while it is not silent.
const CALL_TIME: Duration = Duration::from_millis(60);
/// How long a worker is silent in some calls.
const SILENCE: Duration = Duration::from_millis(1500);

/// Two linked VMs: the owner of the pool, and the requester, at which the requests arrive.
struct Pair {
    owner: Vm,
    requester: Vm,
}

impl Pair {
    fn start(site: &Site, name: &str) -> Self {
        let mut config = default_configuration(2);
        for route in config["routes"].as_array_mut().expect("routes") {
            route["timeout_ms"] = json!(TIMEOUT_MS);
            route["target_latency_ms"] = json!(LATENCY_GOAL_MS);
        }
        // A result that expired at its worker would not be released.
        config["services"][1]["pieces"]["handle_s"] = json!(60.0);
        site.store.put("op/config", &config);
        let one = site.start_vm(&format!("{name}-1"), "");
        let other = site.start_vm(&format!("{name}-2"), "");
        wait_until("the VMs are linked and have the configuration", || {
            let is_ready =
                |vm: &&Vm| vm.linked_peers() == 1 && vm.state()["configuration"] == json!(2);
            [&one, &other].iter().all(is_ready)
        });
        if one.state()["pools"][0]["filled_by"] == json!("this VM") {
            Pair { owner: one, requester: other }
        } else {
            Pair { owner: other, requester: one }
        }
    }
}

/// Sends requests to a VM at intervals of [`PAUSE`] and calls `disturb` meanwhile; returns the
/// answers.
fn send_all(vm: &Vm, disturb: impl FnOnce()) -> Vec<(String, Option<HttpMessage>)> {
    let address = vm.callers;
    thread::scope(|scope| {
        let callers: Vec<_> = (0..REQUESTS)
            .map(|number| {
                scope.spawn(move || {
                    thread::sleep(PAUSE * number);
                    let id = format!("r-{number}");
                    let pieces = PIECES.map(|count| count.to_string()).join(",");
                    let answer = Call::new("POST", HOST, "/chain/", &id)
                        .with_header("Deadline-Milliseconds", &TIMEOUT_MS.to_string())
                        .with_header("Pieces", &pieces)
                        .with_header("Piece-Key", "k")
                        .body(b"a body")
                        .send(address);
                    (id, answer)
                })
            })
            .collect();
        disturb();
        callers.into_iter().map(|caller| caller.join().expect("no panic")).collect()
    })
}

/// Makes each worker slow, and silent in every tenth call.
fn set_workers(site: &Site) {
    let mut script = vec![Behavior::Hang(CALL_TIME); 10];
    script[4] = Behavior::Hang(SILENCE);
    let script: Vec<Behavior> = script.iter().cycle().take(500).cloned().collect();
    site.pool.iter().for_each(|worker| worker.queue_behaviors(&script));
}

fn signal_twice(vm: &Vm, after: Duration, pause: Duration) {
    for _ in 0..2 {
        thread::sleep(after);
        vm.signal("-STOP");
        thread::sleep(pause);
        vm.signal("-CONT");
    }
}

/// Number of distinct handles among those given, if none is given twice.
fn count_distinct(handles: &[&str]) -> Option<usize> {
    let distinct: BTreeSet<&&str> = handles.iter().collect();
    (distinct.len() == handles.len()).then_some(handles.len())
}

/// Checks that each call of a piece of the second stage names one result of each piece of the first.
fn check_piece_inputs(site: &Site, case: &str) {
    for message in site.pool.iter().flat_map(Runner::messages) {
        let body: Value = serde_json::from_slice(&message.body).expect("a call");
        let items = body["items"].as_array().expect("items");
        for item in items.iter().filter(|item| item["stage"] == json!(1)) {
            let inputs = item["inputs"].as_array().expect("inputs");
            let inputs: Vec<&str> = inputs.iter().filter_map(Value::as_str).collect();
            assert_eq!(count_distinct(&inputs), Some(PIECES[0]), "{case}: {item}");
        }
    }
}

/// Checks that each request at an engine names one result of each piece of the second stage.
fn check_request_inputs(site: &Site, case: &str) {
    for message in site.engines.iter().flat_map(Runner::messages) {
        let inputs: Vec<&str> = message.header("inputs").split(',').map(str::trim).collect();
        assert_eq!(count_distinct(&inputs), Some(PIECES[1]), "{case}: {inputs:?}");
    }
}

fn check_all(site: &Site, case: &str, answers: &[(String, Option<HttpMessage>)]) {
    let statuses: Vec<_> = answers
        .iter()
        .map(|(id, answer)| {
            let status = answer.as_ref().map_or((0, false), |a| (a.status(), a.is_complete));
            (status, site.runs(id))
        })
        .collect();
    let is_served = |outcome: &((u16, bool), usize)| *outcome == ((200, true), 1);
    let is_refused = |outcome: &((u16, bool), usize)| *outcome == ((503, true), 0);
    assert!(statuses.iter().all(|s| is_served(s) || is_refused(s)), "{case}: {statuses:?}");
    check_piece_inputs(site, case);
    check_request_inputs(site, case);
    wait_all_released(site, case);
    // A silent worker may have had a call in progress.
    thread::sleep(SILENCE);
    wait_all_released(site, case);
}

fn wait_all_released(site: &Site, case: &str) {
    let made = || site.pool.iter().flat_map(Runner::made).map(|made| made.handle);
    let released = || site.pool.iter().flat_map(Runner::released).collect::<BTreeSet<_>>();
    wait_until(case, || made().collect::<BTreeSet<_>>() == released());
}

/// Guards against stage work that is lost, doubled or left at workers beside silences of a second.
#[test]
fn stage_work_survives_silences_of_vms_and_workers() {
    let ms = Duration::from_millis;
    let cases = [
        ("owner-1200", true, ms(1200)),
        ("owner-2500", true, ms(2500)),
        ("requester-1200", false, ms(1200)),
        ("requester-2500", false, ms(2500)),
    ];
    thread::scope(|scope| {
        for (case, is_owner, pause) in cases {
            scope.spawn(move || {
                let site = Site::start();
                let pair = Pair::start(&site, &format!("paused-{case}"));
                set_workers(&site);
                let paused = if is_owner { &pair.owner } else { &pair.requester };
                let answers = send_all(&pair.requester, || signal_twice(paused, ms(400), pause));
                check_all(&site, case, &answers);
            });
        }
    });
}
