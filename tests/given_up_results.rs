//! Results of stages are given up at their workers whatever becomes of the VMs: the one that had them made (the
//! owner), and the one of the request (the requester).

// A fixture that can't be set up fails its test.
#![allow(clippy::expect_used)]

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::thread::{self, JoinHandle};
use std::time::Duration;

use serde_json::json;
use standins::fleet::wait_until;
use standins::serving_path::HttpMessage;
use standins::serving_path::runners::{Behavior, Runner};
use standins::serving_path::site::{
    SETTLE_TIME, Site, Vm, default_configuration, post, send_expecting_answer,
};

/// Two VMs that are linked: the owner of the pool and the other one.
struct Pair {
    owner: Vm,
    requester: Vm,
}

impl Pair {
    fn start(site: &Site, name: &str) -> Self {
        let one = site.start_vm(&format!("{name}-1"), "");
        let other = site.start_vm(&format!("{name}-2"), "");
        wait_until("they are linked", || [&one, &other].iter().all(|vm| vm.linked_peers() == 1));
        if one.state()["pools"][0]["filled_by"] == json!("this VM") {
            Pair { owner: one, requester: other }
        } else {
            Pair { owner: other, requester: one }
        }
    }
}

/// Sends requests of a chain with three pieces each.
fn ask(address: SocketAddr, count: usize) -> Vec<JoinHandle<Option<HttpMessage>>> {
    let ask = |number: usize| {
        let id = format!("c-{number}");
        let call = post("/chain/", &id).with_header("Pieces", "1,2").with_header("Piece-Key", "k");
        thread::spawn(move || call.send(address))
    };
    (0..count).map(ask).collect()
}

fn join(asked: Vec<JoinHandle<Option<HttpMessage>>>) {
    for asked in asked {
        // A caller whose VM is gone has no answer.
        drop(asked.join().expect("no panic"));
    }
}

fn made(site: &Site) -> BTreeSet<String> {
    site.pool.iter().flat_map(Runner::made).map(|made| made.handle).collect()
}

fn given_up(site: &Site) -> BTreeSet<String> {
    site.pool.iter().flat_map(Runner::released).collect()
}

fn wait_all_given_up(site: &Site) {
    wait_until("each result is given up", || made(site) == given_up(site));
}

/// Starts requests at engines that say nothing for a while; waits until the engines have them.
fn ask_silent_engines(
    site: &Site,
    address: SocketAddr,
    count: usize,
) -> Vec<JoinHandle<Option<HttpMessage>>> {
    let acts = vec![Behavior::Hang(Duration::from_millis(1500)); count];
    site.engines.iter().for_each(|engine| engine.queue_behaviors(&acts));
    let asked = ask(address, count);
    let at_engines = || site.engines.iter().map(|engine| engine.messages().len()).sum::<usize>();
    wait_until("the engines have them", || at_engines() >= count);
    asked
}

/// Starts three requests whose first pieces take 0.4 s; waits until one is at work.
fn ask_slow_workers(site: &Site, address: SocketAddr) -> Vec<JoinHandle<Option<HttpMessage>>> {
    site.pool
        .iter()
        .for_each(|worker| worker.queue_behaviors(&[Behavior::Hang(Duration::from_millis(400))]));
    let asked = ask(address, 3);
    wait_until("a piece is at work", || {
        site.pool.iter().any(|worker| !worker.messages().is_empty())
    });
    asked
}

/// Stops a VM's process for longer than its requests have.
fn stand_still(vm: &Vm) {
    vm.signal("-STOP");
    thread::sleep(Duration::from_secs(4));
    vm.signal("-CONT");
}

/// Guards against results that stay at their workers when the VM of their requests is killed.
#[test]
fn results_of_a_killed_requester_are_given_up_by_the_owner() {
    let site = Site::start();
    let Pair { owner: _owner, requester } = Pair::start(&site, "requester-killed");
    let asked = ask_silent_engines(&site, requester.callers, 6);

    drop(requester);

    join(asked);
    assert!(made(&site).len() >= 18, "three for each request");
    wait_all_given_up(&site);
}

