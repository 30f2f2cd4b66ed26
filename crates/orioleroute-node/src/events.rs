//! Splits a stream of server-sent events, whose chunks may end anywhere, at event boundaries.

use bytes::Bytes;

/// The byte sequences that may end an event.
const DELIMITERS: [&[u8]; 2] = [b"\n\n", b"\r\n\r\n"];

/// The largest event that is buffered until it is complete, in bytes; a larger one is passed on in
/// parts.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// The prefix of the data line of an event.
const DATA_PREFIX: &[u8] = b"data: ";

/// Buffers incomplete events, so that only complete ones are passed on, and counts these.
///
/// A resumed stream continues with the event after the last complete one. If a part of an event had
/// already reached the caller, that event would be corrupted.
#[derive(Debug, Default)]
pub struct EventSplitter {
    partial: Vec<u8>,
    count: u64,
}

impl EventSplitter {
    /// Adds a chunk and returns the events that are now complete.
    pub fn push(&mut self, chunk: Bytes) -> Bytes {
        let is_complete = DELIMITERS.iter().any(|delimiter| chunk.ends_with(delimiter));
        let complete = match self.partial.is_empty() && is_complete {
            true => chunk,
            false => self.buffer(&chunk),
        };
        let lines = complete.split(|byte| *byte == b'\n');
        self.count += lines.filter(|line| line.starts_with(DATA_PREFIX)).count() as u64;
        complete
    }

    /// Returns the number of complete events with data so far.
    pub fn count(&self) -> u64 {
        self.count
    }

    /// Discards the incomplete event at the end of a broken stream.
    pub fn discard(&mut self) {
        self.partial.clear();
    }

    /// Returns the bytes that remain after the last complete event, at the end of a stream.
    pub fn finish(&mut self) -> Bytes {
        std::mem::take(&mut self.partial).into()
    }

    fn buffer(&mut self, chunk: &[u8]) -> Bytes {
        self.partial.extend_from_slice(chunk);
        let length = match self.partial.len() > MAX_EVENT_BYTES {
            true => self.partial.len(),
            false => complete_length(&self.partial),
        };
        let rest = self.partial.split_off(length);
        std::mem::replace(&mut self.partial, rest).into()
    }
}

/// Returns the length of the complete events at the start of some bytes.
fn complete_length(bytes: &[u8]) -> usize {
    let lengths = DELIMITERS.map(|delimiter| {
        let start = bytes.windows(delimiter.len()).rposition(|window| window == delimiter);
        start.map_or(0, |start| start + delimiter.len())
    });
    lengths.into_iter().max().unwrap_or(0)
}

/// Returns the first data line of the first of some events, without its prefix.
pub fn first_data(events: &[u8]) -> &[u8] {
    let data = events.strip_prefix(DATA_PREFIX).unwrap_or(events);
    let end = data.iter().position(|byte| *byte == b'\n').unwrap_or(data.len());
    &data[..end]
}
