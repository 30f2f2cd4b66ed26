//! What the table accepted and what operators were told of it.

use std::collections::{BTreeMap, BTreeSet};

use orioleroute::operator::Answer;
use orioleroute::prelude::Instant;

use super::{Breach, IN_FORCE, Promise};

/// The accepted versions, and the submissions by the objects that hold their documents.
#[derive(Default)]
pub struct Accepted {
    heads: Vec<(Instant, u64, String)>,
    submitted: BTreeMap<u64, String>,
    /// Objects of submissions whose operators were told that nothing was accepted.
    denied: BTreeSet<String>,
}

impl Accepted {
    /// Takes a submission that was stored as an object.
    pub fn submit(&mut self, ticket: u64, object: &str) {
        self.submitted.insert(ticket, object.to_owned());
    }

    /// Returns the newest accepted version; zero before the first.
    pub fn newest(&self) -> u64 {
        self.heads.iter().map(|(_, version, _)| *version).max().unwrap_or_default()
    }

    /// Returns the newest version that has to be in force everywhere.
    pub fn due(&self, at: Instant) -> u64 {
        let due = self.heads.iter().filter(|(since, ..)| at > *since + IN_FORCE);
        due.map(|(_, version, _)| *version).max().unwrap_or_default()
    }

    /// Takes an acceptance, and returns what is wrong with it.
    pub fn take_head(&mut self, at: Instant, version: u64, object: &str) -> Vec<Breach> {
        let mut breaches = Vec::new();
        let newest = self.newest();
        if version <= newest {
            let what = format!("{object} was accepted after version {newest}");
            breaches.push(Breach { promise: Promise::NoFork, at, what });
        }
        if self.denied.contains(object) {
            let what = format!("{object} was accepted after its operator was told that it was not");
            breaches.push(Breach { promise: Promise::Truth, at, what });
        }
        self.heads.push((at, version, object.to_owned()));
        breaches
    }

    /// Takes what an operator was told, and returns what is untrue about it.
    pub fn check_told(&mut self, ticket: u64, answer: &Answer) -> Option<String> {
        let object = self.submitted.get(&ticket)?.clone();
        let accepted = self.heads.iter().find(|(.., head)| *head == object);
        match answer {
            Answer::Accepted { version } => {
                let true_of_head = accepted.is_some_and(|(_, head, _)| head == version);
                (!true_of_head).then(|| format!("{object} was called accepted and was not"))
            }
            Answer::Failed { reason } if !reason.contains("nothing was accepted") => None,
            Answer::Conflict { .. } | Answer::Failed { .. } | Answer::Invalid { .. } => {
                self.denied.insert(object.clone());
                accepted.map(|_| format!("{object} was called not accepted and was"))
            }
            _ => None,
        }
    }
}
