//! How urgent requests are, in the order that the operator has written.
//!
//! A priority is any number from 0 on; 0 is the most urgent. Engines and messages of older releases know only a few levels,
//! onto which a [`Scale`] maps the priorities that the requests of a service can have.

use serde::{Deserialize, Serialize};

/// How urgent a request is; lower goes first. The default is the most urgent.
///
/// It is held and passed on as the bits of a number that is not negative, which have the order of the numbers: between
/// instances nothing is rounded.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(try_from = "u64", into = "u64")]
pub struct Priority(u64);

/// The least urgent priority, up to which all writers of JSON keep whole numbers apart.
pub const MAX_PRIORITY: f64 = (1_u64 << 53) as f64;

/// A number that is no priority.
#[derive(Clone, Copy, Debug, PartialEq, thiserror::Error)]
#[error("found {0}, allowed are 0 to {MAX_PRIORITY}")]
pub struct OutOfRange(pub f64);

impl TryFrom<f64> for Priority {
    type Error = OutOfRange;

    fn try_from(number: f64) -> Result<Self, OutOfRange> {
        // The sum with zero has no sign if the number is zero.
        let is_allowed = (0.0..=MAX_PRIORITY).contains(&number);
        if is_allowed { Ok(Self((number + 0.0).to_bits())) } else { Err(OutOfRange(number)) }
    }
}

impl TryFrom<u64> for Priority {
    type Error = OutOfRange;

    fn try_from(bits: u64) -> Result<Self, OutOfRange> {
        f64::from_bits(bits).try_into()
    }
}

impl From<u8> for Priority {
    fn from(number: u8) -> Self {
        Self(f64::from(number).to_bits())
    }
}

impl From<Priority> for u64 {
    fn from(priority: Priority) -> Self {
        priority.0
    }
}

impl From<Priority> for f64 {
    fn from(priority: Priority) -> Self {
        Self::from_bits(priority.0)
    }
}

impl std::fmt::Display for Priority {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f64::from(*self).fmt(formatter)
    }
}

/// A priority, and the levels that stand for it where only a few are known.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Grade {
    /// The priority.
    pub priority: Priority,
    /// Its level among [`COARSE_LEVELS`], for schedulers of an older release.
    pub coarse: u8,
    /// Its level among [`ENGINE_LEVELS`].
    pub engine: u8,
}

/// The number of levels that engines know.
pub const ENGINE_LEVELS: usize = 10;

/// The number of levels that schedulers of an older release know.
pub const COARSE_LEVELS: usize = 256;

/// The priorities that the requests of a service can have, in their order.
///
/// A less urgent priority never has a more urgent level. Priorities that are levels themselves stay what they are, as far as
/// those after them find room, and all have levels of their own if there are enough. Otherwise the more urgent half of the
/// levels is given to one priority each, because those requests take the place of others, and the rest of the priorities share
/// the other half evenly.
#[derive(Clone, Debug, Default)]
pub struct Scale(Vec<Grade>);

impl FromIterator<Priority> for Scale {
    fn from_iter<T: IntoIterator<Item = Priority>>(priorities: T) -> Self {
        let mut all: Vec<Priority> = priorities.into_iter().collect();
        all.sort_unstable();
        all.dedup();
        let coarse = levels(&all, COARSE_LEVELS);
        let engine = levels(&all, ENGINE_LEVELS);
        let grades = all.iter().zip(coarse.into_iter().zip(engine));
        let grade = |(priority, (coarse, engine)): (&Priority, _)| Grade {
            priority: *priority,
            coarse,
            engine,
        };
        Self(grades.map(grade).collect())
    }
}

impl Scale {
    /// Returns a priority with its levels. One that the scale does not have gets those of the next more urgent one.
    pub fn grade(&self, priority: Priority) -> Grade {
        let next = self.0.partition_point(|grade| grade.priority <= priority);
        let known = self.0.get(next.saturating_sub(1)).copied().unwrap_or_default();
        Grade { priority, ..known }
    }
}

/// Returns the levels of different priorities that are in order, among the first `count` numbers.
fn levels(priorities: &[Priority], count: usize) -> Vec<u8> {
    let apart = count / 2;
    let shared = |place: usize| match place.checked_sub(apart) {
        None => place,
        Some(beyond) => apart + beyond * (count - apart) / (priorities.len() - apart),
    };
    let mut next = 0;
    let own = |(place, priority): (usize, &Priority)| {
        let most = count - (priorities.len() - place);
        let level = (f64::from(*priority) as usize).max(next).min(most);
        next = level + 1;
        level
    };
    let levels: Vec<usize> = match priorities.len() > count {
        true => (0..priorities.len()).map(shared).collect(),
        false => priorities.iter().enumerate().map(own).collect(),
    };
    levels.into_iter().map(|level| level as u8).collect()
}
