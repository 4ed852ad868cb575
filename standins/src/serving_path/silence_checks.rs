//! Checks of a randomized run with silences: each request that was sent whole on an open connection
//! is answered, and each stream that began is whole.

use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use super::silence_soak::{Call, Close, MAX_REST, ROUTE_TIMEOUTS_MS, Run, lock};
use super::site::{SETTLE_TIME, Vm};
use super::soak::{Interruption, RECOVERY_TIMEOUT, REQUEST_KINDS, Report, check_recovery};
use super::soak_checks::{check_answer, check_contents, check_results};
use super::stop_soak::{DEADLINE_MS, StoppedVm, has_word};

/// Time after a signal to stop before which no stream that has begun may end with the process:
/// most of the grace period of [`super::silence_soak::STOP_SETTINGS`].
const STREAM_GRACE: Duration = Duration::from_millis(3500);
/// Time after which no VM uses an earlier version, silences in a row included.
const MAX_LAG: Duration = Duration::from_secs(10);
/// Longest time for which a request uses a result, and its release is under way.
const RESULT_USE: Duration = Duration::from_millis(DEADLINE_MS + 4000);
/// Longest time between the end of a process and when callers notice it.
const NOTICING_TIME: Duration = Duration::from_secs(1);

impl Run {
    /// Checks the run. The logs of one that failed are kept in the directory for temporary files.
    pub(super) fn check(self) -> Report {
        let mut report = std::mem::take(&mut *lock(&self.report));
        let addresses: Vec<SocketAddr> = self.vms.iter().map(|vm| vm.address).collect();
        check_recovery(&addresses, self.seed, &mut report);
        // VMs write their logs at intervals.
        thread::sleep(SETTLE_TIME);
        let logs: Vec<String> = self.vms.iter().map(StoppedVm::all_logs).collect();
        for call in lock(&self.calls).iter() {
            report.requests += 1;
            check_answer(&self.site, &call.request, &mut report);
            report.violations.extend(self.loss(call, &logs[call.request.vm]));
        }
        report.violations.extend(lock(&self.closes).iter().filter_map(|close| self.early(close)));
        check_results(&self.site, &self.interruptions(), RESULT_USE, &mut report);
        let vm = |vm: StoppedVm| vm.vm.into_inner().unwrap_or_else(PoisonError::into_inner);
        let vms: Vec<Vm> = self.vms.into_iter().map(vm).collect();
        check_contents(&vms, RECOVERY_TIMEOUT, &mut report);
        if !report.violations.is_empty() {
            for (number, log) in logs.iter().enumerate() {
                let name = format!("silences-{}-{number}.log", self.seed);
                drop(std::fs::write(std::env::temp_dir().join(name), log));
            }
        }
        report
    }

    /// The ends of VM processes.
    fn interruptions(&self) -> Vec<Interruption> {
        let ends = |(vm, stops): (usize, &Mutex<Vec<(Instant, Instant)>>)| -> Vec<Interruption> {
            let ends = lock(stops).clone().into_iter();
            ends.map(|(_, at)| Interruption { vm, at, process_ended: true }).collect()
        };
        self.stops.iter().enumerate().flat_map(ends).collect()
    }

    /// What is wrong with a call that has no whole answer.
    ///
    /// Allowed are: a request that crossed the close and that the VM has not read; a stream that was
    /// still passed on when the grace period of a stop was over; and one that the VM ended at the
    /// time limit.
    fn loss(&self, call: &Call, log: &str) -> Option<String> {
        let request = &call.request;
        let (path, _, streams) = REQUEST_KINDS[request.kind];
        if request.answer.as_ref().is_some_and(|answer| answer.is_complete) {
            return None;
        }
        let field = format!("request={}", request.id);
        let lines: Vec<&str> = log.lines().filter(|line| has_word(line, &field)).collect();
        let is_logged = |part: &str| lines.iter().any(|line| line.contains(part));
        let took = call.ended - request.sent;
        let is_over = took.as_millis() as u64 >= ROUTE_TIMEOUTS_MS[0].min(DEADLINE_MS);
        let (is_allowed, what) = match request.answer {
            None => (call.crossed && lines.is_empty(), "no answer"),
            Some(_) => {
                let at_stop = is_logged("closed by the stop") && is_logged("head_sent=true");
                let at_stop = at_stop && self.is_after_grace(request.vm, call.ended);
                let at_limit = is_over && is_logged("the deadline has passed");
                (streams && (at_stop || at_limit), "the answer is incomplete")
            }
        };
        let last = &lines[lines.len().saturating_sub(2)..];
        let (id, vm) = (&request.id, request.vm);
        let stop =
            lock(&self.stops[vm]).iter().rev().map(|(at, _)| *at).find(|at| *at < call.ended);
        let stop = stop.map(|signalled| call.ended - signalled);
        (!is_allowed).then(|| {
            format!(
                "{path} {id}: {what}, VM {vm}, {took:?} after sending, {stop:?} after the signal of \
                 a stop, {} answers before on the connection; {last:?}",
                call.answers_before
            )
        })
    }

    /// Whether most of the grace period of a VM's stop was over, and its process ended then.
    fn is_after_grace(&self, vm: usize, at: Instant) -> bool {
        let ended_in = |(signalled, exited): &(Instant, Instant)| {
            (*signalled + STREAM_GRACE..*exited + NOTICING_TIME).contains(&at)
        };
        lock(&self.stops[vm]).iter().any(ended_in)
    }

    /// What is wrong with a close at rest: only a stop may bring it before callers may have rested
    /// for as long as the idle time allows.
    fn early(&self, close: &Close) -> Option<String> {
        let Close { vm, rest_began, at } = *close;
        let is_stopping = |(signalled, exited): &(Instant, Instant)| {
            (*signalled..*exited + NOTICING_TIME).contains(&at)
        };
        if lock(&self.stops[vm]).iter().any(is_stopping) {
            return None;
        }
        let allowed = self.shortest_idle_time(rest_began - MAX_LAG, at).mul_f64(MAX_REST);
        let rested = at - rest_began;
        (rested < allowed).then(|| {
            format!(
                "VM {vm} closed a connection after a rest of {rested:?}, {allowed:?} are allowed"
            )
        })
    }
}
