//! The availability zone that a request overflows to when its own has no capacity.
//!
//! Load pattern: zones whose demand and engines differ, for instance after engines of one zone have been
//! taken away during a burst. The zone with the fewest engines refuses requests while others are
//! idle. Requests are spread over the other zones in proportion to their spare capacity, because all
//! instances see about the same loads: if each chose the best zone, they would overload it together.

use serde::{Deserialize, Serialize};

use crate::hash;
use crate::prelude::*;

/// How many times the capacity of a zone in the request's region counts. Requests to other regions take
/// longer and cost more.
const NEAR_WEIGHT: u128 = 2;

/// How old a load may be: two heartbeats between regions, and a margin.
pub const LOAD_TTL: Duration = Duration::from_millis(5_000);

/// The load of an availability zone, which its scheduler publishes with its heartbeats.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// The zone.
    pub zone: Arc<str>,
    /// The number of engines that can take requests.
    pub engines: u32,
    /// How long a request waits for its prefill, on average over the engines, in milliseconds.
    pub delay_ms: u32,
}

/// A zone that a request could overflow to.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// The zone's load.
    pub load: &'a Load,
    /// Whether the zone is in the region of the instance.
    pub is_near: bool,
}

/// Returns the share of its requests that a zone should place elsewhere at once.
///
/// Load pattern: one zone's queue grows while others are short. If only refused requests went elsewhere,
/// each of the others would wait almost until it is late. The share is such that the difference to the
/// mean of the other zones would be made up within a second.
pub fn diverted_share<'a>(own: &Load, others: impl IntoIterator<Item = &'a Load>) -> f64 {
    let (mut engines, mut delay) = (0_u64, 0_u128);
    for load in others {
        engines += u64::from(load.engines);
        delay += u128::from(load.engines) * u128::from(load.delay_ms);
    }
    if engines == 0 || own.delay_ms < MIN_DIVERTING_DELAY_MS {
        return 0.0;
    }
    let excess_ms = f64::from(own.delay_ms) - delay as f64 / engines as f64;
    (excess_ms / BALANCING_TIME.as_millis() as f64).clamp(0.0, MAX_DIVERTED_SHARE)
}

/// Returns whether the request `attempt` is among a share of all requests.
pub fn is_in_share(attempt: &str, share: f64) -> bool {
    (hash::digest(&("divert", attempt)) as f64) < share * u64::MAX as f64
}

/// Returns whether a queued request should be placed in a zone with this load instead, given the time
/// until it is late.
pub fn is_sooner_in(load: &Load, left: Duration) -> bool {
    load.engines > 0 && Duration::from_millis(load.delay_ms.into()) + MOVE_TIME < left
}

/// How long a zone takes to make up the difference between its queue and those of others.
const BALANCING_TIME: Duration = Duration::from_millis(1_000);

/// The delay below which a zone places all its requests itself.
const MIN_DIVERTING_DELAY_MS: u32 = 100;

/// The largest share of requests that is placed elsewhere at once.
const MAX_DIVERTED_SHARE: f64 = 0.5;

/// The time that a request needs in another zone beyond the queue there: a round trip between regions, its
/// own prefill, and an allowance for the age of the load.
const MOVE_TIME: Duration = Duration::from_millis(200);

/// Returns the zone to try next for a request that can wait for `left`, or `None` if no zone has spare
/// capacity. Requests with different `attempt` ids are spread.
pub fn choose<'a>(
    candidates: impl IntoIterator<Item = Candidate<'a>>,
    left: Duration,
    attempt: &str,
) -> Option<Arc<str>> {
    let item = hash::digest(attempt);
    let weighted = candidates.into_iter().filter_map(|candidate| {
        let weight = weight(candidate, left);
        let score = hash::score(item, hash::digest(&*candidate.load.zone), weight);
        (weight > 0).then_some((score, &candidate.load.zone))
    });
    let best = weighted.max_by(|(score, _), (other, _)| score.total_cmp(other));
    best.map(|(_, zone)| zone.clone())
}

/// Returns the spare capacity of a zone: the prefill time that its engines have left for requests that
/// can wait for `left`.
fn weight(candidate: Candidate<'_>, left: Duration) -> u32 {
    let spare = left.as_millis().saturating_sub(u128::from(candidate.load.delay_ms));
    let near = if candidate.is_near { NEAR_WEIGHT } else { 1 };
    u32::try_from(spare * u128::from(candidate.load.engines) * near).unwrap_or(u32::MAX)
}
