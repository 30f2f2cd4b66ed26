//! The active configuration and how a new version is accepted.
//!
//! A submission is staged, confirmed by every member of every region, and then accepted by a
//! conditional write of the head row. A member that confirmed it and then loses contact refuses
//! requests for adapters that the staged document changes, because it cannot tell whether the
//! document was accepted; see `docs/DESIGN.md`, section "Configuration".

use std::collections::VecDeque;

use crate::document::{Delta, Document};
use crate::effect::Effects;
use crate::key::Ticket;
use crate::membership::Membership;
use crate::message::{Body, Mark, Message, Proposal};
use crate::operator::Answer;
use crate::prelude::*;
use crate::table::{Operation, Outcome, Row};

mod fetch;
mod submission;

use fetch::Fetch;
use submission::Submission;

/// The key of the row that holds the accepted version.
pub const HEAD_KEY: &str = "config/head";

/// The key of the row that holds the submission in progress.
pub const STAGED_KEY: &str = "config/staged";

/// The interval between reads of the rows.
const POLL_INTERVAL: Duration = Duration::from_millis(1_000);

/// How long to wait for a reply from the table.
const TABLE_TIMEOUT: Duration = Duration::from_millis(2_000);

/// How long after the last read of the head row a staged document is treated as possibly accepted.
///
/// This leaves a margin below the 4 s within which an accepted document must become active.
const UNCERTAIN_AFTER: Duration = Duration::from_millis(3_000);

/// The maximum number of changes kept for peers that are behind.
const MAX_RECENT_CHANGES: usize = 64;

/// A document with its version and digest.
#[derive(Clone, Debug)]
struct VersionedDocument {
    mark: Mark,
    document: Arc<Document>,
    digest: u64,
    /// The change from the previous document; `None` if only the whole document is known.
    change: Option<Change>,
}

/// A change and the version it applies to.
#[derive(Clone, Debug)]
struct Change {
    base: Mark,
    delta: Arc<Delta>,
}

/// A confirmed document that may or may not have been accepted.
#[derive(Clone, Debug)]
struct Staged {
    versioned: VersionedDocument,
    delta: Arc<Delta>,
}

/// How the active document has changed since the last call of [`Config::take_update`].
#[derive(Clone, Debug)]
pub enum Update {
    /// The document was changed by these deltas, in order.
    Changes(Vec<Arc<Delta>>),
    /// The document was replaced, and its difference from the previous one is not known.
    Replaced,
}

/// The configuration of one instance.
#[derive(Debug, Default)]
pub struct Config {
    active: Option<VersionedDocument>,
    /// All documents that were confirmed and can still be accepted.
    staged: Vec<Staged>,
    head_row_version: u64,
    staged_row_version: u64,
    /// When the last successful read of the head row was sent.
    head_read_at: Instant,
    /// The highest version known to be accepted.
    accepted: u64,
    submission: Option<Submission>,
    fetch: Option<Fetch>,
    pending_read: Option<(Ticket, Instant)>,
    next_poll: Instant,
    stale_views: bool,
    /// The latest changes that led to the active document, oldest first.
    recent: VecDeque<Proposal>,
    update: Option<Update>,
}

impl Config {
    /// Returns the active version; zero if there is none.
    pub fn version(&self) -> u64 {
        self.mark().version
    }

    /// Returns the active document.
    pub fn document(&self) -> Option<&Arc<Document>> {
        self.active.as_ref().map(|versioned| &versioned.document)
    }

    /// Returns the newest version that is staged but not known to be accepted.
    pub fn staged(&self) -> Option<u64> {
        self.staged.iter().map(|staged| staged.versioned.mark.version).max()
    }

    /// Returns whether the active configuration of an adapter may be out of date.
    ///
    /// That is so if a staged document that changes the adapter may have been accepted without this
    /// instance learning of it, or if a version was accepted that this instance does not have yet.
    pub fn is_uncertain(&self, now: Instant, adapter: &str) -> bool {
        self.accepted > self.version()
            || now >= self.head_read_at + UNCERTAIN_AFTER
                && self.staged.iter().any(|staged| staged.delta.affects(adapter))
    }

    /// Returns how the active document has changed since the last call.
    pub fn take_update(&mut self) -> Option<Update> {
        self.update.take()
    }

    /// Returns and clears whether the views must be reread before a submission can continue.
    pub fn take_stale_views(&mut self) -> bool {
        std::mem::take(&mut self.stale_views)
    }

