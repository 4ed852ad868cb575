//! Checks of a randomized run, based on the answers that callers received and the requests that
//! runners recorded.

use std::collections::{BTreeSet, HashMap};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use super::HttpMessage;
use super::crashing::CrashingRunner;
use super::runners::{ReceivedRequest, Runner, StageResult};
use super::site::{Site, Vm};
use super::soak::{
    AnsweredRequest, FATAL_PART, Interruption, REQUEST_KINDS, Report, SHARED_PART, fatal_triggers,
};

/// Number of crashes after which a request is quarantined.
const QUARANTINE_CRASHES: u64 = 3;
/// Number of crashes after which a part of prompts is quarantined: one more than a request, since
/// parts that were only seen together are told apart by the next crash.
const PART_QUARANTINE_CRASHES: u64 = QUARANTINE_CRASHES + 1;
/// Further crashes that are tolerated, for the whole run and once more per restart of a VM. They
/// come from retries that were in progress when the request was quarantined, and from attempts of a
/// VM that has restarted and is not linked to its peers yet.
const TOLERATED_CRASHES: u64 = 2;
/// Number of events in a complete stream.
pub(super) const STREAM_EVENTS: u64 = 5;
/// Time that a VM has to respect the notice of a runner that it is leaving: requests that callers
/// send to this VM later must not reach the runner.
const LEAVING_TOLERANCE: Duration = Duration::from_secs(2);
/// Time within which requests arrive that were in transit when a notice was sent.
const TRANSIT_TIME: Duration = Duration::from_millis(500);
/// Number of requests from a VM that may reach a runner later than [`TRANSIT_TIME`] after its
/// `Retry-After` and before that pause is over.
const TOLERATED_LATE_REQUESTS: usize = 2;

/// Interval over which requests to a runner with a rate limit are counted.
const RATE_SPAN: Duration = Duration::from_secs(4);
/// Time after which an unreleased result expires; `handle_s` of the default configuration.
pub(super) const RESULT_LIFE: Duration = Duration::from_secs(4);
/// Tolerated multiple of the number of requests that the rate limit allows in [`RATE_SPAN`].
const RATE_FACTOR: f64 = 1.5;
/// Number of requests tolerated in [`RATE_SPAN`] beyond this multiple.
const EXTRA_REQUESTS: f64 = 5.0;

/// Checks that only few runners crashed on the fatal request and on the fatal part of prompts, and
/// that nothing else was quarantined.
pub(super) fn check_crashes(crashing_runners: &[CrashingRunner], vms: &[Vm], report: &mut Report) {
    let limits = [QUARANTINE_CRASHES, PART_QUARANTINE_CRASHES];
    for (trigger, limit) in fatal_triggers().iter().zip(limits) {
        let crashes: u64 = crashing_runners.iter().map(|runner| runner.crashes_on(trigger)).sum();
        let max_crashes = limit + TOLERATED_CRASHES * (1 + report.restarts);
        if crashes > max_crashes {
            report
                .violations
                .push(format!("{crashes} crashes on {trigger:?}, expected at most {max_crashes}"));
        }
    }
    for vm in vms {
        let quarantined = vm.state_list("quarantine");
        let parts: Vec<&str> =
            quarantined.iter().filter_map(|refused| refused["part"].as_str()).collect();
        let requests = quarantined.len() - parts.len();
        if requests > 1 {
            report.violations.push(format!("{requests} quarantined requests, expected one"));
        }
        // The shared part may be refused together with the fatal one, but not by itself.
        let is_expected = |part: &&str| {
            *part == FATAL_PART || (*part == SHARED_PART && parts.contains(&FATAL_PART))
        };
        if !parts.iter().all(is_expected) {
            report.violations.push(format!("quarantined parts: {parts:?}"));
        }
    }
}

