//! Targets that end under requests: whether a broken connection means that its target has ended.

use std::rc::Rc;
use std::time::Duration;

use intent::Target;
use slog::info;
use tokio::task::spawn_local;
use tokio::time::sleep;

use crate::app::App;
use crate::connections;
use crate::requests::Accepted;

/// Pauses before each look at a target whose connection broke: a process that ends closes its connections
/// and its port within moments of each other, in either order.
const LOOKS: [Duration; 3] =
    [Duration::ZERO, Duration::from_millis(40), Duration::from_millis(160)];

/// A target's connection ended under a request, in the middle of its answer or before it.
pub(crate) fn connection_broke(app: &Rc<App>, req: &Accepted, target: &Target) {
    let (app, content, target) = (Rc::clone(app), req.content, target.clone());
    let id = req.id.clone();
    spawn_local(async move {
        let ended = has_ended(&target).await;
        info!(app.log, "connection broke under a request"; "request" => %id, "content" => %content,
            "target" => %target.id, "target_ended" => ended);
    });
}

/// Whether nobody listens at a target's address any more. One that is cut off says nothing, and one that
/// only broke off an answer takes the connection.
async fn has_ended(target: &Target) -> bool {
    for pause in LOOKS {
        sleep(pause).await;
        if connections::is_refused(target.address).await {
            return true;
        }
    }
    false
}
