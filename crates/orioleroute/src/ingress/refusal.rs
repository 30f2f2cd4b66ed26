//! Rows of the operator that are not put in force.
//!
//! A row that cannot be used is refused whole, and what was in force before stays so at all instances. The operator is told
//! which row that is, why, and what is in force instead: `docs/PLATFORM.md`, section "Refused rows".

use crate::prelude::*;

/// A row that is not put in force.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// The version of the transaction that wrote the row.
    pub row_version: u64,
    /// The version that the row states of itself, if that can be read.
    pub stated_version: Option<u64>,
    /// The path of the first fault within the row's value; empty if it concerns the whole value.
    pub path: String,
    /// What is wrong there.
    pub cause: String,
    /// When it was refused first, in milliseconds since the Unix epoch.
    pub since_ms: u64,
    /// The version that is in force instead, if there is one.
    pub in_force: Option<u64>,
}

impl Refusal {
    /// Returns whether another instance that says `known` has said the same. When each of them has refused the row does not
    /// matter, nor that this one, which may have just started, does not know yet what is in force.
    pub fn is_told_by(&self, known: &Self) -> bool {
        let in_force = self.in_force.or(known.in_force);
        *self == Self { since_ms: self.since_ms, in_force: self.in_force, ..known.clone() }
            && in_force == known.in_force
    }
}

/// What has to be written about a row.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Correction {
    /// Why it is refused.
    Write(Refusal),
    /// Nothing any more.
    Remove,
}

/// The rows that are refused at an instance, by their keys.
#[derive(Clone, Debug, Default)]
pub struct Refusals {
    rows: Map<Arc<str>, Refusal>,
    changes: u64,
}

impl Refusals {
    /// Records that a row is refused. One that is read again keeps the time at which it was refused first.
    pub fn refuse(&mut self, key: &Arc<str>, refusal: Refusal) {
        let known = self.rows.get(key);
        if known.is_none_or(|known| known.row_version < refusal.row_version) {
            self.rows.insert(key.clone(), refusal);
            self.changes += 1;
        }
    }

    /// Records that a row has been put in force or removed, and returns the refusal that is over with that.
    pub fn accept(&mut self, key: &str, row_version: u64) -> Option<Refusal> {
        self.rows.get(key).filter(|known| known.row_version < row_version)?;
        self.changes += 1;
        self.rows.remove(key)
    }

    /// Records what is in force in the place of each refused row.
    pub fn set_in_force(&mut self, version: impl Fn(&str) -> Option<u64>) {
        self.rows.iter_mut().for_each(|(key, refusal)| refusal.in_force = version(key));
    }

    /// Returns the number of refused rows.
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Returns whether no row is refused.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    /// Returns what has to be written for the operator to be told of the refused rows.
    ///
    /// `told` is what has been written already by the keys of the rows, where `None` is something else, and `known` is the
    /// version up to which the operator's rows are known here: what is said of later ones is left to those who know them.
    pub fn corrections(
        &self,
        told: &Map<Arc<str>, Option<Refusal>>,
        known: u64,
    ) -> Vec<(Arc<str>, Correction)> {
        let missing = self.rows.iter().filter_map(|(key, refusal)| {
            let former = told.get(key).and_then(Option::as_ref);
            match former {
                Some(former) if former.row_version > refusal.row_version => None,
                Some(former) if refusal.is_told_by(former) => None,
                Some(former) if former.row_version == refusal.row_version => {
                    let since_ms = former.since_ms;
                    Some((key.clone(), Correction::Write(Refusal { since_ms, ..refusal.clone() })))
                }
                Some(_) | None => Some((key.clone(), Correction::Write(refusal.clone()))),
            }
        });
        let over = told.iter().filter_map(|(key, former)| {
            let is_known = former.as_ref().is_some_and(|it| it.row_version <= known);
            let is_over = is_known && !self.rows.contains_key(key);
            is_over.then(|| (key.clone(), Correction::Remove))
        });
        missing.chain(over).collect()
    }

    /// Returns how often the refused rows have changed.
    pub fn changes(&self) -> u64 {
        self.changes
    }
}
