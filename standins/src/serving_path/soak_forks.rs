//! Requests of a soak with two stages that need the results of the same third one. Each piece of the two
//! is given all of these results, and the engine those of both stages.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde_json::Value;

use super::HttpMessage;
use super::callers::Call;
use super::runners::{Behavior, Runner};
use super::site::{HOST, Site};
use super::soak::{Report, SEED_OFFSET};

/// Beginning of the requests' ids.
const ID_PREFIX: &str = "fork-";
/// Pieces of the stages.
const PIECES: [usize; 3] = [2, 1, 1];
/// Pause between two requests, in milliseconds.
const PAUSE_MS: std::ops::Range<u64> = 20..150;
/// Probability that a worker finds the inputs of a call gone at about the time of a request.
const GONE_PROBABILITY: f64 = 0.3;

/// Sends requests to random VMs until the faults are over.
pub(super) fn send_forks(seed: u64, addresses: &[SocketAddr], over: &AtomicBool) {
    let mut rng = StdRng::seed_from_u64(seed + 13 * SEED_OFFSET);
    let pieces = PIECES.map(|count| count.to_string()).join(",");
    thread::scope(|scope| {
        let mut number = 0;
        while !over.load(Ordering::Relaxed) {
            number += 1;
            let call = Call::new("POST", HOST, "/fork/", &format!("{ID_PREFIX}{seed}-{number}"))
                .with_header("Deadline-Milliseconds", "2500")
                .with_header("Pieces", &pieces)
                .with_header("Piece-Key", "k")
                .body(b"a body");
            let address = addresses[rng.random_range(0..addresses.len())];
            scope.spawn(move || drop(call.send(address)));
            thread::sleep(Duration::from_millis(rng.random_range(PAUSE_MS)));
        }
    });
}

/// Has workers find inputs gone until the faults are over.
pub(super) fn lose_inputs(seed: u64, site: &Site, over: &AtomicBool) {
    let mut rng = StdRng::seed_from_u64(seed + 14 * SEED_OFFSET);
    while !over.load(Ordering::Relaxed) {
        if rng.random_bool(GONE_PROBABILITY) {
            site.pool[rng.random_range(0..2)].queue_behaviors(&[Behavior::InputGone]);
        }
        thread::sleep(Duration::from_millis(rng.random_range(PAUSE_MS)));
    }
}

/// Checks the inputs that workers and engines were given.
pub(super) fn check_forks(site: &Site, report: &mut Report) {
    let to_workers = site.pool.iter().flat_map(Runner::messages);
    let wrong_pieces = to_workers.flat_map(|message| wrong_pieces(&message));
    let to_engines = site.engines.iter().flat_map(Runner::messages);
    let wrong_requests = to_engines.filter(has_wrong_inputs).map(|message| {
        format!("{}: inputs {:?}", message.header("request-id"), message.header("inputs"))
    });
    report.violations.extend(wrong_pieces.chain(wrong_requests));
}

/// Pieces of a call that lack some of their inputs, or are given the caller's key in their place.
fn wrong_pieces(message: &HttpMessage) -> Vec<String> {
    let body: Value = serde_json::from_slice(&message.body).unwrap_or_default();
    let items = body["items"].as_array().cloned().unwrap_or_default();
    let is_wrong = |item: &Value| {
        let is_fork = item["id"].as_str().is_some_and(|id| id.starts_with(ID_PREFIX));
        let given = (item["inputs"].as_array().map_or(0, Vec::len), item["private_key"].is_null());
        let needed = if item["stage"] == 0 { (0, false) } else { (PIECES[0], true) };
        is_fork && given != needed
    };
    items.iter().filter(|item| is_wrong(item)).map(ToString::to_string).collect()
}

/// Whether a request that an engine got lacks some of its inputs.
fn has_wrong_inputs(message: &HttpMessage) -> bool {
    let inputs = message.header("inputs").split(',').filter(|input| !input.is_empty()).count();
    message.header("request-id").starts_with(ID_PREFIX) && inputs != PIECES[1] + PIECES[2]
}
