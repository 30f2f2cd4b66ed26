//! An instance that loses its path to the upstreams.
//!
//! Guards against a lost path that is taken for upstreams that fail, and upstreams that fail for a lost path.

use std::time::Duration;

use orioleroute::ingress::path::Path;
use orioleroute::prelude::{Arc, Instant};

/// The upstreams of a small site.
const LISTED: usize = 6;

fn upstream(number: usize) -> Arc<str> {
    format!("i-{number}").into()
}

fn at(millis: u64) -> Instant {
    Instant::from_millis(millis)
}

/// Returns a path over which the first `count` upstreams could not be reached.
fn path_without(count: usize) -> Path {
    let mut path = Path::default();
    for number in 0..count {
        path.record_unreachable(&upstream(number), LISTED, at(10_000));
    }
    path
}

/// A third of the upstreams crashes, and requests go to others in between.
#[test]
fn upstreams_that_crash_beside_others_that_answer_are_no_lost_path() {
    let mut path = Path::default();

    for round in 0..20 {
        for number in 0..2 {
            path.record_unreachable(&upstream(number), LISTED, at(10_000 + 100 * round));
        }
        path.record_reached();
    }

    assert!(!path.is_doubted());
}

#[test]
fn one_upstream_that_fails_again_and_again_is_no_lost_path() {
    let mut path = Path::default();

    for round in 0..20 {
        path.record_unreachable(&upstream(1), LISTED, at(10_000 + round));
    }

    assert!(!path.is_doubted());
}

#[test]
fn a_path_over_which_several_upstreams_cannot_be_reached_is_doubted_and_lost_once_a_sibling_reaches_one()
 {
    let mut path = path_without(3);

    let before = (path.is_doubted(), path.is_lost());
    let is_new = path.record_detour();

    assert_eq!(before, (true, false));
    assert!(is_new && path.is_lost());
    assert!(!path.record_detour(), "it was known before");
}

/// A site with a single upstream.
#[test]
fn a_path_to_all_upstreams_that_there_are_is_doubted() {
    let mut path = Path::default();

    assert!(path.record_unreachable(&upstream(1), 1, at(10_000)));
}

#[test]
fn failures_of_long_ago_do_not_add_up() {
    let mut path = path_without(2);

    path.record_unreachable(&upstream(5), LISTED, at(14_000));

    assert!(!path.is_doubted());
}

#[test]
fn a_doubted_path_is_probed_until_an_upstream_is_reached() {
    let mut path = path_without(3);
    path.record_detour();

    let probes = (10_000..12_000).step_by(50).filter(|millis| path.take_probe(at(*millis))).count();
    let was_lost = path.record_reached();

    assert_eq!(probes, 3);
    assert!(was_lost && !path.is_doubted());
    assert!(!path.take_probe(at(20_000) + Duration::from_secs(1)));
}
