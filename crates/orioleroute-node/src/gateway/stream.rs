//! Streams of events, as far as passing them on needs to know them.

use http::{HeaderMap, header};

/// Returns whether an answer is a stream of events.
pub fn is_event_stream(headers: &HeaderMap) -> bool {
    let media = headers.get(header::CONTENT_TYPE).and_then(|value| value.to_str().ok());
    media.is_some_and(|media| media.starts_with("text/event-stream"))
}

/// Returns the length of the first whole event, its empty line included.
pub fn event_length(input: &[u8]) -> Option<usize> {
    let end = input.windows(2).position(|pair| pair == b"\n\n").map(|start| start + 2);
    let end_crlf = input.windows(4).position(|four| four == b"\r\n\r\n").map(|start| start + 4);
    match (end, end_crlf) {
        (Some(end), Some(end_crlf)) => Some(end.min(end_crlf)),
        (end, end_crlf) => end.or(end_crlf),
    }
}

/// Returns the number of an event, if it has one.
pub fn event_id(event: &[u8]) -> Option<u64> {
    let mut lines = event.split(|byte| *byte == b'\n');
    let value = lines.find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}
