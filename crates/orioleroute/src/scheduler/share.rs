//! Fair shares of a zone's engines between organisations: start-time fair queueing by weight.
//!
//! Load pattern: one organisation, or several at once, sends many times its usual for seconds while the engines are full.
//! By due times alone the engines go to whoever sends most, and the others are refused with it. With shares, an
//! organisation inside its own is ordered and admitted as if there were no burst, and the one that sends more waits, is
//! refused on arrival and comes back later. Engines are never left idle for it: the order decides who goes first, not
//! whether. `docs/design/fair-shares.md` says what was weighed.

use super::{Request, Waiting};
use crate::ingress::organisation::{Organisations, Quota, Unit};
use crate::prelude::*;

/// How much of its share an organisation that has not used it may make up for, as the time in which it would get that much.
/// Requests come in clumps, so that one that asks for less than its share over a second asks for more at moments.
const CREDIT: Duration = Duration::from_secs(1);

/// The number of requests of mean size by which any organisation may in addition be ahead, since the second's share of a small one
/// is less than a request.
const CLUMP_REQUESTS: f64 = 4.0;

/// Number of steps for each credit in which requests beyond their shares are ordered. Within a step they go by due time.
const STEPS_PER_CREDIT: f64 = 4.0;

/// Time in which the memory of what was asked for and granted decays to about a third.
const RATE_DECAY: Duration = Duration::from_secs(2);

/// The least time over which a rate is taken, so that the first request is not one of thousands a second.
const MIN_RATE_TIME: Duration = Duration::from_millis(100);

/// How often the parts that organisations are due are computed.
const REFRESH_INTERVAL: Duration = Duration::from_millis(100);

/// Tokens asked for lately below which an account is closed.
const MIN_KEPT_TOKENS: f64 = 1.0;

/// How many times what it is due an organisation asks for when it is far beyond its share. Less is no burst, and priorities hold.
const FAR_DEMAND: f64 = 1.5;

/// The most by which an organisation is taken to be slower than the engines. Estimates of a small part are rough.
const MAX_STRETCH: f64 = 32.0;

/// Where a waiting request stands with regard to its organisation's share.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Standing {
    /// The organisation is inside its share, or there are no shares.
    #[default]
    Inside,
    /// The request starts beyond the share.
    Beyond {
        /// How far, in steps.
        step: u32,
    },
    /// The same, and the organisation takes what others are due.
    FarBeyond {
        /// How far, in steps.
        step: u32,
    },
}

impl Standing {
    /// Returns whether the organisation takes what others are due, so that its priority does not count.
    pub fn is_far(self) -> bool {
        matches!(self, Self::FarBeyond { .. })
    }

    /// Returns how far beyond the share the request starts, in steps; 0 if it is inside.
    pub fn step(self) -> u32 {
        match self {
            Self::Inside => 0,
            Self::Beyond { step } | Self::FarBeyond { step } => step,
        }
    }
}

/// What an organisation gets of the engines of a service in the zone, for the log.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Share {
    /// What it is due, in tokens a second.
    pub due: f64,
    /// What it was granted lately, in tokens a second.
    pub granted: f64,
    /// What it asked for lately, in tokens a second.
    pub asked: f64,
    /// How long ago the figures were computed.
    pub age: Duration,
}

/// The accounts of the organisations at the engines of a zone. Requests without an organisation have an account together.
#[derive(Debug, Default)]
pub struct Shares {
    contests: Map<Arc<str>, Contest>,
}

/// The accounts of one service.
#[derive(Debug)]
struct Contest {
    accounts: Map<Option<Arc<str>>, Account>,
    virtual_time: f64,
    /// The tokens granted a second, by the sum of the weights.
    speed: f64,
    /// The tokens of [`CLUMP_REQUESTS`].
    clump: f64,
    advanced: Instant,
    since: Instant,
    refreshed: Instant,
}

