//! Evacuation of halls by operators, and the load on cold targets, with real processes and the
//! stand-ins of the users' platform.
//!
//! An evacuated hall gets no new work, and what already runs there completes. Once a hall is back
//! in use, its targets are cold for a while. All VMs see them idle at the same time, so each VM
//! sends only its part of the rate that a cold target can sustain.

// A failing `expect` in a helper fails the test.
#![allow(clippy::expect_used)]

use std::thread;
use std::time::{Duration, Instant};

use serde_json::{Value, json};
use standins::fleet::wait_until;
use standins::serving_path::faulty_link::{FaultyLink, LinkMode};
use standins::serving_path::runners::{Behavior, Runner};
use standins::serving_path::site::{
    SETTLE_TIME, Site, Vm, default_configuration, get, post, send_expecting_answer,
};
use standins::serving_path::store::StoreMode;

/// Upper bound for an answer that is given without waiting.
const IMMEDIATE: Duration = Duration::from_millis(250);

fn start_two_halls() -> Site {
    Site::start_in(["hall-a", "hall-b"])
}

fn evacuated_halls(vm: &Vm) -> Value {
    vm.state()["halls_evacuated"].clone()
}

fn wait_evacuated(vm: &Vm, halls: &[&str]) {
    wait_until("the evacuation is known", || evacuated_halls(vm) == json!(halls));
}

fn wait_logged(vm: &Vm, text: &str) {
    wait_until("the text is logged", || vm.log().contains(text));
}

/// Sends four requests of each kind; returns the ids of those that were not answered completely
/// with status 200.
fn send_each_kind(vm: &Vm, id_prefix: &str) -> Vec<String> {
    let chain = |id: &str| {
        post("/chain/", id).with_header("Pieces", "2,1").with_header("Piece-Key", "secret")
    };
    let calls = (0..4).flat_map(|number| {
        let id = |kind: &str| format!("{id_prefix}-{kind}-{number}");
        [
            (id("plain"), get("/repeat/", &id("plain"))),
            (id("stream"), post("/stream/", &id("stream"))),
            (id("chain"), chain(&id("chain"))),
        ]
    });
    let failed = calls.filter(|(_, call)| {
        let answer = send_expecting_answer(call, vm);
        answer.status() != 200 || !answer.is_complete
    });
    failed.map(|(id, _)| id).collect()
}

fn received(runners: &[&Runner]) -> Vec<usize> {
    runners.iter().map(|runner| runner.messages().len()).collect()
}

fn runners_of_hall(site: &Site, index: usize) -> [&Runner; 3] {
    [&site.plain[index], &site.engines[index], &site.pool[index]]
}

#[test]
fn an_evacuated_hall_gets_no_new_work_until_the_evacuation_ends() {
    let site = start_two_halls();
    let vm = site.start_vm("evacuated", "");
    assert!(send_each_kind(&vm, "before").is_empty());

    site.evacuate("hall-a");
    wait_evacuated(&vm, &["hall-a"]);
    let before = received(&runners_of_hall(&site, 0));
    let failed = send_each_kind(&vm, "evacuated");
    let after = received(&runners_of_hall(&site, 0));
    // Now the other hall is evacuated, so that only this one can serve.
    site.end_evacuation("hall-a");
    site.evacuate("hall-b");
    wait_evacuated(&vm, &["hall-b"]);
    let failed_after = send_each_kind(&vm, "back");

    assert!(failed.is_empty(), "{failed:?}");
    assert_eq!(before, after, "no request reached the evacuated hall");
    assert!(failed_after.is_empty(), "{failed_after:?}");
    let returned = received(&runners_of_hall(&site, 0));
    assert!(
        returned.iter().zip(&after).all(|(returned, after)| returned > after),
        "{after:?} {returned:?}"
    );
    wait_logged(&vm, "hall evacuated");
    wait_logged(&vm, "hall taken back");
    let metrics = vm.operations_page("/metrics");
    let halls = metrics.lines().find(|line| line.starts_with("saddlerail_halls_evacuated"));
    assert!(halls.is_some_and(|line| line.ends_with(" 1")), "{metrics}");
}

