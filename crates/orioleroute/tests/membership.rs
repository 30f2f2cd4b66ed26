//! What a new owner of an upstream may do while a previous owner is still active.

mod common;

use std::time::Duration;

use common::{ONE_REGION, Topology, is_complete, owner, request, time_to_answer, world};
use orioleroute::operator::Command;
use rstest::rstest;
use standins::world::World;
use standins::world::check::Violation;

/// An owner that is partitioned from its peers, and later from the table, continues to answer until its
/// lease expires. The adapters that its requests use must not be evicted in that time.
#[rstest]
#[case::engines_that_check_fencing(true)]
#[case::engines_that_ignore_fencing(false)]
fn a_new_owner_evicts_nothing_that_an_isolated_owner_still_uses(#[case] checks_fencing: bool) {
    for seed in 0..20 {
        let topology = Topology { engines: 1, slots: 1, checks_fencing, ..ONE_REGION };
        let mut world = world(seed, topology);
        let previous = owner(&world, 0);
        time_to_answer(&mut world, previous, 0, Duration::from_secs(5)).expect("an answer");
        world.engines[0].run_time = Duration::from_millis(20);
        for other in (0..3).filter(|other| *other != previous) {
            world.partition(previous, other);
        }

        for millis in (0..12_000).step_by(40) {
            if millis == 3_000 {
                world.isolated_from_platform.insert(previous);
            }
            world.ask(previous, request(0, Duration::from_secs(1)));
            if millis % 1_000 == 0 {
                world.ask((previous + 1) % 3, request(1, Duration::from_secs(10)));
            }
            world.run(Duration::from_millis(40));
        }

        assert_eq!(violations(&world), [], "seed {seed}");
    }
}

/// A leaving member may answer until it has read the view that removes it.
#[test]
fn a_new_owner_evicts_nothing_that_a_leaving_owner_still_uses() {
    for seed in 0..20 {
        let mut world = world(seed, Topology { engines: 1, slots: 1, ..ONE_REGION });
        let previous = owner(&world, 0);
        time_to_answer(&mut world, previous, 0, Duration::from_secs(5)).expect("an answer");
        world.engines[0].run_time = Duration::from_millis(20);
        world.stop(previous);

        for millis in (0..8_000).step_by(40) {
            if millis == 80 + seed * 40 {
                world.isolated_from_platform.insert(previous);
                for other in (0..3).filter(|other| *other != previous) {
                    world.partition(previous, other);
                }
            }
            world.ask(previous, request(0, Duration::from_secs(1)));
            if millis % 500 == 0 {
                world.ask((previous + 1) % 3, request(1, Duration::from_secs(10)));
            }
            world.run(Duration::from_millis(40));
        }

        assert_eq!(violations(&world), [], "seed {seed}");
    }
}

#[test]
fn a_leaving_owner_finishes_its_streams_and_stops_while_others_take_over_its_upstream() {
    for seed in 0..20 {
        let mut world = world(seed, Topology { engines: 1, slots: 1, ..ONE_REGION });
        let previous = owner(&world, 0);
        time_to_answer(&mut world, previous, 0, Duration::from_secs(5)).expect("an answer");
        world.engines[0].run_time = Duration::from_secs(8);
        let mut requests = Vec::new();
        for _ in 0..3 {
            requests.push(world.ask(previous, request(0, Duration::from_secs(20))));
        }
        world.run(Duration::from_millis(20));

        world.stop(previous);
        world.run(Duration::from_secs(2));
        requests.push(world.ask(previous, request(1, Duration::from_secs(30))));
        requests.push(world.ask((previous + 1) % 3, request(1, Duration::from_secs(30))));
        world.run(Duration::from_secs(40));

        let incomplete: Vec<_> = requests
            .iter()
            .filter(|number| !is_complete(&world, **number))
            .map(|number| world.outcome(*number))
            .collect();
        assert!(incomplete.is_empty(), "seed {seed}: {incomplete:?}");
        assert_eq!(violations(&world), [], "seed {seed}");
        assert!(world.nodes[previous].core.is_none(), "seed {seed}");
    }
}

/// A member that has not received the new view continues to evict adapters for its own requests.
#[rstest]
#[case::engines_that_check_fencing(true)]
#[case::engines_that_ignore_fencing(false)]
fn a_new_owner_uses_nothing_that_a_previous_owner_may_still_evict(#[case] checks_fencing: bool) {
    for seed in 0..20 {
        let topology = Topology { nodes: 2, engines: 6, slots: 1, checks_fencing, ..ONE_REGION };
        let mut world = world(seed, topology);
        for adapter in 0..common::ADAPTERS {
            time_to_answer(&mut world, 0, adapter, Duration::from_secs(9)).expect("an answer");
        }
        for engine in &mut world.engines {
            engine.run_time = Duration::from_millis(60);
        }
        world.isolated_from_platform.extend([0, 1]);
        let joiner = world.add_node("zurich");
        world.partition(0, joiner);
        world.partition(1, joiner);

        for round in 0..200 {
            for node in 0..3 {
                let adapter = (round + 5 * node) % common::ADAPTERS;
                world.ask(node, request(adapter, Duration::from_secs(2)));
            }
            world.run(Duration::from_millis(50));
        }

        assert_eq!(violations(&world), [], "seed {seed}");
    }
}

#[test]
fn a_member_removed_while_it_was_paused_answers_nothing_in_a_table_outage() {
    for seed in 0..20 {
        let mut world = world(seed, Topology { slots: 12, ..ONE_REGION });
        for adapter in 0..common::ADAPTERS {
            time_to_answer(&mut world, 2, adapter, Duration::from_secs(5)).expect("an answer");
        }
        world.pause(2);
        let document = common::document(1, 12).into();
        world.command(0, Command::Submit { base: 1, document });
        let accepted = world.run_until(Duration::from_secs(8), |world| {
            world.platform.rows.get("config/head").is_some_and(|row| row.version == 2)
        });
        assert!(accepted, "seed {seed}");
        world.platform.faults.table_down = true;
        world.run(Duration::from_millis(1_200));

        world.resume(2);
        for _ in 0..100 {
            for adapter in 0..common::ADAPTERS {
                world.ask(2, request(adapter, Duration::from_secs(1)));
            }
            world.run(Duration::from_millis(100));
        }

        assert_eq!(violations(&world), [], "seed {seed}");
    }
}

fn violations(world: &World) -> Vec<Violation> {
    world.checker.violations().to_vec()
}

#[test]
fn an_instance_that_leaves_in_a_table_outage_stops_once_its_requests_have_ended() {
    let mut world = world(0, ONE_REGION);
    let stopped = owner(&world, 0);
    time_to_answer(&mut world, stopped, 0, Duration::from_secs(5)).expect("an answer");
    for engine in &mut world.engines {
        engine.run_time = Duration::from_secs(4);
    }
    let number = world.ask(stopped, request(0, Duration::from_secs(20)));
    world.run(Duration::from_millis(50));

    world.platform.faults.table_down = true;
    world.stop(stopped);
    world.run(Duration::from_secs(15));

    assert!(is_complete(&world, number), "{:?}", world.outcome(number));
    assert!(world.nodes[stopped].core.is_none(), "it still runs");
}
