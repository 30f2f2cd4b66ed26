//! Tests of parsing heads and bodies: which messages are accepted or rejected, and that the result does
//! not depend on how the input is split into reads.

use bytes::{Bytes, BytesMut};
use http::{HeaderMap, Method, StatusCode};
use orioleroute_wire::http1::Malformed;
use orioleroute_wire::http1::body::{Decoder, Framing, LAST_CHUNK, write_chunk};
use orioleroute_wire::http1::head::{Request, Response, strip_connection_fields};
use proptest::prelude::*;
use rstest::rstest;

/// The maximum size of a head, in bytes.
const HEAD_LIMIT: usize = 4_096;

fn request(text: &str) -> Result<Option<Request>, Malformed> {
    Request::parse(&mut BytesMut::from(text), HEAD_LIMIT)
}

fn response(text: &str) -> Result<Option<Response>, Malformed> {
    Response::parse(&mut BytesMut::from(text), &Method::GET, HEAD_LIMIT)
}

/// Decodes a body that arrives in `pieces`. Returns its data, the remaining input, and whether the
/// body is complete.
fn decode(framing: Framing, pieces: &[&[u8]]) -> Result<(Vec<u8>, Vec<u8>, bool), Malformed> {
    let mut decoder = Decoder::new(framing);
    let mut input = BytesMut::new();
    let mut data = Vec::new();
    for piece in pieces {
        input.extend_from_slice(piece);
        while let Some(part) = decoder.decode(&mut input)? {
            data.extend_from_slice(&part);
        }
    }
    Ok((data, input.to_vec(), decoder.is_done()))
}

#[rstest]
#[case::length_and_chunks(
    "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n",
    Malformed::Framing
)]
#[case::two_lengths("Content-Length: 3\r\nContent-Length: 4\r\n", Malformed::Framing)]
#[case::same_length_twice("Content-Length: 3\r\nContent-Length: 3\r\n", Malformed::Framing)]
#[case::signed_length("Content-Length: +3\r\n", Malformed::Framing)]
#[case::list_of_lengths("Content-Length: 3, 3\r\n", Malformed::Framing)]
#[case::unknown_coding("Transfer-Encoding: gzip, chunked\r\n", Malformed::Framing)]
#[case::chunked_twice(
    "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
    Malformed::Framing
)]
#[case::second_host("Host: b\r\n", Malformed::Host)]
#[case::space_before_colon("Content-Length : 3\r\n", Malformed::Head)]
#[case::folded_field("X-A: b\r\n c\r\n", Malformed::Head)]
fn ambiguous_requests_are_rejected(#[case] fields: &str, #[case] expected: Malformed) {
    let parsed = request(&format!("POST / HTTP/1.1\r\nHost: a\r\n{fields}\r\n"));

    assert_eq!(parsed.err(), Some(expected));
}

#[rstest]
#[case::no_host("GET / HTTP/1.1\r\n\r\n", Malformed::Host)]
#[case::no_path("GET http://a/ HTTP/1.1\r\nHost: a\r\n\r\n", Malformed::Target)]
#[case::chunks_in_1_0(
    "POST / HTTP/1.0\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n",
    Malformed::Framing
)]
fn requests_without_host_path_or_valid_framing_are_rejected(
    #[case] text: &str,
    #[case] expected: Malformed,
) {
    let parsed = request(text);

    assert_eq!(parsed.err(), Some(expected));
}

#[test]
fn a_head_beyond_the_limit_is_rejected_before_it_is_complete() {
    let text = format!("GET / HTTP/1.1\r\nHost: a\r\nX-A: {}", "b".repeat(HEAD_LIMIT));

    let parsed = request(&text);

    assert_eq!(parsed.err(), Some(Malformed::HeadTooLarge(HEAD_LIMIT)));
}

#[test]
fn the_target_is_kept_byte_for_byte() {
    let parsed = request("GET /a%2Fb//c?x=%20&x HTTP/1.1\r\nHost: a\r\n\r\n").unwrap().unwrap();

    assert_eq!(parsed.target, "/a%2Fb//c?x=%20&x");
    assert_eq!(parsed.path(), "/a%2Fb//c");
}

#[rstest]
#[case::valid(b"3;name=value\r\nabc\r\n0\r\n\r\nrest", Ok((b"abc".to_vec(), b"rest".to_vec(), true)))]
#[case::trailers(b"1\r\na\r\n0\r\nX-A: b\r\n\r\n", Ok((b"a".to_vec(), vec![], true)))]
#[case::incomplete(b"3\r\nab", Ok((b"ab".to_vec(), vec![], false)))]
#[case::bare_line_feed(b"3\nabc\r\n0\r\n\r\n", Err(Malformed::Chunk))]
#[case::longer_than_declared(b"3\r\nabcd\r\n0\r\n\r\n", Err(Malformed::Chunk))]
#[case::signed_size(b"+3\r\nabc\r\n0\r\n\r\n", Err(Malformed::Chunk))]
#[case::no_size(b"\r\nabc\r\n", Err(Malformed::Chunk))]
#[case::size_overflow(b"ffffffffffffffffff\r\n", Err(Malformed::Chunk))]
fn chunks_follow_the_grammar(
    #[case] input: &[u8],
    #[case] expected: Result<(Vec<u8>, Vec<u8>, bool), Malformed>,
) {
    let decoded = decode(Framing::Chunked, &[input]);

    assert_eq!(decoded, expected);
}

