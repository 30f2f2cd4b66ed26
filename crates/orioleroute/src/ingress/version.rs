//! The order of the store's versions over its eras.
//!
//! The store may come back from a copy that is some seconds old. What was written since the copy was made is lost,
//! the versions of these writes are given out again, and the era, which the store states in its answers, rises by one.
//! So versions are ordered by their era first. They are kept and sent as one number in that order, which is the plain
//! version while a store states no era. `docs/PLATFORM.md`, section "When versions go back", lists what follows.

/// The number of bits of a version that the store's own number takes: enough for a thousand transactions a second for
/// thirty years. The era takes the others.
const NUMBER_BITS: u32 = 40;

const MAX_NUMBER: u64 = (1 << NUMBER_BITS) - 1;

/// The highest era that versions can be ordered by.
pub const MAX_ERA: u64 = (1 << (u64::BITS - NUMBER_BITS)) - 1;

/// A version of the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Version {
    /// How often the store has come back from a copy.
    pub era: u64,
    /// The number that the store gave to the transaction.
    pub number: u64,
}

impl Version {
    /// Returns whether the store came back from a copy between this version and a later one.
    pub fn precedes_era_of(self, later: Self) -> bool {
        self.era < later.era
    }
}

impl From<u64> for Version {
    fn from(ordered: u64) -> Self {
        Self { era: ordered >> NUMBER_BITS, number: ordered & MAX_NUMBER }
    }
}

impl From<Version> for u64 {
    /// Returns the number by which versions are ordered.
    fn from(version: Version) -> Self {
        version.era.min(MAX_ERA) << NUMBER_BITS | version.number.min(MAX_NUMBER)
    }
}
