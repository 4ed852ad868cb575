//! HTTP server for operators: health, readiness, metrics, the state dump and explanations of
//! requests.

use std::sync::Arc;
use std::time::Duration;

use http_server::{Body, ConnectionLimits, full_body};
use hyper::body::Incoming;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{Method, Request, Response, StatusCode};
use ids::RequestId;
use telemetry::Metrics;
use tokio::net::TcpListener;
use tokio::sync::watch;

use crate::dispatcher_messages::Message;
use crate::dispatcher_thread::{DispatcherHandle, DispatcherStopped};

/// Limits of the address for operators, who send no bodies.
const LIMITS: ConnectionLimits =
    ConnectionLimits { connections: 32, body_bytes: 0, head_wait: Duration::from_secs(5) };
/// Path prefix of an explanation; the request id follows.
const EXPLAIN_PATH: &str = "/explain/";

/// State of the operators' HTTP server.
pub(crate) struct OperationsServer {
    pub(crate) dispatcher: DispatcherHandle,
    pub(crate) metrics: Arc<Metrics>,
}

/// A response to an operator: status code, content type and body.
struct Page {
    status: u16,
    content_type: &'static str,
    text: String,
}

/// Serves operators until the process ends.
pub(crate) async fn serve(operations: OperationsServer, listener: TcpListener) {
    let operations = Arc::new(operations);
    // Never sent to: the pages tell of a stop until the process ends.
    let (_serving, stop) = watch::channel(false);
    http_server::serve(listener, LIMITS, stop, move |req: Request<Incoming>| {
        let operations = Arc::clone(&operations);
        async move { operations.answer(&req).await }
    })
    .await;
}

impl OperationsServer {
    async fn answer(&self, req: &Request<Incoming>) -> Response<Body> {
        let page = match (req.method(), req.uri().path()) {
            (&Method::GET, "/live") => text(200, "alive"),
            (&Method::GET, "/ready") => self.ready().await,
            (&Method::GET, "/metrics") => self.metrics_page(),
            (&Method::GET, "/state") => json(self.dispatcher.ask_async(Message::Dump).await),
            (&Method::GET, "/vms") => json(self.dispatcher.ask_async(Message::Fleet).await),
            (&Method::GET, "/revision") => json(self.dispatcher.ask_async(Message::Revision).await),
            (&Method::GET, path) if path.starts_with(EXPLAIN_PATH) => self.explain(path).await,
            (&Method::GET, _) => text(404, "no such page"),
            _ => text(405, "expected method GET"),
        };
        let mut response = Response::new(full_body(page.text));
        *response.status_mut() =
            StatusCode::from_u16(page.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
        let content_type = HeaderValue::from_static(page.content_type);
        response.headers_mut().insert(CONTENT_TYPE, content_type);
        response
    }

    async fn ready(&self) -> Page {
        match self.dispatcher.ask_async(Message::Ready).await {
            Ok(true) => text(200, "ready"),
            Ok(false) | Err(DispatcherStopped) => text(503, "not ready"),
        }
    }

    fn metrics_page(&self) -> Page {
        match self.metrics.render() {
            Ok(page) => Page { status: 200, content_type: "text/plain; version=0.0.4", text: page },
            Err(e) => text(500, &e.to_string()),
        }
    }

    async fn explain(&self, path: &str) -> Page {
        match RequestId::new(path.trim_start_matches(EXPLAIN_PATH)) {
            Ok(id) => json(self.dispatcher.ask_async(|reply| Message::Explain(id, reply)).await),
            Err(e) => text(400, &e.to_string()),
        }
    }
}

fn json<T: serde::Serialize>(value: std::result::Result<T, DispatcherStopped>) -> Page {
    match value {
        Ok(value) => Page {
            status: 200,
            content_type: "application/json",
            text: serde_json::to_string(&value).unwrap_or_default(),
        },
        Err(DispatcherStopped) => text(503, "the process is ending"),
    }
}

fn text(status: u16, text: &str) -> Page {
    Page { status, content_type: "text/plain", text: format!("{text}\n") }
}
