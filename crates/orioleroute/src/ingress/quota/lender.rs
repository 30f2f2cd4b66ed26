//! Lends the tokens of organisations to the accounts of schedulers.
//!
//! Load pattern: the accounts ask for what their requests need, some from another region, and one organisation asks for many
//! times its quota. Accounts fall silent, and may go on alone for a time: the lender keeps that back. A lender follows one that
//! may have lent until a moment ago, so its buckets begin empty.

use super::{Average, Lent, Loan, RESERVE_TTL};
use crate::ingress::Quota;
use crate::prelude::*;

/// The time without a message after which an account counts as silent. Accounts send one every 0.5 s.
const SILENCE: Duration = Duration::from_millis(1_200);

/// How long a lender without contact to most others may have gone on, since it may be in contact with some.
pub const UNHEARD_TIME: Duration = Duration::from_millis(1_300);

/// The time without a message after which an account is forgotten.
const FORGET_TIME: Duration = Duration::from_secs(10);

/// The part of what there is that is lent to somebody who does not need it at once.
const PREFETCH_SHARE: f64 = 0.5;

/// Lends for all organisations of which the scheduler of one zone is the lender.
#[derive(Debug)]
pub struct Lender {
    /// Differs between the lenders of a zone.
    term: u64,
    /// Since when nobody else has lent.
    began: Instant,
    /// Whether accounts may have spent since then what they do not owe to this lender.
    counts_former: bool,
    buckets: Map<Arc<str>, Bucket>,
    /// When each account last asked.
    last_contacts: Map<Arc<str>, Instant>,
}

/// The token bucket of an organisation.
#[derive(Debug)]
struct Bucket {
    rate: f64,
    burst: f64,
    /// May be negative after what was spent without having been lent.
    level: f64,
    updated: Instant,
    borrowers: Map<Arc<str>, Borrower>,
}

/// What was lent to an account.
#[derive(Clone, Copy, Debug, Default)]
struct Borrower {
    average: Average,
    /// The rate at which it was told to go on alone.
    rate: f64,
    /// What is kept back while it is silent.
    withheld: f64,
}

impl Lender {
    /// Returns a lender that nobody preceded since `began`.
    pub fn new(term: u64, began: Instant) -> Self {
        let counts_former = false;
        Self { term, began, counts_former, buckets: Map::default(), last_contacts: Map::default() }
    }

    /// Returns the lender that follows one that has not lent since a time. What accounts have spent alone meanwhile is counted
    /// once they say so.
    pub fn succeeding(term: u64, since: Instant) -> Self {
        Self { counts_former: true, ..Self::new(term, since) }
    }

    /// Returns the term, which a successor does not share.
    pub fn term(&self) -> u64 {
        self.term
    }

    /// Lends to an account what it asks for, as far as the quota allows.
    pub fn lend(&mut self, account: &Arc<str>, loan: &Loan, quota: &Quota, now: Instant) -> Lent {
        self.last_contacts.insert(account.clone(), now);
        self.last_contacts.retain(|_, at| now.since(*at) < FORGET_TIME);
        let began = self.began;
        let bucket = self
            .buckets
            .entry(loan.organisation.clone())
            .or_insert_with(|| Bucket::new(quota, began));
        bucket.refill(quota, now);
        let borrower = bucket.borrowers.entry(account.clone()).or_default();
        bucket.level += std::mem::take(&mut borrower.withheld) + loan.returned as f64;
        if loan.term == self.term || self.counts_former {
            bucket.level -= loan.overdrawn as f64;
        }
        bucket.withhold(&self.last_contacts, now);
        // What was spent alone came from what the bucket got meanwhile, also beyond the burst.
        bucket.level = bucket.level.min(bucket.burst);
        let amount = bucket.amount(loan);
        bucket.level -= amount as f64;
        let lacking = (loan.needed as f64).min(bucket.burst) - bucket.level;
        let retry_after = match amount < loan.needed {
            true => Duration::try_from_secs_f64(lacking.max(0.0) / bucket.rate),
            false => Ok(Duration::ZERO),
        };
        let lent = amount as f64 - loan.returned as f64;
        let rate = bucket.renew_rate(account, lent, now);
        Lent {
            organisation: loan.organisation.clone(),
            amount,
            rate: rate as u64,
            exact_rate: (rate.fract() != 0.0).then_some(rate),
            retry_after_ms: millis(retry_after.unwrap_or(Duration::MAX)),
            term: self.term,
        }
    }
}

impl Bucket {
    fn new(quota: &Quota, began: Instant) -> Self {
        let (rate, burst) = (quota.rate, quota.burst);
        Self { rate, burst, level: 0.0, updated: began, borrowers: Map::default() }
    }

    /// Adds what came since the last call, also beyond the burst, and adopts the quota.
    fn refill(&mut self, quota: &Quota, now: Instant) {
        self.level += self.rate * now.since(self.updated).as_secs_f64();
        (self.rate, self.burst) = (quota.rate, quota.burst.max(1.0));
        self.updated = now;
    }

    /// Keeps back what silent accounts may be spending alone.
    fn withhold(&mut self, last_contacts: &Map<Arc<str>, Instant>, now: Instant) {
        self.borrowers.retain(|account, _| last_contacts.contains_key(account));
        for (account, borrower) in &mut self.borrowers {
            let silence = last_contacts.get(account).map_or(Duration::ZERO, |at| now.since(*at));
            if silence >= SILENCE {
                let due = borrower.rate * silence.min(RESERVE_TTL).as_secs_f64();
                self.level -= due - borrower.withheld;
                borrower.withheld = due;
            }
        }
    }

    /// Returns what is lent. A request that costs more than the burst runs once the bucket is full.
    fn amount(&self, loan: &Loan) -> u64 {
        let needed = loan.needed as f64;
        let amount = match loan.needed {
            0 => (self.level * PREFETCH_SHARE).min(loan.wanted as f64),
            _ if self.level < needed.min(self.burst) => 0.0,
            _ => self.level.min(loan.wanted as f64).max(needed),
        };
        amount.max(0.0) as u64
    }

    /// Returns the rate at which an account may go on alone. Those of all accounts are the bucket's rate at most.
    fn renew_rate(&mut self, account: &Arc<str>, lent: f64, now: Instant) -> f64 {
        let borrower = self.borrowers.entry(account.clone()).or_default();
        borrower.average.add(lent, now);
        let own = borrower.average.rate(now).max(0.0);
        let others = self.borrowers.iter().filter(|(other, _)| *other != account);
        let promised: f64 = others.map(|(_, other)| other.rate).sum();
        let rate = own.min((self.rate - promised).max(0.0));
        if let Some(borrower) = self.borrowers.get_mut(account) {
            borrower.rate = rate;
        }
        rate
    }
}

fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
