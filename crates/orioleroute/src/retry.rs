//! The retry budget, which keeps an instance from amplifying a brown-out.

use std::collections::VecDeque;

use crate::prelude::*;

/// The limits of a retry budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// The number of requests that earn one retry.
    pub requests_per_retry: u32,
    /// The maximum number of saved retries, and the number at the start of an instance.
    pub burst: u32,
    /// The time that earns one retry, so that an instance with few requests can retry too.
    pub time_per_retry: Duration,
}

/// The default of [`Limits::requests_per_retry`].
pub const DEFAULT_REQUESTS_PER_RETRY: u32 = 10;

/// The default of [`Limits::burst`].
pub const DEFAULT_BURST: u32 = 10;

/// The default of [`Limits::time_per_retry`].
pub const DEFAULT_TIME_PER_RETRY: Duration = Duration::from_secs(1);

/// The default limits. In addition to the requests, the upstreams receive at most a tenth of their
/// number in retries, one retry per second, and the burst.
pub const DEFAULT_LIMITS: Limits = Limits {
    requests_per_retry: DEFAULT_REQUESTS_PER_RETRY,
    burst: DEFAULT_BURST,
    time_per_retry: DEFAULT_TIME_PER_RETRY,
};

/// A token bucket that is filled by requests and time and drained by retries.
///
/// When most attempts fail, the upstreams receive the requests plus what the limits add, however
/// many attempts each request is allowed.
#[derive(Clone, Debug)]
pub struct Budget {
    limits: Limits,
    /// The saved tokens. A retry costs [`Limits::requests_per_retry`] of them.
    tokens: u32,
    refilled_at: Instant,
}

impl Default for Budget {
    fn default() -> Self {
        Self::new(DEFAULT_LIMITS)
    }
}

impl Budget {
    /// Returns a full budget with these limits.
    pub fn new(limits: Limits) -> Self {
        let tokens = limits.burst * limits.requests_per_retry;
        Self { limits, tokens, refilled_at: Instant::ZERO }
    }

    /// Deposits the token of a request's first attempt.
    pub fn deposit(&mut self) {
        self.add(1);
    }

    /// Withdraws one retry, and returns whether one was available.
    pub fn withdraw(&mut self, now: Instant) -> bool {
        let Limits { requests_per_retry, burst, time_per_retry } = self.limits;
        let periods = now.since(self.refilled_at).as_micros() / time_per_retry.as_micros();
        if periods > 0 {
            self.refilled_at = now;
            self.add(periods.min(burst.into()) as u32 * requests_per_retry);
        }
        let has_retry = self.tokens >= requests_per_retry;
        if has_retry {
            self.tokens -= requests_per_retry;
        }
        has_retry
    }

    fn add(&mut self, tokens: u32) {
        self.tokens =
            (self.tokens + tokens).min(self.limits.burst * self.limits.requests_per_retry);
    }
}

/// The time for which an allowance of retries is given.
pub const ALLOWANCE_WINDOW: Duration = Duration::from_secs(10);

/// What is known of an earlier process of the instance. Its retries count for as long as the window lasts, and are known to nobody.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Predecessor {
    /// The table of instances has not been read.
    #[default]
    Unknown,
    /// There was none.
    Absent,
    /// There was one, which may have ended when this one started.
    Present,
}

impl Predecessor {
    /// Returns how much of a fixed allowance may be used by an instance whose process has run for `uptime`. It is none while an
    /// earlier process may have used it. What requests earn remains, because each request earns it at one process only.
    pub fn usable(self, fixed: u32, uptime: Duration) -> u32 {
        match self {
            Self::Absent => fixed,
            Self::Present if uptime >= ALLOWANCE_WINDOW => fixed,
            Self::Present | Self::Unknown => 0,
        }
    }
}

/// The number of requests that earn one retry in an [`Allowance`]. All instances together may retry a fifth of the requests of
/// a window. A window can hold the retries that two windows have earned: those that a process saved before it ended, and
/// those that its clients' requests earn elsewhere. Ten requests a retry keep the two within the fifth, and the rest is for
/// the last span, of which a part lies beyond the windows.
pub const ALLOWANCE_REQUESTS_PER_RETRY: f64 = 10.5;

/// The length of the spans in which an [`Allowance`] counts.
const SPAN: Duration = Duration::from_millis(250);

/// The retries of one of several instances that share a budget.
///
/// Load pattern: engines fail a part of their requests for some seconds, all at once. Each of hundreds of
/// instances sees only a few requests a second. A token bucket small enough that all of them together
/// stay within the budget when they retry at once is empty after one retry at each, while most of the
/// budget remains unused. The instance therefore counts its requests and retries over
/// [`ALLOWANCE_WINDOW`] and may use what its own requests earned in that time, and its part of the
/// fixed allowance.
#[derive(Clone, Debug, Default)]
pub struct Allowance {
    spans: VecDeque<Span>,
}

/// How much of its [`Allowance`] an instance has used.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Usage {
    /// The retries in the window.
    pub retries: u32,
    /// The most retries that the window may have.
    pub limit: f64,
}

/// What an instance counted in one span.
#[derive(Clone, Copy, Debug, Default)]
struct Span {
    number: u64,
    requests: u32,
    retries: u32,
}

impl Allowance {
    /// Counts a request's first attempt.
    pub fn deposit(&mut self, now: Instant) {
        self.current(now).requests += 1;
    }

    /// Withdraws one retry, and returns whether one was available to one of `instances` that together
    /// may make `fixed` retries in the window beyond those that requests earn.
    pub fn withdraw(&mut self, fixed: u32, instances: u32, now: Instant) -> bool {
        let Usage { retries, limit } = self.usage(fixed, instances, now);
        let has_retry = f64::from(retries) + 1.0 <= limit;
        if has_retry {
            self.current(now).retries += 1;
        }
        has_retry
    }

    /// Returns what is used of the window, and what may be, by one of `instances` that share `fixed` retries.
    pub fn usage(&mut self, fixed: u32, instances: u32, now: Instant) -> Usage {
        self.current(now);
        let requests: u32 = self.spans.iter().map(|span| span.requests).sum();
        let retries = self.spans.iter().map(|span| span.retries).sum();
        let part = f64::from(fixed) / f64::from(instances.max(1));
        Usage { retries, limit: f64::from(requests) / ALLOWANCE_REQUESTS_PER_RETRY + part }
    }

    /// Returns a withdrawn retry that was not made.
    pub fn restore(&mut self, now: Instant) {
        let last = self.current(now);
        last.retries = last.retries.saturating_sub(1);
    }

    /// Returns the span of the time `now`, after dropping those that no longer count. One span more than
    /// the window has is kept, because the window may begin and end within a span.
    fn current(&mut self, now: Instant) -> &mut Span {
        let number = (now.as_micros() as u128 / SPAN.as_micros()) as u64;
        let kept = (ALLOWANCE_WINDOW.as_micros() / SPAN.as_micros()) as u64;
        self.spans.retain(|span| span.number + kept >= number);
        if self.spans.back().is_none_or(|span| span.number < number) {
            self.spans.push_back(Span { number, ..Span::default() });
        }
        let last = self.spans.len() - 1;
        &mut self.spans[last]
    }
}
