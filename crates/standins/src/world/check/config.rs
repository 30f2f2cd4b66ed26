//! What the table accepted and what operators were told of it.

use std::collections::{BTreeMap, BTreeSet};

use orioleroute::operator::Answer;
use orioleroute::prelude::Instant;
use orioleroute::request::Target;
use serde_json::Value;

use super::{Breach, IN_FORCE, Promise};

/// The accepted versions, and the submissions by the objects that hold their documents.
#[derive(Default)]
pub struct Accepted {
    heads: Vec<(Instant, u64, String)>,
    submitted: BTreeMap<u64, String>,
    /// The default version and all versions of each adapter, by the object of the document.
    documents: BTreeMap<String, BTreeMap<String, (String, Vec<String>)>>,
    /// Objects of submissions whose operators were told that nothing was accepted.
    denied: BTreeSet<String>,
}

impl Accepted {
    /// Takes a submission that was stored as an object.
    pub fn submit(&mut self, ticket: u64, object: &str, document: &str) {
        self.documents.insert(object.to_owned(), adapters(document));
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

    /// Returns whether a version lets an upstream answer for a target under a served name.
    pub fn allows(&self, version: u64, target: &Target, name: &str) -> bool {
        let Target::Model(model) = target else { return true };
        let head = self.heads.iter().find(|(_, head, _)| *head == version);
        let Some(adapters) = head.and_then(|(.., object)| self.documents.get(object)) else {
            return true;
        };
        let (adapter, named) = match model.split_once('@') {
            Some((adapter, version)) => (adapter, Some(version)),
            None => (&**model, None),
        };
        adapters.get(adapter).is_some_and(|(default, versions)| {
            let version = named.unwrap_or(default);
            versions.iter().any(|known| known == version) && name == format!("{adapter}@{version}")
        })
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

/// Returns the default version and all versions of each adapter of a document.
fn adapters(document: &str) -> BTreeMap<String, (String, Vec<String>)> {
    let document: Value = serde_json::from_str(document).unwrap_or_default();
    let text = |value: &Value| value.as_str().unwrap_or_default().to_owned();
    let adapters = document["adapters"].as_array().into_iter().flatten();
    adapters
        .map(|adapter| {
            let versions = adapter["versions"].as_array().into_iter().flatten().map(text).collect();
            (text(&adapter["name"]), (text(&adapter["default"]), versions))
        })
        .collect()
}