/// What one organisation has asked for and got.
#[derive(Debug)]
struct Account {
    weight: f64,
    /// Where its next request starts, unless the virtual time is later: the tokens granted, by weight.
    finish: f64,
    asked: DecayingSum,
    requests: DecayingSum,
    granted: DecayingSum,
    /// The parts of a second's tokens, as of the last refresh.
    asked_rate: f64,
    granted_rate: f64,
    due_rate: f64,
    /// How many times longer than the engines alone it takes for what it has queued.
    stretch: f64,
    /// How far beyond the virtual time a request inside the share may start.
    allowance: f64,
    /// The tokens of its waiting requests that are ahead of the one that is looked at.
    ahead: f64,
    is_waiting: bool,
}

impl Shares {
    /// Returns whether no organisation has asked lately, so that no request has anything but its own rank.
    pub fn is_empty(&self) -> bool {
        self.contests.is_empty()
    }

    /// Counts a request that is to be granted or refused now.
    pub fn record_request(
        &mut self,
        request: &Request,
        organisations: &Organisations,
        now: Instant,
    ) {
        if organisations.is_empty() {
            return;
        }
        let contest = self.contests.entry(request.service.clone());
        let contest = contest.or_insert_with(|| Contest::new(now));
        if !contest.accounts.contains_key(&request.organisation) {
            let weight = Weights::of(organisations).weight(request.organisation.as_deref());
            let mut account = Account::new(weight, contest.virtual_time, now);
            account.allowance = allowance(contest.speed, contest.clump, weight);
            contest.accounts.insert(request.organisation.clone(), account);
        }
        let Some(account) = contest.accounts.get_mut(&request.organisation) else { return };
        account.asked.add(cost(request), now);
        account.requests.add(1.0, now);
    }

    /// Charges a granted request to its organisation.
    pub fn record_grant(&mut self, request: &Request, now: Instant) {
        let Some(contest) = self.contests.get_mut(&request.service) else { return };
        let Some(account) = contest.accounts.get_mut(&request.organisation) else { return };
        account.granted.add(cost(request), now);
        let start = account.finish.max(contest.virtual_time);
        account.finish = start + cost(request) / account.weight;
    }

    /// Sets the standing of all waiting requests, which are sorted as if there were no shares.
    pub(super) fn rank(
        &mut self,
        waiting: &mut [Waiting],
        organisations: &Organisations,
        now: Instant,
    ) {
        if organisations.is_empty() {
            self.contests.clear();
        }
        for contest in self.contests.values_mut() {
            contest.reset();
        }
        for item in &*waiting {
            if let Some(account) = self.account_mut(&item.request) {
                account.is_waiting = true;
            }
        }
        self.contests.retain(|_, contest| {
            contest.refresh(organisations, now);
            contest.advance(now);
            !contest.accounts.is_empty()
        });
        for item in waiting {
            let ahead = self.account_mut(&item.request).map_or(0.0, |account| {
                account.ahead += cost(&item.request);
                account.ahead - cost(&item.request)
            });
            item.standing = self.standing(&item.request, ahead);
        }
    }

