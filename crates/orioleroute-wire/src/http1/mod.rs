//! HTTP/1.1 messages for the proxy, [`crate::client`] and [`crate::server`]: heads are parsed strictly, bodies
//! are forwarded as they arrive.
//!
//! [`head`] and [`body`] work on buffers and do no I/O, nor does [`observer`], which follows exchanges; [`socket`] fills the
//! buffers, and [`incoming`] reads responses. `docs/PLATFORM.md`, section "HTTP", gives the reasons.
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
pub mod incoming;
pub mod observer;
pub mod socket;

/// The reason why input is rejected as an HTTP/1.1 message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Malformed {
    /// The head violates the HTTP/1.1 grammar.
    #[error("the head does not follow the grammar")]
    Head,
    /// The status of a response has three digits and is none (RFC 9110, section 15).
    #[error("{0:03} is no status")]
    Status(u16),
    /// The head is longer than the limit, in bytes.
    #[error("the head is longer than {0} bytes")]
    HeadTooLarge(usize),
    /// The request does not have exactly one `Host` field, which HTTP/1.1 requires.
    #[error("a request needs exactly one host")]
    Host,
    /// The request target is not in origin form, a path with an optional query.
    #[error("the target is not a path")]
    Target,
    /// Both `Content-Length` and `Transfer-Encoding`, more than one length or an invalid one, or an
    /// unsupported transfer coding: recipients could disagree on where the message ends.
    #[error("the framing of the body is ambiguous")]
    Framing,
    /// The chunked body violates the HTTP/1.1 grammar.
    #[error("a chunk does not follow the grammar")]
    Chunk,
    /// The chunked body has much more framing than data.
    #[error("the body has too much framing")]
    TooMuchFraming,
}
