//! The processing of an operator's submission until it is accepted.

use super::fetch::object_key;
use super::{Change, Config, HEAD_KEY, STAGED_KEY, VersionedDocument, answer, send};
use crate::document::{Delta, Document};
use crate::effect::Effects;
use crate::hash::digest;
use crate::instance::Instance as Identity;
use crate::key::Ticket;
use crate::membership::Membership;
use crate::message::{Mark, Message, Proposal};
use crate::operator::Answer;
use crate::prelude::*;
use crate::table::{Expect, Operation, Outcome, Write};

/// The number of versions from one whole document in the object store to the next.
pub(super) const SNAPSHOT_INTERVAL: u64 = 64;

/// The number of rows that an acceptance writes; they precede the rows that it only checks.
const MARK_WRITES: usize = 2;

/// The interval between requests to members that have not confirmed a staged document.
const RESTAGE_INTERVAL: Duration = Duration::from_millis(500);

/// How long to wait for members before the views are reread with each further request.
const VIEW_REFRESH_DELAY: Duration = Duration::from_millis(1_500);

/// How long an operator waits for acceptance before the answer is that it is pending.
const PENDING_ANSWER_DELAY: Duration = Duration::from_millis(3_500);

/// A submission that this instance coordinates.
#[derive(Debug)]
pub(super) struct Submission {
    ticket: Ticket,
    versioned: VersionedDocument,
    proposal: Proposal,
    /// The members that have staged the document, by name and incarnation.
    confirmed: Set<(Arc<str>, u64)>,
    stage: Stage,
    /// Whether a write of the head row had an unknown outcome.
    may_be_accepted: bool,
    started_at: Instant,
    next_send: Instant,
    answered: bool,
    /// The version of the staged row after the pending write.
    next_staged_version: u64,
    /// The version of the head row after the submission is accepted.
    next_head_version: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    /// The object that holds the document is being written.
    Storing(Ticket),
    /// The staged row is being written.
    Staging(Ticket),
    /// Members are asked to confirm.
    Confirming,
    /// The head row is being written.
    Accepting(Ticket),
    /// The outcome of a write is unknown, and the rows are being read.
    Uncertain,
    /// Another submission superseded it, and the rows are being read.
    Superseded,
}

impl Config {
    /// Starts a submission.
    pub fn submit(
        &mut self,
        now: Instant,
        ticket: Ticket,
        base: u64,
        text: &str,
        effects: &mut Effects,
    ) {
        let document = match Document::from_json(text) {
            Ok(document) => document,
            Err(faults) => return answer(ticket, Answer::Invalid { faults }, effects),
        };
        if base != self.version() {
            let version = self.version();
            return answer(ticket, Answer::Conflict { version }, effects);
        }
        if self.submission.is_some() {
            let reason = "another submission is under way here; nothing was accepted".into();
            return answer(ticket, Answer::Failed { reason }, effects);
        }
        let mark = Mark { version: base + 1, token: digest(&(ticket.0, now, text)) };
        let versioned = self.successor(mark, document);
        let proposal = Self::to_proposal(&versioned, versioned.change.is_none());
        let object = Self::to_proposal(&versioned, mark.version % SNAPSHOT_INTERVAL == 1);
        let value = serde_json::to_string(&object).unwrap_or_default();
        let storing = effects.ticket();
        effects.push(Effect::WriteObject {
            ticket: storing,
            key: object_key(mark),
            value: value.into(),
        });
        self.stale_views = true;
        self.submission = Some(Submission {
            ticket,
            proposal,
            versioned,
            confirmed: Set::default(),
            stage: Stage::Storing(storing),
            may_be_accepted: false,
            started_at: now,
            next_send: now,
            answered: false,
            next_staged_version: 0,
            next_head_version: 0,
        });
    }

