//! Seeded traces of requests.

use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};

use super::Deployment;

/// How popularity behaves in a trace.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Family {
    /// Independent requests with Zipf popularity of this exponent.
    Zipf(f64),
    /// The most popular adapters change places with others every ten minutes.
    Shift,
    /// Adapters wake and fall idle, and the rate swings.
    Diurnal,
    /// Callers hold sessions of several requests to one adapter.
    Burst,
    /// Half of one region's engines restart with nothing loaded every ten minutes.
    Restart,
}

impl Family {
    /// All families that are reported.
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
    /// When it arrives, in seconds.
    pub at: f64,
    /// The adapter's number.
    pub adapter: usize,
    /// The number of the region of the caller.
    pub region: usize,
    /// The tokens that it generates.
    pub tokens: f64,
}

/// The length of a trace in seconds.
pub const LENGTH_S: f64 = 3_600.0;

/// The part at the start that is not measured, in seconds.
pub const WARM_UP_S: f64 = 600.0;

/// Between two shifts, wakes or restarts, in seconds.
pub const CHANGE_S: f64 = 600.0;

/// The share of an adapter's requests that come from its own region.
const AFFINITY: f64 = 0.9;

/// The mean tokens of an answer.
const TOKENS: f64 = 150.0;

/// The mean requests of a session, and the mean pause within it in seconds.
const SESSION: (f64, f64) = (6.0, 15.0);

/// The share of adapters that are awake, and the share that changes at a time.
const AWAKE: (f64, f64) = (0.5, 0.14);

/// Returns the trace of a family and seed, at `scale` times the usual rate.
pub fn generate(deployment: &Deployment, family: Family, seed: u64, scale: f64) -> Vec<Request> {
    let mut rng = StdRng::seed_from_u64(seed);
    let exponent = if let Family::Zipf(exponent) = family { exponent } else { 1.0 };
    let cumulative = cumulative(deployment.adapters, exponent);
    let mut ranks: Vec<usize> = (0..deployment.adapters).collect();
    ranks.shuffle(&mut rng);
    let mut awake: Vec<bool> = (0..deployment.adapters).map(|_| rng.random_bool(AWAKE.0)).collect();
    let mut next_change = CHANGE_S;
    let mut requests = Vec::new();
    let mut at = 0.0;
    let sessions = if family == Family::Burst { SESSION.0 } else { 1.0 };
    while at < LENGTH_S {
        if at >= next_change {
            next_change += CHANGE_S;
            change(family, &mut ranks, &mut awake, &mut rng);
        }
        let swing = match family {
            Family::Diurnal => 1.0 + 0.5 * (at / LENGTH_S * std::f64::consts::TAU).sin(),
            _ => 1.0,
        };
        at += exponential(&mut rng, sessions / (deployment.rate * scale * swing));
        let adapter = loop {
            let adapter = ranks[draw(&cumulative, rng.random())];
            if family != Family::Diurnal || awake[adapter] {
                break adapter;
            }
        };
        let mut turn = at;
        loop {
            let home = adapter % deployment.regions;
            let away = rng.random_range(0..deployment.regions);
            let region = if rng.random_bool(AFFINITY) { home } else { away };
            let tokens = exponential(&mut rng, TOKENS).max(1.0);
            requests.push(Request { at: turn, adapter, region, tokens });
            if !rng.random_bool(1.0 - 1.0 / sessions) {
                break;
            }
            turn += exponential(&mut rng, SESSION.1);
        }
    }
    requests.retain(|request| request.at < LENGTH_S);
    requests.sort_by(|one, other| one.at.total_cmp(&other.at));
    requests
}

/// Returns the share of measured requests that wait in the clairvoyant bound: all slots pooled,
/// loads without delay, and the resident with the furthest next use evicted.
pub fn clairvoyant(requests: &[Request], adapters: usize, slots: usize) -> f64 {
    let mut next = vec![usize::MAX; requests.len()];
    let mut seen = vec![usize::MAX; adapters];
    for (index, request) in requests.iter().enumerate().rev() {
        next[index] = seen[request.adapter];
        seen[request.adapter] = index;
    }
    let mut held = std::collections::BTreeSet::new();
    let mut use_of = vec![None; adapters];
    let (mut misses, mut measured) = (0_u32, 0_u32);
    for (index, request) in requests.iter().enumerate() {
        let counts = request.at >= WARM_UP_S;
        measured += u32::from(counts);
        match use_of[request.adapter] {
            Some(due) => {
                held.remove(&(due, request.adapter));
            }
            None => {
                misses += u32::from(counts);
                if held.len() >= slots
                    && let Some((_, victim)) = held.pop_last()
                {
                    use_of[victim] = None;
                }
            }
        }
        held.insert((next[index], request.adapter));
        use_of[request.adapter] = Some(next[index]);
    }
    f64::from(misses) / f64::from(measured)
}

fn change(family: Family, ranks: &mut [usize], awake: &mut [bool], rng: &mut StdRng) {
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
            for adapter in awake.iter_mut() {
                if rng.random_bool(AWAKE.1) {
                    *adapter = !*adapter;
                }
            }
        }
        _ => {}
    }
}

fn cumulative(adapters: usize, exponent: f64) -> Vec<f64> {
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

fn draw(cumulative: &[f64], point: f64) -> usize {
    cumulative.partition_point(|part| *part < point).min(cumulative.len() - 1)
}

fn exponential(rng: &mut StdRng, mean: f64) -> f64 {
    -mean * (1.0 - rng.random::<f64>()).ln()
}
