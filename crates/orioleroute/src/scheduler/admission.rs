//! Which requests are refused, when, and when their clients are to come back.
//!
//! Load pattern: a burst beyond what the engines can read. A request that would start only after
//! its objective is worth a fraction, and every request behind it becomes late in turn; it is
//! refused on arrival, so that its client can come back when the queue is short, or go elsewhere.
//! A late request is taken only while the engines would otherwise have little to do.

use super::Request;
use super::message::Reason;
use super::placement::Step;
use crate::prelude::*;

/// The queue up to which a request that would be late is taken all the same.
const IDLE_QUEUE: Duration = Duration::from_millis(150);

/// The part of the time to the objective that the expected start may take: the rest is for the
/// error of the estimate.
const START_SHARE: f64 = 0.9;

/// The part of the time to the deadline that the expected start may take for a client that has come
/// back: it is late in any case, but to refuse it twice is worse than to be late.
const RETURN_SHARE: f64 = 0.5;

/// The bounds of the time after which a refused client is told to come back.
const RETRY_BOUNDS: (Duration, Duration) =
    (Duration::from_millis(100), Duration::from_millis(2_000));

/// A request that is not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Why.
    pub reason: Reason,
    /// When a place is likely.
    pub retry_after: Duration,
}

/// Decides whether a request waits, given how long it will take to its first event and how much of
/// that it waits for others.
///
/// # Errors
///
/// Fails with the refusal to send at once.
pub fn admit(
    request: &Request,
    step: Step,
    expected_start: Duration,
    queue: Duration,
    now: Instant,
) -> Result<(), Refusal> {
    let deadline = request.deadline.since(now);
    if expected_start >= deadline {
        return Err(Refusal { reason: Reason::TooLate, retry_after: retry_after(queue) });
    }
    let is_on_time = expected_start <= request.objective.since(now).mul_f64(START_SHARE);
    let is_welcome = match request.is_return {
        true => expected_start <= deadline.mul_f64(RETURN_SHARE),
        // A late answer is worth less than what fetching its adapter takes from others.
        false => queue <= IDLE_QUEUE && !step.is_fetch(),
    };
    match is_on_time || is_welcome {
        true => Ok(()),
        false => Err(Refusal { reason: Reason::Overloaded, retry_after: retry_after(queue) }),
    }
}

/// Returns whether a request that has been taken may go on waiting. One that has become late is
/// given a little more, since engines that fall behind seldom catch up with it; its client can still
/// be served by coming back.
pub fn may_wait(request: &Request, now: Instant) -> bool {
    let waited = now.since(request.arrived);
    let whole = request.deadline.since(request.arrived);
    let to_objective = request.objective.since(request.arrived);
    waited < (to_objective + LATE_WAIT).max(whole.mul_f64(WAIT_SHARE))
}

/// How much longer than to its objective a request waits.
const LATE_WAIT: Duration = Duration::from_millis(300);

/// The part of a client's time that a request may wait in any case.
const WAIT_SHARE: f64 = 0.25;

/// Returns when a refused client is to come back: once what waits now has been read.
pub fn retry_after(queue: Duration) -> Duration {
    let (least, most) = RETRY_BOUNDS;
    queue.clamp(least, most)
}