    /// Returns the document to activate on acceptance, with its change from the active document.
    fn successor(&self, mark: Mark, document: Document) -> VersionedDocument {
        let change = self.active.as_ref().map(|old| Change {
            base: old.mark,
            delta: Arc::new(Delta::between(&old.document, &document)),
        });
        let digest = match &change {
            Some(change) => change.delta.digest,
            None => document.digest(),
        };
        VersionedDocument { mark, document: Arc::new(document), digest, change }
    }

    /// Handles the outcome of writing the object.
    pub fn handle_object_written(&mut self, ticket: Ticket, stored: bool, effects: &mut Effects) {
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
        self.write_staged_row(effects);
    }

    fn write_staged_row(&mut self, effects: &mut Effects) {
        let Some(submission) = &mut self.submission else { return };
        let mark = submission.versioned.mark;
        let expect = Expect::unchanged(self.staged_row_version);
        let write = Write::put(STAGED_KEY, expect, &mark);
        submission.next_staged_version = expect.next_version();
        submission.stage = Stage::Staging(effects.table(Operation::Write(vec![write])));
    }

    /// Records that a member has staged the document.
    pub(super) fn record_confirmation(&mut self, member: &Arc<str>, incarnation: u64, mark: Mark) {
        if let Some(submission) = &mut self.submission
            && submission.versioned.mark == mark
        {
            submission.confirmed.insert((member.clone(), incarnation));
        }
    }

    pub(super) fn handle_write(
        &mut self,
        now: Instant,
        ticket: Ticket,
        outcome: &Outcome,
        membership: &Membership,
        effects: &mut Effects,
    ) -> bool {
        let Some(submission) = &mut self.submission else { return false };
        match (submission.stage, outcome) {
            (Stage::Staging(staging), Outcome::Written) if staging == ticket => {
                // The rows may have been read between the write and its reply.
                self.staged_row_version =
                    self.staged_row_version.max(submission.next_staged_version);
                // A previous write of the head row that has not taken effect can no longer do so.
                submission.may_be_accepted = false;
                submission.stage = Stage::Confirming;
                self.advance(now, membership, effects);
                false
            }
            (Stage::Accepting(accepting), Outcome::Written) if accepting == ticket => {
                self.finish(membership, effects)
            }
            (Stage::Accepting(accepting), Outcome::Conflict(unmet))
                if accepting == ticket && unmet.iter().all(|index| *index >= MARK_WRITES) =>
            {
                submission.stage = Stage::Confirming;
                self.stale_views = true;
                false
            }
            (Stage::Accepting(accepting), Outcome::Conflict(_)) if accepting == ticket => {
                submission.stage = Stage::Superseded;
                self.reread(now);
                false
            }
            (Stage::Staging(writing) | Stage::Accepting(writing), _) if writing == ticket => {
                submission.may_be_accepted |= submission.stage == Stage::Accepting(writing);
                submission.stage = Stage::Uncertain;
                self.reread(now);
                false
            }
            _ => false,
        }
    }

    /// Decides a submission that was superseded, or whose last write had an unknown outcome, from the
    /// head row as read, and returns whether a new document became active.
    ///
    /// A submission in any other stage is also decided once the head has its version. Otherwise the
    /// row version read with the head would satisfy the condition of the acceptance, and the version
    /// would be accepted twice.
    pub(super) fn decide(
        &mut self,
        now: Instant,
        head: Option<Mark>,
        effects: &mut Effects,
    ) -> bool {
        let Some(submission) = &mut self.submission else { return false };
        let undecided = matches!(submission.stage, Stage::Uncertain | Stage::Superseded);
        let mark = submission.versioned.mark;
        if !undecided && head.is_none_or(|head| head.version < mark.version) {
            return false;
        }
        let superseded = submission.stage == Stage::Superseded;
        let ticket = submission.ticket;
        match head {
            Some(head) if head == mark => {
                answer(ticket, Answer::Accepted { version: mark.version }, effects);
                let accepted = self.submission.take();
                accepted.is_some_and(|submission| self.activate(submission.versioned))
            }
            Some(head) if head.version > mark.version && submission.may_be_accepted => {
                let reason = "another version followed before it was known whether this one was \
                              accepted; compare the document in force";
                answer(ticket, Answer::Failed { reason: reason.into() }, effects);
                self.submission = None;
                false
            }
            Some(head) if head.version >= mark.version => {
                self.submission = None;
                answer(ticket, Answer::Conflict { version: head.version }, effects);
                false
            }
            _ if superseded => {
                let reason = "another submission took its place; nothing was accepted".into();
                answer(ticket, Answer::Failed { reason }, effects);
                self.submission = None;
                false
            }
            _ => {
                submission.next_send = now;
                self.write_staged_row(effects);
                false
            }
        }
    }

