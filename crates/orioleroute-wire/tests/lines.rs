//! Splitting input into lines.

use std::time::{Duration, Instant};

use bytes::BytesMut;
use orioleroute_wire::lines::{Lines, TooLong};
use proptest::prelude::*;
use rstest::rstest;

/// The length of a table of 20,000 upstreams, the longest message between instances.
const LONGEST: usize = 16 << 20;

/// The size of one read.
const READ: usize = 4 << 10;

/// Guards against work that grows with the square of a line's length: each read of a long line searched all of it.
#[test]
fn a_long_line_is_searched_once() {
    let mut lines = Lines::new(LONGEST);
    let mut input = BytesMut::new();
    let start = Instant::now();

    for _ in 0..LONGEST / READ {
        input.extend_from_slice(&[b'a'; READ]);
        assert_eq!(lines.take(&mut input), Ok(None));
    }
    input.extend_from_slice(b"\n");

    assert_eq!(lines.take(&mut input).unwrap().unwrap().len(), LONGEST);
    assert!(start.elapsed() < Duration::from_secs(1), "{:?}", start.elapsed());
}

#[rstest]
#[case::incomplete("aaaaa")]
#[case::complete("aaaaa\n")]
#[case::after_another("a\naaaaa\n")]
fn a_line_over_the_limit_is_an_error(#[case] text: &str) {
    let mut lines = Lines::new(4);
    let mut input = BytesMut::from(text);

    let last = loop {
        match lines.take(&mut input) {
            Ok(Some(_)) => {}
            last => break last,
        }
    };

    assert_eq!(last, Err(TooLong(4)));
}

proptest! {
    #[test]
    fn any_split_gives_the_same_lines(text in "[ab\n]{0,40}", sizes in prop::collection::vec(1..6_usize, 1..8)) {
        let mut lines = Lines::new(64);
        let mut input = BytesMut::new();
        let (mut rest, mut taken) = (text.as_bytes(), Vec::new());
        for size in sizes.iter().cycle() {
            if rest.is_empty() {
                break;
            }
            let (part, after) = rest.split_at((*size).min(rest.len()));
            rest = after;
            input.extend_from_slice(part);
            while let Some(line) = lines.take(&mut input).unwrap() {
                taken.push(String::from_utf8_lossy(&line).into_owned());
            }
        }

        taken.push(String::from_utf8_lossy(&input).into_owned());
        prop_assert_eq!(taken, text.split('\n').map(str::to_owned).collect::<Vec<_>>());
    }
}
