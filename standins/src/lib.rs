//! Stand-ins for the platform and for targets, and fixtures that start them together with real VM
//! processes.
//!
//! [`fleet`] and [`callers`] start and call `saddleraild` with the stand-in programs of `src/bin`.
//! [`serving_path`] has stand-ins that run inside the test process. This file has what the stand-in
//! programs share: an HTTP server and JSON responses.

pub mod callers;
pub mod fleet;
pub mod serving_path;

use std::collections::HashMap;
use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_server::{Body, ConnectionLimits, full_body, read_body};
use hyper::body::Incoming;
use hyper::{HeaderMap, Method, Request, Response};
use serde::Serialize;
use tokio::net::TcpListener;
use tokio::sync::watch;

/// Largest request body, in bytes.
const MAX_BODY_BYTES: usize = 16 << 20;
/// Time within which a request body has to arrive.
const BODY_TIMEOUT: Duration = Duration::from_secs(60);

/// A request whose body has been read completely.
#[derive(Debug)]
pub struct BufferedRequest {
    /// HTTP method.
    pub method: Method,
    /// Path without the query string.
    pub path: String,
    /// Query parameters, not percent-decoded.
    pub query: HashMap<String, String>,
    /// Request headers.
    pub headers: HeaderMap,
    /// Complete body.
    pub body: Bytes,
}

impl BufferedRequest {
    /// A query parameter as a number; 0 if it is absent or not a number.
    pub fn number(&self, name: &str) -> u64 {
        self.query.get(name).and_then(|v| v.parse().ok()).unwrap_or(0)
    }

    /// A header as text; empty if it is absent or not text.
    pub fn header(&self, name: &str) -> String {
        self.headers.get(name).and_then(|v| v.to_str().ok()).unwrap_or_default().to_owned()
    }
}

/// Serves HTTP on `address` until the process ends.
///
/// # Errors
/// If the address cannot be bound.
pub async fn serve<H, F>(address: SocketAddr, handle: H) -> std::io::Result<()>
where
    H: Fn(BufferedRequest) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response<Body>> + Send + 'static,
{
    let listener = TcpListener::bind(address).await?;
    let limits = ConnectionLimits {
        connections: 20_000,
        body_bytes: usize::MAX,
        head_wait: Duration::from_secs(600),
    };
    // Never sent to: the server runs until the process ends.
    let (_running, stop) = watch::channel(false);
    http_server::serve(listener, limits, stop, move |req: Request<Incoming>| {
        let handle = handle.clone();
        async move {
            let (head, body) = req.into_parts();
            let pairs = head.uri.query().unwrap_or_default().split('&');
            let query = pairs.filter_map(|pair| pair.split_once('='));
            let query = query.map(|(k, v)| (k.to_owned(), v.to_owned())).collect();
            let Ok(body) = read_body(&head.extensions, body, MAX_BODY_BYTES, BODY_TIMEOUT).await
            else {
                return json_response(400, &"body");
            };
            let path = head.uri.path().to_owned();
            handle(BufferedRequest {
                method: head.method,
                path,
                query,
                headers: head.headers,
                body,
            })
            .await
        }
    })
    .await;
    Ok(())
}

/// A response with a status and a JSON body.
pub fn json_response<T: Serialize>(status: u16, value: &T) -> Response<Body> {
    raw_response(status, serde_json::to_vec(value).unwrap_or_default())
}

/// A response with a status and the given bytes as its body.
pub fn raw_response(status: u16, body: Vec<u8>) -> Response<Body> {
    let mut response = Response::new(full_body(body));
    *response.status_mut() = hyper::StatusCode::from_u16(status).unwrap_or_default();
    response
}
