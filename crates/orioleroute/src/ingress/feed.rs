//! Replicas of the platform's tables, which a few instances of a region read for the others.
//!
//! Load pattern: hundreds of instances that need the same tables. If each of them watches the store, the
//! calls grow with their number, and so does the traffic between regions. Therefore
//! [`READERS_PER_REGION`] instances of each region watch the store and pass changes on, and each of
//! the others follows [`SOURCES`] of them at once, so that a reader that is killed, frozen or cut off
//! costs its followers nothing. An instance that no reader serves watches the store itself.
//!
//! Rows carry the versions that the store gave them, and a [`Replica`] applies them only forward: it does
//! not matter in which order, how often or from whom updates arrive. `docs/PLATFORM.md`, section
//! "Feeds", compares the alternatives.

use serde::{Deserialize, Serialize};
use strum::IntoEnumIterator;

use super::upstream::Description;
use crate::hash;
use crate::prelude::*;

/// The number of instances of a region that watch the store. With three, the loss of two at once leaves
/// one.
pub const READERS_PER_REGION: usize = 3;

/// The number of readers that an instance follows at once.
pub const SOURCES: usize = 2;

/// How long a source may be silent before it counts as lost. A reader sends an update for each answer of
/// the store, about once a second. Together with a read of the store this stays within the shortest
/// time in which a configuration has to be in force, 2.5 s.
pub const SOURCE_TIMEOUT: Duration = Duration::from_millis(1_900);

/// The longest additional wait of an instance before it watches the store itself, so that the followers
/// of a lost reader do not call the store all at once.
pub const MAX_JITTER: Duration = Duration::from_millis(300);

/// How long after its start an instance has received the heartbeats that show who the readers are: two
/// intervals and a margin. Until then it is no reader, or all instances that start together would be.
pub const ELECTION_TIME: Duration = Duration::from_millis(1_000);

/// How long after its start an instance follows others although it is a reader, to learn what is in force there: two
/// heartbeats for each side to know the other, and a connection.
pub const CATCH_UP_TIME: Duration = Duration::from_millis(3_000);

/// How long an instance that is no reader waits before it calls a store again that has failed `failures`
/// calls in a row, without jitter. A reader that regains the store serves it anyway; a call of its own
/// is needed only if all readers are cut off, and has to be within the 4 s after which an instance
/// counts as in touch with the store again.
pub fn retry_delay(failures: u32) -> Duration {
    (MIN_RETRY_DELAY * 2_u32.saturating_pow(failures.saturating_sub(1))).min(MAX_RETRY_DELAY)
}

/// The first delay of [`retry_delay`].
const MIN_RETRY_DELAY: Duration = Duration::from_millis(800);

/// The longest delay of [`retry_delay`].
const MAX_RETRY_DELAY: Duration = Duration::from_millis(2_000);

/// How long an instance counts as one that cannot read a table after a call about it has failed, so that it is not made a
/// reader again at once.
pub const UNREAD_TIME: Duration = Duration::from_secs(5);

/// The number of removed rows that a replica remembers.
const MAX_TOMBSTONES: usize = 4_096;

/// A table of the store that instances follow.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    Hash,
    Serialize,
    Deserialize,
    strum::Display,
    strum::EnumCount,
    strum::EnumIter,
    strum::IntoStaticStr,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Table {
    /// The configuration and the versions of adapters.
    Operator,
    /// The upstreams.
    Upstreams,
    /// The instances, and the leaders of the availability zones.
    Cluster,
}

/// A row of a table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// The key.
    pub key: Arc<str>,
    /// The version of the transaction that wrote or removed the row.
    pub version: u64,
    /// The value, or `None` if the row was removed or cannot be decoded.
    pub value: Option<Arc<str>>,
    /// Whether the value is a summary for instances of other availability zones than the upstream's.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub is_summary: bool,
}

/// All changes to a table in a range of versions, or the whole table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Update {
    /// The table.
    pub table: Table,
    /// The version after which all changes are included, or `None` if these are all rows.
    pub after: Option<u64>,
    /// The version up to which all changes are included. Rows may be newer.
    pub version: u64,
    /// The rows.
    pub rows: Vec<Row>,
}

/// A message from a reader to a follower.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "method", content = "params", rename_all = "snake_case")]
pub enum Message {
    /// Changes to a table, possibly none, which shows that the reader's data is current.
    Update(Update),
    /// Rows of the operator's table that are in force at the sender although its table has older ones: another
    /// writer or a copy of the store brought those back.
    InForce(Vec<Record>),
    /// The sender has lost the store or is no reader, so its data is not current.
    Lost,
    /// The sender does not read this table at present, so its data of it is not current.
    TableLost(Table),
    /// Another message, compressed (deflate) and in Base64.
    Packed(String),
}

/// A row of the operator's table without its version in the store; its content has one of its own.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The key.
    pub key: Arc<str>,
    /// The value.
    pub value: Arc<str>,
}

