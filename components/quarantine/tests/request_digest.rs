//! What is the same request.

use quarantine::{RequestDigest, RequestParts};

const ASKED: RequestParts<'_> = RequestParts {
    method: "POST",
    host: "h.example",
    path: "/drafts/?n=1",
    customer: Some("quipu"),
    body: b"a body",
};

#[test]
fn each_part_counts_and_none_runs_into_the_next() {
    let others = [
        RequestParts { method: "PUT", ..ASKED },
        RequestParts { host: "h2.example", ..ASKED },
        RequestParts { path: "/drafts/?n=2", ..ASKED },
        RequestParts { path: "/drafts/?n=1q", customer: Some("uipu"), ..ASKED },
        RequestParts { customer: Some("other"), ..ASKED },
        RequestParts { customer: None, ..ASKED },
        RequestParts { customer: Some(""), ..ASKED },
        RequestParts { body: b"a body.", ..ASKED },
    ];

    let same =
        RequestDigest::of(&ASKED) == RequestDigest::of(&RequestParts { body: b"a body", ..ASKED });
    let contents: std::collections::HashSet<RequestDigest> =
        others.iter().chain([&ASKED]).map(RequestDigest::of).collect();

    assert!(same);
    assert_eq!(contents.len(), others.len() + 1);
}

#[test]
fn what_is_shown_or_told_is_read_again() {
    let content = RequestDigest::of(&ASKED);

    assert_eq!(RequestDigest::parse(&content.to_string()), Some(content));
    assert_eq!(RequestDigest::from_bytes(&content.to_bytes()), Some(content));
    assert_eq!(RequestDigest::parse("12"), None);
    assert_eq!(RequestDigest::from_bytes(&[0; 15]), None);
}
