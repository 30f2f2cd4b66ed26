//! Reads and conditional writes of the platform's table service.
//!
//! The table is the only source of truth for shared and durable state. A reply can be lost after a
//! write took effect, so every written value carries a token of its writer, and an
//! [`Outcome::Unknown`] is resolved by reading the row.

use std::sync::Arc;

use serde::Serialize;

/// A row as read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Row {
    /// The key.
    pub key: Arc<str>,
    /// The number of writes that the row has had, starting at 1.
    pub version: u64,
    /// The value, JSON text.
    pub value: Arc<str>,
}

/// The condition on a row under which a write takes effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Expect {
    /// The row does not exist.
    Absent,
    /// The row has had this number of writes.
    Version(u64),
}

impl Expect {
    /// Returns the condition that a row still has the version last read; zero if it did not exist.
    pub fn unchanged(version: u64) -> Self {
        if version == 0 { Self::Absent } else { Self::Version(version) }
    }

    /// Returns the version that the row has after the write.
    pub fn next_version(self) -> u64 {
        match self {
            Self::Absent => 1,
            Self::Version(version) => version + 1,
        }
    }
}

/// A conditional write of one row, or only a check of its condition.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Write {
    /// The key.
    pub key: Arc<str>,
    /// The condition.
    pub expect: Expect,
    /// The new value, JSON text; `None` leaves the row as it is and only checks the condition.
    pub value: Option<Arc<str>>,
}

impl Write {
    /// Returns a write of `value`, as JSON text.
    pub fn put(key: impl Into<Arc<str>>, expect: Expect, value: &impl Serialize) -> Self {
        let value = serde_json::to_string(value).unwrap_or_default();
        Self { key: key.into(), expect, value: Some(value.into()) }
    }

    /// Returns a check that leaves the row as it is.
    pub fn check(key: impl Into<Arc<str>>, expect: Expect) -> Self {
        Self { key: key.into(), expect, value: None }
    }
}

/// An operation on the table.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Operation {
    /// Reads rows consistently.
    Read(Vec<Arc<str>>),
    /// Writes all rows, if all conditions are met, or none.
    Write(Vec<Write>),
}

/// The outcome of an operation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The rows that exist among those read.
    Rows(Vec<Row>),
    /// All rows were written.
    Written,
    /// Nothing was written; these indices of the writes had unmet conditions.
    Conflict(Vec<usize>),
    /// The service reported that it did nothing, or no connection could be established.
    Failed,
    /// No reply was received: the write may or may not have taken effect.
    Unknown,
}
