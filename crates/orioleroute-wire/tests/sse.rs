//! Splitting streams of server-sent events: which events are passed on, and whether the end is complete.
//!
//! Guards against streams that are broken off and passed on as complete, with a part of an event.

use http::{HeaderMap, HeaderValue};
use orioleroute_wire::http1::body::Framing;
use orioleroute_wire::sse::{self, Broken, Event, MAX_BYTES_BETWEEN_EVENTS, Splitter};
use proptest::prelude::*;
use rstest::rstest;

/// What a stream is split into: the text that is passed on, and why it is broken.
#[derive(Debug, PartialEq, Eq)]
struct Split {
    passed_on: Vec<String>,
    broken: Option<Broken>,
}

fn split(splitter: Splitter, parts: &[&[u8]], end: Option<Framing>) -> Split {
    let mut splitter = splitter;
    let mut passed_on = Vec::new();
    let mut take = |splitter: &mut Splitter| loop {
        match splitter.next() {
            Ok(Some(event)) => passed_on.push(text(&event)),
            Ok(None) => return None,
            Err(broken) => return Some(broken),
        }
    };
    for part in parts {
        splitter.push(part);
        if let Some(broken) = take(&mut splitter) {
            return Split { passed_on, broken: Some(broken) };
        }
    }
    let broken = end.and_then(|framing| {
        splitter.close(framing);
        take(&mut splitter)
    });
    Split { passed_on, broken }
}

fn text(event: &Event) -> String {
    String::from_utf8_lossy(&event.bytes).into_owned()
}

#[rstest]
#[case::one_event(&["data: a\n\n"], &["data: a\n\n"], 1)]
#[case::two_in_turn(&["data: a\n\n", "data: b\n\n"], &["data: a\n\n", "data: b\n\n"], 2)]
#[case::two_at_once(&["data: a\n\ndata: b\n\n"], &["data: a\n\n", "data: b\n\n"], 2)]
#[case::split(&["da", "ta: a\n", "\ndata: b"], &["data: a\n\n"], 1)]
#[case::with_carriage_returns(&["data: a\r\n\r\nda"], &["data: a\r\n\r\n"], 1)]
#[case::between_cr_and_lf(&["data: a\r\n\r", "\nda"], &["data: a\r\n\r\n"], 1)]
#[case::bare_carriage_returns(&["data: a\r\r"], &["data: a\r\r"], 1)]
#[case::mixed_line_ends(&["data: a\n\r\ndata: b\r\n\n"], &["data: a\n\r\n", "data: b\r\n\n"], 2)]
#[case::data_within_data(&["data: the data: b\n\n"], &["data: the data: b\n\n"], 1)]
#[case::two_lines_of_data(&["data: a\ndata: b\n\n"], &["data: a\ndata: b\n\n"], 1)]
#[case::comment(&[": wait\n\n"], &[": wait\n\n"], 0)]
#[case::retry(&["retry: 10\n\n"], &["retry: 10\n\n"], 0)]
fn only_complete_events_are_passed_on(
    #[case] parts: &[&str],
    #[case] expected: &[&str],
    #[case] with_data: usize,
) {
    let mut splitter = Splitter::default();

    let mut events = Vec::new();
    for part in parts {
        splitter.push(part.as_bytes());
        while let Some(event) = splitter.next().unwrap() {
            events.push(event);
        }
    }

    assert_eq!(events.iter().map(text).collect::<Vec<_>>(), expected);
    assert_eq!(events.iter().filter(|event| event.has_data).count(), with_data);
}

#[rstest]
#[case::the_first_line("data: a\ndata: b\n\n", Some("a"))]
#[case::without_a_space("id: 1\r\ndata:a\r\n\r\n", Some("a"))]
#[case::without_a_value("data\n\n", Some(""))]
#[case::another_field("database: a\n\n", None)]
fn the_data_of_an_event_is_its_first_data_line(
    #[case] event: &str,
    #[case] expected: Option<&str>,
) {
    assert_eq!(sse::data(event.as_bytes()), expected.map(str::as_bytes));
}

