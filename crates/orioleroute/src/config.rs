//! The configuration in force and how a new one is accepted.
//!
//! A submission is staged, confirmed by every member of every region, and only then accepted by a
//! conditional write of the head row. Whoever confirmed it and then loses contact refuses what the
//! staged document would change, since it cannot tell whether the document was accepted; see
//! `docs/DESIGN.md`, section "Configuration".

use serde::{Deserialize, Serialize};

use crate::document::Document;
use crate::effect::Effects;
use crate::hash::digest;
use crate::key::Ticket;
use crate::membership::Membership;
use crate::message::{Message, Proposal};
use crate::operator::Answer;
use crate::prelude::*;
use crate::table::{Expect, Operation, Outcome, Row, Write};

/// The key of the row that holds the accepted version.
pub const HEAD: &str = "config/head";

/// The key of the row that holds the submission under way.
pub const STAGED: &str = "config/staged";

/// Between two reads of the rows.
const POLL: Duration = Duration::from_millis(1_000);

/// The rows that an acceptance writes before the rows that it only checks.
const MARKS: usize = 2;

/// Between two askings of members that have not confirmed a staged document.
const RESTAGE: Duration = Duration::from_millis(500);

/// How long an operator waits for an acceptance before being told that it is pending.
const ANSWER: Duration = Duration::from_millis(3_500);

/// The longest wait for a reply of the table.
const TABLE_TIMEOUT: Duration = Duration::from_millis(2_000);

/// The value of both rows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Mark {
    version: u64,
    token: u64,
}

/// A submission that this instance brings about.
#[derive(Debug)]
struct Submission {
    ticket: Ticket,
    proposal: Proposal,
    confirmed: Set<Arc<str>>,
    stage: Stage,
    since: Instant,
    next_send: Instant,
    answered: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    Storing(Ticket),
    Marking(Ticket),
    Confirming,
    Accepting(Ticket),
    /// The outcome of a write is unknown, and the rows are being read.
    Settling,
}

/// The configuration of one instance.
#[derive(Debug, Default)]
pub struct Config {
    in_force: Option<Proposal>,
    staged: Option<Proposal>,
    head_row: u64,
    staged_row: u64,
    submission: Option<Submission>,
    reading: Option<(Ticket, Instant)>,
    fetching: Option<(Ticket, Mark)>,
    next_poll: Instant,
    stale_views: bool,
}

impl Config {
    /// Returns the version in force; zero if there is none.
    pub fn version(&self) -> u64 {
        self.in_force.as_ref().map_or(0, |proposal| proposal.version)
    }

    /// Returns the document in force as JSON text.
    pub fn text(&self) -> Option<&Arc<str>> {
        self.in_force.as_ref().map(|proposal| &proposal.document)
    }

    /// Returns the version that is staged but not known to be accepted.
    pub fn staged(&self) -> Option<u64> {
        self.staged.as_ref().map(|proposal| proposal.version)
    }

    /// Returns whether the views have to be read anew before a submission can go on.
    pub fn take_stale_views(&mut self) -> bool {
        std::mem::take(&mut self.stale_views)
    }

    /// Starts a submission.
    pub fn submit(
        &mut self,
        now: Instant,
        ticket: Ticket,
        base: u64,
        document: &Arc<str>,
        effects: &mut Effects,
    ) {
        if let Err(faults) = Document::from_json(document) {
            return answer(ticket, Answer::Invalid { faults }, effects);
        }
        if base != self.version() || self.submission.is_some() {
            let version = self.version();
            return answer(ticket, Answer::Conflict { version }, effects);
        }
        let version = base + 1;
        let token = digest(&(ticket.0, now, &**document));
        let proposal = Proposal { version, token, document: document.clone() };
        let storing = effects.ticket();
        let key = object(Mark { version, token });
        effects.push(Effect::Put { ticket: storing, key, value: document.clone() });
        self.stale_views = true;
        self.submission = Some(Submission {
            ticket,
            proposal,
            confirmed: Set::default(),
            stage: Stage::Storing(storing),
            since: now,
            next_send: now,
            answered: false,
        });
    }

