//! Whatever a target streams, tokens come in order and an end is told only if it was seen.

// A helper that can't go on fails its test.
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

/// Numbers of the tokens read, and how it ended.
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

fn whole(attempt: &AttemptId, tokens: u64) -> String {
    (1..=tokens).map(|n| token(attempt, n)).collect::<String>() + &end(tokens)
}

#[test]
fn reads_a_whole_stream() {
    let attempt = attempt();
    assert_eq!(read(whole(&attempt, 3).into_bytes(), &attempt), (vec![1, 2, 3], Ok(3)));
}

#[test]
fn refuses_gaps_repetitions_and_others_tokens() {
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
    /// A stream that is cut anywhere is never taken for whole.
    #[test]
    fn a_cut_anywhere_is_seen(tokens in 0u64..20, at in any::<prop::sample::Index>()) {
        let attempt = attempt();
        let text = whole(&attempt, tokens);
        let cut = at.index(text.len());
        let (numbers, ended) = read(text.as_bytes()[..cut].to_vec(), &attempt);
        prop_assert!(ended.is_err());
        prop_assert_eq!(numbers.clone(), (1..=numbers.len() as u64).collect::<Vec<_>>());
    }

    #[test]
    fn any_bytes_end_without_harm(bytes in proptest::collection::vec(any::<u8>(), 0..400)) {
        let (numbers, ended) = read(bytes, &attempt());
        prop_assert!(numbers.is_empty());
        prop_assert!(ended.is_err());
    }

    /// Changed bytes may break a stream, but never its order.
    #[test]
    fn changed_bytes_never_change_the_order(
        changes in proptest::collection::vec((any::<prop::sample::Index>(), any::<u8>()), 1..5),
    ) {
        let attempt = attempt();
        let mut bytes = whole(&attempt, 10).into_bytes();
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
