//! Results of stages are released at their workers even if a VM fails, pauses or stops.
//!
//! Two VMs take part: the owner of the pool, which calls the workers that compute the results, and
//! the requester, which serves the request that uses them. A result that nobody releases takes
//! memory of its worker until it expires.

// A failing `expect` in a fixture fails the test.
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

/// Two linked VMs: the owner of the pool and the requester, which is the other one.
struct Pair {
    owner: Vm,
    requester: Vm,
}

impl Pair {
    fn start(site: &Site, name: &str) -> Self {
        let one = site.start_vm(&format!("{name}-1"), "");
        let other = site.start_vm(&format!("{name}-2"), "");
        wait_until("the VMs are linked", || [&one, &other].iter().all(|vm| vm.linked_peers() == 1));
        if one.state()["pools"][0]["filled_by"] == json!("this VM") {
            Pair { owner: one, requester: other }
        } else {
            Pair { owner: other, requester: one }
        }
    }
}

/// Starts requests for the chain with three pieces each.
fn send_chains(address: SocketAddr, count: usize) -> Vec<JoinHandle<Option<HttpMessage>>> {
    let send = |number: usize| {
        let id = format!("c-{number}");
        let call = post("/chain/", &id).with_header("Pieces", "1,2").with_header("Piece-Key", "k");
        thread::spawn(move || call.send(address))
    };
    (0..count).map(send).collect()
}

fn join_callers(callers: Vec<JoinHandle<Option<HttpMessage>>>) {
    for caller in callers {
        // A caller whose VM was killed gets no answer.
        drop(caller.join().expect("no panic"));
    }
}

fn computed_handles(site: &Site) -> BTreeSet<String> {
    site.pool.iter().flat_map(Runner::made).map(|made| made.handle).collect()
}

fn released_handles(site: &Site) -> BTreeSet<String> {
    site.pool.iter().flat_map(Runner::released).collect()
}

fn wait_all_released(site: &Site) {
    wait_until("each result is released", || computed_handles(site) == released_handles(site));
}

/// Starts requests at engines that don't answer for 1.5 s; waits until the engines have received
/// them.
fn send_to_silent_engines(
    site: &Site,
    address: SocketAddr,
    count: usize,
) -> Vec<JoinHandle<Option<HttpMessage>>> {
    let behaviors = vec![Behavior::Hang(Duration::from_millis(1500)); count];
    site.engines.iter().for_each(|engine| engine.queue_behaviors(&behaviors));
    let callers = send_chains(address, count);
    let received = || site.engines.iter().map(|engine| engine.messages().len()).sum::<usize>();
    wait_until("the engines have received the requests", || received() >= count);
    callers
}

/// Starts three requests whose first pieces take 0.4 s; waits until a worker executes one of them.
fn send_to_slow_workers(site: &Site, address: SocketAddr) -> Vec<JoinHandle<Option<HttpMessage>>> {
    site.pool
        .iter()
        .for_each(|worker| worker.queue_behaviors(&[Behavior::Hang(Duration::from_millis(400))]));
    let callers = send_chains(address, 3);
    wait_until("a worker executes a piece", || {
        site.pool.iter().any(|worker| !worker.messages().is_empty())
    });
    callers
}

/// Pauses a VM's process until after the deadline of its requests.
fn pause(vm: &Vm) {
    vm.signal("-STOP");
    thread::sleep(Duration::from_secs(4));
    vm.signal("-CONT");
}

/// Guards against results that stay at their workers when the requester is killed.
#[test]
fn results_of_a_killed_requester_are_released_by_the_owner() {
    let site = Site::start();
    let Pair { owner: _owner, requester } = Pair::start(&site, "requester-killed");
    let callers = send_to_silent_engines(&site, requester.callers, 6);

    drop(requester);

    join_callers(callers);
    assert!(computed_handles(&site).len() >= 18, "three for each request");
    wait_all_released(&site);
}