/// An event must not wait for the next one because its last line end could be continued.
#[test]
fn the_second_event_with_bare_carriage_returns_is_not_delayed() {
    let parts: [&[u8]; 2] = [b"data: a\r\r", b"data: b\r\r"];

    let split = split(Splitter::default(), &parts, None);

    assert_eq!(split.passed_on, ["data: a\r\r", "data: b\r\r"]);
}

#[rstest]
#[case::in_a_line("data: b", Some(Broken::InsideEvent { bytes: 7 }))]
#[case::after_a_line("data: b\n", Some(Broken::InsideEvent { bytes: 8 }))]
#[case::after_a_line_with_carriage_return("data: b\r\n", Some(Broken::InsideEvent { bytes: 9 }))]
#[case::in_a_comment(": b", Some(Broken::InsideEvent { bytes: 3 }))]
#[case::after_a_comment_and_a_line(": b\nid: 1\n", Some(Broken::InsideEvent { bytes: 10 }))]
#[case::after_a_comment(": b\n", None)]
#[case::in_the_last_line_end("data: b\r\n\r", None)]
#[case::after_an_event("data: b\n\n", None)]
fn the_end_of_a_stream_is_complete_only_between_events(
    #[case] rest: &str,
    #[case] broken: Option<Broken>,
    #[values(Framing::Chunked, Framing::Length(9), Framing::UntilClose)] framing: Framing,
) {
    let mut expected = vec!["data: a\n\n".to_owned()];
    expected.extend(broken.is_none().then(|| rest.to_owned()));

    let split = split(Splitter::default(), &[b"data: a\n\n", rest.as_bytes()], Some(framing));

    assert_eq!(split, Split { passed_on: expected, broken });
}

/// Where only the end of the connection marks the end, a stream without any event shows nothing that is complete.
#[rstest]
#[case::ends_with_its_connection(Framing::UntilClose, None, Some(Broken::Empty))]
#[case::resumes_after_the_last_event(Framing::UntilClose, Some(4), Some(Broken::Empty))]
#[case::ends_with_its_last_chunk(Framing::Chunked, None, None)]
fn a_stream_without_events_is_complete_if_it_says_so(
    #[case] framing: Framing,
    #[case] last: Option<u64>,
    #[case] broken: Option<Broken>,
) {
    let split = split(Splitter::numbered(last), &[], Some(framing));

    assert_eq!(split, Split { passed_on: Vec::new(), broken });
}

#[test]
fn events_that_a_resumed_stream_repeats_are_left_out() {
    let parts: [&[u8]; 1] = [b"id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 2\ndata: b\n\ndata: c\n\n"];

    let split = split(Splitter::numbered(Some(1)), &parts, Some(Framing::Chunked));

    assert_eq!(split.passed_on, ["id: 2\ndata: b\n\n", "data: c\n\n"]);
}

#[rstest]
#[case::one_line("data: aaaaaaaa", "")]
#[case::lines("data: aaaaaaaa\n", "")]
#[case::comments(": aaaaaaaa\n\n", "")]
#[case::fields_without_data("x: aaaaaaaa\n\n", "")]
#[case::repeated_events("id: 1\ndata: a\n\n", "id: 1\ndata: a\n\n")]
fn a_stream_without_new_events_is_broken_after_a_bound(#[case] unit: &str, #[case] first: &str) {
    let mut splitter = Splitter::numbered(None);
    splitter.push(first.as_bytes());
    let unit = unit.repeat(4_096 / unit.len());
    let mut sent = 0;

    let broken = loop {
        splitter.push(unit.as_bytes());
        sent += unit.len();
        assert!(sent <= 2 * MAX_BYTES_BETWEEN_EVENTS, "not broken after {sent} bytes");
        let mut event = splitter.next();
        while let Ok(Some(_)) = event {
            event = splitter.next();
        }
        if let Err(broken) = event {
            break broken;
        }
    };

    assert_eq!(broken, Broken::NoEvent);
}

