//! An engine that batches continuously.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use super::trace::WARM_UP_S;

/// The time for one token of a batch of one, in seconds.
const TOKEN_S: f64 = 0.02;

/// What each further request of a batch adds to that, as a share.
const BATCH_COST: f64 = 0.03;

/// What each further revision in a batch adds to that, as a share.
const REVISION_COST: f64 = 0.02;

/// Continuous batching: all requests of a batch advance at one rate.
#[derive(Default)]
pub(super) struct Batch {
    /// Tokens that each request in the batch has been given since the start.
    pub done: f64,
    /// When it was last brought to the present, in seconds.
    pub at: f64,
    /// The ends of the requests, in tokens since the start (as bits, which sort alike).
    pub running: BTreeSet<(u64, usize)>,
    /// Requests that wait for a place in the batch.
    pub queue: VecDeque<usize>,
    /// The requests in the batch by adapter.
    pub revisions: BTreeMap<usize, u32>,
    /// The number of the next end, by which an outdated event is known.
    pub step: u64,
    /// The measured time with requests, in seconds.
    pub busy_s: f64,
    /// The tokens generated in that time.
    pub tokens: f64,
}

impl Batch {
    /// Brings it to the present.
    pub fn advance(&mut self, now: f64) {
        let span = now - self.at;
        self.at = now;
        let count = self.running.len();
        if count == 0 {
            return;
        }
        let tokens = span / step_s(count, self.revisions.len());
        self.done += tokens;
        if now >= WARM_UP_S {
            self.busy_s += span;
            self.tokens += tokens * count as f64;
        }
    }
}

/// Returns the time of one token for each request of a batch, in seconds.
pub(super) fn step_s(requests: usize, revisions: usize) -> f64 {
    let further = |count: usize| count.saturating_sub(1) as f64;
    TOKEN_S * (1.0 + BATCH_COST * further(requests) + REVISION_COST * further(revisions))
}