#[test]
fn requests_are_refused_immediately_if_all_halls_are_evacuated() {
    let site = start_two_halls();
    let vm = site.start_vm("all-evacuated", "");
    site.evacuate("hall-a");
    site.evacuate("hall-b");
    wait_evacuated(&vm, &["hall-a", "hall-b"]);

    for (path, id) in
        [("/repeat/", "p-1"), ("/once/", "p-2"), ("/stream/", "p-3"), ("/chain/", "p-4")]
    {
        let began = Instant::now();
        let call = post(path, id).with_header("Pieces", "2,1").with_header("Piece-Key", "secret");
        let answer = send_expecting_answer(&call, &vm);

        assert_eq!(answer.status(), 503, "{path}");
        assert!(began.elapsed() < IMMEDIATE, "{path}: {:?}", began.elapsed());
        assert!(!answer.header("retry-after").is_empty(), "{path}");
        assert_eq!(site.runs(id), 0, "{path}");
    }
}

#[test]
fn waiting_pieces_fail_immediately_when_the_last_hall_is_evacuated() {
    let site = start_two_halls();
    let vm = site.start_vm("pieces-evacuated", "");
    Site::queue_behavior(&site.pool, &Behavior::Hang(Duration::from_millis(1500)));
    let busy: Vec<_> = (0..2)
        .map(|number| {
            let (callers, id) = (vm.callers, format!("busy-{number}"));
            thread::spawn(move || {
                let call = post("/chain/", &id)
                    .with_header("Pieces", "8,1")
                    .with_header("Piece-Key", "secret");
                call.send(callers)
            })
        })
        .collect();
    wait_until("both workers execute a call", || {
        site.pool.iter().all(|worker| !worker.messages().is_empty())
    });
    let (callers, began) = (vm.callers, Instant::now());
    let waiting = thread::spawn(move || {
        let call = post("/chain/", "waits")
            .with_header("Pieces", "8,1")
            .with_header("Piece-Key", "secret");
        (call.send(callers), Instant::now())
    });

    site.evacuate("hall-a");
    site.evacuate("hall-b");
    let (answer, answered_at) = waiting.join().expect("a caller");

    assert_eq!(answer.expect("an answer").status(), 503);
    assert!(answered_at - began < Duration::from_millis(1300), "{:?}", answered_at - began);
    wait_logged(&vm, "pieces given up");
    busy.into_iter().for_each(|caller| drop(caller.join()));
}

#[test]
fn a_running_stream_completes_in_an_evacuated_hall() {
    let site = start_two_halls();
    let vm = site.start_vm("under-way", "");
    site.evacuate("hall-b");
    wait_evacuated(&vm, &["hall-b"]);
    site.engines[0].queue_behaviors(&[Behavior::SlowStream(10, Duration::from_millis(120))]);
    let callers = vm.callers;
    let stream = thread::spawn(move || post("/stream/", "slow").send(callers));
    wait_until("the stream runs", || site.runs("slow") == 1);

    site.end_evacuation("hall-b");
    site.evacuate("hall-a");
    wait_evacuated(&vm, &["hall-a"]);
    let answer = stream.join().expect("a caller").expect("an answer");

    assert!(answer.is_complete, "{answer:?}");
    assert_eq!(site.runs("slow"), 1);
}

#[test]
fn a_vm_that_starts_during_a_store_outage_learns_of_an_evacuation_from_a_peer() {
    let site = start_two_halls();
    let first = site.start_vm("peer-knows", "");
    site.evacuate("hall-a");
    wait_evacuated(&first, &["hall-a"]);
    let link = FaultyLink::start(site.store.address).expect("a link to the store");
    link.set(LinkMode::Blackhole);

    let seeds = format!("seeds: ['{}']\n", first.peers());
    let late_vm = Vm::start("peer-asks", "hall-a", link.address, &seeds);
    site.wait_for_all_runners(&late_vm);

    assert_eq!(evacuated_halls(&late_vm), json!(["hall-a"]));
}

#[test]
fn changes_of_evacuations_during_a_store_outage_are_in_force_after_it() {
    let site = start_two_halls();
    let vm = site.start_vm("store-away", "");
    site.evacuate("hall-a");
    wait_evacuated(&vm, &["hall-a"]);

    site.store.set_mode(StoreMode::Unresponsive);
    site.end_evacuation("hall-a");
    site.evacuate("hall-b");
    thread::sleep(SETTLE_TIME);
    let meanwhile = evacuated_halls(&vm);
    site.store.set_mode(StoreMode::Normal);

    assert_eq!(meanwhile, json!(["hall-a"]), "the evacuation in force stays");
    wait_evacuated(&vm, &["hall-b"]);
    // Compaction of the store's history must not restore an earlier state.
    site.store.compact_history();
    thread::sleep(SETTLE_TIME);
    assert_eq!(evacuated_halls(&vm), json!(["hall-b"]));
}