/// Guards against results that stay at their workers when the requester is paused until after the
/// deadline.
#[test]
fn results_of_a_paused_requester_are_released() {
    let site = Site::start();
    let Pair { owner: _owner, requester } = Pair::start(&site, "requester-paused");
    let callers = send_to_silent_engines(&site, requester.callers, 3);

    pause(&requester);

    join_callers(callers);
    wait_all_released(&site);
}

/// Guards against results that are lost because the requester is paused and doesn't read them.
#[test]
fn results_that_a_paused_requester_did_not_read_are_released() {
    let site = Site::start();
    let Pair { owner: _owner, requester } = Pair::start(&site, "unread");
    let callers = send_to_slow_workers(&site, requester.callers);

    pause(&requester);

    join_callers(callers);
    wait_all_released(&site);
}

/// Guards against results that a paused requester leaves to the owner although the owner has been
/// killed.
#[test]
fn results_of_a_killed_owner_are_released_by_a_requester_after_a_pause() {
    let site = Site::start();
    let mut config = default_configuration(1);
    // The results of the pool outlive the pause, so that the requester still has to release them.
    config["services"][1]["pieces"]["handle_s"] = json!(20);
    site.store.put("op/config", &config);
    let Pair { owner, requester } = Pair::start(&site, "both");
    let callers = send_to_silent_engines(&site, requester.callers, 1);

    drop(owner);
    pause(&requester);

    join_callers(callers);
    wait_all_released(&site);
}

/// Guards against results that stay at their workers when the owner is paused while engines use
/// them.
#[test]
fn results_in_use_while_their_owner_is_paused_are_released() {
    let site = Site::start();
    let Pair { owner, requester } = Pair::start(&site, "owner-paused-late");
    let callers = send_to_silent_engines(&site, requester.callers, 3);

    pause(&owner);

    join_callers(callers);
    wait_all_released(&site);
}

/// Guards against results that an owner sends, after a pause, over a link that was closed during
/// the pause.
#[test]
fn results_that_a_paused_owner_hands_over_too_late_are_released() {
    let site = Site::start();
    let Pair { owner, requester } = Pair::start(&site, "owner-paused");
    let callers = send_to_slow_workers(&site, requester.callers);

    pause(&owner);

    join_callers(callers);
    wait_all_released(&site);
}

/// Guards against results that stay at their workers when callers disconnect before their requests
/// are served.
#[test]
fn results_are_released_when_callers_disconnect() {
    let site = Site::start();
    let Pair { owner: _owner, requester } = Pair::start(&site, "callers-leave");
    site.pool.iter().for_each(|worker| {
        worker.queue_behaviors(&vec![Behavior::Hang(Duration::from_millis(300)); 6])
    });
    let send = |number: usize, delay: u64| {
        let call = post("/chain/", &format!("c-{number}"))
            .with_header("Pieces", "2,2")
            .with_header("Piece-Key", "k");
        let (address, delay) = (requester.callers, Duration::from_millis(delay));
        thread::spawn(move || call.send_and_disconnect(address, delay))
    };

    let callers: Vec<_> = (0..12).map(|number| send(number, 60 * number as u64)).collect();

    for caller in callers {
        caller.join().expect("no panic");
    }
    wait_until("no request is in work", || requester.state()["in_work"] == json!(0));
    wait_all_released(&site);
}

/// Guards against results that stay at their workers because a release call was lost and not
/// retried.
#[test]
fn a_lost_release_call_is_retried() {
    let site = Site::start();
    let Pair { owner, requester } = Pair::start(&site, "word-lost");
    site.pool.iter().for_each(|worker| worker.lose_releases(2));

    let ids = ["of-peer", "of-owner"];
    let vms = [&requester, &owner];
    for (id, vm) in ids.iter().zip(vms) {
        let call = post("/chain/", id).with_header("Pieces", "2,2").with_header("Piece-Key", "k");
        assert_eq!(send_expecting_answer(&call, vm).status(), 200);
    }

    assert_eq!(computed_handles(&site).len(), 8);
    wait_all_released(&site);
}