/// A message from a follower to a reader.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "method", content = "params", rename_all = "snake_case")]
pub enum ToReader {
    /// The first and only message: asks for the tables and all later changes.
    Subscribe(Subscription),
}

/// What a follower needs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Subscription {
    /// The availability zone of the follower.
    pub zone: Arc<str>,
    /// The versions up to which the follower has the tables, if it has read them.
    pub versions: Vec<(Table, u64)>,
    /// Whether the follower can read [`Message::Packed`].
    #[serde(default)]
    pub unpacks: bool,
}

/// An update does not follow on what the replica has.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the update follows on version {after}, the replica is at {at:?}")]
pub struct Gap {
    /// The version that the update follows on.
    pub after: u64,
    /// The version of the replica.
    pub at: Option<u64>,
}

/// One instance's copy of a table.
#[derive(Clone, Debug, Default)]
pub struct Replica {
    version: Option<u64>,
    /// The version from which on all removals are known.
    history_start: u64,
    /// The rows, and those removed since `history_start`.
    rows: Map<Arc<str>, Row>,
}

impl Replica {
    /// Returns the version up to which all changes are applied, or `None` before the first update.
    pub fn version(&self) -> Option<u64> {
        self.version
    }

    /// Returns the rows that have a value.
    pub fn rows(&self) -> impl Iterator<Item = &Row> {
        self.rows.values().filter(|row| row.value.is_some())
    }

    /// Returns the row with this key, if it has a value.
    pub fn row(&self, key: &str) -> Option<&Row> {
        self.rows.get(key).filter(|row| row.value.is_some())
    }

    /// Applies an update, and returns the rows that it changed. Rows that are not newer than the known
    /// ones are ignored.
    ///
    /// # Errors
    ///
    /// Fails and changes nothing if updates before this one are missing.
    pub fn apply(&mut self, update: &Update) -> Result<Vec<Row>, Gap> {
        match update.after {
            Some(after) if self.version.is_none_or(|version| version < after) => {
                return Err(Gap { after, at: self.version });
            }
            Some(_) => {}
            None => self.history_start = self.history_start.max(update.version),
        }
        // The replica knows more than an older update, so a row of it that the replica lacks was removed.
        let known = self.version.filter(|version| *version > update.version);
        let mut changed = match update.after {
            None if known.is_none() => self.remove_absent(update),
            _ => Vec::new(),
        };
        for row in update.rows.iter().filter(|row| known.is_none_or(|known| row.version > known)) {
            if self.rows.get(&row.key).is_none_or(|known| is_newer(row, known)) {
                self.rows.insert(row.key.clone(), row.clone());
                changed.push(row.clone());
            }
        }
        self.version = self.version.max(Some(update.version));
        self.limit_tombstones();
        Ok(changed)
    }

    /// Returns all changes after a version, or the whole table if they are not known or `after` is
    /// `None`. Returns `None` before the first update.
    pub fn since(&self, table: Table, after: Option<u64>) -> Option<Update> {
        let version = self.version?;
        let after = after.filter(|after| *after >= self.history_start);
        let is_included = |row: &&Row| match after {
            Some(after) => row.version > after,
            None => row.value.is_some(),
        };
        let rows = self.rows.values().filter(is_included).cloned().collect();
        Some(Update { table, after, version, rows })
    }

    /// Removes the rows that a whole table no longer has, and returns them.
    fn remove_absent(&mut self, whole: &Update) -> Vec<Row> {
        let present: Set<&str> = whole.rows.iter().map(|row| &*row.key).collect();
        let version = whole.version;
        let absent = self.rows.values_mut().filter(|row| {
            row.value.is_some() && row.version <= version && !present.contains(&*row.key)
        });
        let removed = absent.map(|row| {
            *row = Row { key: row.key.clone(), version, value: None, is_summary: false };
            row.clone()
        });
        removed.collect()
    }

    /// Forgets the older half of the removed rows once there are too many.
    fn limit_tombstones(&mut self) {
        let removed = self.rows.values().filter(|row| row.value.is_none());
        let mut versions: Vec<u64> = removed.map(|row| row.version).collect();
        if versions.len() <= MAX_TOMBSTONES {
            return;
        }
        versions.sort_unstable();
        let median = versions[versions.len() / 2];
        self.history_start = self.history_start.max(median);
        self.rows.retain(|_, row| row.value.is_some() || row.version > median);
    }
}

/// The selection of what the followers of one availability zone get of the upstreams.
///
/// Only the instances of an engine's own zone need to know which adapters it holds; that changes with
/// almost every heartbeat. The others get a summary, and only when it changes.
#[derive(Clone, Debug)]
pub struct Projection {
    zone: Arc<str>,
    /// Digests of the rows sent last.
    sent: Map<Arc<str>, u64>,
}

