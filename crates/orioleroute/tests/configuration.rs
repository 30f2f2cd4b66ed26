//! A document is accepted once for all regions, and operators receive a correct answer about it.

mod common;

use std::time::Duration;

use common::{ONE_REGION, Topology, document, world};
use orioleroute::document::{Delta, Document};
use orioleroute::operator::{Answer, Command};
use proptest::prelude::*;
use standins::world::World;

const TWO_REGIONS: Topology = Topology { regions: &["zurich", "geneva"], ..ONE_REGION };

fn submit(world: &mut World, node: usize, base: u64, versions: usize) -> u64 {
    let document = document(versions, 4).into();
    world.command(node, Command::Submit { base, document })
}

fn versions(world: &World) -> Vec<u64> {
    let cores = world.nodes.iter().filter_map(|node| node.core.as_ref());
    cores.map(|core| core.version()).collect()
}

#[test]
fn a_lone_submission_is_accepted_whatever_the_order_of_replies() {
    for seed in 0..100 {
        let world = world(seed, ONE_REGION);

        assert_eq!(versions(&world), [1, 1, 1], "seed {seed}: {:?}", world.answers);
    }
}

#[test]
fn an_accepted_document_is_active_everywhere_within_4_s() {
    let mut elapsed = Vec::new();
    for seed in 0..20 {
        let mut world = world(seed, TWO_REGIONS);
        let ticket = submit(&mut world, 4, 1, 2);

        world.run_until(Duration::from_secs(10), |world| {
            world.platform.rows.get("config/head").is_some_and(|row| row.version == 2)
        });
        let accepted = world.now;
        // For half of the seeds the announcements of the acceptance are lost.
        world.partitions.extend((0..6).filter(|_| seed % 2 == 1).map(|to| (4, to)));
        world.run_until(Duration::from_secs(4), |world| versions(world) == [2; 6]);

        assert_eq!(versions(&world), [2; 6], "seed {seed}");
        assert_eq!(world.answers[&ticket], Answer::Accepted { version: 2 }, "seed {seed}");
        elapsed.push(world.now.since(accepted));
    }
    elapsed.sort();
    println!("active everywhere: median {:?}, worst {:?}", elapsed[10], elapsed[19]);
}

#[test]
fn exactly_one_of_two_concurrent_submissions_is_accepted() {
    for seed in 0..60 {
        let mut world = world(seed, TWO_REGIONS);
        world.platform.faults.replies_lost = seed % 3 == 1;
        world.platform.faults.write_delay = (seed % 3 == 2).then_some(Duration::from_millis(1_700));
        let first = submit(&mut world, 0, 1, 2);
        world.run(Duration::from_millis(seed * 5));
        let second = submit(&mut world, 5, 1, 3);

        world.run(Duration::from_secs(10));
        world.heal();
        world.run(Duration::from_secs(10));

        let accepted = [first, second]
            .map(|ticket| matches!(world.answers[&ticket], Answer::Accepted { version: 2 }));
        let answers = [&world.answers[&first], &world.answers[&second]];
        assert_eq!(accepted.iter().filter(|won| **won).count(), 1, "seed {seed}: {answers:?}");
        assert_eq!(versions(&world), [2; 6], "seed {seed}");
        let revisions = world.nodes[0].core.as_ref().unwrap().catalog().current().count();
        let winner = if accepted[0] { 2 } else { 3 };
        assert_eq!(revisions, common::ADAPTERS * winner, "seed {seed}: {answers:?}");
        assert_eq!(world.checker.violations(), [], "seed {seed}");
    }
}

#[test]
fn a_second_submission_at_one_instance_is_not_answered_with_a_nonexistent_version() {
    let mut world = world(1, ONE_REGION);
    submit(&mut world, 0, 1, 2);
    let second = submit(&mut world, 0, 1, 3);

    assert!(matches!(world.answers[&second], Answer::Failed { .. }), "{:?}", world.answers);
}

#[test]
fn a_submission_is_pending_while_a_region_is_partitioned_and_accepted_afterwards() {
    let mut world = world(1, TWO_REGIONS);
    for here in 0..3 {
        for there in 3..6 {
            world.partition(here, there);
        }
    }
    let ticket = submit(&mut world, 0, 1, 2);

    world.run(Duration::from_secs(6));
    let regions = vec!["geneva".into()];
    assert_eq!(world.answers[&ticket], Answer::Pending { version: 2, regions });
    world.heal();
    world.run(Duration::from_secs(5));

    assert_eq!(world.answers[&ticket], Answer::Accepted { version: 2 });
    assert_eq!(versions(&world), [2; 6]);
    assert_eq!(world.checker.violations(), []);
}

#[test]
fn a_dead_member_delays_an_acceptance_only_until_it_is_removed() {
    for seed in 0..20 {
        let mut world = world(seed, TWO_REGIONS);
        world.kill(4);
        let ticket = submit(&mut world, 0, 1, 2);

        world.run_until(Duration::from_secs(8), |world| {
            world.answers.get(&ticket) == Some(&Answer::Accepted { version: 2 })
        });

        assert_eq!(world.answers[&ticket], Answer::Accepted { version: 2 }, "seed {seed}");
    }
}

