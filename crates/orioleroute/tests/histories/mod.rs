//! Random histories of several cores: their steps, and how they are run and checked.
#![allow(dead_code, reason = "each test file uses a part")]

use std::time::Duration;

use orioleroute::operator::Command;
use orioleroute::request::{Spec, Target};
use proptest::prelude::*;
use serde_json::json;
use standins::world::check::{Invariant, Violation};
use standins::world::{Engine, Network, World};

pub const REGIONS: [&str; 2] = ["zurich", "geneva"];
pub const NODES_PER_REGION: usize = 3;
pub const ENGINES_PER_REGION: usize = 3;
pub const ADAPTERS: usize = 12;

/// One step of a history.
#[derive(Clone, Debug)]
pub enum Step {
    Ask {
        node: usize,
        adapter: usize,
        exact: bool,
    },
    CallService {
        node: usize,
        key: usize,
    },
    Kill(usize),
    Start(usize),
    Stop(usize),
    Pause(usize),
    Resume(usize),
    Partition(usize, usize),
    PartitionOneWay(usize, usize),
    IsolateFromPlatform(usize),
    TableDown,
    TableSlow(u64),
    RepliesLost,
    WritesLate(u64),
    ObjectsDown,
    Messages(Network),
    Heal,
    RestartEngine(usize),
    EngineDown(usize, bool),
    LoadsFail(usize, bool),
    OrderRepliesLost(usize, bool),
    AnswersLost(usize, bool),
    ReportsLate(usize, u64),
    DrainUpstream(usize),
    /// Two operators submit documents at two nodes at the same time.
    SubmitConcurrently {
        one: usize,
        other: usize,
    },
    /// Two faults at the same moment.
    Both(Box<Step>, Box<Step>),
    Submit {
        node: usize,
        versions: usize,
    },
    Wait(u64),
}

pub fn messages(duplicate_percent: u64, delay_percent: u64, max_delay_ms: u64) -> Step {
    Step::Messages(Network {
        duplicate_percent,
        delay_percent,
        max_delay: Duration::from_millis(max_delay_ms),
    })
}

/// Returns a strategy for faults.
pub fn fault() -> impl Strategy<Value = Step> {
    let node = 0..REGIONS.len() * NODES_PER_REGION;
    let engine = 0..REGIONS.len() * ENGINES_PER_REGION;
    prop_oneof![
        3 => node.clone().prop_map(Step::Kill),
        1 => node.clone().prop_map(Step::Stop),
        3 => node.clone().prop_map(Step::Pause),
        1 => (node.clone(), node.clone()).prop_map(|(a, b)| Step::Partition(a, b)),
        2 => (node.clone(), node.clone()).prop_map(|(a, b)| Step::PartitionOneWay(a, b)),
        1 => node.prop_map(Step::IsolateFromPlatform),
        1 => Just(Step::TableDown),
        1 => (100..3_000_u64).prop_map(Step::TableSlow),
        1 => Just(Step::RepliesLost),
        1 => (500..6_000_u64).prop_map(Step::WritesLate),
        1 => Just(Step::ObjectsDown),
        1 => (0..50_u64, 0..50_u64, 1..2_000_u64)
            .prop_map(|(duplicate_percent, delay_percent, max_delay_ms)| messages(
                duplicate_percent,
                delay_percent,
                max_delay_ms
            )),
        1 => engine.clone().prop_map(Step::RestartEngine),
        1 => (engine.clone(), any::<bool>()).prop_map(|(e, down)| Step::EngineDown(e, down)),
        1 => (engine.clone(), any::<bool>()).prop_map(|(e, fail)| Step::LoadsFail(e, fail)),
        1 => (engine.clone(), any::<bool>()).prop_map(|(e, lost)| Step::OrderRepliesLost(e, lost)),
        1 => (engine.clone(), any::<bool>()).prop_map(|(e, lost)| Step::AnswersLost(e, lost)),
        1 => (engine.clone(), 0..2_000_u64).prop_map(|(e, lag)| Step::ReportsLate(e, lag)),
        1 => engine.prop_map(Step::DrainUpstream),
    ]
}

/// Returns a strategy for steps: requests, operator commands, recoveries, waits and faults.
pub fn step() -> impl Strategy<Value = Step> {
    let node = 0..REGIONS.len() * NODES_PER_REGION;
    prop_oneof![
        12 => (node.clone(), 0..ADAPTERS, any::<bool>())
            .prop_map(|(node, adapter, exact)| Step::Ask { node, adapter, exact }),
        3 => (node.clone(), 0..4_usize).prop_map(|(node, key)| Step::CallService { node, key }),
        2 => node.clone().prop_map(Step::Start),
        3 => node.clone().prop_map(Step::Resume),
        2 => Just(Step::Heal),
        2 => (node.clone(), 1..3_usize).prop_map(|(node, versions)| Step::Submit { node, versions }),
        1 => (node.clone(), node).prop_map(|(one, other)| Step::SubmitConcurrently { one, other }),
        12 => (1..3_000_u64).prop_map(Step::Wait),
        10 => fault(),
        3 => (fault(), fault()).prop_map(|(a, b)| Step::Both(Box::new(a), Box::new(b))),
    ]
}

/// Returns a document in which every other adapter has `versions` versions, of which the last is the
/// default.
pub fn document(versions: usize) -> String {
    let adapters: Vec<_> = (0..ADAPTERS)
        .map(|adapter| {
            let versions = if adapter % 2 == 0 { versions } else { 1 };
            let names: Vec<String> = (1..=versions).map(|version| format!("v{version}")).collect();
            json!({
                "name": format!("adapter-{adapter}"),
                "model": "base",
                "versions": names,
                "default": names[versions - 1],
            })
        })
        .collect();
    json!({
        "format": 1,
        "models": [{ "name": "base" }],
        "pools": [
            { "name": "checked", "model": "base", "slots": 2, "fencing": "checked" },
            { "name": "ignored", "model": "base", "slots": 2, "fencing": "ignored" },
        ],
        "adapters": adapters,
        "services": [{ "name": "bookings", "pool": "course" }],
    })
    .to_string()
}