    /// Runs the work that is due at `now`: reads the rows and advances the submission.
    pub fn tick(&mut self, now: Instant, membership: &Membership, effects: &mut Effects) {
        self.pending_read.take_if(|(_, sent)| now >= *sent + TABLE_TIMEOUT);
        if self.pending_read.is_none() && now >= self.next_poll {
            self.next_poll = now + POLL_INTERVAL;
            let mut keys = vec![HEAD_KEY.into()];
            if self.submission.is_some() || self.staged_row_version == 0 {
                keys.push(STAGED_KEY.into());
            }
            self.pending_read = Some((effects.table(Operation::Read(keys)), now));
        }
        self.advance(now, membership, effects);
    }

    /// Handles the outcome of a table operation, and returns whether a new document became active.
    pub fn handle_outcome(
        &mut self,
        now: Instant,
        ticket: Ticket,
        outcome: &Outcome,
        membership: &Membership,
        effects: &mut Effects,
    ) -> bool {
        if let Some((_, sent)) = self.pending_read.take_if(|(read, _)| *read == ticket) {
            if let Outcome::Rows(rows) = outcome {
                self.head_read_at = sent;
                return self.handle_rows(now, rows, effects);
            }
            return false;
        }
        self.handle_write(now, ticket, outcome, membership, effects)
    }

    /// Handles a message about configuration, and returns whether a new document became active.
    pub fn handle_message(
        &mut self,
        from: &Arc<str>,
        message: &Message,
        membership: &Membership,
        effects: &mut Effects,
    ) -> bool {
        match message {
            Message::Stage(proposal) => self.handle_stage(from, proposal, membership, effects),
            Message::Staged { mark, incarnation } => {
                self.record_confirmation(from, *incarnation, *mark);
                false
            }
            Message::Accepted(mark) => {
                self.accepted = self.accepted.max(mark.version);
                let activated = self.activate_staged(*mark);
                self.fetch_if_behind(from, mark.version, membership, effects);
                activated
            }
            Message::Renew(renewal) => {
                self.fetch_if_behind(from, renewal.config, membership, effects);
                false
            }
            Message::Fetch { version } => {
                self.send_missing(from, *version, membership, effects);
                false
            }
            Message::Document(proposal) => match self.resolve(proposal) {
                Some(versioned) => self.activate(versioned),
                None => false,
            },
            _ => false,
        }
    }

    fn mark(&self) -> Mark {
        self.active.as_ref().map_or(Mark::default(), |versioned| versioned.mark)
    }

    /// Stages a proposed document, or requests its base document from the sender if it is missing.
    fn handle_stage(
        &mut self,
        from: &Arc<str>,
        proposal: &Proposal,
        membership: &Membership,
        effects: &mut Effects,
    ) -> bool {
        if proposal.mark.version <= self.version() {
            return false;
        }
        match self.resolve(proposal) {
            Some(versioned) => {
                self.stage(versioned);
                let incarnation = membership.identity().incarnation;
                let staged = Message::Staged { mark: proposal.mark, incarnation };
                send(membership, from, staged, effects);
            }
            None => {
                let version = self.version();
                send(membership, from, Message::Fetch { version }, effects);
            }
        }
        false
    }

    /// Requests the active document of a peer if its version is newer.
    fn fetch_if_behind(
        &self,
        peer: &Arc<str>,
        version: u64,
        membership: &Membership,
        effects: &mut Effects,
    ) {
        let own = self.version();
        if version > own {
            send(membership, peer, Message::Fetch { version: own }, effects);
        }
    }

    fn stage(&mut self, versioned: VersionedDocument) {
        if self.staged.iter().any(|staged| staged.versioned.mark == versioned.mark) {
            return;
        }
        let delta = match &versioned.change {
            Some(change) if change.base == self.mark() => change.delta.clone(),
            _ => {
                let empty = Arc::default();
                let old = self.document().unwrap_or(&empty);
                Arc::new(Delta::between(old, &versioned.document))
            }
        };
        self.staged.push(Staged { versioned, delta });
    }

