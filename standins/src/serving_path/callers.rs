//! Callers of the serving path: requests on new connections or on one that is kept open.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

use super::{HttpConnection, HttpMessage, READ_TIMEOUT};

/// Statuses of answers that say that the request has not run.
const NOT_RUN: [u16; 2] = [408, 503];
/// Time for which a request that has not run is sent again.
const MAX_RETRY_TIME: Duration = Duration::from_secs(10);
/// Pause before it is sent again.
const RETRY_PAUSE: Duration = Duration::from_millis(50);

/// A request that a caller sends.
#[derive(Debug, Clone)]
pub struct Call {
    method: &'static str,
    path: String,
    headers: Vec<(String, String)>,
    body: Vec<u8>,
}

impl Call {
    /// A request without a body, with the `Host` and `Request-Id` headers.
    pub fn new(method: &'static str, host: &str, path: &str, id: &str) -> Self {
        let headers =
            vec![("Host".to_owned(), host.to_owned()), ("Request-Id".to_owned(), id.to_owned())];
        Call { method, path: path.to_owned(), headers, body: Vec::new() }
    }

    /// Adds a header.
    #[must_use]
    pub fn with_header(mut self, name: &str, value: &str) -> Self {
        self.headers.push((name.to_owned(), value.to_owned()));
        self
    }

    /// Sets the body.
    #[must_use]
    pub fn body(mut self, body: &[u8]) -> Self {
        self.body = body.to_vec();
        self
    }

    /// The request as sent.
    pub(super) fn bytes(&self) -> Vec<u8> {
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

    /// Writes the request on a connection without reading the answer; false if the write failed.
    pub fn write_on(&self, conn: &mut HttpConnection) -> bool {
        conn.write(&self.bytes())
    }

    /// Sends the request on a connection; `None` if the connection ends before a complete response
    /// head.
    pub fn send_on(&self, conn: &mut HttpConnection) -> Option<HttpMessage> {
        conn.write(&self.bytes()).then(|| conn.read()).flatten()
    }

    /// Sends the request on a connection, waits for `wait`, then reads the answer.
    pub fn send_on_and_read_after(
        &self,
        conn: &mut HttpConnection,
        wait: std::time::Duration,
    ) -> Option<HttpMessage> {
        if !conn.write(&self.bytes()) {
            return None;
        }
        std::thread::sleep(wait);
        conn.read()
    }

    /// Sends the request on a new connection.
    pub fn send(&self, address: SocketAddr) -> Option<HttpMessage> {
        self.send_on(&mut HttpConnection::new(TcpStream::connect(address).ok()?))
    }

    /// Sends the request on new connections until it is not answered as one that has not run, as
    /// callers do that retry, for [`MAX_RETRY_TIME`] at most; returns the last answer.
    pub fn send_until_run(&self, address: SocketAddr) -> Option<HttpMessage> {
        let began = Instant::now();
        loop {
            let answer = self.send(address)?;
            if !NOT_RUN.contains(&answer.status()) || began.elapsed() > MAX_RETRY_TIME {
                return Some(answer);
            }
            thread::sleep(RETRY_PAUSE);
        }
    }

    /// Sends the request on a new connection, calls `before_read`, then reads the answer.
    pub fn send_and_read_after(
        &self,
        address: SocketAddr,
        before_read: impl FnOnce(),
    ) -> Option<HttpMessage> {
        let mut conn = HttpConnection::new(TcpStream::connect(address).ok()?);
        if !conn.write(&self.bytes()) {
            return None;
        }
        before_read();
        conn.read()
    }

    /// Sends the request on a new connection, reads until `text` arrives, and closes it; whether the
    /// text arrived before the end of the connection.
    pub fn send_and_disconnect_at(&self, address: SocketAddr, text: &str) -> bool {
        let Ok(mut stream) = TcpStream::connect(address) else { return false };
        drop(stream.set_read_timeout(Some(READ_TIMEOUT)));
        if stream.write_all(&self.bytes()).is_err() {
            return false;
        }
        let mut received = Vec::new();
        let mut buf = [0; 4096];
        while !String::from_utf8_lossy(&received).contains(text) {
            match stream.read(&mut buf) {
                Ok(0) | Err(_) => return false,
                Ok(read) => received.extend_from_slice(&buf[..read]),
            }
        }
        true
    }

    /// Sends the request on a new connection and closes it after `after` without reading.
    pub fn send_and_disconnect(&self, address: SocketAddr, after: std::time::Duration) {
        if let Ok(stream) = TcpStream::connect(address) {
            let mut conn = HttpConnection::new(stream);
            conn.write(&self.bytes());
            std::thread::sleep(after);
        }
    }
}