/// Returns a simulated system of two regions with nodes, engines that check fencing tokens, engines
/// that ignore them, a plain service and an active document.
pub fn world(seed: u64) -> World {
    let mut world = World::new(seed);
    for region in REGIONS {
        for _ in 0..NODES_PER_REGION {
            world.add_node(region);
        }
    }
    for region in REGIONS {
        for index in 0..ENGINES_PER_REGION {
            let checks_fencing = index % 2 == 0;
            let pool = if checks_fencing { "checked" } else { "ignored" };
            let number = world.engines.len();
            let mut engine = Engine::new(number, pool, region, 2);
            engine.checks_fencing = checks_fencing;
            world.add_engine(engine);
        }
    }
    let number = world.engines.len();
    world.add_engine(Engine::new(number, "course", REGIONS[0], 0));
    world.run(Duration::from_secs(8));
    let document = document(1).into();
    world.command(0, Command::Submit { base: 0, document });
    world.run(Duration::from_secs(8));
    world
}

pub fn apply(world: &mut World, step: &Step) {
    let spec = |target, repeatable, idempotency| Spec {
        timeout: Some(Duration::from_secs(5)),
        repeatable,
        idempotency,
        ..Spec::new(target)
    };
    match step {
        Step::Ask { node, adapter, exact } => {
            let version = if *exact { "@v1" } else { "" };
            let target = Target::Model(format!("adapter-{adapter}{version}").into());
            world.ask(*node, spec(target, true, None));
        }
        Step::CallService { node, key } => {
            let target = Target::Service("bookings".into());
            world.ask(*node, spec(target, false, Some(format!("booking-{key}").into())));
        }
        Step::Kill(node) => world.kill(*node),
        Step::Start(node) if world.nodes[*node].core.is_none() => world.start(*node),
        Step::Start(_) => {}
        Step::Stop(node) => world.stop(*node),
        Step::Pause(node) => world.pause(*node),
        Step::Resume(node) => world.resume(*node),
        Step::Partition(one, other) => world.partition(*one, *other),
        Step::PartitionOneWay(from, to) => {
            world.partitions.insert((*from, *to));
        }
        Step::IsolateFromPlatform(node) => {
            world.isolated_from_platform.insert(*node);
        }
        Step::TableDown => world.platform.faults.table_down = true,
        Step::TableSlow(millis) => {
            world.platform.faults.reply_delay = Duration::from_millis(*millis);
        }
        Step::RepliesLost => world.platform.faults.replies_lost = true,
        Step::WritesLate(millis) => {
            world.platform.faults.write_delay = Some(Duration::from_millis(*millis));
        }
        Step::ObjectsDown => world.platform.faults.objects_down = true,
        Step::Messages(network) => world.network = *network,
        Step::Heal => world.heal(),
        Step::RestartEngine(engine) => world.restart_engine(*engine),
        Step::EngineDown(engine, down) => world.engines[*engine].faults.down = *down,
        Step::OrderRepliesLost(engine, lost) => {
            world.engines[*engine].faults.order_replies_lost = *lost;
        }
        Step::AnswersLost(engine, lost) => world.engines[*engine].faults.answers_lost = *lost,
        Step::ReportsLate(engine, millis) => {
            world.engines[*engine].report_lag = Duration::from_millis(*millis);
        }
        Step::SubmitConcurrently { one, other } => {
            apply(world, &Step::Submit { node: *one, versions: 1 });
            apply(world, &Step::Submit { node: *other, versions: 2 });
        }
        Step::Both(one, other) => {
            apply(world, one);
            apply(world, other);
        }
        Step::LoadsFail(engine, fail) => world.engines[*engine].faults.loads_fail = *fail,
        Step::DrainUpstream(engine) => world.drain_upstream(*engine),
        Step::Submit { node, versions } => {
            let base = world.nodes[*node].core.as_ref().map_or(0, |core| core.version());
            let document = document(*versions).into();
            world.command(*node, Command::Submit { base, document });
        }
        Step::Wait(millis) => world.run(Duration::from_millis(*millis)),
    }
}

/// Runs a history and returns its first violation, checked after every step and after recovery.
pub fn first_violation(
    seed: u64,
    steps: &[Step],
    is_selected: impl Fn(Invariant) -> bool,
) -> Option<Violation> {
    let mut world = world(seed);
    let first = |world: &World| {
        world
            .checker
            .violations()
            .iter()
            .find(|violation| is_selected(violation.invariant))
            .cloned()
    };
    for step in steps {
        apply(&mut world, step);
        if let Some(violation) = first(&world) {
            return Some(violation);
        }
    }
    world.settle(RECOVERY_TIME);
    first(&world)
}

/// The time after the last fault within which the system must have recovered.
pub const RECOVERY_TIME: Duration = Duration::from_secs(20);

/// Returns the number of histories to run: `ORIOLEROUTE_HISTORIES` if set, otherwise `usual`.
pub fn histories(usual: u32) -> u32 {
    let requested = std::env::var("ORIOLEROUTE_HISTORIES").ok();
    requested.and_then(|text| text.parse().ok()).unwrap_or(usual)
}

pub fn proptest_config(histories: u32) -> ProptestConfig {
    ProptestConfig {
        cases: histories,
        max_shrink_iters: 2_000,
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}