impl Projection {
    /// Returns the projection for the followers of a zone.
    pub fn new(zone: impl Into<Arc<str>>) -> Self {
        Self { zone: zone.into(), sent: Map::default() }
    }

    /// Returns what the followers get of an update, which all of them have to receive.
    pub fn apply(&mut self, update: &Update) -> Update {
        let mut projected = self.project(update);
        if update.table != Table::Upstreams {
            return projected;
        }
        if update.after.is_none() {
            self.sent.clear();
        }
        projected.rows.retain(|row| {
            let digest = hash::digest(&row.value);
            let previous = self.sent.insert(row.key.clone(), digest);
            row.value.is_none() || previous != Some(digest)
        });
        self.sent.retain(|key, _| {
            !projected.rows.iter().any(|row| row.key == *key && row.value.is_none())
        });
        projected
    }

    /// Returns what a new follower gets of an update, whatever was sent to others.
    pub fn project(&self, update: &Update) -> Update {
        let rows = update.rows.iter().map(|row| match update.table {
            Table::Upstreams => self.summarize(row),
            Table::Operator | Table::Cluster => row.clone(),
        });
        Update { rows: rows.collect(), ..*update }
    }

    fn summarize(&self, row: &Row) -> Row {
        let description = row.value.as_deref().map(serde_json::from_str::<Description>);
        let Some(Ok(mut description)) = description else { return row.clone() };
        if description.zone == self.zone {
            return row.clone();
        }
        description.accepted_orders = 0;
        description.models.iter_mut().for_each(|model| model.adapters.clear());
        let value = serde_json::to_string(&description).ok().map(Arc::from);
        Row { value, is_summary: true, ..row.clone() }
    }
}

/// The readers that an instance follows, and when each was last known to be current.
#[derive(Clone, Debug, Default)]
pub struct Sources {
    current: Map<Arc<str>, Source>,
    /// When the last source of each table was lost.
    lost: Map<Table, Instant>,
}

/// A reader that an instance follows.
#[derive(Clone, Debug)]
struct Source {
    updated: Instant,
    /// The tables that it does not read at present.
    unread: Set<Table>,
}

impl Sources {
    /// Records an update of a table from a reader.
    pub fn record_update(&mut self, reader: &Arc<str>, table: Table, now: Instant) {
        let new = || Source { updated: now, unread: Set::default() };
        let source = self.current.entry(reader.clone()).or_insert_with(new);
        source.updated = now;
        source.unread.remove(&table);
    }

    /// Records that a reader has lost the store or is no longer followed.
    pub fn record_loss(&mut self, reader: &str, now: Instant) {
        let Some(source) = self.current.remove(reader) else { return };
        for table in Table::iter().filter(|table| !source.unread.contains(table)) {
            self.record_end(table, now);
        }
    }

    /// Records that a reader does not read one of the tables.
    pub fn record_table_loss(&mut self, reader: &str, table: Table, now: Instant) {
        let source = self.current.get_mut(reader);
        if source.is_some_and(|source| source.unread.insert(table)) {
            self.record_end(table, now);
        }
    }

    fn record_end(&mut self, table: Table, now: Instant) {
        if self.lacks(table) {
            self.lost.insert(table, now);
        }
    }

    /// Returns whether no followed reader has current data of a table.
    pub fn lacks(&self, table: Table) -> bool {
        self.current.values().all(|source| source.unread.contains(&table))
    }

    /// Returns the time since the newest update of any table, or `None` if no reader is followed.
    pub fn age(&self, now: Instant) -> Option<Duration> {
        self.current.values().map(|source| now.since(source.updated)).min()
    }

    /// Returns whether an instance that is no reader has to watch a table itself, given its own jitter. It
    /// does so soon after all readers said that they lost the table, and [`SOURCE_TIMEOUT`] after all
    /// fell silent. From its start until it has found a reader it watches all tables but the upstreams,
    /// which change with every heartbeat, and these too after [`ELECTION_TIME`].
    pub fn require_watch(&self, table: Table, jitter: Duration, now: Instant) -> bool {
        let readers = self.current.values().filter(|source| !source.unread.contains(&table));
        let age = readers.map(|source| now.since(source.updated)).min();
        match (age, self.lost.get(&table)) {
            (Some(age), _) => age >= SOURCE_TIMEOUT + jitter,
            (None, Some(lost)) => now.since(*lost) >= jitter,
            (None, None) => {
                table != Table::Upstreams || now >= Instant::ZERO + ELECTION_TIME + jitter
            }
        }
    }
}

/// Returns the jitter of an instance.
pub fn jitter(name: &str) -> Duration {
    MAX_JITTER.mul_f64(hash::digest(name) as f64 / u64::MAX as f64)
}

fn is_newer(row: &Row, known: &Row) -> bool {
    row.version > known.version
        || row.version == known.version && known.is_summary && !row.is_summary
}
