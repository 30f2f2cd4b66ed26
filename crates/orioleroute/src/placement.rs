//! Decisions on which revisions to load and to unload.
//!
//! `docs/POLICY.md`, section "Placement", gives the reasons and the measurements.

use crate::document::Policy;
use crate::fleet::{Fleet, Residency, Resident, Upstream};
use crate::prelude::*;

/// The packing factor when both weights of the policy are the same; see [`packing`].
const BASE_PACKING: f64 = 2.0;

/// An upstream that may load a revision.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    /// The upstream.
    pub upstream: key::Upstream,
    /// The number of revisions that it holds at a time.
    pub slots: u32,
    /// The number of requests that it runs at a time at full speed.
    pub concurrency: u32,
}

/// Returns the packing factor from the weights of the policy: how strongly evictions favour
/// upstreams with fuller batches over the cost of a load.
///
/// Zero evicts by demand alone. At 2, the revisions of an upstream at full concurrency are worth
/// 1/e² of those of an idle one, so that new work joins running batches.
pub fn packing(policy: &Policy) -> f64 {
    if policy.batch_weight == 0.0 {
        return 0.0;
    }
    // Weights may be zero, and a higher ratio would evict regardless of demand.
    BASE_PACKING * (policy.batch_weight / policy.stall_weight).min(4.0)
}

/// How to get a revision loaded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Plan {
    /// Load it on this upstream.
    Load(key::Upstream),
    /// Unload this revision from this upstream first.
    Evict(key::Upstream, key::Revision),
}

impl Plan {
    /// Returns the upstream that the plan is for.
    pub fn upstream(self) -> key::Upstream {
        match self {
            Self::Load(upstream) | Self::Evict(upstream, _) => upstream,
        }
    }
}

/// The value of keeping a loaded revision, in requests per second. `None` means that it is never
/// evicted.
pub type RetentionValue = Option<f64>;

/// Returns how to get `revision` loaded on one of `candidates`, if any of them permits it.
///
/// An upstream with a free adapter slot is preferred. Otherwise, the revision is evicted whose
/// removal is expected to cost least, in loads and, weighted by `packing`, in batches that stay
/// small. Among equals, the one that was idle longest is evicted. A revision in use, according to
/// this instance or the engine's report, is never evicted.
pub fn plan(
    now: Instant,
    fleet: &Fleet,
    candidates: impl IntoIterator<Item = Candidate>,
    revision: key::Revision,
    packing: f64,
    value: impl Fn(key::Revision) -> RetentionValue,
) -> Option<Plan> {
    let open: Vec<(Candidate, &Upstream)> = candidates
        .into_iter()
        .filter_map(|candidate| Some((candidate, fleet.get(candidate.upstream)?)))
        .filter(|(_, upstream)| upstream.is_open(now) && upstream.has_fresh_report(now))
        .filter(|(_, upstream)| !upstream.residents.contains_key(&revision))
        .collect();
    let free = open
        .iter()
        .filter(|(candidate, upstream)| (upstream.residents.len() as u32) < candidate.slots)
        .min_by_key(|(_, upstream)| (upstream.running, upstream.residents.len()));
    if let Some((candidate, _)) = free {
        return Some(Plan::Load(candidate.upstream));
    }
    let copies = copies(open.iter().map(|(_, upstream)| *upstream));
    let mut best: Option<(f64, Instant, Plan)> = None;
    for (candidate, upstream) in &open {
        let utilization = f64::from(upstream.running) / f64::from(candidate.concurrency);
        let discount = (-packing * utilization.min(1.0)).exp();
        for (victim, used) in idle_residents(upstream) {
            let Some(value) = value(victim) else { continue };
            // A copy on another upstream can answer requests without a load.
            let cost = if copies[&victim] > 1 { 0.0 } else { value * discount };
            let better = best.is_none_or(|(least, oldest, _)| {
                cost.total_cmp(&least).then(used.cmp(&oldest)).is_lt()
            });
            if better {
                best = Some((cost, used, Plan::Evict(candidate.upstream, victim)));
            }
        }
    }
    best.map(|(_, _, plan)| plan)
}

/// Returns the revisions that may be unloaded, with when each was last used.
fn idle_residents(upstream: &Upstream) -> impl Iterator<Item = (key::Revision, Instant)> {
    let unused = |resident: &Resident| {
        resident.residency == Residency::Loaded
            && resident.running == 0
            && resident.reported_running == 0
    };
    upstream
        .residents
        .iter()
        .filter(move |(_, resident)| unused(resident))
        .map(|(victim, resident)| (*victim, resident.last_used))
}

/// Returns on how many of these upstreams each revision is loaded.
fn copies<'a>(upstreams: impl Iterator<Item = &'a Upstream>) -> Map<key::Revision, u32> {
    let mut copies = Map::default();
    for (revision, resident) in upstreams.flat_map(|upstream| &upstream.residents) {
        if resident.residency == Residency::Loaded {
            *copies.entry(*revision).or_default() += 1;
        }
    }
    copies
}
