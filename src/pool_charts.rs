//! Charts of pools: what the workers' memory is used for, which VMs call the workers, and why
//! pieces were not computed.
//!
//! A pool is a service whose targets, its workers, run pieces (the units into which a stage of a
//! request is split) in batches, one batch per call. They keep the results in memory, which the
//! log calls room. The charts are made from the log events "pool room" and "pool call".

use std::collections::{BTreeMap, BTreeSet};

use serde_json::{Map, Value};

use crate::charts::{Chart, mean};
use crate::logs;

/// Uses of a pool's memory for results: log key of the size in kilobytes, and name of the series.
const MEMORY_USES: [(&str, &str); 7] = [
    ("at_work_kb", "being made"),
    ("incomplete_kb", "of submissions that lack others"),
    ("kept_kb", "waiting to be used"),
    ("spare_kb", "spare"),
    ("lost_kb", "of failed calls"),
    ("telling_kb", "being given up"),
    ("foreign_kb", "of other VMs"),
];
/// Reasons for not computing a piece: log key of the count, and name of the series.
const SKIP_CAUSES: [(&str, &str); 4] = [
    ("no_room", "no room"),
    ("input_gone", "an input is gone"),
    ("late", "late"),
    ("failed", "failed"),
];
/// Factor that turns a fraction into a percentage.
const PERCENT: f64 = 100.0;

/// VMs that called a pool's workers within an interval.
#[derive(Default)]
struct Callers {
    vms: BTreeSet<String>,
    /// VMs that called each worker, by the worker's target name.
    vms_by_worker: BTreeMap<String, BTreeSet<String>>,
}

/// Builds the charts from all events; intervals of `seconds` are counted from the first event.
pub(crate) fn pool_charts(events: &[Map<String, Value>], seconds: f64) -> Vec<Chart> {
    let first = logs::first_time(events);
    let sum = |values: &[f64]| values.iter().sum();
    let mut room_by_use = Chart::new("Room of all pools, by what takes it", "% of it, mean", mean);
    let mut used_by_pool = Chart::new("Room used, by pool", "% of it, mean", mean);
    let mut skipped = Chart::new("Pieces not made, by cause", "pieces", sum);
    let mut callers: BTreeMap<(String, u64), Callers> = BTreeMap::new();
    for pairs in events {
        let Some(time) = logs::number(pairs, "time") else { continue };
        let interval = ((time - first) / seconds) as u64;
        let text = |key| logs::text(pairs, key).unwrap_or("-").to_owned();
        let number = |key| logs::number(pairs, key).unwrap_or(0.0);
        match logs::text(pairs, "msg") {
            Some("pool room") => {
                let percent_per_kb = PERCENT / number("total_kb").max(1.0);
                MEMORY_USES.iter().for_each(|(key, name)| {
                    room_by_use.add(name, interval, number(key) * percent_per_kb)
                });
                let used_kb: f64 = MEMORY_USES.iter().map(|(key, _)| number(key)).sum();
                used_by_pool.add(&text("pool"), interval, used_kb * percent_per_kb);
            }
            Some("pool call") => {
                SKIP_CAUSES.iter().for_each(|(key, name)| skipped.add(name, interval, number(key)));
                let pool_callers = callers.entry((text("pool"), interval)).or_default();
                pool_callers.vms.insert(text("vm"));
                pool_callers.vms_by_worker.entry(text("target")).or_default().insert(text("vm"));
            }
            _ => {}
        }
    }
    let mut charts = vec![room_by_use, used_by_pool, skipped];
    charts.extend(caller_charts(&callers));
    charts
}

/// Charts of how many VMs call each pool, and of workers that several VMs call.
fn caller_charts(callers: &BTreeMap<(String, u64), Callers>) -> [Chart; 2] {
    let mut calling_vms = Chart::new("VMs that fill calls, by pool", "VMs", mean);
    let mut shared_workers =
        Chart::new("Workers that two VMs or more call, by pool", "workers", mean);
    for ((pool, interval), pool_callers) in callers {
        calling_vms.add(pool, *interval, pool_callers.vms.len() as f64);
        let shared_count = pool_callers.vms_by_worker.values().filter(|vms| vms.len() > 1).count();
        shared_workers.add(pool, *interval, shared_count as f64);
    }
    [calling_vms, shared_workers]
}
