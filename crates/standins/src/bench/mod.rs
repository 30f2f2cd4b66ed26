//! The policies of routing and placement, measured on a small fake of engines and weight store.
//!
//! The fake stands at the interface of the decisions: what is loaded is kept in the core's own
//! [`Fleet`](orioleroute::fleet::Fleet), and the policy of this project is asked through the same
//! functions that the core calls. It knows nothing of networks, failures or processes.

mod batch;
pub mod overload;
pub mod replay;
pub mod report;
mod setup;
pub mod trace;

/// A deployment as the brief gives it.
#[derive(Clone, Copy, Debug)]
pub struct Deployment {
    /// The name.
    pub name: &'static str,
    /// The regions.
    pub regions: usize,
    /// The instances in each region.
    pub instances: usize,
    /// The engines in each region.
    pub engines: usize,
    /// The slots of an engine.
    pub slots: u32,
    /// The requests that an engine runs at a time.
    pub concurrency: u32,
    /// The adapters.
    pub adapters: usize,
    /// The requests a second.
    pub rate: f64,
    /// The loads that the weight store serves a second, one after another.
    pub store: f64,
    /// How long a request may take to its first token, in seconds.
    pub deadline: f64,
    /// The weight of stalls in the policy.
    pub stall_weight: f64,
    /// The weight of batches in the policy.
    pub batch_weight: f64,
}

impl Deployment {
    /// Horloge: scheduled, steady notices; batches weigh more.
    pub const HORLOGE: Self = Self {
        name: "horloge",
        regions: 3,
        instances: 3,
        engines: 6,
        slots: 8,
        concurrency: 16,
        adapters: 3_000,
        rate: 8.0,
        store: 5.0,
        deadline: 30.0,
        stall_weight: 1.0,
        batch_weight: 2.0,
    };

    /// Kaffeewerk: coaching turns; stalls weigh more.
    pub const KAFFEEWERK: Self = Self {
        name: "kaffeewerk",
        regions: 3,
        instances: 3,
        engines: 3,
        slots: 8,
        concurrency: 16,
        adapters: 3_000,
        rate: 2.5,
        store: 2.0,
        deadline: 10.0,
        stall_weight: 2.0,
        batch_weight: 1.0,
    };

    /// Both deployments.
    pub const ALL: [Self; 2] = [Self::HORLOGE, Self::KAFFEEWERK];

    /// Returns the slots of all engines.
    pub fn pooled_slots(&self) -> usize {
        self.regions * self.engines * self.slots as usize
    }
}

/// A policy that is measured.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Policy {
    /// Any engine of the caller's region; evicts any idle revision.
    Random,
    /// The least loaded engine of the region that holds the revision, else the least loaded; LRU.
    LeastLoaded,
    /// One engine of the region by consistent hashing; LRU.
    Hashed,
    /// One engine of all regions by consistent hashing; LRU.
    HashedAcross,
    /// This project's, with the ideas that are on.
    Ours(Ideas),
}

impl Policy {
    /// Returns the name in tables.
    pub fn name(self) -> &'static str {
        match self {
            Self::Random => "random",
            Self::LeastLoaded => "least loaded, LRU",
            Self::Hashed => "consistent hashing, LRU",
            Self::HashedAcross => "hashing over all regions, LRU",
            Self::Ours(ideas) if ideas == Ideas::ALL => "this policy",
            Self::Ours(_) => "this policy, changed",
        }
    }

    /// Returns the policies that others are compared with.
    pub const BASELINES: [Self; 4] =
        [Self::Random, Self::LeastLoaded, Self::Hashed, Self::HashedAcross];
}

/// The ideas of this project's policy, each of which can be switched off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ideas {
    /// Evicts by demand instead of recency.
    pub demand: bool,
    /// Passes a request on to the region that holds its revision.
    pub regions: bool,
    /// Weighs homes by the upstreams that they own.
    pub weighted: bool,
    /// Loads another copy of what is full, and spills to the next home.
    pub widen: bool,
    /// Refuses at once what cannot make its deadline.
    pub refuse: bool,
    /// Evicts rather from upstreams that run larger batches, as the weights say.
    pub pack: bool,
}

impl Ideas {
    /// All that are in the policy.
    pub const ALL: Self =
        Self { demand: true, regions: true, weighted: true, widen: true, refuse: true, pack: true };
}

/// What was measured in one run, after the warm-up.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Figures {
    /// Requests.
    pub requests: u32,
    /// Requests that waited for a load, or were refused while they did.
    pub stalled: u32,
    /// Requests that were refused.
    pub refused: u32,
    /// Requests whose first token came within the deadline.
    pub timely: u32,
    /// The seconds that requests waited for loads.
    pub stall_s: f64,
    /// The 99th percentile of the wait for a load over all requests, in seconds.
    pub stall_p99_s: f64,
    /// The median and 95th percentile of the time to the first token, in seconds.
    pub first_token_s: (f64, f64),
    /// Tokens generated, over what the engines would have generated in the time that they were
    /// busy with batches of full size that name one revision.
    pub batch_efficiency: f64,
    /// Bytes between regions for each request.
    pub remote_bytes: f64,
    /// Loads.
    pub loads: u32,
}

impl Figures {
    /// Returns the figures of several runs: counts are added, the rest is averaged.
    pub fn average(runs: &[Self]) -> Self {
        let sum = |part: fn(&Self) -> u32| runs.iter().map(part).sum();
        let mean = |part: fn(&Self) -> f64| runs.iter().map(part).sum::<f64>() / runs.len() as f64;
        Self {
            requests: sum(|run| run.requests),
            stalled: sum(|run| run.stalled),
            refused: sum(|run| run.refused),
            timely: sum(|run| run.timely),
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
