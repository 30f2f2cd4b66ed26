//! Selection of an upstream for a request.

use crate::document::Policy;
use crate::fleet::{Fleet, Upstream};
use crate::prelude::*;

/// The reason for a decision.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Reason {
    /// The least loaded upstream that holds the revision.
    LeastLoaded,
    /// No upstream holds the revision, so the request waits for a load.
    WaitsForLoad,
    /// Another instance is home to the revision.
    OtherHome,
    /// The revision was loaded because requests wait for it.
    Demand,
    /// The revision was unloaded to free its adapter slot for another.
    Room,
    /// The revision was unloaded because the configuration no longer has it.
    Dropped,
    /// The request was refused.
    Refused,
}

/// A routing or placement decision, for the log.
#[derive(Clone, Debug, PartialEq)]
pub struct Decision {
    /// The request that it was made for, if any.
    pub request: Option<key::Request>,
    /// The served name of the revision.
    pub name: Arc<str>,
    /// The upstream or instance that was chosen, if any.
    pub chosen: Option<Arc<str>>,
    /// The reason for the choice.
    pub reason: Reason,
    /// The next best choices.
    pub runners_up: Vec<Arc<str>>,
}

/// Maximum number of runners-up that a decision lists.
pub const MAX_RUNNERS_UP: usize = 2;

/// Returns the upstream among `candidates` that should answer a request for `revision`, and the
/// runners-up.
pub fn choose(
    now: Instant,
    fleet: &Fleet,
    candidates: impl IntoIterator<Item = key::Upstream>,
    revision: key::Revision,
) -> Option<(key::Upstream, Vec<Arc<str>>)> {
    let mut open: Vec<(key::Upstream, &Upstream)> = candidates
        .into_iter()
        .filter_map(|key| Some((key, fleet.get(key)?)))
        .filter(|(_, upstream)| upstream.is_open(now) && upstream.has_loaded(revision))
        .collect();
    open.sort_by_key(|(_, upstream)| (upstream.running, upstream.digest));
    let (chosen, _) = *open.first()?;
    let runners_up = open[1..]
        .iter()
        .take(MAX_RUNNERS_UP)
        .map(|(_, upstream)| upstream.listing.name.clone())
        .collect();
    Some((chosen, runners_up))
}

/// Returns whether a request should be forwarded to a region that holds its revision rather than
/// wait this long for a load.
///
/// Traffic between regions is slow and billed. The policy sets the wait that outweighs this.
pub fn prefers_remote_region(wait: Duration, policy: &Policy) -> bool {
    wait > Duration::from_millis(policy.region_penalty_ms.into())
}
