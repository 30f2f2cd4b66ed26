//! Splits a stream of server-sent events into its events and decides whether its end is complete.
//!
//! The framing of a response says where its body ends, but not whether the upstream has sent all of it: a response
//! without a length or chunks ends with its connection, also when the upstream breaks off. A stream that ends
//! inside an event is therefore broken, whatever marks its end. The format is defined in the
//! [HTML standard](https://html.spec.whatwg.org/multipage/server-sent-events.html): lines end with CR LF, LF or CR, and an
//! empty line ends an event.
//!
//! ```
//! use orioleroute_wire::http1::body::Framing;
//! use orioleroute_wire::sse::{Broken, Splitter};
//!
//! let mut stream = Splitter::default();
//! stream.push(b"data: a\n\ndata: b");
//! assert_eq!(stream.next().unwrap().unwrap().bytes, "data: a\n\n");
//! stream.close(Framing::UntilClose);
//! assert_eq!(stream.next(), Err(Broken::InsideEvent { bytes: 7 }));
//! ```

use bytes::{Bytes, BytesMut};
use http::{HeaderMap, header};

use crate::http1::body::Framing;

/// The most bytes that a stream may send without a new event that has data.
pub const MAX_BYTES_BETWEEN_EVENTS: usize = 1 << 20;

/// The lines up to and including an empty line, or the comments after the last event of a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// The event as it was received.
    pub bytes: Bytes,
    /// The id, if it is a number.
    pub id: Option<u64>,
    /// Whether it has a data line. Receivers ignore blocks without data, such as comments that keep a
    /// connection open.
    pub has_data: bool,
}

/// Why a stream is broken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Broken {
    /// The stream ended between the first byte of an event and the empty line after it.
    #[error("ended inside an event, {bytes} bytes after the last one")]
    InsideEvent {
        /// The number of bytes after the last complete event.
        bytes: usize,
    },
    /// The stream ended before its first event, and either only the end of the connection marks that, or the stream that it
    /// resumes had begun another event.
    #[error("ended before the first event")]
    Empty,
    /// The stream sent more than [`MAX_BYTES_BETWEEN_EVENTS`] without a new event.
    #[error("no new event within {MAX_BYTES_BETWEEN_EVENTS} bytes")]
    NoEvent,
}

/// An incremental splitter for one stream.
///
/// Input is added with [`push`](Self::push) and [`close`](Self::close), and [`next`](Self::next) returns what can be
/// passed on. The search for the end of an event examines each byte once, however the input is split.
#[derive(Clone, Debug, Default)]
pub struct Splitter {
    input: BytesMut,
    /// How the end of the body was determined, once it has been reached.
    end: Option<Framing>,
    block: Block,
    /// Whether the last line ended with a CR alone.
    has_bare_cr: bool,
    /// Whether that CR was taken for the end of the line before the next byte was known.
    may_lf_follow: bool,
    /// The number of bytes received since the last event with data.
    bytes_since_event: usize,
    /// Whether an event with data has been received. Those of a stream that this one resumes show nothing about its end.
    has_event: bool,
    /// Whether the stream that this one resumes broke off inside an event, and no new event has been received since.
    is_event_due: bool,
    numbering: Numbering,
}

/// How far the block at the front of the input has been examined.
#[derive(Clone, Copy, Debug, Default)]
struct Block {
    /// The number of bytes examined.
    length: usize,
    /// Whether the current line has a byte.
    is_in_line: bool,
    /// Whether a line that is not a comment has begun.
    has_field: bool,
}

/// How the ids of events are used.
#[derive(Clone, Copy, Debug, Default)]
enum Numbering {
    /// They are ignored.
    #[default]
    Ignored,
    /// They increase. An event up to the last one that was returned is a repetition.
    Increasing { last: Option<u64> },
}

impl Splitter {
    /// Returns a splitter for a stream with increasing ids that leaves out the events up to `last`, which an
    /// upstream may repeat when it resumes a stream.
    pub fn numbered(last: Option<u64>) -> Self {
        let numbering = Numbering::Increasing { last };
        Self { numbering, ..Self::default() }
    }

    /// Returns a splitter for a stream that resumes the one of `self` after the event `last`. It does not end before the event
    /// that had begun there.
    pub fn resumed(&self, last: Option<u64>) -> Self {
        let is_inside_event = self.block.has_field || self.block.is_in_line;
        let is_event_due = self.is_event_due || is_inside_event;
        Self { is_event_due, ..Self::numbered(last) }
    }

    /// Adds received data.
    pub fn push(&mut self, data: &[u8]) {
        self.input.extend_from_slice(data);
        self.bytes_since_event += data.len();
    }

