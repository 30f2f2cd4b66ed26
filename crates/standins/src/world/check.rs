//! The promises, checked against what really happened.
//!
//! The checker reads [`Record`]s only; it knows nothing of the cores' insides.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use orioleroute::prelude::Instant;
use orioleroute::request::{Ran, Target};

use super::{Asked, Outcome, Record};

/// How soon an accepted configuration is in force everywhere.
pub const IN_FORCE: Duration = Duration::from_secs(4);

/// How soon a leaving upstream receives no new work.
pub const LEAVING: Duration = Duration::from_secs(3);

/// A promise of the brief.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Promise {
    /// An answer is by exactly the revision that the request named.
    Revision,
    /// A revision in use is never evicted.
    InUse,
    /// A caller has at most one final answer.
    OneAnswer,
    /// "Not run" is said only when the request did not run.
    NotRun,
    /// A request that is not repeatable runs at most once.
    AtMostOnce,
    /// A leaving upstream receives no new work after [`LEAVING`].
    Leaving,
    /// Orders to an engine never go back to an older view.
    Fencing,
    /// An accepted configuration is in force everywhere after [`IN_FORCE`].
    InForce,
    /// A configuration never reverts.
    NoRevert,
}

/// A broken promise.
#[derive(Clone, Debug, PartialEq)]
pub struct Breach {
    /// The promise.
    pub promise: Promise,
    /// When it was broken.
    pub at: Instant,
    /// What happened.
    pub what: String,
}

/// Returns every breach in what happened.
pub fn breaches(records: &[(Instant, Record)]) -> Vec<Breach> {
    let mut checker = Checker::default();
    for (at, record) in records {
        checker.take(*at, record);
    }
    checker.breaches
}

#[derive(Default)]
struct Checker {
    breaches: Vec<Breach>,
    asked: BTreeMap<usize, Asked>,
    answered: BTreeSet<usize>,
    began: BTreeSet<usize>,
    not_run: BTreeSet<usize>,
    runs: BTreeMap<String, u32>,
    leaving: BTreeMap<usize, Instant>,
    fencing: BTreeMap<usize, u64>,
    accepted: Vec<(Instant, u64)>,
    versions: BTreeMap<(usize, u64), u64>,
}

impl Checker {
    fn take(&mut self, at: Instant, record: &Record) {
        match record {
            Record::Asked(number, asked) => {
                self.asked.insert(*number, asked.clone());
            }
            Record::Answered(number, outcome) => self.take_answer(at, *number, outcome),
            Record::Began { asked, upstream, name, version, node } => {
                self.take_run(at, *asked, *upstream, name, *version, *node);
            }
            Record::Ordered { upstream, load, name, running, .. } => {
                if !load && *running > 0 {
                    let what = format!("{name} on upstream {upstream} with {running} running");
                    self.breach(Promise::InUse, at, what);
                }
            }
            Record::Took { upstream, fencing } => {
                let last = self.fencing.entry(*upstream).or_default();
                if fencing < last {
                    let what = format!("upstream {upstream}: {fencing} after {last}");
                    self.breach(Promise::Fencing, at, what);
                } else {
                    *last = *fencing;
                }
            }
            Record::Leaving(upstream) => {
                self.leaving.entry(*upstream).or_insert(at);
            }
            Record::Accepted(version) => self.accepted.push((at, *version)),
            Record::InForce { node, incarnation, version } => {
                let last = self.versions.insert((*node, *incarnation), *version);
                if last.is_some_and(|last| last > *version) {
                    let what = format!("node {node}: {version} after {last:?}");
                    self.breach(Promise::NoRevert, at, what);
                }
            }
        }
    }

    fn take_answer(&mut self, at: Instant, number: usize, outcome: &Outcome) {
        if !self.answered.insert(number) {
            self.breach(Promise::OneAnswer, at, format!("request {number} had two answers"));
        }
        match outcome {
            Outcome::Whole(name) => {
                let target = self.asked.get(&number).map(|asked| &asked.target);
                let Some(Target::Model(model)) = target else { return };
                let named = match model.contains('@') {
                    true => **model == **name,
                    false => name.split('@').next() == Some(model),
                };
                if !named {
                    let what = format!("request {number} named {model}, answered by {name}");
                    self.breach(Promise::Revision, at, what);
                }
            }
            Outcome::Refused(refusal) if refusal.ran == Ran::NotRun => {
                if self.began.contains(&number) {
                    let what = format!("request {number} was told \"not run\" and ran");
                    self.breach(Promise::NotRun, at, what);
                }
                self.not_run.insert(number);
            }
            _ => {}
        }
    }

    fn take_run(
        &mut self,
        at: Instant,
        number: usize,
        upstream: usize,
        name: &str,
        version: u64,
        node: usize,
    ) {
        self.began.insert(number);
        if self.not_run.contains(&number) {
            let what = format!("request {number} was told \"not run\" and ran later");
            self.breach(Promise::NotRun, at, what);
        }
        if self.leaving.get(&upstream).is_some_and(|since| at > *since + LEAVING) {
            let what = format!("request {number} on leaving upstream {upstream}");
            self.breach(Promise::Leaving, at, what);
        }
        let due = self.accepted.iter().filter(|(since, _)| at > *since + IN_FORCE);
        if let Some(newest) = due.map(|(_, version)| *version).max()
            && newest > version
        {
            let what = format!("{name} run by node {node} at version {version}, not {newest}");
            self.breach(Promise::InForce, at, what);
        }
        let Some(asked) = self.asked.get(&number).filter(|asked| !asked.repeatable) else { return };
        let id = asked.idempotency.clone().unwrap_or_else(|| format!("request {number}"));
        let runs = self.runs.entry(id.clone()).or_default();
        *runs += 1;
        if *runs > 1 {
            self.breach(Promise::AtMostOnce, at, format!("{id} ran again"));
        }
    }

    fn breach(&mut self, promise: Promise, at: Instant, what: String) {
        self.breaches.push(Breach { promise, at, what });
    }
}
