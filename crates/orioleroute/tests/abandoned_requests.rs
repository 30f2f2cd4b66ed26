//! Requests that time out at an instance while an engine still runs them.

mod common;

use std::time::Duration;

use common::{ONE_REGION, Topology, request, world};
use standins::world::check::Invariant;

/// One engine with one slot, so that a request for another revision needs the slot at once.
const ONE_SLOT: Topology = Topology { nodes: 1, engines: 1, slots: 1, ..ONE_REGION };

const SEEDS: u64 = 50;

#[test]
fn a_revision_is_not_evicted_while_an_abandoned_request_runs() {
    for seed in 0..SEEDS {
        let mut world = world(seed, ONE_SLOT);
        world.engines[0].run_time = Duration::from_secs(2);
        world.engines[0].report_lag = Duration::from_millis(600);

        world.ask(0, request(0, Duration::from_millis(300)));
        world.run(Duration::from_millis(200));
        world.ask(0, request(1, Duration::from_secs(8)));
        world.run(Duration::from_secs(10));

        let violations = world.checker.violations().iter();
        let evicted: Vec<_> = violations
            .filter(|violation| violation.invariant == Invariant::NoEvictionInUse)
            .cloned()
            .collect();
        assert_eq!(evicted, [], "seed {seed}");
    }
}
