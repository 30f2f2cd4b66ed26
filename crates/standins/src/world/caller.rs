//! Callers, and the handling of their requests between nodes and upstreams.

use orioleroute::key;
use orioleroute::prelude::Event;
use std::time::Duration;

use orioleroute::request::{Failure, Progress, Refusal, Spec, Step, Target};

use super::queue::{Attempt, AttemptEnd, Delivery};
use super::{LOCAL_DELAY_US, REMOTE_DELAY_US, Record, World, node_of};

/// A caller's request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallerRequest {
    /// The node that it was sent to.
    pub node: usize,
    /// The model or service that it names.
    pub target: Target,
    /// Whether it may be sent to an upstream more than once.
    pub repeatable: bool,
    /// The idempotency key.
    pub idempotency: Option<String>,
    /// How long the caller waits.
    pub timeout: Duration,
}

/// Timeout of a caller whose request has none.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(30);

/// Interval at which the end of an attempt is delivered again while its node is paused.
const PAUSED_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// The final answer to a caller.
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    /// A complete answer, with the served name that it came from.
    Complete(String),
    /// A refusal.
    Refused(Refusal),
    /// A partial answer whose connection then broke.
    Broken,
    /// No answer, since the node is not running or its process exited.
    Lost,
}

impl World {
    /// Sends a caller's request to a node and returns its number.
    pub fn ask(&mut self, node: usize, spec: Spec) -> usize {
        let number = self.caller_requests.len();
        let request = CallerRequest {
            node,
            target: spec.target.clone(),
            repeatable: spec.repeatable,
            idempotency: spec.idempotency.as_deref().map(str::to_owned),
            timeout: spec.timeout.unwrap_or(DEFAULT_TIMEOUT),
        };
        self.caller_requests.push(request.clone());
        self.record(Record::RequestSent(number, request));
        if !self.deliver_request(node, spec, number, None) {
            self.record(Record::Answered(number, Outcome::Lost));
        }
        number
    }

    /// Returns the final answer to a request, if there is one yet.
    pub fn outcome(&self, number: usize) -> Option<&Outcome> {
        self.records.iter().find_map(|(_, record)| match record {
            Record::Answered(answered, outcome) if *answered == number => Some(outcome),
            _ => None,
        })
    }

    /// Passes a request to a node; returns `false` if the node is not running.
    fn deliver_request(
        &mut self,
        node: usize,
        spec: Spec,
        number: usize,
        parent: Option<(usize, key::Request)>,
    ) -> bool {
        let Some(core) = &mut self.nodes[node].core else { return false };
        let request = core.allocate_request();
        self.request_numbers.insert((node, request), number);
        if let Some(parent) = parent {
            self.parents.insert((node, request), parent);
        }
        self.handle_event(node, Event::Arrived { request, spec });
        true
    }

    pub(super) fn deliver_forwarded(&mut self, node: usize, attempt: Attempt, spec: Spec) {
        if !self.is_current(attempt) {
            return;
        }
        let from = (attempt.node, attempt.request);
        let Some(number) = self.request_numbers.get(&from).copied() else { return };
        if !self.deliver_request(node, spec, number, Some(from)) {
            self.end_attempt(attempt, AttemptEnd::Failed(Failure::Unsent));
        }
    }

    /// Starts an attempt, which fails after `timeout`.
    fn start_attempt(&mut self, node: usize, request: key::Request, timeout: Duration) -> Attempt {
        self.next_attempt += 1;
        let number = self.next_attempt;
        self.attempts.insert((node, request), number);
        let incarnation = self.nodes[node].identity.incarnation;
        let attempt = Attempt { node, incarnation, request, number };
        self.queue.push(self.now + timeout, Delivery::Timeout(attempt));
        attempt
    }

    /// Returns whether an attempt is the latest of its request and its process still runs.
    fn is_current(&self, attempt: Attempt) -> bool {
        self.is_alive(attempt.node, attempt.incarnation)
            && self.attempts.get(&(attempt.node, attempt.request)) == Some(&attempt.number)
    }

    /// Fails an attempt that is still in progress at its deadline.
    pub(super) fn time_out(&mut self, attempt: Attempt) {
        if !self.is_current(attempt) {
            return;
        }
        if self.nodes[attempt.node].paused {
            return self.queue.push(self.now + PAUSED_POLL_INTERVAL, Delivery::Timeout(attempt));
        }
        let parent_request = (attempt.node, attempt.request);
        self.disconnect_forwarded(|parent| parent == parent_request);
        self.end_attempt(attempt, AttemptEnd::Failed(Failure::Broken));
    }

    /// Closes the connections over which nodes forwarded the selected requests.
    fn disconnect_forwarded(&mut self, is_closed: impl Fn((usize, key::Request)) -> bool) {
        let children = self.parents.iter().filter(|(_, parent)| is_closed(**parent));
        for child in children.map(|(child, _)| *child).collect::<Vec<_>>() {
            self.parents.remove(&child);
            self.request_numbers.remove(&child);
            self.notify_progress(child.0, child.1, Progress::CallerDisconnected);
        }
    }

