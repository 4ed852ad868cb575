//! Which submissions count as the same request, and the encodings of a digest.

use quarantine::{RequestDigest, RequestParts};

const PARTS: RequestParts<'_> = RequestParts {
    method: "POST",
    host: "h.example",
    path: "/drafts/?n=1",
    customer: Some("quipu"),
    body: b"a body",
};

#[test]
fn every_part_changes_the_digest() {
    let others = [
        RequestParts { method: "PUT", ..PARTS },
        RequestParts { host: "h2.example", ..PARTS },
        RequestParts { path: "/drafts/?n=2", ..PARTS },
        RequestParts { path: "/drafts/?n=1q", customer: Some("uipu"), ..PARTS },
        RequestParts { customer: Some("other"), ..PARTS },
        RequestParts { customer: None, ..PARTS },
        RequestParts { customer: Some(""), ..PARTS },
        RequestParts { body: b"a body.", ..PARTS },
    ];

    let same =
        RequestDigest::of(&PARTS) == RequestDigest::of(&RequestParts { body: b"a body", ..PARTS });
    let digests: std::collections::HashSet<RequestDigest> =
        others.iter().chain([&PARTS]).map(RequestDigest::of).collect();

    assert!(same);
    assert_eq!(digests.len(), others.len() + 1);
}

#[test]
fn digest_round_trips_through_text_and_bytes() {
    let digest = RequestDigest::of(&PARTS);

    assert_eq!(RequestDigest::parse(&digest.to_string()), Some(digest));
    assert_eq!(RequestDigest::from_bytes(&digest.to_bytes()), Some(digest));
    assert_eq!(RequestDigest::parse("12"), None);
    assert_eq!(RequestDigest::from_bytes(&[0; 15]), None);
}
