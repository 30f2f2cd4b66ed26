//! A submission on its way from the operator to acceptance.

use super::fetch::key_of;
use super::{Change, Config, HEAD, Held, STAGED, answer, send};
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

/// Versions from one whole document in the object store to the next.
pub(super) const SNAPSHOT_EVERY: u64 = 64;

/// The rows that an acceptance writes, before those that it only checks.
const MARKS: usize = 2;

/// Between two askings of members that have not confirmed a staged document.
const RESTAGE: Duration = Duration::from_millis(500);

/// How long members are waited for before the views are read anew at each asking.
const REREAD: Duration = Duration::from_millis(1_500);

/// How long an operator waits for an acceptance before being told that it is pending.
const ANSWER: Duration = Duration::from_millis(3_500);

/// A submission that this instance brings about.
#[derive(Debug)]
pub(super) struct Submission {
    ticket: Ticket,
    held: Held,
    proposal: Proposal,
    /// The members that hold the document, by name and incarnation.
    confirmed: Set<(Arc<str>, u64)>,
    stage: Stage,
    /// Whether the head was written with an outcome that is not known.
    may_be_accepted: bool,
    since: Instant,
    next_send: Instant,
    answered: bool,
    /// The version of the staged row once this submission is marked in it.
    marked: u64,
    /// The version of the head row once this submission is accepted.
    accepted: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    Storing(Ticket),
    Marking(Ticket),
    Confirming,
    Accepting(Ticket),
    /// The outcome of a write is unknown, and the rows are being read.
    Settling,
    /// Another submission took its place, and the rows are being read.
    Overtaken,
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
        let held = self.successor(mark, document);
        let proposal = Self::proposal(&held, held.change.is_none());
        let object = Self::proposal(&held, mark.version % SNAPSHOT_EVERY == 1);
        let value = serde_json::to_string(&object).unwrap_or_default();
        let storing = effects.ticket();
        effects.push(Effect::Put { ticket: storing, key: key_of(mark), value: value.into() });
        self.stale_views = true;
        self.submission = Some(Submission {
            ticket,
            proposal,
            held,
            confirmed: Set::default(),
            stage: Stage::Storing(storing),
            may_be_accepted: false,
            since: now,
            next_send: now,
            answered: false,
            marked: 0,
            accepted: 0,
        });
    }

    /// Returns the document in force after an acceptance, as a change of the one in force now.
    fn successor(&self, mark: Mark, document: Document) -> Held {
        let change = self.in_force.as_ref().map(|old| Change {
            base: old.mark,
            delta: Arc::new(Delta::between(&old.document, &document)),
        });
        let digest = match &change {
            Some(change) => change.delta.digest,
            None => document.digest(),
        };
        Held { mark, document: Arc::new(document), digest, change }
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
        self.mark_staged(effects);
    }

    fn mark_staged(&mut self, effects: &mut Effects) {
        let Some(submission) = &mut self.submission else { return };
        let mark = submission.held.mark;
        let expect = Expect::unchanged(self.staged_row);
        let write = Write::put(STAGED, expect, &mark);
        submission.marked = expect.next_version();
        submission.stage = Stage::Marking(effects.table(Operation::Write(vec![write])));
    }

    /// Notes that a member holds the staged document.
    pub(super) fn confirm(&mut self, member: &Arc<str>, incarnation: u64, mark: Mark) {
        if let Some(submission) = &mut self.submission
            && submission.held.mark == mark
        {
            submission.confirmed.insert((member.clone(), incarnation));
        }
    }

    pub(super) fn take_write(
        &mut self,
        now: Instant,
        ticket: Ticket,
        outcome: &Outcome,
        membership: &Membership,
        effects: &mut Effects,
    ) -> bool {
        let Some(submission) = &mut self.submission else { return false };
        match (submission.stage, outcome) {
            (Stage::Marking(marking), Outcome::Written) if marking == ticket => {
                // The rows may have been read since the write, and before its reply.
                self.staged_row = self.staged_row.max(submission.marked);
                // The head's last write, if it has not taken effect yet, no longer can.
                submission.may_be_accepted = false;
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
            (Stage::Accepting(accepting), Outcome::Conflict(_)) if accepting == ticket => {
                submission.stage = Stage::Overtaken;
                self.read_anew(now);
                false
            }
            (Stage::Marking(writing) | Stage::Accepting(writing), _) if writing == ticket => {
                submission.may_be_accepted |= submission.stage == Stage::Accepting(writing);
                submission.stage = Stage::Settling;
                self.read_anew(now);
                false
            }
            _ => false,
        }
    }

    /// Decides a submission that was overtaken, or whose last write had an unknown outcome, from the
    /// head as read, and returns whether a new document is in force.
    ///
    /// A submission under way is decided as soon as the head has its version: the row number read
    /// with it would meet the condition of the acceptance, which would then accept the version twice.
    pub(super) fn settle(
        &mut self,
        now: Instant,
        head: Option<Mark>,
        effects: &mut Effects,
    ) -> bool {
        let Some(submission) = &mut self.submission else { return false };
        let undecided = matches!(submission.stage, Stage::Settling | Stage::Overtaken);
        let mark = submission.held.mark;
        if !undecided && head.is_none_or(|head| head.version < mark.version) {
            return false;
        }
        let overtaken = submission.stage == Stage::Overtaken;
        let ticket = submission.ticket;
        match head {
            Some(head) if head == mark => {
                answer(ticket, Answer::Accepted { version: mark.version }, effects);
                let accepted = self.submission.take();
                accepted.is_some_and(|submission| self.adopt(submission.held))
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
            _ if overtaken => {
                let reason = "another submission took its place; nothing was accepted".into();
                answer(ticket, Answer::Failed { reason }, effects);
                self.submission = None;
                false
            }
            _ => {
                submission.next_send = now;
                self.mark_staged(effects);
                false
            }
        }
    }

    /// Brings the submission on: asks members to confirm, and accepts once all have.
    pub(super) fn drive(&mut self, now: Instant, membership: &Membership, effects: &mut Effects) {
        let Some(submission) = &mut self.submission else { return };
        let missing = submission.missing(membership);
        if !submission.answered && now >= submission.since + ANSWER {
            submission.answered = true;
            let pending = pending(submission.held.mark.version, &missing);
            answer(submission.ticket, pending, effects);
        }
        if submission.stage != Stage::Confirming || self.stale_views {
            return;
        }
        if missing.is_empty() {
            return self.write_head(membership, effects);
        }
        if now >= submission.next_send {
            submission.next_send = now + RESTAGE;
            for member in missing {
                let stage = Message::Stage(submission.proposal.clone());
                send(membership, &member.name, stage, effects);
            }
            // One that does not answer may have been removed from a view of another region.
            self.stale_views = now >= submission.since + REREAD;
        }
    }

    fn write_head(&mut self, membership: &Membership, effects: &mut Effects) {
        let Some(submission) = &mut self.submission else { return };
        let mark = submission.held.mark;
        let head = Expect::unchanged(self.head_row);
        let staged = Expect::unchanged(self.staged_row);
        submission.accepted = head.next_version();
        submission.marked = staged.next_version();
        let mut writes = vec![Write::put(HEAD, head, &mark), Write::put(STAGED, staged, &mark)];
        // A view that has changed may have a member that this instance has not asked.
        writes.extend(membership.checks());
        submission.stage = Stage::Accepting(effects.table(Operation::Write(writes)));
        // Until the outcome is known, the submitter is in doubt like every other member.
        let held = submission.held.clone();
        self.stage(held);
    }

    /// Puts the accepted submission in force and spreads the news.
    fn conclude(&mut self, membership: &Membership, effects: &mut Effects) -> bool {
        let Some(submission) = self.submission.take() else { return false };
        let mark = submission.held.mark;
        self.head_row = self.head_row.max(submission.accepted);
        self.staged_row = self.staged_row.max(submission.marked);
        for member in members(membership) {
            send(membership, &member.name, Message::Accepted(mark), effects);
        }
        answer(submission.ticket, Answer::Accepted { version: mark.version }, effects);
        self.adopt(submission.held)
    }
}

impl Submission {
    /// Returns the members of all regions that have not confirmed the document.
    fn missing<'a>(&self, membership: &'a Membership) -> Vec<&'a Identity> {
        members(membership)
            .filter(|member| !self.confirmed.contains(&(member.name.clone(), member.incarnation)))
            .collect()
    }
}

/// Returns the other members of all regions.
fn members(membership: &Membership) -> impl Iterator<Item = &Identity> {
    let own = &membership.identity().name;
    membership.views().flat_map(|view| &view.members).filter(move |member| member.name != *own)
}

fn pending(version: u64, missing: &[&Identity]) -> Answer {
    let mut regions: Vec<Arc<str>> = missing.iter().map(|member| member.region.clone()).collect();
    regions.sort();
    regions.dedup();
    Answer::Pending { version, regions }
}
