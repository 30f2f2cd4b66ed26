//! Engines converge to the active configuration, whatever happens to orders and replies.

mod common;

use std::time::Duration;

use common::{ONE_REGION, Topology, is_complete, owner, request, time_to_answer, world};

const ONE_ENGINE: Topology = Topology { engines: 1, slots: 1, ..ONE_REGION };

#[test]
fn a_revision_that_no_document_ever_contained_is_unloaded() {
    let mut world = world(1, ONE_REGION);
    world.engines[0].force_load("stranger@v1");

    world.run(Duration::from_secs(5));

    assert_eq!(world.engines[0].loaded().count(), 0);
}

#[test]
fn a_load_without_a_reply_is_settled_by_the_next_report() {
    let mut world = world(2, ONE_ENGINE);
    world.engines[0].faults.order_replies_lost = true;

    let taken = time_to_answer(&mut world, 0, 0, Duration::from_secs(20));

    assert!(taken.is_some_and(|taken| taken < Duration::from_secs(4)), "{taken:?}");
}

#[test]
fn loads_and_unloads_without_replies_do_not_block_other_adapters_permanently() {
    let mut world = world(3, ONE_ENGINE);
    world.engines[0].faults.order_replies_lost = true;
    for adapter in [0, 1, 0] {
        let taken = time_to_answer(&mut world, 0, adapter, Duration::from_secs(40));

        assert!(taken.is_some(), "adapter {adapter}");
    }
    assert_eq!(world.checker.violations(), []);
}

#[test]
fn a_load_is_reissued_after_the_engine_restarted_during_it() {
    let mut world = world(4, ONE_ENGINE);
    world.engines[0].load_time = Duration::from_secs(1);
    let number = world.ask(0, request(0, Duration::from_secs(20)));
    world.run(Duration::from_millis(500));

    world.restart_engine(0);
    world.run(Duration::from_secs(7));

    assert!(is_complete(&world, number), "{:?}", world.outcome(number));
}

#[test]
fn a_failing_load_is_retried_at_a_bounded_rate_until_the_deadline() {
    let mut world = world(5, ONE_ENGINE);
    world.engines[0].faults.loads_fail = true;
    let before: u64 = world.nodes.iter().map(|node| node.counts.orders).sum();

    let number = world.ask(0, request(0, Duration::from_secs(20)));
    world.run(Duration::from_secs(25));

    let after: u64 = world.nodes.iter().map(|node| node.counts.orders).sum();
    assert!((2..12).contains(&(after - before)), "{}", after - before);
    assert!(world.outcome(number).is_some());
}

#[test]
fn an_unload_by_another_party_is_repaired() {
    let mut world = world(6, ONE_ENGINE);
    time_to_answer(&mut world, 0, 0, Duration::from_secs(5)).expect("an answer");

    world.engines[0].force_unload("adapter-0@v1");
    let taken = time_to_answer(&mut world, 0, 0, Duration::from_secs(10));

    assert!(taken.is_some_and(|taken| taken < Duration::from_secs(4)), "{taken:?}");
}

#[test]
fn a_report_that_is_older_than_a_load_does_not_hide_a_revision_in_use() {
    for seed in 0..30 {
        let mut world = world(seed, ONE_ENGINE);
        world.engines[0].report_lag = Duration::from_millis(900);
        world.engines[0].run_time = Duration::from_secs(3);
        world.run(Duration::from_secs(2) + Duration::from_millis(seed * 37));
        let node = owner(&world, 0);

        let first = world.ask(node, request(0, Duration::from_secs(20)));
        world.run(Duration::from_millis(400 + seed * 13));
        let second = world.ask(node, request(1, Duration::from_secs(20)));
        world.run(Duration::from_secs(15));

        assert_eq!(world.checker.violations(), [], "seed {seed}");
        assert!(is_complete(&world, first) && is_complete(&world, second), "seed {seed}");
    }
}

#[test]
fn an_answer_to_a_killed_process_does_not_reach_its_successor() {
    for seed in 0..40 {
        let mut world = world(seed, ONE_REGION);
        for (first, second) in [(6, 0), (1, 2), (3, 4)] {
            world.ask(0, request(first, Duration::from_secs(5)));
            world.run(Duration::from_millis(seed * 10));
            world.kill(0);
            world.start(0);
            world.pause(0);
            world.ask(0, request(second, Duration::from_secs(5)));
            world.run(Duration::from_secs(3));
            world.resume(0);
        }

        assert_eq!(world.checker.violations(), [], "seed {seed}");
    }
}
