//! When the inputs of a pool's call have been fetched, from what its worker says.
//!
//! A worker fetches inputs once a call has its turn. A call that waits behind a call of another VM has fetched none, and
//! nothing that this VM heard before it sent the call can rule that out: so the worker is asked once the call is there.

use std::future::pending;
use std::rc::Rc;
use std::time::Duration;

use batching::Call;
use intent::Target;
use slog::debug;
use tokio::time::{sleep, timeout};

use crate::app::App;
use crate::own_calls::own_call;
use crate::permits;

/// Time within which a call is at its worker: many times the way between halls.
const ARRIVAL: Duration = Duration::from_millis(20);
/// Pause before a worker at which a call waits is asked again.
const ASK_PAUSE: Duration = Duration::from_millis(60);
/// Longest wait for a worker's report.
const REPORT_WAIT: Duration = Duration::from_millis(200);

/// Ends once the worker of a call has fetched its inputs; never where that can't be told before the answer.
pub(crate) async fn inputs_fetched(app: &Rc<App>, call: &Call) {
    let Some(fetch) = call.fetch else { return pending().await };
    sleep(ARRIVAL).await;
    while !has_had_its_turn(app, &call.target).await {
        sleep(ASK_PAUSE).await;
    }
    sleep(fetch).await;
}

/// Whether a worker says that each call which is there has its turn.
async fn has_had_its_turn(app: &Rc<App>, worker: &Target) -> bool {
    let Some(permit) = permits::for_report(app, worker) else { return false };
    let ask = (app.doors.calls.report)(&worker.id);
    let answer = timeout(REPORT_WAIT, own_call(app, worker, ask, permit)).await;
    let Ok(Ok(body)) = answer else { return false };
    match (app.doors.calls.read_report)(&body) {
        Ok(report) => report.all_have_their_turn(),
        Err(e) => {
            debug!(app.log, "report not understood"; "target" => %worker.id, "why" => %e);
            false
        }
    }
}
