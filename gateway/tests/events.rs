//! `EventSplitter` yields complete events of an event stream, wherever the bytes are divided into
//! chunks.

use gateway::events::EventSplitter;

/// Three events with both kinds of line endings, one with an unknown field before its ID.
const STREAM: &[u8] =
    b"id: 1\ndata: a\n\nweight-versions: 2\nid: 2\ndata: b\n\nid: 3\r\ndata: c\r\n\r\n";

#[test]
fn events_are_complete_for_every_chunk_boundary() {
    for boundary in 0..STREAM.len() {
        let mut splitter = EventSplitter::default();
        let mut events = Vec::new();
        for chunk in [&STREAM[..boundary], &STREAM[boundary..]] {
            splitter.push(chunk);
            events.extend(std::iter::from_fn(|| splitter.next_event()));
        }

        let ids: Vec<Option<u64>> = events.iter().map(|event| event.id).collect();
        let bytes: Vec<u8> = events.iter().flat_map(|event| event.bytes.to_vec()).collect();
        assert_eq!(ids, [Some(1), Some(2), Some(3)], "chunk boundary at byte {boundary}");
        assert_eq!(bytes, STREAM, "chunk boundary at byte {boundary}");
        assert!(!splitter.has_incomplete_event());
    }
}

#[test]
fn an_incomplete_event_stays_in_the_splitter() {
    let mut splitter = EventSplitter::default();
    splitter.push(b"id: 1\ndata: a\n\nid: 2\nda");

    assert!(splitter.next_event().is_some());
    assert!(splitter.next_event().is_none());
    assert!(splitter.has_incomplete_event());
}

#[test]
fn events_are_complete_when_each_byte_arrives_alone() {
    let mut splitter = EventSplitter::default();

    let mut events = Vec::new();
    for byte in STREAM {
        splitter.push(&[*byte]);
        events.extend(splitter.next_event());
    }

    let bytes: Vec<u8> = events.iter().flat_map(|event| event.bytes.to_vec()).collect();
    assert_eq!((events.len(), bytes.as_slice()), (3, STREAM));
}
