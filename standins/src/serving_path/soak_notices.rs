//! Notices that runners send during a randomized run, at times generated from its seed: that they
//! are leaving, and their rate limits.

use std::thread;
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use super::runners::Runner;
use super::site::Site;
use super::soak::{HALLS, SEED_OFFSET};

/// Time at which a runner begins to announce that it is leaving, in milliseconds since the start of
/// the run.
const LEAVING_AT_MS: std::ops::Range<u64> = 0..1500;
/// Times at which a runner announces a rate limit, another one, and none any more, in milliseconds
/// since the start of the run.
const RATES_AT_MS: [std::ops::Range<u64>; 3] = [0..1000, 1000..2500, 2500..6000];
/// Rate limits that runners announce, in requests per second.
const RATES: [&str; 4] = ["0.5", "1", "3", "12.5"];
/// Start time (`born`) of the new lifetimes of runners, in milliseconds; the entries of the earlier
/// ones have none.
const NEW_BORN_MS: u64 = 1;

/// Lets one runner of each service announce that it is leaving: from some time on in each answer,
/// but never in its store entry.
pub(super) fn announce_leaving(seed: u64, time: Duration, site: &Site) {
    let mut rng = StdRng::seed_from_u64(seed + 3 * SEED_OFFSET);
    let mut leaving: Vec<(u64, &Runner)> = site
        .services()
        .iter()
        .map(|(_, runners)| (rng.random_range(LEAVING_AT_MS), &runners[rng.random_range(0..2)]))
        .collect();
    leaving.sort_by_key(|(at, _)| *at);
    let began = Instant::now();
    for (at, runner) in leaving {
        let at = Duration::from_millis(at).min(time);
        thread::sleep(at.saturating_sub(began.elapsed()));
        runner.set_leaving(true);
    }
}

/// Lets one runner of each service announce a rate limit, later another one, and finally none.
pub(super) fn announce_rates(seed: u64, time: Duration, site: &Site) {
    let mut rng = StdRng::seed_from_u64(seed + 5 * SEED_OFFSET);
    let mut notices: Vec<(u64, &Runner, Option<&str>)> = Vec::new();
    for (_, runners) in site.services() {
        let runner = &runners[rng.random_range(0..2)];
        for (index, at) in RATES_AT_MS.into_iter().enumerate() {
            let rate = RATES[rng.random_range(0..RATES.len())];
            let is_last = index + 1 == RATES_AT_MS.len();
            notices.push((rng.random_range(at), runner, (!is_last).then_some(rate)));
        }
    }
    notices.sort_by_key(|(at, ..)| *at);
    let began = Instant::now();
    for (at, runner, rate) in notices {
        let at = Duration::from_millis(at);
        if at > time {
            return;
        }
        thread::sleep(at.saturating_sub(began.elapsed()));
        runner.set_rate(rate);
    }
}

/// Ends the notices of all runners and lets them return with the same ids, in new lifetimes.
pub(super) fn restart_runners(site: &Site) {
    for (service, runners) in site.services() {
        for (runner, hall) in runners.iter().zip(HALLS) {
            runner.set_leaving(false);
            runner.set_rate(None);
            let mut entry = runner.entry(service, hall, "ready");
            entry["born"] = serde_json::json!(NEW_BORN_MS);
            site.store.put(&format!("servers/{}", runner.id), &entry);
        }
    }
}
