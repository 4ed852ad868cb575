//! Connections to targets: opened, kept at rest, used again, and ended with whatever they carry.

use std::cell::RefCell;
use std::collections::HashMap;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{Builder, SendRequest};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use ids::TargetName;
use intent::Target;
use socket2::SockRef;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;

use crate::app::App;
use crate::hub::now;
use crate::permits::Permit;

/// Longest wait for a new connection. Halls are milliseconds apart; a lost opening packet is sent
/// again only after seconds, when another target has long been asked.
const CONNECT_WAIT: Duration = Duration::from_millis(400);
/// Bytes that a live peer has not confirmed after this time mean that it is out of reach.
const UNCONFIRMED_WAIT: Duration = Duration::from_millis(1500);
/// A connection rests this long before it is used again, so that an extra answer to the last
/// request is seen as such and ends the connection.
pub(crate) const REUSE_DELAY: Duration = Duration::from_millis(12);
/// Rest after which a connection is not used again where the target says nothing.
const REST: Duration = Duration::from_secs(4);
/// Part of the time that a target says it keeps a connection at rest.
const KEPT_PART: f64 = 0.6;
/// Most connections at rest to one target.
const MOST_AT_REST: usize = 6;

/// The body of a call.
pub(crate) type CallBody = Full<Bytes>;

/// Why a call brought no answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum SendError {
    /// Not a byte of it was sent.
    NotSent(String),
    /// Not a byte of it was sent, since its target takes no new work any more.
    Withheld,
    /// Its connection ended after some of it may have been sent, so it may have run.
    Broke(String),
    /// It was given up, and may have run.
    GivenUp(String),
}

/// A connection with a call under way; dropped before its end, it is closed.
pub(crate) struct TargetConnection {
    target: TargetName,
    sender: SendRequest<CallBody>,
    task: AbortHandle,
}

struct Resting {
    carrier: TargetConnection,
    since: Instant,
    until: Instant,
}

/// Connections at rest, by target.
#[derive(Default)]
pub(crate) struct Connections {
    resting: RefCell<HashMap<TargetName, Vec<Resting>>>,
}

impl Connections {
    /// Sends a call, which takes a permit, and waits for the head of its answer.
    pub(crate) async fn send(
        &self,
        target: &Target,
        req: Request<CallBody>,
        permit: Permit,
    ) -> Result<(Response<Incoming>, TargetConnection), SendError> {
        let mut req = req;
        if !permit.holds() {
            return Err(SendError::Withheld);
        }
        // A kept connection may turn out to be closed before anything was written.
        while let Some(mut carrier) = self.take(&target.id) {
            match carrier.sender.try_send_request(req).await {
                Ok(answer) => return Ok((answer, carrier)),
                Err(mut e) => match e.take_message() {
                    Some(unsent) => req = unsent,
                    None => return Err(SendError::Broke(e.into_error().to_string())),
                },
            }
        }
        let mut carrier = open(target.id.clone(), target.address).await?;
        if !permit.holds() {
            return Err(SendError::Withheld);
        }
        match carrier.sender.try_send_request(req).await {
            Ok(answer) => Ok((answer, carrier)),
            Err(mut e) => {
                let unsent = e.take_message().is_some();
                let problem = e.into_error().to_string();
                Err(if unsent { SendError::NotSent(problem) } else { SendError::Broke(problem) })
            }
        }
    }

    /// Takes back a connection whose answer was read to its end, if its target has fewer than `most`
    /// at rest.
    fn rest(&self, carrier: TargetConnection, keeps: Option<Duration>, most: usize) {
        let since = now();
        let rest = keeps.map_or(REST, |keeps| keeps.mul_f64(KEPT_PART)).min(REST);
        let mut resting = self.resting.borrow_mut();
        let of_target = resting.entry(carrier.target.clone()).or_default();
        if of_target.len() < most.min(MOST_AT_REST) {
            of_target.push(Resting { carrier, since, until: since + rest });
        }
    }

    /// Closes connections that rested long enough.
    pub(crate) fn close_expired(&self) {
        let now = now();
        let mut resting = self.resting.borrow_mut();
        for of_target in resting.values_mut() {
            of_target.retain(|r| r.until > now && !r.carrier.sender.is_closed());
        }
        resting.retain(|_, of_target| !of_target.is_empty());
    }

    /// The connection that rested least but long enough.
    fn take(&self, target: &TargetName) -> Option<TargetConnection> {
        let now = now();
        let mut resting = self.resting.borrow_mut();
        let of_target = resting.get_mut(target)?;
        of_target.retain(|r| r.until > now && !r.carrier.sender.is_closed());
        let settled = |r: &Resting| {
            now.saturating_duration_since(r.since) >= REUSE_DELAY && r.carrier.sender.is_ready()
        };
        let index = of_target.iter().rposition(settled)?;
        Some(of_target.remove(index).carrier)
    }
}

impl App {
    /// Lets a connection rest whose answer was read to its end. All VMs together keep no more at a
    /// target than it takes.
    pub(crate) fn rest(&self, carrier: TargetConnection, keeps: Option<Duration>) {
        let most = self.hub.with(|shared, _| {
            let service = shared.targets.service_of(&carrier.target)?;
            let taken = shared.intent.as_ref()?.services.get(service)?.connections;
            let share = usize::try_from(taken).unwrap_or(usize::MAX) / shared.fleet.size();
            (taken > 0).then_some(share)
        });
        self.connections.rest(carrier, keeps, most.unwrap_or(MOST_AT_REST));
    }
}

impl Drop for TargetConnection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn open(target: TargetName, address: SocketAddr) -> Result<TargetConnection, SendError> {
    let stream = connect(address).await.map_err(SendError::NotSent)?;
    let handshake = Builder::new().handshake::<_, CallBody>(TokioIo::new(stream)).await;
    let (sender, connection) = handshake.map_err(|e| SendError::NotSent(e.to_string()))?;
    // Its end shows in the sender; the error says nothing more.
    let task = tokio::task::spawn_local(async move { drop(connection.await) }).abort_handle();
    Ok(TargetConnection { target, sender, task })
}

/// Whether an address refuses connections at once: a process that listens there takes them, and one that
/// is out of reach says nothing.
pub(crate) async fn is_refused(address: SocketAddr, within: Duration) -> bool {
    let connecting = tokio::time::timeout(within, TcpStream::connect(address));
    matches!(connecting.await, Ok(Err(e)) if e.kind() == ErrorKind::ConnectionRefused)
}

/// Opens a TCP connection within bounds.
pub(crate) async fn connect(address: SocketAddr) -> Result<TcpStream, String> {
    let connecting = tokio::time::timeout(CONNECT_WAIT, TcpStream::connect(address));
    let stream = match connecting.await {
        Ok(Ok(stream)) => stream,
        Ok(Err(e)) => return Err(e.to_string()),
        Err(_) => return Err(format!("not connected within {CONNECT_WAIT:?}")),
    };
    let bounded = stream
        .set_nodelay(true)
        .and_then(|()| SockRef::from(&stream).set_tcp_user_timeout(Some(UNCONFIRMED_WAIT)));
    bounded.map_err(|e| e.to_string())?;
    Ok(stream)
}
