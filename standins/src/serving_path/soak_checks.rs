//! What a randomized run must have kept to, from what callers and runners saw.

use std::collections::{BTreeSet, HashMap};
use std::thread;
use std::time::{Duration, Instant};

use super::HttpMessage;
use super::crashing::CrashingRunner;
use super::runners::{ReceivedRequest, Runner, StageResult};
use super::site::{Site, Vm};
use super::soak::{Answered, Interruption, KINDS, Report};

/// Ends that make a fatal request known.
const CRASHES: u64 = 3;
/// Ends beyond these that are borne: the tries of a return that is under way, and those at a VM that was
/// started again and is not linked yet.
const MORE_ENDS: u64 = 2;
/// Events of a whole stream.
const EVENTS: u64 = 5;
/// A request that was sent later than this after a VM had heard that a runner leaves does not reach it from there.
const LEAVING_BORNE: Duration = Duration::from_secs(2);
/// Requests that were on their way at the word arrive within this time.
const ON_THEIR_WAY: Duration = Duration::from_millis(500);
/// Requests from a VM that reach a runner later, before its time is over, and are borne.
const LATE_BORNE: usize = 2;

/// The span in which requests to a runner that names a rate are counted.
const RATE_SPAN: Duration = Duration::from_secs(4);
/// Time after which a result that nobody gives up runs out, as the usual configuration says.
const RESULT_LIFE: Duration = Duration::from_secs(4);
/// Such a runner bears this many times what its rate allows in that span,
const RATE_FACTOR: f64 = 1.5;
/// and so many requests more.
const RATE_MORE: f64 = 5.0;

/// Few runners ended under the fatal request, and no other request is taken for one.
pub(super) fn check_fragile(fragile: &[CrashingRunner], vms: &[Vm], report: &mut Report) {
    let ends: u64 = fragile.iter().map(CrashingRunner::crashes).sum();
    let most = CRASHES + MORE_ENDS * (1 + report.restarts);
    if ends > most {
        report.violations.push(format!("{ends} runners ended under one request, {most} are borne"));
    }
    let refused = |vm: &Vm| vm.state()["quarantine"].as_array().map_or(0, Vec::len);
    if let Some(many) = vms.iter().map(refused).max().filter(|refused| *refused > 1) {
        report.violations.push(format!("{many} requests are refused as fatal, one is"));
    }
}

/// What a runner said to a VM holds for what that VM sends it, unless the VM was interrupted since then.
pub(super) fn check_words(
    site: &Site,
    answered: &[Answered],
    interruptions: &[Interruption],
    report: &mut Report,
) {
    let sent = by_id(answered);
    for runner in site.plain.iter().chain(&site.engines) {
        let received = runner.received();
        let by_vm: Vec<(&ReceivedRequest, &Answered)> =
            received.iter().filter_map(|r| Some((r, *sent.get(r.id.as_str())?))).collect();
        let words = by_vm.iter().filter(|(r, _)| r.leaves || r.left_alone.is_some());
        for (word, told) in words {
            report.notices += 1;
            let later = by_vm.iter().filter(|(r, one)| {
                let interrupted = is_interrupted(interruptions, told.vm, word.at, r.at);
                one.vm == told.vm && r.at > word.at && !interrupted
            });
            let (until, alone) = (word.left_alone.map(|time| word.at + time), ON_THEIR_WAY);
            let too_many = later.clone().filter(|(r, _)| {
                until.is_some_and(|until| (word.at + alone..until).contains(&r.at))
            });
            if too_many.clone().count() > LATE_BORNE {
                let count = too_many.count();
                report.violations.push(format!("{}: {count} requests while left alone", runner.id));
            }
            for (_, one) in
                later.filter(|(_, one)| word.leaves && one.sent > word.at + LEAVING_BORNE)
            {
                report
                    .violations
                    .push(format!("{}: {} reached it, which leaves", runner.id, one.id));
            }
        }
    }
}

/// Workers hear of every result before it runs out, but for those of which a VM's end may have taken the handle. Waits
/// for the last ones.
pub(super) fn check_results(site: &Site, interruptions: &[Interruption], report: &mut Report) {
    let until = Instant::now() + RESULT_LIFE;
    let ends: Vec<Instant> = interruptions.iter().filter(|i| i.is_end).map(|i| i.at).collect();
    let is_owed = |made: &StageResult| {
        let life = made.called..made.at + RESULT_LIFE;
        !made.caller_gone && !ends.iter().any(|end| life.contains(end))
    };
    let owed: Vec<StageResult> = site.pool.iter().flat_map(Runner::made).filter(is_owed).collect();
    report.results = owed.len();
    loop {
        let given_up: BTreeSet<String> = site.pool.iter().flat_map(Runner::released).collect();
        let kept = owed.iter().filter(|made| !given_up.contains(&made.handle)).count();
        if kept == 0 {
            return;
        }
        if Instant::now() > until {
            report.violations.push(format!("{kept} of {} results are not given up", owed.len()));
            return;
        }
        thread::sleep(Duration::from_millis(50));
    }
}

