//! A connection to the platform's store. Its timeouts depend on progress: a call continues while
//! bytes arrive, whatever the size of the answer and the bandwidth, and fails when none arrive.

use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use displaydoc::Display;
use http::StatusCode;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1::SendRequest;
use hyper::{Request, Response};
use platform_interface::store::StoreCall;
use store_view::SILENCE_TIMEOUT;
use tokio::task::AbortHandle;
use tokio::time::timeout;

use crate::answer_memory::GrowingBody;
use crate::app::App;
use crate::bounded_reads::discard;
use crate::connections::connect;
use crate::head_limit::{HeadAllowance, start_http1};
use crate::state_handle::now;
use crate::store_era;

/// Longest time for the body of one answer, against a store that sends very slowly. The store keeps
/// its history about as long, so that an answer that takes longer would have to be read again. A
/// page of 1 MB takes this long on a link of 0.5 Mbit/s.
const MAX_ANSWER_TIME: Duration = Duration::from_secs(20);

/// Bytes of all answers of the store together while they are read. A page holds about 1 MB of values, or one larger value, and
/// values grow by a third on the way. Beyond it the largest answer is given up.
pub(crate) const MAX_ANSWER_BYTES: usize = 8 * 1024 * 1024;

/// Why a call to the store failed. The doc comments of the variants are the displayed texts.
#[derive(Debug, Display)]
pub(crate) enum StoreCallError {
    /// the store no longer has the history from the requested revision on
    HistoryCompacted,
    /// the lease has expired
    LeaseNotFound,
    /// a condition of the transaction does not hold
    ConditionFailed,
    /// the answer is too long
    TooLong,
    /// no answer in time; the call may have been executed
    Silent,
    /// {0}; the call may have been executed
    Failed(String),
}

/// A connection to the store. A call without a complete answer closes it; the next call opens a new
/// one.
pub(crate) struct StoreConnection {
    app: Rc<App>,
    /// The open HTTP connection, and the task that drives it.
    open: Option<(SendRequest<Full<Bytes>>, AbortHandle)>,
    /// Bounds the bytes of an answer's head.
    head: HeadAllowance,
}

/// A complete answer.
pub(crate) struct StoreAnswer {
    /// Era of the store to which its revisions belong.
    pub(crate) era: u64,
    pub(crate) body: Bytes,
}

