//! Measures the control-plane load of a node: messages, bytes, table operations and processor time.
//!
//! Runs many cores in one process with in-memory fakes and counts their operations; see
//! `docs/CAPACITY.md`, section "Control". The processor time includes only the cores, not the fakes.

use std::collections::BTreeMap;
use std::time::Duration;

use orioleroute::operator::Command;
use orioleroute::prelude::Instant;
use serde_json::json;
use standins::world::{Counts, Engine, Record, World};

/// The number of regions at the target size.
const REGIONS: usize = 5;

/// The number of base models at the target size.
const MODELS: usize = 7;

/// The number of upstreams per node at the target size.
const UPSTREAMS_PER_NODE: usize = 33;

/// The numbers of adapters and nodes at the target size.
const ADAPTERS: usize = 24_000;
const NODES: usize = 360;

/// The number of adapter slots of an engine.
const SLOTS: usize = 8;

/// The interval between configuration changes: 20,000 changes per day.
const CHANGE_INTERVAL: Duration = Duration::from_millis(4_320);

/// The longest wait until the nodes have joined or a version is active everywhere.
const TIMEOUT: Duration = Duration::from_secs(120);

/// The parameters of one run.
struct Run {
    nodes: usize,
    upstreams: usize,
    adapters: usize,
    seconds: u64,
    changes: u64,
}

fn main() {
    let mut options = getopts::Options::new();
    options.optopt("n", "nodes", "comma-separated numbers of nodes", "LIST");
    options.optopt("u", "upstreams", "upstreams (default: 33 per node)", "COUNT");
    options.optopt("a", "adapters", "adapters (default: in proportion to the nodes)", "COUNT");
    options.optopt("s", "seconds", "seconds of the steady phase", "COUNT");
    options.optopt("c", "changes", "configuration changes", "COUNT");
    let matches = options.parse(std::env::args().skip(1)).unwrap_or_else(|error| {
        eprintln!("{}", options.usage(&error.to_string()));
        std::process::exit(2);
    });
    let number = |name: &str| matches.opt_str(name).and_then(|text| text.parse().ok());
    let nodes = matches.opt_str("nodes").unwrap_or_else(|| "3,9,30,90".to_owned());
    println!("{HEADER}");
    for nodes in nodes.split(',').filter_map(|text| text.parse().ok()) {
        let run = Run {
            nodes,
            upstreams: number("upstreams").unwrap_or(nodes * UPSTREAMS_PER_NODE),
            adapters: number("adapters").unwrap_or(ADAPTERS * nodes / NODES),
            seconds: number("seconds").unwrap_or(20) as u64,
            changes: number("changes").unwrap_or(10) as u64,
        };
        run.run();
    }
}

/// The table's header. Rates are per node and second; the time until a version is active starts at its
/// acceptance.
const HEADER: &str = "| nodes | adapters | phase | messages | bytes | rows read | writes | probes | \
     events | core, ms | active after, ms: median | max | memory, MB |\n\
     |---|---|---|---|---|---|---|---|---|---|---|---|---|";

impl Run {
    fn run(&self) {
        let mut world = self.world();
        let before = resident_mb();
        let joined = world.run_until(TIMEOUT, |world| {
            world.nodes.iter().all(|node| {
                let core = node.core.as_ref();
                core.is_some_and(|core| core.membership().holds_lease(world.now + node.skew()))
            })
        });
        world.run(Duration::from_secs(12));
        if !joined || !self.submit(&mut world, 0) {
            println!(
                "| {} | {} | nodes did not join or the document did not become active |",
                self.nodes, self.adapters
            );
            return;
        }
        world.run(Duration::from_secs(10));

        let memory = resident_mb() - before;
        let steady = self.measure(&mut world, |world| {
            world.run(Duration::from_secs(self.seconds));
        });
        self.print("steady", &steady, &[], memory);

        let start = world.now;
        let mut accepted = 0;
        let changing = self.measure(&mut world, |world| {
            for change in 1..=self.changes {
                let next = world.now + CHANGE_INTERVAL;
                accepted += u64::from(self.submit(world, change));
                world.run(next.since(world.now));
            }
        });
        let activation_delays = activation_delays(&world, start);
        self.print("changing", &changing, &activation_delays, memory);
        if accepted < self.changes {
            println!("only {accepted} of {} changes became active on all nodes", self.changes);
        }
    }

