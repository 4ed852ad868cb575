//! HTTP/1.1 over plain sockets.

use std::collections::HashMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::Duration;

/// A request or an answer.
#[derive(Debug, Clone, Default)]
pub struct Message {
    /// Request line or status line.
    pub start: String,
    /// Headers by lower-case name.
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
    /// Whether the body came to its end.
    pub whole: bool,
}

impl Message {
    /// A header; empty if it is absent.
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    pub fn method(&self) -> &str {
        self.start.split(' ').next().unwrap_or_default()
    }

    /// Path and query.
    pub fn path(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or_default()
    }

    pub fn status(&self) -> u16 {
        self.path().parse().unwrap_or(0)
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// A connection.
pub struct Connection(BufReader<TcpStream>);

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        stream.set_nodelay(true).ok();
        stream.set_read_timeout(Some(Duration::from_secs(60))).ok();
        Connection(BufReader::new(stream))
    }

    /// Another reference to the socket.
    pub fn stream(&self) -> Option<TcpStream> {
        self.0.get_ref().try_clone().ok()
    }

    /// Whether the other side has closed the connection, as far as can be told without waiting.
    pub fn is_closed(&self) -> bool {
        let stream = self.0.get_ref();
        stream.set_nonblocking(true).ok();
        let closed = match stream.peek(&mut [0]) {
            Ok(count) => count == 0,
            Err(e) => e.kind() != std::io::ErrorKind::WouldBlock,
        };
        stream.set_nonblocking(false).ok();
        closed
    }

    pub fn write(&mut self, bytes: &[u8]) -> bool {
        self.0.get_mut().write_all(bytes).is_ok()
    }

    fn line(&mut self) -> Option<String> {
        let mut line = String::new();
        let read = self.0.read_line(&mut line).ok()?;
        (read > 0).then(|| line.trim_end().to_owned())
    }

    /// Reads a message; `None` if the connection ended before a whole head.
    pub fn read(&mut self) -> Option<Message> {
        let mut message = Message { start: self.line()?, ..Message::default() };
        loop {
            let line = self.line()?;
            if line.is_empty() {
                break;
            }
            let (name, value) = line.split_once(':')?;
            message.headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
        }
        let is_answer = message.start.starts_with("HTTP/");
        message.whole = if message.header("transfer-encoding").contains("chunked") {
            self.chunks(&mut message.body)
        } else if let Ok(length) = message.header("content-length").parse::<usize>() {
            message.body = vec![0; length];
            self.0.read_exact(&mut message.body).is_ok()
        } else {
            !is_answer || self.0.read_to_end(&mut message.body).is_ok()
        };
        Some(message)
    }

    fn chunks(&mut self, body: &mut Vec<u8>) -> bool {
        loop {
            let Some(line) = self.line() else { return false };
            let Ok(length) = usize::from_str_radix(&line, 16) else { return false };
            let mut chunk = vec![0; length + 2];
            if self.0.read_exact(&mut chunk).is_err() {
                return false;
            }
            if length == 0 {
                return true;
            }
            body.extend_from_slice(&chunk[..length]);
        }
    }
}

/// Serves each connection on a thread of its own, for as long as `accepts` is true.
pub fn serve(
    listener: TcpListener,
    accepts: impl Fn() -> bool + Send + 'static,
    serve: impl Fn(Connection) + Send + Sync + 'static,
) {
    let serve = Arc::new(serve);
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            if !accepts() {
                // Dropping the listener closes the port.
                return;
            }
            let serve = Arc::clone(&serve);
            std::thread::spawn(move || serve(Connection::new(stream)));
        }
    });
}

/// An answer with a length.
pub fn answer(status: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut bytes = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n", body.len()).into_bytes();
    for (name, value) in headers {
        bytes.extend_from_slice(format!("{name}: {value}\r\n").as_bytes());
    }
    bytes.extend_from_slice(b"\r\n");
    bytes.extend_from_slice(body);
    bytes
}

/// Sends a request on a new connection and reads its answer; `None` if there is none.
pub fn call(address: SocketAddr, request: &str, within: Duration) -> Option<Message> {
    let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
    let mut connection = Connection::new(stream);
    connection.0.get_mut().set_read_timeout(Some(within)).ok();
    connection.write(request.as_bytes()).then_some(())?;
    connection.read()
}
