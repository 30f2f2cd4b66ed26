//! The messages between instances and schedulers.

use std::net::SocketAddr;

use crate::ingress::attempt::Part;
use crate::ingress::health::Outcome;
use crate::ingress::origins::{Origin, Testimony};
use crate::ingress::priority::Grade;
use crate::ingress::quarantine::Run;
use crate::ingress::quota::{Lent, Loan, Shortage};
use crate::ingress::{Notice, Priority};
use crate::prelude::*;

/// A message from an instance to a scheduler.
#[derive(Clone, Debug, serde::Serialize, serde::Deserialize)]
#[serde(tag = "method", content = "params", rename_all = "snake_case")]
pub enum ToScheduler {
    /// Requests a grant to run a request.
    Place(Box<Placement>),
    /// The engine has sent the first event of the response.
    Started {
        /// The ticket of the request.
        ticket: u64,
        /// What the engine says of itself in the head of the response.
        #[serde(default, skip_serializing_if = "Notice::is_empty")]
        notice: Notice,
    },
    /// The request has ended at the engine, or no longer needs a grant.
    Ended {
        /// The ticket of the request.
        ticket: u64,
        /// How the request ended at the engine; `None` if it was never sent.
        result: Option<RunResult>,
        /// Whether the engine answered, and the answer may be incomplete although nothing shows it.
        #[serde(default, skip_serializing_if = "std::ops::Not::not")]
        is_unconfirmed: bool,
        /// What the engine says of itself in the head of its answer.
        #[serde(default, skip_serializing_if = "Notice::is_empty")]
        notice: Notice,
        /// What ended, if no scheduler granted it. Schedulers of an older release ignore it, with the ticket.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        ungranted: Option<Box<UngrantedRun>>,
        /// Whether the instance wants the reports of lost upstreams, which it says once, under a ticket without a request. An
        /// instance of an older release could not read them.
        #[serde(default, skip_serializing_if = "std::ops::Not::not")]
        follows_suspects: bool,
    },
    /// A stream begins at an upstream of this build. Sent only to schedulers that have said [`ToInstance::Current`].
    Began {
        /// The attempt that brings its first event.
        origin: Origin,
        /// The version of the upstream's software.
        build: Arc<str>,
    },
    /// Asks where a stream began. Sent only to schedulers that have said [`ToInstance::Current`].
    FindOrigin {
        /// The ticket of the question.
        ticket: u64,
        /// The attempt that brought its first event.
        origin: Origin,
        /// The service. An instance of an older release does not name it.
        #[serde(default)]
        service: Option<Arc<str>>,
    },
    /// Charges a request to the quota of its organisation. Sent only to schedulers that have said [`ToInstance::Current`], as
    /// are the other messages on quotas.
    Charge {
        /// The ticket of the charge.
        ticket: u64,
        /// The organisation.
        organisation: Arc<str>,
        /// What the request costs, in units of the quota.
        cost: u64,
    },
    /// Gives back what was charged for a request that has not run.
    Refund {
        /// The organisation.
        organisation: Arc<str>,
        /// The amount, in units of the quota.
        amount: u64,
    },
    /// Borrows from the quotas of organisations.
    Borrow {
        /// The ticket of the question.
        ticket: u64,
        /// The availability zone whose scheduler lends.
        zone: Arc<str>,
        /// The instance that borrows.
        account: Arc<str>,
        /// What is asked.
        loans: Vec<Loan>,
    },
}

impl ToScheduler {
    /// Returns the message that a granted request has ended.
    pub fn ended(
        ticket: u64,
        result: Option<RunResult>,
        is_unconfirmed: bool,
        notice: Notice,
    ) -> Self {
        let (ungranted, follows_suspects) = (None, false);
        Self::Ended { ticket, result, is_unconfirmed, notice, ungranted, follows_suspects }
    }

    /// Returns the message that a run has ended that no scheduler granted, under a ticket without a request.
    pub fn ended_ungranted(ticket: u64, result: RunResult, run: UngrantedRun) -> Self {
        let (result, ungranted) = (Some(result), Some(Box::new(run)));
        let (is_unconfirmed, follows_suspects) = (false, false);
        let notice = Notice::default();
        Self::Ended { ticket, result, is_unconfirmed, notice, ungranted, follows_suspects }
    }

