//! The state that an instance needs to route requests: upstreams during outages of their list, other
//! instances, health and deadlines.

use std::net::SocketAddr;

use orioleroute::ingress::access::{Access, MAX_GAP, Report, Span};
use orioleroute::ingress::deadline::DeadlineTracker;
use orioleroute::ingress::health::{Health, Outcome};
use orioleroute::ingress::isolation::Isolation;
use orioleroute::ingress::registry::{Change, RECOVERY_GRACE, Registry};
use orioleroute::ingress::roster::{Contact, Heartbeat, Member, Roster};
use orioleroute::ingress::upstream::{Description, State};
use orioleroute::prelude::*;
use rstest::rstest;

fn upstream(id: &str, state: State) -> Description {
    Description {
        id: id.into(),
        service: "desk".into(),
        address: SocketAddr::from(([10, 0, 0, 1], 80)),
        zone: "a".into(),
        slots: 6,
        state,
        started_ms: 1,
        accepted_orders: 0,
        models: Vec::new(),
        build: "v1".into(),
        entry_version: 1,
    }
}

fn member(name: &str, region: &str) -> Member {
    let port = name.bytes().map(u16::from).sum::<u16>();
    Member {
        name: name.into(),
        incarnation: 1,
        region: region.into(),
        zone: region.into(),
        caller_address: SocketAddr::from(([10, 0, 0, 1], 1_000 + port)),
        peer_address: SocketAddr::from(([10, 0, 0, 1], 2_000 + port)),
        capacity: 25,
    }
}

fn heartbeat(name: &str, is_serving: bool) -> Heartbeat {
    Heartbeat {
        name: name.into(),
        incarnation: 1,
        is_serving,
        store: Report::Unused,
        unread: Vec::new(),
        is_cut_off: false,
        loads: Vec::new(),
    }
}

fn listed(registry: &Registry) -> Vec<String> {
    let mut ids: Vec<String> = registry.ready("desk").map(|entry| entry.id.to_string()).collect();
    ids.sort();
    ids
}

fn registry(ids: &[&str]) -> Registry {
    let mut registry = Registry::default();
    registry.replace(ids.iter().map(|id| upstream(id, State::Ready)), Instant::ZERO);
    registry
}

/// Returns a roster of `n1` with `n2` to `n4`, of which those named reach no upstream.
fn roster_cut_off(cut_off: &[&str], now: Instant) -> Roster {
    let mut roster = Roster::new(member("n1", "r"));
    roster.set_serving(true);
    roster.set_cut_off(cut_off.contains(&"n1"));
    for name in ["n2", "n3", "n4"] {
        roster.upsert(member(name, "r"), now);
        let is_cut_off = cut_off.contains(&name);
        roster.record_heartbeat(&Heartbeat { is_cut_off, ..heartbeat(name, true) }, now);
    }
    roster
}

fn names<'a>(members: impl IntoIterator<Item = &'a Member>) -> Vec<&'a str> {
    let mut names: Vec<&str> = members.into_iter().map(|it| &*it.name).collect();
    names.sort_unstable();
    names
}

/// Clients are sent to instances that reach upstreams, and these take on duties; a cut instance reaches upstreams by way of
/// them.
#[test]
fn instances_that_reach_no_upstream_are_not_offered_while_others_do() {
    let now = Instant::from_millis(10_000);
    let roster = roster_cut_off(&["n1", "n3"], now);

    assert_eq!(names(roster.capable(now)), ["n2", "n4"]);
    assert_eq!(names(roster.detours(now)), ["n2", "n4"]);
    assert_eq!(roster.addresses("r", now).len(), 2);
}

#[test]
fn instances_are_offered_as_before_when_none_reaches_an_upstream() {
    let now = Instant::from_millis(10_000);
    let roster = roster_cut_off(&["n1", "n2", "n3", "n4"], now);

    assert_eq!(names(roster.capable(now)), ["n1", "n2", "n3", "n4"]);
    assert_eq!(names(roster.detours(now)), [""; 0]);
    assert_eq!(roster.addresses("r", now).len(), 4);
}

