//! Overhead of an entry VM: latency added to a call and between the tokens of a stream, requests
//! per second, CPU time and memory.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use standins::fleet::{Fleet, Pool};
use tokio::runtime::Runtime;
use tokio::task::JoinSet;

use crate::client::{Connections, Post, connections, post};
use crate::fleet::{Layout, start};
use crate::process::{cpu_time, memory_mib};

/// Calls timed directly, and as many through the VM.
const CALLS: usize = 3000;
/// Numbers of concurrent streams.
const STREAMS: [usize; 3] = [50, 100, 200];
/// Numbers of callers that each send the next request when the last one is answered.
const CLOSED_LOOPS: [usize; 3] = [8, 32, 64];

const SERVICES: &str = "\
service: {name: one, stages: [{name: place, select: {all: {pool: plain}}}]}
---
service:
  name: four
  stages:
    - {name: encode, select: {all: {pool: plain}}}
    - {name: retrieve, select: {all: {pool: plain}}}
    - {name: rerank, select: {all: {pool: plain}}}
    - {name: generate, select: {all: {pool: plain}}}
---
service:
  name: stream
  stages: [{name: generate, select: {all: {pool: engine}}, streams: true}]
";

/// Starts one entry VM in front of plain targets and engines.
pub(crate) fn single_vm_fleet() -> Fleet {
    let plain = Pool { name: "plain", count: 4, args: &["--service-ms=0", "--slots=64"] };
    let engine_args = &["--mode=engine", "--slots=256", "--service-ms=5", "--token-ms=20"];
    let engine = Pool { name: "engine", count: 2, args: engine_args };
    start(&Layout {
        halls: &["hall-a"],
        pools: &[plain, engine],
        slots: &[64, 256],
        customers: &[("small", 1)],
        services: SERVICES,
        vms: 1,
        policy: "adaptive",
    })
}

/// A request to a service through an entry VM.
pub(crate) fn vm_request(to: SocketAddr, service: &str, tokens: u64) -> Post {
    let headers = vec![
        ("saddlerail-customer", "small".to_owned()),
        ("saddlerail-deadline-ms", "60000".to_owned()),
        ("saddlerail-repeatable", "yes".to_owned()),
        ("accept", "text/event-stream".to_owned()),
    ];
    let body = format!("{{\"tokens\":{tokens}}}");
    Post { to, path: format!("/v1/services/{service}"), headers, body }
}

/// The call of a stage sent to a target directly.
fn direct_request(to: SocketAddr, stage: &str, tokens: u64) -> Post {
    let headers = vec![
        ("x-attempt-id", "direct/0.0".to_owned()),
        ("x-priority", "standard".to_owned()),
        ("accept", "text/event-stream".to_owned()),
    ];
    let body = format!("{{\"tokens\":{tokens}}}");
    Post { to, path: format!("/v1/stages/{stage}"), headers, body }
}

/// Empty histogram of durations in microseconds.
fn micros_histogram() -> Histogram<u64> {
    Histogram::new_with_max(600_000_000, 3)
        .unwrap_or_else(|_| unreachable!("the bounds are constants"))
}

/// Whole microseconds, at least 1.
fn clamped_micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX).max(1)
}

