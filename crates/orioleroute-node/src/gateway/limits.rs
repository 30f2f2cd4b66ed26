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
    /// The rooms of the upstreams that say that they are brittle, and of those of their services that have not answered yet.
    rooms: RefCell<Map<Arc<str>, Room>>,
    /// The services of which an upstream has said that it is brittle.
    brittle_services: RefCell<Map<Arc<str>, Brittle>>,
}

/// What is known of a service with brittle upstreams.
#[derive(Clone, Copy)]
struct Brittle {
    /// How long answers take on average.
    latency: Option<Duration>,
    place: Place,
    /// When an answer last said so.
    at: Instant,
}

/// This instance's share of the room of a brittle upstream.
#[derive(Clone, Copy)]
struct Room {
    started_ms: u64,
    share: Share,
    /// When an answer last said so.
    at: Instant,
}

/// The weight of the newest answer in the average time of a brittle service. It is large, because answers take less time as soon
/// as fewer requests wait.
const LATENCY_WEIGHT: f64 = 0.2;

/// How long the upstreams of a service are taken to be brittle after one has said so. One that has fallen over is back after
/// some seconds.
const BRITTLE_TIME: Duration = Duration::from_secs(5);

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

impl Brittle {
    /// Returns this instance's share of the room of an upstream of the service.
    fn room(&self, upstream: &Description, now: Instant) -> Room {
        let Self { latency, place, at } = *self;
        let share = Share::of_room(upstream.slots, latency, place, unix_time(), now);
        Room { started_ms: upstream.started_ms, share, at }
    }
}

impl Limits {
    /// Returns the limit that an upstream has named to this instance, as a notice for the upstream's scheduler.
    pub fn notice(&self, gateway: &Gateway, upstream: &str) -> Option<Notice> {
        let known = self.get(upstream, started_ms(gateway, upstream))?;
        let age_ms = gateway.now().since(known.at).as_millis() as u64;
        Some(Notice { limit: Some(Limit::PerSecond(known.rate)), age_ms, ..Notice::default() })
    }

    /// Returns the time until this instance's shares of an upstream's limit and room allow a request.
    pub fn delay(&self, upstream: &Description, now: Instant) -> Duration {
        let known = self.get(&upstream.id, Some(upstream.started_ms));
        let limited = known.map_or(Duration::ZERO, |known| known.share.delay(now));
        let room = self.room(upstream, now);
        limited.max(room.map_or(Duration::ZERO, |room| room.share.delay(now)))
    }

    /// Records whether a plain upstream has said in an answer that it is brittle. `latency` is the time that the answer took,
    /// unless the request was turned away.
    pub fn observe_brittle(
        &self,
        gateway: &Gateway,
        upstream: &str,
        is_brittle: bool,
        latency: Option<Duration>,
    ) {
        if !is_brittle && self.brittle_services.borrow().is_empty() {
            return;
        }
        let now = gateway.now();
        let Some(upstream) = gateway.registry().get(upstream).cloned() else { return };
        if !is_brittle {
            let is_over = |room: &Room| Limit::Unlimited.replaces(Some(room.at), now);
            let mut rooms = self.rooms.borrow_mut();
            if rooms.get(&upstream.id).is_some_and(is_over) {
                rooms.remove(&upstream.id);
                self.brittle_services.borrow_mut().remove(&upstream.service);
                metrics::gauge!("orioleroute_brittle_upstreams").set(rooms.len() as f64);
                info!(gateway.log, "upstream is no longer brittle"; "upstream" => &*upstream.id);
            }
            return;
        }
        let before = self.brittle_services.borrow().get(&upstream.service).copied();
        let before = before.and_then(|brittle| brittle.latency);
        let latency = match (before, latency) {
            (Some(before), Some(latency)) => {
                Some(before.mul_f64(1.0 - LATENCY_WEIGHT) + latency.mul_f64(LATENCY_WEIGHT))
            }
            (before, latency) => latency.or(before),
        };
        let brittle = Brittle { latency, place: place(gateway), at: now };
        self.brittle_services.borrow_mut().insert(upstream.service.clone(), brittle);
        let mut rooms = self.rooms.borrow_mut();
        if !rooms.contains_key(&upstream.id) {
            info!(gateway.log, "upstream is brittle"; "upstream" => &*upstream.id);
        }
        let new = brittle.room(&upstream, now);
        let room = rooms.entry(upstream.id.clone()).or_insert(new);
        room.share.adopt(new.share);
        *room = Room { share: room.share, ..new };
        metrics::gauge!("orioleroute_brittle_upstreams").set(rooms.len() as f64);
    }

    /// Returns the share of an upstream's room, if it or another one of its service is brittle.
    fn room(&self, upstream: &Description, now: Instant) -> Option<Room> {
        let room = self.rooms.borrow().get(&upstream.id).copied();
        if let Some(room) = room.filter(|room| room.started_ms == upstream.started_ms) {
            return Some(room);
        }
        let brittle = self.brittle_services.borrow().get(&upstream.service).copied()?;
        (now.since(brittle.at) < BRITTLE_TIME).then(|| brittle.room(upstream, now))
    }

    /// Counts a request that this instance sends on its own account.
    pub fn take(&self, gateway: &Gateway, upstream: &str) {
        if !self.brittle_services.borrow().is_empty() {
            self.take_room(gateway, upstream);
        }
        if let Some(known) = self.known.borrow_mut().get_mut(upstream) {
            known.share.take(gateway.now());
        }
    }

    fn take_room(&self, gateway: &Gateway, upstream: &str) {
        let now = gateway.now();
        let listed = gateway.registry().get(upstream).cloned();
        if let Some(listed) = listed
            && let Some(mut room) = self.room(&listed, now)
        {
            room.share.take(now);
            self.rooms.borrow_mut().insert(listed.id, room);
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
        self.rooms.borrow_mut().retain(|upstream, _| is_listed(upstream));
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

/// Returns this instance's share of a limit.
fn share(gateway: &Gateway, upstream: &str, rate: f64) -> Share {
    let configuration = gateway.configuration();
    let is_scheduled = gateway
        .registry()
        .get(upstream)
        .zip(configuration.as_ref())
        .is_some_and(|(entry, configuration)| leadership::has_engine(configuration, entry));
    let rate = if is_scheduled { rate * UNSCHEDULED_SHARE } else { rate };
    Share::new(rate, place(gateway), unix_time(), gateway.now())
}

/// Returns the place of this instance among all. They rank themselves by their names.
fn place(gateway: &Gateway) -> Place {
    let roster = gateway.roster();
    let own = &roster.own().name;
    let rank = roster.peers().filter(|peer| peer.name < *own).count() as u32;
    Place { rank, instances: 1 + roster.peers().count() as u32 }
}

fn unix_time() -> Duration {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default()
}