/// An instance that was cut off takes no zone over at the moment at which the cut heals: the first heartbeat
/// comes from any instance, and that of a leader in another region up to two seconds later.
#[test]
fn after_an_isolation_a_missing_heartbeat_means_nothing_for_a_while() {
    let mut isolation = Isolation::default();
    let cut_off = Contact { near: 2, remote: 6, ..Contact::default() };
    let returning = Contact { near_responsive: 1, ..cut_off };
    let healed = Instant::from_millis(20_000);
    isolation.observe(Contact::default(), Instant::ZERO);
    isolation.observe(cut_off, Instant::ZERO);
    isolation.observe(returning, Instant::from_millis(5_000));
    assert!(!isolation.has_just_ended(returning, Instant::from_millis(5_000)));

    isolation.observe(cut_off, healed);

    let later = |millis| healed + Duration::from_millis(millis);
    assert!(!isolation.has_just_ended(cut_off, later(100)), "it may be the only one alive");
    assert!(isolation.has_just_ended(returning, later(100)));
    assert!(isolation.has_just_ended(returning, later(2_000)));
    assert!(!isolation.has_just_ended(returning, later(2_500)));
}

#[test]
fn an_entry_removed_while_the_list_is_available_is_dropped_at_once() {
    let mut registry = registry(&["a", "b"]);

    registry.apply([Change::Removed("a".into())], Instant::from_millis(10_000));

    assert_eq!(listed(&registry), ["b"]);
}

#[test]
fn a_draining_upstream_gets_no_requests() {
    let mut registry = registry(&["a", "b"]);

    let draining = upstream("a", State::Draining);
    registry.apply([Change::Written(draining)], Instant::from_millis(10_000));

    assert_eq!(listed(&registry), ["b"]);
}

/// A grant from a scheduler whose list is older must not be used, however long ago the upstream left; one from
/// a scheduler whose list is newer must be.
#[test]
fn an_upstream_that_drains_or_was_removed_is_leaving_until_it_is_written_again() {
    let mut registry = registry(&["a", "b"]);
    let now = Instant::from_millis(10_000);
    let draining = Description { entry_version: 20, ..upstream("a", State::Draining) };

    registry.apply([Change::Written(draining), Change::Removed("b".into())], now);
    registry.set_version(21);
    registry.apply([], now + Duration::from_secs(3_600));

    let is_leaving = |id, entry_version| registry.is_leaving(id, entry_version);
    assert_eq!(["a", "b"].map(|id| is_leaving(id, 1)), [true, true]);
    assert_eq!(["a", "b", "new"].map(|id| is_leaving(id, 22)), [false, false, false]);
    registry.apply([Change::Written(upstream("b", State::Ready))], now);
    assert!(!registry.is_leaving("b", 1));
}

#[test]
fn a_registry_counts_as_read_once_it_has_a_snapshot_even_an_empty_one() {
    let mut registry = Registry::default();
    assert!(!registry.is_read());

    registry.replace([], Instant::ZERO);

    assert!(registry.is_read());
}

#[test]
fn entries_that_expired_in_an_outage_are_kept_for_the_recovery_grace() {
    let mut registry = registry(&["a", "b"]);
    let recovered = Instant::from_millis(20_000);
    registry.mark_unavailable(Instant::from_millis(15_000));

    registry.replace([upstream("b", State::Ready)], recovered);
    assert_eq!(listed(&registry), ["a", "b"]);
    registry.apply([Change::Written(upstream("a", State::Ready))], recovered + RECOVERY_GRACE / 2);
    registry.expire(recovered + RECOVERY_GRACE);

    assert_eq!(listed(&registry), ["a", "b"]);
}

#[test]
fn an_entry_missing_after_the_recovery_grace_is_dropped() {
    let mut registry = registry(&["a", "b"]);
    let recovered = Instant::from_millis(20_000);
    registry.mark_unavailable(Instant::from_millis(15_000));
    registry.replace([upstream("b", State::Ready)], recovered);

    registry.expire(recovered + RECOVERY_GRACE);

    assert_eq!(listed(&registry), ["b"]);
}

/// An instance whose own path to the store is cut must not take removed upstreams for alive ones.
#[test]
fn an_entry_removed_while_the_store_serves_others_is_dropped_at_once() {
    let mut registry = registry(&["a", "b"]);
    registry.mark_unavailable(Instant::from_millis(15_000));
    registry.observe_service(Some(Instant::from_millis(2_000)));

    registry.apply([Change::Removed("a".into())], Instant::from_millis(20_000));

    assert_eq!(listed(&registry), ["b"]);
}

/// The grace begins when the store serves the first instance, not when this one reaches it.
#[test]
fn missing_entries_are_dropped_in_time_by_an_instance_that_regains_the_store_late() {
    let mut registry = registry(&["a", "b"]);
    let back = Instant::from_millis(20_000);
    registry.mark_unavailable(Instant::from_millis(15_000));
    registry.replace([upstream("b", State::Ready)], back + Duration::from_millis(500));
    registry.mark_unavailable(back + Duration::from_millis(600));

    registry.observe_service(Some(back));
    registry.expire(back + RECOVERY_GRACE - Duration::from_millis(1));
    assert_eq!(listed(&registry), ["a", "b"]);
    registry.expire(back + RECOVERY_GRACE);

    assert_eq!(listed(&registry), ["b"]);
}

