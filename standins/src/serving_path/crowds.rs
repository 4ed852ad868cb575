//! Crowds of callers that keep to no limit: each sends its bytes piece by piece, keeps its
//! connection open and reads nothing.
//!
//! One thread serves all connections of a crowd, without blocking, so that a crowd of hundreds costs
//! the machine little.

use std::io::{ErrorKind, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread::sleep;
use std::time::{Duration, Instant};

use super::site::HOST;

/// Pause between two rounds over all connections.
const ROUND_PAUSE: Duration = Duration::from_millis(2);
/// Time that a crowd takes to open its connections at most. The kernel delays connections while the
/// listener's queue is full.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Length of each header of a head without an end, in bytes.
const LONG_HEADER_BYTES: usize = 4000;
/// Path of the crowd's requests.
const PATH: &str = "/repeat/";
/// The same in the product's own form.
const OWN_FORM_PATH: &str = "/v1/services/hold";
/// Bytes that follow a request's head are cut from a block of at least this size.
const BLOCK_BYTES: usize = 16 * 1024;

/// What each caller of a crowd sends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Misuse {
    /// Nothing.
    Silence,
    /// The head of a request of so many bytes, short of its end.
    HeadShortOfEnd(usize),
    /// The head of a request, without an end.
    EndlessHead,
    /// Empty lines before a request, without an end.
    EmptyLines,
    /// A body of a declared length, short of its end.
    BodyShortOfEnd {
        /// Declared length, in bytes.
        bytes: usize,
        /// Bytes that are sent at a time.
        piece: usize,
    },
    /// A body in chunks, short of its end.
    ChunksShortOfEnd {
        /// Length of all chunks together, in bytes.
        bytes: usize,
        /// Length of a chunk, in bytes.
        chunk: usize,
    },
    /// Extensions of a chunk, without an end.
    EndlessExtension,
    /// Trailers behind a body in chunks, without an end.
    EndlessTrailers,
    /// A whole request to this path, whose answer is not read.
    UnreadAnswer(&'static str),
}

/// The bytes of one caller.
struct Script {
    head: Vec<u8>,
    /// Repeated after the head.
    block: Vec<u8>,
    /// Bytes after the head; `None` without an end.
    rest: Option<usize>,
    /// Bytes that are sent at a time.
    piece: usize,
}

impl Misuse {
    /// The script of a caller whose requests go to `path` and begin with `headers`.
    fn script(self, path: &str, headers: &str) -> Script {
        let head =
            |path: &str, framing: &str| format!("POST {path} HTTP/1.1\r\n{headers}{framing}");
        let script = |head: String, unit: &str, rest: Option<usize>| Script {
            head: head.into_bytes(),
            block: unit.repeat(BLOCK_BYTES.div_ceil(unit.len())).into_bytes(),
            rest,
            piece: usize::MAX,
        };
        let chunked = "Transfer-Encoding: chunked\r\n\r\n";
        match self {
            Misuse::Silence => script(String::new(), "-", Some(0)),
            Misuse::HeadShortOfEnd(bytes) => script(head(path, "X-Long: "), "x", Some(bytes)),
            Misuse::EndlessHead => {
                let header = format!("X-More: {}\r\n", "m".repeat(LONG_HEADER_BYTES));
                script(head(path, ""), &header, None)
            }
            Misuse::EmptyLines => script(String::new(), "\r\n", None),
            Misuse::BodyShortOfEnd { bytes, piece } => Script {
                piece,
                ..script(
                    head(path, &format!("Content-Length: {bytes}\r\n\r\n")),
                    "b",
                    Some(bytes - 1),
                )
            },
            Misuse::ChunksShortOfEnd { bytes, chunk } => {
                let unit = format!("{chunk:x}\r\n{}\r\n", "c".repeat(chunk));
                let rest = unit.len() * (bytes / chunk) - 1;
                script(head(path, chunked), &unit, Some(rest))
            }
            Misuse::EndlessExtension => {
                script(head(path, &format!("{chunked}1")), ";more=and-more", None)
            }
            Misuse::EndlessTrailers => {
                script(head(path, &format!("{chunked}0\r\n")), "X-More: and more\r\n", None)
            }
            Misuse::UnreadAnswer(path) => {
                script(head(path, "Content-Length: 0\r\n\r\n"), "-", Some(0))
            }
        }
    }
}

/// A connection of the crowd.
struct Caller {
    stream: TcpStream,
    script: Script,
    sent: usize,
    is_over: bool,
}

impl Caller {
    /// Sends what is next of the script, if the connection takes it; whether anything was sent.
    fn send_next(&mut self) -> bool {
        let Script { head, block, rest, piece } = &self.script;
        let next = match self.sent.checked_sub(head.len()) {
            None => &head[self.sent..],
            Some(after_head) => {
                let left = rest.map_or(usize::MAX, |rest| rest - after_head);
                let from = after_head % block.len();
                &block[from..block.len().min(from.saturating_add(left))]
            }
        };
        let next = &next[..next.len().min(*piece)];
        if next.is_empty() {
            self.is_over = true;
            return false;
        }
        match self.stream.write(next) {
            Ok(sent) => self.sent += sent,
            Err(e) if e.kind() == ErrorKind::WouldBlock => return false,
            Err(_) => self.is_over = true,
        }
        true
    }
}

/// Open connections of callers that keep to no limit. Dropping it closes them.
pub struct Crowd(Vec<Caller>);

impl Crowd {
    /// Opens the connections of `count` callers; those that can't be opened are left out.
    pub fn connect(address: SocketAddr, misuse: Misuse, count: usize) -> Self {
        Crowd::connect_with(address, count, |number| {
            misuse.script(
                PATH,
                &format!(
                    "Host: {HOST}\r\nRequest-Id: crowd-{number}\r\nDeadline-Milliseconds: 20000\r\n"
                ),
            )
        })
    }

    /// Like [`Crowd::connect`], for callers of the product's own form.
    pub fn connect_to_own_form(address: SocketAddr, misuse: Misuse, count: usize) -> Self {
        let headers = "Host: vm\r\nsaddlerail-customer: small\r\nsaddlerail-deadline-ms: 20000\r\n";
        Crowd::connect_with(address, count, |_| misuse.script(OWN_FORM_PATH, headers))
    }

    fn connect_with(address: SocketAddr, count: usize, script: impl Fn(usize) -> Script) -> Self {
        let connect = |number| {
            let stream = TcpStream::connect_timeout(&address, CONNECT_TIMEOUT).ok()?;
            stream.set_nonblocking(true).ok()?;
            Some(Caller { stream, script: script(number), sent: 0, is_over: false })
        };
        Crowd((0..count).filter_map(connect).collect())
    }

    /// Sends until each caller has sent all that it will or its connection was closed, for `time` at
    /// most.
    pub fn send_for(&mut self, time: Duration) {
        let until = Instant::now() + time;
        while Instant::now() < until && self.0.iter().any(|caller| !caller.is_over) {
            let open = self.0.iter_mut().filter(|caller| !caller.is_over);
            let sent = open.map(Caller::send_next).filter(|sent| *sent).count();
            if sent == 0 {
                sleep(ROUND_PAUSE);
            }
        }
    }

    /// Number of connections that were opened.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Whether no connection was opened.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}
