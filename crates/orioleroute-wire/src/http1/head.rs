//! Parses and writes the heads of requests and responses.

use bytes::BytesMut;
use http::{HeaderMap, HeaderName, HeaderValue, Method, StatusCode, header};

use super::Malformed;
use super::body::Framing;

/// The maximum number of header fields of one message.
const MAX_FIELDS: usize = 64;

/// The first number above all statuses (RFC 9110, section 15).
const END_OF_STATUSES: u16 = 600;

/// The head of a request.
#[derive(Clone, Debug)]
pub struct Request {
    /// The method.
    pub method: Method,
    /// The path and query, byte for byte as the client sent them.
    pub target: String,
    /// The header fields.
    pub headers: HeaderMap,
    /// How the length of the body is determined.
    pub framing: Framing,
    /// Whether the client keeps the connection open after the response.
    pub keeps_alive: bool,
}

impl Request {
    /// Parses a request head and removes it from the front of `input`. Returns `None` while the head
    /// is incomplete.
    ///
    /// # Errors
    ///
    /// Fails if the head is malformed, is longer than `limit` bytes, or has ambiguous framing.
    pub fn parse(input: &mut BytesMut, limit: usize) -> Result<Option<Self>, Malformed> {
        let mut fields = [httparse::EMPTY_HEADER; MAX_FIELDS];
        let mut parsed = httparse::Request::new(&mut fields);
        let length = match parsed.parse(input) {
            Ok(httparse::Status::Complete(length)) if length <= limit => length,
            Ok(httparse::Status::Partial) if input.len() <= limit => return Ok(None),
            Ok(_) | Err(httparse::Error::TooManyHeaders) => {
                return Err(Malformed::HeadTooLarge(limit));
            }
            Err(_) => return Err(Malformed::Head),
        };
        let method = parsed.method.and_then(|name| name.parse().ok()).ok_or(Malformed::Head)?;
        let target = parsed.path.unwrap_or_default().to_owned();
        let is_http11 = parsed.version == Some(1);
        let headers = to_header_map(parsed.headers)?;
        if !target.starts_with('/') {
            return Err(Malformed::Target);
        }
        if headers.get_all(header::HOST).iter().count() != 1 {
            return Err(Malformed::Host);
        }
        let framing = Framing::of_request(&headers, is_http11)?;
        let keeps_alive = is_http11 && !has_token(&headers, header::CONNECTION, "close");
        let _ = input.split_to(length);
        Ok(Some(Self { method, target, headers, framing, keeps_alive }))
    }

    /// Returns the path without the query.
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    /// Returns the first value of a query parameter, without percent decoding.
    pub fn query_parameter(&self, name: &str) -> Option<&str> {
        let query = self.target.split_once('?')?.1;
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
    }

    /// Returns whether the client waits for `100 Continue` before it sends the body.
    pub fn expects_continue(&self) -> bool {
        has_token(&self.headers, header::EXPECT, "100-continue")
    }
}

/// The head of a response.
#[derive(Clone, Debug)]
pub struct Response {
    /// The status.
    pub status: StatusCode,
    /// The header fields.
    pub headers: HeaderMap,
    /// How the length of the body is determined.
    pub framing: Framing,
    /// Whether the server keeps the connection open after the response.
    pub keeps_alive: bool,
}

impl Response {
    /// Parses the head of the final response to a `method` request and removes it from the front of
    /// `input`. Returns `None` while the head is incomplete. Interim (1xx) responses are skipped.
    ///
    /// # Errors
    ///
    /// Fails if the head is malformed, is longer than `limit` bytes, has ambiguous framing or a status outside of 100 to 599,
    /// and if the server switches protocols.
    pub fn parse(
        input: &mut BytesMut,
        method: &Method,
        limit: usize,
    ) -> Result<Option<Self>, Malformed> {
        loop {
            let Some(response) = Self::parse_any(input, method, limit)? else { return Ok(None) };
            if !response.status.is_informational() {
                return Ok(Some(response));
            }
            if response.status == StatusCode::SWITCHING_PROTOCOLS {
                return Err(Malformed::Head);
            }
        }
    }

