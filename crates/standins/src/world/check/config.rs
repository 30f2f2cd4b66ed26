//! The accepted configuration versions, and whether the answers to operators agree with them.

use std::collections::{BTreeMap, BTreeSet};

use orioleroute::operator::Answer;
use orioleroute::prelude::Instant;
use orioleroute::request::Target;
use serde_json::Value;

use super::{CONFIG_PROPAGATION_LIMIT, Invariant, Violation};

/// The accepted versions and the submissions, each with the key of the object that holds its document.
#[derive(Default)]
pub struct ConfigHistory {
    /// When each version was accepted, its number and its object.
    accepted_versions: Vec<(Instant, u64, String)>,
    /// Objects by the ticket of the submission.
    submitted: BTreeMap<u64, String>,
    /// For each object, the default version and all versions of each adapter.
    documents: BTreeMap<String, BTreeMap<String, (String, Vec<String>)>>,
    /// Objects of the submissions that were answered as not accepted.
    reported_not_accepted: BTreeSet<String>,
}

impl ConfigHistory {
    /// Records that a submission was stored as an object.
    pub fn record_submission(&mut self, ticket: u64, object: &str, document: &str) {
        self.documents.insert(object.to_owned(), adapters(document));
        self.submitted.insert(ticket, object.to_owned());
    }

    /// Returns the newest accepted version, or zero if there is none.
    pub fn newest(&self) -> u64 {
        self.accepted_versions.iter().map(|(_, version, _)| *version).max().unwrap_or_default()
    }

    /// Returns the newest version that has to be active on every node at a time.
    pub fn due_version(&self, at: Instant) -> u64 {
        let due = self
            .accepted_versions
            .iter()
            .filter(|(since, ..)| at > *since + CONFIG_PROPAGATION_LIMIT);
        due.map(|(_, version, _)| *version).max().unwrap_or_default()
    }

    /// Returns whether a version allows a served name to answer requests for a target.
    pub fn allows(&self, version: u64, target: &Target, name: &str) -> bool {
        let Target::Model(model) = target else { return true };
        let accepted = self.accepted_versions.iter().find(|(_, accepted, _)| *accepted == version);
        let Some(adapters) = accepted.and_then(|(.., object)| self.documents.get(object)) else {
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

    /// Records that a version was accepted, and returns the violations.
    pub fn record_accepted(&mut self, at: Instant, version: u64, object: &str) -> Vec<Violation> {
        let mut violations = Vec::new();
        let newest = self.newest();
        if version <= newest {
            let description = format!("{object} was accepted with a version not above {newest}");
            violations.push(Violation { invariant: Invariant::NoFork, at, description });
        }
        if self.reported_not_accepted.contains(object) {
            let description =
                format!("{object} was accepted after it was answered as not accepted");
            violations.push(Violation { invariant: Invariant::AccurateAnswers, at, description });
        }
        self.accepted_versions.push((at, version, object.to_owned()));
        violations
    }

    /// Records the answer to a submission, and describes the violation if it does not match what was
    /// accepted.
    pub fn record_answer(&mut self, ticket: u64, answer: &Answer) -> Option<String> {
        let object = self.submitted.get(&ticket)?.clone();
        let accepted = self.accepted_versions.iter().find(|(.., key)| *key == object);
        match answer {
            Answer::Accepted { version } => {
                let matches_record = accepted.is_some_and(|(_, accepted, _)| accepted == version);
                (!matches_record)
                    .then(|| format!("{object} was not accepted as the version in its answer"))
            }
            Answer::Failed { reason } if !reason.contains("nothing was accepted") => None,
            Answer::Conflict { .. } | Answer::Failed { .. } | Answer::Invalid { .. } => {
                self.reported_not_accepted.insert(object.clone());
                accepted.map(|_| format!("{object} was answered as not accepted but was"))
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