/// Prints all figures of one daemon; each closed-loop run lasts `seconds`.
pub(crate) fn measure(seconds: u64) {
    let fleet = single_vm_fleet();
    let runtime = Runtime::new().unwrap_or_else(|e| panic!("cannot start the Tokio runtime: {e}"));
    let (vm, pid) = (fleet.vms[0].callers, fleet.pid(0));
    println!("memory at rest: {:.1} MB", memory_mib(pid));

    let connections = Arc::new(connections());
    let target = fleet.target("plain-1");
    // Alternate, so that both are measured under the same load of the machine.
    let (direct_times, vm_times) = runtime.block_on(async {
        let (mut direct_times, mut vm_times) = (micros_histogram(), micros_histogram());
        for _ in 0..CALLS {
            time_call(&connections, &direct_request(target, "place", 0), &mut direct_times).await;
            time_call(&connections, &vm_request(vm, "one", 0), &mut vm_times).await;
        }
        (direct_times, vm_times)
    });
    print_times("direct call", &direct_times);
    print_times("through the VM", &vm_times);
    for quantile in [0.5, 0.99] {
        let added = vm_times
            .value_at_quantile(quantile)
            .saturating_sub(direct_times.value_at_quantile(quantile));
        println!("added at {quantile}: {added} us");
    }

    for loops in CLOSED_LOOPS {
        let before = cpu_time(pid);
        let rate = runtime.block_on(closed_loops(&connections, vm, loops, seconds));
        let used = (cpu_time(pid) - before).as_secs_f64() / seconds as f64;
        println!(
            "{loops} closed loops over four stages: {rate:.0} requests/s, {used:.2} cores, \
             {:.0} us of CPU time per request, {:.1} MB",
            1e6 * used / rate.max(1.0),
            memory_mib(pid)
        );
    }

    let engines = [fleet.target("engine-1"), fleet.target("engine-2")];
    for streams in STREAMS {
        let posts = (0..streams).map(|n| direct_request(engines[n % 2], "generate", 100)).collect();
        let (direct_times, _) = runtime.block_on(token_gaps(&connections, posts));
        let posts = (0..streams).map(|_| vm_request(vm, "stream", 100)).collect();
        let before = cpu_time(pid);
        let (vm_times, tokens) = runtime.block_on(token_gaps(&connections, posts));
        let used = (cpu_time(pid) - before).as_secs_f64();
        println!("{streams} concurrent streams:");
        print_times("  between tokens, direct", &direct_times);
        print_times("  between tokens, through the VM", &vm_times);
        println!(
            "  added at 0.95: {} us; {:.1} us of CPU time per token; memory {:.1} MB",
            vm_times.value_at_quantile(0.95).saturating_sub(direct_times.value_at_quantile(0.95)),
            1e6 * used / tokens.max(1) as f64,
            memory_mib(pid)
        );
    }
}

/// Sends a request and records the time until it is answered.
async fn time_call(connections: &Connections, request: &Post, times: &mut Histogram<u64>) {
    let began = Instant::now();
    let reply = post(connections, request).await;
    assert!(reply.is_some_and(|r| r.status == 200), "a call was not answered with status 200");
    times.saturating_record(clamped_micros(began.elapsed()));
}

/// Throughput in requests per second of `loops` callers, each of which sends the next request
/// when the last one is answered.
pub(crate) async fn closed_loops(
    connections: &Arc<Connections>,
    vm: SocketAddr,
    loops: usize,
    seconds: u64,
) -> f64 {
    let done = Arc::new(AtomicU64::new(0));
    let end = Instant::now() + Duration::from_secs(seconds);
    let mut callers = JoinSet::new();
    for _ in 0..loops {
        let (connections, done) = (Arc::clone(connections), Arc::clone(&done));
        callers.spawn(async move {
            while Instant::now() < end {
                let reply = post(&connections, &vm_request(vm, "four", 0)).await;
                assert!(
                    reply.is_some_and(|r| r.status == 200),
                    "a request was not answered with status 200"
                );
                done.fetch_add(1, Ordering::Relaxed);
            }
        });
    }
    while callers.join_next().await.is_some() {}
    done.load(Ordering::Relaxed) as f64 / seconds as f64
}

/// Times between the parts of concurrent streams, and the number of parts.
async fn token_gaps(connections: &Arc<Connections>, posts: Vec<Post>) -> (Histogram<u64>, u64) {
    let mut streams = JoinSet::new();
    for request in posts {
        let connections = Arc::clone(connections);
        streams.spawn(async move { post(&connections, &request).await });
    }
    let mut gaps = micros_histogram();
    let mut parts = 0;
    while let Some(joined) = streams.join_next().await {
        let reply = joined.ok().flatten();
        let reply = reply.unwrap_or_else(|| panic!("a stream was cut off"));
        parts += reply.parts.len() as u64;
        reply.parts.windows(2).for_each(|w| gaps.saturating_record(clamped_micros(w[1] - w[0])));
    }
    (gaps, parts)
}

/// Prints the 50th, 95th and 99th percentile in microseconds.
fn print_times(what: &str, times: &Histogram<u64>) {
    println!(
        "{what}: 50 {} us, 95 {} us, 99 {} us",
        times.value_at_quantile(0.5),
        times.value_at_quantile(0.95),
        times.value_at_quantile(0.99)
    );
}
