//! Callers' requests, the steps they are given and how they end.

use std::net::SocketAddr;

use slotmap::SlotMap;

use crate::document::Importance;
use crate::prelude::*;

/// What a request is for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Target {
    /// An adapter, or `adapter@version`, as the API's `model` field names it.
    Model(Arc<str>),
    /// A plain service.
    Service(Arc<str>),
}

/// What a caller asks.
#[derive(Clone, Debug)]
pub struct Spec {
    /// What it is for.
    pub target: Target,
    /// How much it matters, if the caller says so; else as the adapter is configured.
    pub importance: Option<Importance>,
    /// How long the caller waits, if it says so.
    pub timeout: Option<Duration>,
    /// How long it may wait for a load in all, if an instance that passed it on says so.
    pub queue_timeout: Option<Duration>,
    /// Whether it may be sent again when its outcome is unknown.
    pub repeatable: bool,
    /// The caller's idempotency key.
    pub idempotency: Option<Arc<str>>,
    /// The instances that passed it on.
    pub hops: u8,
    /// Whether an attempt may have run, after which "not run" can never be said again.
    pub may_have_run: bool,
}

impl Spec {
    /// Returns a repeatable request straight from a caller who states nothing but the target.
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
    /// Passes it on to another instance.
    Forward {
        /// The instance.
        instance: Arc<str>,
        /// Where it takes callers.
        address: SocketAddr,
        /// The time that is left.
        timeout: Duration,
        /// The part of it that the request may wait for a load.
        queue_timeout: Duration,
        /// Whether an attempt may have run, which the other instance has to know.
        may_have_run: bool,
    },
    /// Answers it with a refusal; the request is over.
    Refuse(Refusal),
}

/// Where a request is sent.
#[derive(Clone, Debug, PartialEq)]
pub struct Dispatch {
    /// The upstream's name.
    pub upstream: Arc<str>,
    /// The upstream's address.
    pub address: SocketAddr,
    /// The served name that the engine must answer under; `None` for a plain service.
    pub name: Option<Arc<str>>,
    /// How much it matters, for engines that honour priorities.
    pub importance: Importance,
    /// The time that is left.
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
    /// Too many requests wait.
    Overloaded,
    /// Nothing that can answer is reachable now.
    Unavailable,
    /// Its deadline cannot be met.
    Deadline,
    /// The same idempotency key was used before.
    Conflict,
    /// The upstream failed.
    Upstream,
}

/// A refusal.
#[derive(Clone, Debug, PartialEq)]
pub struct Refusal {
    /// Why.
    pub kind: Kind,
    /// Whether it ran.
    pub ran: Ran,
    /// When to come back, if that helps.
    pub retry_after: Option<Duration>,
}

/// How a step went.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Progress {
    /// The first part of the answer went to the caller, so there can be no second attempt.
    Begun,
    /// The attempt failed.
    Failed(Failure),
    /// The whole answer went to the caller.
    Finished,
    /// The caller is gone.
    Gone,
}

/// How an attempt failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// Nothing was sent.
    Unsent,
    /// The upstream said that it did not run it.
    Declined,
    /// The upstream does not have the revision loaded.
    NotLoaded,
    /// The exchange broke off.
    Broken,
}

impl Failure {
    /// Returns whether the upstream may have run the request.
    pub fn may_have_run(self) -> bool {
        self == Self::Broken
    }
}

/// Where a request stands.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum State {
    /// Its claim is being written to the table.
    Claiming,
    /// It waits for its revision to be loaded.
    Waiting,
    /// It runs on an upstream.
    Running(key::Upstream),
    /// Another instance has it.
    Forwarded,
}

/// A request that has not had its final answer.
#[derive(Clone, Debug)]
pub struct Request {
    /// What the caller asks.
    pub spec: Spec,
    /// The revision that must answer; `None` for a plain service.
    pub revision: Option<key::Revision>,
    /// How much it matters.
    pub importance: Importance,
    /// When it arrived.
    pub arrived: Instant,
    /// When the caller stops waiting.
    pub deadline: Instant,
    /// Until when it may wait for a load; see [`queue_timeout`].
    pub queue_deadline: Instant,
    /// Where it stands.
    pub state: State,
    /// The attempts made.
    pub attempts: u32,
    /// How often an engine turned out not to have the revision loaded.
    pub misses: u32,
    /// Whether the caller has a part of the answer, after which there can be no other attempt.
    pub begun: bool,
    /// The instances that it was passed on to.
    pub passed_to: Vec<Arc<str>>,
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

/// Returns how long a request may wait for loads, at all instances together.
///
/// After half of its time the loads that it waits for have failed, or were ordered by an instance
/// that may not; a refusal then still leaves the caller the time to go elsewhere.
pub fn queue_timeout(timeout: Duration) -> Duration {
    timeout / 2
}

/// All requests that have not had their final answers.
#[derive(Debug, Default)]
pub struct Requests {
    arena: SlotMap<key::Request, Option<Request>>,
    waiting: Map<key::Revision, Vec<key::Request>>,
}

impl Requests {
    /// Returns a key for a request that is about to arrive.
    pub fn admit(&mut self) -> key::Request {
        self.arena.insert(None)
    }

    /// Fills in an admitted request.
    pub fn fill(&mut self, key: key::Request, request: Request) {
        if let Some(slot) = self.arena.get_mut(key) {
            *slot = Some(request);
        }
    }

    /// Returns a request.
    pub fn get(&self, key: key::Request) -> Option<&Request> {
        self.arena.get(key)?.as_ref()
    }

    /// Returns a request for changes.
    pub fn get_mut(&mut self, key: key::Request) -> Option<&mut Request> {
        self.arena.get_mut(key)?.as_mut()
    }

    /// Removes a request that has had its final answer.
    pub fn remove(&mut self, key: key::Request) -> Option<Request> {
        let request = self.arena.remove(key)??;
        if let Some(revision) = request.revision {
            self.unqueue(key, revision);
        }
        Some(request)
    }

    /// Lets a request wait for its revision.
    pub fn queue(&mut self, key: key::Request, revision: key::Revision) {
        self.waiting.entry(revision).or_default().push(key);
    }

    /// Takes a request out of the queue of its revision.
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
    pub fn wanted(&self) -> Vec<key::Revision> {
        self.waiting.keys().copied().collect()
    }

    /// Returns the waiting requests that have to be refused.
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

    /// Returns whether there are none.
    pub fn is_empty(&self) -> bool {
        self.arena.is_empty()
    }
}
