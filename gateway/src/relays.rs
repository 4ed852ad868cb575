//! Connections to targets that this VM relays for peers which can't reach the targets themselves.
//!
//! A relayed connection is always opened from here directly: it is never relayed further, so that
//! VMs that can't reach a target don't pass connections around.

use std::cell::Cell;
use std::rc::Rc;

use eligibility::Lifetime;
use ids::TargetName;
use intent::Target;
use peering::work::{
    FromTarget, RelayOpen, RelayOpened, RelayResult, ToTarget, from_target, to_target,
};
use slog::info;
use target_paths::Path;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::mpsc::{Sender, UnboundedReceiver};
use tokio::task::spawn_local;
use tokio::time::timeout;
use tonic::{Status, Streaming};

use crate::app::App;
use crate::connections::{CONNECT_TIMEOUT, ConnectError, connect};

/// Most bytes of a message to the peer.
const MESSAGE_BYTES: usize = 16 * 1024;
/// Messages to a peer that wait for it to read. A target is not read meanwhile.
pub(crate) const QUEUED_MESSAGES: usize = 2;

/// Sends messages to the VM that uses a relayed connection.
pub(crate) type RelaySender = Sender<Result<FromTarget, Status>>;

/// A call for a relayed connection, passed from the server's task to this thread's tasks.
pub(crate) struct AcceptedRelay {
    pub(crate) inbound: Streaming<ToTarget>,
    pub(crate) tx: RelaySender,
}

/// Counts a relayed connection for as long as it exists.
struct RelayGuard(Rc<App>);

impl RelayGuard {
    fn new(app: &Rc<App>) -> Self {
        app.relayed_for_peers.set(app.relayed_for_peers.get() + 1);
        RelayGuard(Rc::clone(app))
    }
}

impl Drop for RelayGuard {
    fn drop(&mut self) {
        let relayed: &Cell<usize> = &self.0.relayed_for_peers;
        relayed.set(relayed.get().saturating_sub(1));
    }
}

/// Serves the calls of peers for relayed connections.
pub(crate) async fn serve(app: Rc<App>, mut rx: UnboundedReceiver<AcceptedRelay>) {
    while let Some(accepted) = rx.recv().await {
        spawn_local(relay(Rc::clone(&app), accepted));
    }
}

/// Opens a connection to the target that a peer names and forwards bytes until either side ends.
async fn relay(app: Rc<App>, accepted: AcceptedRelay) {
    let AcceptedRelay { mut inbound, tx } = accepted;
    // The peer waits for the connection for as long.
    let first = timeout(CONNECT_TIMEOUT, inbound.message()).await;
    let Ok(Ok(Some(ToTarget { kind: Some(to_target::Kind::Open(open)) }))) = first else {
        return;
    };
    let guard = RelayGuard::new(&app);
    let opened = connect_to(&app, &open).await;
    let result = opened.as_ref().err().copied().unwrap_or(RelayResult::Connected);
    info!(app.log, "connection relayed for a peer"; "target" => &open.target,
        "result" => result.as_str_name());
    app.metrics.relay_served(result.as_str_name());
    let opened_message = from_target::Kind::Opened(RelayOpened { result: result.into() });
    let sent = tx.send(Ok(FromTarget { kind: Some(opened_message) })).await;
    let (Ok(()), Ok(stream)) = (sent, opened) else { return };
    let (from_target, to_target) = stream.into_split();
    tokio::select! {
        () = forward_to_target(inbound, to_target) => {}
        () = forward_from_target(from_target, &tx) => {}
    }
    drop(guard);
}

/// Connects to a target for a peer.
async fn connect_to(app: &Rc<App>, open: &RelayOpen) -> Result<TcpStream, RelayResult> {
    let target = find_target(app, open).ok_or(RelayResult::UnknownTarget)?;
    let is_full = app.relayed_for_peers.get() > app.cfg.memory_plan().relayed;
    let (is_stopping, path) =
        app.state.with(|shared, _| (shared.is_stopping(), shared.target_paths.path_to(&target.id)));
    if is_full || is_stopping {
        return Err(RelayResult::Full);
    }
    if path == Path::Relayed {
        return Err(RelayResult::Unreachable);
    }
    connect(target.address).await.map_err(|error| match error {
        ConnectError::Refused => RelayResult::Refused,
        ConnectError::Failed(_) => RelayResult::Unreachable,
    })
}

/// The target that a peer names, if this VM knows the same lifetime of it.
fn find_target(app: &App, open: &RelayOpen) -> Option<Target> {
    let name = TargetName::new(&open.target).ok()?;
    let target = app.state.with(|shared, _| shared.targets.get(&name).cloned())?;
    (Lifetime::from(&target) == Lifetime { target: name, born: open.born }).then_some(target)
}

/// Forwards the peer's bytes to the target; returns when the peer ends the call. A target that
/// takes no more bytes may still answer.
async fn forward_to_target(mut inbound: Streaming<ToTarget>, mut to_target: OwnedWriteHalf) {
    let mut is_open = true;
    while let Ok(Some(message)) = inbound.message().await {
        if let (Some(to_target::Kind::Data(data)), true) = (message.kind, is_open) {
            is_open = to_target.write_all(&data).await.is_ok();
        }
    }
}

/// Forwards the target's bytes to the peer until the connection ends.
async fn forward_from_target(mut from_target: OwnedReadHalf, tx: &RelaySender) {
    let mut buf = vec![0; MESSAGE_BYTES];
    loop {
        let message = match from_target.read(&mut buf).await {
            Ok(0) => return,
            Ok(count) => {
                let data = from_target::Kind::Data(buf[..count].to_vec());
                Ok(FromTarget { kind: Some(data) })
            }
            Err(e) => Err(Status::aborted(e.to_string())),
        };
        let is_end = message.is_err();
        if tx.send(message).await.is_err() || is_end {
            return;
        }
    }
}
