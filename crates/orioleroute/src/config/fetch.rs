//! Fetching the accepted configuration from the object store.
//!
//! The object of each version holds either a whole document or a change. An instance that is behind
//! walks back from the accepted version until it finds a whole document or a change of its active
//! document.

use super::{Change, Config, VersionedDocument};
use crate::effect::Effects;
use crate::key::Ticket;
use crate::message::{Body, Mark, Proposal};
use crate::prelude::*;

/// How long a fetch may take before it is restarted.
const FETCH_TIMEOUT: Duration = Duration::from_secs(10);

/// A fetch in progress.
#[derive(Debug)]
pub(super) struct Fetch {
    target: Mark,
    ticket: Ticket,
    started_at: Instant,
    /// The proposals read so far, newest first.
    proposals: Vec<Proposal>,
}

impl Config {
    /// Starts to fetch an accepted version, unless that fetch is already in progress.
    pub(super) fn fetch(&mut self, now: Instant, target: Mark, effects: &mut Effects) {
        let in_progress = self
            .fetch
            .as_ref()
            .is_some_and(|fetch| fetch.target == target && now < fetch.started_at + FETCH_TIMEOUT);
        if !in_progress {
            let ticket = read_object(target, effects);
            self.fetch = Some(Fetch { target, ticket, started_at: now, proposals: Vec::new() });
        }
    }

    /// Handles an object that was read, and returns whether a new document became active.
    pub fn handle_object_read(
        &mut self,
        ticket: Ticket,
        value: Option<&str>,
        effects: &mut Effects,
    ) -> bool {
        let Some(mut fetch) = self.fetch.take_if(|fetch| fetch.ticket == ticket) else {
            return false;
        };
        let proposal = value.and_then(|text| serde_json::from_str::<Proposal>(text).ok());
        let Some(proposal) = proposal else { return false };
        let base = proposal.base;
        let reached = matches!(proposal.body, Body::Whole(_)) || base == self.mark();
        fetch.proposals.push(proposal);
        if !reached {
            fetch.ticket = read_object(base, effects);
            self.fetch = Some(fetch);
            return false;
        }
        self.activate_all(&fetch.proposals)
    }

    /// Activates the proposals of a fetch, oldest first.
    fn activate_all(&mut self, proposals: &[Proposal]) -> bool {
        let mut changed = false;
        for proposal in proposals.iter().rev() {
            let Some(versioned) = self.resolve(proposal) else { break };
            changed |= self.activate(versioned);
        }
        changed
    }

    /// Returns the proposal for a document: its change if it has one and `whole` is false.
    pub(super) fn to_proposal(versioned: &VersionedDocument, whole: bool) -> Proposal {
        let mark = versioned.mark;
        match versioned.change.clone().filter(|_| !whole) {
            Some(Change { base, delta }) => Proposal { mark, base, body: Body::Change(delta) },
            None => {
                let base = versioned.change.as_ref().map_or(Mark::default(), |change| change.base);
                Proposal { mark, base, body: Body::Whole(versioned.document.clone()) }
            }
        }
    }
}

/// Returns the key of the object that holds a version.
pub(super) fn object_key(mark: Mark) -> Arc<str> {
    format!("config/{}-{:016x}.json", mark.version, mark.token).into()
}

fn read_object(mark: Mark, effects: &mut Effects) -> Ticket {
    let ticket = effects.ticket();
    effects.push(Effect::ReadObject { ticket, key: object_key(mark) });
    ticket
}