/// Guards against results that stay at their workers when the VM of their requests stands still past their time.
#[test]
fn results_of_a_paused_requester_are_given_up() {
    let site = Site::start();
    let Pair { owner: _owner, requester } = Pair::start(&site, "requester-paused");
    let asked = ask_silent_engines(&site, requester.callers, 3);

    stand_still(&requester);

    join(asked);
    wait_all_given_up(&site);
}

/// Guards against results that are lost on their way to a VM which stands still.
#[test]
fn results_that_a_paused_requester_did_not_read_are_given_up() {
    let site = Site::start();
    let Pair { owner: _owner, requester } = Pair::start(&site, "unread");
    let asked = ask_slow_workers(&site, requester.callers);

    stand_still(&requester);

    join(asked);
    wait_all_given_up(&site);
}

/// Guards against results that a requester which stood still leaves to an owner that is gone.
#[test]
fn results_of_a_killed_owner_are_given_up_by_a_requester_that_stood_still() {
    let site = Site::start();
    let mut long_lives = default_configuration(1);
    long_lives["services"][1]["pieces"]["handle_s"] = json!(20);
    site.store.put("op/config", &long_lives);
    let Pair { owner, requester } = Pair::start(&site, "both");
    let asked = ask_silent_engines(&site, requester.callers, 1);

    drop(owner);
    stand_still(&requester);

    join(asked);
    wait_all_given_up(&site);
}

/// Guards against results that stay at their workers when their owner stands still while engines are at work.
#[test]
fn results_in_use_while_their_owner_is_paused_are_given_up() {
    let site = Site::start();
    let Pair { owner, requester } = Pair::start(&site, "owner-paused-late");
    let asked = ask_silent_engines(&site, requester.callers, 3);

    stand_still(&owner);

    join(asked);
    wait_all_given_up(&site);
}

/// Guards against results that an owner which stood still hands to a link that has ended meanwhile.
#[test]
fn results_that_a_paused_owner_hands_over_too_late_are_given_up() {
    let site = Site::start();
    let Pair { owner, requester } = Pair::start(&site, "owner-paused");
    let asked = ask_slow_workers(&site, requester.callers);

    stand_still(&owner);

    join(asked);
    wait_all_given_up(&site);
}

/// Guards against results that stay at their workers when their request can't be served any more.
#[test]
fn results_of_requests_whose_callers_leave_are_given_up() {
    let site = Site::start();
    let Pair { owner: _owner, requester } = Pair::start(&site, "callers-leave");
    site.pool.iter().for_each(|worker| {
        worker.queue_behaviors(&vec![Behavior::Hang(Duration::from_millis(300)); 6])
    });
    let call = |number: usize, wait: u64| {
        let call = post("/chain/", &format!("c-{number}"))
            .with_header("Pieces", "2,2")
            .with_header("Piece-Key", "k");
        let (address, wait) = (requester.callers, Duration::from_millis(wait));
        thread::spawn(move || call.send_and_disconnect(address, wait))
    };

    let asked: Vec<_> = (0..12).map(|number| call(number, 60 * number as u64)).collect();

    for asked in asked {
        asked.join().expect("no panic");
    }
    wait_until("nothing is in work", || requester.state()["in_work"] == json!(0));
    wait_all_given_up(&site);
}

/// Guards against results that are given up by nobody else when the word to their worker is lost.
#[test]
fn a_worker_that_loses_the_word_is_told_again() {
    let site = Site::start();
    let Pair { owner, requester } = Pair::start(&site, "word-lost");
    site.pool.iter().for_each(|worker| worker.lose_releases(2));

    let ids = ["of-peer", "of-owner"];
    let vms = [&requester, &owner];
    for (id, vm) in ids.iter().zip(vms) {
        let call = post("/chain/", id).with_header("Pieces", "2,2").with_header("Piece-Key", "k");
        assert_eq!(send_expecting_answer(&call, vm).status(), 200);
    }

    assert_eq!(made(&site).len(), 8);
    wait_all_given_up(&site);
}

