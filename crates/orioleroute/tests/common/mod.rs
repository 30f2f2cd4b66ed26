//! Simulated systems, documents and requests for the coordination tests.
#![allow(dead_code, reason = "each test file uses a part")]

use std::time::Duration;

use orioleroute::operator::Command;
use orioleroute::request::{Spec, Target};
use serde_json::json;
use standins::world::{Engine, Outcome, World};

pub const ADAPTERS: usize = 12;

/// Returns a document with [`ADAPTERS`] adapters of one base model. Each adapter has `versions`
/// versions. There is one pool of engines that check fencing tokens and one that ignores them.
pub fn document(versions: usize, slots: u32) -> String {
    document_of(ADAPTERS, versions, slots)
}

/// Returns a document like that of [`document`] with `adapters` adapters.
pub fn document_of(adapters: usize, versions: usize, slots: u32) -> String {
    let versions: Vec<String> = (1..=versions).map(|version| format!("v{version}")).collect();
    let adapters: Vec<_> = (0..adapters)
        .map(|adapter| {
            json!({
                "name": format!("adapter-{adapter}"),
                "model": "base",
                "versions": versions,
                "default": versions[0],
            })
        })
        .collect();
    json!({
        "format": 1,
        "models": [{ "name": "base" }],
        "pools": [
            { "name": "checked", "model": "base", "slots": slots, "fencing": "checked" },
            { "name": "ignored", "model": "base", "slots": slots, "fencing": "ignored" },
        ],
        "adapters": adapters,
    })
    .to_string()
}

/// The size and kind of a simulated system; `nodes` and `engines` are per region.
#[derive(Clone, Copy)]
pub struct Topology {
    pub regions: &'static [&'static str],
    pub nodes: usize,
    pub engines: usize,
    pub slots: usize,
    pub checks_fencing: bool,
}

pub const ONE_REGION: Topology =
    Topology { regions: &["zurich"], nodes: 3, engines: 3, slots: 4, checks_fencing: true };

/// Returns a simulated system with an active document, in which every lease is valid.
pub fn world(seed: u64, topology: Topology) -> World {
    let mut world = World::new(seed);
    for region in topology.regions {
        for _ in 0..topology.nodes {
            world.add_node(region);
        }
    }
    for region in topology.regions {
        for _ in 0..topology.engines {
            let pool = if topology.checks_fencing { "checked" } else { "ignored" };
            let mut engine = Engine::new(world.engines.len(), pool, region, topology.slots);
            engine.checks_fencing = topology.checks_fencing;
            world.add_engine(engine);
        }
    }
    world.run(Duration::from_secs(8));
    let document = document(1, topology.slots as u32).into();
    world.command(0, Command::Submit { base: 0, document });
    world.run(Duration::from_secs(8));
    world
}

/// Returns a repeatable request for the default version of an adapter.
pub fn request(adapter: usize, timeout: Duration) -> Spec {
    Spec { timeout: Some(timeout), ..Spec::new(Target::Model(format!("adapter-{adapter}").into())) }
}

/// Sends requests until one is answered completely, and returns the time that took; `None` after
/// `limit`.
pub fn time_to_answer(
    world: &mut World,
    node: usize,
    adapter: usize,
    limit: Duration,
) -> Option<Duration> {
    let started = world.now;
    while world.now < started + limit {
        let number = world.ask(node, request(adapter, limit));
        let left = limit.saturating_sub(world.now.since(started));
        world.run_until(left, |world| world.outcome(number).is_some());
        if is_complete(world, number) {
            return Some(world.now.since(started));
        }
        world.run(Duration::from_millis(100));
    }
    None
}

pub fn is_complete(world: &World, number: usize) -> bool {
    matches!(world.outcome(number), Some(Outcome::Complete(_)))
}

/// Returns the node that owns the upstream according to the view of a live node of its region.
pub fn owner(world: &World, upstream: usize) -> usize {
    let listing = &world.engines[upstream].listing;
    let core = world
        .nodes
        .iter()
        .find_map(|node| node.core.as_ref().filter(|_| node.identity.region == listing.region));
    let membership = core.expect("a live node").membership();
    let view = membership.view_of(&listing.region).expect("a view");
    let owner = view.owner(orioleroute::hash::digest(&*listing.name)).expect("an owner");
    let index = world.nodes.iter().position(|node| node.identity.name == owner.name);
    index.expect("a known node")
}
