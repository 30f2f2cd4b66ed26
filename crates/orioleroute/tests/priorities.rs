//! Priorities beyond the few levels that engines and older releases know.
//!
//! Guards against priorities that are cut off or rounded, so that requests go in another order than the operator has written.

mod scheduling;

use orioleroute::ingress::Priority;
use orioleroute::ingress::priority::{COARSE_LEVELS, ENGINE_LEVELS, Grade, Scale};
use orioleroute::prelude::*;
use orioleroute::scheduler::message::{Placement, RunResult, ToScheduler};
use proptest::prelude::*;
use rstest::rstest;
use scheduling::{CLIENT, description, grants, placement, scheduler};

/// The least urgent priority.
const LEAST: f64 = 9_007_199_254_740_992.0;

fn priority(number: f64) -> Priority {
    number.try_into().unwrap()
}

fn scale(numbers: &[f64]) -> Scale {
    numbers.iter().copied().map(priority).collect()
}

/// Returns the levels of these priorities at engines.
fn engine_levels(numbers: &[f64]) -> Vec<u8> {
    let scale = scale(numbers);
    numbers.iter().map(|number| scale.grade(priority(*number)).engine).collect()
}

#[rstest]
#[case::levels(&[0.0, 1.0, 2.0], &[0, 1, 2])]
#[case::all_levels(&[0.0, 1.0, 2.0, 3.0, 4.0, 5.0, 6.0, 7.0, 8.0, 9.0], &[0, 1, 2, 3, 4, 5, 6, 7, 8, 9])]
#[case::one_beyond(&[0.0, 300.0], &[0, 9])]
#[case::several_beyond(&[0.0, 10.0, 300.0, 70_000.0], &[0, 7, 8, 9])]
#[case::fractions(&[0.0, 0.5, 1.0, 1.5], &[0, 1, 2, 3])]
#[case::more_than_levels(
    &[0.0, 1.0, 2.0, 3.0, 4.0, 5.0, 6.0, 7.0, 8.0, 9.0, 10.0, 11.0],
    &[0, 1, 2, 3, 4, 5, 5, 6, 7, 7, 8, 9]
)]
fn priorities_beyond_the_levels_of_engines_have_no_level_in_common(
    #[case] numbers: &[f64],
    #[case] expected: &[u8],
) {
    assert_eq!(engine_levels(numbers), expected);
}

#[rstest]
#[case(-1.0)]
#[case(f64::NAN)]
#[case(f64::INFINITY)]
#[case(1e300)]
fn a_number_that_is_no_priority_is_refused(#[case] number: f64) {
    assert!(Priority::try_from(number).is_err());
}

/// Priorities that differ by less than an older release can tell.
#[rstest]
#[case::beyond_a_byte(256.0, 257.0)]
#[case::far_beyond(70_000.0, 1e15)]
#[case::fraction(1.25, 1.5)]
fn the_next_request_is_the_most_urgent_one_also_beyond_255(
    #[case] urgent: f64,
    #[case] later: f64,
) {
    let (mut scheduler, now) = scheduler(&[description(1, &["a1"])]);
    let prioritized = |ticket, number| {
        let mut placement = placement(ticket, "a1");
        placement.set_priority(Grade { priority: priority(number), coarse: 255, engine: 9 });
        placement
    };
    for ticket in 1..=64 {
        scheduler.place(CLIENT, prioritized(ticket, LEAST), now);
    }
    scheduler.take_outputs();
    scheduler.place(CLIENT, prioritized(101, later), now);
    scheduler.place(CLIENT, prioritized(102, urgent), now);

    let ended = orioleroute::scheduler::RequestKey { client: CLIENT, ticket: 1 };
    scheduler.handle_ended(ended, Some(RunResult::Answered), now + Duration::from_millis(100));

    assert_eq!(grants(&scheduler.take_outputs()), [102]);
}

/// A build of an older release reads the level alone, and one of this release both.
#[rstest]
#[case::level(1.0, 1, false)]
#[case::beyond_a_byte(300.0, 255, true)]
#[case::fraction(1.5, 1, true)]
fn a_placement_is_read_by_builds_that_know_levels_only(
    #[case] number: f64,
    #[case] level: u8,
    #[case] is_named: bool,
) {
    let mut sent = placement(1, "a1");
    sent.set_priority(scale(&[number]).grade(priority(number)));

    let text = serde_json::to_value(ToScheduler::Place(Box::new(sent))).unwrap();

    assert_eq!(text["params"]["priority"], level);
    assert_eq!(text["params"].get("exact_priority").is_some(), is_named);
    let read: Placement = serde_json::from_value(text["params"].clone()).unwrap();
    assert_eq!(read.priority(), priority(number));
}

#[test]
fn the_priority_of_a_placement_of_an_older_release_is_its_level() {
    let mut sent = serde_json::to_value(placement(1, "a1")).unwrap();
    sent["priority"] = 200.into();

    let read: Placement = serde_json::from_value(sent).unwrap();

    assert_eq!(read.priority(), priority(200.0));
}

fn numbers() -> impl Strategy<Value = Vec<f64>> {
    let number = prop_oneof![
        4 => (0..12_u32).prop_map(f64::from),
        2 => (0..600_u32).prop_map(f64::from),
        1 => (0..40_u32).prop_map(|quarters| f64::from(quarters) / 4.0),
        1 => 0.0..9_007_199_254_740_992.0,
    ];
    proptest::collection::vec(number, 1..400)
}

proptest! {
    #[test]
    fn levels_keep_the_order_of_priorities(numbers in numbers()) {
        let scale = scale(&numbers);
        let mut grades: Vec<Grade> = numbers.iter().map(|it| scale.grade(priority(*it))).collect();
        grades.sort_by_key(|grade| grade.priority);
        grades.dedup_by_key(|grade| grade.priority);

        for pair in grades.windows(2) {
            prop_assert!(pair[0].coarse <= pair[1].coarse && pair[0].engine <= pair[1].engine);
            prop_assert!(grades.len() > COARSE_LEVELS || pair[0].coarse < pair[1].coarse);
            prop_assert!(grades.len() > ENGINE_LEVELS || pair[0].engine < pair[1].engine);
        }
        prop_assert!(grades.iter().all(|grade| usize::from(grade.engine) < ENGINE_LEVELS));
    }

    /// What builds of all releases send to engines for such priorities is the same.
    #[test]
    fn priorities_that_are_levels_stay_what_they_are(numbers in proptest::collection::vec(0..10_u8, 1..30)) {
        let scale: Scale = numbers.iter().map(|number| Priority::from(*number)).collect();

        for number in numbers {
            let grade = scale.grade(number.into());
            prop_assert_eq!((grade.coarse, grade.engine), (number, number));
        }
    }
}
