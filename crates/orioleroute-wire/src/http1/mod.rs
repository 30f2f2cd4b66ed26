//! HTTP/1.1 messages as they cross a proxy: heads parsed strictly, bodies passed on as they arrive.
//!
//! [`head`] and [`body`] work on buffers without input or output; [`socket`] fills the buffers. The
//! library's decoder in [`crate::server`] reads whole messages, accepts a length beside chunks and
//! holds streamed bodies back, so the proxy path does not use it: see `docs/PLATFORM.md`, section
//! "HTTP".
//!
//! ```
//! use bytes::BytesMut;
//! use orioleroute_wire::http1::head;
//!
//! let mut input = BytesMut::from("GET /a HTTP/1.1\r\nhost: b\r\n\r\nrest");
//! let request = head::Request::parse(&mut input, 1024).unwrap().unwrap();
//! assert_eq!(request.target, "/a");
//! assert_eq!(&input[..], b"rest");
//! ```

pub mod body;
pub mod head;
pub mod socket;

/// Why bytes are not an HTTP/1.1 message that this crate passes on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Malformed {
    /// The head does not follow the grammar.
    #[error("the head does not follow the grammar")]
    Head,
    /// The head is longer than allowed.
    #[error("the head is longer than {0} bytes")]
    HeadTooLarge(usize),
    /// HTTP/1.1 asks for exactly one host.
    #[error("a request needs exactly one host")]
    Host,
    /// The target of a request is not a path.
    #[error("the target is not a path")]
    Target,
    /// Both ways of framing at once, two lengths, or an unknown transfer coding: recipients could
    /// disagree on where the message ends.
    #[error("the framing of the body is ambiguous")]
    Framing,
    /// A chunked body does not follow the grammar.
    #[error("a chunk does not follow the grammar")]
    Chunk,
}
