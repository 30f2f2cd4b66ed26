//! Takeovers and table outages: which instance may issue orders, and how soon requests are answered
//! again.

mod common;

use std::time::Duration;

use common::{ADAPTERS, ONE_REGION, Topology, is_complete, request, time_to_answer, world};
use orioleroute::request::Target;
use rstest::rstest;
use standins::world::World;

const SEEDS: u64 = 50;
const THREE_REGIONS: Topology =
    Topology { regions: &["zurich", "geneva", "lugano"], slots: 12, ..ONE_REGION };

/// Returns the node that is the home of an adapter in the first region.
fn home(world: &World, adapter: usize) -> usize {
    let target = Target::Model(format!("adapter-{adapter}").into());
    let core = world.nodes.iter().find_map(|node| node.core.as_ref()).expect("a live node");
    let name = core.homes("zurich", &target)[0].name.clone();
    world.nodes.iter().position(|node| node.identity.name == name).expect("a known node")
}

/// Kills the home of an adapter and returns the time until another node answers a request for it.
fn takeover(seed: u64, topology: Topology, loaded: bool) -> Option<Duration> {
    let mut world = world(seed, topology);
    let home = home(&world, 0);
    let other = (home + 1) % world.nodes.len();
    if loaded {
        time_to_answer(&mut world, other, 0, Duration::from_secs(5))?;
    }
    world.run(Duration::from_millis(seed * 37 % 1_000));

    world.kill(home);
    let elapsed = time_to_answer(&mut world, other, 0, Duration::from_secs(60));

    assert_eq!(world.checker.violations(), [], "seed {seed}");
    elapsed
}

/// With three engines the successor owns an engine already; with one engine it must take it over.
#[rstest]
#[case::fenced_and_cold(3, true, false, 8)]
#[case::fenced_and_loaded(3, true, true, 8)]
#[case::unfenced_and_cold(3, false, false, 8)]
#[case::unfenced_and_loaded(3, false, true, 8)]
#[case::taken_over_fenced_and_cold(1, true, false, 8)]
#[case::taken_over_fenced_and_loaded(1, true, true, 8)]
#[case::taken_over_unfenced_and_cold(1, false, false, 10)]
#[case::taken_over_unfenced_and_loaded(1, false, true, 8)]
fn a_successor_answers_soon_after_a_kill(
    #[case] engines: usize,
    #[case] checks_fencing: bool,
    #[case] loaded: bool,
    #[case] bound_s: u64,
) {
    let topology = Topology { engines, checks_fencing, ..ONE_REGION };
    let elapsed = (0..SEEDS).map(|seed| takeover(seed, topology, loaded));
    let mut elapsed: Vec<Duration> = elapsed.map(|time| time.unwrap_or(Duration::MAX)).collect();
    elapsed.sort();

    let (median, worst) = (elapsed[elapsed.len() / 2], elapsed[elapsed.len() - 1]);
    println!(
        "{engines} engines, fenced {checks_fencing}, loaded {loaded}: median {median:?}, worst {worst:?}"
    );
    assert!(worst < Duration::from_secs(bound_s), "{worst:?}");
}

#[test]
fn a_table_outage_of_10_minutes_stops_neither_answers_nor_cold_loads() {
    for seed in 0..5 {
        let mut world = world(seed, THREE_REGIONS);
        world.platform.faults.table_down = true;
        let mut requests = Vec::new();
        for round in 0..60 {
            for node in 0..world.nodes.len() {
                let adapter = (round / 5 + node) % ADAPTERS;
                requests.push(world.ask(node, request(adapter, Duration::from_secs(5))));
            }
            world.run(Duration::from_secs(10));
        }

        let incomplete: Vec<_> = requests
            .iter()
            .filter(|number| !is_complete(&world, **number))
            .map(|number| world.outcome(*number))
            .collect();
        assert!(incomplete.is_empty(), "seed {seed}: {incomplete:?}");
        assert_eq!(world.checker.violations(), [], "seed {seed}");
    }
}

#[test]
fn after_a_kill_in_a_table_outage_the_others_answer_from_loaded_adapters_and_load_again_once_it_ends()
 {
    for seed in 0..20 {
        let mut world = world(seed, Topology { slots: 12, ..ONE_REGION });
        let homes: Vec<usize> = (0..ADAPTERS).map(|adapter| home(&world, adapter)).collect();
        let dead = homes[0];
        let loaded_elsewhere: Vec<usize> =
            (0..ADAPTERS).filter(|adapter| homes[*adapter] != dead).collect();
        for adapter in &loaded_elsewhere {
            time_to_answer(&mut world, homes[*adapter], *adapter, Duration::from_secs(5))
                .expect("an answer");
        }
        world.platform.faults.table_down = true;
        world.run(Duration::from_secs(60));
        world.kill(dead);

        let mut requests = Vec::new();
        for _ in 0..30 {
            for adapter in &loaded_elsewhere {
                let spec = request(*adapter, Duration::from_secs(5));
                requests.push(world.ask(homes[*adapter], spec));
            }
            world.run(Duration::from_secs(10));
        }
        let incomplete = requests.iter().filter(|number| !is_complete(&world, **number)).count();
        assert_eq!(incomplete, 0, "seed {seed}: {incomplete} of {}", requests.len());

        world.heal();
        let elapsed = time_to_answer(&mut world, (dead + 1) % 3, 0, Duration::from_secs(30));
        assert!(elapsed.is_some_and(|time| time < Duration::from_secs(10)), "{elapsed:?}");
        assert_eq!(world.checker.violations(), [], "seed {seed}");
    }
}

#[test]
fn an_upstream_that_reports_draining_gets_no_new_work_although_the_list_lags() {
    for seed in 0..20 {
        let mut world = world(seed, Topology { engines: 1, ..ONE_REGION });
        time_to_answer(&mut world, 0, 0, Duration::from_secs(5)).expect("an answer");
        world.engines[0].faults.draining = true;
        world.run(Duration::from_secs(3));

        let number = world.ask(0, request(0, Duration::from_secs(5)));
        world.run(Duration::from_millis(200));

        let core = world.nodes[common::owner(&world, 0)].core.as_ref().unwrap();
        let (_, upstream) = core.fleet().iter().next().unwrap();
        assert!(!upstream.is_open(world.now + Duration::from_secs(60)), "seed {seed}");
        assert_eq!(upstream.running, 0, "seed {seed}: {:?}", world.outcome(number));
    }
}

#[test]
fn a_restarted_instance_answers_from_loaded_adapters_without_loading_them_again() {
    for seed in 0..20 {
        let mut world = world(seed, Topology { engines: 1, ..ONE_REGION });
        let home = home(&world, 0);
        time_to_answer(&mut world, home, 0, Duration::from_secs(5)).expect("an answer");
        world.kill(home);
        let before: u64 = world.nodes.iter().map(|node| node.counts.orders).sum();
        world.start(home);

        let elapsed = time_to_answer(&mut world, home, 0, Duration::from_secs(10));

        let after: u64 = world.nodes.iter().map(|node| node.counts.orders).sum();
        assert!(elapsed.is_some_and(|time| time < Duration::from_secs(6)), "{seed}: {elapsed:?}");
        assert_eq!(after, before, "seed {seed}");
    }
}
