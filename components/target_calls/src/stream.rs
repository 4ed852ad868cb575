//! Reads a target's stream of tokens, sent as server-sent events.

use std::io::{BufRead, BufReader, Read};

use ids::AttemptId;
use serde::Deserialize;
use ureq::{Body, BodyReader};

use crate::call::CallFailure;

/// Longest line of an event, in bytes.
const MAX_LINE_BYTES: u64 = 64 * 1024;

/// Largest event, in bytes: all its lines together.
const MAX_EVENT_BYTES: usize = 256 * 1024;

/// An event of a stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StreamEvent {
    /// A token and its number, counted from 1.
    Token(u64, String),
    /// The end of the stream: it is complete.
    End(StreamEnd),
}

/// The last event of a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
pub struct StreamEnd {
    /// Number of all tokens, including those before a resumption.
    pub tokens: u64,
    /// Cost that the target charges, in units of its own.
    pub cost: u64,
}

/// Data of a token's event.
#[derive(Deserialize)]
struct TokenData {
    attempt: String,
    token: String,
}

/// Reads the tokens of an attempt in order. A gap, a repetition or another attempt's token is a
/// failure.
pub struct TokenStream {
    lines: BufReader<BodyReader<'static>>,
    attempt: AttemptId,
    /// Number of the last token that was read, or that the caller had before; 0 if there is none.
    last: u64,
}

impl std::fmt::Debug for TokenStream {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "TokenStream({}, {})", self.attempt, self.last)
    }
}

/// A server-sent event, before its data is parsed.
#[derive(Default)]
struct RawEvent {
    kind: String,
    id: Option<u64>,
    data: String,
}

impl TokenStream {
    /// Reads `body` as the stream of `attempt`. The caller already has the tokens up to `last`.
    pub fn new(body: Body, attempt: AttemptId, last: Option<u64>) -> Self {
        let lines = BufReader::new(body.into_reader());
        TokenStream { lines, attempt, last: last.unwrap_or(0) }
    }

    /// Waits for the next event.
    ///
    /// # Errors
    /// `Crossed` for another attempt's token. `MayHaveRun` if the stream ends early, can't be
    /// parsed, or has a gap or a repetition.
    pub fn next_event(&mut self) -> Result<StreamEvent, CallFailure> {
        let broken = |problem: String| CallFailure::MayHaveRun(problem);
        let event = self.read_event()?;
        if event.kind == "end" {
            let end: StreamEnd = serde_json::from_str(&event.data)
                .map_err(|e| broken(format!("the stream's end can't be read: {e}")))?;
            if end.tokens != self.last {
                return Err(broken(format!("{} tokens came of {}", self.last, end.tokens)));
            }
            return Ok(StreamEvent::End(end));
        }
        let data: TokenData = serde_json::from_str(&event.data)
            .map_err(|e| broken(format!("a token can't be read: {e}")))?;
        if data.attempt != self.attempt.as_str() {
            let problem = format!("a token names attempt {}", data.attempt);
            return Err(CallFailure::Crossed(problem));
        }
        if event.id != Some(self.last + 1) {
            return Err(broken(format!("token {:?} came after {}", event.id, self.last)));
        }
        self.last += 1;
        Ok(StreamEvent::Token(self.last, data.token))
    }

    /// Reads lines up to the empty line that ends an event; skips events without data.
    fn read_event(&mut self) -> Result<RawEvent, CallFailure> {
        let mut event = RawEvent::default();
        let mut line = String::new();
        let mut bytes = 0;
        loop {
            line.clear();
            let read = (&mut self.lines).take(MAX_LINE_BYTES).read_line(&mut line);
            let count =
                read.map_err(|e| CallFailure::MayHaveRun(format!("the stream broke: {e}")))?;
            if count == 0 || !line.ends_with('\n') {
                let problem = "the stream was cut before its end".to_owned();
                return Err(CallFailure::MayHaveRun(problem));
            }
            bytes += count;
            if bytes > MAX_EVENT_BYTES {
                return Err(CallFailure::MayHaveRun("an event is too long".to_owned()));
            }
            let text = line.trim_end_matches(['\r', '\n']);
            if text.is_empty() {
                if event.data.is_empty() {
                    bytes = 0;
                    continue;
                }
                return Ok(event);
            }
            match text.split_once(':').map(|(k, v)| (k, v.trim_start())) {
                Some(("event", v)) => v.clone_into(&mut event.kind),
                Some(("id", v)) => event.id = v.parse().ok(),
                Some(("data", v)) => event.data.push_str(v),
                _ => {}
            }
        }
    }
}
