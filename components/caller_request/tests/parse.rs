//! Any request head is either accepted with values within bounds, or refused as a bad request with
//! details.

// A test fails if its setup fails.
#![allow(clippy::expect_used)]

use std::time::{Duration, Instant};

use caller_request::{CallerRequest, parse, request_id};
use http::{HeaderMap, HeaderName, HeaderValue};
use ids::RequestId;
use outcomes::{Outcome, Reason, Refusal};
use proptest::prelude::{any, proptest};
use proptest::{prop_assert, prop_assert_eq};

const MAX_DEADLINE_MS: u64 = 600_000;
const HEADERS: [&str; 8] = [
    "saddlerail-customer",
    "saddlerail-deadline-ms",
    "saddlerail-priority",
    "saddlerail-repeatable",
    "saddlerail-returning",
    "saddlerail-request-id",
    "saddlerail-prompt-prefix",
    "accept",
];

fn headers(pairs: &[(&str, &[u8])]) -> HeaderMap {
    let mut headers = HeaderMap::new();
    for (name, value) in pairs {
        if let Ok(value) = HeaderValue::from_bytes(value) {
            headers.insert(HeaderName::from_bytes(name.as_bytes()).expect("a name"), value);
        }
    }
    headers
}

fn parsed(path: &str, headers: &HeaderMap) -> Result<CallerRequest, Refusal> {
    let id = request_id(headers)?;
    parse(path, headers, id, Instant::now(), MAX_DEADLINE_MS)
}

#[test]
fn parses_a_complete_request() {
    let headers = headers(&[
        ("saddlerail-customer", b"small"),
        ("saddlerail-deadline-ms", b"1500"),
        ("saddlerail-priority", b"background"),
        ("saddlerail-repeatable", b"yes"),
        ("saddlerail-request-id", b"mine-1"),
        ("accept", b"text/event-stream"),
    ]);

    let req = parsed("/v1/services/check", &headers).expect("a request");

    assert_eq!((req.service.as_str(), req.customer.as_str()), ("check", "small"));
    assert_eq!((req.id.as_str(), req.has_caller_id), ("mine-1", true));
    assert!(req.repeatable && req.wants_stream && !req.returning);
    assert_eq!(req.deadline - req.arrived, Duration::from_millis(1500));
}

#[test]
fn a_request_is_not_repeatable_by_default() {
    let headers = headers(&[("saddlerail-customer", b"small"), ("saddlerail-deadline-ms", b"1")]);
    let req = parsed("/v1/services/check", &headers).expect("a request");
    assert!(!req.repeatable && !req.has_caller_id);
}

proptest! {
    #[test]
    fn any_head_is_accepted_within_bounds_or_refused_as_not_run(
        path in "/v1/services/.{0,80}|.{0,40}",
        values in proptest::collection::vec((0..HEADERS.len(), proptest::collection::vec(any::<u8>(), 0..80)), 0..8),
        with_required in any::<bool>(),
    ) {
        let mut pairs: Vec<(&str, &[u8])> = Vec::new();
        if with_required {
            pairs.push(("saddlerail-customer", b"small"));
            pairs.push(("saddlerail-deadline-ms", b"1000"));
        }
        pairs.extend(values.iter().map(|(name, value)| (HEADERS[*name], value.as_slice())));
        match parsed(&path, &headers(&pairs)) {
            Ok(req) => {
                let left = req.deadline - req.arrived;
                prop_assert!(left >= Duration::from_millis(1) && left <= Duration::from_millis(MAX_DEADLINE_MS));
                prop_assert!(RequestId::new(req.id.as_str()).is_ok());
            }
            Err(refusal) => {
                prop_assert_eq!(refusal.outcome, Outcome::NotRun);
                prop_assert_eq!(refusal.reason, Reason::BadRequest);
                prop_assert!(!refusal.detail.is_empty());
            }
        }
    }

    #[test]
    fn an_unknown_header_with_the_systems_prefix_is_refused(name in "[a-z]{1,20}") {
        let name = format!("saddlerail-{name}");
        if !HEADERS.contains(&name.as_str()) {
            let mut all = headers(&[("saddlerail-customer", b"a"), ("saddlerail-deadline-ms", b"1")]);
            all.insert(HeaderName::from_bytes(name.as_bytes()).expect("a name"), HeaderValue::from_static("x"));
            let refusal = parsed("/v1/services/check", &all).expect_err("refused");
            prop_assert!(refusal.detail.contains(&name));
        }
    }
}
