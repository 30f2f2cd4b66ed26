//! The pauses that upstreams have asked this instance for.

use std::cell::RefCell;

use orioleroute::prelude::*;
use slog::info;

use super::state::Gateway;

/// The longest pause, for values that no upstream means.
const MAX_PAUSE: Duration = Duration::from_secs(600);

/// The pauses that have not ended.
#[derive(Default)]
pub struct Pauses {
    known: RefCell<Map<Arc<str>, Pause>>,
}

#[derive(Clone, Copy)]
struct Pause {
    /// The start time of the upstream, which asks for nothing after a restart.
    started_ms: Option<u64>,
    until: Instant,
}

impl Pauses {
    /// Records that an upstream has turned a request away and wants none for this long.
    pub fn record(&self, gateway: &Gateway, upstream: &Arc<str>, pause: Duration) {
        let started_ms = gateway.registry().get(upstream).map(|entry| entry.started_ms);
        let until = gateway.now() + pause.min(MAX_PAUSE);
        info!(gateway.log, "upstream asked for a pause"; "upstream" => &**upstream,
            "pause_ms" => pause.min(MAX_PAUSE).as_millis() as u64);
        metrics::counter!("orioleroute_upstream_pauses_total").increment(1);
        self.known.borrow_mut().insert(upstream.clone(), Pause { started_ms, until });
    }

    /// Returns the upstreams that pause, with the time until the end of each pause.
    pub fn paused(&self, gateway: &Gateway) -> Vec<(Arc<str>, Duration)> {
        if self.known.borrow().is_empty() {
            return Vec::new();
        }
        let now = gateway.now();
        let registry = gateway.registry();
        let mut known = self.known.borrow_mut();
        known.retain(|upstream, pause| {
            let started_ms = registry.get(upstream).map(|entry| entry.started_ms);
            pause.until > now && (started_ms.is_none() || started_ms == pause.started_ms)
        });
        known.iter().map(|(upstream, pause)| (upstream.clone(), pause.until.since(now))).collect()
    }
}
