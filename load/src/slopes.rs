//! The slopes from which `docs/CAPACITY.md` is worked out: each figure at two sizes or more.

use std::fmt::Write as _;
use std::thread;
use std::time::{Duration, Instant};

use standins::fleet::{Fleet, Pool, agent, get_json, wait_until};

use crate::process::{cpu, memory_mb};

/// Time over which an idle fleet is watched.
const WATCH: Duration = Duration::from_secs(20);
/// Time for a fleet to settle before it is watched.
const SETTLE: Duration = Duration::from_secs(8);

const SERVICE: &str = "service: {name: one, stages: [{name: place, select: {all: {pool: t}}}]}";

/// Sizes measured unless others are given: VMs and targets.
pub(crate) const SIZES: &str = "6x36,12x36,24x36,62x36,6x370,6x740";

/// Prints the slopes for sizes such as `62x36`, VMs and targets.
pub(crate) fn measure(sizes: &[String]) {
    println!("control of an idle fleet, one hall, for each VM on average:");
    for size in sizes {
        let numbers = size.split_once('x');
        match numbers.and_then(|(vms, targets)| Some((vms.parse().ok()?, targets.parse().ok()?))) {
            Some((vms, targets)) => idle(vms, targets),
            None => println!("{size} is no size: expected VMs and targets, such as 62x36"),
        }
    }
}

/// Targets that are only declared; an idle fleet calls none.
fn catalogue(targets: usize) -> String {
    let mut text = "customer: {name: small}\n".to_owned();
    for number in 0..targets {
        let (high, low) = (number / 200 + 1, number % 200 + 1);
        let _ = write!(
            text,
            "---\ntarget: {{name: target-number-{number}, hall: hall-a, \
             address: '127.9.{high}.{low}:8000', labels: {{pool: t, version: v1}}}}\n"
        );
    }
    format!("{text}---\n{SERVICE}\n")
}

fn idle(vms: usize, targets: usize) {
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
    thread::sleep(SETTLE);

    let before: Vec<(Duration, f64)> =
        (0..vms).map(|i| (cpu(fleet.pid(i)), control_bytes(&fleet, i))).collect();
    let calls = platform_calls(&fleet);
    thread::sleep(WATCH);
    let seconds = WATCH.as_secs_f64();
    let after = (0..vms).map(|i| (cpu(fleet.pid(i)), control_bytes(&fleet, i)));
    let (mut used, mut bytes, mut most) = (0.0, 0.0, 0.0_f64);
    for ((cpu_then, bytes_then), (cpu_now, bytes_now)) in before.iter().zip(after) {
        used += (cpu_now.saturating_sub(*cpu_then)).as_secs_f64() / seconds;
        bytes += (bytes_now - bytes_then) / seconds;
        most = most.max((bytes_now - bytes_then) / seconds);
    }
    let calls = (platform_calls(&fleet) - calls) / seconds;
    let memory: f64 = (0..vms).map(|i| memory_mb(fleet.pid(i))).sum::<f64>() / vms as f64;
    let state = get_json(fleet.vms[0].operations, "/state").unwrap_or_default();
    let interval = state["round_interval_ms"].as_u64().unwrap_or(0);
    let (spread, change_bytes) = change(&fleet);
    println!(
        "{vms:>3} VMs {targets:>4} targets: {:.2}% of a core, {memory:.1} MB, {:.0} B/s (most {most:.0}), \
         a round every {interval} ms, \
         {calls:.1} calls/s at the platform, a change everywhere after {} ms, {change_bytes:.0} B a VM",
        100.0 * used / vms as f64,
        bytes / vms as f64,
        spread.as_millis()
    );
}

/// Makes one small change; the time until every VM has it, and control bytes a VM meanwhile.
fn change(fleet: &Fleet) -> (Duration, f64) {
    let vms = fleet.vms.len();
    let before: f64 = (0..vms).map(|i| control_bytes(fleet, i)).sum();
    let old = fleet.revision(0).unwrap_or(0);
    let label = fleet.run_cli(&["label", "target/target-number-1", "version=v2"]);
    assert!(label.status.success(), "{}", String::from_utf8_lossy(&label.stderr));
    let began = Instant::now();
    wait_until("the change is everywhere", || {
        (0..vms).all(|i| fleet.revision(i).is_some_and(|r| r > old))
    });
    let took = began.elapsed();
    let after: f64 = (0..vms).map(|i| control_bytes(fleet, i)).sum();
    (took, (after - before) / vms as f64)
}

/// Bytes of control messages that a VM has sent and received.
fn control_bytes(fleet: &Fleet, index: usize) -> f64 {
    let url = format!("http://{}/metrics", fleet.vms[index].operations);
    let page = agent().get(url).call().ok().and_then(|mut rx| rx.body_mut().read_to_string().ok());
    let page = page.unwrap_or_default();
    let lines = page.lines().filter(|l| l.starts_with("saddlerail_control_bytes_total"));
    lines.filter_map(|l| l.rsplit(' ').next()?.parse::<f64>().ok()).sum()
}

/// Calls that the platform has answered.
fn platform_calls(fleet: &Fleet) -> f64 {
    let counts = get_json(fleet.platform, "/counts").unwrap_or_default();
    ["reads", "writes"].iter().filter_map(|key| counts[*key].as_f64()).sum()
}
