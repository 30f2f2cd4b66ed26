//! The promises, checked against what really happened.
//!
//! The checker reads [`Record`]s only; it knows nothing of the cores' insides.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use orioleroute::operator::Answer;
use orioleroute::prelude::Instant;
use orioleroute::request::{Ran, Target};

use super::{Asked, Outcome, Record};

mod config;

/// How soon an accepted configuration is in force everywhere.
pub const IN_FORCE: Duration = Duration::from_secs(4);

/// How soon a leaving upstream receives no new work.
pub const LEAVING: Duration = Duration::from_secs(3);

/// How long after a caller's deadline its answer may still be on its way.
pub const GRACE: Duration = Duration::from_millis(500);

/// The part of a caller's timeout after which a refusal comes too late, in percent.
pub const HELD_PERCENT: u32 = 80;

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
    /// A version is accepted once, and names one document.
    NoFork,
    /// What an operator is told of a submission is true.
    Truth,
    /// A caller of a node that lives has its final answer by its deadline and [`GRACE`].
    Answered,
    /// A refusal of what never began to run does not wait until near the deadline; see
    /// [`HELD_PERCENT`].
    Prompt,
    /// A graceful stop cuts off no request.
    GracefulStop,
    /// Once all faults are mended, all nodes have the accepted version and engines what it allows.
    Converged,
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

/// The promises, checked record by record.
#[derive(Default)]
pub struct Checker {
    breaches: Vec<Breach>,
    asked: BTreeMap<usize, (Instant, Asked)>,
    answered: BTreeSet<usize>,
    frozen: BTreeSet<usize>,
    last_frozen: Option<Instant>,
    last_graceful: Option<(Instant, usize)>,
    config: config::Accepted,
    began: BTreeSet<usize>,
    not_run: BTreeSet<usize>,
    runs: BTreeMap<String, u32>,
    leaving: BTreeMap<usize, Instant>,
    fencing: BTreeMap<usize, u64>,
    versions: BTreeMap<(usize, u64), u64>,
}

impl Checker {
    /// Returns every breach so far, the first one first.
    pub fn breaches(&self) -> &[Breach] {
        &self.breaches
    }

    /// Takes what happened next.
    pub fn take(&mut self, at: Instant, record: &Record) {
        match record {
            Record::Asked(number, asked) => {
                self.asked.insert(*number, (at, asked.clone()));
            }
            Record::Answered(number, outcome) => {
                self.take_answer(at, *number, outcome);
                self.check_time(at, *number, outcome);
            }
            Record::Began { asked, upstream, name, version, node } => {
                self.take_run(at, *asked, *upstream, name, *version, *node);
            }
            Record::Ordered { upstream, load, name, running, .. } => {
                if !load && *running > 0 {
                    let what = format!("{name} on upstream {upstream} with {running} running");
                    self.breach(Promise::InUse, at, what);
                }
            }
            Record::Took { upstream, fencing } => self.take_fencing(at, *upstream, *fencing),
            Record::Leaving(upstream) => {
                self.leaving.entry(*upstream).or_insert(at);
            }
            Record::Submitted { ticket, object, document } => {
                self.config.submit(*ticket, object, document);
            }
            Record::Head { version, object } => {
                let breaches = self.config.take_head(at, *version, object);
                self.breaches.extend(breaches);
            }
            Record::Told { ticket, answer } => self.take_told(at, *ticket, answer),
            Record::InForce { node, incarnation, version } => {
                let last = self.versions.insert((*node, *incarnation), *version);
                if last.is_some_and(|last| last > *version) {
                    let what = format!("node {node}: {version} after {last:?}");
                    self.breach(Promise::NoRevert, at, what);
                }
            }
            Record::Frozen(node) => {
                self.frozen.insert(*node);
            }
            Record::Woken(node) => self.thaw(at, *node),
            Record::Ended { node, graceful } => {
                self.thaw(at, *node);
                self.last_graceful = graceful.then_some((at, *node));
            }
            Record::Quiet { versions, strays } => self.take_quiet(at, versions, strays),
        }
    }

    fn thaw(&mut self, at: Instant, node: usize) {
        if self.frozen.remove(&node) {
            self.last_frozen = Some(at);
        }
    }

