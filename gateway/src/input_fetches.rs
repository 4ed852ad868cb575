//! Determines when the inputs of a pool's call have been fetched, from the worker's load report.
//!
//! A worker fetches a call's inputs when it starts the call. None are fetched while the call is
//! queued behind a call of another VM, and nothing that this VM learned before it sent the call can
//! rule such a queue out. Therefore the worker is asked for its report once the call has arrived.

use std::future::pending;
use std::rc::Rc;
use std::time::Duration;

use batching::Call;
use intent::Target;
use slog::debug;
use tokio::time::sleep;

use crate::app::App;
use crate::own_calls::{OwnCallError, ask_for_report};
use crate::permits;

/// Time within which a call arrives at its worker: many times the latency between halls.
const ARRIVAL_TIME: Duration = Duration::from_millis(20);
/// Interval between two requests for the report of a worker at which a call is queued.
const POLL_INTERVAL: Duration = Duration::from_millis(60);
/// Timeout for a worker's report.
const REPORT_TIMEOUT: Duration = Duration::from_millis(200);

/// What a worker's report says about the calls that arrived there.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CallProgress {
    /// The worker has started all of them.
    AllStarted,
    /// Some may be queued, or the report did not arrive.
    SomeMayBeQueued,
    /// The worker gives no report that can be read.
    Unavailable,
}

/// Completes once the worker of a call has fetched its inputs; never, if that can't be determined
/// before the answer.
pub(crate) async fn wait_until_fetched(app: &Rc<App>, call: &Call) {
    let Some(fetch) = call.fetch_time else { return pending().await };
    sleep(ARRIVAL_TIME).await;
    loop {
        match fetch_report(app, &call.target).await {
            CallProgress::AllStarted => return sleep(fetch).await,
            CallProgress::SomeMayBeQueued => sleep(POLL_INTERVAL).await,
            CallProgress::Unavailable => return pending().await,
        }
    }
}

/// Asks a worker for its report on the calls that arrived there.
async fn fetch_report(app: &Rc<App>, worker: &Target) -> CallProgress {
    let Some(permit) = permits::for_report(app, worker) else { return CallProgress::Unavailable };
    match ask_for_report(app, worker, permit, REPORT_TIMEOUT).await {
        Ok(body) => parse_report(app, worker, &body),
        Err(OwnCallError::Failed) => CallProgress::Unavailable,
        Err(_) => CallProgress::SomeMayBeQueued,
    }
}

/// Reads a report; one that can't be parsed counts as none.
fn parse_report(app: &App, worker: &Target, body: &[u8]) -> CallProgress {
    match (app.adapter.calls.read_report)(body) {
        Ok(report) if report.all_calls_started() => CallProgress::AllStarted,
        Ok(_) => CallProgress::SomeMayBeQueued,
        Err(e) => {
            debug!(app.log, "report not parsed"; "target" => %worker.id, "why" => %e);
            CallProgress::Unavailable
        }
    }
}