/// Guards against results that are never released because the entry of their worker was missing for
/// a short time.
#[test]
fn results_are_released_at_a_worker_whose_entry_returns() {
    let site = Site::start();
    let Pair { owner: _owner, requester } = Pair::start(&site, "entry-lapsed");
    let callers = send_to_silent_engines(&site, requester.callers, 1);
    for worker in &site.pool {
        site.store.remove(&format!("servers/{}", worker.id));
    }
    wait_until("the workers are gone", || requester.targets() == 4);
    join_callers(callers);

    for worker in &site.pool {
        site.register_runner(worker, "pool", "hall-a", Duration::ZERO);
    }

    assert_eq!(computed_handles(&site).len(), 3);
    wait_all_released(&site);
}

/// Guards against release calls to a target of another service that has taken over the address of a
/// former worker.
#[test]
fn another_target_at_the_address_of_a_worker_gets_no_release_calls() {
    let site = Site::start();
    let Pair { owner: _owner, requester } = Pair::start(&site, "address-reused");
    let callers = send_to_silent_engines(&site, requester.callers, 1);
    for worker in &site.pool {
        site.store.remove(&format!("servers/{}", worker.id));
        let entry = worker.entry("plain", "hall-a", "ready");
        site.store.put(&format!("servers/{}-other", worker.id), &entry);
    }
    wait_until("the targets that replace the workers are known", || requester.targets() == 6);
    thread::sleep(SETTLE_TIME);
    let before = released_handles(&site);

    join_callers(callers);
    thread::sleep(Duration::from_secs(5));

    assert_eq!(released_handles(&site), before);
}

/// Guards against results that stay at their workers after a planned stop of a VM.
#[test]
fn vms_release_results_when_they_stop() {
    for stops_owner in [false, true] {
        let site = Site::start();
        let Pair { owner, requester } = Pair::start(&site, "stops");
        let callers = send_to_silent_engines(&site, requester.callers, 3);

        if stops_owner { &owner } else { &requester }.signal("-TERM");

        join_callers(callers);
        assert!(computed_handles(&site).len() >= 9, "three for each request");
        wait_all_released(&site);
    }
}

/// Guards against inputs that are released as fetched while the call that needs them still waits at
/// the worker behind a call of another VM. All calls of a new owner wait like this until the calls
/// of the previous owner have ended.
#[test]
fn inputs_of_a_call_that_waits_at_its_worker_are_not_released() {
    let site = Site::start();
    let mut config = default_configuration(2);
    // Six results take 0.6 of the 1 MB that a worker has for results.
    config["routes"][4]["stages"][0]["bytes"] = json!(100_000);
    site.store.put("op/config", &config);
    site.store.remove("servers/i-pool-2");
    let vm = site.start_vm("waits-for-turn", "");
    wait_until("the configuration is in force", || vm.state()["configuration"] == json!(2));
    let address = vm.callers;
    let call = post("/chain/", "c-1").with_header("Pieces", "6,1").with_header("Piece-Key", "k");

    let caller = thread::spawn(move || call.send(address));
    wait_until("the worker executes the first stage", || site.pool[0].messages().len() == 1);
    thread::sleep(Duration::from_millis(5));
    site.pool[0].delay_next_call(Duration::from_millis(150));

    let answer = caller.join().expect("no panic").expect("an answer");
    assert_eq!(answer.status(), 200, "{answer:?}");
    assert_eq!(site.pool[0].messages().len(), 2, "each stage is called once");
}

/// Guards against inputs that an owner releases although the requester is alive and still needs
/// them.
#[test]
fn results_in_use_are_kept_when_a_link_is_lost() {
    let site = Site::start();
    let Pair { owner, requester } = Pair::start(&site, "in-use");
    let callers = send_to_silent_engines(&site, requester.callers, 1);

    owner.signal("-STOP");
    wait_until("the link is lost", || requester.linked_peers() == 0);
    owner.signal("-CONT");
    wait_until("the VMs are linked again", || requester.linked_peers() == 1);
    let in_use = &computed_handles(&site) - &released_handles(&site);
    let is_running = callers.iter().all(|caller| !caller.is_finished());

    assert!(!is_running || in_use.len() >= 2, "the engine needs both results: {in_use:?}");
    join_callers(callers);
    wait_all_released(&site);
}
