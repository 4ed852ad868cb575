//! Callers of the users' platform: one request on a connection of its own, or several on one.

use std::net::{SocketAddr, TcpStream};

use super::{HttpConnection, HttpMessage};

/// A request to be sent.
#[derive(Debug, Clone)]
pub struct Call {
    method: &'static str,
    path: String,
    headers: Vec<(String, String)>,
    body: Vec<u8>,
}

impl Call {
    /// A request with an id to a path of a host.
    pub fn new(method: &'static str, host: &str, path: &str, id: &str) -> Self {
        let headers =
            vec![("Host".to_owned(), host.to_owned()), ("Request-Id".to_owned(), id.to_owned())];
        Call { method, path: path.to_owned(), headers, body: Vec::new() }
    }

    /// The same with another header.
    #[must_use]
    pub fn with_header(mut self, name: &str, value: &str) -> Self {
        self.headers.push((name.to_owned(), value.to_owned()));
        self
    }

    /// The same with a body.
    #[must_use]
    pub fn body(mut self, body: &[u8]) -> Self {
        self.body = body.to_vec();
        self
    }

    fn bytes(&self) -> Vec<u8> {
        let mut bytes = format!("{} {} HTTP/1.1\r\n", self.method, self.path).into_bytes();
        for (name, value) in &self.headers {
            bytes.extend_from_slice(format!("{name}: {value}\r\n").as_bytes());
        }
        if !self.body.is_empty() {
            bytes.extend_from_slice(format!("Content-Length: {}\r\n", self.body.len()).as_bytes());
        }
        bytes.extend_from_slice(b"\r\n");
        bytes.extend_from_slice(&self.body);
        bytes
    }

    /// Sends it on a connection; `None` if that ends with no head of an answer.
    pub fn send_on(&self, wire: &mut HttpConnection) -> Option<HttpMessage> {
        wire.write(&self.bytes()).then(|| wire.read()).flatten()
    }

    /// Sends it on a connection and reads the answer after a while.
    pub fn send_on_and_read_after(
        &self,
        wire: &mut HttpConnection,
        wait: std::time::Duration,
    ) -> Option<HttpMessage> {
        if !wire.write(&self.bytes()) {
            return None;
        }
        std::thread::sleep(wait);
        wire.read()
    }

    /// Sends it on a new connection.
    pub fn send(&self, address: SocketAddr) -> Option<HttpMessage> {
        self.send_on(&mut HttpConnection::new(TcpStream::connect(address).ok()?))
    }

    /// Sends it and begins to read its answer once `begin` returns.
    pub fn send_and_read_after(
        &self,
        address: SocketAddr,
        begin: impl FnOnce(),
    ) -> Option<HttpMessage> {
        let mut wire = HttpConnection::new(TcpStream::connect(address).ok()?);
        if !wire.write(&self.bytes()) {
            return None;
        }
        begin();
        wire.read()
    }

    /// Sends it and closes the connection after a while without reading.
    pub fn send_and_disconnect(&self, address: SocketAddr, after: std::time::Duration) {
        if let Ok(stream) = TcpStream::connect(address) {
            let mut wire = HttpConnection::new(stream);
            wire.write(&self.bytes());
            std::thread::sleep(after);
        }
    }
}
