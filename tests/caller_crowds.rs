//! Crowds of callers that keep to no limit: processes live and stay within their memory and
//! descriptors, and an ordinary request is answered while the crowd's connections are still open.
//!
//! The tests run one at a time, since each takes as much memory and as many connections as a VM.

// A failing `expect` in a fixture fails the test.
#![allow(clippy::expect_used)]

mod support;

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::Duration;

use serde_json::{Value, json};
use standins::serving_path::HttpConnection;
use standins::serving_path::callers::Call;
use standins::serving_path::crowds::{Crowd, Misuse};
use standins::serving_path::runners::{Behavior, Runner};
use standins::serving_path::site::{HOST, SETTLE_TIME, Site, Vm, default_configuration, get};
use support::{caller_request, fleet_of, usual_fleet, usual_pools, wait_until};

/// Memory of the VMs, in megabytes: setting `memory_mb`, and bound of their resident size.
const MEMORY_MB: u64 = 64;
/// Memory of the smallest VMs that the users have, in megabytes.
const SMALLEST_VM_MB: u64 = 120;
/// Memory of the users' VMs, in megabytes.
const VM_SIZES_MB: [u64; 3] = [SMALLEST_VM_MB, 160, 260];
/// Memory of a daemon of the product's own form by default, in megabytes.
const OWN_FORM_MB: u64 = 256;
/// Memory of a VM that has no room for the largest body, in megabytes.
const TINY_MB: u64 = 24;
/// File descriptors of a process that has few.
const FEW_DESCRIPTORS: u64 = 300;
/// Callers that use up these descriptors.
const MORE_THAN_DESCRIPTORS: usize = 400;
/// Parts of a prompt that a head of the largest size has room for.
const PARTS: usize = 1800;
/// Requests with as many parts, one after the other.
const REQUESTS_WITH_PARTS: usize = 600;
/// Attempts at a large answer beside callers that don't read.
const LARGE_ATTEMPTS: usize = 12;
/// Largest body, in bytes: `max_body_bytes` of the configuration.
const BODY_BYTES: usize = 1 << 20;
/// Largest head, in bytes: `max_header_bytes` of the configuration.
const HEAD_BYTES: usize = 16 * 1024;
/// Longest time for which a crowd sends.
const SENDING_TIME: Duration = Duration::from_secs(20);
/// Settings of a stop: notice period in milliseconds, and grace period in seconds.
const STOP_SETTINGS: &str = "stop: {notice_ms: 300, grace_s: 4}\n";

static ONE_AT_A_TIME: Mutex<()> = Mutex::new(());

fn alone() -> MutexGuard<'static, ()> {
    ONE_AT_A_TIME.lock().unwrap_or_else(PoisonError::into_inner)
}

/// The default configuration with larger bodies, and time for a crowd to send them.
fn configuration(version: u64) -> Value {
    let mut cfg = default_configuration(version);
    cfg["limits"] = json!({"max_header_bytes": HEAD_BYTES, "max_body_bytes": BODY_BYTES,
        "header_timeout_ms": 20_000, "idle_timeout_ms": 20_000});
    for route in cfg["routes"].as_array_mut().expect("routes") {
        route["timeout_ms"] = json!(20_000);
    }
    cfg
}

fn start_site() -> Site {
    let site = Site::start();
    site.store.put("op/config", &configuration(2));
    site
}

/// Starts a VM with so much memory, which knows the configuration.
fn start_vm(site: &Site, name: &str, memory_mb: u64, extra: &str) -> Vm {
    let vm = site.start_vm(name, &format!("memory_mb: {memory_mb}\n{extra}"));
    wait_for_configuration(&vm);
    vm
}

fn wait_for_configuration(vm: &Vm) {
    wait_until("the configuration is known", || vm.state()["configuration"] == 2);
}