    /// Returns how many bytes have been added and not passed on.
    pub fn buffered(&self) -> usize {
        self.input.len()
    }

    /// Notes that the body of the response has ended, as its framing determines it.
    pub fn close(&mut self, framing: Framing) {
        self.end = Some(framing);
    }

    /// Returns the next event, or `None` if more input is needed or the stream is complete.
    ///
    /// # Errors
    ///
    /// Fails if the stream is broken. The bytes of an incomplete event are never returned.
    #[allow(clippy::should_implement_trait, reason = "an error does not end an iteration")]
    pub fn next(&mut self) -> Result<Option<Event>, Broken> {
        while let Some(length) = self.complete_length() {
            let bytes = self.input.split_to(length).freeze();
            let event = Event { id: id(&bytes), has_data: data(&bytes).is_some(), bytes };
            self.has_event |= event.has_data;
            if self.is_repeated(&event) {
                continue;
            }
            if event.has_data {
                self.bytes_since_event = self.input.len();
                self.is_event_due = false;
            }
            return Ok(Some(event));
        }
        if self.bytes_since_event > MAX_BYTES_BETWEEN_EVENTS {
            return Err(Broken::NoEvent);
        }
        let Some(end) = self.end else { return Ok(None) };
        if self.input.is_empty() {
            let has_mark = end != Framing::UntilClose || self.has_event;
            let is_plausible = has_mark && !self.is_event_due;
            return if is_plausible { Ok(None) } else { Err(Broken::Empty) };
        }
        if self.block.has_field || self.block.is_in_line {
            return Err(Broken::InsideEvent { bytes: self.input.len() });
        }
        let bytes = self.input.split().freeze();
        self.block = Block::default();
        Ok(Some(Event { bytes, id: None, has_data: false }))
    }

    /// Examines the input up to the end of the first block and returns its length, if the block is complete.
    fn complete_length(&mut self) -> Option<usize> {
        while let Some(byte) = self.input.get(self.block.length) {
            let next = self.input.get(self.block.length + 1);
            let continues_line_end = std::mem::take(&mut self.may_lf_follow) && *byte == b'\n';
            let end_length = match (byte, next) {
                (b'\n', _) if continues_line_end => {
                    self.has_bare_cr = false;
                    self.block.length += 1;
                    continue;
                }
                (b'\n', _) => 1,
                (b'\r', Some(b'\n')) => 2,
                (b'\r', Some(_)) => 1,
                // Waiting for the LF would delay every event of a stream whose lines end with a CR.
                (b'\r', None) if self.has_bare_cr || self.end.is_some() => 1,
                (b'\r', None) => return None,
                (byte, _) => {
                    self.block.has_field |= !self.block.is_in_line && *byte != b':';
                    self.block.is_in_line = true;
                    self.block.length += 1;
                    continue;
                }
            };
            self.has_bare_cr = *byte == b'\r' && end_length == 1;
            self.may_lf_follow = self.has_bare_cr && next.is_none();
            self.block.length += end_length;
            if !std::mem::take(&mut self.block.is_in_line) {
                return Some(std::mem::take(&mut self.block).length);
            }
        }
        None
    }

    /// Returns whether an event was returned before, and notes it otherwise.
    fn is_repeated(&mut self, event: &Event) -> bool {
        match &mut self.numbering {
            Numbering::Increasing { last } if event.id.is_some() => {
                let is_repeated = event.id <= *last;
                *last = event.id.max(*last);
                is_repeated
            }
            _ => false,
        }
    }
}

/// Returns whether a response is a stream of server-sent events, by its media type.
pub fn is_stream(headers: &HeaderMap) -> bool {
    let content_type = headers.get(header::CONTENT_TYPE).and_then(|value| value.to_str().ok());
    let media_type = content_type.and_then(|value| value.split(';').next());
    media_type.is_some_and(|name| name.trim().eq_ignore_ascii_case("text/event-stream"))
}

/// Returns the value of the first data line of an event.
pub fn data(event: &[u8]) -> Option<&[u8]> {
    field(event, b"data")
}

fn id(event: &[u8]) -> Option<u64> {
    std::str::from_utf8(field(event, b"id")?).ok()?.trim().parse().ok()
}

/// Returns the value of the first line with this field name, without the space that may precede it.
fn field<'a>(event: &'a [u8], name: &[u8]) -> Option<&'a [u8]> {
    let mut lines = event.split(|byte| matches!(byte, b'\n' | b'\r'));
    lines.find_map(|line| {
        let rest = line.strip_prefix(name)?;
        match rest.strip_prefix(b":") {
            Some(value) => Some(value.strip_prefix(b" ").unwrap_or(value)),
            // A line without a colon is a field without a value.
            None => rest.is_empty().then_some(rest),
        }
    })
}
