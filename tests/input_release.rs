//! Release of the results of one stage that are the inputs of the next one, with real processes.
//! The results use the memory of a worker, so the VM releases them early; but while the call of the
//! next stage waits in the worker's queue, it still needs them.

// A failing `expect` in a fixture fails the test.
#![allow(clippy::expect_used)]

use std::thread::{self, JoinHandle};
use std::time::Duration;

use serde_json::json;
use standins::fleet::wait_until;
use standins::serving_path::HttpMessage;
use standins::serving_path::runners::{Behavior, Runner};
use standins::serving_path::site::{Site, Vm, default_configuration, post};

/// Execution time of the second stage, shorter than the time for which the VM that makes the call
/// waits for an answer.
const EXECUTION_TIME: Duration = Duration::from_millis(250);

/// Starts one VM and one worker whose memory for results is scarce once it holds those of the first
/// stage.
fn start(name: &str) -> (Site, Vm) {
    let site = Site::start();
    let mut configuration = default_configuration(2);
    // Size of each result of the first stage of `/chain/`.
    configuration["routes"][4]["stages"][0]["bytes"] = json!(100_000);
    site.store.put("op/config", &configuration);
    site.store.remove("servers/i-pool-2");
    let vm = site.start_vm(name, "");
    wait_until("the configuration is in force", || vm.state()["configuration"] == json!(2));
    (site, vm)
}

/// Sends a request for two stages from a thread of its own; `pieces` are the numbers of pieces of
/// the first and the second stage.
fn send_chain_with_pieces(vm: &Vm, pieces: &str) -> JoinHandle<Option<HttpMessage>> {
    let address = vm.callers;
    let call = post("/chain/", "c-1").with_header("Pieces", pieces).with_header("Piece-Key", "k");
    thread::spawn(move || call.send(address))
}

/// Sends a request with six pieces in the first stage and one in the second.
fn send_chain(vm: &Vm) -> JoinHandle<Option<HttpMessage>> {
    send_chain_with_pieces(vm, "6,1")
}

/// Waits until results are released or the second stage is done; returns how many were released
/// before its end.
fn released_before_end(worker: &Runner) -> usize {
    let is_done = || worker.made().len() > 6;
    wait_until("results are released or the stage is done", || {
        !worker.released().is_empty() || is_done()
    });
    if is_done() { 0 } else { worker.released().len() }
}

/// Guards against inputs that use memory until the end of their call although other pieces need it.
#[test]
fn inputs_are_released_once_the_worker_reports_that_their_call_runs() {
    let (site, vm) = start("at-work");
    let worker = &site.pool[0];
    worker.queue_behaviors(&[Behavior::Answer, Behavior::Hang(EXECUTION_TIME)]);

    let sender = send_chain(&vm);

    assert_eq!(
        released_before_end(worker),
        6,
        "all inputs are released while the second stage runs"
    );
    let answer = sender.join().expect("no panic").expect("an answer");
    assert_eq!(answer.status(), 200, "{answer:?}");
}

/// Guards against inputs that are released although the worker doesn't report whether their call
/// still waits.
#[test]
fn inputs_are_kept_if_the_worker_does_not_report() {
    let (site, vm) = start("says-nothing");
    let worker = &site.pool[0];
    worker.set_reporting(false);
    worker.queue_behaviors(&[Behavior::Answer, Behavior::Hang(EXECUTION_TIME)]);

    let sender = send_chain(&vm);

    assert_eq!(released_before_end(worker), 0, "the call may still wait at its worker");
    let answer = sender.join().expect("no panic").expect("an answer");
    assert_eq!(answer.status(), 200, "{answer:?}");
    assert_eq!(worker.messages().len(), 2, "each stage is called once");
}

/// Guards against finished pieces that are computed again because the worker had no memory for
/// another piece of their stage, whose inputs were released meanwhile.
#[test]
fn finished_pieces_are_kept_when_an_input_of_another_piece_is_gone() {
    let (site, vm) = start("done-kept");
    let worker = &site.pool[0];
    worker.queue_behaviors(&[Behavior::Answer, Behavior::NoRoomForLast(EXECUTION_TIME)]);

    let sender = send_chain_with_pieces(&vm, "6,3");

    let answer = sender.join().expect("no panic").expect("an answer");
    assert_eq!(answer.status(), 200, "{answer:?}");
    let mut second_stage_pieces: Vec<u64> = worker
        .pieces()
        .iter()
        .filter(|(_, stage, _)| *stage == 1)
        .map(|(.., piece)| *piece)
        .collect();
    second_stage_pieces.sort_unstable();
    assert_eq!(second_stage_pieces, [0, 1, 2], "each piece of the second stage is computed once");
}
