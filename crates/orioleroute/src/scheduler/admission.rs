//! Which requests are refused, when, and when their clients are to come back.
//!
//! Load pattern: a burst beyond what the engines can read. A request that would start only after
//! its objective is worth a fraction, and every request behind it becomes late in turn; it is
//! refused on arrival, so that its client can come back when the queue is short, or go elsewhere.
//! A late request is taken only while the engines would otherwise have little to do.

use super::Request;
use super::message::Reason;
use super::placement::Step;
use crate::hash;
use crate::prelude::*;

/// The queue up to which a request that would be late is taken all the same.
const IDLE_QUEUE: Duration = Duration::from_millis(150);

/// The part of the time to the objective that the expected start may take: the rest is for the
/// error of the estimate.
const START_SHARE: f64 = 0.9;

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
        let retry_after = retry_after(request, queue, now);
        return Err(Refusal { reason: Reason::TooLate, retry_after });
    }
    let is_on_time = expected_start <= request.objective.since(now).mul_f64(START_SHARE);
    let is_taken_late = match request.is_return {
        // Late is better than refused again, unless it would be given up while it waits.
        true => expected_start <= longest_wait(request).mul_f64(START_SHARE),
        // A late answer is worth less than what fetching its adapter takes from others.
        false => queue <= IDLE_QUEUE && !step.is_fetch(),
    };
    match is_on_time || is_taken_late {
        true => Ok(()),
        false => {
            let retry_after = retry_after(request, queue, now);
            Err(Refusal { reason: Reason::Overloaded, retry_after })
        }
    }
}

/// Returns whether a request that has been taken may go on waiting. One that has become late is
/// given a little more, since engines that fall behind seldom catch up with it; its client can still
/// be served by coming back.
pub fn may_wait(request: &Request, now: Instant) -> bool {
    now.since(request.arrived) < longest_wait(request)
}

/// Returns how long a request waits before it is given up.
fn longest_wait(request: &Request) -> Duration {
    let whole = request.deadline.since(request.arrived);
    let to_objective = request.objective.since(request.arrived);
    (to_objective + LATE_WAIT).max(whole.mul_f64(WAIT_SHARE))
}

/// How much longer than to its objective a request waits.
const LATE_WAIT: Duration = Duration::from_millis(300);

/// The part of a client's time that a request may wait in any case.
const WAIT_SHARE: f64 = 0.25;

/// Returns when a refused client is to come back: once what waits now has been read, if it can then
/// still be on time; else as late as clients take advice, spread out, since bursts last for seconds
/// and it is late in any case.
pub fn retry_after(request: &Request, queue: Duration, now: Instant) -> Duration {
    let soon = queue.max(SOONEST_RETRY);
    if soon <= request.objective.since(now).mul_f64(ON_TIME_SHARE) {
        return soon;
    }
    let spread = hash::digest(&request.attempt) as f64 / u64::MAX as f64;
    let share = RETRY_SHARE * (1.0 - RETRY_SPREAD * spread);
    request.deadline.since(now).mul_f64(share).max(SOONEST_RETRY)
}

/// The soonest time after which a refused client is told to come back.
const SOONEST_RETRY: Duration = Duration::from_millis(100);

/// The part of the time to the objective after which a client may come back and still be on time.
const ON_TIME_SHARE: f64 = 0.4;

/// The part of its time after which a client comes back at the latest: clients take advice up to a
/// third.
const RETRY_SHARE: f64 = 0.32;

/// The part of that time over which clients are spread.
const RETRY_SPREAD: f64 = 0.5;
