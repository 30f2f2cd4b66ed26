//! Parses server-sent events, as far as relaying them needs it.

use http::{HeaderMap, header};

/// Returns whether a response is a stream of server-sent events.
pub fn is_event_stream(headers: &HeaderMap) -> bool {
    let content_type = headers.get(header::CONTENT_TYPE).and_then(|value| value.to_str().ok());
    content_type.is_some_and(|content_type| content_type.starts_with("text/event-stream"))
}

/// Returns the length in bytes of the first complete event, including its terminating empty line.
pub fn event_length(input: &[u8]) -> Option<usize> {
    let lf_end = input.windows(2).position(|window| window == b"\n\n").map(|start| start + 2);
    let crlf_end = input.windows(4).position(|window| window == b"\r\n\r\n").map(|start| start + 4);
    match (lf_end, crlf_end) {
        (Some(lf_end), Some(crlf_end)) => Some(lf_end.min(crlf_end)),
        (lf_end, crlf_end) => lf_end.or(crlf_end),
    }
}

/// Returns the id of an event, if it has a numeric one.
pub fn event_id(event: &[u8]) -> Option<u64> {
    let mut lines = event.split(|byte| *byte == b'\n');
    let value = lines.find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}
