//! Admission limits: less important requests are refused first, and no capacity is exceeded.

use std::time::Duration;

use orioleroute::document::Importance;
use orioleroute::limits::{LoadTime, admits, has_capacity};
use proptest::prelude::*;

proptest! {
    #[test]
    fn a_less_important_request_is_never_admitted_where_a_more_important_one_is_refused(
        waiting in 0..200_usize,
        capacity in 0..200_u32,
    ) {
        let admitted = [Importance::Low, Importance::Normal, Importance::High]
            .map(|importance| admits(importance, waiting, capacity));

        prop_assert!(admitted.is_sorted());
        prop_assert!(waiting == 0 || !admitted[2] || waiting < capacity as usize);
    }

    #[test]
    fn an_upstream_never_has_more_than_one_batch_waiting(
        running in 0..100_u32,
        concurrency in 1..50_u32,
    ) {
        let admitted = [Importance::Low, Importance::Normal, Importance::High]
            .map(|importance| has_capacity(importance, running, concurrency));

        prop_assert!(admitted.is_sorted());
        prop_assert!(!admitted[2] || running < 2 * concurrency);
        prop_assert!(admitted[0] || running >= concurrency);
    }
}

#[test]
fn the_expected_wait_grows_with_the_loads_ahead_and_with_slow_loads() {
    let mut time = LoadTime::default();
    let quick = time.expected_wait(0, 1);

    for _ in 0..50 {
        time.observe(Duration::from_secs(2));
    }

    assert!(time.expected_wait(0, 1) > Duration::from_millis(1_900));
    assert!(time.expected_wait(4, 1) > time.expected_wait(4, 2));
    assert!(time.expected_wait(0, 1) > quick);
}