fn documents() -> impl Strategy<Value = Document> {
    let adapters = prop::collection::btree_map(0..8_usize, 1..4_usize, 0..8);
    (adapters, 1..3_u32, any::<bool>()).prop_map(|(adapters, slots, service)| {
        let text = document(1, slots);
        let mut document = Document::from_json(&text).unwrap();
        let template = document.adapters.remove(0);
        document.adapters.clear();
        for (number, versions) in adapters {
            let mut adapter = template.clone();
            adapter.name = format!("adapter-{number}").into();
            adapter.versions = (1..=versions).map(|version| format!("v{version}").into()).collect();
            document.adapters.push(adapter);
        }
        document.policy.deadline_ms += u32::from(service);
        document
    })
}

/// Returns a system from which a paused node is removed, after which three documents are accepted.
fn world_with_one_behind(adapters: usize) -> World {
    let mut world = world(1, ONE_REGION);
    for adapter in 0..common::ADAPTERS {
        common::time_to_answer(&mut world, 2, adapter, Duration::from_secs(5)).expect("an answer");
    }
    world.pause(2);
    world.run(Duration::from_secs(6));
    for base in 1..4 {
        let document = common::document_of(adapters, base as usize, 4).into();
        world.command(0, Command::Submit { base, document });
        world.run(Duration::from_secs(3));
    }
    world
}

#[test]
fn a_member_that_missed_changes_is_sent_only_those() {
    const ADAPTERS: usize = 1_000;
    let mut world = world_with_one_behind(ADAPTERS);
    let document = common::document_of(ADAPTERS + 1, 3, 4).into();
    world.command(0, Command::Submit { base: 4, document });
    world.run(Duration::from_secs(3));
    world.resume(2);
    world.run(Duration::from_secs(5));
    assert_eq!(versions(&world), [5; 3]);

    world.pause(2);
    world.run(Duration::from_secs(6));
    let document = common::document_of(ADAPTERS, 3, 4).into();
    world.command(0, Command::Submit { base: 5, document });
    world.run(Duration::from_secs(3));
    world.platform.faults.objects_down = true;
    let before: u64 = world.nodes.iter().map(|node| node.counts.bytes).sum();
    world.resume(2);
    world.run(Duration::from_secs(3));

    let after: u64 = world.nodes.iter().map(|node| node.counts.bytes).sum();
    assert_eq!(versions(&world), [6; 3]);
    let whole = common::document_of(ADAPTERS, 3, 4).len() as u64;
    assert!(after - before < whole / 2, "{} bytes, whole {whole}", after - before);
}

#[test]
fn a_member_that_lacks_an_accepted_version_answers_nothing() {
    let mut world = world_with_one_behind(common::ADAPTERS);
    world.platform.faults.objects_down = true;
    world.partition(0, 2);
    world.partition(1, 2);

    world.resume(2);
    for _ in 0..80 {
        for adapter in 0..common::ADAPTERS {
            world.ask(2, common::request(adapter, Duration::from_secs(1)));
        }
        world.run(Duration::from_millis(100));
    }

    assert_eq!(world.checker.violations(), []);
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn a_change_applies_only_to_its_base_and_yields_its_successor(
        old in documents(),
        new in documents(),
        other in documents(),
    ) {
        let delta = Delta::between(&old, &new);

        let applied = delta.apply(&old);
        prop_assert_eq!(applied.as_ref().map(Document::digest), Some(new.digest()));
        let same = applied.is_some_and(|applied| {
            let mut left = applied.adapters.clone();
            let mut right = new.adapters.clone();
            left.sort_by(|one, two| one.name.cmp(&two.name));
            right.sort_by(|one, two| one.name.cmp(&two.name));
            left == right && applied.pools == new.pools && applied.policy == new.policy
        });
        prop_assert!(same);
        // A wrong base is rejected, unless applying the change removes all its differences.
        if let Some(reached) = delta.apply(&other) {
            prop_assert_eq!(reached.digest(), new.digest());
        }
    }
}

#[test]
fn a_request_that_waits_for_a_dropped_version_is_refused_at_once() {
    let topology = Topology { engines: 1, slots: 1, ..ONE_REGION };
    let mut world = world(1, topology);
    submit(&mut world, 0, 1, 2);
    world.run(Duration::from_secs(2));
    world.engines[0].faults.loads_fail = true;
    let target = orioleroute::request::Target::Model("adapter-0@v2".into());
    let spec = common::request(0, Duration::from_secs(30));
    let number = world.ask(0, orioleroute::request::Spec { target, ..spec });

    submit(&mut world, 0, 2, 1);
    world.run(Duration::from_secs(2));

    assert!(world.outcome(number).is_some());
}