/// Guards against results that are given up by nobody since their worker's entry has lapsed for a moment.
#[test]
fn a_worker_whose_entry_returns_is_told() {
    let site = Site::start();
    let Pair { owner: _owner, requester } = Pair::start(&site, "entry-lapsed");
    let asked = ask_silent_engines(&site, requester.callers, 1);
    for worker in &site.pool {
        site.store.remove(&format!("servers/{}", worker.id));
    }
    wait_until("the workers are gone", || requester.targets() == 4);
    join(asked);

    for worker in &site.pool {
        site.register_runner(worker, "pool", "hall-a", Duration::ZERO);
    }

    assert_eq!(made(&site).len(), 3);
    wait_all_given_up(&site);
}

/// Guards against calls of pools that reach a target of another service, which has the address of a worker that ended.
#[test]
fn another_target_at_the_address_of_a_worker_is_told_nothing() {
    let site = Site::start();
    let Pair { owner: _owner, requester } = Pair::start(&site, "address-reused");
    let asked = ask_silent_engines(&site, requester.callers, 1);
    for worker in &site.pool {
        site.store.remove(&format!("servers/{}", worker.id));
        let entry = worker.entry("plain", "hall-a", "ready");
        site.store.put(&format!("servers/{}-other", worker.id), &entry);
    }
    wait_until("the others are known", || requester.targets() == 6);
    thread::sleep(SETTLE_TIME);
    let before = given_up(&site);

    join(asked);
    thread::sleep(Duration::from_secs(5));

    assert_eq!(given_up(&site), before);
}

/// Guards against results that VMs which stop as planned leave behind.
#[test]
fn results_are_given_up_by_vms_that_stop() {
    for stops_owner in [false, true] {
        let site = Site::start();
        let Pair { owner, requester } = Pair::start(&site, "stops");
        let asked = ask_silent_engines(&site, requester.callers, 3);

        if stops_owner { &owner } else { &requester }.signal("-TERM");

        join(asked);
        assert!(made(&site).len() >= 9, "three for each request");
        wait_all_given_up(&site);
    }
}

/// Guards against inputs that are taken back as fetched while the call which needs them waits for its turn behind a call
/// of another VM, as all calls of a new owner do while the one before ends its own.
#[test]
fn inputs_of_a_call_that_waits_for_its_turn_are_not_taken_back() {
    let site = Site::start();
    let mut scarce = default_configuration(2);
    // Six results take 0.6 of the room of 1 MB that a worker has.
    scarce["routes"][4]["stages"][0]["bytes"] = json!(100_000);
    site.store.put("op/config", &scarce);
    site.store.remove("servers/i-pool-2");
    let vm = site.start_vm("waits-for-turn", "");
    wait_until("it is in force", || vm.state()["configuration"] == json!(2));
    let address = vm.callers;
    let call = post("/chain/", "c-1").with_header("Pieces", "6,1").with_header("Piece-Key", "k");

    let asked = thread::spawn(move || call.send(address));
    wait_until("the first stage is at work", || site.pool[0].messages().len() == 1);
    thread::sleep(Duration::from_millis(5));
    site.pool[0].delay_next_call(Duration::from_millis(150));

    let answer = asked.join().expect("no panic").expect("an answer");
    assert_eq!(answer.status(), 200, "{answer:?}");
    assert_eq!(site.pool[0].messages().len(), 2, "each stage is called once");
}

/// Guards against inputs that an owner takes back from a requester that lives and still needs them.
#[test]
fn results_in_use_outlive_a_link_that_was_lost() {
    let site = Site::start();
    let Pair { owner, requester } = Pair::start(&site, "in-use");
    let asked = ask_silent_engines(&site, requester.callers, 1);

    owner.signal("-STOP");
    wait_until("the link is lost", || requester.linked_peers() == 0);
    owner.signal("-CONT");
    wait_until("they are linked again", || requester.linked_peers() == 1);
    let in_use = &made(&site) - &given_up(&site);
    let is_running = asked.iter().all(|asked| !asked.is_finished());

    assert!(!is_running || in_use.len() >= 2, "the engine needs both results: {in_use:?}");
    join(asked);
    wait_all_given_up(&site);
}
