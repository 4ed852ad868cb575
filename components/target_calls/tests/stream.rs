//! Whatever bytes a target sends, tokens are returned in order, and an end only if the stream is
//! complete.

// A test fails if its setup fails.
#![allow(clippy::expect_used)]

use ids::{AttemptId, RequestId};
use proptest::prelude::{any, prop, proptest};
use proptest::{prop_assert, prop_assert_eq};
use target_calls::{CallFailure, StreamEvent, TokenStream};
use ureq::Body;

fn attempt() -> AttemptId {
    AttemptId::new(&RequestId::new("r").expect("a name"), 0, 1)
}

fn token(attempt: &AttemptId, number: u64) -> String {
    format!("id: {number}\ndata: {{\"attempt\":\"{attempt}\",\"token\":\"t{number}\"}}\n\n")
}

fn end(tokens: u64) -> String {
    format!("event: end\ndata: {{\"tokens\":{tokens},\"cost\":{tokens}}}\n\n")
}

/// Reads a stream: the numbers of its tokens, and its end or failure.
fn read(bytes: Vec<u8>, attempt: &AttemptId) -> (Vec<u64>, Result<u64, CallFailure>) {
    let mut stream = TokenStream::new(Body::builder().data(bytes), attempt.clone(), None);
    let mut numbers = Vec::new();
    loop {
        match stream.next_event() {
            Ok(StreamEvent::Token(number, _)) => numbers.push(number),
            Ok(StreamEvent::End(end)) => return (numbers, Ok(end.tokens)),
            Err(failure) => return (numbers, Err(failure)),
        }
    }
}

fn complete_stream(attempt: &AttemptId, tokens: u64) -> String {
    (1..=tokens).map(|n| token(attempt, n)).collect::<String>() + &end(tokens)
}

#[test]
fn reads_a_complete_stream() {
    let attempt = attempt();
    assert_eq!(read(complete_stream(&attempt, 3).into_bytes(), &attempt), (vec![1, 2, 3], Ok(3)));
}

#[test]
fn refuses_gaps_repetitions_and_tokens_of_other_attempts() {
    let (ours, other) = (attempt(), attempt());
    let gap = token(&ours, 1) + &token(&ours, 3) + &end(3);
    let twice = token(&ours, 1) + &token(&ours, 1) + &end(2);
    let short = token(&ours, 1) + &end(2);
    for text in [gap, twice, short] {
        let (numbers, ended) = read(text.into_bytes(), &ours);
        assert_eq!(numbers, [1]);
        assert!(matches!(ended, Err(CallFailure::MayHaveRun(_))), "{ended:?}");
    }
    let crossed = token(&ours, 1) + &token(&other, 2) + &end(2);
    let (numbers, ended) = read(crossed.into_bytes(), &ours);
    assert_eq!(numbers, [1]);
    assert!(matches!(ended, Err(CallFailure::Crossed(_))), "{ended:?}");
}

proptest! {
    /// A stream that ends early at any byte is never taken for complete.
    #[test]
    fn a_truncated_stream_is_a_failure(tokens in 0u64..20, at in any::<prop::sample::Index>()) {
        let attempt = attempt();
        let text = complete_stream(&attempt, tokens);
        let cut = at.index(text.len());
        let (numbers, ended) = read(text.as_bytes()[..cut].to_vec(), &attempt);
        prop_assert!(ended.is_err());
        prop_assert_eq!(numbers.clone(), (1..=numbers.len() as u64).collect::<Vec<_>>());
    }

    #[test]
    fn any_bytes_give_a_failure_and_no_token(bytes in proptest::collection::vec(any::<u8>(), 0..400)) {
        let (numbers, ended) = read(bytes, &attempt());
        prop_assert!(numbers.is_empty());
        prop_assert!(ended.is_err());
    }

    /// Changed bytes may make a stream fail, but tokens never come out of order.
    #[test]
    fn changed_bytes_never_give_tokens_out_of_order(
        changes in proptest::collection::vec((any::<prop::sample::Index>(), any::<u8>()), 1..5),
    ) {
        let attempt = attempt();
        let mut bytes = complete_stream(&attempt, 10).into_bytes();
        for (at, value) in changes {
            let index = at.index(bytes.len());
            bytes[index] = value;
        }
        let (numbers, ended) = read(bytes, &attempt);
        prop_assert_eq!(numbers.clone(), (1..=numbers.len() as u64).collect::<Vec<_>>());
        if let Ok(tokens) = ended {
            prop_assert_eq!(tokens, numbers.len() as u64);
        }
    }
}

/// Guards against an event that is kept for as long as its lines go on.
#[test]
fn an_event_without_an_end_is_not_kept() {
    let attempt = attempt();
    let endless = "data: x\n".repeat(200_000) + "\n";

    let (numbers, ended) = read(endless.into_bytes(), &attempt);

    let Err(CallFailure::MayHaveRun(why)) = ended else { panic!("{ended:?}") };
    assert!(numbers.is_empty() && why.contains("too long"), "{why}");
}
