//! What all tasks that call the store share: how they record what came of a call, and how long they
//! pause after a failed one.

use std::time::Duration;

use ids::StoreRevision;
use platform_interface::store::StoreItem;
use slog::{info, warn};
use store_view::Item;
use tokio::time::sleep;

use crate::app::App;
use crate::store_connection::StoreCallError;

/// Pause after the first failed call; doubles with each further failure in a row.
const FIRST_RETRY_PAUSE: Duration = Duration::from_millis(80);
/// Longest pause after a failed call. The platform counts refused calls too, so the pause is not
/// shorter. The return of the store is still noticed early enough for changes to take effect in
/// time, within seconds of that return.
pub(crate) const MAX_RETRY_PAUSE: Duration = Duration::from_millis(500);

/// Exponential backoff between failed calls; holds the next pause.
pub(crate) struct Backoff(Duration);

impl Backoff {
    pub(crate) fn new() -> Self {
        Backoff(FIRST_RETRY_PAUSE)
    }

    pub(crate) async fn pause(&mut self) {
        sleep(self.0).await;
        self.0 = (self.0 * 2).min(MAX_RETRY_PAUSE);
    }
}

/// An item of an answer of the given era.
pub(crate) fn to_view_item(item: StoreItem, era: u64) -> Item {
    let revision = StoreRevision { era, number: item.revision };
    Item { key: item.key, revision, value: item.value }
}

/// The error of a call whose answer could not be parsed.
pub(crate) fn unreadable(e: errors::Error) -> StoreCallError {
    StoreCallError::Failed(e.to_string())
}

/// Records a complete answer from the store.
pub(crate) fn record_success(app: &App) {
    app.store_reachable.send_if_modified(|reachable| !std::mem::replace(reachable, true));
    if app.state.with(|shared, now| shared.contact.record_answer(now)) {
        info!(app.log, "store reachable again");
    }
}

/// Records a failed call to the store; `what` names the kind of call in the log.
pub(crate) fn record_failure(app: &App, what: &str, error: &StoreCallError) {
    let (is_newly_lost, is_unreachable, age) = app.state.with(|shared, now| {
        let is_newly_lost = shared.contact.record_failure(now);
        (is_newly_lost, !shared.contact.is_receiving(now), shared.contact.age(now))
    });
    if is_unreachable {
        app.store_reachable.send_if_modified(|reachable| std::mem::replace(reachable, false));
    }
    if is_newly_lost {
        warn!(app.log, "store lost"; "call" => what, "why" => %error,
            "heard_ms" => age.map(|age| age.as_millis()));
    }
}
