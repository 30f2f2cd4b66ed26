//! Seeded traces of requests.

use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};

use super::Deployment;

/// The pattern of adapter popularity and arrivals in a trace.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Family {
    /// Independent requests whose adapters follow a Zipf distribution with this exponent.
    Zipf(f64),
    /// Some of the most popular adapters swap ranks with others every ten minutes.
    Shift,
    /// Adapters become active and inactive every ten minutes, and the request rate varies as a sine
    /// wave.
    Diurnal,
    /// Callers send sessions of several requests to one adapter.
    Burst,
    /// Half of the engines of one region restart every ten minutes, with no adapters loaded.
    Restart,
}

impl Family {
    /// All families in the report.
    pub const ALL: [Self; 8] = [
        Self::Zipf(0.8),
        Self::Zipf(1.0),
        Self::Zipf(1.2),
        Self::Zipf(1.4),
        Self::Shift,
        Self::Diurnal,
        Self::Burst,
        Self::Restart,
    ];

    /// Returns the name in tables.
    pub fn name(self) -> String {
        match self {
            Self::Zipf(exponent) => format!("zipf {exponent:.1}"),
            other => format!("{other:?}").to_lowercase(),
        }
    }
}

/// A request of a trace.
#[derive(Clone, Copy, Debug)]
pub struct Request {
    /// The arrival time, in seconds since the start of the trace.
    pub at: f64,
    /// The index of the adapter.
    pub adapter: usize,
    /// The index of the caller's region.
    pub region: usize,
    /// The number of tokens to generate.
    pub tokens: f64,
}

/// The length of a trace, in seconds.
pub const LENGTH_S: f64 = 3_600.0;

/// The length of the warm-up at the start, which is not measured, in seconds.
pub const WARM_UP_S: f64 = 600.0;

/// The interval between changes of popularity or activity, or between restarts, in seconds.
pub const CHANGE_INTERVAL_S: f64 = 600.0;

/// The share of an adapter's requests that come from its home region. The others come from a random one.
const HOME_REGION_SHARE: f64 = 0.9;

/// The mean number of tokens of a response.
const MEAN_TOKENS: f64 = 150.0;

/// The mean number of requests in a session, and the mean pause between them in seconds.
const SESSION_REQUESTS_AND_PAUSE_S: (f64, f64) = (6.0, 15.0);

/// The share of adapters that are active, and the share whose activity toggles at each change.
const ACTIVE_AND_TOGGLED_SHARES: (f64, f64) = (0.5, 0.14);

/// Generates the trace of a family and seed at `scale` times the usual rate, sorted by arrival time.
pub fn generate(deployment: &Deployment, family: Family, seed: u64, scale: f64) -> Vec<Request> {
    let mut rng = StdRng::seed_from_u64(seed);
    let exponent = if let Family::Zipf(exponent) = family { exponent } else { 1.0 };
    let cumulative = zipf_cumulative(deployment.adapters, exponent);
    let mut ranks: Vec<usize> = (0..deployment.adapters).collect();
    ranks.shuffle(&mut rng);
    let mut active: Vec<bool> =
        (0..deployment.adapters).map(|_| rng.random_bool(ACTIVE_AND_TOGGLED_SHARES.0)).collect();
    let mut next_change = CHANGE_INTERVAL_S;
    let mut requests = Vec::new();
    let mut at = 0.0;
    let session_requests =
        if family == Family::Burst { SESSION_REQUESTS_AND_PAUSE_S.0 } else { 1.0 };
    while at < LENGTH_S {
        if at >= next_change {
            next_change += CHANGE_INTERVAL_S;
            change_popularity(family, &mut ranks, &mut active, &mut rng);
        }
        let rate_factor = match family {
            Family::Diurnal => 1.0 + 0.5 * (at / LENGTH_S * std::f64::consts::TAU).sin(),
            _ => 1.0,
        };
        at += sample_exponential(
            &mut rng,
            session_requests / (deployment.requests_per_s * scale * rate_factor),
        );
        let adapter = loop {
            let adapter = ranks[sample_rank(&cumulative, rng.random())];
            if family != Family::Diurnal || active[adapter] {
                break adapter;
            }
        };
        let mut arrival = at;
        loop {
            let home = adapter % deployment.regions;
            let away = rng.random_range(0..deployment.regions);
            let region = if rng.random_bool(HOME_REGION_SHARE) { home } else { away };
            let tokens = sample_exponential(&mut rng, MEAN_TOKENS).max(1.0);
            requests.push(Request { at: arrival, adapter, region, tokens });
            if !rng.random_bool(1.0 - 1.0 / session_requests) {
                break;
            }
            arrival += sample_exponential(&mut rng, SESSION_REQUESTS_AND_PAUSE_S.1);
        }
    }
    requests.retain(|request| request.at < LENGTH_S);
    requests.sort_by(|one, other| one.at.total_cmp(&other.at));
    requests
}

/// Returns the share of measured requests that wait for a load under a clairvoyant lower bound: all
/// slots form one pool, loads take no time, and the resident whose next use is furthest away is
/// evicted (Belady's algorithm).
pub fn clairvoyant(requests: &[Request], adapters: usize, slots: usize) -> f64 {
    let mut next_uses = vec![usize::MAX; requests.len()];
    let mut next_seen = vec![usize::MAX; adapters];
    for (index, request) in requests.iter().enumerate().rev() {
        next_uses[index] = next_seen[request.adapter];
        next_seen[request.adapter] = index;
    }
    let mut held = std::collections::BTreeSet::new();
    let mut next_use_of = vec![None; adapters];
    let (mut misses, mut measured) = (0_u32, 0_u32);
    for (index, request) in requests.iter().enumerate() {
        let is_measured = request.at >= WARM_UP_S;
        measured += u32::from(is_measured);
        match next_use_of[request.adapter] {
            Some(next_use) => {
                held.remove(&(next_use, request.adapter));
            }
            None => {
                misses += u32::from(is_measured);
                if held.len() >= slots
                    && let Some((_, victim)) = held.pop_last()
                {
                    next_use_of[victim] = None;
                }
            }
        }
        held.insert((next_uses[index], request.adapter));
        next_use_of[request.adapter] = Some(next_uses[index]);
    }
    f64::from(misses) / f64::from(measured)
}

fn change_popularity(family: Family, ranks: &mut [usize], active: &mut [bool], rng: &mut StdRng) {
    match family {
        Family::Shift => {
            for rank in 0..100 {
                if rng.random_bool(0.3) {
                    let other = rng.random_range(0..ranks.len());
                    ranks.swap(rank, other);
                }
            }
        }
        Family::Diurnal => {
            for adapter in active.iter_mut() {
                if rng.random_bool(ACTIVE_AND_TOGGLED_SHARES.1) {
                    *adapter = !*adapter;
                }
            }
        }
        _ => {}
    }
}

fn zipf_cumulative(adapters: usize, exponent: f64) -> Vec<f64> {
    let weights = (1..=adapters).map(|rank| (rank as f64).powf(-exponent));
    let mut sum = 0.0;
    let mut cumulative: Vec<f64> = weights
        .map(|weight| {
            sum += weight;
            sum
        })
        .collect();
    cumulative.iter_mut().for_each(|part| *part /= sum);
    cumulative
}

fn sample_rank(cumulative: &[f64], quantile: f64) -> usize {
    cumulative.partition_point(|part| *part < quantile).min(cumulative.len() - 1)
}

fn sample_exponential(rng: &mut StdRng, mean: f64) -> f64 {
    -mean * (1.0 - rng.random::<f64>()).ln()
}
