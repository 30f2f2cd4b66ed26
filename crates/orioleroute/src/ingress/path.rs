//! Whether an instance has lost its path to the upstreams of a service.
//!
//! Load pattern: a firewall or a broken link parts single instances, or a whole availability zone, from all upstreams for
//! seconds, while clients, the store and the other instances reach them. Each of their requests would try one upstream after
//! the other. What they see of an upstream says nothing about it then: several upstreams that cannot be connected to, and
//! none that can, are taken for a lost path, and requests go by way of another instance. Only if that one reaches an upstream
//! before and after this one does not is the path known to be lost, rather than upstreams that crash and come back.

use serde::{Deserialize, Serialize};

use crate::prelude::*;

/// The first message of a connection between two instances on which a request goes to an upstream. The bytes of the request
/// follow the reply.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "method", content = "params", rename_all = "snake_case")]
pub enum ToSibling {
    /// Asks for a connection to an upstream, by its id.
    Open(Arc<str>),
}

/// The reply to [`ToSibling`]. The upstream's bytes follow [`Opened`](Self::Opened) in frames.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "method", rename_all = "snake_case")]
pub enum FromSibling {
    /// The upstream is connected.
    Opened,
    /// The upstream cannot be connected to from there either.
    Unreachable,
    /// No such upstream is listed there.
    Unlisted,
    /// The other instance passes nothing on: it may reach no upstream itself, or it stops.
    CutOff,
}

/// How many upstreams have to be unreachable in a row for the path to be doubted, or all if a service has fewer.
const MIN_UNREACHABLE: usize = 3;

/// How long an upstream counts as unreachable, and another instance as fruitless.
const FAILURE_TTL: Duration = Duration::from_secs(3);

/// The time between two probes of a path that is doubted.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);

/// The time between two probes of a path that is not doubted, but over which a scheduler gets no reports.
const EARLY_PROBE_INTERVAL: Duration = Duration::from_millis(200);

/// The least time between two processes of an upstream. One that answers twice within it was there in between.
const MIN_RESTART_TIME: Duration = Duration::from_millis(500);

/// What connecting to upstreams has shown of the path to them.
#[derive(Clone, Debug, Default)]
pub struct Path {
    /// When a path that is not doubted may be probed again.
    next_early_probe: Instant,
    /// When upstreams were found unreachable, since one was reached.
    unreachable: Map<Arc<str>, Instant>,
    doubt: Option<Doubt>,
}

/// Since several upstreams could not be reached.
#[derive(Clone, Debug)]
struct Doubt {
    next_probe: Instant,
    /// Whether another instance has reached an upstream meanwhile.
    has_detour: bool,
    /// The upstreams that another instance has reached lately.
    detoured: Map<Arc<str>, Detoured>,
    /// Other instances by way of which no upstream has answered.
    fruitless: Map<Arc<str>, Instant>,
    /// Whether another instance has reached an upstream before and after this one could not.
    is_confirmed: bool,
}

/// An upstream that has answered by way of another instance.
#[derive(Clone, Copy, Debug)]
struct Detoured {
    at: Instant,
    /// Whether it was out of reach after that.
    has_failed: bool,
}

impl Path {
    /// Records that an upstream could not be connected to, of a service that has `listed` upstreams. Those that are not listed any
    /// more say nothing of the path. Returns whether the path is doubted since.
    pub fn record_unreachable(
        &mut self,
        upstream: &Arc<str>,
        is_listed: impl Fn(&str) -> bool,
        listed: usize,
        now: Instant,
    ) -> bool {
        self.unreachable.insert(upstream.clone(), now);
        self.unreachable.retain(|id, at| now.since(*at) < FAILURE_TTL && is_listed(id));
        if let Some(doubt) = &mut self.doubt {
            if let Some(detoured) = doubt.detoured.get_mut(upstream) {
                detoured.has_failed = true;
            }
            return false;
        }
        let is_doubted = self.unreachable.len() >= MIN_UNREACHABLE.min(listed.max(1));
        if is_doubted {
            self.doubt = Some(Doubt {
                next_probe: now + PROBE_INTERVAL,
                has_detour: false,
                detoured: Map::default(),
                fruitless: Map::default(),
                is_confirmed: false,
            });
        }
        is_doubted
    }

    /// Records that a connection to an upstream was established. Returns whether the path was known to be lost.
    pub fn record_reached(&mut self) -> bool {
        self.unreachable.clear();
        self.doubt.take().is_some_and(|doubt| doubt.is_confirmed)
    }

    /// Records that another instance has reached an upstream, which makes a probe due. The path is known to be lost if it has
    /// done so shortly before, and this one could not reach the same upstream in between. Returns whether that is known
    /// since.
    pub fn record_detour(&mut self, upstream: &Arc<str>, now: Instant) -> bool {
        let Some(doubt) = &mut self.doubt else { return false };
        if !std::mem::replace(&mut doubt.has_detour, true) {
            doubt.next_probe = now;
        }
        doubt.detoured.retain(|_, detoured| now.since(detoured.at) < MIN_RESTART_TIME);
        let detoured = Detoured { at: now, has_failed: false };
        let before = doubt.detoured.insert(upstream.clone(), detoured);
        let is_shown = before.is_some_and(|before| before.has_failed);
        is_shown && !std::mem::replace(&mut doubt.is_confirmed, true)
    }

    /// Records that no upstream has answered by way of another instance: it passes nothing on, is lost, or has lost its own path
    /// without knowing it. Others are asked before it for a while.
    pub fn record_fruitless(&mut self, sibling: &Arc<str>, now: Instant) {
        if let Some(doubt) = &mut self.doubt {
            doubt.fruitless.insert(sibling.clone(), now);
        }
    }

    /// Returns whether other instances are asked before this one.
    pub fn is_fruitless(&self, sibling: &str, now: Instant) -> bool {
        let fruitless = self.doubt.as_ref().map(|doubt| &doubt.fruitless);
        fruitless
            .and_then(|fruitless| fruitless.get(sibling))
            .is_some_and(|at| now.since(*at) < FAILURE_TTL)
    }

    /// Returns the upstream that another instance has reached last, if that was lately.
    pub fn last_detoured(&self, now: Instant) -> Option<Arc<str>> {
        let detoured = self.doubt.iter().flat_map(|doubt| &doubt.detoured);
        let lately = detoured.filter(|(_, it)| now.since(it.at) < MIN_RESTART_TIME);
        lately.max_by_key(|(_, it)| it.at).map(|(upstream, _)| upstream.clone())
    }

    /// Returns whether requests are to go by way of another instance.
    pub fn is_doubted(&self) -> bool {
        self.doubt.is_some()
    }

    /// Returns whether the path is lost although upstreams can be reached.
    pub fn is_lost(&self) -> bool {
        self.doubt.as_ref().is_some_and(|doubt| doubt.is_confirmed)
    }

    /// Returns whether a path that is not doubted may be probed, and counts the probe as made.
    pub fn take_early_probe(&mut self, now: Instant) -> bool {
        let is_due = self.doubt.is_none() && now >= self.next_early_probe;
        if is_due {
            self.next_early_probe = now + EARLY_PROBE_INTERVAL;
        }
        is_due
    }

    /// Returns whether a probe of a doubted path is due, and counts it as made.
    pub fn take_probe(&mut self, now: Instant) -> bool {
        let Some(doubt) = &mut self.doubt else { return false };
        let is_due = now >= doubt.next_probe;
        if is_due {
            doubt.next_probe = now + PROBE_INTERVAL;
        }
        is_due
    }
}
