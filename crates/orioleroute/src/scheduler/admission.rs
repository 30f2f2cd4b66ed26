//! Admission control: which requests are refused, when, and how long their clients should back off.
//!
//! Load pattern: a burst beyond the prefill throughput of the engines. A request that starts only
//! after its objective is worth a fraction of one on time, and delays every request behind it. It is
//! refused on arrival, so that its client can retry when the queue is short, or go elsewhere. A
//! request that would be late is admitted only while the engines have little else to do.

use super::Request;
use super::message::Reason;
use super::placement::Step;
use super::share::Standing;
use crate::hash;
use crate::prelude::*;

/// Queueing delay up to which a request is admitted even if it would be late.
const IDLE_QUEUE: Duration = Duration::from_millis(150);

/// Share of the time to the objective that may pass before the expected start. The rest allows for
/// errors of the estimate.
const START_SHARE: f64 = 0.9;

/// The same for a request beyond its organisation's share, whose start also depends on how many requests of others arrive
/// in the meantime.
const START_SHARE_BEYOND: f64 = 0.75;

/// The refusal of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// The reason for the refusal.
    pub reason: Reason,
    /// How long the client should wait before it retries.
    pub retry_after: Duration,
}

/// Decides whether to admit a request, given the expected time to its first event and the part of
/// that time that is queueing delay.
///
/// # Errors
///
/// Returns the refusal if the expected start is past the deadline, or if the request would be late
/// and no exception applies.
pub fn admit(
    request: &Request,
    standing: Standing,
    step: Step,
    expected_start: Duration,
    queue: Duration,
    now: Instant,
) -> Result<(), Refusal> {
    let deadline = request.deadline.since(now);
    if expected_start >= deadline {
        let retry_after = retry_after(request, standing, queue, now);
        return Err(Refusal { reason: Reason::TooLate, retry_after });
    }
    let start_share = match standing {
        Standing::Inside => START_SHARE,
        Standing::Beyond { .. } | Standing::FarBeyond { .. } => START_SHARE_BEYOND,
    };
    let is_on_time = expected_start <= request.objective.since(now).mul_f64(start_share);
    let is_admitted_late = match request.is_return {
        // A late response is better than a second refusal, unless the request would time out while it
        // waits.
        true => expected_start <= max_wait(request).mul_f64(START_SHARE),
        // A late response is worth less than the delay that fetching its adapter causes for others.
        false => queue <= IDLE_QUEUE && !step.is_fetch(),
    };
    match is_on_time || is_admitted_late {
        true => Ok(()),
        false => {
            let reason = match standing {
                Standing::Inside => Reason::Overloaded,
                Standing::Beyond { .. } | Standing::FarBeyond { .. } => Reason::OverShare,
            };
            Err(Refusal { reason, retry_after: retry_after(request, standing, queue, now) })
        }
    }
}

/// Returns whether an admitted request may continue to wait. A request that has become late may wait
/// only a little longer, because engines that fall behind seldom catch up; its client can still be
/// served on a retry.
pub fn may_wait(request: &Request, now: Instant) -> bool {
    now.since(request.arrived) < max_wait(request)
}

/// Returns how long a request waits before it is refused.
fn max_wait(request: &Request) -> Duration {
    let total = request.deadline.since(request.arrived);
    let to_objective = request.objective.since(request.arrived);
    (to_objective + MAX_LATE_WAIT).max(total.mul_f64(MIN_WAIT_SHARE))
}

/// How long a request may wait beyond its objective.
const MAX_LATE_WAIT: Duration = Duration::from_millis(300);

/// Share of the time from arrival to deadline that a request may wait in any case.
const MIN_WAIT_SHARE: f64 = 0.25;

/// Returns how long a refused client should wait before it retries: until the current queue has been
/// processed, if a retry can then still be on time; otherwise for the longest time that clients
/// accept, with jitter, because bursts last for seconds and the request is late in any case.
///
/// The latter always holds beyond the share of an organisation. How long the queue is says nothing about when its own burst
/// leaves room.
pub fn retry_after(
    request: &Request,
    standing: Standing,
    queue: Duration,
    now: Instant,
) -> Duration {
    let soon = queue.max(MIN_RETRY_AFTER);
    let is_in_time = soon <= request.objective.since(now).mul_f64(ON_TIME_SHARE);
    let randomised = match standing {
        Standing::Inside if is_in_time => return soon,
        Standing::Inside => RETRY_JITTER,
        Standing::Beyond { .. } | Standing::FarBeyond { .. } => BURST_JITTER,
    };
    let jitter = hash::digest(&request.attempt) as f64 / u64::MAX as f64;
    let share = MAX_RETRY_SHARE * (1.0 - randomised * jitter);
    request.deadline.since(now).mul_f64(share).max(MIN_RETRY_AFTER)
}

/// Minimum time that a refused client is told to wait before it retries.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);

/// Share of the time to the objective after which a retry can still be on time.
const ON_TIME_SHARE: f64 = 0.4;

/// Maximum suggested delay, as a share of the time to the client's deadline. Clients follow a
/// suggested delay of up to a third.
const MAX_RETRY_SHARE: f64 = 0.32;

/// Share of that delay that is randomised by jitter.
const RETRY_JITTER: f64 = 0.5;

/// The same for requests beyond the shares of their organisations, which come back later than others.
const BURST_JITTER: f64 = 0.25;