/// Checks that VMs respect the notices of runners that they are leaving or want a pause: a VM that
/// received such an answer sends the runner no further requests, unless the VM was interrupted
/// since.
pub(super) fn check_notices(
    site: &Site,
    answered: &[AnsweredRequest],
    interruptions: &[Interruption],
    report: &mut Report,
) {
    let sent = by_id(answered);
    for runner in site.plain.iter().chain(&site.engines) {
        let received = runner.received();
        let by_vm: Vec<(&ReceivedRequest, &AnsweredRequest)> =
            received.iter().filter_map(|r| Some((r, *sent.get(r.id.as_str())?))).collect();
        let notices = by_vm.iter().filter(|(r, _)| r.announces_leaving || r.retry_after.is_some());
        for (notice, notified) in notices {
            report.notices += 1;
            let later = by_vm.iter().filter(|(r, request)| {
                let interrupted = is_interrupted(interruptions, notified.vm, notice.at, r.at);
                request.vm == notified.vm && r.at > notice.at && !interrupted
            });
            let (until, transit) = (notice.retry_after.map(|time| notice.at + time), TRANSIT_TIME);
            let late = later.clone().filter(|(r, _)| {
                until.is_some_and(|until| (notice.at + transit..until).contains(&r.at))
            });
            if late.clone().count() > TOLERATED_LATE_REQUESTS {
                let count = late.count();
                report
                    .violations
                    .push(format!("{}: {count} requests during Retry-After", runner.id));
            }
            for (_, request) in later.filter(|(_, request)| {
                notice.announces_leaving && request.sent > notice.at + LEAVING_TOLERANCE
            }) {
                report
                    .violations
                    .push(format!("{}: {} reached a leaving runner", runner.id, request.id));
            }
        }
    }
}

/// Checks that workers are told to release every result before it expires, except those whose
/// handle may have been lost with a VM process or was never received. Waits for the last releases.
/// A result may be in use, or its release under way, for `life` after it was made.
pub(super) fn check_results(
    site: &Site,
    interruptions: &[Interruption],
    life: Duration,
    report: &mut Report,
) {
    let until = Instant::now() + life;
    let ends: Vec<Instant> =
        interruptions.iter().filter(|i| i.process_ended).map(|i| i.at).collect();
    let is_expected = |made: &StageResult| {
        let life = made.called..made.at + life;
        !made.caller_gone && !ends.iter().any(|end| life.contains(end))
    };
    let expected: Vec<StageResult> =
        site.pool.iter().flat_map(Runner::made).filter(is_expected).collect();
    report.results = expected.len();
    loop {
        let released: BTreeSet<String> = site.pool.iter().flat_map(Runner::released).collect();
        let unreleased = expected.iter().filter(|made| !released.contains(&made.handle));
        let count = unreleased.clone().count();
        if count == 0 {
            return;
        }
        if Instant::now() > until {
            let ages: Vec<_> = unreleased
                .map(|made| (&made.handle, made.called.elapsed(), made.at.elapsed()))
                .collect();
            let what = format!(
                "{count} of {} results are not released; handle, time since the call and since the \
                 result at {}: {ages:?}",
                expected.len(),
                SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs_f64()
            );
            report.violations.push(what);
            return;
        }
        thread::sleep(Duration::from_millis(50));
    }
}

/// What VMs know differently of the store: all have to know the same content at the same revision.
pub(super) fn content_differences(vms: &[Vm]) -> Vec<String> {
    let content = |vm: &Vm| {
        let state = vm.state();
        (state["era"].clone(), state["as_of"].clone(), state["content"].clone())
    };
    let contents: Vec<_> = vms.iter().map(content).collect();
    let is_same = contents.iter().all(|content| *content == contents[0] && !content.2.is_null());
    if is_same { Vec::new() } else { vec![format!("contents differ: {contents:?}")] }
}

/// VMs that read the store's content anew since peers knew other content at the same revision. That
/// mends a fault, so that it counts as one.
pub(super) fn logged_differences(vms: &[Vm]) -> Vec<String> {
    let lines = vms.iter().map(Vm::log).flat_map(|log| {
        let differs = |line: &&str| line.contains("content differs from that of peers");
        log.lines().filter(differs).map(str::to_owned).collect::<Vec<_>>()
    });
    lines.collect()
}

/// Checks that all VMs come to know the same content of the store within `timeout`, by their own
/// means or from peers.
pub(super) fn check_contents(vms: &[Vm], timeout: Duration, report: &mut Report) {
    let until = Instant::now() + timeout;
    let mut differences = content_differences(vms);
    while !differences.is_empty() && Instant::now() < until {
        thread::sleep(Duration::from_millis(50));
        differences = content_differences(vms);
    }
    report.violations.extend(differences);
    report.violations.extend(logged_differences(vms));
}

/// Requests by their ids.
fn by_id(answered: &[AnsweredRequest]) -> HashMap<&str, &AnsweredRequest> {
    answered.iter().map(|request| (request.id.as_str(), request)).collect()
}

