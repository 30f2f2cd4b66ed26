//! The check of an upstream on which a run broke off: whether the process that ran it is lost.
//!
//! That something accepts connections at its address does not show that it lives. A process that ends may listen for longer
//! than its connections last, and the next one may listen within milliseconds. So whoever listens is asked who it is.

use super::suspects::Process;
use crate::prelude::*;

/// The most connections that are made for one check.
const MAX_REPLIES: usize = 3;

/// The number of connections that have to time out for an upstream to count as lost, because single packets are lost too.
const TIMEOUTS: usize = 2;

/// The check of an upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineCheck {
    pub(super) process: Process,
    /// The id of the upstream.
    pub upstream: Arc<str>,
    /// The service of the upstream.
    pub service: Arc<str>,
    /// The upstream's start time, in milliseconds since the Unix epoch, if it is known. Together with the id it identifies the
    /// process that ran the request.
    pub started_ms: Option<u64>,
}

/// What came back from the address of an upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// The connection was refused.
    Refused,
    /// The connection was not accepted in time.
    TimedOut,
    /// The connection was accepted and closed without an answer, as by a process that is ending or that has too many.
    Closed,
    /// A process answered that is not the one that was addressed.
    Misdirected,
    /// The process that was addressed answered, as far as it says who it is.
    Answered(Identity),
    /// Nothing came that tells who listens.
    Unclear,
}

/// What a process says of itself.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Identity {
    /// The id of the upstream.
    pub upstream: Option<Arc<str>>,
    /// When the process was started, in milliseconds since the Unix epoch.
    pub started_ms: Option<u64>,
}

/// The result of a check.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Finding {
    /// The process that broke the run off is lost.
    Lost,
    /// It lives.
    Alive,
    /// Neither is shown.
    Unclear,
}

impl EngineCheck {
    /// Returns what these replies show, or `None` if the upstream is to be asked once more.
    pub fn judge(&self, replies: &[Reply]) -> Option<Finding> {
        match replies.last()? {
            Reply::Refused | Reply::Misdirected => Some(Finding::Lost),
            Reply::Answered(identity) if self.is_other(identity) => Some(Finding::Lost),
            Reply::Answered(_) => Some(Finding::Alive),
            Reply::Unclear => Some(Finding::Unclear),
            Reply::TimedOut if timeouts(replies) >= TIMEOUTS => Some(Finding::Lost),
            Reply::TimedOut | Reply::Closed if replies.len() < MAX_REPLIES => None,
            Reply::TimedOut | Reply::Closed => Some(Finding::Unclear),
        }
    }

    /// Returns whether another process answered than the one that broke the run off.
    fn is_other(&self, identity: &Identity) -> bool {
        let is_other_upstream = identity.upstream.as_ref().is_some_and(|id| *id != self.upstream);
        let started = self.started_ms.zip(identity.started_ms);
        is_other_upstream || started.is_some_and(|(known, answered)| known != answered)
    }
}

fn timeouts(replies: &[Reply]) -> usize {
    replies.iter().filter(|reply| **reply == Reply::TimedOut).count()
}
