//! Stand-ins around the serving path, written from its published protocol: a key-value store,
//! runners that inject the faults named by the protocol, and callers. The VMs under test are real
//! processes.
//!
//! The stand-ins use threads and plain sockets instead of an HTTP library, so that a fault can
//! change any byte.

pub mod aging;
mod behavior;
pub mod callers;
pub mod crashing;
pub mod crowd_soak;
pub mod crowds;
mod endless;
pub mod faulty_link;
pub mod flood_soak;
pub mod removal_soak;
pub mod runners;
pub mod scenarios;
mod silence;
mod silence_checks;
pub mod silence_soak;
pub mod site;
pub mod soak;
mod soak_checks;
mod soak_connections;
mod soak_forks;
mod soak_notices;
mod stage_calls;
pub mod steady;
pub mod stop_soak;
pub mod store;
pub mod stream_soak;
pub mod target_path;

use std::collections::HashMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::TcpStream;
use std::time::Duration;

use socket2::SockRef;

use silence::{Silence, SilencedStream};

/// Time after which a read from a silent connection fails.
const READ_TIMEOUT: Duration = Duration::from_secs(20);

/// An HTTP request or response as it was received.
#[derive(Debug, Clone, Default)]
pub struct HttpMessage {
    /// Request line or status line.
    pub start_line: String,
    /// Headers by lower-case name.
    pub headers: HashMap<String, String>,
    /// Body, after decoding of chunks.
    pub body: Vec<u8>,
    /// Whether the body was received up to its end.
    pub is_complete: bool,
}

impl HttpMessage {
    /// A header; empty if it is absent.
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    /// The method of a request.
    pub fn method(&self) -> &str {
        self.start_line.split(' ').next().unwrap_or_default()
    }

    /// The path and query of a request.
    pub fn path_and_query(&self) -> &str {
        self.start_line.split(' ').nth(1).unwrap_or_default()
    }

    /// The status of an answer; 0 if the status line has none.
    pub fn status(&self) -> u16 {
        self.start_line.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0)
    }

    /// The body as text; invalid UTF-8 is replaced.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// A TCP connection that reads HTTP messages and writes raw bytes.
pub struct HttpConnection {
    reader: BufReader<SilencedStream>,
}

impl HttpConnection {
    /// Wraps a connection; sets TCP_NODELAY and the read timeout.
    pub fn new(stream: TcpStream) -> Self {
        HttpConnection::with_silence(stream, Silence::default())
    }

    /// Like [`HttpConnection::new`], for a stand-in that may fall silent.
    fn with_silence(stream: TcpStream, silence: Silence) -> Self {
        drop(stream.set_nodelay(true));
        drop(stream.set_read_timeout(Some(READ_TIMEOUT)));
        HttpConnection { reader: BufReader::new(SilencedStream { stream, silence }) }
    }

    /// Writes bytes; false if the write failed.
    pub fn write(&mut self, bytes: &[u8]) -> bool {
        self.reader.get_mut().write_all(bytes).is_ok()
    }

    /// Has the connection reset when it is closed.
    pub(crate) fn reset(&self) {
        drop(SockRef::from(&self.reader.get_ref().stream).set_linger(Some(Duration::ZERO)));
    }

    /// Whether the peer has closed the connection, as far as can be told without blocking.
    pub fn is_closed(&self) -> bool {
        let stream = &self.reader.get_ref().stream;
        if stream.set_nonblocking(true).is_err() {
            return true;
        }
        let peeked = stream.peek(&mut [0]);
        let is_open = match peeked {
            Ok(read) => read > 0,
            Err(e) => e.kind() == std::io::ErrorKind::WouldBlock,
        };
        !is_open || stream.set_nonblocking(false).is_err()
    }

    /// Reads a message; `None` if the connection ended before a complete head.
    pub fn read(&mut self) -> Option<HttpMessage> {
        let mut message = HttpMessage { start_line: self.read_line()?, ..HttpMessage::default() };
        loop {
            let line = self.read_line()?;
            if line.is_empty() {
                break;
            }
            let (name, value) = line.split_once(':')?;
            message.headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
        }
        let is_response = message.start_line.starts_with("HTTP/");
        message.is_complete = if message.header("transfer-encoding").contains("chunked") {
            self.read_chunks(&mut message.body)
        } else if let Ok(length) = message.header("content-length").parse::<usize>() {
            message.body = vec![0; length];
            self.reader.read_exact(&mut message.body).is_ok()
        } else {
            !is_response || self.reader.read_to_end(&mut message.body).is_ok()
        };
        Some(message)
    }

    /// Reads a line without its end.
    fn read_line(&mut self) -> Option<String> {
        let mut line = String::new();
        let read = self.reader.read_line(&mut line).ok()?;
        (read > 0).then(|| line.trim_end().to_owned())
    }

    /// Reads a chunked body; false if it is incomplete or malformed.
    fn read_chunks(&mut self, body: &mut Vec<u8>) -> bool {
        loop {
            let Some(line) = self.read_line() else { return false };
            let Ok(length) = usize::from_str_radix(&line, 16) else { return false };
            let mut chunk = vec![0; length + 2];
            if self.reader.read_exact(&mut chunk).is_err() {
                return false;
            }
            if length == 0 {
                return true;
            }
            body.extend_from_slice(&chunk[..length]);
        }
    }
}

/// Runs `serve` for each accepted connection, on a thread of its own, until the process ends.
/// Connections that arrive in a silence are served after it.
fn serve_connections(
    listener: std::net::TcpListener,
    silence: Silence,
    serve: impl Fn(HttpConnection) + Send + Sync + 'static,
) {
    let serve = std::sync::Arc::new(serve);
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            silence.wait_for_end();
            let (serve, silence) = (std::sync::Arc::clone(&serve), silence.clone());
            std::thread::spawn(move || serve(HttpConnection::with_silence(stream, silence)));
        }
    });
}

/// A response with a `Content-Length`, as bytes.
pub(crate) fn response_bytes(status: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut bytes = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n", body.len()).into_bytes();
    for (name, value) in headers {
        bytes.extend_from_slice(format!("{name}: {value}\r\n").as_bytes());
    }
    bytes.extend_from_slice(b"\r\n");
    bytes.extend_from_slice(body);
    bytes
}
