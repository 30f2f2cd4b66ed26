//! The rows that name the leaders of zones, after the store came back from a copy.
//!
//! Guards against two leaders of a zone: the one that the copy names, and the one that took over after the copy was made.

use orioleroute::ingress::Version;
use orioleroute::ingress::leaders::{Leader, Leaders, RETURN_DELAY, REWRITE_TIME};
use orioleroute::prelude::*;
use rstest::rstest;

const NOW: Instant = Instant::from_millis(10_000);

fn version(era: u64, number: u64) -> u64 {
    Version { era, number }.into()
}

fn leader(holder: &str, era: Option<u64>) -> Leader {
    Leader { holder: holder.into(), incarnation: 1, era }
}

fn holder(leaders: &Leaders) -> Option<String> {
    leaders.leader("a").map(|leader| leader.holder.to_string())
}

/// The leader `second` took over from `first` after the copy was made.
fn leaders_of_first_era() -> Leaders {
    let leaders = Leaders::default();
    leaders.set_leader("a", leader("first", Some(1)), version(1, 20), NOW);
    leaders.set_leader("a", leader("second", Some(1)), version(1, 80), NOW);
    leaders
}

#[test]
fn a_row_that_a_copy_brought_back_replaces_no_known_leader() {
    let leaders = leaders_of_first_era();

    leaders.set_leader("a", leader("first", Some(1)), version(2, 20), NOW);

    assert_eq!(holder(&leaders).as_deref(), Some("second"));
    assert!(leaders.is_unconfirmed("a"));
    assert_eq!(leaders.row_version("a"), version(2, 20));
}

#[test]
fn a_zone_that_was_given_up_is_not_led_by_the_one_in_the_copy() {
    let leaders = leaders_of_first_era();
    leaders.clear_leader("a", version(1, 90), NOW);

    leaders.set_leader("a", leader("first", Some(1)), version(2, 20), NOW);

    assert_eq!(holder(&leaders), None);
    assert_eq!(leaders.row_version("a"), version(2, 20));
}

#[test]
fn a_leader_that_wrote_its_row_in_the_new_era_is_confirmed() {
    let leaders = leaders_of_first_era();
    leaders.set_leader("a", leader("first", Some(1)), version(2, 20), NOW);

    leaders.set_leader("a", leader("second", Some(2)), version(2, 21), NOW);

    assert!(!leaders.is_unconfirmed("a"));
    assert_eq!(leaders.entries()["a"].version, version(2, 21));
}

/// A row of the new era may be read before that of the copy, which another connection delivers late.
#[test]
fn a_late_row_of_the_copy_changes_nothing() {
    let leaders = leaders_of_first_era();
    leaders.set_leader("a", leader("second", Some(2)), version(2, 21), NOW);

    leaders.set_leader("a", leader("first", Some(1)), version(2, 20), NOW);

    assert_eq!(holder(&leaders).as_deref(), Some("second"));
    assert!(!leaders.is_unconfirmed("a"));
}

/// A leader whose row the copy lacks may have written it again before a slow read of the copy arrives.
#[rstest]
#[case::not_written_yet(version(1, 80), true)]
#[case::written_since(version(2, 71), false)]
fn a_row_that_the_copy_lacks_is_lost_unless_it_was_written_since(
    #[case] written: u64,
    #[case] is_lost: bool,
) {
    let leaders = Leaders::default();
    leaders.set_leader("a", leader("second", Some(Version::from(written).era)), written, NOW);

    leaders.mark_lost("a", version(2, 70), NOW);

    assert_eq!(leaders.is_unconfirmed("a"), is_lost);
    assert_eq!(leaders.row_version("a"), if is_lost { 0 } else { written });
}

#[test]
fn a_second_copy_moves_the_version_at_which_the_row_is_overwritten() {
    let leaders = leaders_of_first_era();
    leaders.set_leader("a", leader("first", Some(1)), version(2, 20), NOW);

    leaders.set_leader("a", leader("first", Some(1)), version(3, 20), NOW);

    assert_eq!(holder(&leaders).as_deref(), Some("second"));
    assert_eq!(leaders.row_version("a"), version(3, 20));
}

#[test]
fn a_leader_that_does_not_write_its_row_again_has_abandoned_the_zone() {
    let leaders = leaders_of_first_era();
    leaders.set_leader("a", leader("first", Some(1)), version(2, 20), NOW);
    let late = NOW + REWRITE_TIME;

    assert!(!leaders.is_abandoned("a", NOW));
    assert!(leaders.is_abandoned("a", late));
}

/// Without an era a row of an older release counts, and so does a row of a store that states no eras.
#[rstest]
#[case::older_release(None, version(2, 20))]
#[case::no_eras(Some(0), 120)]
fn a_row_that_is_not_known_to_be_from_a_copy_counts(#[case] era: Option<u64>, #[case] row: u64) {
    let leaders = Leaders::default();

    leaders.set_leader("a", leader("first", era), row, NOW);

    assert_eq!(holder(&leaders).as_deref(), Some("first"));
    assert!(!leaders.is_unconfirmed("a"));
}

/// The successor may have sent orders, and may give the zone up at once.
#[test]
fn an_instance_that_has_left_a_zone_waits_before_it_leads_it_again() {
    let leaders = Leaders::default();

    leaders.record_left(&"a".into(), NOW);

    assert!(leaders.has_just_left("a", NOW + Duration::from_millis(3_000)));
    assert!(!leaders.has_just_left("a", NOW + RETURN_DELAY));
    assert!(!leaders.has_just_left("b", NOW));
}
