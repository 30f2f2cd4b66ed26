//! Callers' requests, their steps and their outcomes.

use std::net::SocketAddr;

use slotmap::SlotMap;

use crate::document::Importance;
use crate::prelude::*;

/// The target of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Target {
    /// An adapter, or `adapter@version`, as the API's `model` field names it.
    Model(Arc<str>),
    /// A plain service.
    Service(Arc<str>),
}

/// A request as its caller specified it.
#[derive(Clone, Debug)]
pub struct Spec {
    /// The model or service that the request is for.
    pub target: Target,
    /// The importance, if the caller set one. Otherwise, the adapter's configured importance
    /// applies.
    pub importance: Option<Importance>,
    /// How long the caller waits, if it set a timeout.
    pub timeout: Option<Duration>,
    /// How long it may wait for loads in total, if an instance that forwarded it set a limit.
    pub queue_timeout: Option<Duration>,
    /// Whether it may be sent again when its outcome is unknown.
    pub repeatable: bool,
    /// The caller's idempotency key.
    pub idempotency: Option<Arc<str>>,
    /// The number of instances that have forwarded it.
    pub hops: u8,
    /// Whether an attempt may have run. If so, the request must never be reported as not run.
    pub may_have_run: bool,
}

impl Spec {
    /// Returns a repeatable request that comes directly from a caller and specifies only the
    /// target.
    pub fn new(target: Target) -> Self {
        Self {
            target,
            importance: None,
            timeout: None,
            queue_timeout: None,
            repeatable: true,
            idempotency: None,
            hops: 0,
            may_have_run: false,
        }
    }
}

/// The next step of a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// Sends it to an upstream.
    Dispatch(Dispatch),
    /// Forwards it to another instance.
    Forward {
        /// The instance.
        instance: Arc<str>,
        /// The address at which it accepts callers.
        address: SocketAddr,
        /// The time that is left until the deadline.
        timeout: Duration,
        /// The part of that time for which the request may wait for loads.
        queue_timeout: Duration,
        /// Whether an attempt may have run, so that the other instance does not report the request
        /// as not run.
        may_have_run: bool,
    },
    /// Answers it with a refusal, which ends the request.
    Refuse(Refusal),
}

/// An attempt to be sent to an upstream.
#[derive(Clone, Debug, PartialEq)]
pub struct Dispatch {
    /// The upstream's name.
    pub upstream: Arc<str>,
    /// The upstream's address.
    pub address: SocketAddr,
    /// The served name that the engine must answer under; `None` for a plain service.
    pub name: Option<Arc<str>>,
    /// The importance, for engines that honour priorities.
    pub importance: Importance,
    /// The time that is left until the deadline.
    pub timeout: Duration,
    /// The number of this attempt, from 1.
    pub attempt: u32,
}

/// Whether a request ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::EnumString)]
#[strum(serialize_all = "kebab-case")]
pub enum Ran {
    /// No part of it reached an upstream, or the upstream said that it did not run it.
    NotRun,
    /// It may have run.
    MayHaveRun,
    /// It ran.
    Ran,
}

/// Why a request was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Kind {
    /// No such adapter, version or service.
    NotFound,
    /// Too many requests are waiting.
    Overloaded,
    /// Nothing that can answer the request is available at the moment.
    Unavailable,
    /// Its deadline cannot be met.
    Deadline,
    /// The same idempotency key was used before.
    Conflict,
    /// The upstream failed.
    Upstream,
}

/// A refusal, the final answer to a request that is not served.
#[derive(Clone, Debug, PartialEq)]
pub struct Refusal {
    /// Why the request was refused.
    pub kind: Kind,
    /// Whether it ran.
    pub ran: Ran,
    /// When to retry, if a retry may succeed.
    pub retry_after: Option<Duration>,
}

/// The progress of a step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Progress {
    /// The first part of the response was sent to the caller, so there can be no further attempt.
    ResponseStarted,
    /// The attempt failed.
    Failed(Failure),
    /// The whole response was sent to the caller.
    Finished,
    /// The caller disconnected.
    CallerDisconnected,
}

/// How an attempt failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// No part of the request was sent.
    Unsent,
    /// The upstream replied that it did not run the request.
    Declined,
    /// The upstream does not have the revision loaded.
    NotLoaded,
    /// The exchange was interrupted, so the upstream may have run the request.
    Broken,
}

impl Failure {
    /// Returns whether the upstream may have run the request.
    pub fn may_have_run(self) -> bool {
        self == Self::Broken
    }
}

