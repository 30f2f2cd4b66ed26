//! Streams at upstreams of several software versions.
//!
//! Guards against streams that go on at another version than the one that began them.

mod scheduling;

use orioleroute::ingress::origins::{HOLDERS, ORIGIN_TTL, Origin, Origins};
use orioleroute::ingress::registry::{Change, Registry};
use orioleroute::ingress::upstream::Description;
use orioleroute::prelude::*;
use orioleroute::scheduler::Output;
use orioleroute::scheduler::message::{Placement, Reason, ToInstance};
use rstest::rstest;
use scheduling::{CLIENT, START, description, placement, refusals, scheduler};

fn engine(number: usize, build: &str) -> Description {
    Description { build: build.into(), ..description(number, &["a1"]) }
}

fn sorted(builds: Set<Arc<str>>) -> Vec<Arc<str>> {
    let mut builds: Vec<Arc<str>> = builds.into_iter().collect();
    builds.sort_unstable();
    builds
}

#[rstest]
#[case::the_first("v1", "i-0")]
#[case::the_second("v2", "i-1")]
fn a_request_for_a_build_is_granted_there(#[case] build: &str, #[case] expected: &str) {
    let (mut scheduler, _) = scheduler(&[engine(0, "v1"), engine(1, "v2")]);

    for ticket in 1..=2 {
        let request = Placement { build: Some(build.into()), ..placement(ticket, "a1") };
        scheduler.place(CLIENT, request, START);
    }

    let outputs = scheduler.take_outputs();
    let granted: Vec<_> = outputs
        .iter()
        .filter_map(|output| match output {
            Output::Send(_, ToInstance::Grant(grant)) => {
                Some((&*grant.upstream, grant.build.as_deref()))
            }
            _ => None,
        })
        .collect();
    assert_eq!(granted, [(expected, Some(build)); 2]);
}

#[test]
fn a_request_for_a_build_without_engines_is_refused_at_once() {
    let (mut scheduler, _) = scheduler(&[engine(0, "v2")]);

    let request = Placement { build: Some("v1".into()), ..placement(1, "a1") };
    scheduler.place(CLIENT, request, START);

    assert_eq!(refusals(&scheduler.take_outputs()), [(1, Reason::NoEngine)]);
}

/// A later attempt that goes on with a stream is recorded under the first one, which counts.
#[test]
fn the_build_at_which_a_stream_began_is_remembered_for_as_long_as_a_stream_lasts() {
    let mut origins = Origins::default();
    let (first, other) = (Origin::of("one"), Origin::of("two"));

    origins.record(first, "v1".into(), START);
    origins.record(first, "v2".into(), START + Duration::from_secs(1));
    let known = origins.build(first);
    origins.record(other, "v2".into(), START + ORIGIN_TTL);

    assert_eq!(known.as_deref(), Some("v1"));
    assert_eq!(origins.build(first), None);
    assert_eq!(origins.build(other).as_deref(), Some("v2"));
}

/// One instance is gone, and with it the scheduler of a zone.
#[test]
fn every_stream_is_held_by_several_zones() {
    let zones: Vec<Arc<str>> = (0..6).map(|number| format!("z{number}").into()).collect();
    let reversed: Vec<Arc<str>> = zones.iter().rev().cloned().collect();
    let mut streams_by_zone: Map<Arc<str>, usize> = Map::default();

    for number in 0..600 {
        let origin = Origin::of(&format!("{number:x}"));
        let holders: Vec<&Arc<str>> = origin.holders(&zones).collect();
        assert_eq!(holders.len(), HOLDERS);
        assert_eq!(holders, origin.holders(&reversed).collect::<Vec<_>>());
        for zone in holders {
            *streams_by_zone.entry(zone.clone()).or_default() += 1;
        }
    }

    assert!(streams_by_zone.values().all(|streams| (200..=400).contains(streams)));
}

#[test]
fn builds_that_have_just_left_the_list_are_remembered() {
    let mut registry = Registry::default();
    registry.replace([engine(0, "v1"), engine(1, "v2")], START);

    registry.apply([Change::Removed("i-0".into())], START);
    registry.apply([Change::Written(engine(1, "v3"))], START);

    let builds = |at| sorted(registry.recent_builds("notices", at));
    assert_eq!(builds(START), ["v1", "v2", "v3"].map(Arc::from));
    assert_eq!(builds(START + ORIGIN_TTL), ["v3"].map(Arc::from));
    assert!(registry.recent_builds("desk", START).is_empty());
}