    /// Passes the result of an attempt to its node, once the node is not paused.
    pub(super) fn end_attempt(&mut self, attempt: Attempt, end: AttemptEnd) {
        if !self.is_current(attempt) {
            return;
        }
        if self.nodes[attempt.node].paused {
            return self
                .queue
                .push(self.now + PAUSED_POLL_INTERVAL, Delivery::AttemptEnded { attempt, end });
        }
        let (node, request) = (attempt.node, attempt.request);
        self.attempts.remove(&(node, request));
        match end {
            AttemptEnd::Complete(name) => {
                self.finish_request(node, request, Outcome::Complete(name));
                self.notify_progress(node, request, Progress::Finished);
            }
            AttemptEnd::Interrupted => {
                self.finish_request(node, request, Outcome::Broken);
                // The connection is closed, so nothing that the core decides reaches the caller.
                self.finished.remove(&(node, request));
                self.notify_progress(node, request, Progress::ResponseStarted);
                self.notify_progress(node, request, Progress::Failed(Failure::Broken));
            }
            AttemptEnd::Failed(failure) => {
                self.notify_progress(node, request, Progress::Failed(failure));
            }
        }
    }

    pub(super) fn apply_step(&mut self, node: usize, request: key::Request, step: Step) {
        let Some(number) = self.request_numbers.get(&(node, request)).copied() else {
            return self.record_late_refusal(node, request, step);
        };
        match step {
            Step::Dispatch(dispatch) => {
                let at = self.now + self.delay(LOCAL_DELAY_US);
                let version = self.nodes[node].core.as_ref().map_or(0, |core| core.version());
                let caller_request = number;
                let attempt = self.start_attempt(node, request, dispatch.timeout);
                self.queue
                    .push(at, Delivery::Dispatch { attempt, version, dispatch, caller_request });
            }
            Step::Forward { address, timeout, queue_timeout, may_have_run, .. } => {
                let to = node_of(address);
                let Some(core) = &self.nodes[node].core else { return };
                let Some(in_flight) = core.requests().get(request) else { return };
                let mut spec = in_flight.spec.clone();
                let remaining = in_flight.deadline.since(self.now + self.nodes[node].skew);
                spec.hops += 1;
                spec.may_have_run = may_have_run;
                spec.timeout = Some(timeout);
                spec.queue_timeout = Some(queue_timeout);
                let local = self.nodes[node].identity.region == self.nodes[to].identity.region;
                let at =
                    self.now + self.delay(if local { LOCAL_DELAY_US } else { REMOTE_DELAY_US });
                if self.partitions.contains(&(node, to)) {
                    let progress = Progress::Failed(Failure::Unsent);
                    return self.notify_progress(node, request, progress);
                }
                let from = self.start_attempt(node, request, remaining);
                self.queue.push(at, Delivery::Forward { node: to, from, spec });
            }
            Step::Refuse(refusal) => self.finish_request(node, request, Outcome::Refused(refusal)),
        }
    }

    /// Records a refusal of a request that already had its final answer.
    fn record_late_refusal(&mut self, node: usize, request: key::Request, step: Step) {
        let finished = self.finished.get(&(node, request)).copied();
        if let (Some(number), Step::Refuse(refusal)) = (finished, step) {
            self.record(Record::Answered(number, Outcome::Refused(refusal)));
        }
    }

    /// Notifies a node of the progress of a request, if its core still handles that request.
    pub(super) fn notify_progress(
        &mut self,
        node: usize,
        request: key::Request,
        progress: Progress,
    ) {
        let known = self.nodes[node]
            .core
            .as_ref()
            .is_some_and(|core| core.requests().get(request).is_some());
        if known {
            self.handle_event(node, Event::Progress { request, progress });
        }
    }

    /// Returns the final answer of a request to the node that forwarded it or to the caller.
    fn finish_request(&mut self, node: usize, request: key::Request, outcome: Outcome) {
        let Some(number) = self.request_numbers.remove(&(node, request)) else { return };
        self.finished.insert((node, request), number);
        match self.parents.remove(&(node, request)) {
            Some((parent, parent_request)) if self.partitions.contains(&(node, parent)) => {
                self.attempts.remove(&(parent, parent_request));
                self.notify_progress(parent, parent_request, Progress::Failed(Failure::Broken));
            }
            Some((parent, parent_request)) => {
                self.attempts.remove(&(parent, parent_request));
                self.finish_request(parent, parent_request, outcome);
                self.notify_progress(parent, parent_request, Progress::Finished);
            }
            None => self.record(Record::Answered(number, outcome)),
        }
    }

    /// Closes the connections of a node that exited to callers and other nodes.
    pub(super) fn disconnect_callers_of(&mut self, node: usize) {
        // The next process may reuse the same request keys.
        self.finished.retain(|(at, _), _| *at != node);
        self.disconnect_forwarded(|parent| parent.0 == node);
        let lost: Vec<_> =
            self.request_numbers.keys().filter(|(at, _)| *at == node).copied().collect();
        for lost_request in lost {
            let Some(number) = self.request_numbers.remove(&lost_request) else { continue };
            match self.parents.remove(&lost_request) {
                Some((parent, parent_request)) => {
                    self.attempts.remove(&(parent, parent_request));
                    self.notify_progress(parent, parent_request, Progress::Failed(Failure::Broken));
                }
                None => self.record(Record::Answered(number, Outcome::Lost)),
            }
        }
    }
}
