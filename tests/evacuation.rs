//! Halls that operators take out of service, and targets that are cold, with real processes before the
//! stand-ins of the users' platform.

// A helper that can't go on fails its test.
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

/// An answer that was not waited for.
const AT_ONCE: Duration = Duration::from_millis(250);

fn two_halls() -> Site {
    Site::start_in(["hall-a", "hall-b"])
}

fn evacuated(vm: &Vm) -> Value {
    vm.state()["halls_evacuated"].clone()
}

fn wait_evacuated(vm: &Vm, halls: &[&str]) {
    wait_until("the evacuation is known", || evacuated(vm) == json!(halls));
}

fn wait_logged(vm: &Vm, text: &str) {
    wait_until("it is logged", || vm.log().contains(text));
}

/// Sends a request of each kind a few times; gives the names of the calls that were not whole.
fn send_each(vm: &Vm, run: &str) -> Vec<String> {
    let chain = |id: &str| {
        post("/chain/", id).with_header("Pieces", "2,1").with_header("Piece-Key", "secret")
    };
    let calls = (0..4).flat_map(|number| {
        let id = |kind: &str| format!("{run}-{kind}-{number}");
        [
            (id("plain"), get("/repeat/", &id("plain"))),
            (id("stream"), post("/stream/", &id("stream"))),
            (id("chain"), chain(&id("chain"))),
        ]
    });
    let not_whole = calls.filter(|(_, call)| {
        let answer = send_expecting_answer(call, vm);
        answer.status() != 200 || !answer.is_complete
    });
    not_whole.map(|(id, _)| id).collect()
}

fn received(runners: &[&Runner]) -> Vec<usize> {
    runners.iter().map(|runner| runner.messages().len()).collect()
}

fn of_hall(site: &Site, index: usize) -> [&Runner; 3] {
    [&site.plain[index], &site.engines[index], &site.pool[index]]
}

#[test]
fn an_evacuated_hall_gets_no_new_work_of_any_kind_until_it_is_taken_back() {
    let site = two_halls();
    let vm = site.start_vm("evacuated", "");
    assert!(send_each(&vm, "before").is_empty());

    site.evacuate("hall-a");
    wait_evacuated(&vm, &["hall-a"]);
    let before = received(&of_hall(&site, 0));
    let failed = send_each(&vm, "evacuated");
    let after = received(&of_hall(&site, 0));
    // The other hall is emptied then, so that only this one can serve.
    site.end_evacuation("hall-a");
    site.evacuate("hall-b");
    wait_evacuated(&vm, &["hall-b"]);
    let failed_after = send_each(&vm, "back");

    assert!(failed.is_empty(), "{failed:?}");
    assert_eq!(before, after, "nothing was sent there");
    assert!(failed_after.is_empty(), "{failed_after:?}");
    let back = received(&of_hall(&site, 0));
    assert!(back.iter().zip(&after).all(|(back, after)| back > after), "{after:?} {back:?}");
    wait_logged(&vm, "hall evacuated");
    wait_logged(&vm, "hall taken back");
    let metrics = vm.operations_page("/metrics");
    let halls = metrics.lines().find(|line| line.starts_with("saddlerail_halls_evacuated"));
    assert!(halls.is_some_and(|line| line.ends_with(" 1")), "{metrics}");
}

#[test]
fn callers_of_services_that_are_all_out_of_service_are_told_at_once() {
    let site = two_halls();
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
        assert!(began.elapsed() < AT_ONCE, "{path}: {:?}", began.elapsed());
        assert!(!answer.header("retry-after").is_empty(), "{path}");
        assert_eq!(site.runs(id), 0, "{path}");
    }
}

#[test]
fn pieces_that_wait_when_the_last_hall_is_evacuated_are_given_up_at_once() {
    let site = two_halls();
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
    wait_until("both workers are at work", || {
        site.pool.iter().all(|worker| !worker.messages().is_empty())
    });
    let (callers, began) = (vm.callers, Instant::now());
    let waits = thread::spawn(move || {
        let call = post("/chain/", "waits")
            .with_header("Pieces", "8,1")
            .with_header("Piece-Key", "secret");
        (call.send(callers), Instant::now())
    });

    site.evacuate("hall-a");
    site.evacuate("hall-b");
    let (answer, at) = waits.join().expect("a caller");

    assert_eq!(answer.expect("an answer").status(), 503);
    assert!(at - began < Duration::from_millis(1300), "{:?}", at - began);
    wait_logged(&vm, "pieces given up");
    busy.into_iter().for_each(|caller| drop(caller.join()));
}

#[test]
fn a_stream_that_is_under_way_ends_where_it_is() {
    let site = two_halls();
    let vm = site.start_vm("under-way", "");
    site.evacuate("hall-b");
    wait_evacuated(&vm, &["hall-b"]);
    site.engines[0].queue_behaviors(&[Behavior::SlowStream(10, Duration::from_millis(120))]);
    let callers = vm.callers;
    let stream = thread::spawn(move || post("/stream/", "slow").send(callers));
    wait_until("it runs", || site.runs("slow") == 1);

    site.end_evacuation("hall-b");
    site.evacuate("hall-a");
    wait_evacuated(&vm, &["hall-a"]);
    let answer = stream.join().expect("a caller").expect("an answer");

    assert!(answer.is_complete, "{answer:?}");
    assert_eq!(site.runs("slow"), 1);
}

