//! Connections whose bytes are passed on.
//!
//! Guards against one that is taken to be idle while a response is due.

use orioleroute_wire::http1::observer::Observer;
use proptest::prelude::*;
use rstest::rstest;

const REQUEST: &[u8] = b"POST /a HTTP/1.1\r\nHost: b\r\nContent-Length: 2\r\n\r\nab";

const LENGTH: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody";

const CHUNKS: &[u8] =
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n3\r\nend\r\n0\r\n\r\n";

const INTERIM: &[u8] = b"HTTP/1.1 103 -\r\n\r\nHTTP/1.1 204 No Content\r\n\r\n";

proptest! {
    /// Each response is due until its last byte, however it is split.
    #[test]
    fn a_connection_is_idle_exactly_between_exchanges(
        responses in prop::collection::vec(prop::sample::select(vec![LENGTH, CHUNKS, INTERIM]), 1..5),
        split in any::<prop::sample::Index>(),
    ) {
        let mut observer = Observer::default();
        for response in responses {
            prop_assert!(observer.is_idle());
            observer.observe_request(REQUEST);
            let (first, rest) = response.split_at(split.index(response.len()));
            observer.observe_response(first);
            prop_assert!(!observer.is_idle());
            observer.observe_response(rest);
        }
        prop_assert!(observer.is_idle() && observer.has_answered());
    }
}

#[test]
fn the_response_to_a_head_request_has_no_body() {
    let mut observer = Observer::default();

    observer.observe_request(b"HEAD /a HTTP/1.1\r\nHost: b\r\n\r\n");
    observer.observe_response(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n");

    assert!(observer.is_idle());
}

#[rstest]
#[case::until_the_end_of_the_connection(REQUEST, b"HTTP/1.1 200 OK\r\n\r\nbody")]
#[case::malformed(REQUEST, b"HTTP/1.1 000 -\r\nContent-Length: 0\r\n\r\n")]
#[case::an_extra_response(REQUEST, &[LENGTH, LENGTH].concat())]
#[case::a_part_of_a_method(b"PO", LENGTH)]
#[case::no_request(b"", LENGTH)]
fn a_connection_is_not_idle_if_that_cannot_be_told(
    #[case] request: &[u8],
    #[case] response: &[u8],
) {
    let mut observer = Observer::default();

    observer.observe_request(request);
    observer.observe_response(response);

    assert!(!observer.is_idle());
}