/// Checks that the VM lives, that it has taken no more memory than it has, and that it answers an
/// ordinary request.
fn assert_bears(vm: &mut Vm, memory_mb: u64, what: &str) {
    let id = format!("ordinary-{}", what.replace(|c: char| !c.is_ascii_alphanumeric(), "-"));
    assert!(vm.is_running(), "{what}: the process has ended");
    let answer = get("/repeat/", &id[..id.len().min(60)]).send_until_run(vm.callers);
    let status = answer.map_or(0, |answer| answer.status());
    let peak = vm.peak_memory_mb();
    eprintln!("{what}: {peak} MB, an ordinary request got {status}");
    assert!(vm.is_running(), "{what}: the process has ended");
    assert!(peak < memory_mb, "{what}: {peak} MB, an ordinary request got {status}");
    assert_eq!(status, 200, "{what}: an ordinary request, {peak} MB");
}

/// Has a crowd send to a VM, and checks that the VM bears it.
fn assert_bears_crowd(name: &str, misuse: Misuse, count: usize) {
    let _alone = alone();
    let site = start_site();
    let mut vm = start_vm(&site, name, MEMORY_MB, "");

    let mut crowd = Crowd::connect(vm.callers, misuse, count);
    crowd.send_for(SENDING_TIME);

    assert_bears(&mut vm, MEMORY_MB, name);
}

#[test]
fn bodies_by_their_length_that_stop_short_of_their_end_take_bounded_memory() {
    let misuse = Misuse::BodyShortOfEnd { bytes: BODY_BYTES, piece: usize::MAX };
    assert_bears_crowd("crowd-lengths", misuse, 120);
}

#[test]
fn bodies_that_arrive_piece_by_piece_take_bounded_memory() {
    let misuse = Misuse::BodyShortOfEnd { bytes: BODY_BYTES, piece: BODY_BYTES / 200 };
    assert_bears_crowd("crowd-pieces", misuse, 120);
}

#[test]
fn large_chunks_that_stop_short_of_their_end_take_bounded_memory() {
    let misuse = Misuse::ChunksShortOfEnd { bytes: BODY_BYTES, chunk: BODY_BYTES };
    assert_bears_crowd("crowd-large-chunks", misuse, 120);
}

#[test]
fn very_small_chunks_take_bounded_memory() {
    let misuse = Misuse::ChunksShortOfEnd { bytes: BODY_BYTES, chunk: 1 };
    assert_bears_crowd("crowd-small-chunks", misuse, 100);
}

#[test]
fn heads_over_the_limit_take_bounded_memory() {
    assert_bears_crowd("crowd-long-heads", Misuse::HeadShortOfEnd(380_000), 250);
}

#[test]
fn heads_without_an_end_take_bounded_memory() {
    assert_bears_crowd("crowd-endless-heads", Misuse::EndlessHead, 800);
}

#[test]
fn empty_lines_without_an_end_take_bounded_memory() {
    assert_bears_crowd("crowd-empty-lines", Misuse::EmptyLines, 400);
}

#[test]
fn extensions_and_trailers_without_an_end_take_bounded_memory() {
    assert_bears_crowd("crowd-extensions", Misuse::EndlessExtension, 200);
    assert_bears_crowd("crowd-trailers", Misuse::EndlessTrailers, 200);
}

/// Guards against a request whose head names more pieces than memory holds.
#[test]
fn a_number_of_pieces_beyond_any_request_takes_bounded_memory() {
    let _alone = alone();
    let site = start_site();
    let mut vm = start_vm(&site, "crowd-piece-counts", MEMORY_MB, "");
    for (number, pieces) in ["20000000,1", "1,20000000", "4294967295,1"].iter().enumerate() {
        let call = get("/chain/", &format!("pieces-{number}"));
        let call = call.with_header("Pieces", pieces).with_header("Piece-Key", "k");

        let answer = call.send(vm.callers);

        let status = answer.map_or(0, |answer| answer.status());
        assert!((400..600).contains(&status), "{pieces}: {status}");
        assert_bears(&mut vm, MEMORY_MB, pieces);
    }
}