#[test]
fn a_vm_that_starts_while_the_store_is_away_hears_of_an_evacuation_from_a_peer() {
    let site = two_halls();
    let first = site.start_vm("peer-knows", "");
    site.evacuate("hall-a");
    wait_evacuated(&first, &["hall-a"]);
    let link = FaultyLink::start(site.store.address).expect("a link");
    link.set(LinkMode::Blackhole);

    let seeds = format!("seeds: ['{}']\n", first.peers());
    let late = Vm::start("peer-asks", "hall-a", link.address, &seeds);
    site.wait_for_all_runners(&late);

    assert_eq!(evacuated(&late), json!(["hall-a"]));
}

#[test]
fn an_evacuation_and_its_end_while_the_store_is_away_are_in_force_once_it_is_back() {
    let site = two_halls();
    let vm = site.start_vm("store-away", "");
    site.evacuate("hall-a");
    wait_evacuated(&vm, &["hall-a"]);

    site.store.set_mode(StoreMode::Unresponsive);
    site.end_evacuation("hall-a");
    site.evacuate("hall-b");
    thread::sleep(SETTLE_TIME);
    let meanwhile = evacuated(&vm);
    site.store.set_mode(StoreMode::Normal);

    assert_eq!(meanwhile, json!(["hall-a"]), "what is in force stays");
    wait_evacuated(&vm, &["hall-b"]);
    // History that is gone brings neither back.
    site.store.compact_history();
    thread::sleep(SETTLE_TIME);
    assert_eq!(evacuated(&vm), json!(["hall-b"]));
}

#[test]
fn evacuations_twice_within_a_moment_end_as_the_last_word_says() {
    let site = two_halls();
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
    assert_eq!(evacuated(&vm), json!([]));
}

#[test]
fn what_can_not_be_read_is_left_out_with_its_place() {
    let site = two_halls();
    let vm = site.start_vm("unreadable", "");
    site.evacuate("hall-a");
    wait_evacuated(&vm, &["hall-a"]);

    site.store.put("op/evacuate/hall-b", &json!("soon"));
    site.evacuate("nowhere");
    wait_evacuated(&vm, &["hall-a", "nowhere"]);

    wait_logged(&vm, "op/evacuate/hall-b");
    assert!(send_each(&vm, "still").is_empty(), "hall-b serves");
    // Absurd figures of cold targets: the entry and the configuration in force stay.
    let mut absurd = default_configuration(2);
    absurd["services"][0]["cold_per_s"] = json!(-4);
    site.store.put("op/config", &absurd);
    site.register_runner(&site.plain[1], "plain", "hall-b", Duration::MAX);
    wait_logged(&vm, "cold_per_s");
    wait_logged(&vm, "cold_remaining_ms");
    assert_eq!(vm.state()["configuration"], json!(1));
    assert!(send_each(&vm, "in-force").is_empty());
}

/// VMs before the cold targets of a hall, and those targets.
const VMS: usize = 6;
const COLD: usize = 8;
/// Requests that a cold target may get within a second: 4 x 1.5 + 2.
const BORNE: usize = 8;

#[test]
fn a_hall_of_cold_targets_that_comes_back_is_not_rushed_at() {
    let site = Site::start();
    let mut rated = default_configuration(2);
    rated["services"][0]["cold_start_s"] = json!(2.0);
    rated["services"][0]["cold_per_s"] = json!(4.0);
    site.store.put("op/config", &rated);
    site.evacuate("hall-b");
    let hall_b: Vec<Runner> = (0..COLD)
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
        .flat_map(|(vm, of)| (0..8).map(move |caller| (vm, caller, of.callers)))
        .map(|(vm, caller, callers)| {
            thread::spawn(move || {
                let mut refused = 0;
                for number in 0.. {
                    if began.elapsed() > Duration::from_millis(1900) {
                        return refused;
                    }
                    let id = format!("cold-{vm}-{caller}-{number}");
                    let answer = get("/repeat/", &id).send(callers).expect("an answer");
                    refused += usize::from(answer.status() != 200);
                }
                refused
            })
        })
        .collect();
    let refused: usize = callers.into_iter().map(|caller| caller.join().expect("a caller")).sum();

    // The hall was out of service until then.
    let in_a_second = |runner: &Runner| runner.most_within(Duration::from_secs(1), began);
    let most: Vec<usize> = hall_b.iter().map(in_a_second).collect();
    assert!(most.iter().all(|most| *most <= BORNE), "{most:?}");
    assert!(most.iter().sum::<usize>() >= COLD, "the hall is used: {most:?}");
    assert_eq!(refused, 0, "warm targets serve meanwhile");
}
