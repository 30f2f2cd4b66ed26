//! Callers and the steps of their requests.

use orioleroute::key;
use orioleroute::prelude::Event;
use std::time::Duration;

use orioleroute::request::{Failure, Progress, Refusal, Spec, Step, Target};

use super::queue::{Delivery, End, Place};
use super::{LOCAL_DELAY_US, REMOTE_DELAY_US, Record, World, node_of};

/// What a caller asked.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Asked {
    /// The node asked.
    pub node: usize,
    /// The model or service named.
    pub target: Target,
    /// Whether it may be sent again.
    pub repeatable: bool,
    /// The idempotency key.
    pub idempotency: Option<String>,
    /// How long the caller waits.
    pub timeout: Duration,
}

/// How long a caller waits that does not say so.
const TIMEOUT: Duration = Duration::from_secs(30);

/// How often a stopped process is looked at again.
const FROZEN: Duration = Duration::from_millis(50);

/// What a caller had as its final answer.
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    /// The whole answer, by this served name.
    Whole(String),
    /// A refusal.
    Refused(Refusal),
    /// A part of an answer that then broke off.
    Broken,
    /// The node died.
    Lost,
}

impl World {
    /// Lets a caller ask a node and returns the number of the request.
    pub fn ask(&mut self, node: usize, spec: Spec) -> usize {
        let number = self.asked.len();
        let asked = Asked {
            node,
            target: spec.target.clone(),
            repeatable: spec.repeatable,
            idempotency: spec.idempotency.as_deref().map(str::to_owned),
            timeout: spec.timeout.unwrap_or(TIMEOUT),
        };
        self.asked.push(asked.clone());
        self.record(Record::Asked(number, asked));
        if !self.arrive(node, spec, number, None) {
            self.record(Record::Answered(number, Outcome::Lost));
        }
        number
    }

    /// Returns the final answer to a request, if it has one.
    pub fn outcome(&self, number: usize) -> Option<&Outcome> {
        self.records.iter().find_map(|(_, record)| match record {
            Record::Answered(answered, outcome) if *answered == number => Some(outcome),
            _ => None,
        })
    }

    fn arrive(
        &mut self,
        node: usize,
        spec: Spec,
        number: usize,
        parent: Option<(usize, key::Request)>,
    ) -> bool {
        let Some(core) = &mut self.nodes[node].core else { return false };
        let request = core.admit();
        self.places.insert((node, request), number);
        if let Some(parent) = parent {
            self.parents.insert((node, request), parent);
        }
        self.feed(node, Event::Arrived { request, spec });
        true
    }

    pub(super) fn arrive_forwarded(&mut self, node: usize, place: Place, spec: Spec) {
        if !self.is_current(place) {
            return;
        }
        let from = (place.node, place.request);
        let Some(number) = self.places.get(&from).copied() else { return };
        if !self.arrive(node, spec, number, Some(from)) {
            self.take_run_answer(place, End::Failed(Failure::Unsent));
        }
    }

    /// Starts an attempt, which its node gives up at the caller's deadline.
    fn attempt(&mut self, node: usize, request: key::Request, timeout: Duration) -> Place {
        self.next_attempt += 1;
        let attempt = self.next_attempt;
        self.attempts.insert((node, request), attempt);
        let incarnation = self.nodes[node].identity.incarnation;
        let place = Place { node, incarnation, request, attempt };
        self.queue.push(self.now + timeout, Delivery::Timeout(place));
        place
    }

    fn is_current(&self, place: Place) -> bool {
        self.is_alive(place.node, place.incarnation)
            && self.attempts.get(&(place.node, place.request)) == Some(&place.attempt)
    }

    /// Gives up an attempt that is still under way.
    pub(super) fn time_out(&mut self, place: Place) {
        if !self.is_current(place) {
            return;
        }
        if self.nodes[place.node].frozen {
            return self.queue.push(self.now + FROZEN, Delivery::Timeout(place));
        }
        let above = (place.node, place.request);
        self.abandon(|parent| parent == above);
        self.take_run_answer(place, End::Failed(Failure::Broken));
    }

    /// Closes the connections to nodes that requests were passed on to.
    fn abandon(&mut self, gone: impl Fn((usize, key::Request)) -> bool) {
        let children = self.parents.iter().filter(|(_, parent)| gone(**parent));
        for child in children.map(|(child, _)| *child).collect::<Vec<_>>() {
            self.parents.remove(&child);
            self.places.remove(&child);
            self.tell_progress(child.0, child.1, Progress::CallerDisconnected);
        }
    }

