//! Message body framing: determines where a body ends and decodes its data.

use bytes::{Buf, Bytes, BytesMut};
use http::{HeaderMap, Method, StatusCode, header};

use super::Malformed;

/// The maximum length of a chunk size line with its extensions, or of a trailer field, in bytes.
const MAX_LINE_BYTES: usize = 4_096;

/// The most bytes of trailer fields.
const MAX_TRAILER_BYTES: u64 = 32 << 10;

/// How many bytes of framing a chunked body may have for each byte of its data. A chunk with one byte has five.
const MAX_FRAMING_RATIO: u64 = 8;

/// How many bytes of framing it may have besides.
const FRAMING_ALLOWANCE: u64 = 16 << 10;

/// How the length of a body is determined.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Framing {
    /// The body has this many bytes.
    Length(u64),
    /// The body is chunked.
    Chunked,
    /// The body ends when the connection is closed.
    UntilClose,
}

impl Framing {
    /// Returns the framing of a request with these header fields.
    ///
    /// # Errors
    ///
    /// Fails with [`Malformed::Framing`] if recipients could disagree on where the request ends.
    pub fn of_request(headers: &HeaderMap, is_http11: bool) -> Result<Self, Malformed> {
        match (is_chunked(headers)?, content_length(headers)?) {
            (true, None) if is_http11 => Ok(Self::Chunked),
            (true, _) => Err(Malformed::Framing),
            (false, length) => Ok(Self::Length(length.unwrap_or(0))),
        }
    }

    /// Returns the framing of a response to a `method` request.
    ///
    /// # Errors
    ///
    /// Fails with [`Malformed::Framing`] if recipients could disagree on where the response ends.
    pub fn of_response(
        method: &Method,
        status: StatusCode,
        headers: &HeaderMap,
    ) -> Result<Self, Malformed> {
        let is_empty = method == Method::HEAD
            || status.is_informational()
            || matches!(status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED);
        if is_empty {
            return Ok(Self::Length(0));
        }
        match (is_chunked(headers)?, content_length(headers)?) {
            (true, None) => Ok(Self::Chunked),
            (true, Some(_)) => Err(Malformed::Framing),
            (false, Some(length)) => Ok(Self::Length(length)),
            (false, None) => Ok(Self::UntilClose),
        }
    }
}

/// An incremental decoder for one body.
///
/// The framing of a chunked body is bounded by its data, so that a peer cannot keep a reader busy with chunk
/// extensions or trailers that have no end.
#[derive(Clone, Debug)]
pub struct Decoder {
    state: State,
    data_bytes: u64,
    framing_bytes: u64,
    trailer_bytes: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Length(u64),
    UntilClose,
    ChunkSize,
    ChunkData(u64),
    ChunkEnd,
    Trailers,
    Done,
    Failed(Malformed),
}

impl Decoder {
    /// Creates a decoder for a body with this framing.
    pub fn new(framing: Framing) -> Self {
        let state = match framing {
            Framing::Length(0) => State::Done,
            Framing::Length(length) => State::Length(length),
            Framing::Chunked => State::ChunkSize,
            Framing::UntilClose => State::UntilClose,
        };
        Self { state, data_bytes: 0, framing_bytes: 0, trailer_bytes: 0 }
    }

    /// Returns whether the whole body has been decoded.
    pub fn is_done(&self) -> bool {
        self.state == State::Done
    }

    /// Handles an orderly end of the connection and returns whether the body is complete.
    pub fn finish(&mut self) -> bool {
        if self.state == State::UntilClose {
            self.state = State::Done;
        }
        self.is_done()
    }

    /// Decodes the next piece of data and removes it from the front of `input`. Returns `None` if more
    /// input is needed or the body is complete.
    ///
    /// # Errors
    ///
    /// Fails with [`Malformed::Chunk`] if the chunks are malformed, and with [`Malformed::TooMuchFraming`] if they
    /// have more framing than data warrants. It fails in the same way from then on.
    pub fn decode(&mut self, input: &mut BytesMut) -> Result<Option<Bytes>, Malformed> {
        let decoded = self.decode_next(input);
        if let Err(error) = decoded {
            self.state = State::Failed(error);
        }
        decoded
    }

