//! Answers of which a part stops, or never ends.

use std::time::Duration;

use super::HttpConnection;
use super::behavior::Part;
use super::runners::Runner;

/// Bytes that are sent at a time of a part without an end.
const PIECE_BYTES: usize = 256 * 1024;
/// Pause after them.
const PIECE_PAUSE: Duration = Duration::from_millis(10);
/// Body of an answer of which half is sent.
const BODY: &str = "a body of which half is sent\n";

/// Headers of an answer to the request `id`, for a part of it.
fn headers(part: Part, id: &str, runner: &str) -> String {
    match part {
        Part::Decline => "HTTP/1.1 503 Full\r\nNot-Executed: 1\r\n".to_owned(),
        Part::Interim => "HTTP/1.1 100 Continue\r\n\r\n".to_owned(),
        Part::Failure | Part::Head | Part::Success | Part::Event | Part::Tail => {
            let status = if part == Part::Failure { "500 Oops" } else { "200 OK" };
            format!("HTTP/1.1 {status}\r\nRequest-Id: {id}\r\nResponse-Signature: sig-{runner}\r\n")
        }
    }
}

/// Sends chunks of a body without an end until the peer closes the connection.
pub(super) fn write_chunks_endlessly(conn: &mut HttpConnection) {
    write_endlessly(conn, &format!("{PIECE_BYTES:x}\r\n{}\r\n", "x".repeat(PIECE_BYTES)));
}

fn write_endlessly(conn: &mut HttpConnection, piece: &str) {
    while conn.write(piece.as_bytes()) {
        std::thread::sleep(PIECE_PAUSE);
    }
}

impl Runner {
    /// Sends half of a part, then reads until the VM closes the connection.
    pub(super) fn stall(&self, conn: &mut HttpConnection, part: Part, id: &str) -> bool {
        let head = headers(part, id, &self.id);
        let text = match part {
            Part::Head | Part::Interim => head,
            _ => {
                let half = &BODY[..BODY.len() / 2];
                format!("{head}Content-Length: {}\r\n\r\n{half}", BODY.len())
            }
        };
        conn.write(text.as_bytes());
        drop(conn.read());
        false
    }

    /// Sends a part without an end until the VM closes the connection.
    pub(super) fn send_endlessly(&self, conn: &mut HttpConnection, part: Part, id: &str) -> bool {
        let head = headers(part, id, &self.id);
        let filler = "x".repeat(PIECE_BYTES);
        let (head, piece) = match part {
            Part::Head => (format!("{head}Filler: "), filler),
            Part::Interim => (String::new(), head.repeat(PIECE_BYTES / head.len())),
            Part::Tail => {
                let body = format!("{} answers {id}", self.id);
                (format!("{head}Content-Length: {}\r\n\r\n{body}", body.len()), filler)
            }
            _ => {
                if conn.write(format!("{head}Transfer-Encoding: chunked\r\n\r\n").as_bytes()) {
                    write_chunks_endlessly(conn);
                }
                return false;
            }
        };
        if conn.write(head.as_bytes()) {
            write_endlessly(conn, &piece);
        }
        false
    }
}
