//! Catching up with the accepted configuration from the object store.
//!
//! Each version's object holds a whole document or a change. An instance that is behind walks back
//! from the accepted version until it meets a whole document or the one that it has in force.

use super::{Change, Config, Held};
use crate::effect::Effects;
use crate::key::Ticket;
use crate::message::{Body, Mark, Proposal};
use crate::prelude::*;

/// How long a walk is waited for before it starts anew.
const TIMEOUT: Duration = Duration::from_secs(10);

/// A walk under way.
#[derive(Debug)]
pub(super) struct Fetch {
    target: Mark,
    ticket: Ticket,
    since: Instant,
    /// The changes passed on the way, the newest first.
    changes: Vec<Proposal>,
}

impl Config {
    /// Starts to fetch an accepted version, unless that is under way.
    pub(super) fn fetch(&mut self, now: Instant, target: Mark, effects: &mut Effects) {
        let under_way = self
            .fetch
            .as_ref()
            .is_some_and(|fetch| fetch.target == target && now < fetch.since + TIMEOUT);
        if !under_way {
            let ticket = get(target, effects);
            self.fetch = Some(Fetch { target, ticket, since: now, changes: Vec::new() });
        }
    }

    /// Takes an object, and returns whether a new document is in force.
    pub fn take_got(&mut self, ticket: Ticket, value: Option<&str>, effects: &mut Effects) -> bool {
        let Some(mut fetch) = self.fetch.take_if(|fetch| fetch.ticket == ticket) else {
            return false;
        };
        let proposal = value.and_then(|text| serde_json::from_str::<Proposal>(text).ok());
        let Some(proposal) = proposal else { return false };
        let base = proposal.base;
        let reached = matches!(proposal.body, Body::Whole(_)) || base == self.mark();
        fetch.changes.push(proposal);
        if !reached {
            fetch.ticket = get(base, effects);
            self.fetch = Some(fetch);
            return false;
        }
        self.adopt_all(&fetch.changes)
    }

    /// Applies the changes of a walk, the oldest first.
    fn adopt_all(&mut self, changes: &[Proposal]) -> bool {
        let mut changed = false;
        for proposal in changes.iter().rev() {
            let Some(held) = self.resolve(proposal) else { break };
            changed |= self.adopt(held);
        }
        changed
    }

    /// Returns a document as it is passed on, whole or as a change if it is one.
    pub(super) fn proposal(held: &Held, whole: bool) -> Proposal {
        let mark = held.mark;
        match held.change.clone().filter(|_| !whole) {
            Some(Change { base, delta }) => Proposal { mark, base, body: Body::Change(delta) },
            None => {
                let base = held.change.as_ref().map_or(Mark::default(), |change| change.base);
                Proposal { mark, base, body: Body::Whole(held.document.clone()) }
            }
        }
    }
}

/// Returns the key of the object that holds a version.
pub(super) fn key_of(mark: Mark) -> Arc<str> {
    format!("config/{}-{:016x}.json", mark.version, mark.token).into()
}

fn get(mark: Mark, effects: &mut Effects) -> Ticket {
    let ticket = effects.ticket();
    effects.push(Effect::Get { ticket, key: key_of(mark) });
    ticket
}
