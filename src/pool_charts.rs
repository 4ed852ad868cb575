//! Charts of pools: what took their workers' room, which VMs filled their calls, and what was not made.

use std::collections::{BTreeMap, BTreeSet};

use serde_json::{Map, Value};

use crate::charts::{Chart, mean};
use crate::logs;

/// What takes room, by the key of its kilobytes.
const ROOM: [(&str, &str); 7] = [
    ("at_work_kb", "being made"),
    ("incomplete_kb", "of submissions that lack others"),
    ("kept_kb", "waiting to be used"),
    ("spare_kb", "spare"),
    ("lost_kb", "of failed calls"),
    ("telling_kb", "being given up"),
    ("foreign_kb", "of other VMs"),
];
/// Why a piece was not made, by the key of its count.
const NOT_MADE: [(&str, &str); 4] = [
    ("no_room", "no room"),
    ("input_gone", "an input is gone"),
    ("late", "late"),
    ("failed", "failed"),
];
/// Hundredths of one.
const PERCENT: f64 = 100.0;

/// Who called a pool's workers within an interval.
#[derive(Default)]
struct Callers {
    vms: BTreeSet<String>,
    /// The VMs that called each worker.
    of_worker: BTreeMap<String, BTreeSet<String>>,
}

/// The charts of all events, with intervals of so many seconds from the first event on.
pub(crate) fn of(events: &[Map<String, Value>], seconds: f64) -> Vec<Chart> {
    let first = logs::first_time(events);
    let sum = |values: &[f64]| values.iter().sum();
    let mut room = Chart::new("Room of all pools, by what takes it", "% of it, mean", mean);
    let mut used = Chart::new("Room used, by pool", "% of it, mean", mean);
    let mut not_made = Chart::new("Pieces not made, by cause", "pieces", sum);
    let mut callers: BTreeMap<(String, u64), Callers> = BTreeMap::new();
    for pairs in events {
        let Some(time) = logs::number(pairs, "time") else { continue };
        let at = ((time - first) / seconds) as u64;
        let text = |key| logs::text(pairs, key).unwrap_or("-").to_owned();
        let number = |key| logs::number(pairs, key).unwrap_or(0.0);
        match logs::text(pairs, "msg") {
            Some("pool room") => {
                let part = PERCENT / number("total_kb").max(1.0);
                ROOM.iter().for_each(|(key, name)| room.add(name, at, number(key) * part));
                let all: f64 = ROOM.iter().map(|(key, _)| number(key)).sum();
                used.add(&text("pool"), at, all * part);
            }
            Some("pool call") => {
                NOT_MADE.iter().for_each(|(key, name)| not_made.add(name, at, number(key)));
                let of_pool = callers.entry((text("pool"), at)).or_default();
                of_pool.vms.insert(text("vm"));
                of_pool.of_worker.entry(text("target")).or_default().insert(text("vm"));
            }
            _ => {}
        }
    }
    let mut charts = vec![room, used, not_made];
    charts.extend(caller_charts(&callers));
    charts
}

fn caller_charts(callers: &BTreeMap<(String, u64), Callers>) -> [Chart; 2] {
    let mut vms = Chart::new("VMs that fill calls, by pool", "VMs", mean);
    let mut shared = Chart::new("Workers that two VMs or more call, by pool", "workers", mean);
    for ((pool, at), of_pool) in callers {
        vms.add(pool, *at, of_pool.vms.len() as f64);
        let by_two = of_pool.of_worker.values().filter(|vms| vms.len() > 1).count();
        shared.add(pool, *at, by_two as f64);
    }
    [vms, shared]
}