    /// Advances the submission: requests confirmations, and accepts once all members have confirmed.
    pub(super) fn advance(&mut self, now: Instant, membership: &Membership, effects: &mut Effects) {
        let Some(submission) = &mut self.submission else { return };
        let missing = submission.missing(membership);
        if !submission.answered && now >= submission.started_at + PENDING_ANSWER_DELAY {
            submission.answered = true;
            let pending = pending_answer(submission.versioned.mark.version, &missing);
            answer(submission.ticket, pending, effects);
        }
        if submission.stage != Stage::Confirming || self.stale_views {
            return;
        }
        if missing.is_empty() {
            return self.write_head(membership, effects);
        }
        if now >= submission.next_send {
            submission.next_send = now + RESTAGE_INTERVAL;
            for member in missing {
                let stage = Message::Stage(submission.proposal.clone());
                send(membership, &member.name, stage, effects);
            }
            // A member that does not answer may have been removed from the view of another region.
            self.stale_views = now >= submission.started_at + VIEW_REFRESH_DELAY;
        }
    }

    fn write_head(&mut self, membership: &Membership, effects: &mut Effects) {
        let Some(submission) = &mut self.submission else { return };
        let mark = submission.versioned.mark;
        let head = Expect::unchanged(self.head_row_version);
        let staged = Expect::unchanged(self.staged_row_version);
        submission.next_head_version = head.next_version();
        submission.next_staged_version = staged.next_version();
        let mut writes =
            vec![Write::put(HEAD_KEY, head, &mark), Write::put(STAGED_KEY, staged, &mark)];
        // A view that has changed may include a member that has not been asked to confirm.
        writes.extend(membership.checks());
        submission.stage = Stage::Accepting(effects.table(Operation::Write(writes)));
        // Until the outcome is known, this instance is as uncertain as every other member.
        let versioned = submission.versioned.clone();
        self.stage(versioned);
    }

    /// Activates the accepted submission and notifies the other members.
    fn finish(&mut self, membership: &Membership, effects: &mut Effects) -> bool {
        let Some(submission) = self.submission.take() else { return false };
        let mark = submission.versioned.mark;
        self.head_row_version = self.head_row_version.max(submission.next_head_version);
        self.staged_row_version = self.staged_row_version.max(submission.next_staged_version);
        for member in other_members(membership) {
            send(membership, &member.name, Message::Accepted(mark), effects);
        }
        answer(submission.ticket, Answer::Accepted { version: mark.version }, effects);
        self.activate(submission.versioned)
    }
}

impl Submission {
    /// Returns the members of all regions that have not confirmed the document.
    fn missing<'a>(&self, membership: &'a Membership) -> Vec<&'a Identity> {
        other_members(membership)
            .filter(|member| !self.confirmed.contains(&(member.name.clone(), member.incarnation)))
            .collect()
    }
}

/// Returns the other members of all regions.
fn other_members(membership: &Membership) -> impl Iterator<Item = &Identity> {
    let own = &membership.identity().name;
    membership.views().flat_map(|view| &view.members).filter(move |member| member.name != *own)
}

fn pending_answer(version: u64, missing: &[&Identity]) -> Answer {
    let mut regions: Vec<Arc<str>> = missing.iter().map(|member| member.region.clone()).collect();
    regions.sort();
    regions.dedup();
    Answer::Pending { version, regions }
}