/// Guards against parts of prompts that are kept for each engine whatever their number, such as parts
/// without tokens.
#[test]
fn parts_of_prompts_that_nobody_names_again_take_bounded_memory() {
    let _alone = alone();
    let site = start_site();
    let mut vm = start_vm(&site, "crowd-prompt-parts", MEMORY_MB, "");
    for tokens in [0, 1] {
        for number in 0..REQUESTS_WITH_PARTS {
            let first = number * PARTS;
            let parts: Vec<_> =
                (first..first + PARTS).map(|part| format!("{part:x}:{tokens}")).collect();
            let call = get("/stream/", &format!("parts-{tokens}-{number}"));

            drop(call.with_header("Prompt-Prefix", &parts.join(",")).send(vm.callers));
        }

        assert_bears(&mut vm, MEMORY_MB, &format!("parts of {tokens} tokens"));
    }
}

/// Guards against descriptors that are all used up by callers.
#[test]
fn a_crowd_that_sends_nothing_leaves_descriptors_for_ordinary_requests() {
    for port in ["callers", "ready", "operations", "peers"] {
        let _alone = alone();
        let site = start_site();
        let mut vm = Vm::start_with_descriptors(
            &format!("crowd-silent-{port}"),
            site.store.address,
            FEW_DESCRIPTORS,
            &format!("memory_mb: {MEMORY_MB}\n"),
        );
        site.wait_for_all_runners(&vm);
        wait_for_configuration(&vm);
        let address = match port {
            "callers" => vm.callers,
            "ready" => vm.ready,
            "operations" => vm.operations,
            _ => vm.peers(),
        };

        let crowd = Crowd::connect(address, Misuse::Silence, MORE_THAN_DESCRIPTORS);
        std::thread::sleep(SETTLE_TIME);

        assert!(!crowd.is_empty(), "{port}: no connection");
        let open = vm.open_descriptors();
        assert!(open < FEW_DESCRIPTORS as usize, "{port}: {open} descriptors are open");
        assert_bears(&mut vm, MEMORY_MB, port);
        assert!(vm.is_ready(), "{port}: not ready");
    }
}

/// Guards against heads that the addresses for readiness and operations read without a bound.
#[test]
fn heads_at_the_other_addresses_take_bounded_memory() {
    let _alone = alone();
    let site = start_site();
    let mut vm = start_vm(&site, "crowd-other-heads", MEMORY_MB, "");
    for (what, address) in [("ready", vm.ready), ("operations", vm.operations)] {
        let mut crowd = Crowd::connect(address, Misuse::HeadShortOfEnd(380_000), 250);
        crowd.send_for(SENDING_TIME);

        assert_bears(&mut vm, MEMORY_MB, what);
        assert!(vm.is_ready(), "{what}: not ready");
    }
}

/// Asks for a large answer as callers do that repeat a request after a failure; returns the status,
/// completeness and length of each.
fn large_answers_until_one_is_whole(site: &Site, vm: &Vm) -> Vec<(u16, bool, usize)> {
    let mut answers = Vec::new();
    for number in 0..LARGE_ATTEMPTS {
        Site::queue_behavior(&site.plain, &Behavior::Large(8 * BODY_BYTES));
        let answer = get("/repeat/", &format!("large-{number}")).send_until_run(vm.callers);
        let answer = answer.expect("an answer");
        answers.push((answer.status(), answer.is_complete, answer.body.len()));
        if answer.status() == 200 && answer.is_complete {
            break;
        }
        std::thread::sleep(SETTLE_TIME);
    }
    answers
}

