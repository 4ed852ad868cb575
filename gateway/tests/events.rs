//! A stream is split into whole events, however its bytes come.

use gateway::events::EventSplitter;

const STREAM: &[u8] =
    b"id: 1\ndata: a\n\nweight-versions: 2\nid: 2\ndata: b\n\nid: 3\r\ndata: c\r\n\r\n";

#[test]
fn whole_events_come_out_wherever_the_bytes_are_cut() {
    for cut in 0..STREAM.len() {
        let mut splitter = EventSplitter::default();
        let mut events = Vec::new();
        for part in [&STREAM[..cut], &STREAM[cut..]] {
            splitter.push(part);
            events.extend(std::iter::from_fn(|| splitter.next_event()));
        }

        let ids: Vec<Option<u64>> = events.iter().map(|event| event.id).collect();
        let bytes: Vec<u8> = events.iter().flat_map(|event| event.bytes.to_vec()).collect();
        assert_eq!(ids, [Some(1), Some(2), Some(3)], "cut at {cut}");
        assert_eq!(bytes, STREAM, "cut at {cut}");
        assert!(!splitter.has_incomplete_event());
    }
}

#[test]
fn an_incomplete_event_stays_in_the_buffer() {
    let mut splitter = EventSplitter::default();
    splitter.push(b"id: 1\ndata: a\n\nid: 2\nda");

    assert!(splitter.next_event().is_some());
    assert!(splitter.next_event().is_none());
    assert!(splitter.has_incomplete_event());
}
