//! When a request's inputs are given up while a call that needs them is at its worker, with real processes.

// A fixture that can't be set up fails its test.
#![allow(clippy::expect_used)]

use std::thread::{self, JoinHandle};
use std::time::Duration;

use serde_json::json;
use standins::fleet::wait_until;
use standins::serving_path::HttpMessage;
use standins::serving_path::runners::{Behavior, Runner};
use standins::serving_path::site::{Site, Vm, default_configuration, post};

/// How long the second stage is at work: less than its owner is patient for.
const AT_WORK: Duration = Duration::from_millis(250);

/// One VM before a worker whose room is scarce once the first stage's results lie there.
fn start(name: &str) -> (Site, Vm) {
    let site = Site::start();
    let mut scarce = default_configuration(2);
    scarce["routes"][4]["stages"][0]["bytes"] = json!(100_000);
    site.store.put("op/config", &scarce);
    site.store.remove("servers/i-pool-2");
    let vm = site.start_vm(name, "");
    wait_until("it is in force", || vm.state()["configuration"] == json!(2));
    (site, vm)
}

fn ask_for(vm: &Vm, pieces: &str) -> JoinHandle<Option<HttpMessage>> {
    let address = vm.callers;
    let call = post("/chain/", "c-1").with_header("Pieces", pieces).with_header("Piece-Key", "k");
    thread::spawn(move || call.send(address))
}

fn ask(vm: &Vm) -> JoinHandle<Option<HttpMessage>> {
    ask_for(vm, "6,1")
}

/// Waits until results are given up or the second stage is done; gives how many were given up before its end.
fn given_up_before_its_end(worker: &Runner) -> usize {
    let is_done = || worker.made().len() > 6;
    wait_until("an end", || !worker.released().is_empty() || is_done());
    if is_done() { 0 } else { worker.released().len() }
}

/// Guards against room that is held for as long as a call works, where other pieces need it.
#[test]
fn inputs_are_given_up_once_the_worker_says_that_their_call_is_at_work() {
    let (site, vm) = start("at-work");
    let worker = &site.pool[0];
    worker.queue_behaviors(&[Behavior::Answer, Behavior::Hang(AT_WORK)]);

    let asked = ask(&vm);

    assert_eq!(given_up_before_its_end(worker), 6, "while the second stage is at work");
    let answer = asked.join().expect("no panic").expect("an answer");
    assert_eq!(answer.status(), 200, "{answer:?}");
}

/// Guards against inputs that are taken back from a call whose worker does not say whether it waits.
#[test]
fn inputs_are_kept_where_the_worker_does_not_say() {
    let (site, vm) = start("says-nothing");
    let worker = &site.pool[0];
    worker.set_reporting(false);
    worker.queue_behaviors(&[Behavior::Answer, Behavior::Hang(AT_WORK)]);

    let asked = ask(&vm);

    assert_eq!(given_up_before_its_end(worker), 0, "it may wait for its turn");
    let answer = asked.join().expect("no panic").expect("an answer");
    assert_eq!(answer.status(), 200, "{answer:?}");
    assert_eq!(worker.messages().len(), 2, "each stage is called once");
}

/// Guards against pieces that are made again though they are done, since another one of their stage found no room and its
/// inputs were given up meanwhile.
#[test]
fn pieces_that_are_done_are_kept_though_an_input_of_another_is_gone() {
    let (site, vm) = start("done-kept");
    let worker = &site.pool[0];
    worker.queue_behaviors(&[Behavior::Answer, Behavior::NoRoomForLast(AT_WORK)]);

    let asked = ask_for(&vm, "6,3");

    let answer = asked.join().expect("no panic").expect("an answer");
    assert_eq!(answer.status(), 200, "{answer:?}");
    let mut second: Vec<u64> = worker
        .pieces()
        .iter()
        .filter(|(_, stage, _)| *stage == 1)
        .map(|(.., piece)| *piece)
        .collect();
    second.sort_unstable();
    assert_eq!(second, [0, 1, 2], "each piece of the second stage is made once");
}