/// Guards against callers that don't read, for whom other callers' answers are given up.
#[test]
fn answers_that_are_not_read_leave_room_for_others() {
    let _alone = alone();
    let site = start_site();
    let mut vm = start_vm(&site, "crowd-unread", MEMORY_MB, "");
    let plain = &site.plain;
    // More than the buffers of the kernel hold.
    let unread = Behavior::Large(8 * BODY_BYTES);
    plain.iter().for_each(|runner| runner.queue_behaviors(&vec![unread.clone(); 100]));

    let mut crowd = Crowd::connect(vm.callers, Misuse::UnreadAnswer("/repeat/"), 40);
    crowd.send_for(SENDING_TIME);
    std::thread::sleep(2 * SETTLE_TIME);

    plain.iter().for_each(Runner::clear_script);
    let answers = large_answers_until_one_is_whole(&site, &vm);
    assert_eq!(answers.last(), Some(&(200, true, 8 * BODY_BYTES)), "{answers:?}");
    plain.iter().for_each(Runner::clear_script);
    assert_bears(&mut vm, MEMORY_MB, "unread answers");
}

/// A request whose head has exactly so many bytes.
fn call_with_head(id: &str, bytes: usize) -> Call {
    let call = |filling: usize| get("/repeat/", id).with_header("X-Filling", &"f".repeat(filling));
    let rest = |filling: usize| {
        format!(
            "GET /repeat/ HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {id}\r\n\
             Deadline-Milliseconds: 2000\r\nX-Filling: {}\r\n\r\n",
            "f".repeat(filling)
        )
    };
    call(bytes - rest(0).len())
}

/// Guards against limits that refuse what the configuration allows, also after it has changed.
#[test]
fn heads_and_bodies_of_exactly_the_limit_are_served_in_calm() {
    let _alone = alone();
    let site = start_site();
    let vm = start_vm(&site, "calm", SMALLEST_VM_MB, "");
    let stream = std::net::TcpStream::connect(vm.callers).expect("a connection");
    let mut conn = HttpConnection::new(stream);
    let status = |answer: Option<standins::serving_path::HttpMessage>| {
        answer.map_or(0, |answer| answer.status())
    };
    let body = |bytes| get("/repeat/", "body").body(&vec![b'b'; bytes]);
    assert_eq!(status(call_with_head("head", HEAD_BYTES).send_on(&mut conn)), 200);
    assert_eq!(status(body(BODY_BYTES).send_on(&mut conn)), 200);
    let mut raised = configuration(3);
    raised["limits"]["max_header_bytes"] = json!(8 * HEAD_BYTES);
    raised["limits"]["max_body_bytes"] = json!(4 * BODY_BYTES);

    site.store.put("op/config", &raised);
    wait_until("the change is known", || vm.state()["configuration"] == 3);

    assert_eq!(status(call_with_head("raised", 8 * HEAD_BYTES).send_on(&mut conn)), 200);
    assert_eq!(status(body(4 * BODY_BYTES).send_on(&mut conn)), 200);
    assert_eq!(status(body(4 * BODY_BYTES + 1).send(vm.callers)), 413);
    assert!(vm.peak_memory_mb() < SMALLEST_VM_MB, "{} MB", vm.peak_memory_mb());
}

/// Guards against a body that is asked for although there is no room for it.
#[test]
fn a_body_without_room_is_refused_at_its_head() {
    let _alone = alone();
    let site = start_site();
    let vm = start_vm(&site, "no-room", TINY_MB, "");
    let stream = std::net::TcpStream::connect(vm.callers).expect("a connection");
    let mut conn = HttpConnection::new(stream);

    conn.write(
        format!(
            "POST /once/ HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: no-room\r\n\
             Deadline-Milliseconds: 2000\r\nContent-Length: {BODY_BYTES}\r\n\
             Expect: 100-continue\r\n\r\n"
        )
        .as_bytes(),
    );
    let answer = conn.read().expect("an answer");

    assert_eq!(answer.status(), 503, "{}", answer.start_line);
    assert!(!answer.header("retry-after").is_empty());
    assert_eq!(site.runs("no-room"), 0);
    let small = get("/repeat/", "small").body(b"a body").send_until_run(vm.callers);
    assert_eq!(small.map(|answer| answer.status()), Some(200));
}