    /// Sends a peer the recent changes it lacks, or the whole document if those do not suffice.
    fn send_missing(
        &self,
        to: &Arc<str>,
        version: u64,
        membership: &Membership,
        effects: &mut Effects,
    ) {
        let Some(versioned) =
            self.active.as_ref().filter(|versioned| versioned.mark.version > version)
        else {
            return;
        };
        let first = self.recent.iter().position(|change| change.base.version == version);
        if let Some(first) = first.filter(|_| version > 0) {
            for change in self.recent.range(first..) {
                send(membership, to, Message::Document(change.clone()), effects);
            }
            return;
        }
        let body = Body::Whole(versioned.document.clone());
        let proposal = Proposal { mark: versioned.mark, base: Mark::default(), body };
        send(membership, to, Message::Document(proposal), effects);
    }

    /// Returns the document of a proposal if it is whole or is a change of the active document.
    fn resolve(&self, proposal: &Proposal) -> Option<VersionedDocument> {
        let mark = proposal.mark;
        match &proposal.body {
            Body::Whole(document) => {
                let digest = document.digest();
                Some(VersionedDocument { mark, document: document.clone(), digest, change: None })
            }
            Body::Change(delta) if proposal.base == self.mark() => {
                let document = match &self.active {
                    Some(old) => delta.apply_with_digest(&old.document, old.digest)?,
                    None => delta.apply(&Document::default())?,
                };
                let change = Change { base: proposal.base, delta: delta.clone() };
                let digest = delta.digest;
                Some(VersionedDocument {
                    mark,
                    document: Arc::new(document),
                    digest,
                    change: Some(change),
                })
            }
            Body::Change(_) => None,
        }
    }

    /// Makes a document active unless the active version is at least as high.
    fn activate(&mut self, versioned: VersionedDocument) -> bool {
        if versioned.mark.version <= self.version() {
            return false;
        }
        self.staged.retain(|staged| staged.versioned.mark.version > versioned.mark.version);
        self.record_update(&versioned);
        self.active = Some(versioned);
        true
    }

    /// Records how a document that becomes active differs from the active one.
    fn record_update(&mut self, versioned: &VersionedDocument) {
        let change = versioned.change.as_ref().filter(|change| change.base == self.mark());
        let Some(change) = change else {
            self.recent.clear();
            self.update = Some(Update::Replaced);
            return;
        };
        if self.recent.len() >= MAX_RECENT_CHANGES {
            self.recent.pop_front();
        }
        let Change { base, delta } = change.clone();
        let body = Body::Change(delta.clone());
        self.recent.push_back(Proposal { mark: versioned.mark, base, body });
        match self.update.get_or_insert(Update::Changes(Vec::new())) {
            Update::Changes(changes) => changes.push(delta),
            Update::Replaced => {}
        }
    }

    /// Makes the staged document with this mark active, if there is one.
    fn activate_staged(&mut self, mark: Mark) -> bool {
        let staged = self.staged.iter().find(|staged| staged.versioned.mark == mark);
        match staged.map(|staged| staged.versioned.clone()) {
            Some(versioned) => self.activate(versioned),
            None => false,
        }
    }

    /// Schedules an immediate read of the rows, and ignores a pending read that may predate a write.
    fn reread(&mut self, now: Instant) {
        self.pending_read = None;
        self.next_poll = now;
    }

    fn handle_rows(&mut self, now: Instant, rows: &[Row], effects: &mut Effects) -> bool {
        if let Some(row) = rows.iter().find(|row| &*row.key == STAGED_KEY) {
            self.staged_row_version = self.staged_row_version.max(row.version);
        }
        let head = rows.iter().find(|row| &*row.key == HEAD_KEY);
        self.head_row_version = self.head_row_version.max(head.map_or(0, |row| row.version));
        let mark: Option<Mark> = head.and_then(|row| serde_json::from_str(&row.value).ok());
        self.accepted = self.accepted.max(mark.map_or(0, |mark| mark.version));
        let activated = self.decide(now, mark, effects);
        let Some(mark) = mark.filter(|mark| mark.version > self.version()) else {
            return activated;
        };
        if self.activate_staged(mark) {
            return true;
        }
        self.fetch(now, mark, effects);
        activated
    }
}

fn answer(ticket: Ticket, answer: Answer, effects: &mut Effects) {
    effects.push(Effect::Answer { ticket, answer });
}

fn send(membership: &Membership, to: &Arc<str>, message: Message, effects: &mut Effects) {
    if let Some(address) = membership.address(to) {
        effects.push(Effect::Send { to: to.clone(), address, message });
    }
}