/// The state of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum State {
    /// Its claim is being written to the table.
    Claiming,
    /// It waits for its revision to be loaded.
    Waiting,
    /// It runs on an upstream.
    Running(key::Upstream),
    /// It was forwarded to another instance.
    Forwarded,
}

/// A request without a final answer.
#[derive(Clone, Debug)]
pub struct Request {
    /// The request as its caller specified it.
    pub spec: Spec,
    /// The revision that must answer; `None` for a plain service.
    pub revision: Option<key::Revision>,
    /// The importance that applies.
    pub importance: Importance,
    /// When it arrived.
    pub arrived: Instant,
    /// When the caller stops waiting.
    pub deadline: Instant,
    /// Until when it may wait for loads; see [`queue_timeout`].
    pub queue_deadline: Instant,
    /// The state of the request.
    pub state: State,
    /// The number of attempts made, forwards included.
    pub attempts: u32,
    /// The number of attempts that failed because the engine did not have the revision loaded.
    pub misses: u32,
    /// Whether a part of the response was sent to the caller, after which there can be no further
    /// attempt.
    pub response_started: bool,
    /// The instances that it was forwarded to.
    pub forwarded_to: Vec<Arc<str>>,
    /// The key of the row that holds its claim, if it needs one.
    pub claim: Option<Arc<str>>,
}

impl Request {
    /// Returns whether an attempt, here or at another instance, may have run.
    pub fn may_have_run(&self) -> bool {
        let is_sent = matches!(self.state, State::Running(_) | State::Forwarded);
        self.spec.may_have_run || is_sent
    }
}

/// Returns how long a request may wait for loads, in total across all instances.
///
/// After half of the timeout, the loads that the request waits for have failed or were ordered by
/// an instance without the right to order them. A refusal at that point leaves the caller enough
/// time to retry elsewhere.
pub fn queue_timeout(timeout: Duration) -> Duration {
    timeout / 2
}

/// All requests without a final answer.
#[derive(Debug, Default)]
pub struct Requests {
    arena: SlotMap<key::Request, Option<Request>>,
    waiting: Map<key::Revision, Vec<key::Request>>,
}

impl Requests {
    /// Allocates the key of a request that is about to arrive.
    pub fn allocate(&mut self) -> key::Request {
        self.arena.insert(None)
    }

    /// Stores the request of an allocated key.
    pub fn fill(&mut self, key: key::Request, request: Request) {
        if let Some(slot) = self.arena.get_mut(key) {
            *slot = Some(request);
        }
    }

    /// Returns a request.
    pub fn get(&self, key: key::Request) -> Option<&Request> {
        self.arena.get(key)?.as_ref()
    }

    /// Returns a mutable reference to a request.
    pub fn get_mut(&mut self, key: key::Request) -> Option<&mut Request> {
        self.arena.get_mut(key)?.as_mut()
    }

    /// Removes a request that has its final answer.
    pub fn remove(&mut self, key: key::Request) -> Option<Request> {
        let request = self.arena.remove(key)??;
        if let Some(revision) = request.revision {
            self.unqueue(key, revision);
        }
        Some(request)
    }

    /// Appends a request to the queue of its revision.
    pub fn queue(&mut self, key: key::Request, revision: key::Revision) {
        self.waiting.entry(revision).or_default().push(key);
    }

    /// Removes a request from the queue of its revision.
    pub fn unqueue(&mut self, key: key::Request, revision: key::Revision) {
        if let Some(queue) = self.waiting.get_mut(&revision) {
            queue.retain(|waiting| *waiting != key);
            if queue.is_empty() {
                self.waiting.remove(&revision);
            }
        }
    }

    /// Returns the requests that wait for a revision, in order of arrival.
    pub fn waiting(&self, revision: key::Revision) -> &[key::Request] {
        self.waiting.get(&revision).map_or(&[], |queue| queue)
    }

    /// Returns the revisions that requests wait for.
    pub fn awaited_revisions(&self) -> Vec<key::Revision> {
        self.waiting.keys().copied().collect()
    }

    /// Returns the waiting requests whose queue deadline has passed.
    pub fn overdue(&self, now: Instant) -> Vec<key::Request> {
        self.waiting
            .values()
            .flatten()
            .copied()
            .filter(|key| self.get(*key).is_some_and(|request| now >= request.queue_deadline))
            .collect()
    }

    /// Returns the number of requests.
    pub fn len(&self) -> usize {
        self.arena.len()
    }

    /// Returns whether there are no requests.
    pub fn is_empty(&self) -> bool {
        self.arena.is_empty()
    }
}