    /// Does what is due at `now`.
    pub fn tick(&mut self, now: Instant, membership: &Membership, effects: &mut Effects) {
        self.reading.take_if(|(_, sent)| now >= *sent + TABLE_TIMEOUT);
        if self.reading.is_none() && now >= self.next_poll {
            self.next_poll = now + POLL;
            let keys = vec![HEAD.into(), STAGED.into()];
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
        if self.reading.take_if(|(reading, _)| *reading == ticket).is_some() {
            if let Outcome::Rows(rows) = outcome {
                return self.take_rows(now, rows, effects);
            }
            return false;
        }
        self.take_write(now, ticket, outcome, membership, effects)
    }

    /// Takes the outcome of an object's write.
    pub fn take_put(&mut self, ticket: Ticket, stored: bool, effects: &mut Effects) {
        let Some(submission) = &mut self.submission else { return };
        if submission.stage != Stage::Storing(ticket) {
            return;
        }
        if !stored {
            let reason = "the object store did not take the document; nothing was accepted".into();
            answer(submission.ticket, Answer::Failed { reason }, effects);
            self.submission = None;
            return;
        }
        let mark = mark_of(&submission.proposal);
        let write = mark_row(STAGED, self.staged_row, mark);
        submission.stage = Stage::Marking(effects.table(Operation::Write(vec![write])));
    }

    /// Takes an object, and returns whether a new document is in force.
    pub fn take_got(&mut self, ticket: Ticket, value: Option<Arc<str>>) -> bool {
        let Some((_, mark)) = self.fetching.take_if(|(fetching, _)| *fetching == ticket) else {
            return false;
        };
        let Some(document) = value else { return false };
        self.adopt(Proposal { version: mark.version, token: mark.token, document })
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
            Message::Stage(proposal) => {
                if proposal.version > self.version() {
                    let Proposal { version, token, .. } = *proposal;
                    self.staged = Some(proposal.clone());
                    send(membership, from, Message::Staged { version, token }, effects);
                }
                false
            }
            Message::Staged { version, token } => {
                if let Some(submission) = &mut self.submission
                    && mark_of(&submission.proposal) == (Mark { version: *version, token: *token })
                {
                    submission.confirmed.insert(from.clone());
                }
                false
            }
            Message::Accepted { version, token } => {
                self.accept(Mark { version: *version, token: *token })
            }
            Message::Fetch { version } => {
                if let Some(proposal) = &self.in_force
                    && proposal.version > *version
                {
                    send(membership, from, Message::Document(proposal.clone()), effects);
                }
                false
            }
            Message::Document(proposal) => self.adopt(proposal.clone()),
            _ => false,
        }
    }

    /// Puts a document in force unless a version at least as high already is.
    fn adopt(&mut self, proposal: Proposal) -> bool {
        if proposal.version <= self.version() {
            return false;
        }
        self.staged.take_if(|staged| staged.version <= proposal.version);
        self.in_force = Some(proposal);
        true
    }

    /// Puts the staged document in force if it is the one accepted.
    fn accept(&mut self, mark: Mark) -> bool {
        match self.staged.take_if(|staged| mark_of(staged) == mark) {
            Some(proposal) => self.adopt(proposal),
            None => false,
        }
    }

    fn take_rows(&mut self, now: Instant, rows: &[Row], effects: &mut Effects) -> bool {
        self.staged_row = rows.iter().find(|row| &*row.key == STAGED).map_or(0, |row| row.version);
        let Some(row) = rows.iter().find(|row| &*row.key == HEAD) else {
            self.settle(now, None, effects);
            return false;
        };
        self.head_row = row.version;
        let Ok(mark) = serde_json::from_str::<Mark>(&row.value) else { return false };
        self.settle(now, Some(mark), effects);
        if mark.version <= self.version() || self.accept(mark) {
            return mark.version == self.version();
        }
        if self.fetching.is_none_or(|(_, fetching)| fetching != mark) {
            let ticket = effects.ticket();
            self.fetching = Some((ticket, mark));
            effects.push(Effect::Get { ticket, key: object(mark) });
        }
        false
    }

    fn take_write(
        &mut self,
        now: Instant,
        ticket: Ticket,
        outcome: &Outcome,
        membership: &Membership,
        effects: &mut Effects,
    ) -> bool {
        let Some(submission) = &mut self.submission else { return false };
        let own = submission.ticket;
        match (submission.stage, outcome) {
            (Stage::Marking(marking), Outcome::Written) if marking == ticket => {
                self.staged_row += 1;
                submission.stage = Stage::Confirming;
                self.drive(now, membership, effects);
                false
            }
            (Stage::Accepting(accepting), Outcome::Written) if accepting == ticket => {
                self.conclude(membership, effects)
            }
            (Stage::Accepting(accepting), Outcome::Conflict(unmet))
                if accepting == ticket && unmet.iter().all(|index| *index >= MARKS) =>
            {
                submission.stage = Stage::Confirming;
                self.stale_views = true;
                false
            }
            (Stage::Marking(writing) | Stage::Accepting(writing), Outcome::Conflict(_))
                if writing == ticket =>
            {
                self.submission = None;
                self.next_poll = now;
                let version = self.version() + 1;
                answer(own, Answer::Conflict { version }, effects);
                false
            }
            (Stage::Marking(writing) | Stage::Accepting(writing), _) if writing == ticket => {
                submission.stage = Stage::Settling;
                self.next_poll = now;
                false
            }
            _ => false,
        }
    }

