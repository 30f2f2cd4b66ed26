//! Bytes that one process passes on for another.
//!
//! Guards against a lost connection that is taken for the end of an answer, and bytes that are lost or doubled where frames are
//! cut by reads.

use bytes::BytesMut;
use orioleroute_wire::frames::{Decoder, encode, encode_end};
use proptest::prelude::*;

proptest! {
    #[test]
    fn bytes_arrive_as_they_were_sent(
        parts in proptest::collection::vec(proptest::collection::vec(any::<u8>(), 0..300), 0..8),
        read in 1_usize..400,
    ) {
        let mut sent = Vec::new();
        parts.iter().for_each(|part| encode(part, &mut sent));
        let before_end = sent.len();
        encode_end(&mut sent);

        let mut decoder = Decoder::default();
        let mut output = BytesMut::new();
        for received in sent[..before_end].chunks(read) {
            decoder.decode(received, &mut output);
            prop_assert!(!decoder.has_ended());
        }
        decoder.decode(&sent[before_end..], &mut output);

        prop_assert!(decoder.has_ended());
        prop_assert_eq!(&output[..], parts.concat());
    }
}

#[test]
fn more_bytes_than_a_frame_holds_are_sent_in_several() {
    let bytes = vec![7_u8; 200_000];
    let mut sent = Vec::new();

    encode(&bytes, &mut sent);

    let mut output = BytesMut::new();
    Decoder::default().decode(&sent, &mut output);
    assert_eq!(output, bytes);
}
