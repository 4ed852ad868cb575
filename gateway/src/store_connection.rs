//! A connection to the platform's store. Its time limits follow progress: a call that brings bytes
//! lives on, whatever its size and the link's speed; one that is silent ends.

use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use displaydoc::Display;
use http::StatusCode;
use http_body_util::{BodyExt, Full};
use hyper::Request;
use hyper::body::Incoming;
use hyper::client::conn::http1::{Builder, SendRequest};
use hyper_util::rt::TokioIo;
use platform_adapter::store::StoreCall;
use store_view::SILENCE_TIMEOUT;
use tokio::task::AbortHandle;
use tokio::time::timeout;

use crate::app::App;
use crate::connections::connect;
use crate::hub::now;

/// Longest time for the body of one answer, against a store that trickles: the store keeps its
/// history about as long, so that what is read more slowly has to be read again. A page of 1 MB
/// takes it on a link of 0.5 Mbit/s.
const LONGEST_ANSWER: Duration = Duration::from_secs(20);

/// Why a call to the store gave nothing.
#[derive(Debug, Display)]
pub(crate) enum StoreCallError {
    /// the history before the wanted revision is forgotten
    HistoryCompacted,
    /// the lease is over
    LeaseNotFound,
    /// {0}; it may have been done
    Failed(String),
}

/// A connection to the store; a call that was not answered ends it.
pub(crate) struct StoreConnection {
    app: Rc<App>,
    open: Option<(SendRequest<Full<Bytes>>, AbortHandle)>,
}

/// An answer that has begun.
pub(crate) struct OpenAnswer {
    kind: &'static str,
    status: StatusCode,
    body: Incoming,
    began: Instant,
}

impl Drop for StoreConnection {
    fn drop(&mut self) {
        self.close();
    }
}

impl StoreConnection {
    pub(crate) fn new(app: &Rc<App>) -> Self {
        StoreConnection { app: Rc::clone(app), open: None }
    }

    /// Ends the connection, with whatever was asked on it.
    pub(crate) fn close(&mut self) {
        if let Some((_, task)) = self.open.take() {
            task.abort();
        }
    }

    /// Makes a call and reads its whole answer; `wait` is how long the store may hold it back.
    pub(crate) async fn call(
        &mut self,
        kind: &'static str,
        call: StoreCall,
        wait: Duration,
    ) -> Result<Bytes, StoreCallError> {
        let begun = self.begin(kind, call, wait).await?;
        self.finish(begun).await
    }

    /// Makes a call; gives its answer as soon as it begins.
    pub(crate) async fn begin(
        &mut self,
        kind: &'static str,
        call: StoreCall,
        wait: Duration,
    ) -> Result<OpenAnswer, StoreCallError> {
        let sent = timeout(wait + SILENCE_TIMEOUT, self.send(call)).await;
        match sent.unwrap_or_else(|_| Err("no answer in time".to_owned())) {
            Ok((status, body)) => Ok(OpenAnswer { kind, status, body, began: now() }),
            Err(problem) => Err(self.failed(kind, problem)),
        }
    }

    /// Reads the rest of an answer for as long as bytes come.
    pub(crate) async fn finish(&mut self, begun: OpenAnswer) -> Result<Bytes, StoreCallError> {
        let OpenAnswer { kind, status, mut body, began } = begun;
        let mut buf = BytesMut::new();
        loop {
            let frame = match timeout(SILENCE_TIMEOUT, body.frame()).await {
                Ok(None) => break,
                Ok(Some(Ok(frame))) => frame,
                Ok(Some(Err(e))) => return Err(self.failed(kind, e.to_string())),
                Err(_) => return Err(self.failed(kind, silent(buf.len()))),
            };
            buf.extend_from_slice(&frame.into_data().unwrap_or_default());
            if status == StatusCode::OK {
                self.app.hub.with(|shared, now| shared.contact.record_bytes(now));
            }
            if now() - began > LONGEST_ANSWER {
                return Err(self.failed(kind, format!("not whole within {LONGEST_ANSWER:?}")));
            }
        }
        self.app.metrics.platform_call(kind, true);
        match status {
            StatusCode::OK => Ok(buf.freeze()),
            StatusCode::GONE => Err(StoreCallError::HistoryCompacted),
            StatusCode::NOT_FOUND => Err(StoreCallError::LeaseNotFound),
            other => Err(StoreCallError::Failed(format!("status {}", other.as_u16()))),
        }
    }

    fn failed(&mut self, kind: &'static str, problem: String) -> StoreCallError {
        self.app.metrics.platform_call(kind, false);
        self.close();
        StoreCallError::Failed(problem)
    }

    async fn send(&mut self, call: StoreCall) -> Result<(StatusCode, Incoming), String> {
        let address = self.app.cfg.store;
        let req = Request::builder()
            .method(call.method)
            .uri(call.path)
            .header(http::header::HOST, address.to_string())
            .header(http::header::CONTENT_TYPE, "application/json")
            .body(Full::new(call.body))
            .map_err(|e| e.to_string())?;
        let sender = self.sender().await?;
        sender.ready().await.map_err(|e| e.to_string())?;
        let answer = sender.send_request(req).await.map_err(|e| e.to_string())?;
        Ok((answer.status(), answer.into_body()))
    }

    /// The open connection, or a new one.
    async fn sender(&mut self) -> Result<&mut SendRequest<Full<Bytes>>, String> {
        if self.open.as_ref().is_none_or(|(sender, _)| sender.is_closed()) {
            self.close();
            let stream = connect(self.app.cfg.store).await?;
            let shake = Builder::new().handshake::<_, Full<Bytes>>(TokioIo::new(stream)).await;
            let (sender, connection) = shake.map_err(|e| e.to_string())?;
            // Its end shows in the sender.
            let task = tokio::task::spawn_local(async move { drop(connection.await) });
            self.open = Some((sender, task.abort_handle()));
        }
        self.open.as_mut().map(|(sender, _)| sender).ok_or_else(|| "not connected".to_owned())
    }
}

fn silent(bytes: usize) -> String {
    format!("silent for {SILENCE_TIMEOUT:?} after {bytes} bytes")
}
