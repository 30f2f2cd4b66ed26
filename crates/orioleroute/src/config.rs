//! The configuration in force and how a new one is accepted.
//!
//! A submission is staged, confirmed by every member of every region, and only then accepted by a
//! conditional write of the head row. Whoever confirmed it and then loses contact refuses what the
//! staged document would change, since it cannot tell whether the document was accepted; see
//! `docs/DESIGN.md`, section "Configuration".

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
pub const HEAD: &str = "config/head";

/// The key of the row that holds the submission under way.
pub const STAGED: &str = "config/staged";

/// Between two reads of the rows.
const POLL: Duration = Duration::from_millis(1_000);

/// The longest wait for a reply of the table.
const TABLE_TIMEOUT: Duration = Duration::from_millis(2_000);

/// How long after the last read of the head row a staged document may have been accepted unnoticed.
///
/// It leaves a margin under the 4 s after which an accepted document must be in force.
const DOUBT: Duration = Duration::from_millis(3_000);

/// A document with its version.
#[derive(Clone, Debug)]
struct Held {
    mark: Mark,
    document: Arc<Document>,
}

/// A confirmed document that is not known to be accepted.
#[derive(Clone, Debug)]
struct Staged {
    held: Held,
    delta: Arc<Delta>,
}

/// The configuration of one instance.
#[derive(Debug, Default)]
pub struct Config {
    in_force: Option<Held>,
    /// Every document that was confirmed and may yet be accepted.
    staged: Vec<Staged>,
    head_row: u64,
    staged_row: u64,
    head_read: Instant,
    submission: Option<Submission>,
    fetch: Option<Fetch>,
    reading: Option<(Ticket, Instant)>,
    next_poll: Instant,
    stale_views: bool,
}

impl Config {
    /// Returns the version in force; zero if there is none.
    pub fn version(&self) -> u64 {
        self.mark().version
    }

    /// Returns the document in force.
    pub fn document(&self) -> Option<&Arc<Document>> {
        self.in_force.as_ref().map(|held| &held.document)
    }

    /// Returns the version that is staged but not known to be accepted.
    pub fn staged(&self) -> Option<u64> {
        self.staged.iter().map(|staged| staged.held.mark.version).max()
    }

    /// Returns whether a document that may have been accepted unnoticed changes an adapter.
    pub fn is_in_doubt(&self, now: Instant, adapter: &str) -> bool {
        now >= self.head_read + DOUBT
            && self.staged.iter().any(|staged| staged.delta.touches(adapter))
    }

    /// Returns whether the views have to be read anew before a submission can go on.
    pub fn take_stale_views(&mut self) -> bool {
        std::mem::take(&mut self.stale_views)
    }

    /// Does what is due at `now`.
    pub fn tick(&mut self, now: Instant, membership: &Membership, effects: &mut Effects) {
        self.reading.take_if(|(_, sent)| now >= *sent + TABLE_TIMEOUT);
        if self.reading.is_none() && now >= self.next_poll {
            self.next_poll = now + POLL;
            let mut keys = vec![HEAD.into()];
            if self.submission.is_some() || self.staged_row == 0 {
                keys.push(STAGED.into());
            }
            self.reading = Some((effects.table(Operation::Read(keys)), now));
        }
        self.drive(now, membership, effects);
    }

    /// Takes the outcome of a table operation, and returns whether a new document is in force.
    pub fn take_outcome(
        &mut self,
        now: Instant,
        ticket: Ticket,
        outcome: &Outcome,
        membership: &Membership,
        effects: &mut Effects,
    ) -> bool {
        if let Some((_, sent)) = self.reading.take_if(|(reading, _)| *reading == ticket) {
            if let Outcome::Rows(rows) = outcome {
                self.head_read = sent;
                return self.take_rows(now, rows, effects);
            }
            return false;
        }
        self.take_write(now, ticket, outcome, membership, effects)
    }

