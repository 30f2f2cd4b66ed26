//! Server-sent events, cut out of a stream whose parts may end anywhere.

use bytes::Bytes;

/// The ends that an event may have.
const ENDS: [&[u8]; 2] = [b"\n\n", b"\r\n\r\n"];

/// The longest event that is held back until it is whole, in bytes.
const EVENT_BYTES: usize = 1 << 20;

/// The beginning of the data of an event.
const DATA: &[u8] = b"data: ";

/// Passes on whole events only, and counts them.
///
/// A stream that is resumed goes on with the event after the last whole one, so that no part of an
/// event may reach the caller before the rest of it is there.
#[derive(Debug, Default)]
pub struct Events {
    tail: Vec<u8>,
    count: u64,
}

impl Events {
    /// Adds a part, and returns the events that are now whole.
    pub fn push(&mut self, part: Bytes) -> Bytes {
        let is_whole = ENDS.iter().any(|end| part.ends_with(end));
        let whole = match self.tail.is_empty() && is_whole {
            true => part,
            false => self.join(&part),
        };
        let lines = whole.split(|byte| *byte == b'\n');
        self.count += lines.filter(|line| line.starts_with(DATA)).count() as u64;
        whole
    }

    /// Returns how many events were whole so far.
    pub fn count(&self) -> u64 {
        self.count
    }

    /// Forgets the part of an event that a broken stream left behind.
    pub fn discard(&mut self) {
        self.tail.clear();
    }

    /// Returns what is left at the end of a stream.
    pub fn finish(&mut self) -> Bytes {
        std::mem::take(&mut self.tail).into()
    }

    fn join(&mut self, part: &[u8]) -> Bytes {
        self.tail.extend_from_slice(part);
        let length = match self.tail.len() > EVENT_BYTES {
            true => self.tail.len(),
            false => whole_length(&self.tail),
        };
        let rest = self.tail.split_off(length);
        std::mem::replace(&mut self.tail, rest).into()
    }
}

/// Returns how many bytes make up whole events.
fn whole_length(bytes: &[u8]) -> usize {
    let lengths = ENDS.map(|end| {
        let start = bytes.windows(end.len()).rposition(|window| window == end);
        start.map_or(0, |start| start + end.len())
    });
    lengths.into_iter().max().unwrap_or(0)
}

/// Returns the data of the first of some events.
pub fn first_data(events: &[u8]) -> &[u8] {
    let data = events.strip_prefix(DATA).unwrap_or(events);
    let end = data.iter().position(|byte| *byte == b'\n').unwrap_or(data.len());
    &data[..end]
}