/// Whether a VM was restarted or paused in an interval.
fn is_interrupted(interruptions: &[Interruption], vm: usize, from: Instant, to: Instant) -> bool {
    interruptions
        .iter()
        .any(|interruption| interruption.vm == vm && (from..to).contains(&interruption.at))
}

/// Checks that a runner with a rate limit receives no more requests than tolerated from VMs that
/// know of the limit, unless these were interrupted since.
pub(super) fn check_rates(
    site: &Site,
    answered: &[AnsweredRequest],
    interruptions: &[Interruption],
    report: &mut Report,
) {
    let sent = by_id(answered);
    for runner in site.plain.iter().chain(&site.engines) {
        let counted = requests_under_rate_limit(&runner.received(), &sent, interruptions);
        report.rate_limited += counted.len();
        for (first, _) in &counted {
            let within =
                || counted.iter().filter(|(at, _)| (*first..*first + RATE_SPAN).contains(at));
            let highest = within().map(|(_, rate)| *rate).fold(0.0, f64::max);
            let tolerated = RATE_FACTOR * highest * RATE_SPAN.as_secs_f64() + EXTRA_REQUESTS;
            let count = within().count();
            if count as f64 > tolerated {
                let what =
                    format!("{}: {count} requests in 4 s, expected at most {tolerated}", runner.id);
                report.violations.push(what);
                break;
            }
        }
    }
}

/// Requests that arrived while a rate limit was in force, from VMs that knew of it: time and rate
/// limit in requests per second.
fn requests_under_rate_limit(
    received: &[ReceivedRequest],
    sent: &HashMap<&str, &AnsweredRequest>,
    interruptions: &[Interruption],
) -> Vec<(Instant, f64)> {
    let mut informed: HashMap<usize, Instant> = HashMap::new();
    let mut counted = Vec::new();
    for request in received {
        let Some(rate) = request.rate else {
            // The limit has ended; a VM knows of the next one only after a further answer.
            informed.clear();
            continue;
        };
        let Some(vm) = sent.get(request.id.as_str()).map(|request| request.vm) else { continue };
        let uninterrupted =
            |since: &&Instant| !is_interrupted(interruptions, vm, **since, request.at);
        match informed.get(&vm).filter(uninterrupted) {
            Some(since) if request.at > *since + TRANSIT_TIME => counted.push((request.at, rate)),
            None if request.answered_at_once => drop(informed.insert(vm, request.at)),
            Some(_) | None => {}
        }
    }
    counted
}

/// Checks one answer against the requests that runners ran.
pub(super) fn check_answer(site: &Site, request: &AnsweredRequest, report: &mut Report) {
    let (path, repeatable, streams) = REQUEST_KINDS[request.kind];
    let id = &request.id;
    let mut violation = |what: String| report.violations.push(format!("{path} {id}: {what}"));
    let runs = site.runs(id);
    if !repeatable && runs > 1 {
        violation(format!("ran {runs} times"));
    }
    let Some(answer) = &request.answer else { return };
    match answer.status() {
        200 => {
            if !answer.header("response-signature").starts_with("sig-") {
                violation("a success without Response-Signature".to_owned());
            }
            if answer.header("request-id") != id {
                violation(format!("the answer has the id {}", answer.header("request-id")));
            }
            if streams {
                check_events(id, answer, &mut violation);
            } else if answer.is_complete && !answer.text().ends_with(&format!("answers {id}")) {
                violation(format!("unexpected body: {}", answer.text()));
            }
            report.complete += u64::from(answer.is_complete);
        }
        503 | 429 | 408 | 421 if !repeatable && runs > 0 => {
            violation(format!("status {}, but the request ran", answer.status()));
        }
        status @ (400 | 401 | 404 | 413) => {
            violation(format!("status {status} for a valid request"))
        }
        _ => {}
    }
}

/// Checks that the events of a stream belong to the request, in order and without gaps, and that a
/// complete stream has all of them.
fn check_events(id: &str, answer: &HttpMessage, violation: &mut impl FnMut(String)) {
    let text = answer.text();
    let data: Vec<&str> = text.lines().filter_map(|line| line.strip_prefix("data: ")).collect();
    for (index, event) in data.iter().enumerate() {
        if **event != format!("{id}/{}", index + 1) {
            violation(format!("event {} is {event}", index + 1));
            return;
        }
    }
    if answer.is_complete && data.len() as u64 != STREAM_EVENTS {
        violation(format!("{} events in a complete stream", data.len()));
    }
}