    /// Returns the message that the instance wants the reports of lost upstreams, under a ticket without a request.
    pub fn follow(ticket: u64) -> Self {
        let (result, ungranted) = (None, None);
        let (is_unconfirmed, follows_suspects) = (false, true);
        let notice = Notice::default();
        Self::Ended { ticket, result, is_unconfirmed, notice, ungranted, follows_suspects }
    }
}

/// A message from a scheduler to an instance.
#[derive(Clone, Debug, serde::Serialize, serde::Deserialize)]
#[serde(tag = "method", content = "params", rename_all = "snake_case")]
pub enum ToInstance {
    /// The request is queued; a grant or a refusal follows.
    Queued {
        /// The ticket of the request.
        ticket: u64,
    },
    /// The request may be sent to this engine now.
    Grant(Grant),
    /// The request will not be placed.
    Refuse {
        /// The ticket of the request.
        ticket: u64,
        /// How long to wait before a retry, in milliseconds.
        retry_after_ms: u64,
        /// The reason for the refusal.
        reason: Reason,
    },
    /// What the scheduler of a zone reports of lost upstreams, for instances that follow it.
    Suspects {
        /// The availability zone.
        zone: Arc<str>,
        /// The row that the scheduler writes to the store.
        row: Box<str>,
    },
    /// The scheduler reads all messages of this release. It says so to instances that follow it.
    Current,
    /// The answer to the question where a stream began.
    Origin {
        /// The ticket of the question.
        ticket: u64,
        /// What the scheduler's instance says. One of an older release names neither zones nor builds.
        #[serde(flatten)]
        testimony: Testimony,
    },
    /// The answer to a charge.
    Charged {
        /// The ticket of the charge.
        ticket: u64,
        /// Why the request is over the quota, if it is.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        shortage: Option<Shortage>,
    },
    /// What the lender of organisations lends.
    Lent {
        /// The ticket of the question.
        ticket: u64,
        /// What is lent. Empty if the instance does not lend.
        loans: Vec<Lent>,
    },
}

/// A run that no scheduler granted, because its service has no engines or its zone had no scheduler.
#[derive(Clone, Debug, serde::Serialize, serde::Deserialize)]
pub struct UngrantedRun {
    /// The availability zone whose scheduler collects the losses of the upstream.
    pub zone: Arc<str>,
    /// The service.
    pub service: Arc<str>,
    /// The upstream's id.
    pub upstream: Arc<str>,
    /// The upstream's start time, in milliseconds since the Unix epoch. Instances of an older release do not name it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub started_ms: Option<u64>,
    /// The upstream's address.
    pub address: SocketAddr,
    /// Whether the upstream has answered the instance since its start.
    pub has_answered: bool,
    /// How long ago the run ended, in milliseconds, if no scheduler could be told at once.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub age_ms: u64,
    /// What ran.
    pub run: Run,
}

fn is_zero(number: &u64) -> bool {
    *number == 0
}

/// A request that needs a grant for a model engine.
#[derive(Clone, Debug, serde::Serialize, serde::Deserialize)]
pub struct Placement {
    /// The number that the instance has given to the request.
    pub ticket: u64,
    /// The client's id of the attempt, for the log.
    pub attempt: Option<Arc<str>>,
    /// The availability zone whose engines may run the request.
    pub zone: Arc<str>,
    /// The organisation whose request it is, if it is known.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub organisation: Option<Arc<str>>,
    /// The service.
    pub service: Arc<str>,
    /// The base model.
    pub model: Arc<str>,
    /// The adapter, if the request uses one.
    pub adapter: Option<Arc<str>>,
    /// The oldest acceptable version of the adapter.
    pub version: Option<u64>,
    /// The length of the prompt in tokens.
    pub prompt_tokens: u32,
    /// The maximum length of the output in tokens.
    pub output_tokens: u32,
    /// The parts of the prompt, for prefix caching.
    pub parts: Vec<Part>,
    /// The digest of what the client asks for.
    #[serde(default)]
    pub content: Option<u64>,
    /// The only build whose engines may run the request, because it goes on with what one of them began.
    #[serde(default)]
    pub build: Option<Arc<str>>,
    /// The level of the priority among those that schedulers of an older release know; 0 is the highest.
    pub priority: u8,
    /// The priority. Instances of an older release do not name it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub exact_priority: Option<Priority>,
    /// The time until the client's deadline, in milliseconds.
    pub time_left_ms: u64,
    /// The time until the response is late, in milliseconds; 0 if it is late already.
    pub objective_left_ms: u64,
    /// Engines that have failed this request.
    pub excluded: Vec<Arc<str>>,
    /// Whether this is a retry of a client that was refused before.
    pub is_return: bool,
    /// Whether the adapter may be fetched from the weight store although another zone may hold it.
    pub may_fetch: bool,
}