#[test]
fn the_last_of_several_quick_evacuation_changes_is_in_force() {
    let site = start_two_halls();
    let vm = site.start_vm("twice", "");

    site.evacuate("hall-a");
    site.end_evacuation("hall-a");
    site.evacuate("hall-a");
    wait_evacuated(&vm, &["hall-a"]);
    site.end_evacuation("hall-a");
    site.evacuate("hall-a");
    site.end_evacuation("hall-a");

    wait_evacuated(&vm, &[]);
    thread::sleep(SETTLE_TIME);
    assert_eq!(evacuated_halls(&vm), json!([]));
}

#[test]
fn invalid_entries_are_ignored_and_logged_with_their_location() {
    let site = start_two_halls();
    let vm = site.start_vm("unreadable", "");
    site.evacuate("hall-a");
    wait_evacuated(&vm, &["hall-a"]);

    site.store.put("op/evacuate/hall-b", &json!("soon"));
    site.evacuate("nowhere");
    wait_evacuated(&vm, &["hall-a", "nowhere"]);

    wait_logged(&vm, "op/evacuate/hall-b");
    assert!(send_each_kind(&vm, "still").is_empty(), "hall-b still serves");
    // Invalid values for cold targets: the previous entry and configuration stay in force.
    let mut invalid = default_configuration(2);
    invalid["services"][0]["cold_per_s"] = json!(-4);
    site.store.put("op/config", &invalid);
    site.register_runner(&site.plain[1], "plain", "hall-b", Duration::MAX);
    wait_logged(&vm, "cold_per_s");
    wait_logged(&vm, "cold_remaining_ms");
    assert_eq!(vm.state()["configuration"], json!(1));
    assert!(send_each_kind(&vm, "in-force").is_empty());
}

/// VMs that send requests to the cold targets.
const VMS: usize = 6;
/// Cold targets of the hall.
const COLD_TARGETS: usize = 8;
/// Requests that a cold target may get within a second: rate 4 x overshoot 1.5 + slack 2.
const MAX_COLD_REQUESTS: usize = 8;

#[test]
fn cold_targets_of_a_returning_hall_get_a_limited_request_rate() {
    let site = Site::start();
    let mut config = default_configuration(2);
    config["services"][0]["cold_start_s"] = json!(2.0);
    config["services"][0]["cold_per_s"] = json!(4.0);
    site.store.put("op/config", &config);
    site.evacuate("hall-b");
    let hall_b: Vec<Runner> = (0..COLD_TARGETS)
        .map(|number| Runner::start(&format!("i-b-{number}"), Behavior::Answer).expect("a runner"))
        .collect();
    hall_b
        .iter()
        .for_each(|runner| site.register_runner(runner, "plain", "hall-b", Duration::ZERO));
    let cold = "cold: {overshoot: 1.5, slack: 2}\n";
    let vms: Vec<Vm> = (0..VMS).map(|n| site.start_vm(&format!("cold-{n}"), cold)).collect();
    vms.iter().for_each(|vm| wait_evacuated(vm, &["hall-b"]));
    wait_until("the VMs know each other", || {
        vms.iter().all(|vm| vm.state()["peers"].as_array().map(Vec::len) == Some(VMS - 1))
    });

    site.end_evacuation("hall-b");
    let began = Instant::now();
    let callers: Vec<_> = vms
        .iter()
        .enumerate()
        .flat_map(|(vm_number, vm)| (0..8).map(move |caller| (vm_number, caller, vm.callers)))
        .map(|(vm_number, caller, callers)| {
            thread::spawn(move || {
                let mut refused = 0;
                for number in 0.. {
                    if began.elapsed() > Duration::from_millis(1900) {
                        return refused;
                    }
                    let id = format!("cold-{vm_number}-{caller}-{number}");
                    let answer = get("/repeat/", &id).send(callers).expect("an answer");
                    refused += usize::from(answer.status() != 200);
                }
                refused
            })
        })
        .collect();
    let refused: usize = callers.into_iter().map(|caller| caller.join().expect("a caller")).sum();

    // The hall got no requests before `began`.
    let max_per_second = |runner: &Runner| runner.most_within(Duration::from_secs(1), began);
    let most: Vec<usize> = hall_b.iter().map(max_per_second).collect();
    assert!(most.iter().all(|most| *most <= MAX_COLD_REQUESTS), "{most:?}");
    assert!(most.iter().sum::<usize>() >= COLD_TARGETS, "the hall is used: {most:?}");
    assert_eq!(refused, 0, "warm targets serve meanwhile");
}
