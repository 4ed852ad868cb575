//! Workers that send an answer a second time, when the answer to the next call is expected.

// A failing `expect` in a fixture fails the test.
#![allow(clippy::expect_used)]

use std::collections::HashMap;
use std::thread::spawn;

use standins::serving_path::runners::{Behavior, Runner};
use standins::serving_path::site::{Site, Vm, post};

/// Callers at a time.
const CALLERS: usize = 6;
/// Requests that each of them sends, one after the other.
const REQUESTS: usize = 12;

/// Has all callers send their requests; returns how many were answered with success.
fn serve_all(vm: &Vm) -> usize {
    let address = vm.callers;
    let caller = |caller: usize| {
        spawn(move || {
            let send = |number: &usize| {
                let call = post("/chain/", &format!("c-{caller}-{number}"));
                let call = call.with_header("Pieces", "2,2").with_header("Piece-Key", "key");
                call.send_until_run(address).is_some_and(|answer| answer.status() == 200)
            };
            (0..REQUESTS).filter(send).count()
        })
    };
    let callers: Vec<_> = (0..CALLERS).map(caller).collect();
    callers.into_iter().map(|caller| caller.join().expect("a caller")).sum()
}

/// Ids of the requests that engines got with inputs made for other requests.
fn mixed_up(site: &Site) -> Vec<String> {
    let made = site.pool.iter().flat_map(Runner::made);
    let requests: HashMap<String, String> =
        made.map(|result| (result.handle, result.request)).collect();
    let messages = site.engines.iter().flat_map(Runner::messages);
    let is_mixed_up = |id: &str, inputs: &str| {
        inputs.split(',').any(|input| requests.get(input).is_some_and(|request| request != id))
    };
    let ids = messages.map(|message| {
        let id = message.header("request-id").to_owned();
        is_mixed_up(&id, message.header("inputs")).then_some(id)
    });
    ids.flatten().collect()
}

/// Guards against callers who get answers made from the data of others.
#[test]
fn a_copy_of_an_answer_is_not_taken_for_the_answer_to_the_next_call() {
    let site = Site::start();
    let vm = site.start_vm("copied-answers", "");
    for worker in &site.pool {
        for _ in 0..CALLERS * REQUESTS {
            worker.queue_behaviors(&[Behavior::Answer, Behavior::Answer, Behavior::CopyBeforeNext]);
        }
    }

    let served = serve_all(&vm);

    assert_eq!(mixed_up(&site), Vec::<String>::new());
    assert!(served * 2 > CALLERS * REQUESTS, "{served}");
    assert!(vm.log().contains("answer of another call"), "no copy met a call");
}