fn by_id(answered: &[Answered]) -> HashMap<&str, &Answered> {
    answered.iter().map(|one| (one.id.as_str(), one)).collect()
}

/// Whether a VM was restarted or stood still between two moments.
fn is_interrupted(interruptions: &[Interruption], vm: usize, from: Instant, to: Instant) -> bool {
    interruptions.iter().any(|one| one.vm == vm && (from..to).contains(&one.at))
}

/// A runner that names a rate gets no more than it bears from VMs that have heard of it, unless they were interrupted
/// since then.
pub(super) fn check_rates(
    site: &Site,
    answered: &[Answered],
    interruptions: &[Interruption],
    report: &mut Report,
) {
    let sent = by_id(answered);
    for runner in site.plain.iter().chain(&site.engines) {
        let counted = counted_at_rate(&runner.received(), &sent, interruptions);
        report.rate_limited += counted.len();
        for (first, _) in &counted {
            let within =
                || counted.iter().filter(|(at, _)| (*first..*first + RATE_SPAN).contains(at));
            let highest = within().map(|(_, rate)| *rate).fold(0.0, f64::max);
            let borne = RATE_FACTOR * highest * RATE_SPAN.as_secs_f64() + RATE_MORE;
            let count = within().count();
            if count as f64 > borne {
                let what = format!("{}: {count} requests in 4 s, {borne} are borne", runner.id);
                report.violations.push(what);
                break;
            }
        }
    }
}

/// Requests that came while a runner named a rate, from VMs that had heard it do so, with that rate.
fn counted_at_rate(
    received: &[ReceivedRequest],
    sent: &HashMap<&str, &Answered>,
    interruptions: &[Interruption],
) -> Vec<(Instant, f64)> {
    let mut told: HashMap<usize, Instant> = HashMap::new();
    let mut counted = Vec::new();
    for one in received {
        let Some(rate) = one.rate else {
            // Whoever heard of it before hears of the next one anew.
            told.clear();
            continue;
        };
        let Some(vm) = sent.get(one.id.as_str()).map(|one| one.vm) else { continue };
        let uninterrupted = |since: &&Instant| !is_interrupted(interruptions, vm, **since, one.at);
        match told.get(&vm).filter(uninterrupted) {
            Some(since) if one.at > *since + ON_THEIR_WAY => counted.push((one.at, rate)),
            None if one.answered_at_once => drop(told.insert(vm, one.at)),
            Some(_) | None => {}
        }
    }
    counted
}

/// Checks one answer against what the runners saw.
pub(super) fn check_answer(site: &Site, one: &Answered, report: &mut Report) {
    let (path, repeatable, streams) = KINDS[one.kind];
    let id = &one.id;
    let mut broken = |what: String| report.violations.push(format!("{path} {id}: {what}"));
    let runs = site.runs(id);
    if !repeatable && runs > 1 {
        broken(format!("ran {runs} times"));
    }
    let Some(answer) = &one.answer else { return };
    match answer.status() {
        200 => {
            if !answer.header("response-signature").starts_with("sig-") {
                broken("a success with no receipt".to_owned());
            }
            if answer.header("request-id") != id {
                broken(format!("the answer of {}", answer.header("request-id")));
            }
            if streams {
                check_events(id, answer, &mut broken);
            } else if answer.is_complete && !answer.text().ends_with(&format!("answers {id}")) {
                broken(format!("another body: {}", answer.text()));
            }
            report.complete += u64::from(answer.is_complete);
        }
        503 | 429 | 408 | 421 if !repeatable && runs > 0 => {
            broken(format!("status {} though it ran", answer.status()));
        }
        status @ (400 | 401 | 404 | 413) => broken(format!("status {status} of a proper request")),
        _ => {}
    }
}

/// Events of a stream are its own, in order, none missing; a whole one has all of them.
fn check_events(id: &str, answer: &HttpMessage, broken: &mut impl FnMut(String)) {
    let text = answer.text();
    let data: Vec<&str> = text.lines().filter_map(|line| line.strip_prefix("data: ")).collect();
    for (index, event) in data.iter().enumerate() {
        if **event != format!("{id}/{}", index + 1) {
            broken(format!("event {} is {event}", index + 1));
            return;
        }
    }
    if answer.is_complete && data.len() as u64 != EVENTS {
        broken(format!("{} events of a stream that looks whole", data.len()));
    }
}
