//! Routing and placement: evictions, the choice of where to load, and fallbacks after failures.

use std::time::Duration;

use orioleroute::catalog::Catalog;
use orioleroute::demand::Demand;
use orioleroute::document::Document;
use orioleroute::fleet::{Fleet, Residency, Resident};
use orioleroute::hash::{digest, score};
use orioleroute::key;
use orioleroute::operator::{Answer, Command};
use orioleroute::placement::{Candidate, Plan, plan};
use orioleroute::prelude::Instant;
use orioleroute::request::{Spec, Target};
use proptest::prelude::*;
use rstest::rstest;
use standins::world::{Engine, Outcome, Record, World};

const ADAPTERS: usize = 24;

fn document() -> String {
    document_with(200)
}

fn document_with(region_penalty_ms: u32) -> String {
    let adapters: Vec<_> = (0..ADAPTERS)
        .map(|adapter| {
            serde_json::json!({
                "name": format!("adapter-{adapter}"), "model": "base",
                "versions": ["v1"], "default": "v1",
            })
        })
        .collect();
    serde_json::json!({
        "format": 1,
        "models": [{ "name": "base" }],
        "pools": [{ "name": "pool", "model": "base", "slots": 2, "concurrency": 4, "fencing": "checked" }],
        "adapters": adapters,
        "policy": { "region_penalty_ms": region_penalty_ms },
    })
    .to_string()
}

fn catalog() -> (Catalog, Vec<key::Revision>) {
    let mut catalog = Catalog::default();
    catalog.apply(&Document::from_json(&document()).expect("the document is valid"));
    let find =
        |adapter| catalog.resolve(&format!("adapter-{adapter}")).expect("the adapter exists");
    let revisions = (0..ADAPTERS).map(find).collect();
    (catalog, revisions)
}

/// Returns a fleet of engines that each hold different revisions, with the given number of requests
/// running on each.
fn fleet(running: &[Vec<u32>], revisions: &[key::Revision]) -> (Fleet, Vec<key::Upstream>) {
    let mut fleet = Fleet::default();
    let listings: Vec<_> =
        (0..running.len()).map(|engine| Engine::new(engine, "pool", "zurich", 2).listing).collect();
    fleet.apply_listing(&listings);
    let mut keys: Vec<key::Upstream> = fleet.iter().map(|(key, _)| key).collect();
    keys.sort_by_key(|key| fleet.get(*key).map(|upstream| upstream.listing.address));
    let mut revisions = revisions.iter();
    for (key, running) in keys.iter().zip(running) {
        let upstream = fleet.get_mut(*key).expect("the upstream is listed");
        upstream.reported_at = Some(Instant::ZERO);
        for running in running {
            let mut resident = Resident::new(Residency::Loaded, 0, Instant::ZERO);
            resident.running = *running;
            upstream.running += running;
            upstream
                .residents
                .insert(*revisions.next().expect("there are enough revisions"), resident);
        }
    }
    (fleet, keys)
}

proptest! {
    #[test]
    fn no_revision_in_use_or_pinned_is_evicted_and_no_slot_is_taken_twice(
        running in prop::collection::vec(prop::collection::vec(0..3_u32, 0..=2), 1..6),
        pinned in prop::collection::vec(any::<bool>(), ADAPTERS),
        packing in 0.0..8.0_f64,
    ) {
        let (_, revisions) = catalog();
        let (fleet, keys) = fleet(&running, &revisions[1..]);
        let candidates = keys.iter().map(|key| Candidate { upstream: *key, slots: 2, concurrency: 4 });
        let pinned = |key| pinned[revisions.iter().position(|revision| *revision == key).unwrap()];

        let plan = plan(Instant::ZERO, &fleet, candidates, revisions[0], packing, |key| {
            (!pinned(key)).then_some(1.0)
        });

        match plan {
            Some(Plan::Load(key)) => prop_assert!(fleet.get(key).unwrap().residents.len() < 2),
            Some(Plan::Evict(key, victim)) => {
                prop_assert_eq!(fleet.get(key).unwrap().residents[&victim].running, 0);
                prop_assert!(!pinned(victim));
                prop_assert!(running.iter().all(|engine| engine.len() == 2));
            }
            None => {
                for key in &keys {
                    let residents = &fleet.get(*key).unwrap().residents;
                    prop_assert_eq!(residents.len(), 2);
                    prop_assert!(residents.iter().all(|(key, held)| held.running > 0 || pinned(*key)));
                }
            }
        }
    }

    #[test]
    fn a_home_wins_in_proportion_to_its_shares(first in 1..6_u32, second in 1..6_u32) {
        let nodes = [(digest("node-a"), first), (digest("node-b"), second)];

        let won = (0..4_000_u32)
            .map(|item| digest(&item))
            .filter(|item| score(*item, nodes[0].0, first) > score(*item, nodes[1].0, second))
            .count();

        let expected = f64::from(first) / f64::from(first + second);
        prop_assert!((won as f64 / 4_000.0 - expected).abs() < 0.04);
    }
}