#[test]
fn bytes_after_a_body_are_left_for_the_next_message() {
    let decoded = decode(Framing::Length(3), &[b"abcGET /"]).unwrap();

    assert_eq!(decoded, (b"abc".to_vec(), b"GET /".to_vec(), true));
}

#[test]
fn a_body_without_length_is_complete_only_at_an_orderly_end() {
    let mut decoder = Decoder::new(Framing::UntilClose);
    let mut input = BytesMut::from("abc");

    let data = decoder.decode(&mut input).unwrap();

    assert_eq!(data, Some(Bytes::from("abc")));
    assert!(!decoder.is_done());
    assert!(decoder.finish());
}

#[test]
fn an_early_end_is_not_the_end_of_a_body_with_a_length() {
    let mut decoder = Decoder::new(Framing::Length(4));
    decoder.decode(&mut BytesMut::from("abc")).unwrap();

    assert!(!decoder.finish());
}

#[test]
fn interim_responses_are_skipped() {
    let text =
        "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx";

    let parsed = response(text).unwrap().unwrap();

    assert_eq!((parsed.status, parsed.framing), (StatusCode::OK, Framing::Length(1)));
}

#[rstest]
#[case::no_protocol("hello\r\n\r\n")]
#[case::both_framings("HTTP/1.1 200 OK\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n")]
#[case::switching_protocols("HTTP/1.1 101 Switching Protocols\r\n\r\n")]
fn invalid_responses_are_rejected(#[case] text: &str) {
    assert!(response(text).is_err());
}

#[rstest]
#[case::below(0)]
#[case::just_below(99)]
#[case::just_above(600)]
#[case::above(999)]
fn a_response_with_a_status_that_is_none_is_rejected(#[case] status: u16) {
    let rejected = response(&format!("HTTP/1.1 {status:03} OK\r\nContent-Length: 0\r\n\r\n"));

    assert_eq!(rejected.unwrap_err(), Malformed::Status(status));
}

#[rstest]
#[case::lowest_final(200)]
#[case::unknown_success(299)]
#[case::unknown_refusal(499)]
#[case::highest(599)]
fn a_response_with_any_final_status_is_accepted(#[case] status: u16) {
    let parsed = response(&format!("HTTP/1.1 {status} OK\r\nContent-Length: 0\r\n\r\n"));

    assert_eq!(parsed.unwrap().unwrap().status.as_u16(), status);
}

#[test]
fn hop_by_hop_fields_are_not_forwarded() {
    let mut headers = HeaderMap::new();
    for (name, value) in [
        ("connection", "x-hop, close"),
        ("x-hop", "1"),
        ("keep-alive", "timeout=5"),
        ("x-end", "2"),
    ] {
        headers.insert(name, value.parse().unwrap());
    }

    strip_connection_fields(&mut headers);

    assert_eq!(headers.keys().map(|name| name.as_str()).collect::<Vec<_>>(), ["x-end"]);
}

/// Splits `bytes` at the given points, in order of position.
fn split<'a>(bytes: &'a [u8], points: &[prop::sample::Index]) -> Vec<&'a [u8]> {
    let mut ends: Vec<usize> = points.iter().map(|point| point.index(bytes.len() + 1)).collect();
    ends.push(bytes.len());
    ends.sort_unstable();
    let starts = std::iter::once(0).chain(ends.iter().copied());
    starts.zip(ends.iter()).map(|(start, end)| &bytes[start..*end]).collect()
}

proptest! {
    #[test]
    fn decoding_chunks_does_not_depend_on_splits(
        chunks in prop::collection::vec(prop::collection::vec(any::<u8>(), 1..200), 0..6),
        points in prop::collection::vec(any::<prop::sample::Index>(), 0..12),
    ) {
        let mut encoded = Vec::new();
        chunks.iter().for_each(|chunk| write_chunk(&mut encoded, chunk));
        encoded.extend_from_slice(LAST_CHUNK);
        encoded.extend_from_slice(b"next");

        let decoded = decode(Framing::Chunked, &split(&encoded, &points));

        prop_assert_eq!(decoded, Ok((chunks.concat(), b"next".to_vec(), true)));
    }

    #[test]
    fn decoding_arbitrary_input_does_not_depend_on_splits(
        bytes in prop::collection::vec(prop::sample::select(b"0123af;\r\n xyz".to_vec()), 0..60),
        points in prop::collection::vec(any::<prop::sample::Index>(), 0..12),
    ) {
        let whole = decode(Framing::Chunked, &[&bytes]);
        let split = decode(Framing::Chunked, &split(&bytes, &points));

        prop_assert_eq!(whole.is_err(), split.is_err());
        if let (Ok(whole), Ok(split)) = (whole, split) {
            prop_assert_eq!(whole, split);
        }
    }

    #[test]
    fn heads_of_any_bytes_never_panic(bytes in prop::collection::vec(any::<u8>(), 0..400)) {
        let _ = Request::parse(&mut BytesMut::from(&bytes[..]), HEAD_LIMIT);
        let _ = Response::parse(&mut BytesMut::from(&bytes[..]), &Method::GET, HEAD_LIMIT);
    }
}
