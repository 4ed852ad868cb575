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
use crate::own_calls::{OwnCallError, own_call};
use crate::permits;

/// Time within which a call is at its worker: many times the way between halls.
const ARRIVAL: Duration = Duration::from_millis(20);
/// Pause before a worker at which a call waits is asked again.
const ASK_PAUSE: Duration = Duration::from_millis(60);
/// Longest wait for a worker's report.
const REPORT_WAIT: Duration = Duration::from_millis(200);

/// What a worker says of the calls that are there.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Said {
    /// Each has its turn.
    AllAtWork,
    /// Some may wait, or nothing was heard.
    SomeMayWait,
    /// It does not say.
    Nothing,
}

/// Ends once the worker of a call has fetched its inputs; never where that can't be told before the answer.
pub(crate) async fn wait_until_fetched(app: &Rc<App>, call: &Call) {
    let Some(fetch) = call.fetch_time else { return pending().await };
    sleep(ARRIVAL).await;
    loop {
        match ask(app, &call.target).await {
            Said::AllAtWork => return sleep(fetch).await,
            Said::SomeMayWait => sleep(ASK_PAUSE).await,
            Said::Nothing => return pending().await,
        }
    }
}

async fn ask(app: &Rc<App>, worker: &Target) -> Said {
    let Some(permit) = permits::for_report(app, worker) else { return Said::Nothing };
    let ask = (app.adapter.calls.report)(&worker.id);
    match timeout(REPORT_WAIT, own_call(app, worker, ask, permit)).await {
        Ok(Ok(body)) => read(app, worker, &body),
        Ok(Err(OwnCallError::Failed)) => Said::Nothing,
        Ok(Err(_)) | Err(_) => Said::SomeMayWait,
    }
}

fn read(app: &App, worker: &Target, body: &[u8]) -> Said {
    match (app.adapter.calls.read_report)(body) {
        Ok(report) if report.all_calls_started() => Said::AllAtWork,
        Ok(_) => Said::SomeMayWait,
        Err(e) => {
            debug!(app.log, "report not understood"; "target" => %worker.id, "why" => %e);
            Said::Nothing
        }
    }
}
