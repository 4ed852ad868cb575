//! Requests that are sent at a constant rate, whether or not earlier ones are answered.

// A failed setup fails the run.
#![allow(clippy::expect_used)]

use std::net::SocketAddr;
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

use super::callers::Call;

/// A request that was sent, and what its caller got.
#[derive(Debug)]
pub struct SentCall {
    /// When it was sent.
    pub at: Instant,
    /// Time until its answer ended.
    pub took: Duration,
    /// Status of the answer; 0 if there was none.
    pub status: u16,
    /// Whether the answer is complete.
    pub is_whole: bool,
}

impl SentCall {
    /// Whether it was served.
    pub fn is_served(&self) -> bool {
        self.status == 200 && self.is_whole
    }
}

/// Sends `per_s` requests a second for some time, each on a connection of its own. `call` gives the
/// request with a number, and where it is sent.
///
/// # Panics
/// If a caller panics.
pub fn send_steadily(
    per_s: u32,
    duration: Duration,
    call: impl Fn(usize) -> (SocketAddr, Call),
) -> Vec<SentCall> {
    let began = Instant::now();
    let pause = Duration::from_secs(1) / per_s;
    let count = (duration.as_secs_f64() * f64::from(per_s)) as u32;
    let mut callers = Vec::new();
    for number in 0..count {
        sleep((began + pause * number).saturating_duration_since(Instant::now()));
        let (address, call) = call(number as usize);
        callers.push(spawn(move || {
            let at = Instant::now();
            let answer = call.send(address).unwrap_or_default();
            let (status, is_whole) = (answer.status(), answer.is_complete);
            SentCall { at, took: at.elapsed(), status, is_whole }
        }));
    }
    callers.into_iter().map(|caller| caller.join().expect("a caller")).collect()
}
