//! What a reader has still to send to one of its followers.

use std::collections::VecDeque;

use super::feed::Table;

/// What waits to be sent to one follower: at most one update of each table.
///
/// Load pattern: configurations of hundreds of KB change every second, and a reader's link carries less than all followers
/// together need. A queue of all updates would grow, and each would arrive later than the one before. A follower that lags
/// gets the changes between what it has and the newest instead.
#[derive(Clone, Debug)]
pub struct Outbox<M> {
    entries: VecDeque<Outgoing<M>>,
}

/// Something to send to a follower.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outgoing<M> {
    /// A message that is no update.
    Other(M),
    /// An update of a table that follows on the version `after`.
    Update {
        /// The table.
        table: Table,
        /// As in [`Update::after`](super::feed::Update::after).
        after: Option<u64>,
        /// The message.
        message: M,
    },
    /// All changes to a table after a version, as they are known when they are sent.
    Changes {
        /// The table.
        table: Table,
        /// As in [`Update::after`](super::feed::Update::after).
        after: Option<u64>,
    },
}

impl<M> Default for Outbox<M> {
    fn default() -> Self {
        Self { entries: VecDeque::new() }
    }
}

impl<M> Outbox<M> {
    /// Adds a message that is no update.
    pub fn push(&mut self, message: M) {
        self.entries.push_back(Outgoing::Other(message));
    }

    /// Adds an update. If another one of the table waits, both are replaced by the changes that they cover.
    pub fn push_update(&mut self, table: Table, after: Option<u64>, message: M) {
        let waiting = self.entries.iter().position(|entry| match entry {
            Outgoing::Other(_) => false,
            Outgoing::Update { table: other, .. } | Outgoing::Changes { table: other, .. } => {
                *other == table
            }
        });
        let entry = match waiting.and_then(|position| self.entries.remove(position)) {
            Some(Outgoing::Update { after, .. } | Outgoing::Changes { after, .. }) => {
                Outgoing::Changes { table, after }
            }
            Some(Outgoing::Other(_)) | None => Outgoing::Update { table, after, message },
        };
        self.entries.push_back(entry);
    }

    /// Takes what is to be sent next.
    pub fn pop(&mut self) -> Option<Outgoing<M>> {
        self.entries.pop_front()
    }
}
