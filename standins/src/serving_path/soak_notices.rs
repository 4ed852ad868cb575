//! What runners say of themselves in the course of a randomized run, at moments of its seed.

use std::thread;
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use super::runners::Runner;
use super::site::Site;
use super::soak::{HALLS, LATER_FAULTS};

/// When runners begin to leave, in milliseconds of the run.
const LEAVES_AT: std::ops::Range<u64> = 0..1500;
/// When runners begin to name a rate, name another one, and name none any more, in milliseconds of the run.
const RATES_AT: [std::ops::Range<u64>; 3] = [0..1000, 1000..2500, 2500..6000];
/// Rates that they name.
const RATES: [&str; 4] = ["0.5", "1", "3", "12.5"];
/// When runners that left are born again, in milliseconds.
const BORN_AGAIN: u64 = 1;

/// One runner of each service leaves: each of its answers says so from some moment on, and its entry never.
pub(super) fn let_runners_leave(seed: u64, time: Duration, site: &Site) {
    let mut rng = StdRng::seed_from_u64(seed + 3 * LATER_FAULTS);
    let mut leaving: Vec<(u64, &Runner)> = site
        .services()
        .iter()
        .map(|(_, runners)| (rng.random_range(LEAVES_AT), &runners[rng.random_range(0..2)]))
        .collect();
    leaving.sort_by_key(|(at, _)| *at);
    let began = Instant::now();
    for (at, runner) in leaving {
        let at = Duration::from_millis(at).min(time);
        thread::sleep(at.saturating_sub(began.elapsed()));
        runner.set_leaving(true);
    }
}

/// One runner of each service names a rate, another one later, and none in the end.
pub(super) fn let_runners_name_rates(seed: u64, time: Duration, site: &Site) {
    let mut rng = StdRng::seed_from_u64(seed + 5 * LATER_FAULTS);
    let mut words: Vec<(u64, &Runner, Option<&str>)> = Vec::new();
    for (_, runners) in site.services() {
        let runner = &runners[rng.random_range(0..2)];
        for (index, at) in RATES_AT.into_iter().enumerate() {
            let rate = RATES[rng.random_range(0..RATES.len())];
            let is_last = index + 1 == RATES_AT.len();
            words.push((rng.random_range(at), runner, (!is_last).then_some(rate)));
        }
    }
    words.sort_by_key(|(at, ..)| *at);
    let began = Instant::now();
    for (at, runner, rate) in words {
        let at = Duration::from_millis(at);
        if at > time {
            return;
        }
        thread::sleep(at.saturating_sub(began.elapsed()));
        runner.set_rate(rate);
    }
}

/// Those that left come back under their ids, as other lifetimes.
pub(super) fn come_back(site: &Site) {
    for (service, runners) in site.services() {
        for (runner, hall) in runners.iter().zip(HALLS) {
            runner.set_leaving(false);
            runner.set_rate(None);
            let mut entry = runner.entry(service, hall, "ready");
            entry["born"] = serde_json::json!(BORN_AGAIN);
            site.store.put(&format!("servers/{}", runner.id), &entry);
        }
    }
}