/// Guards against answers that are kept for callers that never read them.
#[test]
fn a_caller_that_reads_nothing_for_longer_than_it_may_be_idle_is_disconnected() {
    let _alone = alone();
    let site = start_site();
    let mut cfg = configuration(2);
    cfg["limits"]["idle_timeout_ms"] = json!(1000);
    site.store.put("op/config", &cfg);
    let vm = start_vm(&site, "never-read", SMALLEST_VM_MB, "");
    Site::queue_behavior(&site.plain, &Behavior::Large(16 * BODY_BYTES));

    let mut crowd = Crowd::connect(vm.callers, Misuse::UnreadAnswer("/repeat/"), 1);
    crowd.send_for(SENDING_TIME);

    wait_until("the answer waits for its caller", || vm.state()["in_work"] == 1);
    wait_until("the connection is closed", || vm.log().contains("why=\"answer not read\""));
}

/// Guards against heads that are served although they are longer than the configuration allows.
#[test]
fn a_head_over_the_limit_is_refused() {
    let _alone = alone();
    let site = start_site();
    let vm = start_vm(&site, "long-head", MEMORY_MB, "");

    let answer = call_with_head("long", 3 * HEAD_BYTES).send(vm.callers);

    assert_eq!(answer.map(|answer| answer.status()), Some(431));
    assert!(!site.plain.iter().any(|runner| runner.ran().contains(&"long".to_owned())));
}

/// Crowds of all kinds at one time, as far as one VM is concerned.
fn crowds_of_all_kinds(vm: &Vm) -> Vec<Crowd> {
    let kinds = [
        (Misuse::BodyShortOfEnd { bytes: BODY_BYTES, piece: BODY_BYTES / 200 }, 60),
        (Misuse::ChunksShortOfEnd { bytes: BODY_BYTES, chunk: BODY_BYTES }, 60),
        (Misuse::ChunksShortOfEnd { bytes: BODY_BYTES / 8, chunk: 1 }, 20),
        (Misuse::HeadShortOfEnd(380_000), 100),
        (Misuse::EmptyLines, 100),
        (Misuse::UnreadAnswer("/repeat/"), 40),
        (Misuse::Silence, 200),
    ];
    kinds.into_iter().map(|(misuse, count)| Crowd::connect(vm.callers, misuse, count)).collect()
}

/// Guards against crowds that follow each other, beside reloads, and against stops that wait for
/// them.
#[test]
fn waves_of_crowds_beside_reloads_stops_and_starts_take_bounded_memory() {
    for memory_mb in VM_SIZES_MB {
        let _alone = alone();
        bear_waves_of_crowds(memory_mb);
    }
}

fn bear_waves_of_crowds(memory_mb: u64) {
    let site = start_site();
    let mut vm = start_vm(&site, &format!("crowd-waves-{memory_mb}"), memory_mb, STOP_SETTINGS);
    for wave in 0..3 {
        site.plain.iter().for_each(|runner| {
            runner.queue_behaviors(&vec![Behavior::Large(BODY_BYTES); 40]);
        });

        let mut crowds = crowds_of_all_kinds(&vm);
        std::thread::scope(|scope| {
            for crowd in &mut crowds {
                scope.spawn(|| crowd.send_for(SENDING_TIME / 4));
            }
            vm.signal("-HUP");
        });

        site.plain.iter().for_each(Runner::clear_script);
        assert_bears(&mut vm, memory_mb, &format!("{memory_mb} MB, wave {wave}"));
        if wave == 1 {
            vm.signal("-TERM");
            assert_eq!(vm.wait_exit(), Some(0), "the exit code of a stop amid crowds");
            vm.start_again();
            wait_until("the VM answers", || vm.is_ready());
            wait_for_configuration(&vm);
        }
    }
}

/// The most memory that a process has taken, in megabytes.
fn peak_memory_mb(pid: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
    let kilobytes = line.and_then(|line| line.split_whitespace().next()?.parse::<u64>().ok());
    kilobytes.expect("the process lives") * 1024 / 1_000_000
}