/// An answer of which the head has arrived and the body is still to be read.
pub(crate) struct OpenAnswer {
    era: u64,
    /// Kind of the call, as metrics name it.
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
        StoreConnection { app: Rc::clone(app), open: None, head: HeadAllowance::default() }
    }

    /// Closes the connection, with any call on it.
    pub(crate) fn close(&mut self) {
        if let Some((_, task)) = self.open.take() {
            task.abort();
        }
    }

    /// Makes a call and reads its whole answer. `kind` names the call in metrics; `wait` is how
    /// long the store may hold back the answer.
    ///
    /// # Errors
    /// Those of [`Self::begin`] and [`Self::finish`].
    pub(crate) async fn call(
        &mut self,
        kind: &'static str,
        call: StoreCall,
        wait: Duration,
    ) -> Result<StoreAnswer, StoreCallError> {
        let begun = self.begin(kind, call, wait).await?;
        self.finish(begun).await
    }

    /// Makes a call; returns the answer once its head has arrived. The parameters are those of
    /// [`Self::call`].
    ///
    /// # Errors
    /// `Silent` if there is no head in time, `Failed` if there is no connection or an answer of an
    /// earlier era.
    pub(crate) async fn begin(
        &mut self,
        kind: &'static str,
        call: StoreCall,
        wait: Duration,
    ) -> Result<OpenAnswer, StoreCallError> {
        let Ok(sent) = timeout(wait + SILENCE_TIMEOUT, self.send(call)).await else {
            drop(self.failed(kind, String::new()));
            return Err(StoreCallError::Silent);
        };
        match sent {
            Ok(answer) => {
                let era = self.era_of(&answer);
                let known = self.app.state.with(|shared, _| shared.view.era());
                if era < known {
                    return Err(self.failed(kind, format!("answer of era {era} in era {known}")));
                }
                store_era::observe(&self.app, era);
                let (status, body) = (answer.status(), answer.into_body());
                Ok(OpenAnswer { era, kind, status, body, began: now() })
            }
            Err(problem) => Err(self.failed(kind, problem)),
        }
    }

    /// The era that an answer names; the latest known one if it names none.
    fn era_of(&self, answer: &Response<Incoming>) -> u64 {
        let named = (self.app.adapter.store.read_era)(answer.headers());
        named.unwrap_or_else(|| self.app.state.with(|shared, _| shared.view.era()))
    }

    /// Reads the body of an answer while bytes arrive, for at most [`MAX_ANSWER_TIME`]. What an error
    /// status says does not depend on the body.
    ///
    /// # Errors
    /// `Failed` if the body breaks off, pauses or takes too long, `TooLong`, or for an error status
    /// other than those of `HistoryCompacted`, `LeaseNotFound` and `ConditionFailed`.
    pub(crate) async fn finish(
        &mut self,
        begun: OpenAnswer,
    ) -> Result<StoreAnswer, StoreCallError> {
        let OpenAnswer { era, kind, status, body, began } = begun;
        if status != StatusCode::OK {
            if discard(body).await.is_err() {
                self.close();
            }
            self.app.metrics.platform_call(kind, true);
            return Err(error_of(status));
        }
        let body = match self.read(body, began).await {
            Ok(body) => body,
            Err(StoreCallError::Failed(problem)) => return Err(self.failed(kind, problem)),
            Err(error) => {
                drop(self.failed(kind, String::new()));
                return Err(error);
            }
        };
        self.app.metrics.platform_call(kind, true);
        Ok(StoreAnswer { era, body })
    }

    /// Reads the body of a successful answer.
    async fn read(&self, mut body: Incoming, began: Instant) -> Result<Bytes, StoreCallError> {
        let mut read = GrowingBody::new(&self.app.store_memory, false);
        loop {
            let next = tokio::select! {
                next = timeout(SILENCE_TIMEOUT, body.frame()) => next,
                () = read.until_given_up() => return Err(StoreCallError::TooLong),
            };
            let frame = match next {
                Ok(None) => return Ok(read.complete().to_bytes()),
                Ok(Some(Ok(frame))) => frame,
                Ok(Some(Err(e))) => return Err(StoreCallError::Failed(e.to_string())),
                Err(_) => return Err(StoreCallError::Failed(silence_message(read.len()))),
            };
            let data = frame.into_data().unwrap_or_default();
            read.push(&data).map_err(|_| StoreCallError::TooLong)?;
            self.app.state.with(|shared, now| shared.contact.record_bytes(now));
            if now() - began > MAX_ANSWER_TIME {
                let problem = format!("answer not complete within {MAX_ANSWER_TIME:?}");
                return Err(StoreCallError::Failed(problem));
            }
        }
    }

    /// Counts a failed call, closes the connection and returns the error.
    fn failed(&mut self, kind: &'static str, problem: String) -> StoreCallError {
        self.app.metrics.platform_call(kind, false);
        self.close();
        StoreCallError::Failed(problem)
    }

    /// Sends a request; returns once the head of the answer has arrived.
    async fn send(&mut self, call: StoreCall) -> Result<Response<Incoming>, String> {
        let address = self.app.cfg.store;
        let req = Request::builder()
            .method(call.method)
            .uri(call.path)
            .header(http::header::HOST, address.to_string())
            .header(http::header::CONTENT_TYPE, "application/json")
            .body(Full::new(call.body))
            .map_err(|e| e.to_string())?;
        let head = self.head.clone();
        let sender = self.sender().await?;
        sender.ready().await.map_err(|e| e.to_string())?;
        head.begin();
        let answer = sender.send_request(req).await;
        head.end();
        answer.map_err(|e| e.to_string())
    }

    /// The open connection, or a new one.
    async fn sender(&mut self) -> Result<&mut SendRequest<Full<Bytes>>, String> {
        if self.open.as_ref().is_none_or(|(sender, _)| sender.is_closed()) {
            self.close();
            let stream = connect(self.app.cfg.store).await.map_err(|e| e.to_string())?;
            let started = start_http1(stream, &self.head).await;
            let (sender, connection) = started.map_err(|e| e.to_string())?;
            // `SendRequest::is_closed` shows when the connection has ended.
            let task = tokio::task::spawn_local(async move { drop(connection.await) });
            self.open = Some((sender, task.abort_handle()));
        }
        self.open.as_mut().map(|(sender, _)| sender).ok_or_else(|| "not connected".to_owned())
    }
}

/// What an error status says.
fn error_of(status: StatusCode) -> StoreCallError {
    match status {
        StatusCode::GONE => StoreCallError::HistoryCompacted,
        StatusCode::NOT_FOUND => StoreCallError::LeaseNotFound,
        StatusCode::PRECONDITION_FAILED => StoreCallError::ConditionFailed,
        other => StoreCallError::Failed(format!("status {}", other.as_u16())),
    }
}

fn silence_message(bytes: usize) -> String {
    format!("silent for {SILENCE_TIMEOUT:?} after {bytes} bytes")
}
