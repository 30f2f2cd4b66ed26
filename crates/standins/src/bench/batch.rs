//! The continuous batching of a simulated engine.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use super::trace::WARM_UP_S;

/// The time per token in a batch of one request, in seconds.
const TOKEN_S: f64 = 0.02;

/// The share of [`TOKEN_S`] that each additional request in a batch adds.
const REQUEST_COST_SHARE: f64 = 0.03;

/// The share of [`TOKEN_S`] that each additional revision in a batch adds.
const REVISION_COST_SHARE: f64 = 0.02;

/// The requests of an engine with continuous batching. All requests in the batch advance at the
/// same rate.
#[derive(Default)]
pub(super) struct Batch {
    /// The tokens that a request in the batch for the whole run would have received so far.
    pub tokens_done: f64,
    /// The time of the last call of [`Self::advance`], in seconds.
    pub advanced_at: f64,
    /// The requests in the batch, each with the value of `tokens_done` at which it ends. The value
    /// is stored as its bits, which sort in the same order.
    pub running: BTreeSet<(u64, usize)>,
    /// The requests that wait to join the batch.
    pub queue: VecDeque<usize>,
    /// The number of requests in the batch by adapter.
    pub revisions: BTreeMap<usize, u32>,
    /// The generation of the scheduled end event. Events of an earlier generation are ignored.
    pub generation: u64,
    /// The time after the warm-up with a non-empty batch, in seconds.
    pub busy_s: f64,
    /// The tokens generated in that time.
    pub tokens: f64,
}

impl Batch {
    /// Advances the requests in the batch to `now`, in seconds.
    pub fn advance(&mut self, now: f64) {
        let span = now - self.advanced_at;
        self.advanced_at = now;
        let count = self.running.len();
        if count == 0 {
            return;
        }
        let tokens = span / token_time_s(count, self.revisions.len());
        self.tokens_done += tokens;
        if now >= WARM_UP_S {
            self.busy_s += span;
            self.tokens += tokens * count as f64;
        }
    }
}

/// Returns the time in which each request of a batch receives one token, in seconds.
pub(super) fn token_time_s(requests: usize, revisions: usize) -> f64 {
    let additional = |count: usize| count.saturating_sub(1) as f64;
    TOKEN_S
        * (1.0
            + REQUEST_COST_SHARE * additional(requests)
            + REVISION_COST_SHARE * additional(revisions))
}
