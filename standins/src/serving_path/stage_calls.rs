//! The calls that a worker (a runner of a pool) serves: it computes pieces of stages, releases
//! results, and reports its load.

use std::collections::BTreeSet;
use std::sync::atomic::Ordering;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use super::runners::{Behavior, Runner, StageResult};
use super::{HttpConnection, HttpMessage};

/// Time from the start of a call until its inputs have been fetched.
const FETCH_TIME: Duration = Duration::from_millis(10);
/// Running time of a call, fetching included.
const RUNNING_TIME: Duration = Duration::from_millis(20);

impl Behavior {
    /// Running time of a call of pieces.
    fn running_time(&self) -> Duration {
        match self {
            Behavior::Hang(time) | Behavior::NoRoomForLast(time) => *time,
            _ => RUNNING_TIME,
        }
    }
}

impl Runner {
    /// Runs a call of pieces; false if the connection is to end.
    pub(super) fn run_pieces(&self, conn: &mut HttpConnection, req: &HttpMessage) -> bool {
        let called = Instant::now();
        let body: Value = serde_json::from_slice(&req.body).unwrap_or_default();
        let items = body["items"].as_array().cloned().unwrap_or_default();
        let behavior = self.with(|state| {
            let next = (!state.script.is_empty()).then(|| state.script.remove(0));
            let behavior = next.unwrap_or(Behavior::Answer);
            state.receive(req, &behavior);
            behavior
        });
        self.wait_in_queue();
        let running_call = RunningCall::begin(self);
        match behavior {
            Behavior::Decline => {
                return conn.write(&self.reply("503 Full", &[("Not-Executed", "1")], b""));
            }
            Behavior::DeclineFor(seconds) => {
                let refusal = [("Not-Executed", "1"), ("Retry-After", seconds)];
                return conn.write(&self.reply("503 Full", &refusal, b""));
            }
            Behavior::Lose => return false,
            Behavior::Stall(part) => return self.stall(conn, part, ""),
            Behavior::Endless(part) => return self.send_endlessly(conn, part, ""),
            _ => {}
        }
        self.silence.work(FETCH_TIME);
        let is_gone = |item| {
            behavior == Behavior::InputGone || inputs_of(item).any(|input| is_released(&input))
        };
        let inputs_gone: Vec<bool> = items.iter().map(is_gone).collect();
        self.silence.work(behavior.running_time().saturating_sub(FETCH_TIME));
        self.with(|state| state.call_sizes.push(items.len()));
        let caller_gone = conn.is_closed();
        let room_for = items.len() - usize::from(matches!(behavior, Behavior::NoRoomForLast(_)));
        let outcome_of = |(number, item)| match () {
            () if number >= room_for => json!({"reason": "room"}),
            () if inputs_gone[number] => json!({"reason": "gone"}),
            () => self.run_piece(item, called, caller_gone),
        };
        let outcomes = items.iter().enumerate().map(outcome_of).collect::<Vec<_>>();
        drop(running_call);
        let body = json!({ "items": outcomes }).to_string();
        let answer = self.reply("200 OK", &[], body.as_bytes());
        let written = conn.write(&answer);
        if behavior == Behavior::CopyBeforeNext {
            let Some(next) = conn.read() else { return false };
            return conn.write(&answer) && self.answer(conn, &next);
        }
        written
    }

    /// Waits in the queue for as long as [`Runner::delay_next_call`] says.
    fn wait_in_queue(&self) {
        let time = self.with(|state| {
            state.waiting += 1;
            std::mem::take(&mut state.queue_delay)
        });
        self.silence.work(time);
        self.with(|state| state.waiting -= 1);
    }

    /// Reports the number of waiting calls. The worker counts as used while a call waits, because
    /// another VM's call is running then.
    pub(super) fn report(&self, conn: &mut HttpConnection) -> bool {
        if self.with(|state| state.has_no_report) {
            return conn.write(&self.reply("404 None", &[], b""));
        }
        let report = self.with(|state| {
            let is_used = state.waiting + state.running_calls > 0;
            json!({"waiting_requests": state.waiting, "utilization": u8::from(is_used),
                "free_mb": 1})
        });
        conn.write(&self.reply("200 OK", &[], report.to_string().as_bytes()))
    }

    /// Computes a piece and returns the handle of its result.
    fn run_piece(&self, item: &Value, called: Instant, caller_gone: bool) -> Value {
        let number = |name: &str| item[name].as_u64().unwrap_or(u64::MAX);
        let id = item["id"].as_str().unwrap_or_default().to_owned();
        let request = id.clone();
        self.with(|state| state.pieces.push((id, number("stage"), number("piece"))));
        let handle = self.next_handle.fetch_add(1, Ordering::Relaxed);
        let handle = format!("{}/{handle:x}", self.address);
        let made = StageResult {
            handle: handle.clone(),
            request,
            called,
            at: Instant::now(),
            caller_gone,
        };
        self.with(|state| state.made.push(made));
        json!({ "handle": handle })
    }

    /// Releases results by their handles; false if the connection is to end.
    pub(super) fn release(&self, conn: &mut HttpConnection, req: &HttpMessage) -> bool {
        let body: Value = serde_json::from_slice(&req.body).unwrap_or_default();
        let handles = body["handles"].as_array().cloned().unwrap_or_default();
        let handles = handles.iter().filter_map(|h| h.as_str().map(str::to_owned));
        let is_lost = self.with(|state| {
            let is_lost = state.releases_to_lose > 0;
            state.releases_to_lose = state.releases_to_lose.saturating_sub(1);
            is_lost
        });
        if is_lost {
            return false;
        }
        let handles: Vec<String> = handles.collect();
        released_handles().extend(handles.iter().cloned());
        let at = Instant::now();
        let releases = handles.into_iter().map(|handle| (handle, at));
        self.with(|state| state.released.extend(releases));
        conn.write(&self.reply("200 OK", &[], b""))
    }
}

/// Counts a call as running until this is dropped.
struct RunningCall<'a>(&'a Runner);

impl<'a> RunningCall<'a> {
    fn begin(runner: &'a Runner) -> Self {
        runner.with(|state| state.running_calls += 1);
        RunningCall(runner)
    }
}

impl Drop for RunningCall<'_> {
    fn drop(&mut self) {
        self.0.with(|state| state.running_calls -= 1);
    }
}

/// Handles of the results that were released at any runner of this process. A piece that needs one
/// as an input finds it gone.
static RELEASED: Mutex<BTreeSet<String>> = Mutex::new(BTreeSet::new());

fn released_handles() -> MutexGuard<'static, BTreeSet<String>> {
    RELEASED.lock().unwrap_or_else(PoisonError::into_inner)
}

fn is_released(handle: &str) -> bool {
    released_handles().contains(handle)
}

/// Handles of the results that a piece needs as inputs.
fn inputs_of(item: &Value) -> impl Iterator<Item = String> {
    let inputs = item["inputs"].as_array().cloned().unwrap_or_default();
    inputs.into_iter().filter_map(|input| input.as_str().map(str::to_owned))
}
