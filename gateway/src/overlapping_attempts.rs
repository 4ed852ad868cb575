//! Attempts of one request that overlap: a target that does not answer in time is kept while another
//! one is tried, and the first answer counts.

use std::future::poll_fn;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Poll;
use std::time::Duration;

use platform_interface::callers::Refusal;
use slog::info;
use tokio::time::{Instant, sleep_until};

use crate::attempts::{AttemptError, AttemptState, Attempts};
use crate::connections::SentMark;
use crate::stream_takeover::overlap_end;

/// What came of an attempt: an answer, or why there is none; or the refusal for the caller.
pub(crate) type Attempted<T> = Result<Result<T, AttemptError>, Refusal>;

/// An attempt under way.
pub(crate) type Attempting<'a, T> = Pin<Box<dyn Future<Output = Attempted<T>> + 'a>>;

/// When attempts overlap.
pub(crate) struct OverlapRules {
    /// Time after which another target is tried, or earlier if the hall of the first one becomes
    /// unreachable; `None` if none may be.
    pub(crate) retry_after: Option<Duration>,
    /// Longest time for which the earlier target is kept after the call to the later one may have
    /// been sent; `None` for no limit.
    pub(crate) overlap: Option<Duration>,
    /// When all attempts are abandoned.
    pub(crate) until: Instant,
    /// What is awaited, for the log.
    pub(crate) awaited: &'static str,
}

struct Running<'a, T> {
    state: Rc<AttemptState>,
    attempting: Attempting<'a, T>,
}

/// Waits for the first answer of an attempt and, if it takes too long, of a second one beside it. An
/// attempt is given up for another only if nothing was sent. Returns how the last one ended if none
/// gives an answer.
pub(crate) async fn first_answer<'a, T>(
    attempts: &Attempts,
    rules: &OverlapRules,
    begin: impl Fn(Rc<AttemptState>) -> Attempting<'a, T>,
) -> Attempted<T> {
    let begin = || {
        let state = Rc::new(AttemptState::default());
        Running { attempting: begin(Rc::clone(&state)), state }
    };
    let mut running = vec![begin()];
    let mut retry_at = rules.retry_after.map(|time| Instant::now() + time);
    let mut heeds_hall = rules.retry_after.is_some();
    loop {
        let first = Rc::clone(&running[0].state);
        let may_begin = retry_at.filter(|_| running.len() == 1);
        let later_mark = running.get(1).map(|later| later.state.mark().clone());
        tokio::select! {
            biased;
            (index, ended) = next_end(&mut running) => {
                let Running { state, .. } = running.remove(index);
                let has_answer = matches!(ended, Ok(Ok(_)));
                if running.is_empty() {
                    return ended;
                }
                if has_answer {
                    abandon(attempts, running, index > 0, rules.awaited);
                    return ended;
                }
                if index > 0 {
                    attempts.withdraw(&state);
                }
                // Others may be free.
                retry_at = rules.retry_after.map(|_| Instant::now());
            }
            () = sleep_until(rules.until) => return Ok(Err(time_out(attempts, running, rules.awaited))),
            () = overlap_over(later_mark, rules.overlap) => {
                attempts.record_timeout(&running.remove(0).state, rules.awaited);
            }
            () = attempts.until_hall_unreachable(&first), if heeds_hall && may_begin.is_some() => {
                heeds_hall = false;
                retry_at = Some(Instant::now());
            }
            () = sleep_until(may_begin.unwrap_or(rules.until)), if may_begin.is_some() => {
                let only = &running[0].state;
                let is_sent = only.mark().is_set();
                if !is_sent && attempts.has_target() {
                    return Ok(Err(time_out(attempts, running, rules.awaited)));
                }
                if is_sent && may_overtake(attempts, rules.awaited) {
                    attempts.check_path(only);
                    attempts.set_may_have_run();
                    info!(attempts.app().log, "another target tried";
                        "request" => %attempts.req().id, "why" => rules.awaited);
                    running.push(begin());
                }
                retry_at = rules.retry_after.map(|time| Instant::now() + time);
            }
        }
    }
}

/// Whether another attempt may begin beside one that was sent. Takes a retry from the budget.
fn may_overtake(attempts: &Attempts, awaited: &str) -> bool {
    attempts.has_target() && attempts.take_retry(&AttemptError::Lost(awaited.to_owned()))
}

/// Abandons attempts, since another one gave an answer; `are_late` if they had begun before it.
fn abandon<T>(attempts: &Attempts, running: Vec<Running<'_, T>>, are_late: bool, awaited: &str) {
    for Running { state, attempting } in running {
        drop(attempting);
        if are_late {
            attempts.record_timeout(&state, awaited);
        } else {
            attempts.withdraw(&state);
        }
    }
}

/// Abandons all attempts since their time is up. Returns what is known of the one that may have run.
fn time_out<T>(attempts: &Attempts, running: Vec<Running<'_, T>>, awaited: &str) -> AttemptError {
    let mut error = AttemptError::NotReached;
    for Running { state, attempting } in running {
        drop(attempting);
        let ended = attempts.record_timeout(&state, awaited);
        if ended != AttemptError::NotReached {
            error = ended;
        }
    }
    error
}

/// Waits for the next end of an attempt; returns its index.
async fn next_end<T>(running: &mut [Running<'_, T>]) -> (usize, Attempted<T>) {
    poll_fn(|cx| {
        for (index, attempt) in running.iter_mut().enumerate() {
            if let Poll::Ready(ended) = attempt.attempting.as_mut().poll(cx) {
                return Poll::Ready((index, ended));
            }
        }
        Poll::Pending
    })
    .await
}

/// Waits until the earlier of two attempts has to be given up; forever if it need not be.
async fn overlap_over(later: Option<SentMark>, overlap: Option<Duration>) {
    match (later, overlap) {
        (Some(mark), Some(overlap)) => overlap_end(&mark, overlap).await,
        _ => std::future::pending().await,
    }
}