#[test]
fn the_revision_least_in_demand_is_evicted() {
    let (_, revisions) = catalog();
    let (fleet, keys) = fleet(&[vec![0, 0], vec![0, 0]], &revisions[1..]);
    let candidates = keys.iter().map(|key| Candidate { upstream: *key, slots: 2, concurrency: 4 });
    let value = |key| Some(if key == revisions[3] { 0.1 } else { 0.2 });

    let plan = plan(Instant::ZERO, &fleet, candidates, revisions[0], 0.0, value);

    assert_eq!(plan, Some(Plan::Evict(keys[1], revisions[3])));
}

#[test]
fn packing_evicts_where_a_batch_runs() {
    let (_, revisions) = catalog();
    let (fleet, keys) = fleet(&[vec![0, 0], vec![4, 0]], &revisions[1..]);
    let candidates = keys.iter().map(|key| Candidate { upstream: *key, slots: 2, concurrency: 4 });

    let plan = plan(Instant::ZERO, &fleet, candidates, revisions[0], 2.0, |_| Some(1.0));

    assert_eq!(plan, Some(Plan::Evict(keys[1], revisions[4])));
}

#[test]
fn demand_follows_a_shift_within_seconds() {
    let (_, revisions) = catalog();
    let (old, new) = (revisions[0], revisions[1]);
    let mut demand = Demand::default();
    let second = |number: u64| Instant::from_millis(number * 1_000);
    for number in 0..300 {
        demand.sweep(second(number));
        demand.observe(second(number), old);
    }

    for number in 300..330 {
        demand.sweep(second(number));
        demand.observe(second(number), new);
    }

    assert!(demand.rate(second(330), new) > demand.rate(second(330), old));
}

/// Returns a region with two nodes and four engines, with the document active.
fn world(seed: u64) -> World {
    let mut world = World::new(seed);
    for _ in 0..2 {
        world.add_node("zurich");
    }
    for engine in 0..4 {
        world.add_engine(Engine::new(engine, "pool", "zurich", 2));
    }
    world.run(Duration::from_secs(8));
    let ticket = world.command(0, Command::Submit { base: 0, document: document().into() });
    world.run(Duration::from_secs(8));
    assert_eq!(world.answers.get(&ticket), Some(&Answer::Accepted { version: 1 }));
    world
}

fn spec(adapter: usize) -> Spec {
    Spec {
        target: Target::Model(format!("adapter-{adapter}").into()),
        importance: None,
        timeout: Some(Duration::from_secs(20)),
        queue_timeout: None,
        repeatable: true,
        idempotency: None,
        hops: 0,
        may_have_run: false,
    }
}

/// Returns the engines that each of the two nodes owns according to the view.
fn owned(world: &World) -> [Vec<usize>; 2] {
    let core = world.nodes[0].core.as_ref().expect("the node is running");
    let view = core.membership().view_of("zurich").expect("the view is known");
    let mut owned = [Vec::new(), Vec::new()];
    for (number, engine) in world.engines.iter().enumerate() {
        let owner = view.owner(digest(&*engine.listing.name)).expect("the engine has an owner");
        let node = world.nodes.iter().position(|node| node.identity.name == owner.name);
        owned[node.expect("the owner is a node")].push(number);
    }
    owned
}