    fn decode_next(&mut self, input: &mut BytesMut) -> Result<Option<Bytes>, Malformed> {
        loop {
            match self.state {
                State::Failed(error) => return Err(error),
                State::Done => return Ok(None),
                State::UntilClose => {
                    return Ok((!input.is_empty()).then(|| input.split().freeze()));
                }
                State::Length(left) => {
                    let Some(data) = take(input, left) else { return Ok(None) };
                    let left = left - data.len() as u64;
                    self.state = if left == 0 { State::Done } else { State::Length(left) };
                    return Ok(Some(data));
                }
                State::ChunkData(left) => {
                    let Some(data) = take(input, left) else { return Ok(None) };
                    self.data_bytes += data.len() as u64;
                    let left = left - data.len() as u64;
                    self.state = if left == 0 { State::ChunkEnd } else { State::ChunkData(left) };
                    return Ok(Some(data));
                }
                State::ChunkSize => {
                    let Some(line) = self.take_framing(input)? else { return Ok(None) };
                    self.state = match chunk_size(&line)? {
                        0 => State::Trailers,
                        size => State::ChunkData(size),
                    };
                }
                State::ChunkEnd => {
                    let Some(line) = self.take_framing(input)? else { return Ok(None) };
                    if !line.is_empty() {
                        return Err(Malformed::Chunk);
                    }
                    self.state = State::ChunkSize;
                }
                State::Trailers => {
                    let Some(line) = self.take_framing(input)? else { return Ok(None) };
                    self.trailer_bytes += line.len() as u64 + 2;
                    if self.trailer_bytes > MAX_TRAILER_BYTES {
                        return Err(Malformed::TooMuchFraming);
                    }
                    if line.is_empty() {
                        self.state = State::Done;
                    }
                }
            }
        }
    }

    /// Removes a line of framing from the front of `input`.
    fn take_framing(&mut self, input: &mut BytesMut) -> Result<Option<BytesMut>, Malformed> {
        let line = take_line(input)?;
        self.framing_bytes += line.as_ref().map_or(0, |line| line.len() as u64 + 2);
        let allowed = FRAMING_ALLOWANCE + MAX_TRAILER_BYTES + MAX_FRAMING_RATIO * self.data_bytes;
        match self.framing_bytes > allowed {
            true => Err(Malformed::TooMuchFraming),
            false => Ok(line),
        }
    }
}

/// Appends `data` as one chunk. Empty data is skipped, since an empty chunk would end the body.
pub fn write_chunk(output: &mut Vec<u8>, data: &[u8]) {
    if data.is_empty() {
        return;
    }
    output.extend_from_slice(format!("{:x}\r\n", data.len()).as_bytes());
    output.extend_from_slice(data);
    output.extend_from_slice(b"\r\n");
}

/// The last chunk of a chunked body without trailers.
pub const LAST_CHUNK: &[u8] = b"0\r\n\r\n";

fn take(input: &mut BytesMut, limit: u64) -> Option<Bytes> {
    let length = input.len().min(usize::try_from(limit).unwrap_or(usize::MAX));
    (length > 0).then(|| input.split_to(length).freeze())
}

/// Removes a line that ends with CR LF from the front of `input` and returns it without the CR LF. A
/// bare LF is malformed, since other recipients may not treat it as the end of the line.
fn take_line(input: &mut BytesMut) -> Result<Option<BytesMut>, Malformed> {
    let Some(end) = input.iter().position(|byte| *byte == b'\n') else {
        return if input.len() > MAX_LINE_BYTES { Err(Malformed::Chunk) } else { Ok(None) };
    };
    if end == 0 || input[end - 1] != b'\r' || end > MAX_LINE_BYTES {
        return Err(Malformed::Chunk);
    }
    let line = input.split_to(end - 1);
    input.advance(2);
    Ok(Some(line))
}

fn chunk_size(line: &[u8]) -> Result<u64, Malformed> {
    let digits = line.split(|byte| *byte == b';').next().unwrap_or_default();
    let digits = digits.trim_ascii_end();
    let is_hex = !digits.is_empty() && digits.iter().all(u8::is_ascii_hexdigit);
    let text = std::str::from_utf8(digits).ok().filter(|_| is_hex && digits.len() <= 15);
    text.and_then(|text| u64::from_str_radix(text, 16).ok()).ok_or(Malformed::Chunk)
}

fn is_chunked(headers: &HeaderMap) -> Result<bool, Malformed> {
    let mut codings = headers.get_all(header::TRANSFER_ENCODING).iter();
    match (codings.next(), codings.next()) {
        (None, _) => Ok(false),
        (Some(coding), None) if coding.as_bytes().eq_ignore_ascii_case(b"chunked") => Ok(true),
        _ => Err(Malformed::Framing),
    }
}

fn content_length(headers: &HeaderMap) -> Result<Option<u64>, Malformed> {
    let mut lengths = headers.get_all(header::CONTENT_LENGTH).iter();
    match (lengths.next(), lengths.next()) {
        (None, _) => Ok(None),
        (Some(length), None) => {
            let digits = length.as_bytes();
            let is_number = !digits.is_empty() && digits.iter().all(u8::is_ascii_digit);
            let text = length.to_str().ok().filter(|_| is_number);
            let length = text.and_then(|text| text.parse().ok());
            length.map(Some).ok_or(Malformed::Framing)
        }
        _ => Err(Malformed::Framing),
    }
}
