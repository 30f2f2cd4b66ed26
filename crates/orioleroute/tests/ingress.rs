//! What an instance knows to answer requests: upstreams through outages, other instances, health.

use std::net::SocketAddr;

use orioleroute::ingress::deadline::Longest;
use orioleroute::ingress::health::{Health, Outcome};
use orioleroute::ingress::registry::{Change, RETURN_GRACE, Registry};
use orioleroute::ingress::roster::{Heartbeat, Member, Roster};
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
        orders: 0,
        models: Vec::new(),
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
    Heartbeat { name: name.into(), incarnation: 1, is_serving }
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

#[test]
fn an_entry_that_is_removed_while_the_list_answers_is_gone_at_once() {
    let mut registry = registry(&["a", "b"]);

    registry.apply([Change::Removed("a".into())], Instant::from_millis(10_000));

    assert_eq!(listed(&registry), ["b"]);
}

#[test]
fn an_upstream_that_leaves_gets_no_requests() {
    let mut registry = registry(&["a", "b"]);

    let leaving = upstream("a", State::Draining);
    registry.apply([Change::Written(leaving)], Instant::from_millis(10_000));

    assert_eq!(listed(&registry), ["b"]);
}

#[test]
fn entries_that_lapsed_in_an_outage_are_kept_until_they_had_time_to_return() {
    let mut registry = registry(&["a", "b"]);
    let back = Instant::from_millis(20_000);
    registry.lose(Instant::from_millis(15_000));

    registry.replace([upstream("b", State::Ready)], back);
    assert_eq!(listed(&registry), ["a", "b"]);
    registry.apply([Change::Written(upstream("a", State::Ready))], back + RETURN_GRACE / 2);
    registry.expire(back + RETURN_GRACE);

    assert_eq!(listed(&registry), ["a", "b"]);
}

#[test]
fn an_entry_that_does_not_return_after_an_outage_is_gone() {
    let mut registry = registry(&["a", "b"]);
    let back = Instant::from_millis(20_000);
    registry.lose(Instant::from_millis(15_000));
    registry.replace([upstream("b", State::Ready)], back);

    registry.expire(back + RETURN_GRACE);

    assert_eq!(listed(&registry), ["b"]);
}

#[test]
fn while_the_list_is_away_nothing_expires() {
    let mut registry = registry(&["a", "b"]);
    registry.lose(Instant::from_millis(15_000));
    registry.replace([upstream("b", State::Ready)], Instant::from_millis(16_000));
    registry.lose(Instant::from_millis(16_500));

    registry.expire(Instant::from_millis(60_000));

    assert_eq!(listed(&registry), ["a", "b"]);
}

#[test]
fn clients_are_sent_to_instances_of_their_region() {
    let now = Instant::from_millis(1_000);
    let mut roster = Roster::new(member("n1", "zurich"));
    roster.set_serving(true);
    for (name, region) in [("n2", "zurich"), ("n3", "geneva")] {
        roster.admit(member(name, region), now);
        roster.hear(&heartbeat(name, true), now);
    }

    assert_eq!(roster.addresses("zurich", now).len(), 2);
    assert_eq!(roster.addresses("geneva", now), [member("n3", "geneva").caller_address]);
    assert_eq!(roster.addresses("lugano", now).len(), 3);
}

#[rstest]
#[case::stopping(false, 0)]
#[case::silent(true, 2_000)]
fn clients_are_not_sent_to_instances_that_stop_or_are_silent(
    #[case] is_serving: bool,
    #[case] silence_ms: u64,
) {
    let heard = Instant::from_millis(1_000);
    let mut roster = Roster::new(member("n1", "zurich"));
    roster.set_serving(true);
    roster.admit(member("n2", "zurich"), heard);
    roster.hear(&heartbeat("n2", is_serving), heard);

    let addresses = roster.addresses("zurich", heard + Duration::from_millis(silence_ms));

    assert_eq!(addresses, [member("n1", "zurich").caller_address]);
}

#[test]
fn instances_of_other_regions_are_heard_of_less_often_and_trusted_for_longer() {
    let heard = Instant::from_millis(1_000);
    let mut roster = Roster::new(member("n1", "zurich"));
    for (name, region) in [("n2", "zurich"), ("n3", "geneva")] {
        roster.admit(member(name, region), heard);
        roster.hear(&heartbeat(name, true), heard);
    }

    let later = heard + Duration::from_millis(4_000);

    assert!(!roster.is_alive("n2", later));
    assert!(roster.is_alive("n3", later));
}

#[test]
fn an_upstream_that_fails_costs_more_than_one_in_another_region() {
    let now = Instant::from_millis(1_000);
    let mut failing = Health::default();
    let sound = Health::default();
    for _ in 0..5 {
        failing.begin();
        failing.end(Outcome::Erred, now);
    }

    let near = failing.cost(6, Duration::ZERO);
    let far = sound.cost(6, Duration::from_millis(30));

    assert!(near > far, "{near} {far}");
}

#[test]
fn an_upstream_that_cannot_be_reached_is_left_alone_for_a_while() {
    let now = Instant::from_millis(1_000);
    let mut health = Health::default();
    health.begin();

    health.end(Outcome::Unreachable, now);

    assert!(health.is_ejected(now + Duration::from_millis(100)));
    assert!(!health.is_ejected(now + Duration::from_millis(2_500)));
}

#[test]
fn what_a_client_has_waited_shows_in_its_shorter_deadline() {
    let mut longest = Longest::default();
    let now = Instant::from_millis(1_000);
    longest.elapsed(Duration::from_millis(4_000), now);

    let elapsed = longest.elapsed(Duration::from_millis(3_700), now);

    assert_eq!(elapsed, Duration::from_millis(300));
}

#[test]
fn a_deadline_that_all_clients_shorten_is_soon_the_whole_one() {
    let mut longest = Longest::default();
    longest.elapsed(Duration::from_millis(4_000), Instant::from_millis(0));
    for second in 1..=30 {
        longest.elapsed(Duration::from_millis(2_000), Instant::from_millis(second * 1_000));
    }

    let elapsed = longest.elapsed(Duration::from_millis(2_000), Instant::from_millis(31_000));

    assert_eq!(elapsed, Duration::ZERO);
}
