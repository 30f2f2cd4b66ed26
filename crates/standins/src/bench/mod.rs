//! A benchmark of the routing and placement policies on simulated engines and a simulated weight store.
//!
//! The simulation replaces everything outside the policy decisions: the loaded adapters are kept in the
//! core's own [`Fleet`](orioleroute::fleet::Fleet), and the policy of this project is called through the
//! same functions as in the core. Networks, failures and processes are not modelled.

mod batch;
pub mod overload;
pub mod replay;
pub mod report;
mod setup;
pub mod trace;

/// The size, the load and the policy weights of a deployment, as its requirements give them.
#[derive(Clone, Copy, Debug)]
pub struct Deployment {
    /// The name in tables and of the plot's file.
    pub name: &'static str,
    /// The number of regions.
    pub regions: usize,
    /// The number of instances in each region.
    pub instances_per_region: usize,
    /// The number of engines in each region.
    pub engines_per_region: usize,
    /// The number of adapter slots of an engine.
    pub slots: u32,
    /// The number of requests that an engine runs concurrently.
    pub concurrency: u32,
    /// The number of adapters.
    pub adapters: usize,
    /// The usual request rate, in requests per second.
    pub requests_per_s: f64,
    /// The loads that the weight store serves per second, one after another.
    pub store_loads_per_s: f64,
    /// The longest acceptable time to the first token, in seconds.
    pub deadline_s: f64,
    /// The weight of stalls in the policy.
    pub stall_weight: f64,
    /// The weight of batch efficiency in the policy.
    pub batch_weight: f64,
}

impl Deployment {
    /// Horloge: scheduled notices at a steady rate; batch efficiency weighs more than stalls.
    pub const HORLOGE: Self = Self {
        name: "horloge",
        regions: 3,
        instances_per_region: 3,
        engines_per_region: 6,
        slots: 8,
        concurrency: 16,
        adapters: 3_000,
        requests_per_s: 8.0,
        store_loads_per_s: 5.0,
        deadline_s: 30.0,
        stall_weight: 1.0,
        batch_weight: 2.0,
    };

    /// Kaffeewerk: coaching conversations; stalls weigh more than batch efficiency.
    pub const KAFFEEWERK: Self = Self {
        name: "kaffeewerk",
        regions: 3,
        instances_per_region: 3,
        engines_per_region: 3,
        slots: 8,
        concurrency: 16,
        adapters: 3_000,
        requests_per_s: 2.5,
        store_loads_per_s: 2.0,
        deadline_s: 10.0,
        stall_weight: 2.0,
        batch_weight: 1.0,
    };

    /// Both deployments.
    pub const ALL: [Self; 2] = [Self::HORLOGE, Self::KAFFEEWERK];

    /// Returns the number of adapter slots of all engines together.
    pub fn total_slots(&self) -> usize {
        self.regions * self.engines_per_region * self.slots as usize
    }
}

/// A policy to benchmark.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Policy {
    /// A random engine of the caller's region; evicts a random idle revision.
    Random,
    /// The least loaded engine of the region that holds the revision, otherwise the least loaded engine;
    /// evicts the least recently used (LRU) revision.
    LeastLoaded,
    /// One engine of the region by consistent hashing; LRU eviction.
    Hashed,
    /// One engine of all regions by consistent hashing; LRU eviction.
    HashedGlobally,
    /// The policy of this project, with some of its features enabled.
    Orioleroute(Features),
}

impl Policy {
    /// Returns the name in tables and plots.
    pub fn name(self) -> &'static str {
        match self {
            Self::Random => "random",
            Self::LeastLoaded => "least loaded, LRU",
            Self::Hashed => "consistent hashing, LRU",
            Self::HashedGlobally => "hashing over all regions, LRU",
            Self::Orioleroute(features) if features == Features::ALL => "this policy",
            Self::Orioleroute(_) => "this policy, changed",
        }
    }

    /// The policies that this project's policy is compared with.
    pub const BASELINES: [Self; 4] =
        [Self::Random, Self::LeastLoaded, Self::Hashed, Self::HashedGlobally];
}

/// The features of this project's policy. Each can be disabled to measure its effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Features {
    /// Evicts by demand instead of by recency of use.
    pub demand_eviction: bool,
    /// Forwards a request to another region that holds its revision.
    pub cross_region: bool,
    /// Weights homes by the number of upstreams that they own.
    pub weighted_homes: bool,
    /// Loads another copy of an adapter whose engine is full, and overflows to the next home.
    pub replication: bool,
    /// Refuses a request immediately if it cannot meet its deadline.
    pub early_refusal: bool,
    /// Prefers to evict from upstreams that run larger batches, to a degree set by the policy weights.
    pub packing: bool,
}

impl Features {
    /// All features of the policy.
    pub const ALL: Self = Self {
        demand_eviction: true,
        cross_region: true,
        weighted_homes: true,
        replication: true,
        early_refusal: true,
        packing: true,
    };
}

/// The measurements of one run after the warm-up.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Metrics {
    /// The number of requests.
    pub requests: u32,
    /// The number of requests that needed a load, whether they waited for it or were refused.
    pub stalled: u32,
    /// The number of refused requests.
    pub refused: u32,
    /// The number of requests whose first token arrived within the deadline.
    pub within_deadline: u32,
    /// The total time that requests waited for loads, in seconds.
    pub stall_s: f64,
    /// The 99th percentile over all requests of the wait for a load, in seconds.
    pub stall_p99_s: f64,
    /// The median and 95th percentile of the time to the first token, in seconds.
    pub first_token_s: (f64, f64),
    /// The tokens generated, divided by those that the engines would have generated in their busy time
    /// with batches of full size and a single revision.
    pub batch_efficiency: f64,
    /// The bytes sent between regions per request. During the run, their sum over all requests.
    pub remote_bytes: f64,
    /// The number of loads.
    pub loads: u32,
}

impl Metrics {
    /// Combines the metrics of several runs: counts and the total wait are added, the rest is averaged.
    pub fn combine(runs: &[Self]) -> Self {
        let sum = |field: fn(&Self) -> u32| runs.iter().map(field).sum();
        let mean =
            |field: fn(&Self) -> f64| runs.iter().map(field).sum::<f64>() / runs.len() as f64;
        Self {
            requests: sum(|run| run.requests),
            stalled: sum(|run| run.stalled),
            refused: sum(|run| run.refused),
            within_deadline: sum(|run| run.within_deadline),
            loads: sum(|run| run.loads),
            stall_s: runs.iter().map(|run| run.stall_s).sum(),
            stall_p99_s: mean(|run| run.stall_p99_s),
            first_token_s: (mean(|run| run.first_token_s.0), mean(|run| run.first_token_s.1)),
            batch_efficiency: mean(|run| run.batch_efficiency),
            remote_bytes: mean(|run| run.remote_bytes),
        }
    }

    /// Returns the share of requests that were stalled.
    pub fn stalled_share(&self) -> f64 {
        f64::from(self.stalled) / f64::from(self.requests.max(1))
    }
}
