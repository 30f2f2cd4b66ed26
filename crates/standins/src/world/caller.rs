//! Callers and the steps of their requests.

use orioleroute::key;
use orioleroute::prelude::Event;
use orioleroute::request::{Progress, Refusal, Spec, Step, Target};

use super::queue::Delivery;
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
}

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

    pub(super) fn arrive_forwarded(
        &mut self,
        node: usize,
        from: (usize, key::Request),
        spec: Spec,
    ) {
        let Some(number) = self.places.get(&from).copied() else { return };
        if !self.arrive(node, spec, number, Some(from)) {
            let failure = orioleroute::request::Failure::Unsent;
            self.tell_progress(from.0, from.1, Progress::Failed(failure));
        }
    }

    pub(super) fn take_step(&mut self, node: usize, request: key::Request, step: Step) {
        let Some(number) = self.places.get(&(node, request)).copied() else { return };
        let incarnation = self.nodes[node].identity.incarnation;
        match step {
            Step::Dispatch(dispatch) => {
                let at = self.now + self.delay(LOCAL_DELAY_US);
                let version = self.nodes[node].core.as_ref().map_or(0, |core| core.version());
                let asked = number;
                let delivery =
                    Delivery::Dispatch { node, incarnation, version, request, dispatch, asked };
                self.queue.push(at, delivery);
            }
            Step::Forward { address, patience, may_have_run, .. } => {
                let to = node_of(address);
                let Some(core) = &self.nodes[node].core else { return };
                let Some(held) = core.requests().get(request) else { return };
                let mut spec = held.spec.clone();
                spec.hops += 1;
                spec.may_have_run = may_have_run;
                spec.patience = Some(patience);
                let local = self.nodes[node].identity.region == self.nodes[to].identity.region;
                let at =
                    self.now + self.delay(if local { LOCAL_DELAY_US } else { REMOTE_DELAY_US });
                let from = (node, request);
                if self.cuts.contains(&(node, to)) {
                    let progress = Progress::Failed(orioleroute::request::Failure::Unsent);
                    return self.tell_progress(node, request, progress);
                }
                self.queue.push(at, Delivery::Arrive { node: to, from, spec });
            }
            Step::Refuse(refusal) => self.finish(node, request, Outcome::Refused(refusal)),
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

    /// Notes the whole answer of an upstream to a request that is still waited for.
    pub(super) fn answered_by(&mut self, node: usize, request: key::Request, name: String) {
        if self.places.contains_key(&(node, request)) {
            self.finish(node, request, Outcome::Whole(name));
        }
    }

    /// Passes the end of a request back to where it came from.
    fn finish(&mut self, node: usize, request: key::Request, outcome: Outcome) {
        let Some(number) = self.places.remove(&(node, request)) else { return };
        match self.parents.remove(&(node, request)) {
            Some((parent, above)) => {
                self.finish(parent, above, outcome);
                self.tell_progress(parent, above, Progress::Finished);
            }
            None => self.record(Record::Answered(number, outcome)),
        }
    }

    /// Breaks the connections of the callers and forwarding nodes of a dead node.
    pub(super) fn lose_callers_of(&mut self, node: usize) {
        let lost: Vec<_> = self.places.keys().filter(|(at, _)| *at == node).copied().collect();
        for place in lost {
            let Some(number) = self.places.remove(&place) else { continue };
            match self.parents.remove(&place) {
                Some((parent, above)) => {
                    let failure = orioleroute::request::Failure::Broken;
                    self.tell_progress(parent, above, Progress::Failed(failure));
                }
                None => self.record(Record::Answered(number, Outcome::Lost)),
            }
        }
    }
}