    /// Decides a submission whose last write had an unknown outcome, from the rows as read.
    fn settle(&mut self, now: Instant, head: Option<Mark>, effects: &mut Effects) {
        let Some(submission) = &mut self.submission else { return };
        if submission.stage != Stage::Settling {
            return;
        }
        let mark = mark_of(&submission.proposal);
        let ticket = submission.ticket;
        match head {
            Some(head) if head == mark => {
                self.submission = None;
                answer(ticket, Answer::Accepted { version: mark.version }, effects);
            }
            Some(head) if head.version >= mark.version => {
                self.submission = None;
                answer(ticket, Answer::Conflict { version: head.version }, effects);
            }
            _ => {
                submission.next_send = now;
                let write = mark_row(STAGED, self.staged_row, mark);
                submission.stage = Stage::Marking(effects.table(Operation::Write(vec![write])));
            }
        }
    }

    /// Brings the submission on: asks members to confirm, and accepts once all have.
    fn drive(&mut self, now: Instant, membership: &Membership, effects: &mut Effects) {
        let Some(submission) = &mut self.submission else { return };
        let mark = mark_of(&submission.proposal);
        let missing: Vec<_> = membership
            .views()
            .flat_map(|view| &view.members)
            .filter(|member| member.name != membership.identity().name)
            .filter(|member| !submission.confirmed.contains(&member.name))
            .collect();
        if !submission.answered && now >= submission.since + ANSWER {
            submission.answered = true;
            let mut regions: Vec<_> = missing.iter().map(|member| member.region.clone()).collect();
            regions.sort();
            regions.dedup();
            let pending = Answer::Pending { version: mark.version, regions };
            answer(submission.ticket, pending, effects);
        }
        if submission.stage != Stage::Confirming || self.stale_views {
            return;
        }
        if missing.is_empty() {
            let head = mark_row(HEAD, self.head_row, mark);
            let staged = mark_row(STAGED, self.staged_row, mark);
            // A view that has changed has a member that this instance has not asked.
            let mut writes = vec![head, staged];
            writes.extend(membership.checks());
            submission.stage = Stage::Accepting(effects.table(Operation::Write(writes)));
            return;
        }
        if now >= submission.next_send {
            submission.next_send = now + RESTAGE;
            for member in missing {
                let stage = Message::Stage(submission.proposal.clone());
                send(membership, &member.name, stage, effects);
            }
        }
    }

    /// Puts the accepted submission in force and spreads the news.
    fn conclude(&mut self, membership: &Membership, effects: &mut Effects) -> bool {
        let Some(submission) = self.submission.take() else { return false };
        let Mark { version, token } = mark_of(&submission.proposal);
        self.head_row += 1;
        self.staged_row += 1;
        for member in membership.views().flat_map(|view| &view.members) {
            if member.name != membership.identity().name {
                send(membership, &member.name, Message::Accepted { version, token }, effects);
            }
        }
        answer(submission.ticket, Answer::Accepted { version }, effects);
        self.adopt(submission.proposal)
    }
}

fn mark_of(proposal: &Proposal) -> Mark {
    Mark { version: proposal.version, token: proposal.token }
}

fn mark_row(key: &str, row: u64, mark: Mark) -> Write {
    Write::put(key, Expect::unchanged(row), &mark)
}

/// Returns the key of the object that holds a document.
fn object(mark: Mark) -> Arc<str> {
    format!("config/{}-{:016x}.json", mark.version, mark.token).into()
}

fn answer(ticket: Ticket, answer: Answer, effects: &mut Effects) {
    effects.push(Effect::Answer { ticket, answer });
}

fn send(membership: &Membership, to: &Arc<str>, message: Message, effects: &mut Effects) {
    if let Some(address) = membership.address(to) {
        effects.push(Effect::Send { to: to.clone(), address, message });
    }
}