    /// Takes a message about configuration, and returns whether a new document is in force.
    pub fn take_message(
        &mut self,
        from: &Arc<str>,
        message: &Message,
        membership: &Membership,
        effects: &mut Effects,
    ) -> bool {
        match message {
            Message::Stage(proposal) => self.take_stage(from, proposal, membership, effects),
            Message::Staged { mark, incarnation } => {
                self.confirm(from, *incarnation, *mark);
                false
            }
            Message::Accepted(mark) => {
                let accepted = self.accept(*mark);
                self.catch_up(from, mark.version, membership, effects);
                accepted
            }
            Message::Renew(renewal) => {
                self.catch_up(from, renewal.config, membership, effects);
                false
            }
            Message::Fetch { version } => {
                self.pass_on(from, *version, membership, effects);
                false
            }
            Message::Document(proposal) => match self.resolve(proposal) {
                Some(held) => self.adopt(held),
                None => false,
            },
            _ => false,
        }
    }

    fn mark(&self) -> Mark {
        self.in_force.as_ref().map_or(Mark::default(), |held| held.mark)
    }

    /// Stages a document, or asks for the one that it builds on.
    fn take_stage(
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
            Some(held) => {
                self.stage(held, &proposal.body);
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

    /// Asks a peer for the document in force there, if it is newer.
    fn catch_up(
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

    /// Notes a staged document; a change that came with it is not worked out anew.
    fn stage(&mut self, held: Held, body: &Body) {
        if self.staged.iter().any(|staged| staged.held.mark == held.mark) {
            return;
        }
        let delta = match body {
            Body::Change(delta) => delta.clone(),
            Body::Whole(document) => {
                let empty = Arc::default();
                Arc::new(Delta::between(self.document().unwrap_or(&empty), document))
            }
        };
        self.staged.push(Staged { held, delta });
    }

    fn pass_on(&self, to: &Arc<str>, version: u64, membership: &Membership, effects: &mut Effects) {
        if let Some(held) = self.in_force.as_ref().filter(|held| held.mark.version > version) {
            let body = Body::Whole(held.document.clone());
            let proposal = Proposal { mark: held.mark, base: Mark::default(), body };
            send(membership, to, Message::Document(proposal), effects);
        }
    }

    /// Returns the document of a proposal, if it is whole or builds on the one in force.
    fn resolve(&self, proposal: &Proposal) -> Option<Held> {
        let document = match &proposal.body {
            Body::Whole(document) => document.clone(),
            Body::Change(delta) if proposal.base == self.mark() => {
                let empty = Arc::default();
                Arc::new(delta.apply(self.document().unwrap_or(&empty))?)
            }
            Body::Change(_) => return None,
        };
        Some(Held { mark: proposal.mark, document })
    }

    /// Puts a document in force unless a version at least as high already is.
    fn adopt(&mut self, held: Held) -> bool {
        if held.mark.version <= self.version() {
            return false;
        }
        self.staged.retain(|staged| staged.held.mark.version > held.mark.version);
        self.in_force = Some(held);
        true
    }

    /// Puts the staged document in force if it is the one accepted.
    fn accept(&mut self, mark: Mark) -> bool {
        let staged = self.staged.iter().find(|staged| staged.held.mark == mark);
        match staged.map(|staged| staged.held.clone()) {
            Some(held) => self.adopt(held),
            None => false,
        }
    }

    fn take_rows(&mut self, now: Instant, rows: &[Row], effects: &mut Effects) -> bool {
        if let Some(row) = rows.iter().find(|row| &*row.key == STAGED) {
            self.staged_row = row.version;
        }
        let head = rows.iter().find(|row| &*row.key == HEAD);
        self.head_row = head.map_or(0, |row| row.version);
        let mark: Option<Mark> = head.and_then(|row| serde_json::from_str(&row.value).ok());
        let settled = self.settle(now, mark, effects);
        let Some(mark) = mark.filter(|mark| mark.version > self.version()) else {
            return settled;
        };
        if self.accept(mark) {
            return true;
        }
        self.fetch(now, mark, effects);
        settled
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