/// An instance that was frozen over an outage must not report that the store was there all the time.
#[rstest]
#[case::answered_again(1_900, 10_000)]
#[case::after_a_gap(2_000, 12_000)]
fn answers_show_an_available_store_only_without_a_gap(#[case] pause: u64, #[case] since: u64) {
    let first = Span::continued(None, Instant::from_millis(10_000));

    let again = Instant::from_millis(10_000 + pause);
    let access = Access::Answered(Span::continued(Some(first), again));

    let received = Access::from_report(access.report(again), again);
    assert_eq!(received.available_since(again), Some(Instant::from_millis(since)));
    assert_eq!(received.available_since(again + MAX_GAP), None);
}

/// A datagram that was delayed must not undo what the next incarnation sent: an instance that is not ready would get
/// clients, or the store count as serving an instance that it does not serve.
#[test]
fn a_heartbeat_of_the_previous_incarnation_is_ignored() {
    let now = Instant::from_millis(10_000);
    let mut roster = Roster::new(member("n1", "zurich"));
    roster.upsert(member("n2", "zurich"), now);
    let answered = Report::Answered { since_ms: 9_000, last_ms: 0 };
    let before = Heartbeat { incarnation: 1, store: answered, ..heartbeat("n2", true) };
    let restarted = Heartbeat { incarnation: 2, ..heartbeat("n2", false) };

    roster.record_heartbeat(&before, now);
    roster.record_heartbeat(&restarted, now);
    roster.record_heartbeat(&before, now);

    assert_eq!(roster.addresses("zurich", now), []);
    assert_eq!(roster.store_available_since(now), None);
}

/// The time of day of an instance may jump back between two of its starts.
/// The entry in the table does not say whether an instance is stopping; its heartbeats do.
#[test]
fn requests_do_not_go_by_way_of_an_instance_that_was_not_heard_of() {
    let now = Instant::from_millis(10_000);
    let mut roster = roster_cut_off(&[], now);

    roster.upsert(member("n5", "r"), now);
    let unheard = (roster.is_detour("n5", now), names(roster.detours(now)).contains(&"n5"));
    roster.record_heartbeat(&heartbeat("n5", true), now);

    assert_eq!(unheard, (false, false));
    assert!(roster.is_detour("n5", now));
}

#[test]
fn heartbeats_of_a_later_start_with_a_lower_incarnation_are_recorded() {
    let now = Instant::from_millis(10_000);
    let mut roster = Roster::new(member("n1", "zurich"));
    roster.upsert(member("n2", "zurich"), now);
    let before = Heartbeat { incarnation: 9, ..heartbeat("n2", false) };
    let restarted = Heartbeat { incarnation: 8, ..heartbeat("n2", true) };

    roster.record_heartbeat(&before, now);
    roster.record_heartbeat(&restarted, now);

    assert_eq!(roster.addresses("zurich", now), [member("n2", "zurich").caller_address]);
}

#[test]
fn nothing_expires_while_the_list_is_unavailable() {
    let mut registry = registry(&["a", "b"]);
    registry.mark_unavailable(Instant::from_millis(15_000));
    registry.replace([upstream("b", State::Ready)], Instant::from_millis(16_000));
    registry.mark_unavailable(Instant::from_millis(16_500));

    registry.expire(Instant::from_millis(60_000));

    assert_eq!(listed(&registry), ["a", "b"]);
}

#[test]
fn clients_are_sent_to_instances_of_their_region() {
    let now = Instant::from_millis(1_000);
    let mut roster = Roster::new(member("n1", "zurich"));
    roster.set_serving(true);
    for (name, region) in [("n2", "zurich"), ("n3", "geneva")] {
        roster.upsert(member(name, region), now);
        roster.record_heartbeat(&heartbeat(name, true), now);
    }

    assert_eq!(roster.addresses("zurich", now).len(), 2);
    assert_eq!(roster.addresses("geneva", now), [member("n3", "geneva").caller_address]);
    assert_eq!(roster.addresses("lugano", now).len(), 3);
}

