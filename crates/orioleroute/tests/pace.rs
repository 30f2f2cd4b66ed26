//! The rate of requests to an upstream that has named a limit.
//!
//! Guards against more requests than the limit and its slack allow, however many instances keep it together, and
//! against a limit of which hardly anything is used.

use orioleroute::ingress::notice::Limit;
use orioleroute::ingress::pace::{Pace, Place, Share};
use orioleroute::prelude::*;
use proptest::prelude::*;
use rstest::rstest;

const WINDOW: Duration = Duration::from_secs(4);
const STEP: Duration = Duration::from_millis(10);
const START: Instant = Instant::from_millis(1_000_000);

/// The most requests that may reach an upstream in one window, by the users' rule.
fn allowed(rate: f64) -> usize {
    (1.5 * rate * WINDOW.as_secs_f64()) as usize + 5
}

fn most_within_window(sent: &[Instant]) -> usize {
    let within = |start: &Instant| {
        sent.iter().filter(|at| **at >= *start && at.since(*start) < WINDOW).count()
    };
    sent.iter().map(within).max().unwrap_or(0)
}

/// Returns the requests of instances that were told of a limit at various times, after a pause that is long enough for
/// all to have saved up, each with a request every `interval`.
fn send_shares(rate: f64, instances: u32, interval: Duration) -> Vec<Instant> {
    let mut shares: Vec<Share> = (0..instances)
        .map(|rank| {
            let told = START + Duration::from_millis(u64::from(rank) * 37 % 5_000);
            let unix = Duration::from_secs(1_700_000_000) + told.since(Instant::ZERO);
            Share::new(rate, Place { rank, instances }, unix, told)
        })
        .collect();
    let begin = START + Duration::from_secs(600);
    let mut sent = Vec::new();
    for step in 0..6_000_u32 {
        let now = begin + STEP * step;
        for (rank, share) in shares.iter_mut().enumerate() {
            let phase = STEP * (rank as u32 * 7);
            let elapsed = (STEP * step + phase).as_millis();
            let has_request = elapsed.is_multiple_of(interval.as_millis());
            if has_request && share.delay(now).is_zero() {
                share.take(now);
                sent.push(now);
            }
        }
    }
    sent
}

proptest! {
    /// From any moment on, a scheduler with requests at all times grants the rate and the requests of half a second.
    #[test]
    fn a_pace_is_kept_over_any_span(rate in 0.3..200.0_f64, pause in 0..20_000_u64) {
        let mut pace = Pace::new(rate, 0.0, START);
        let begin = START + Duration::from_millis(pause);
        let mut sent = Vec::new();

        for step in 0..1_000 {
            let now = begin + STEP * step;
            while pace.delay(0, now).is_zero() {
                pace.take(now);
                sent.push(now);
            }
        }

        prop_assert!(most_within_window(&sent) <= allowed(rate));
        let expected = rate * (STEP * 1_000).as_secs_f64();
        prop_assert!(sent.len() as f64 >= (expected - 2.0).floor());
    }
}

#[rstest]
fn the_shares_of_all_instances_keep_the_limit_after_a_pause(
    #[values(0.0, 0.2, 0.5, 1.4, 2.0, 8.0, 60.0)] rate: f64,
    #[values(1, 2, 6, 9, 60, 300)] instances: u32,
    #[values(10, 100, 1_000)] interval_ms: u64,
) {
    let sent = send_shares(rate, instances, Duration::from_millis(interval_ms));

    let most = most_within_window(&sent);
    assert!(most <= allowed(rate), "{most} requests, {} are allowed", allowed(rate));
}

/// Four fifths of the limit where requests come often; a request a second at each instance still uses a third.
#[rstest]
#[case::often(10, 0.8)]
#[case::seldom(1_000, 0.3)]
fn the_shares_use_the_limit(
    #[case] interval_ms: u64,
    #[case] part: f64,
    #[values(1.4, 4.0)] rate: f64,
    #[values(9, 60, 300)] instances: u32,
) {
    let sent = send_shares(rate, instances, Duration::from_millis(interval_ms));

    let used = sent.len() as f64 / 60.0 / rate;
    assert!(used >= part, "{used} of the limit is used");
}

#[test]
fn a_limit_that_changes_with_each_answer_gives_no_further_turn() {
    let place = Place { rank: 0, instances: 60 };
    let unix = Duration::from_secs(1_700_000_000);
    let mut share = Share::new(1.0, place, unix, START);
    let now = START + share.delay(START);
    share.take(now);

    share.adopt(Share::new(1.01, place, unix + now.since(START), now));

    assert!(share.delay(now) > Duration::from_secs(1));
}

#[test]
fn a_pace_that_slows_down_keeps_account_of_what_was_sent() {
    let mut pace = Pace::new(10.0, 1.0, START);
    pace.take(START);

    pace.adopt(Pace::new(1.0, 0.0, START));

    assert_eq!(pace.delay(0, START), Duration::from_secs(1));
}

/// Answers overtake each other: one from before the limit was named may arrive after one that names it.
#[rstest]
#[case::a_limit_that_is_as_new(Limit::PerSecond(1.0), 0, true)]
#[case::an_answer_without_one_at_once(Limit::Unlimited, 50, false)]
#[case::an_answer_without_one_later(Limit::Unlimited, 150, true)]
fn an_answer_replaces_what_an_earlier_one_said(
    #[case] limit: Limit,
    #[case] later_ms: u64,
    #[case] replaces: bool,
) {
    let at = START + Duration::from_millis(later_ms);

    assert_eq!(limit.replaces(Some(START), at), replaces);
    assert!(!limit.replaces(Some(at + Duration::from_millis(1)), START));
}

/// Instances that see more requests than a brittle upstream has places for, after a pause in which they could save up.
#[rstest]
#[case::one(1)]
#[case::as_many_as_places(4)]
#[case::more_than_places(9)]
fn the_shares_of_a_room_send_no_more_at_once_than_it_has_places_for(#[case] instances: u32) {
    const PLACES: usize = 4;
    const LATENCY: Duration = Duration::from_millis(100);
    let mut shares: Vec<Share> = (0..instances)
        .map(|rank| {
            let place = Place { rank, instances };
            Share::of_room(PLACES, Some(LATENCY), place, Duration::from_secs(1_000), START)
        })
        .collect();

    let mut sent = Vec::new();
    for step in 0..1_000_u32 {
        let now = START + Duration::from_secs(5) + STEP * step;
        for share in &mut shares {
            while share.delay(now).is_zero() {
                share.take(now);
                sent.push(now);
            }
        }
    }

    let at_once = sent.iter().filter(|at| at.since(sent[0]) < STEP).count();
    let most = PLACES.max(instances as usize);
    let per_s = sent.len() as f64 / 10.0;
    let capacity = PLACES as f64 / LATENCY.as_secs_f64();
    assert!(at_once <= most, "{at_once} at once");
    assert!(per_s <= capacity && per_s >= 0.75 * capacity, "{per_s} a second of {capacity}");
}
