//! Keeps organisations to their quotas over all instances.
//!
//! Load pattern: organisations of very different sizes, of which the smallest may run one or two requests a second in all,
//! send requests to any instance, and their clients move. One of them sends many times its quota. Machines and links fail.
//! The [`Lender`] of an organisation holds its token bucket, an [`Account`] of each scheduler borrows from it, and a
//! [`Reserve`] is what remains when nobody answers. `docs/design/quotas.md` compares the alternatives.

pub mod account;
pub mod lender;
mod reserve;

pub use account::{Account, Verdict};
pub use lender::{Lender, UNHEARD_TIME};
pub use reserve::{Average, RESERVE_TTL, Reserve};

use crate::hash;
use crate::prelude::*;

/// What an account asks of the lender of an organisation, in units of its quota.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Loan {
    /// The organisation.
    pub organisation: Arc<str>,
    /// What the first waiting request lacks. Nothing is lent if there is less.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub needed: u64,
    /// The most that is wanted, with what is needed.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub wanted: u64,
    /// What was borrowed and is given back.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub returned: u64,
    /// What was spent beyond what was borrowed, since the lender with this term last answered.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub overdrawn: u64,
    /// The term of the lender that last answered.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub term: u64,
}

/// What a lender lends.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Lent {
    /// The organisation.
    pub organisation: Arc<str>,
    /// What is lent, in units of the quota.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub amount: u64,
    /// The whole units a second that may be spent while the lender does not answer.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub rate: u64,
    /// The rate, if it is not a whole number. Instances of an older release do not name it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub exact_rate: Option<f64>,
    /// The time until there will be what was needed, in milliseconds.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub retry_after_ms: u64,
    /// The term of the lender, which a successor does not share.
    pub term: u64,
}

impl Lent {
    /// Returns the units a second that may be spent while the lender does not answer.
    pub fn rate(&self) -> f64 {
        self.exact_rate.unwrap_or(self.rate as f64)
    }
}

/// Why a request is over the quota, for its client and the log.
#[derive(Clone, Copy, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Shortage {
    /// The time until there is room, in milliseconds.
    pub retry_after_ms: u64,
    /// What there was, in units of the quota; negative after what had to be counted.
    pub available: i64,
    /// How long ago the lender last answered, in milliseconds, if it has.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub age_ms: Option<u64>,
    /// Whether the lender does not answer.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub is_alone: bool,
}

fn is_zero(number: &u64) -> bool {
    *number == 0
}

/// Returns the zone whose scheduler lends to an organisation.
pub fn lender_zone<'a>(
    organisation: &str,
    zones: impl IntoIterator<Item = &'a str>,
) -> Option<&'a str> {
    let nodes = zones.into_iter().map(|zone| (hash::digest(zone), zone));
    hash::winner(hash::digest(organisation), nodes)
}