#[rstest]
#[case::stopping(false, 0)]
#[case::unresponsive(true, 2_000)]
fn clients_are_not_sent_to_instances_that_stop_or_are_unresponsive(
    #[case] is_serving: bool,
    #[case] silence_ms: u64,
) {
    let last_heartbeat = Instant::from_millis(1_000);
    let mut roster = Roster::new(member("n1", "zurich"));
    roster.set_serving(true);
    roster.upsert(member("n2", "zurich"), last_heartbeat);
    roster.record_heartbeat(&heartbeat("n2", is_serving), last_heartbeat);

    let addresses = roster.addresses("zurich", last_heartbeat + Duration::from_millis(silence_ms));

    assert_eq!(addresses, [member("n1", "zurich").caller_address]);
}

#[test]
fn instances_of_other_regions_time_out_later() {
    let last_heartbeat = Instant::from_millis(1_000);
    let mut roster = Roster::new(member("n1", "zurich"));
    for (name, region) in [("n2", "zurich"), ("n3", "geneva")] {
        roster.upsert(member(name, region), last_heartbeat);
        roster.record_heartbeat(&heartbeat(name, true), last_heartbeat);
    }

    let later = last_heartbeat + Duration::from_millis(4_000);

    assert!(!roster.is_alive("n2", later));
    assert!(roster.is_alive("n3", later));
}

#[test]
fn a_failing_upstream_costs_more_than_a_healthy_one_in_another_region() {
    let now = Instant::from_millis(1_000);
    let mut failing = Health::default();
    let healthy = Health::default();
    for _ in 0..5 {
        failing.begin();
        failing.end(Outcome::Erred, now);
    }

    let near = failing.cost(6, Duration::ZERO);
    let far = healthy.cost(6, Duration::from_millis(30));

    assert!(near > far, "{near} {far}");
}

#[test]
fn an_unreachable_upstream_is_ejected_temporarily() {
    let now = Instant::from_millis(1_000);
    let mut health = Health::default();
    health.begin();

    health.end(Outcome::Unreachable, now);

    assert!(health.is_ejected(now + Duration::from_millis(100)));
    assert!(!health.is_ejected(now + Duration::from_millis(2_500)));
}

#[test]
fn a_shorter_deadline_shows_how_long_the_client_has_waited() {
    let mut tracker = DeadlineTracker::default();
    let now = Instant::from_millis(1_000);
    tracker.elapsed(Duration::from_millis(4_000), now);

    let elapsed = tracker.elapsed(Duration::from_millis(3_700), now);

    assert_eq!(elapsed, Duration::from_millis(300));
}

/// Clients whose deadlines are far and a little above the others' send a request each in a second.
#[test]
fn one_client_with_a_long_deadline_does_not_make_others_count_as_returned() {
    let mut tracker = DeadlineTracker::default();
    let usual = Duration::from_millis(4_000);

    let elapsed: Vec<Duration> = (1..=3_000)
        .map(|number| {
            let now = Instant::from_millis(number * 10);
            if number % 100 == 50 {
                tracker.elapsed(Duration::from_millis(60_000 + number), now);
                tracker.elapsed(Duration::from_millis(4_020), now);
            }
            tracker.elapsed(usual, now)
        })
        .collect();

    assert_eq!(elapsed.iter().filter(|elapsed| !elapsed.is_zero()).count(), 0);
    let after_all = Instant::from_millis(30_010);
    assert_eq!(
        tracker.elapsed(Duration::from_millis(3_000), after_all),
        Duration::from_millis(1_000)
    );
}

/// Of the requests in a burst of returns only a tenth are first attempts.
#[test]
fn returns_in_a_burst_count_from_the_deadline_of_first_attempts() {
    let mut tracker = DeadlineTracker::default();
    let time_left = |number: u64| match number % 10 {
        0 => Duration::from_millis(4_000),
        other => Duration::from_millis(3_000 - other * 150),
    };

    let elapsed = (0..2_000)
        .map(|number| (number, tracker.elapsed(time_left(number), Instant::from_millis(number))));
    let wrong = elapsed.filter(|(number, elapsed)| {
        *elapsed != Duration::from_millis(4_000).saturating_sub(time_left(*number))
    });

    assert_eq!(wrong.count(), 0);
}

#[test]
fn when_all_clients_shorten_their_deadline_the_longer_one_expires() {
    let mut tracker = DeadlineTracker::default();
    tracker.elapsed(Duration::from_millis(4_000), Instant::from_millis(0));
    for second in 1..=30 {
        tracker.elapsed(Duration::from_millis(2_000), Instant::from_millis(second * 1_000));
    }

    let elapsed = tracker.elapsed(Duration::from_millis(2_000), Instant::from_millis(31_000));

    assert_eq!(elapsed, Duration::ZERO);
}