    fn take_fencing(&mut self, at: Instant, upstream: usize, fencing: u64) {
        let last = self.fencing.entry(upstream).or_default();
        if fencing < *last {
            let what = format!("upstream {upstream}: {fencing} after {last}");
            self.breach(Promise::Fencing, at, what);
        } else {
            *last = fencing;
        }
    }

    fn take_told(&mut self, at: Instant, ticket: u64, answer: &Answer) {
        if let Some(what) = self.config.check_told(ticket, answer) {
            self.breach(Promise::Truth, at, what);
        }
    }

    fn take_quiet(&mut self, at: Instant, versions: &[(usize, u64)], strays: &[(usize, String)]) {
        let newest = self.config.newest();
        for (node, version) in versions {
            if *version != newest {
                let what = format!("node {node} is at {version}, accepted is {newest}");
                self.breach(Promise::Converged, at, what);
            }
        }
        for (engine, name) in strays {
            self.breach(Promise::Converged, at, format!("upstream {engine} still holds {name}"));
        }
        let unanswered = self.asked.keys().filter(|number| !self.answered.contains(number));
        for number in unanswered.copied().collect::<Vec<_>>() {
            self.breach(Promise::Answered, at, format!("request {number} has no answer"));
        }
    }

    /// Checks when an answer came, unless some process was stopped while it was waited for.
    fn check_time(&mut self, at: Instant, number: usize, outcome: &Outcome) {
        let Some((since, asked)) = self.asked.get(&number) else { return };
        let (since, timeout, node) = (*since, asked.timeout, asked.node);
        if *outcome == Outcome::Lost {
            if self.last_graceful == Some((at, node)) && since < at {
                let what = format!("request {number} was cut off by node {node}");
                self.breach(Promise::GracefulStop, at, what);
            }
            return;
        }
        if !self.frozen.is_empty() || self.last_frozen.is_some_and(|last| last >= since) {
            return;
        }
        let took = at.since(since);
        if took > timeout + GRACE {
            let what = format!("request {number} had its answer after {took:?}");
            self.breach(Promise::Answered, at, what);
        }
        // What an upstream has begun to run may be answered up to the deadline.
        let held = took * 100 > timeout * HELD_PERCENT && !self.began.contains(&number);
        if matches!(outcome, Outcome::Refused(_)) && held {
            let what = format!("request {number} was held for {took:?}, then {outcome:?}");
            self.breach(Promise::Prompt, at, what);
        }
    }

    fn take_answer(&mut self, at: Instant, number: usize, outcome: &Outcome) {
        if !self.answered.insert(number) {
            self.breach(Promise::OneAnswer, at, format!("request {number} had two answers"));
        }
        match outcome {
            Outcome::Whole(name) => {
                let target = self.asked.get(&number).map(|(_, asked)| &asked.target);
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
        if let Some(what) = self.check_version(at, number, name, version) {
            self.breach(Promise::InForce, at, format!("{what}, by node {node}"));
        }
        let asked = self.asked.get(&number).map(|(_, asked)| asked);
        let Some(asked) = asked.filter(|asked| !asked.repeatable) else { return };
        let id = asked.idempotency.clone().unwrap_or_else(|| format!("request {number}"));
        let runs = self.runs.entry(id.clone()).or_default();
        *runs += 1;
        if *runs > 1 {
            self.breach(Promise::AtMostOnce, at, format!("{id} ran again"));
        }
    }

    /// Returns what is wrong if no configuration that was due lets a name answer a request.
    ///
    /// A request keeps the revision that it named when it arrived, while a later version comes into
    /// force; a node that is behind may still answer what the later version does not change.
    fn check_version(
        &self,
        at: Instant,
        number: usize,
        name: &str,
        version: u64,
    ) -> Option<String> {
        let (since, asked) = self.asked.get(&number)?;
        let due = self.config.due(at);
        let (oldest, newest) = (self.config.due(*since), self.config.newest());
        let resolved = (oldest..=newest).any(|held| self.config.allows(held, &asked.target, name));
        let behind = version < due && !self.config.allows(due, &asked.target, name);
        let what = format!("{name} run for {:?} at version {version}", asked.target);
        (!resolved || behind).then(|| format!("{what}, due was {oldest} and then {due}"))
    }

    fn breach(&mut self, promise: Promise, at: Instant, what: String) {
        self.breaches.push(Breach { promise, at, what });
    }
}
