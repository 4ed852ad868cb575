//! What is the same request.

use quarantine::{Asked, Content};

const ASKED: Asked<'_> = Asked {
    method: "POST",
    host: "h.example",
    path: "/drafts/?n=1",
    customer: Some("quipu"),
    body: b"a body",
};

#[test]
fn each_part_counts_and_none_runs_into_the_next() {
    let others = [
        Asked { method: "PUT", ..ASKED },
        Asked { host: "h2.example", ..ASKED },
        Asked { path: "/drafts/?n=2", ..ASKED },
        Asked { path: "/drafts/?n=1q", customer: Some("uipu"), ..ASKED },
        Asked { customer: Some("other"), ..ASKED },
        Asked { customer: None, ..ASKED },
        Asked { customer: Some(""), ..ASKED },
        Asked { body: b"a body.", ..ASKED },
    ];

    let same = Content::of(&ASKED) == Content::of(&Asked { body: b"a body", ..ASKED });
    let contents: std::collections::HashSet<Content> =
        others.iter().chain([&ASKED]).map(Content::of).collect();

    assert!(same);
    assert_eq!(contents.len(), others.len() + 1);
}

#[test]
fn what_is_shown_or_told_is_read_again() {
    let content = Content::of(&ASKED);

    assert_eq!(Content::parse(&content.to_string()), Some(content));
    assert_eq!(Content::from_bytes(&content.bytes()), Some(content));
    assert_eq!(Content::parse("12"), None);
    assert_eq!(Content::from_bytes(&[0; 15]), None);
}
