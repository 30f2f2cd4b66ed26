//! Counts the requests of organisations for the instances of a zone, from what it borrows.
//!
//! Load pattern: many requests of a few large organisations, which shall not wait for another region, and few of many small
//! ones, whose whole quota is a request or two a second. An organisation over its quota sends many requests that are to be
//! refused at once.

use super::{Average, Lent, Loan, Reserve, Shortage};
use crate::prelude::*;

/// The time whose use is borrowed ahead for large organisations: the interval between two loans, and a trip to another
/// region.
const PREFETCH: Duration = Duration::from_millis(300);

/// The number of requests below which nothing is borrowed ahead.
const MIN_PREFETCH_REQUESTS: f64 = 2.0;

/// The shortest time for which requests are refused after the lender has said that there is nothing.
const MIN_DRY_TIME: Duration = Duration::from_millis(20);

/// The longest such time. A smaller request may find room before the refused one does.
const MAX_DRY_TIME: Duration = Duration::from_millis(100);

/// The time without a request after which an organisation is forgotten.
const IDLE_TIME: Duration = Duration::from_secs(3);

/// The longest time between two questions to a lender that keeps something back for the account.
const CONTACT_INTERVAL: Duration = Duration::from_millis(500);

/// The part of a request's cost that an account that is alone must have. Half a request too much in each zone does less
/// harm than keeping small organisations from any.
const RESERVE_PART: f64 = 0.5;

/// The time before a lender that did not answer is asked again for a request.
const ASK_AGAIN_DELAY: Duration = Duration::from_millis(50);

/// The retry-after time of an account that has no answer, about the time until the next.
const ALONE_RETRY_AFTER: Duration = Duration::from_millis(500);

/// What an account says of a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Verdict {
    /// It is within the quota.
    Charged,
    /// It is over the quota.
    Refused(Shortage),
}

/// What a scheduler has borrowed for organisations. `K` names a waiting request.
#[derive(Debug)]
pub struct Account<K> {
    entries: Map<Arc<str>, Entry<K>>,
}

impl<K> Default for Account<K> {
    fn default() -> Self {
        Self { entries: Map::default() }
    }
}

/// The state of one organisation.
#[derive(Debug)]
struct Entry<K> {
    /// What is borrowed and not spent.
    balance: f64,
    demand: Average,
    /// The cost of the last request.
    cost: f64,
    used: Instant,
    waiting: Vec<(K, u64)>,
    /// The loan that has no answer yet.
    asked: Option<Asked>,
    is_alone: bool,
    /// When the lender is asked again that did not answer.
    ask_again: Instant,
    reserve: Reserve,
    /// What was spent alone before an answer that did not count it.
    overdrawn: f64,
    answered: Option<Instant>,
    asked_at: Instant,
    term: u64,
    dry_until: Instant,
}

/// A loan that has no answer yet.
#[derive(Clone, Copy, Debug, Default)]
struct Asked {
    needed: u64,
    wanted: u64,
    overdrawn: u64,
}

impl<K> Account<K> {
    /// Charges a request. Without a verdict it waits for a loan, which [`Account::loan`] returns.
    pub fn charge(
        &mut self,
        organisation: &Arc<str>,
        key: K,
        cost: u64,
        now: Instant,
    ) -> Option<Verdict> {
        let entry = self.entries.entry(organisation.clone()).or_insert_with(|| Entry::new(now));
        entry.used = now;
        entry.cost = cost as f64;
        if entry.waiting.is_empty() && entry.take(cost, now) {
            return Some(Verdict::Charged);
        }
        if now < entry.dry_until || (entry.is_alone && now < entry.ask_again) {
            return Some(Verdict::Refused(entry.shortage(cost, now)));
        }
        entry.waiting.push((key, cost));
        None
    }

    /// Gives back what was charged.
    pub fn refund(&mut self, organisation: &Arc<str>, amount: u64, now: Instant) {
        let entry = self.entries.entry(organisation.clone()).or_insert_with(|| Entry::new(now));
        entry.balance += amount as f64;
        entry.demand.add(-(amount as f64), now);
    }

    /// Returns what to ask of the lender of an organisation for those that wait, unless an answer is due.
    pub fn loan(&mut self, organisation: &Arc<str>, now: Instant) -> Option<Loan> {
        let entry = self.entries.get_mut(organisation)?;
        (entry.asked.is_none() && !entry.waiting.is_empty())
            .then(|| entry.loan(organisation.clone(), now))
    }

    /// Returns what to ask of the lenders at regular intervals, and forgets organisations without requests.
    pub fn refresh(&mut self, now: Instant) -> Vec<Loan> {
        self.entries.retain(|_, entry| {
            !entry.waiting.is_empty() || entry.asked.is_some() || now.since(entry.used) < IDLE_TIME
        });
        let due = self.entries.iter_mut().filter(|(_, entry)| entry.is_due(now));
        due.map(|(organisation, entry)| entry.loan(organisation.clone(), now)).collect()
    }

