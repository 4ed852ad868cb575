//! HTTP server for operators: health, readiness, metrics, the state dump and explanations of
//! requests.

use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;

use errors::{Error, Result};
use ids::RequestId;
use slog::{Logger, warn};
use telemetry::Metrics;
use tiny_http::{Header, Method, Request, Response, Server};

use crate::dispatcher_messages::Message;
use crate::dispatcher_thread::{DispatcherHandle, DispatcherStopped};

/// Path prefix of an explanation; the request id follows.
const EXPLAIN_PATH: &str = "/explain/";

/// State of the operators' HTTP server.
pub(crate) struct OperationsServer {
    pub(crate) dispatcher: DispatcherHandle,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) log: Logger,
}

/// A response to an operator: status code, content type and body.
struct Page {
    status: u16,
    content_type: &'static str,
    text: String,
}

/// Starts the server's thread.
///
/// # Errors
/// `Io` if the address can't be listened on.
pub(crate) fn start(operations: OperationsServer, address: SocketAddr) -> Result<()> {
    let server = Server::http(address).map_err(|e| {
        Error::io(format!("listening on {address}"), std::io::Error::other(e.to_string()))
    })?;
    let operations = Arc::new(operations);
    thread::spawn(move || operations.serve(server, address));
    Ok(())
}

impl OperationsServer {
    /// Answers requests, each on its own thread, until the process ends.
    fn serve(self: &Arc<Self>, mut server: Server, address: SocketAddr) {
        loop {
            match server.recv() {
                Ok(req) => {
                    // Each request has its own thread, so that a slow client does not delay health
                    // checks.
                    let operations = Arc::clone(self);
                    thread::spawn(move || operations.answer(req));
                }
                Err(e) => {
                    // The accept loop of `tiny_http` ends at its first error, so a new server is
                    // needed.
                    warn!(self.log, "operations page failed"; "problem" => %e);
                    drop(server);
                    server = loop {
                        thread::sleep(std::time::Duration::from_millis(100));
                        if let Ok(new_server) = Server::http(address) {
                            break new_server;
                        }
                    };
                }
            }
        }
    }

    fn answer(&self, req: Request) {
        let page = match (req.method(), req.url()) {
            (Method::Get, "/live") => text(200, "alive"),
            (Method::Get, "/ready") => self.ready(),
            (Method::Get, "/metrics") => self.metrics_page(),
            (Method::Get, "/state") => self.json(self.dispatcher.ask(Message::Dump)),
            (Method::Get, "/vms") => self.json(self.dispatcher.ask(Message::Fleet)),
            (Method::Get, "/revision") => self.json(self.dispatcher.ask(Message::Revision)),
            (Method::Get, url) if url.starts_with(EXPLAIN_PATH) => self.explain(url),
            (Method::Get, _) => text(404, "no such page"),
            _ => text(405, "expected method GET"),
        };
        let header = Header::from_bytes("content-type", page.content_type);
        let mut response = Response::from_string(page.text).with_status_code(page.status);
        if let Ok(header) = header {
            response.add_header(header);
        }
        // An error means that the client has disconnected.
        let _ = req.respond(response);
    }

    fn ready(&self) -> Page {
        match self.dispatcher.ask(Message::Ready) {
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

    fn explain(&self, url: &str) -> Page {
        match RequestId::new(url.trim_start_matches(EXPLAIN_PATH)) {
            Ok(id) => self.json(self.dispatcher.ask(|reply| Message::Explain(id, reply))),
            Err(e) => text(400, &e.to_string()),
        }
    }

    fn json<T: serde::Serialize>(&self, value: std::result::Result<T, DispatcherStopped>) -> Page {
        match value {
            Ok(value) => Page {
                status: 200,
                content_type: "application/json",
                text: serde_json::to_string(&value).unwrap_or_default(),
            },
            Err(DispatcherStopped) => text(503, "the process is ending"),
        }
    }
}

fn text(status: u16, text: &str) -> Page {
    Page { status, content_type: "text/plain", text: format!("{text}\n") }
}