    fn parse_any(
        input: &mut BytesMut,
        method: &Method,
        limit: usize,
    ) -> Result<Option<Self>, Malformed> {
        let mut fields = [httparse::EMPTY_HEADER; MAX_FIELDS];
        let mut parsed = httparse::Response::new(&mut fields);
        let length = match parsed.parse(input) {
            Ok(httparse::Status::Complete(length)) if length <= limit => length,
            Ok(httparse::Status::Partial) if input.len() <= limit => return Ok(None),
            Ok(_) => return Err(Malformed::HeadTooLarge(limit)),
            Err(_) => return Err(Malformed::Head),
        };
        let status = parse_status(parsed.code.unwrap_or_default())?;
        let is_http11 = parsed.version == Some(1);
        let headers = to_header_map(parsed.headers)?;
        let framing = Framing::of_response(method, status, &headers)?;
        let keeps_alive = is_http11
            && framing != Framing::UntilClose
            && !has_token(&headers, header::CONNECTION, "close");
        let _ = input.split_to(length);
        Ok(Some(Self { status, headers, framing, keeps_alive }))
    }
}

/// Returns a status. What a number outside of 100 to 599 means, and whether its request has run, is not defined.
fn parse_status(number: u16) -> Result<StatusCode, Malformed> {
    match StatusCode::from_u16(number) {
        Ok(status) if number < END_OF_STATUSES => Ok(status),
        Ok(_) | Err(_) => Err(Malformed::Status(number)),
    }
}

/// Appends the request line and the header fields, without the empty line that ends the head.
pub fn write_request(output: &mut Vec<u8>, method: &Method, target: &str, headers: &HeaderMap) {
    output.extend_from_slice(method.as_str().as_bytes());
    output.push(b' ');
    output.extend_from_slice(target.as_bytes());
    output.extend_from_slice(b" HTTP/1.1\r\n");
    write_fields(output, headers);
}

/// Appends the status line and the header fields, without the empty line that ends the head.
pub fn write_response(output: &mut Vec<u8>, status: StatusCode, headers: &HeaderMap) {
    let reason = status.canonical_reason().unwrap_or("Unknown");
    output.extend_from_slice(b"HTTP/1.1 ");
    output.extend_from_slice(status.as_str().as_bytes());
    output.push(b' ');
    output.extend_from_slice(reason.as_bytes());
    output.extend_from_slice(b"\r\n");
    write_fields(output, headers);
}

/// Appends one header field.
pub fn write_field(output: &mut Vec<u8>, name: &str, value: impl AsRef<[u8]>) {
    output.extend_from_slice(name.as_bytes());
    output.extend_from_slice(b": ");
    output.extend_from_slice(value.as_ref());
    output.extend_from_slice(b"\r\n");
}

/// Removes the hop-by-hop fields (RFC 9110, section 7.6.1) and the framing fields, which are written
/// anew for each connection.
pub fn strip_connection_fields(headers: &mut HeaderMap) {
    let listed: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in listed {
        headers.remove(name);
    }
    let fields = [
        header::CONNECTION,
        header::TRANSFER_ENCODING,
        header::CONTENT_LENGTH,
        header::TE,
        header::TRAILER,
        header::UPGRADE,
        header::EXPECT,
        header::PROXY_AUTHENTICATE,
        header::PROXY_AUTHORIZATION,
        HeaderName::from_static("keep-alive"),
        HeaderName::from_static("proxy-connection"),
    ];
    for name in fields {
        headers.remove(name);
    }
}

/// Returns whether the comma-separated list in field `name` contains `token`, ignoring case.
pub fn has_token(headers: &HeaderMap, name: HeaderName, token: &str) -> bool {
    let values = headers.get_all(name);
    let mut texts = values.iter().filter_map(|value| value.to_str().ok());
    texts.any(|text| text.split(',').any(|part| part.trim().eq_ignore_ascii_case(token)))
}

fn write_fields(output: &mut Vec<u8>, headers: &HeaderMap) {
    for (name, value) in headers {
        write_field(output, name.as_str(), value.as_bytes());
    }
}

fn to_header_map(fields: &[httparse::Header<'_>]) -> Result<HeaderMap, Malformed> {
    let mut headers = HeaderMap::with_capacity(fields.len());
    for field in fields {
        let name = HeaderName::from_bytes(field.name.as_bytes()).map_err(|_| Malformed::Head)?;
        let value = HeaderValue::from_bytes(field.value).map_err(|_| Malformed::Head)?;
        headers.append(name, value);
    }
    Ok(headers)
}
