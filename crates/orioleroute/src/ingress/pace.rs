//! Keeps to the number of requests a second that an upstream takes.
//!
//! Load pattern: an upstream in need names a limit for all instances together, far below what it gets as one of many. The
//! scheduler of a zone grants an engine's requests at that rate. Of a plain upstream every instance takes a share, because
//! nobody sees all its requests. Each instance that has been idle could send a request at once, so where the instances are
//! many for the limit they take turns by the time of day. `docs/PLATFORM.md`, section "Upstreams that name a limit".

use crate::prelude::*;

/// The lowest rate that is kept, in requests a second, so that an answer shows when an upstream takes more again.
const MIN_RATE: f64 = 0.2;

/// The time whose requests may be sent at once after a pause. It is short, because an upstream in need has asked for a rate.
const BURST_TIME: Duration = Duration::from_millis(500);

/// A token bucket: each request takes a token, and tokens come at the rate of the limit.
#[derive(Clone, Copy, Debug)]
pub struct Pace {
    rate: f64,
    tokens: f64,
    updated: Instant,
    /// The most tokens that are saved.
    most: f64,
}

impl Pace {
    /// Returns the pace of `rate` requests a second that has this part of a token.
    pub fn new(rate: f64, tokens: f64, now: Instant) -> Self {
        let rate = rate.max(MIN_RATE);
        Self { rate, tokens, updated: now, most: (rate * BURST_TIME.as_secs_f64()).max(1.0) }
    }

    /// Changes the rate to that of another pace, and keeps the tokens.
    pub fn adopt(&mut self, other: Self) {
        self.tokens = self.tokens_at(other.updated);
        self.updated = other.updated;
        self.rate = other.rate;
        self.most = other.most;
    }

    /// Takes a token. There may be less than one: a request that is sent in any case delays the next.
    pub fn take(&mut self, now: Instant) {
        self.tokens = self.tokens_at(now) - 1.0;
        self.updated = now;
    }

    /// Returns the time until there is a token for a request with this many before it.
    pub fn delay(&self, ahead: u32, now: Instant) -> Duration {
        let lacking = f64::from(ahead) + 1.0 - self.tokens_at(now);
        Duration::try_from_secs_f64(lacking.max(0.0) / self.rate).unwrap_or(Duration::MAX)
    }

    fn tokens_at(&self, now: Instant) -> f64 {
        (self.tokens + self.rate * now.since(self.updated).as_secs_f64()).min(self.most)
    }
}

/// One instance's part of a limit that all of them keep together without seeing each other's requests.
#[derive(Clone, Copy, Debug)]
pub enum Share {
    /// An equal part of the rate, at any time.
    Rate(Pace),
    /// One request in each turn.
    Turns(Turns),
}

/// The turns of an instance. At any moment `OPEN_TURNS` of all instances have theirs.
#[derive(Clone, Copy, Debug)]
pub struct Turns {
    /// The start of a turn that is not over or has not begun.
    start: Instant,
    period: Duration,
    length: Duration,
    /// When the last request was sent.
    sent: Option<Instant>,
}

/// An instance among all that keep a limit together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Place {
    /// Its position in an order that all agree on, from 0.
    pub rank: u32,
    /// The number of instances.
    pub instances: u32,
}

/// The number of instances that have their turn at a moment. More of them leave less of the limit unused where requests
/// are rare, and send more at once after a pause.
const OPEN_TURNS: u32 = 3;

/// The requests beyond the limit that an upstream is expected to bear within `SLACK_TIME`.
const SLACK: f64 = 5.0;

/// The time within which an upstream is expected to bear `SLACK`, and half of its limit besides.
const SLACK_TIME: Duration = Duration::from_secs(4);

/// The part of a brittle upstream's places that is used. Answers take different times, and instances send independently.
const ROOM_USED: f64 = 0.9;

/// The time that answers of a brittle upstream are taken to need before there are any.
const UNKNOWN_LATENCY: Duration = Duration::from_secs(1);

/// The shortest time that an answer is taken to need.
const MIN_LATENCY: Duration = Duration::from_millis(1);

impl Share {
    /// Returns the share of a limit of `rate` requests a second, at `unix` by the time of day.
    pub fn new(rate: f64, place: Place, unix: Duration, now: Instant) -> Self {
        let rate = rate.max(MIN_RATE);
        let instances = f64::from(place.instances.max(1));
        // After a pause each instance may send one request at once.
        if instances <= SLACK + rate * SLACK_TIME.as_secs_f64() / 2.0 {
            let phase = f64::from(place.rank) / instances;
            let rate = rate / instances;
            let most = (rate * BURST_TIME.as_secs_f64()).max(1.0);
            return Self::Rate(Pace { rate, tokens: phase, updated: now, most });
        }
        let slot = Duration::from_secs_f64(1.0 / rate);
        let period = slot.mul_f64(instances);
        let offset = slot * place.rank;
        let into_period = unix.as_nanos() % period.as_nanos();
        let until_start = (offset.as_nanos() + period.as_nanos() - into_period) % period.as_nanos();
        let until_start = Duration::from_nanos(until_start as u64);
        let length = slot * OPEN_TURNS;
        // The present turn may have begun already.
        let start = match until_start + length > period {
            true => now - (period - until_start),
            false => now + until_start,
        };
        Self::Turns(Turns { start, period, length, sent: None })
    }

    /// Returns the share of the room of a brittle upstream with `slots` places, whose answers take `latency`. Nothing is saved,
    /// because what is sent at once finds the places taken.
    pub fn of_room(
        slots: usize,
        latency: Option<Duration>,
        place: Place,
        unix: Duration,
        now: Instant,
    ) -> Self {
        let latency = latency.unwrap_or(UNKNOWN_LATENCY).max(MIN_LATENCY);
        let rate = ROOM_USED * slots as f64 / latency.as_secs_f64();
        match Self::new(rate, place, unix, now) {
            Self::Rate(pace) => Self::Rate(Pace { most: 1.0, ..pace }),
            turns @ Self::Turns(_) => turns,
        }
    }

    /// Replaces the share by that of another limit, and keeps account of what was sent.
    pub fn adopt(&mut self, other: Self) {
        match (self, other) {
            (Self::Rate(pace), Self::Rate(other)) => pace.adopt(other),
            (Self::Turns(turns), Self::Turns(other)) => {
                *turns = Turns { sent: turns.sent, ..other };
            }
            (share, other) => *share = other,
        }
    }

    /// Counts a request.
    pub fn take(&mut self, now: Instant) {
        match self {
            Self::Rate(pace) => pace.take(now),
            Self::Turns(turns) => turns.sent = Some(now),
        }
    }

    /// Returns the time until a request may be sent.
    pub fn delay(&self, now: Instant) -> Duration {
        match self {
            Self::Rate(pace) => pace.delay(0, now),
            Self::Turns(turns) => turns.next_start(now).since(now),
        }
    }
}

impl Turns {
    /// Returns the start of the first turn that is not over and in which no request was sent.
    fn next_start(&self, now: Instant) -> Instant {
        let end = self.start + self.length;
        let over = match now >= end {
            true => 1 + now.since(end).as_nanos() / self.period.as_nanos().max(1),
            false => 0,
        };
        let start = self.start + self.period * over as u32;
        match self.sent.is_some_and(|sent| sent >= start) {
            true => start + self.period,
            false => start,
        }
    }
}