    fn world(&self) -> World {
        let mut world = World::new(1);
        for number in 0..self.upstreams {
            let region = region(number % REGIONS.min(self.nodes));
            let pool = format!("pool-{}", number % MODELS);
            world.engines.push(Engine::new(number, &pool, &region, SLOTS));
        }
        for number in 0..self.nodes {
            world.add_node(&region(number % REGIONS.min(self.nodes)));
        }
        world
    }

    /// Submits a change and returns whether it became active on all nodes.
    fn submit(&self, world: &mut World, change: u64) -> bool {
        let document = self.document(change).into();
        let node = change as usize % self.nodes;
        world.command(node, Command::Submit { base: change, document });
        world.run_until(TIMEOUT, |world| {
            let versions = world.nodes.iter().map(|node| node.core.as_ref().map(|c| c.version()));
            versions.min().flatten() == Some(change + 1)
        })
    }

    fn document(&self, change: u64) -> String {
        let models: Vec<_> = (0..MODELS).map(|m| json!({ "name": format!("base-{m}") })).collect();
        let pools: Vec<_> = (0..MODELS)
            .map(|m| {
                json!({
                    "name": format!("pool-{m}"), "model": format!("base-{m}"),
                    "slots": SLOTS, "fencing": "checked",
                })
            })
            .collect();
        let adapters: Vec<_> = (0..self.adapters)
            .map(|adapter| {
                let changed = adapter as u64 <= change;
                let version = if changed { "v2" } else { "v1" };
                json!({
                    "name": format!("adapter-{adapter}"), "model": format!("base-{}", adapter % MODELS),
                    "versions": [version], "default": version,
                })
            })
            .collect();
        json!({ "format": 1, "models": models, "pools": pools, "adapters": adapters }).to_string()
    }

    /// Returns the average rates per node and second while `action` ran.
    fn measure(&self, world: &mut World, action: impl FnOnce(&mut World)) -> Rates {
        let since = world.now;
        for node in &mut world.nodes {
            node.counts = Counts::default();
        }
        action(world);
        let node_seconds = world.now.since(since).as_secs_f64() * self.nodes as f64;
        let sum = |count: fn(&Counts) -> f64| {
            world.nodes.iter().map(|node| count(&node.counts)).sum::<f64>() / node_seconds
        };
        Rates {
            messages: sum(|counts| counts.messages as f64),
            bytes: sum(|counts| counts.bytes as f64),
            rows_read: sum(|counts| counts.rows_read as f64),
            writes: sum(|counts| counts.writes as f64),
            probes: sum(|counts| counts.probes as f64),
            events: sum(|counts| counts.events as f64),
            busy_ms: sum(|counts| counts.busy.as_secs_f64() * 1e3),
        }
    }

    fn print(&self, phase: &str, rates: &Rates, activation_delays: &[Duration], memory: f64) {
        let millis = |at: usize| match activation_delays.get(at) {
            Some(delay) => delay.as_millis().to_string(),
            None => "-".to_owned(),
        };
        println!(
            "| {} | {} | {phase} | {:.1} | {:.0} | {:.2} | {:.4} | {:.1} | {:.1} | {:.3} | {} | {} | {memory:.0} |",
            self.nodes,
            self.adapters,
            rates.messages,
            rates.bytes,
            rates.rows_read,
            rates.writes,
            rates.probes,
            rates.events,
            rates.busy_ms,
            millis(activation_delays.len() / 2),
            millis(activation_delays.len().saturating_sub(1)),
        );
    }
}

/// The operations of a node per second.
struct Rates {
    messages: f64,
    bytes: f64,
    rows_read: f64,
    writes: f64,
    probes: f64,
    events: f64,
    busy_ms: f64,
}

fn region(number: usize) -> String {
    format!("region-{number}")
}

/// Returns the sorted delays from acceptance to activation of each version on each node.
fn activation_delays(world: &World, since: Instant) -> Vec<Duration> {
    let mut accepted = BTreeMap::new();
    let mut delays = Vec::new();
    for (at, record) in world.records.iter().filter(|(at, _)| *at >= since) {
        match record {
            Record::ConfigAccepted { version, .. } => {
                accepted.insert(*version, *at);
            }
            Record::ConfigActivated { version, .. } => {
                delays.extend(accepted.get(version).map(|accepted_at| at.since(*accepted_at)));
            }
            _ => {}
        }
    }
    delays.sort();
    delays
}

/// Returns the resident memory of this process in megabytes, or zero if `/proc` does not provide it.
fn resident_mb() -> f64 {
    const PAGE_BYTES: f64 = 4_096.0;
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split(' ').nth(1).and_then(|pages| pages.parse::<f64>().ok());
    pages.unwrap_or_default() * PAGE_BYTES / 1e6
}
