//! What a runner of a pool does: it makes pieces, and is told which results are given up.

use std::collections::BTreeSet;
use std::sync::atomic::Ordering;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::thread::sleep;
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use super::runners::{Behavior, Runner, StageResult};
use super::{HttpConnection, HttpMessage};

/// Time from the turn of a call until its inputs are fetched.
const FETCH: Duration = Duration::from_millis(10);
/// Time that a call is at work, fetching included.
const AT_WORK: Duration = Duration::from_millis(20);

impl Behavior {
    /// Time that a call of pieces is at work.
    fn time_at_work(&self) -> Duration {
        match self {
            Behavior::Hang(time) | Behavior::NoRoomForLast(time) => *time,
            _ => AT_WORK,
        }
    }
}

impl Runner {
    pub(super) fn make_pieces(&self, wire: &mut HttpConnection, req: &HttpMessage) -> bool {
        let called = Instant::now();
        let body: Value = serde_json::from_slice(&req.body).unwrap_or_default();
        let items = body["items"].as_array().cloned().unwrap_or_default();
        let act = self.with(|state| {
            let next = (!state.script.is_empty()).then(|| state.script.remove(0));
            let act = next.unwrap_or(Behavior::Answer);
            state.receive(req, &act);
            act
        });
        self.wait_for_turn();
        let at_work = AtWork::begin(self);
        match act {
            Behavior::Decline => {
                return wire.write(&self.reply("503 Full", &[("Not-Executed", "1")], b""));
            }
            Behavior::DeclineFor(seconds) => {
                let turned_away = [("Not-Executed", "1"), ("Retry-After", seconds)];
                return wire.write(&self.reply("503 Full", &turned_away, b""));
            }
            Behavior::Lose => return false,
            _ => {}
        }
        sleep(FETCH);
        let is_gone =
            |item| act == Behavior::InputGone || inputs_of(item).any(|input| is_given_up(&input));
        let gone: Vec<bool> = items.iter().map(is_gone).collect();
        sleep(act.time_at_work().saturating_sub(FETCH));
        self.with(|state| state.calls.push(items.len()));
        let is_unheard = wire.is_closed();
        let with_room = items.len() - usize::from(matches!(act, Behavior::NoRoomForLast(_)));
        let made = |(number, item)| match () {
            () if number >= with_room => json!({"reason": "room"}),
            () if gone[number] => json!({"reason": "gone"}),
            () => self.make_piece(item, called, is_unheard),
        };
        let made = items.iter().enumerate().map(made).collect::<Vec<_>>();
        drop(at_work);
        wire.write(&self.reply("200 OK", &[], json!({ "items": made }).to_string().as_bytes()))
    }

    /// Waits for as long as a call of somebody else is before this one.
    fn wait_for_turn(&self) {
        let time = self.with(|state| {
            state.waiting += 1;
            std::mem::take(&mut state.turn_after)
        });
        sleep(time);
        self.with(|state| state.waiting -= 1);
    }

    /// Tells how many calls wait; while one does, another one is at work.
    pub(super) fn report(&self, wire: &mut HttpConnection) -> bool {
        if self.with(|state| state.reports_nothing) {
            return wire.write(&self.reply("404 None", &[], b""));
        }
        let report = self.with(|state| {
            let is_used = state.waiting + state.at_work > 0;
            json!({"waiting_requests": state.waiting, "utilization": u8::from(is_used),
                "free_mb": 1})
        });
        wire.write(&self.reply("200 OK", &[], report.to_string().as_bytes()))
    }

    fn make_piece(&self, item: &Value, called: Instant, is_unheard: bool) -> Value {
        let number = |name: &str| item[name].as_u64().unwrap_or(u64::MAX);
        let id = item["id"].as_str().unwrap_or_default().to_owned();
        self.with(|state| state.pieces.push((id, number("stage"), number("piece"))));
        let handle = self.next_handle.fetch_add(1, Ordering::Relaxed);
        let handle = format!("{}/{handle:x}", self.address);
        let made = StageResult { handle: handle.clone(), called, at: Instant::now(), is_unheard };
        self.with(|state| state.made.push(made));
        json!({ "handle": handle })
    }

    pub(super) fn release(&self, wire: &mut HttpConnection, req: &HttpMessage) -> bool {
        let body: Value = serde_json::from_slice(&req.body).unwrap_or_default();
        let handles = body["handles"].as_array().cloned().unwrap_or_default();
        let handles = handles.iter().filter_map(|h| h.as_str().map(str::to_owned));
        let is_lost = self.with(|state| {
            let is_lost = state.losing > 0;
            state.losing = state.losing.saturating_sub(1);
            is_lost
        });
        if is_lost {
            return false;
        }
        let handles: Vec<String> = handles.collect();
        given_up().extend(handles.iter().cloned());
        let at = Instant::now();
        let words = handles.into_iter().map(|handle| (handle, at));
        self.with(|state| state.released.extend(words));
        wire.write(&self.reply("200 OK", &[], b""))
    }
}

/// A call at work, until this is dropped.
struct AtWork<'a>(&'a Runner);

impl<'a> AtWork<'a> {
    fn begin(runner: &'a Runner) -> Self {
        runner.with(|state| state.at_work += 1);
        AtWork(runner)
    }
}

impl Drop for AtWork<'_> {
    fn drop(&mut self) {
        self.0.with(|state| state.at_work -= 1);
    }
}

/// Results that were given up at any runner of this process: whoever needs one as an input finds it gone.
static GIVEN_UP: Mutex<BTreeSet<String>> = Mutex::new(BTreeSet::new());

fn given_up() -> MutexGuard<'static, BTreeSet<String>> {
    GIVEN_UP.lock().unwrap_or_else(PoisonError::into_inner)
}

fn is_given_up(handle: &str) -> bool {
    given_up().contains(handle)
}

/// Results that a piece needs.
fn inputs_of(item: &Value) -> impl Iterator<Item = String> {
    let inputs = item["inputs"].as_array().cloned().unwrap_or_default();
    inputs.into_iter().filter_map(|input| input.as_str().map(str::to_owned))
}