#[rstest]
#[case::first_home_fails(0)]
#[case::second_home_fails(1)]
fn a_request_does_not_wait_for_a_home_whose_engines_all_fail_to_load(#[case] failing: usize) {
    let mut world = world(8);
    let owned = owned(&world);
    assert!(owned.iter().all(|engines| !engines.is_empty()), "{owned:?}");
    for engine in &owned[failing] {
        world.engines[*engine].faults.loads_fail = true;
    }

    // Few enough for the adapter slots of the working home, however many engines it owns.
    let requests: Vec<usize> = (0..2).map(|adapter| world.ask(failing, spec(adapter))).collect();
    world.run(Duration::from_secs(3));

    for request in requests {
        let outcome = world.outcome(request);
        assert!(matches!(outcome, Some(Outcome::Complete(_))), "{outcome:?}");
    }
}

#[test]
fn a_slow_load_does_not_prevent_a_load_on_another_engine() {
    let mut world = world(8);
    for engine in 0..3 {
        world.engines[engine].load_time = Duration::from_secs(60);
    }

    let request = world.ask(0, spec(0));
    world.run(Duration::from_secs(8));

    let outcome = world.outcome(request);
    assert!(matches!(outcome, Some(Outcome::Complete(_))), "{outcome:?}");
}

#[test]
fn a_request_that_cannot_meet_its_deadline_is_refused_at_once() {
    let mut world = world(8);
    let too_short = Spec { timeout: Some(Duration::from_millis(20)), ..spec(0) };

    let request = world.ask(0, too_short);
    world.run(Duration::from_millis(100));

    let Some(Outcome::Refused(refusal)) = world.outcome(request) else {
        panic!("{:?}", world.outcome(request));
    };
    assert!(refusal.retry_after.is_some());
}

/// Returns two regions with a node and an engine each.
fn two_regions(region_penalty_ms: u32) -> World {
    let mut world = World::new(1);
    for (number, region) in ["zurich", "geneva"].into_iter().enumerate() {
        world.add_node(region);
        world.add_engine(Engine::new(number, "pool", region, 2));
    }
    world.run(Duration::from_secs(8));
    let document = document_with(region_penalty_ms).into();
    let ticket = world.command(0, Command::Submit { base: 0, document });
    world.run(Duration::from_secs(8));
    assert_eq!(world.answers.get(&ticket), Some(&Answer::Accepted { version: 1 }));
    world
}

#[rstest]
#[case::wait_outweighs_the_penalty(200, 1)]
#[case::penalty_outweighs_the_wait(5_000, 2)]
fn a_request_goes_to_the_region_that_holds_its_revision(
    #[case] region_penalty_ms: u32,
    #[case] loads: usize,
) {
    let mut world = two_regions(region_penalty_ms);

    for node in 0..2 {
        let request = world.ask(node, spec(0));
        world.run(Duration::from_secs(2));
        let outcome = world.outcome(request);
        assert!(matches!(outcome, Some(Outcome::Complete(_))), "{outcome:?}");
    }

    let ordered = |record: &Record| matches!(record, Record::OrderCompleted { load: true, .. });
    assert_eq!(world.records.iter().filter(|(_, record)| ordered(record)).count(), loads);
}

#[test]
fn a_region_that_no_longer_holds_a_revision_loads_it_for_forwarded_requests() {
    let mut world = two_regions(200);
    let first = world.ask(0, spec(0));
    world.run(Duration::from_secs(2));
    world.restart_engine(0);

    let second = world.ask(1, spec(0));
    world.run(Duration::from_secs(4));

    for request in [first, second] {
        let outcome = world.outcome(request);
        assert!(matches!(outcome, Some(Outcome::Complete(_))), "{outcome:?}");
    }
}

#[test]
fn a_revision_whose_upstream_is_full_is_loaded_on_another() {
    let mut world = world(8);
    for engine in &mut world.engines {
        engine.run_time = Duration::from_secs(3);
    }
    let first = world.ask(0, spec(0));
    world.run(Duration::from_secs(1));

    let rest: Vec<usize> = (0..11)
        .map(|_| {
            let request = world.ask(0, spec(0));
            world.run(Duration::from_millis(200));
            request
        })
        .collect();
    world.run(Duration::from_secs(8));

    for request in rest.into_iter().chain([first]) {
        let outcome = world.outcome(request);
        assert!(matches!(outcome, Some(Outcome::Complete(_))), "{outcome:?}");
    }
    let ordered = |record: &Record| matches!(record, Record::OrderCompleted { load: true, .. });
    assert!(world.records.iter().filter(|(_, record)| ordered(record)).count() > 1);
}