    /// Returns the standing of a request that has just arrived, given those of its organisation's waiting requests that
    /// are ahead of it.
    pub(super) fn standing_behind<'a>(
        &self,
        request: &Request,
        own_ahead: impl IntoIterator<Item = &'a Request>,
    ) -> Standing {
        let ahead = own_ahead.into_iter().map(cost).sum();
        self.standing(request, ahead)
    }

    /// Returns how many times longer than the engines alone the organisation of a request takes for what it has queued,
    /// because requests of others that arrive later go first.
    pub fn stretch(&self, request: &Request) -> f64 {
        let contest = self.contests.get(&request.service);
        let account = contest.and_then(|contest| contest.accounts.get(&request.organisation));
        account.map_or(1.0, |account| account.stretch)
    }

    /// Returns what the organisation of a request gets.
    pub fn share(&self, request: &Request, now: Instant) -> Option<Share> {
        let contest = self.contests.get(&request.service)?;
        let account = contest.accounts.get(&request.organisation)?;
        Some(Share {
            due: account.due_rate,
            granted: account.granted_rate,
            asked: account.asked_rate,
            age: now.since(contest.refreshed),
        })
    }

    fn standing(&self, request: &Request, ahead: f64) -> Standing {
        let contest = self.contests.get(&request.service);
        let account = contest.and_then(|contest| contest.accounts.get(&request.organisation));
        let (Some(contest), Some(account)) = (contest, account) else { return Standing::Inside };
        let start = account.finish.max(contest.virtual_time) + ahead / account.weight;
        let excess = start - contest.virtual_time - account.allowance;
        // One that is alone has all engines as its share.
        if excess <= account.allowance * ROUNDING || contest.accounts.len() == 1 {
            return Standing::Inside;
        }
        let credit = contest.speed * CREDIT.as_secs_f64();
        let step = 1_u32.saturating_add((excess / credit * STEPS_PER_CREDIT) as u32);
        match account.is_far() {
            true => Standing::FarBeyond { step },
            false => Standing::Beyond { step },
        }
    }

    fn account_mut(&mut self, request: &Request) -> Option<&mut Account> {
        self.contests.get_mut(&request.service)?.accounts.get_mut(&request.organisation)
    }
}

/// Error of a sum of tags, as a share of the credit.
const ROUNDING: f64 = 1e-6;

impl Contest {
    fn new(now: Instant) -> Self {
        Self {
            accounts: Map::default(),
            virtual_time: 0.0,
            speed: 0.0,
            clump: 0.0,
            advanced: now,
            since: now,
            refreshed: now - REFRESH_INTERVAL,
        }
    }

    /// Forgets which requests wait.
    fn reset(&mut self) {
        for account in self.accounts.values_mut() {
            account.ahead = 0.0;
            account.is_waiting = false;
        }
    }

    /// Advances the virtual time, by as much as the weights have been granted, and at least until a request that waits has
    /// no allowance left. When none waits, what was granted beyond the allowances took nothing from anybody.
    fn advance(&mut self, now: Instant) {
        let elapsed = now.since(self.advanced).as_secs_f64();
        self.advanced = now;
        self.virtual_time += self.speed * elapsed;
        let waiting = self.accounts.values().filter(|account| account.is_waiting);
        let lowest = waiting.map(|account| account.finish - account.allowance);
        match lowest.min_by(f64::total_cmp) {
            Some(lowest) => self.virtual_time = self.virtual_time.max(lowest),
            None => {
                for account in self.accounts.values_mut() {
                    account.finish = account.finish.min(self.virtual_time + account.allowance);
                }
            }
        }
    }

    /// Computes the rates, and what each organisation is due by max-min fairness: what it asks for, up to a common level
    /// by weight at which all of them together get what is granted.
    fn refresh(&mut self, organisations: &Organisations, now: Instant) {
        if now.since(self.refreshed) < REFRESH_INTERVAL {
            return;
        }
        self.refreshed = now;
        self.accounts.retain(|_, account| {
            account.is_waiting || account.asked.at(now) + account.granted.at(now) >= MIN_KEPT_TOKENS
        });
        let weights = Weights::of(organisations);
        let time = rate_time(now.since(self.since));
        for (name, account) in &mut self.accounts {
            account.weight = weights.weight(name.as_deref());
            account.granted_rate = account.granted.at(now) / time;
            account.asked_rate = account.granted_rate.max(account.asked.at(now) / time);
        }
        let mut accounts: Vec<&mut Account> = self.accounts.values_mut().collect();
        accounts.sort_by(|one, other| one.level().total_cmp(&other.level()));
        let granted: f64 = accounts.iter().map(|account| account.granted_rate).sum();
        let weight: f64 = accounts.iter().map(|account| account.weight).sum();
        let (mut left, mut left_weight) = (granted, weight);
        for account in accounts {
            let part = left * account.weight / left_weight;
            account.due_rate = account.asked_rate.min(part);
            account.stretch = match part > 0.0 {
                true => (granted / part).clamp(1.0, MAX_STRETCH),
                false => 1.0,
            };
            left -= account.due_rate;
            left_weight -= account.weight;
        }
        let count: f64 = self.accounts.values().map(|account| account.requests.at(now)).sum();
        let tokens: f64 = self.accounts.values().map(|account| account.asked.at(now)).sum();
        if weight > 0.0 && count > 0.0 {
            self.speed = granted / weight;
            self.clump = CLUMP_REQUESTS * tokens / count;
        }
        let (speed, clump) = (self.speed, self.clump);
        for account in self.accounts.values_mut() {
            account.allowance = allowance(speed, clump, account.weight);
        }
    }
}