    /// Takes the end of an attempt, once its node runs.
    pub(super) fn take_run_answer(&mut self, place: Place, end: End) {
        if !self.is_current(place) {
            return;
        }
        if self.nodes[place.node].frozen {
            return self.queue.push(self.now + FROZEN, Delivery::RunAnswer { place, end });
        }
        let (node, request) = (place.node, place.request);
        self.attempts.remove(&(node, request));
        match end {
            End::Whole(name) => {
                self.finish(node, request, Outcome::Whole(name));
                self.tell_progress(node, request, Progress::Finished);
            }
            End::BrokenOff => {
                self.finish(node, request, Outcome::Broken);
                // The connection is closed, so that whatever the core decides reaches nobody.
                self.finished.remove(&(node, request));
                self.tell_progress(node, request, Progress::ResponseStarted);
                self.tell_progress(node, request, Progress::Failed(Failure::Broken));
            }
            End::Failed(failure) => {
                self.tell_progress(node, request, Progress::Failed(failure));
            }
        }
    }

    pub(super) fn take_step(&mut self, node: usize, request: key::Request, step: Step) {
        let Some(number) = self.places.get(&(node, request)).copied() else {
            return self.take_late_step(node, request, step);
        };
        match step {
            Step::Dispatch(dispatch) => {
                let at = self.now + self.delay(LOCAL_DELAY_US);
                let version = self.nodes[node].core.as_ref().map_or(0, |core| core.version());
                let asked = number;
                let place = self.attempt(node, request, dispatch.timeout);
                self.queue.push(at, Delivery::Dispatch { place, version, dispatch, asked });
            }
            Step::Forward { address, timeout, queue_timeout, may_have_run, .. } => {
                let to = node_of(address);
                let Some(core) = &self.nodes[node].core else { return };
                let Some(held) = core.requests().get(request) else { return };
                let mut spec = held.spec.clone();
                let left = held.deadline.since(self.now + self.nodes[node].skew);
                spec.hops += 1;
                spec.may_have_run = may_have_run;
                spec.timeout = Some(timeout);
                spec.queue_timeout = Some(queue_timeout);
                let local = self.nodes[node].identity.region == self.nodes[to].identity.region;
                let at =
                    self.now + self.delay(if local { LOCAL_DELAY_US } else { REMOTE_DELAY_US });
                if self.cuts.contains(&(node, to)) {
                    let progress = Progress::Failed(Failure::Unsent);
                    return self.tell_progress(node, request, progress);
                }
                let from = self.attempt(node, request, left);
                self.queue.push(at, Delivery::Arrive { node: to, from, spec });
            }
            Step::Refuse(refusal) => self.finish(node, request, Outcome::Refused(refusal)),
        }
    }

    /// Notes a second answer to a request that has had its final one.
    fn take_late_step(&mut self, node: usize, request: key::Request, step: Step) {
        let finished = self.finished.get(&(node, request)).copied();
        if let (Some(number), Step::Refuse(refusal)) = (finished, step) {
            self.record(Record::Answered(number, Outcome::Refused(refusal)));
        }
    }

    /// Tells a node, and a caller whose answer is complete, how a request goes on.
    pub(super) fn tell_progress(&mut self, node: usize, request: key::Request, progress: Progress) {
        let known = self.nodes[node]
            .core
            .as_ref()
            .is_some_and(|core| core.requests().get(request).is_some());
        if known {
            self.feed(node, Event::Progress { request, progress });
        }
    }

    /// Passes the end of a request back to where it came from.
    fn finish(&mut self, node: usize, request: key::Request, outcome: Outcome) {
        let Some(number) = self.places.remove(&(node, request)) else { return };
        self.finished.insert((node, request), number);
        match self.parents.remove(&(node, request)) {
            Some((parent, above)) if self.cuts.contains(&(node, parent)) => {
                self.attempts.remove(&(parent, above));
                self.tell_progress(parent, above, Progress::Failed(Failure::Broken));
            }
            Some((parent, above)) => {
                self.attempts.remove(&(parent, above));
                self.finish(parent, above, outcome);
                self.tell_progress(parent, above, Progress::Finished);
            }
            None => self.record(Record::Answered(number, outcome)),
        }
    }

    /// Breaks the connections of the callers and forwarding nodes of a dead node.
    pub(super) fn lose_callers_of(&mut self, node: usize) {
        // The next process may give its requests the same keys.
        self.finished.retain(|(at, _), _| *at != node);
        self.abandon(|parent| parent.0 == node);
        let lost: Vec<_> = self.places.keys().filter(|(at, _)| *at == node).copied().collect();
        for place in lost {
            let Some(number) = self.places.remove(&place) else { continue };
            match self.parents.remove(&place) {
                Some((parent, above)) => {
                    self.attempts.remove(&(parent, above));
                    self.tell_progress(parent, above, Progress::Failed(Failure::Broken));
                }
                None => self.record(Record::Answered(number, Outcome::Lost)),
            }
        }
    }
}
