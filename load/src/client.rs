//! HTTP client of a caller: sends a request and reads the whole answer.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::Request;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use outcomes::Answer;

/// Timeout for the head of an answer; longer than all deadlines of the benchmarks.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(90);

/// HTTP client that pools connections to the entry VMs and targets.
pub(crate) type Connections = Client<HttpConnector, Full<Bytes>>;

/// Creates a client without open connections.
pub(crate) fn connections() -> Connections {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    Client::builder(TokioExecutor::new()).build(connector)
}

/// A POST request to send.
#[derive(Debug, Clone)]
pub(crate) struct Post {
    pub(crate) to: SocketAddr,
    pub(crate) path: String,
    pub(crate) headers: Vec<(&'static str, String)>,
    pub(crate) body: String,
}

/// An HTTP answer that was read to the end.
#[derive(Debug)]
pub(crate) struct Reply {
    pub(crate) status: u16,
    pub(crate) body: Bytes,
    /// Arrival time of each part of the body.
    pub(crate) parts: Vec<Instant>,
}

/// Sends a request and reads the answer to the end; `None` if it fails or is cut off.
pub(crate) async fn post(connections: &Connections, post: &Post) -> Option<Reply> {
    let mut req = Request::post(format!("http://{}{}", post.to, post.path));
    for (name, value) in &post.headers {
        req = req.header(*name, value);
    }
    let req = req.body(Full::new(Bytes::from(post.body.clone()))).ok()?;
    let sent = tokio::time::timeout(ANSWER_TIMEOUT, connections.request(req));
    let response = sent.await.ok()?.ok()?;
    let status = response.status().as_u16();
    let mut body = response.into_body();
    let (mut buf, mut parts) = (Vec::new(), Vec::new());
    while let Some(frame) = body.frame().await {
        if let Ok(data) = frame.ok()?.into_data() {
            parts.push(Instant::now());
            buf.extend_from_slice(&data);
        }
    }
    Some(Reply { status, body: Bytes::from(buf), parts })
}

impl Reply {
    /// Parses the body of a plain, not streamed, answer.
    pub(crate) fn answer(&self) -> Option<Answer> {
        serde_json::from_slice(&self.body).ok()
    }
}