impl Account {
    fn new(weight: f64, virtual_time: f64, now: Instant) -> Self {
        let none = DecayingSum { sum: 0.0, at: now };
        Self {
            weight,
            finish: virtual_time,
            asked: none,
            requests: none,
            granted: none,
            asked_rate: 0.0,
            granted_rate: 0.0,
            due_rate: 0.0,
            stretch: 1.0,
            allowance: 0.0,
            ahead: 0.0,
            is_waiting: false,
        }
    }

    /// Returns the level by weight up to which the organisation asks for tokens.
    fn level(&self) -> f64 {
        self.asked_rate / self.weight
    }

    fn is_far(&self) -> bool {
        self.granted_rate > self.due_rate && self.asked_rate > FAR_DEMAND * self.due_rate
    }
}

/// Returns how far beyond the virtual time a request inside the share of this weight may start.
fn allowance(speed: f64, clump: f64, weight: f64) -> f64 {
    speed * CREDIT.as_secs_f64() + clump / weight
}

/// The weights of organisations, of which the mean is 1.
struct Weights<'a> {
    organisations: &'a Organisations,
    /// The mean rate of the quotas, in tokens a second.
    mean: f64,
}

impl<'a> Weights<'a> {
    fn of(organisations: &'a Organisations) -> Self {
        let quotas = organisations.iter().filter_map(|organisation| organisation.quota.as_ref());
        let (sum, count) =
            quotas.map(token_rate).fold((0.0, 0.0), |(sum, count), rate| (sum + rate, count + 1.0));
        Self { organisations, mean: sum / f64::max(count, 1.0) }
    }

    fn weight(&self, name: Option<&str>) -> f64 {
        let organisation = name.and_then(|name| self.organisations.get(name));
        let quota = organisation.and_then(|organisation| organisation.quota.as_ref());
        match quota {
            Some(quota) if self.mean > 0.0 => (token_rate(quota) / self.mean).max(MIN_WEIGHT),
            _ => 1.0,
        }
    }
}

/// Weight of an organisation whose quota is next to nothing.
const MIN_WEIGHT: f64 = 1e-3;

/// Returns the rate of a quota in tokens a second.
fn token_rate(quota: &Quota) -> f64 {
    match quota.unit {
        Unit::Token => quota.rate,
        Unit::Request => quota.rate * quota.default_tokens.max(1) as f64,
    }
}

/// Returns the tokens that a request counts for.
fn cost(request: &Request) -> f64 {
    f64::from(request.prompt_tokens) + f64::from(request.output_tokens)
}

/// An exponentially decaying sum of tokens or requests.
#[derive(Clone, Copy, Debug)]
struct DecayingSum {
    sum: f64,
    at: Instant,
}

impl DecayingSum {
    fn at(&self, now: Instant) -> f64 {
        self.sum * (-now.since(self.at).as_secs_f64() / RATE_DECAY.as_secs_f64()).exp()
    }

    fn add(&mut self, amount: f64, now: Instant) {
        self.sum = self.at(now) + amount;
        self.at = now;
    }
}

/// Returns the time in seconds by which a decaying sum that is this old has to be divided for the rate.
fn rate_time(age: Duration) -> f64 {
    let decay = RATE_DECAY.as_secs_f64();
    let age = age.max(MIN_RATE_TIME).as_secs_f64();
    decay * (1.0 - (-age / decay).exp())
}
