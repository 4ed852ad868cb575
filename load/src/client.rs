//! A caller: sends one request and reads its answer to the end.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::Request;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use outcomes::Answer;

/// Longest wait for an answer, beyond all deadlines.
const PATIENCE: Duration = Duration::from_secs(90);

/// Keeps connections to the entry VMs.
pub(crate) type Connections = Client<HttpConnector, Full<Bytes>>;

/// New connections.
pub(crate) fn connections() -> Connections {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    Client::builder(TokioExecutor::new()).build(connector)
}

/// A request to send.
#[derive(Debug, Clone)]
pub(crate) struct Post {
    pub(crate) to: SocketAddr,
    pub(crate) path: String,
    pub(crate) headers: Vec<(&'static str, String)>,
    pub(crate) body: String,
}

/// What came back.
#[derive(Debug)]
pub(crate) struct Reply {
    pub(crate) status: u16,
    pub(crate) body: Bytes,
    /// When each part of the body came.
    pub(crate) parts: Vec<Instant>,
}

/// Sends and reads to the end; `None` if no whole HTTP answer came.
pub(crate) async fn post(connections: &Connections, post: &Post) -> Option<Reply> {
    let mut req = Request::post(format!("http://{}{}", post.to, post.path));
    for (name, value) in &post.headers {
        req = req.header(*name, value);
    }
    let req = req.body(Full::new(Bytes::from(post.body.clone()))).ok()?;
    let sent = tokio::time::timeout(PATIENCE, connections.request(req));
    let rx = sent.await.ok()?.ok()?;
    let status = rx.status().as_u16();
    let mut body = rx.into_body();
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
    /// The answer in a body that is no stream.
    pub(crate) fn answer(&self) -> Option<Answer> {
        serde_json::from_slice(&self.body).ok()
    }
}