/// The right to run a request on an engine.
#[derive(Clone, Debug, serde::Serialize, serde::Deserialize)]
pub struct Grant {
    /// The ticket of the request.
    pub ticket: u64,
    /// The engine's id.
    pub upstream: Arc<str>,
    /// The engine's address for requests.
    pub address: SocketAddr,
    /// The version of the engine's entry in the list that the scheduler has.
    pub entry_version: u64,
    /// The version of the adapter that the engine holds, if known.
    pub version: Option<u64>,
    /// Whether the scheduler knows that the engine has named a limit.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub is_limited: bool,
    /// The version of the engine's software.
    #[serde(default)]
    pub build: Option<Arc<str>>,
}

/// How a request ended at its engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RunResult {
    /// The engine answered.
    Answered,
    /// The engine was full or draining, and did not run the request.
    Declined,
    /// The engine lacks the model or adapter, or the address belongs to another engine.
    Misdirected,
    /// The instance knows that the engine is leaving, and did not send the request.
    Departed {
        /// The version of the list from which the instance knows it.
        list_version: u64,
    },
    /// The engine answered with an error.
    Erred,
    /// The engine closed the connection early or stopped responding.
    Broken,
    /// The engine could not be reached.
    Unreachable,
    /// The client disconnected, or the deadline passed.
    Abandoned,
}

impl Placement {
    /// Returns the priority of the request.
    pub fn priority(&self) -> Priority {
        self.exact_priority.unwrap_or_else(|| self.priority.into())
    }

    /// Sets the priority. It is named only where the level is not the same.
    pub fn set_priority(&mut self, grade: Grade) {
        self.priority = grade.coarse;
        let is_level = grade.priority == grade.coarse.into();
        self.exact_priority = (!is_level).then_some(grade.priority);
    }
}

impl RunResult {
    /// Returns whether the request was sent to the engine.
    pub fn was_sent(self) -> bool {
        !matches!(self, Self::Unreachable | Self::Departed { .. })
    }
}

impl From<RunResult> for Outcome {
    fn from(result: RunResult) -> Self {
        match result {
            RunResult::Answered => Self::Answered(Duration::ZERO),
            RunResult::Declined | RunResult::Misdirected => Self::Declined,
            RunResult::Erred => Self::Erred,
            RunResult::Broken => Self::Broken,
            RunResult::Unreachable => Self::Unreachable,
            RunResult::Departed { .. } | RunResult::Abandoned => Self::Abandoned,
        }
    }
}

/// Why a request is refused.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    strum::Display,
    strum::IntoStaticStr,
    serde::Serialize,
    serde::Deserialize,
)]
#[strum(serialize_all = "snake_case")]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    /// The request would be late, and the engines are busy with more urgent work.
    Overloaded,
    /// The request would be late, because its organisation has had its share of the engines. Instances of an older
    /// release know no such reason.
    #[serde(rename(serialize = "overloaded"), skip_deserializing)]
    OverShare,
    /// The request could not start before its deadline, or has waited too long.
    TooLate,
    /// No engine can run the request.
    NoEngine,
    /// The request or a part of its prompt is blamed for the loss of upstreams. Instances of an older release know no such reason.
    #[serde(rename(serialize = "no_engine"), skip_deserializing)]
    Quarantined,
    /// The request goes on with a stream of which nobody knows at which build it began. Only instances say so.
    #[serde(skip)]
    UnknownOrigin,
    /// The request is over the quota of its organisation. Only instances say so, as the next.
    #[serde(skip)]
    OverQuota,
    /// Nobody who counts for the organisation answers.
    #[serde(skip)]
    QuotaUnknown,
    /// The zone does not hold the adapter, whose home zone is more likely to hold it.
    NotHere,
    /// The instance is not, or no longer, the scheduler of the availability zone.
    NotScheduler,
}
