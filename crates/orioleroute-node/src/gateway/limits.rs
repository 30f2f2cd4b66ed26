//! The limits that upstreams have named to this instance, and its share of those whose requests no scheduler grants.

use std::cell::RefCell;
use std::time::{SystemTime, UNIX_EPOCH};

use orioleroute::ingress::Notice;
use orioleroute::ingress::notice::Limit;
use orioleroute::ingress::pace::{Place, Share};
use orioleroute::ingress::upstream::Description;
use orioleroute::prelude::*;
use slog::info;

use super::leadership;
use super::state::Gateway;

/// The part of an engine's limit that is left for requests that no scheduler grants. Its scheduler may be granting the
/// whole limit meanwhile.
const UNSCHEDULED_SHARE: f64 = 0.5;

/// The limits that upstreams have named.
#[derive(Default)]
pub struct Limits {
    known: RefCell<Map<Arc<str>, Known>>,
}

/// What an upstream has named.
#[derive(Clone, Copy)]
struct Known {
    /// The start time of the upstream.
    started_ms: Option<u64>,
    rate: f64,
    /// When the answer arrived that named it.
    at: Instant,
    /// This instance's share.
    share: Share,
}

impl Limits {
    /// Returns the limit that an upstream has named to this instance, as a notice for the upstream's scheduler.
    pub fn notice(&self, gateway: &Gateway, upstream: &str) -> Option<Notice> {
        let known = self.get(upstream, started_ms(gateway, upstream))?;
        let age_ms = gateway.now().since(known.at).as_millis() as u64;
        Some(Notice { limit: Some(Limit::PerSecond(known.rate)), age_ms, ..Notice::default() })
    }

    /// Returns the time until this instance's share of an upstream's limit allows a request.
    pub fn delay(&self, upstream: &Description, now: Instant) -> Duration {
        let known = self.get(&upstream.id, Some(upstream.started_ms));
        known.map_or(Duration::ZERO, |known| known.share.delay(now))
    }

    /// Counts a request that this instance sends on its own account.
    pub fn take(&self, gateway: &Gateway, upstream: &str) {
        if let Some(known) = self.known.borrow_mut().get_mut(upstream) {
            known.share.take(gateway.now());
        }
    }

    /// Records what an upstream said in an answer that has just arrived.
    pub fn observe(&self, gateway: &Gateway, upstream: &Arc<str>, limit: Limit) {
        let now = gateway.now();
        let started_ms = started_ms(gateway, upstream);
        let before = self.get(upstream, started_ms);
        if !limit.replaces(before.map(|known| known.at), now) {
            return;
        }
        match limit {
            Limit::Unlimited => drop(self.known.borrow_mut().remove(upstream)),
            Limit::PerSecond(rate) => {
                let new = share(gateway, upstream, rate);
                let mut share = before.map_or(new, |known| known.share);
                share.adopt(new);
                let known = Known { started_ms, rate, at: now, share };
                self.known.borrow_mut().insert(upstream.clone(), known);
            }
        }
        self.update_gauge();
        let after = self.known.borrow().get(upstream).map(|known| known.rate);
        if before.map(|known| known.rate) != after {
            info!(gateway.log, "upstream limit changed"; "upstream" => &**upstream,
                "before" => before.map(|known| known.rate), "after" => after);
        }
    }

    /// Forgets upstreams that are no longer listed.
    pub fn prune(&self, is_listed: impl Fn(&str) -> bool) {
        if self.known.borrow().is_empty() {
            return;
        }
        self.known.borrow_mut().retain(|upstream, _| is_listed(upstream));
        self.update_gauge();
    }

    fn update_gauge(&self) {
        metrics::gauge!("orioleroute_limited_upstreams").set(self.known.borrow().len() as f64);
    }

    /// Returns what an upstream has named, unless it has been started again since.
    fn get(&self, upstream: &str, started_ms: Option<u64>) -> Option<Known> {
        let known = self.known.borrow().get(upstream).copied()?;
        (started_ms.is_none() || started_ms == known.started_ms).then_some(known)
    }
}

fn started_ms(gateway: &Gateway, upstream: &str) -> Option<u64> {
    gateway.registry().get(upstream).map(|entry| entry.started_ms)
}

/// Returns this instance's share of a limit. All instances rank themselves by their names.
fn share(gateway: &Gateway, upstream: &str, rate: f64) -> Share {
    let configuration = gateway.configuration();
    let is_scheduled = gateway
        .registry()
        .get(upstream)
        .zip(configuration.as_ref())
        .is_some_and(|(entry, configuration)| leadership::has_engine(configuration, entry));
    let rate = if is_scheduled { rate * UNSCHEDULED_SHARE } else { rate };
    let place = {
        let roster = gateway.roster();
        let own = &roster.own().name;
        let rank = roster.peers().filter(|peer| peer.name < *own).count() as u32;
        Place { rank, instances: 1 + roster.peers().count() as u32 }
    };
    let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    Share::new(rate, place, unix, gateway.now())
}
