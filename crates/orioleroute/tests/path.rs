//! An instance that loses its path to the upstreams.
//!
//! Guards against a lost path that is taken for upstreams that fail, and upstreams that fail for a lost path.

use std::time::Duration;

use orioleroute::ingress::path::Path;
use orioleroute::prelude::{Arc, Instant};

/// The number of upstreams of the service.
const UPSTREAMS: usize = 6;

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
        path.record_unreachable(&upstream(number), |_| true, UPSTREAMS, at(10_000));
    }
    path
}

/// A third of the upstreams crashes, and requests go to others in between.
#[test]
fn upstreams_that_crash_beside_others_that_answer_are_no_lost_path() {
    let mut path = Path::default();

    for round in 0..20 {
        for number in 0..2 {
            path.record_unreachable(
                &upstream(number),
                |_| true,
                UPSTREAMS,
                at(10_000 + 100 * round),
            );
        }
        path.record_reached();
    }

    assert!(!path.is_doubted());
}

#[test]
fn one_upstream_that_fails_again_and_again_is_no_lost_path() {
    let mut path = Path::default();

    for round in 0..20 {
        path.record_unreachable(&upstream(1), |_| true, UPSTREAMS, at(10_000 + round));
    }

    assert!(!path.is_doubted());
}

#[test]
fn a_path_is_lost_once_a_sibling_reaches_an_upstream_and_this_instance_does_not() {
    let mut path = path_without(3);

    let doubted = (path.is_doubted(), path.is_lost());
    path.record_detour(&upstream(4), at(10_100));
    let detoured = (path.take_probe(at(10_100)), path.is_lost());
    let probed = path.last_detoured(at(10_100));
    path.record_unreachable(&upstream(4), |_| true, UPSTREAMS, at(10_200));
    let is_shown = path.record_detour(&upstream(4), at(10_210));

    assert_eq!(doubted, (true, false));
    assert_eq!(detoured, (true, false), "a probe is due at once");
    assert_eq!(probed, Some(upstream(4)), "of the upstream that was reached");
    assert!(is_shown && path.is_lost());
}

/// Most upstreams are down: some are back and answer by way of another instance, and others that are tried are not.
#[test]
fn upstreams_that_are_down_while_others_are_reached_by_a_detour_are_no_lost_path() {
    let mut path = path_without(3);

    path.record_detour(&upstream(4), at(10_100));
    for number in 0..3 {
        path.record_unreachable(&upstream(number), |_| true, UPSTREAMS, at(10_150));
    }
    path.record_detour(&upstream(5), at(10_200));
    path.record_detour(&upstream(4), at(10_200));

    assert!(path.is_doubted() && !path.is_lost());
}

/// The upstream that has answered crashes again, and is back.
#[test]
fn an_upstream_that_was_started_again_in_between_shows_no_lost_path() {
    let mut path = path_without(3);

    path.record_detour(&upstream(4), at(10_100));
    path.record_unreachable(&upstream(4), |_| true, UPSTREAMS, at(10_150));
    path.record_detour(&upstream(4), at(10_700));

    assert!(path.is_doubted() && !path.is_lost());
}

/// All upstreams were down and are back: the first request takes the detour, and the probe is answered.
#[test]
fn a_path_is_not_lost_when_upstreams_come_back() {
    let mut path = path_without(3);

    path.record_detour(&upstream(4), at(10_100));
    let was_lost = path.record_reached();

    assert!(!was_lost && !path.is_doubted());
}

/// An upstream that crashes again and again, each time with another id.
#[test]
fn former_processes_of_an_upstream_do_not_add_up() {
    let mut path = Path::default();

    for number in 0..20 {
        let id = upstream(number);
        path.record_unreachable(
            &id,
            |listed| *listed == *id,
            UPSTREAMS,
            at(10_000 + 100 * number as u64),
        );
    }

    assert!(!path.is_doubted());
}

/// They may as well have crashed: only what other instances reach tells.
#[test]
fn a_path_to_few_upstreams_is_doubted_once_all_are_out_of_reach() {
    let mut path = Path::default();

    let doubted =
        [0, 1].map(|number| path.record_unreachable(&upstream(number), |_| true, 2, at(10_000)));

    assert_eq!(doubted, [false, true]);
    assert!(!path.is_lost());
}

#[test]
fn failures_of_long_ago_do_not_add_up() {
    let mut path = path_without(2);

    path.record_unreachable(&upstream(5), |_| true, UPSTREAMS, at(14_000));

    assert!(!path.is_doubted());
}

#[test]
fn a_doubted_path_is_probed_until_an_upstream_is_reached() {
    let mut path = path_without(3);
    path.record_detour(&upstream(4), at(10_390));
    path.record_unreachable(&upstream(4), |_| true, UPSTREAMS, at(10_400));
    path.record_detour(&upstream(4), at(10_440));

    let probes = (10_450..12_000).step_by(50).filter(|millis| path.take_probe(at(*millis))).count();
    let was_lost = path.record_reached();

    assert_eq!(probes, 4);
    assert!(was_lost && !path.is_doubted());
    assert!(!path.take_probe(at(20_000) + Duration::from_secs(1)));
}

#[test]
fn an_instance_by_way_of_which_nothing_answers_is_asked_after_others_for_a_while() {
    let mut path = path_without(3);

    path.record_fruitless(&"n1".into(), at(10_100));

    assert!(path.is_fruitless("n1", at(12_000)) && !path.is_fruitless("n2", at(12_000)));
    assert!(!path.is_fruitless("n1", at(13_100)));
    path.record_reached();
    assert!(!path.is_fruitless("n1", at(10_200)));
}