    /// Records the answer of a lender, and returns the verdicts that it allows. Others go on waiting for another loan.
    pub fn handle_lent(&mut self, lent: &Lent, now: Instant) -> Vec<(K, Verdict)> {
        let Some(entry) = self.entries.get_mut(&lent.organisation) else { return Vec::new() };
        let asked = entry.asked.take().unwrap_or_default();
        let overdrawn = entry.overdrawn + entry.reserve.spent() - asked.overdrawn as f64;
        // A successor began with nothing when this was spent.
        entry.overdrawn = if entry.term == lent.term { overdrawn.max(0.0) } else { 0.0 };
        entry.reserve.renew(lent.rate(), now);
        entry.balance += lent.amount as f64;
        entry.is_alone = false;
        entry.answered = Some(now);
        entry.term = lent.term;
        if asked.needed == 0 || lent.amount >= asked.wanted {
            // Those who came since the question was asked are not refused before they were asked for.
            return entry.charge_waiting(now);
        }
        let retry_after = Duration::from_millis(lent.retry_after_ms);
        entry.dry_until = now + retry_after.clamp(MIN_DRY_TIME, MAX_DRY_TIME);
        entry.answer_waiting(retry_after, now)
    }

    /// Records that the lender of an organisation did not answer, and returns the verdicts on those that waited for it.
    pub fn handle_silence(&mut self, organisation: &Arc<str>, now: Instant) -> Vec<(K, Verdict)> {
        let Some(entry) = self.entries.get_mut(organisation) else { return Vec::new() };
        entry.asked = None;
        entry.is_alone = true;
        entry.ask_again = now + ASK_AGAIN_DELAY;
        entry.answer_waiting(ALONE_RETRY_AFTER, now)
    }
}

impl<K> Entry<K> {
    fn new(now: Instant) -> Self {
        Self {
            balance: 0.0,
            demand: Average::default(),
            cost: 0.0,
            used: now,
            waiting: Vec::new(),
            asked: None,
            is_alone: false,
            ask_again: Instant::ZERO,
            reserve: Reserve::default(),
            overdrawn: 0.0,
            answered: None,
            asked_at: Instant::ZERO,
            term: 0,
            dry_until: Instant::ZERO,
        }
    }

    /// Spends the cost of a request if it is there.
    fn take(&mut self, cost: u64, now: Instant) -> bool {
        let cost = cost as f64;
        let is_there = match self.balance >= cost {
            true => {
                self.balance -= cost;
                true
            }
            false => self.is_alone && self.reserve.take(cost, RESERVE_PART, now),
        };
        if is_there {
            self.demand.add(cost, now);
        }
        is_there
    }

    /// Returns what is borrowed ahead.
    fn ahead(&self, now: Instant) -> f64 {
        let ahead = self.demand.rate(now) * PREFETCH.as_secs_f64();
        if ahead < self.cost * MIN_PREFETCH_REQUESTS { 0.0 } else { ahead }
    }

    /// Returns whether the account has something to ask or tell the lender, or is due to show that it is there.
    fn is_due(&self, now: Instant) -> bool {
        let is_out_of_step = self.balance >= 1.0 || self.ahead(now) > 0.0;
        let is_silent = now.since(self.asked_at) >= CONTACT_INTERVAL;
        self.asked.is_none() && (is_out_of_step || is_silent || !self.waiting.is_empty())
    }

    fn loan(&mut self, organisation: Arc<str>, now: Instant) -> Loan {
        self.asked_at = now;
        let ahead = self.ahead(now);
        let waiting = self.waiting.iter().map(|(_, cost)| *cost).fold(0, u64::saturating_add);
        let needed = self.waiting.first().map_or(0.0, |(_, cost)| *cost as f64 - self.balance);
        let needed = needed.max(0.0).ceil();
        let wanted = (waiting as f64 + ahead - self.balance).max(needed).ceil();
        let surplus = (self.balance - waiting as f64 - ahead).max(0.0).floor();
        self.balance -= surplus;
        let overdrawn = (self.overdrawn + self.reserve.spent()).floor() as u64;
        let needed = needed as u64;
        let wanted = if surplus > 0.0 { 0 } else { wanted as u64 };
        self.asked = Some(Asked { needed, wanted, overdrawn });
        let returned = surplus as u64;
        Loan { organisation, needed, wanted, returned, overdrawn, term: self.term }
    }

    /// Charges those of the waiting requests, in their order, for which there is enough.
    fn charge_waiting(&mut self, now: Instant) -> Vec<(K, Verdict)> {
        let mut charged = Vec::new();
        while self.waiting.first().is_some_and(|(_, cost)| self.balance >= *cost as f64) {
            let (key, cost) = self.waiting.remove(0);
            self.take(cost, now);
            charged.push((key, Verdict::Charged));
        }
        charged
    }

    fn answer_waiting(&mut self, retry_after: Duration, now: Instant) -> Vec<(K, Verdict)> {
        let waiting = std::mem::take(&mut self.waiting);
        let answer = |(key, cost): (K, u64)| match self.take(cost, now) {
            true => (key, Verdict::Charged),
            false => {
                let shortage = self.shortage(cost, now);
                let retry_after_ms = shortage.retry_after_ms.max(retry_after.as_millis() as u64);
                (key, Verdict::Refused(Shortage { retry_after_ms, ..shortage }))
            }
        };
        waiting.into_iter().map(answer).collect()
    }

    fn shortage(&self, cost: u64, now: Instant) -> Shortage {
        let available =
            self.balance + if self.is_alone { self.reserve.available(now) } else { 0.0 };
        let lacking = (cost as f64 - available).max(0.0) / self.demand.rate(now).max(1.0);
        let retry_after = match self.is_alone {
            true => ALONE_RETRY_AFTER,
            // The lender's rate is at least what was recently spent here.
            false => self.dry_until.since(now).max(Duration::from_secs_f64(lacking.min(1.0))),
        };
        Shortage {
            retry_after_ms: retry_after.as_millis() as u64,
            available: available as i64,
            age_ms: self.answered.map(|answered| now.since(answered).as_millis() as u64),
            is_alone: self.is_alone,
        }
    }
}