#[test]
fn crowds_at_the_products_own_form_take_bounded_memory() {
    let kinds = [
        Misuse::BodyShortOfEnd { bytes: BODY_BYTES, piece: BODY_BYTES / 200 },
        Misuse::ChunksShortOfEnd { bytes: BODY_BYTES, chunk: BODY_BYTES },
        Misuse::ChunksShortOfEnd { bytes: BODY_BYTES / 8, chunk: 1 },
        Misuse::EmptyLines,
    ];
    for misuse in kinds {
        let _alone = alone();
        let fleet = usual_fleet(1);

        let mut crowd = Crowd::connect_to_own_form(fleet.vms[0].callers, misuse, 300);
        crowd.send_for(SENDING_TIME / 2);

        let reply = caller_request("hold", 5000).send(fleet.vms[0].callers);
        let peak = peak_memory_mb(fleet.pid(0));
        assert!(peak < OWN_FORM_MB, "{misuse:?}: {peak} MB, {reply:?}");
        assert_eq!(reply.map(|reply| reply.status), Some(200), "{misuse:?}: {peak} MB");
    }
}

/// Guards against the other addresses of the product's own form, which have limits of their own.
#[test]
fn crowds_at_the_other_addresses_of_the_products_own_form_take_bounded_memory() {
    for misuse in [Misuse::HeadShortOfEnd(380_000), Misuse::EmptyLines, Misuse::Silence] {
        let _alone = alone();
        let fleet = usual_fleet(1);
        let vm = &fleet.vms[0];

        let mut crowds = [vm.operations, vm.peers]
            .map(|address| Crowd::connect_to_own_form(address, misuse, MORE_THAN_DESCRIPTORS));
        crowds.iter_mut().for_each(|crowd| crowd.send_for(SENDING_TIME / 8));

        let reply = caller_request("hold", 5000).send(vm.callers);
        let (peak, open) = (peak_memory_mb(fleet.pid(0)), open_descriptors(fleet.pid(0)));
        assert_eq!(
            reply.map(|reply| reply.status),
            Some(200),
            "{misuse:?}: {peak} MB, {open} open"
        );
        assert!(peak < OWN_FORM_MB, "{misuse:?}: {peak} MB");
        assert!(open < MORE_THAN_DESCRIPTORS, "{misuse:?}: {open} descriptors are open");
        fleet.wait_ready(0);
    }
}

/// Targets whose answers have no end.
const ENDLESS_TARGETS: u16 = 24;
/// Requests that meet answers without an end at a time.
const ENDLESS_REQUESTS: usize = 160;

/// Guards against answers of targets without an end that are kept until memory runs out.
#[test]
fn answers_without_an_end_take_bounded_memory_of_the_products_own_form() {
    let _alone = alone();
    let mut pools = usual_pools();
    pools[0].count = ENDLESS_TARGETS;
    let fleet = fleet_of(&pools, 1);
    let endless = json!({ "fault": "endless", "service_ms": 2 });
    (1..=ENDLESS_TARGETS).for_each(|n| fleet.set_faults(&format!("plain-{n}"), &endless));
    let to = fleet.vms[0].callers;

    let statuses: Vec<u16> = thread::scope(|scope| {
        let send = || scope.spawn(|| caller_request("hold", 4000).send(to).map(|r| r.status));
        let sending: Vec<_> = (0..ENDLESS_REQUESTS).map(|_| send()).collect();
        sending.into_iter().map(|caller| caller.join().ok().flatten().unwrap_or(0)).collect()
    });
    let peak = peak_memory_mb(fleet.pid(0));

    assert!(peak < OWN_FORM_MB, "{peak} MB, {statuses:?}");
    assert!(!statuses.contains(&0), "requests without an answer: {statuses:?}");
}

/// Number of file descriptors that a process has open.
fn open_descriptors(pid: u32) -> usize {
    std::fs::read_dir(format!("/proc/{pid}/fd")).map_or(0, Iterator::count)
}
