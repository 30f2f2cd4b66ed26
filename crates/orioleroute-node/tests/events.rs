//! Splitting streams of server-sent events.

#[path = "../src/events.rs"]
mod events;

use bytes::Bytes;
use events::{EventSplitter, first_data};
use rstest::rstest;

#[rstest]
#[case::whole(&["data: a\n\n", "data: b\n\n"], &["data: a\n\n", "data: b\n\n"], 2)]
#[case::two_at_once(&["data: a\n\ndata: b\n\n"], &["data: a\n\ndata: b\n\n"], 2)]
#[case::split(&["da", "ta: a\n", "\ndata: b"], &["", "", "data: a\n\n"], 1)]
#[case::carriage_returns(&["data: a\r\n\r\nda"], &["data: a\r\n\r\n"], 1)]
#[case::data_within_data(&["data: the data: b\n\n"], &["data: the data: b\n\n"], 1)]
#[case::comment(&[": wait\n\n"], &[": wait\n\n"], 0)]
fn only_complete_events_are_passed_on(
    #[case] parts: &[&'static str],
    #[case] expected: &[&str],
    #[case] count: u64,
) {
    let mut events = EventSplitter::default();

    let passed: Vec<Bytes> =
        parts.iter().map(|part| events.push(Bytes::from_static(part.as_bytes()))).collect();

    assert_eq!(passed, expected);
    assert_eq!(events.count(), count);
}

#[test]
fn a_discarded_partial_event_is_not_returned() {
    let mut events = EventSplitter::default();
    events.push(Bytes::from_static(b"data: a\n\ndata: b"));

    events.discard();

    assert_eq!(events.push(Bytes::from_static(b"data: b\n\n")), "data: b\n\n");
    assert!(events.finish().is_empty());
}

#[test]
fn first_data_excludes_later_events() {
    assert_eq!(first_data(b"data: a\n\ndata: b\n\n"), b"a");
}
