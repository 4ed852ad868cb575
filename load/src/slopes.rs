//! Measures the figures from which `docs/CAPACITY.md` is calculated: the cost of the control
//! traffic of an idle fleet, and of a configuration change. Each is measured at several fleet
//! sizes, because the slope between them shows how it grows with the numbers of VMs and targets.

use std::fmt::Write as _;
use std::thread;
use std::time::{Duration, Instant};

use standins::fleet::{Fleet, Pool, agent, get_json, wait_until};

use crate::process::{cpu_time, memory_mib};

/// Time over which the use of an idle fleet is measured.
const IDLE_WINDOW: Duration = Duration::from_secs(20);
/// Time for a fleet to settle before it is measured.
const SETTLE_TIME: Duration = Duration::from_secs(8);

const SERVICE: &str = "service: {name: one, stages: [{name: place, select: {all: {pool: t}}}]}";

/// Default fleet sizes, each as VMs x targets.
pub(crate) const SIZES: &str = "6x36,12x36,24x36,62x36,6x370,6x740";

/// Prints the figures for each size, given as VMs x targets, such as `62x36`.
pub(crate) fn measure(sizes: &[String]) {
    println!("control traffic of an idle fleet in one hall, average per VM:");
    for size in sizes {
        let numbers = size.split_once('x');
        match numbers.and_then(|(vms, targets)| Some((vms.parse().ok()?, targets.parse().ok()?))) {
            Some((vms, targets)) => measure_idle(vms, targets),
            None => println!("invalid size {size}: expected VMs x targets, such as 62x36"),
        }
    }
}

/// Catalogue of targets that do not exist; an idle fleet calls none of them.
fn catalogue(targets: usize) -> String {
    let mut text = "customer: {name: small}\n".to_owned();
    for number in 0..targets {
        // 200 addresses for each third byte, so that no byte exceeds 255.
        let (high, low) = (number / 200 + 1, number % 200 + 1);
        let _ = write!(
            text,
            "---\ntarget: {{name: target-number-{number}, hall: hall-a, \
             address: '127.9.{high}.{low}:8000', labels: {{pool: t, version: v1}}}}\n"
        );
    }
    format!("{text}---\n{SERVICE}\n")
}

/// Starts a fleet and prints what its VMs use while idle, then what a change costs.
fn measure_idle(vms: usize, targets: usize) {
    let no_targets: [Pool; 0] = [];
    let mut fleet = Fleet::start(&no_targets);
    let applied = fleet.apply(&catalogue(targets));
    assert!(applied.status.success(), "{}", String::from_utf8_lossy(&applied.stderr));
    for _ in 0..vms {
        fleet.start_vm_without_waiting("hall-a", "");
    }
    (0..vms).for_each(|index| fleet.wait_ready(index));
    fleet.publish_vm_list(&[]);
    fleet.wait_for_peer_discovery();
    thread::sleep(SETTLE_TIME);

    let before: Vec<(Duration, f64)> =
        (0..vms).map(|i| (cpu_time(fleet.pid(i)), control_bytes(&fleet, i))).collect();
    let calls = platform_calls(&fleet);
    thread::sleep(IDLE_WINDOW);
    let seconds = IDLE_WINDOW.as_secs_f64();
    let after = (0..vms).map(|i| (cpu_time(fleet.pid(i)), control_bytes(&fleet, i)));
    let (mut used, mut bytes, mut peak) = (0.0, 0.0, 0.0_f64);
    for ((cpu_then, bytes_then), (cpu_now, bytes_now)) in before.iter().zip(after) {
        used += (cpu_now.saturating_sub(*cpu_then)).as_secs_f64() / seconds;
        bytes += (bytes_now - bytes_then) / seconds;
        peak = peak.max((bytes_now - bytes_then) / seconds);
    }
    let calls = (platform_calls(&fleet) - calls) / seconds;
    let memory: f64 = (0..vms).map(|i| memory_mib(fleet.pid(i))).sum::<f64>() / vms as f64;
    let state = get_json(fleet.vms[0].operations, "/state").unwrap_or_default();
    let interval = state["round_interval_ms"].as_u64().unwrap_or(0);
    let (propagation, change_bytes) = measure_change(&fleet);
    println!(
        "{vms:>3} VMs {targets:>4} targets: {:.2}% of a core, {memory:.1} MB, {:.0} B/s (most {peak:.0}), \
         a round every {interval} ms, \
         {calls:.1} calls/s at the platform, a change in force on all VMs after {} ms, {change_bytes:.0} B per VM",
        100.0 * used / vms as f64,
        bytes / vms as f64,
        propagation.as_millis()
    );
}

/// Makes one small change. Returns the time until it is in force on every VM, and the bytes of
/// control messages per VM in that time.
fn measure_change(fleet: &Fleet) -> (Duration, f64) {
    let vms = fleet.vms.len();
    let before: f64 = (0..vms).map(|i| control_bytes(fleet, i)).sum();
    let old = fleet.revision(0).unwrap_or(0);
    let label = fleet.run_cli(&["label", "target/target-number-1", "version=v2"]);
    assert!(label.status.success(), "{}", String::from_utf8_lossy(&label.stderr));
    let began = Instant::now();
    wait_until("the change is in force on every VM", || {
        (0..vms).all(|i| fleet.revision(i).is_some_and(|r| r > old))
    });
    let took = began.elapsed();
    let after: f64 = (0..vms).map(|i| control_bytes(fleet, i)).sum();
    (took, (after - before) / vms as f64)
}

/// Bytes of control messages that a VM has sent and received since it started; 0 if it does not
/// answer.
fn control_bytes(fleet: &Fleet, index: usize) -> f64 {
    let url = format!("http://{}/metrics", fleet.vms[index].operations);
    let page = agent().get(url).call().ok().and_then(|mut rx| rx.body_mut().read_to_string().ok());
    let page = page.unwrap_or_default();
    let lines = page.lines().filter(|l| l.starts_with("saddlerail_control_bytes_total"));
    lines.filter_map(|l| l.rsplit(' ').next()?.parse::<f64>().ok()).sum()
}

/// Reads and writes that the platform has answered.
fn platform_calls(fleet: &Fleet) -> f64 {
    let counts = get_json(fleet.platform, "/counts").unwrap_or_default();
    ["reads", "writes"].iter().filter_map(|key| counts[*key].as_f64()).sum()
}