#[rstest]
#[case("text/event-stream", true)]
#[case("Text/Event-Stream; charset=utf-8", true)]
#[case("text/event-streams", false)]
#[case("application/json", false)]
fn streams_are_recognized_by_their_media_type(#[case] content_type: &str, #[case] expected: bool) {
    let mut headers = HeaderMap::new();
    headers.insert("content-type", HeaderValue::from_str(content_type).unwrap());

    assert_eq!(sse::is_stream(&headers), expected);
}

/// An event as it is sent, by its lines and its kind of line end.
fn event() -> impl Strategy<Value = Vec<String>> {
    let line = prop_oneof!["data: [a-z:]{0,6}", "id: [0-9]{1,2}", ": [a-z]{0,4}", "retry: 5"];
    let end = prop_oneof![Just("\n"), Just("\r"), Just("\r\n")];
    (prop::collection::vec(line, 1..4), end).prop_map(|(lines, end)| {
        lines.into_iter().map(|line| line + end).chain([end.to_owned()]).collect()
    })
}

/// Returns how much of the first `cut` bytes of these events is complete, and whether the rest is inside an event. It is
/// found from the lines as they were generated, not by reading bytes.
fn complete_prefix(events: &[Vec<String>], cut: usize) -> (usize, bool) {
    let mut start = 0;
    for event in events {
        let mut end = start;
        let mut has_field = false;
        for line in event {
            // A CR ends a line, also if its LF is cut off.
            let is_whole =
                end + line.len() <= cut || (end + line.len() == cut + 1 && line.ends_with("\r\n"));
            if !is_whole {
                return match has_field || end < cut {
                    true => (start, true),
                    false => (cut, false),
                };
            }
            has_field |= !line.starts_with([':', '\r', '\n']);
            end = (end + line.len()).min(cut);
        }
        start = end;
    }
    (start, false)
}

proptest! {
    /// However a stream is split into reads and wherever it ends, its complete events are passed on unchanged, no byte
    /// of an incomplete one is, and the verdict is that of the whole.
    #[test]
    fn any_split_and_any_end_give_the_same_events_and_the_right_verdict(
        events in prop::collection::vec(event(), 1..6),
        cut in any::<prop::sample::Index>(),
        sizes in prop::collection::vec(1..7_usize, 1..12),
    ) {
        let whole: Vec<u8> = events.concat().concat().into_bytes();
        let cut = cut.index(whole.len() + 1);
        let mut rest = &whole[..cut];
        let mut parts = Vec::new();
        for size in sizes.iter().cycle() {
            if rest.is_empty() {
                break;
            }
            let (part, after) = rest.split_at((*size).min(rest.len()));
            parts.push(part);
            rest = after;
        }
        let (complete, is_inside) = complete_prefix(&events, cut);

        let split = split(Splitter::default(), &parts, Some(Framing::Chunked));

        prop_assert_eq!(split.passed_on.concat().into_bytes(), &whole[..complete]);
        prop_assert_eq!(
            split.broken.is_some(),
            is_inside,
            "{:?} of {:?}", String::from_utf8_lossy(&whole[..cut]), events
        );
    }
}

/// An upstream breaks off inside an event, and the one that resumes the stream ends before that event.
#[rstest]
#[case::nothing("", Some(Broken::Empty))]
#[case::a_repetition("id: 1\ndata: a\n\n", Some(Broken::Empty))]
#[case::the_event("id: 2\ndata: b\n\n", None)]
fn a_resumed_stream_does_not_end_before_an_event_that_had_begun(
    #[case] rest: &str,
    #[case] broken: Option<Broken>,
    #[values(Framing::Chunked, Framing::Length(9), Framing::UntilClose)] framing: Framing,
) {
    let mut first = Splitter::numbered(None);
    first.push(b"id: 1\ndata: a\n\nid: 2\nda");
    while let Ok(Some(_)) = first.next() {}

    let split = split(first.resumed(Some(1)), &[rest.as_bytes()], Some(framing));

    assert_eq!(split.broken, broken);
}
