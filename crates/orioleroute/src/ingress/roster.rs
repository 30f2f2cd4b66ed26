//! The instances that clients may use, as determined from heartbeats between instances.

use std::net::SocketAddr;

use super::access::{Access, Service};
use super::feed::{READERS_PER_REGION, Table};
pub use super::member::{Contact, Heartbeat, Member};
use crate::hash;
use crate::prelude::*;
use crate::scheduler::overflow::{LOAD_TTL, Load};

/// Interval between heartbeats from an instance to each other one of its region.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(400);

/// Number of heartbeat intervals between heartbeats to an instance of another region. Traffic between
/// regions costs more, and nothing there depends on the quick detection of a failed instance. Only the
/// readers of a region and the schedulers send them, so their number grows with that of the instances
/// and not with its square.
pub const REMOTE_INTERVALS: u32 = 5;

/// Number of intervals without a heartbeat after which an instance is left out of answers to clients.
/// This allows for two lost heartbeats and the delay of a busy processor.
const SUSPECT_INTERVALS: f64 = 3.25;

/// Number of intervals without a heartbeat after which an instance counts as failed, and another one
/// may take over its duties.
const FAILED_INTERVALS: f64 = 6.5;

/// Maximum number of addresses in an answer to a client.
pub const MAX_ADDRESSES: usize = 64;

/// The instances that are known to one of them.
#[derive(Clone, Debug)]
pub struct Roster {
    own: Member,
    is_serving: bool,
    /// The access of this instance to the store.
    store: Access,
    /// The tables that this instance has lately failed to read.
    unread: Vec<Table>,
    /// Whether this instance reaches no upstream although others do.
    is_cut_off: bool,
    peers: Map<Arc<str>, Peer>,
    loads: Map<Arc<str>, (Load, Instant)>,
}

#[derive(Clone, Debug)]
struct Peer {
    member: Member,
    added: Instant,
    last_heartbeat: Option<Instant>,
    incarnations: Incarnations,
    is_serving: bool,
    store: Access,
    unread: Vec<Table>,
    is_cut_off: bool,
    /// The availability zones that the instance schedules, by its last heartbeat.
    scheduled: Vec<Arc<str>>,
}

/// The incarnations of an instance, by which late heartbeats are recognized. They are not ordered by size,
/// because they are taken from the time of day, which may jump back.
#[derive(Clone, Debug, Default)]
struct Incarnations {
    current: Option<u64>,
    previous: Option<u64>,
}

impl Incarnations {
    /// Returns whether a heartbeat is not from the previous incarnation, and records its incarnation if so.
    fn accept(&mut self, heartbeat: &Heartbeat) -> bool {
        let incarnation = Some(heartbeat.incarnation);
        if incarnation == self.current {
            return true;
        }
        if incarnation == self.previous {
            return false;
        }
        self.previous = std::mem::replace(&mut self.current, incarnation);
        true
    }
}

impl Roster {
    /// Returns a roster that contains only the instance `own`.
    pub fn new(own: Member) -> Self {
        Self {
            own,
            is_serving: false,
            store: Access::Unused,
            unread: Vec::new(),
            is_cut_off: false,
            peers: Map::default(),
            loads: Map::default(),
        }
    }

    /// Returns the entry of this instance.
    pub fn own(&self) -> &Member {
        &self.own
    }

    /// Sets whether clients may use this instance.
    pub fn set_serving(&mut self, is_serving: bool) {
        self.is_serving = is_serving;
    }

    /// Sets the access of this instance to the store.
    pub fn set_store(&mut self, store: Access) {
        self.store = store;
    }

    /// Sets the tables that this instance has lately failed to read.
    pub fn set_unread(&mut self, unread: Vec<Table>) {
        self.unread = unread;
    }

    /// Sets whether this instance reaches no upstream although others do.
    pub fn set_cut_off(&mut self, is_cut_off: bool) {
        self.is_cut_off = is_cut_off;
    }

    /// Returns whether an instance reaches no upstream although others do, by its last heartbeat.
    pub fn is_cut_off(&self, name: &str) -> bool {
        match *name == *self.own.name {
            true => self.is_cut_off,
            false => self.peers.get(name).is_some_and(|peer| peer.is_cut_off),
        }
    }

    /// Returns the instances that can take on duties towards upstreams: of the [serving](Self::serving) ones those that are
    /// not cut off, or all if all are.
    pub fn capable(&self, now: Instant) -> Vec<&Member> {
        let serving = self.serving(now);
        let connected = || serving.iter().copied().filter(|it| !self.is_cut_off(&it.name));
        if connected().next().is_some() { connected().collect() } else { serving }
    }

    /// Returns the other instances by way of which this one may reach upstreams, the nearest first and otherwise in an
    /// order of its own.
    pub fn detours(&self, now: Instant) -> Vec<&Member> {
        let item = hash::digest(&*self.own.name);
        let peers = self.peers.values().filter(|peer| self.passes_on(peer, now));
        let mut detours: Vec<&Member> = peers.map(|peer| &peer.member).collect();
        let score = |it: &Member| hash::score(item, hash::digest(&*it.name), it.capacity.max(1));
        detours.sort_by(|one, other| {
            let distance = |it: &Member| (it.region != self.own.region, it.zone != self.own.zone);
            distance(one).cmp(&distance(other)).then(score(other).total_cmp(&score(one)))
        });
        detours
    }

    /// Returns whether an instance is one of those [by way of which](Self::detours) upstreams may be reached. One that stops
    /// is none.
    pub fn is_detour(&self, name: &str, now: Instant) -> bool {
        self.peers.get(name).is_some_and(|peer| self.passes_on(peer, now))
    }

    /// Returns whether an instance has said that it serves no clients, because it stops or has just started.
    pub fn is_out_of_service(&self, name: &str) -> bool {
        self.peers.get(name).is_some_and(|peer| !peer.is_serving)
    }

    /// Returns whether an instance passes connections on. One that was only read from the table may be stopping, and one of an
    /// older release would not say so when asked.
    fn passes_on(&self, peer: &Peer, now: Instant) -> bool {
        peer.last_heartbeat.is_some() && self.is_in_service(peer, now) && !peer.is_cut_off
    }

    fn is_in_service(&self, peer: &Peer, now: Instant) -> bool {
        peer.is_serving && self.has_recent_heartbeat(peer, FAILED_INTERVALS, now)
    }

    /// Adds or updates another instance from its entry in the table.
    pub fn upsert(&mut self, member: Member, now: Instant) {
        if member.name == self.own.name {
            return;
        }
        match self.peers.get_mut(&member.name) {
            Some(peer) if peer.member == member => {}
            _ => {
                let peer = Peer {
                    member: member.clone(),
                    added: now,
                    last_heartbeat: None,
                    incarnations: Incarnations::default(),
                    is_serving: true,
                    store: Access::Unused,
                    unread: Vec::new(),
                    is_cut_off: false,
                    scheduled: Vec::new(),
                };
                self.peers.insert(member.name, peer);
            }
        }
    }

    /// Removes an instance whose entry in the table was removed.
    pub fn remove(&mut self, name: &str) {
        self.peers.remove(name);
    }

    /// Records a heartbeat. Those of unknown instances, and those that the previous incarnation of the sender
    /// sent, are ignored.
    pub fn record_heartbeat(&mut self, heartbeat: &Heartbeat, now: Instant) {
        if let Some(peer) = self.peers.get_mut(&heartbeat.name) {
            if !peer.incarnations.accept(heartbeat) {
                return;
            }
            peer.last_heartbeat = Some(now);
            peer.is_serving = heartbeat.is_serving;
            peer.store = Access::from_report(heartbeat.store, now);
            peer.unread.clone_from(&heartbeat.unread);
            peer.is_cut_off = heartbeat.is_cut_off;
            peer.scheduled = heartbeat.loads.iter().map(|load| load.zone.clone()).collect();
            self.record_loads(&heartbeat.loads, now);
        }
    }

    /// Records the loads of zones.
    pub fn record_loads(&mut self, loads: &[Load], now: Instant) {
        for load in loads {
            self.loads.insert(load.zone.clone(), (load.clone(), now));
        }
    }

    /// Returns the recent loads of zones.
    pub fn loads(&self, now: Instant) -> impl Iterator<Item = &Load> {
        let recent = self.loads.values().filter(move |(_, at)| now.since(*at) < LOAD_TTL);
        recent.map(|(load, _)| load)
    }

    /// Returns since when the store has answered another instance, by the earliest that it still answers.
    pub fn store_available_since(&self, now: Instant) -> Option<Instant> {
        self.peers.values().filter_map(|peer| peer.store.available_since(now)).min()
    }

    /// Returns the heartbeat of this instance, given the loads of the zones that it schedules.
    pub fn heartbeat(&self, loads: Vec<Load>, now: Instant) -> Heartbeat {
        Heartbeat {
            name: self.own.name.clone(),
            incarnation: self.own.incarnation,
            is_serving: self.is_serving,
            store: self.store.report(now),
            unread: self.unread.clone(),
            is_cut_off: self.is_cut_off,
            loads,
        }
    }

    /// Returns the other listed instances.
    pub fn peers(&self) -> impl Iterator<Item = &Member> {
        self.peers.values().map(|peer| &peer.member)
    }

    /// Returns the listed instance with this name, which may be this one.
    pub fn member(&self, name: &str) -> Option<&Member> {
        if *name == *self.own.name {
            return Some(&self.own);
        }
        self.peers.get(name).map(|peer| &peer.member)
    }

    /// Returns whether an instance is listed and does not count as failed.
    pub fn is_alive(&self, name: &str, now: Instant) -> bool {
        self.is_recent(name, FAILED_INTERVALS, now)
    }

    /// Returns whether another instance that does not count as failed schedules a zone, by its heartbeats.
    pub fn is_scheduled(&self, zone: &str, now: Instant) -> bool {
        self.peers.values().any(|peer| {
            peer.scheduled.iter().any(|scheduled| **scheduled == *zone)
                && self.has_recent_heartbeat(peer, FAILED_INTERVALS, now)
        })
    }

    /// Returns the instances that can take on duties: those that are serving and have not failed,
    /// including this one if it is serving.
    pub fn serving(&self, now: Instant) -> Vec<&Member> {
        let peers = self.peers.values().filter(|peer| self.is_in_service(peer, now));
        let own = self.is_serving.then_some(&self.own);
        own.into_iter().chain(peers.map(|peer| &peer.member)).collect()
    }

    /// Returns the instances of this region that are to read the store for the others, the first choice
    /// first: the [candidates](Self::is_reader_candidate), but in place of one whose calls to the store
    /// fail the next instance that the store serves. If it serves none, the candidates remain, so that in an
    /// outage no others begin to call it. In place of one that cannot read a single table, the next instance
    /// of which that is not known.
    pub fn readers(&self, now: Instant) -> Vec<Arc<str>> {
        let mut candidates = self.ranked(now);
        let rest = candidates.split_off(READERS_PER_REGION.min(candidates.len()));
        let (failing, mut readers): (Vec<_>, Vec<_>) =
            candidates.into_iter().partition(|(_, service)| service.is_failing());
        let partly = failing.iter().filter(|(_, service)| *service == Service::Partial).count();
        let (served, unknown): (Vec<_>, Vec<_>) = rest
            .into_iter()
            .filter(|(_, service)| !service.is_failing())
            .partition(|(_, service)| *service == Service::Whole);
        let missing = failing.len().saturating_sub(served.len()).min(partly);
        readers.extend(served.into_iter().take(failing.len()));
        readers.extend(unknown.into_iter().take(missing));
        readers.extend(failing);
        readers.truncate(READERS_PER_REGION);
        readers.into_iter().map(|(member, _)| member.name.clone()).collect()
    }

    /// Returns whether this instance is among those that read the store if it serves them.
    pub fn is_reader_candidate(&self, now: Instant) -> bool {
        let ranked = self.ranked(now);
        ranked.iter().take(READERS_PER_REGION).any(|(member, _)| member.name == self.own.name)
    }

    /// Returns the instances, at most `count`, from which this one is to get the tables: the readers of its
    /// region, first those that the store is known to serve. If it serves none of them, instances of other
    /// regions that it serves come first, different ones for each instance.
    pub fn sources(&self, count: usize, now: Instant) -> Vec<Arc<str>> {
        let service = |name: &Arc<str>| match self.peers.get(name) {
            Some(peer) => Service::of(peer.store, &peer.unread),
            None => Service::of(self.store, &self.unread),
        };
        let mut readers = self.readers(now);
        let own = &self.own.name;
        let is_cut_off = match readers.is_empty() {
            true => Service::of(self.store, &self.unread).is_failing(),
            false => readers.iter().all(|name| service(name).is_failing()),
        };
        let remote = match is_cut_off {
            true => self.served_elsewhere(now),
            false => Vec::new(),
        };
        readers.sort_by_key(service);
        let near = readers.into_iter().filter(|reader| reader != own);
        remote.into_iter().chain(near).take(count).collect()
    }

    /// Returns the instances of other regions that the store serves, in an order of this instance's own.
    fn served_elsewhere(&self, now: Instant) -> Vec<Arc<str>> {
        let item = hash::digest(&*self.own.name);
        let served = self.peers.values().filter(|peer| {
            peer.member.region != self.own.region
                && peer.is_serving
                && Service::of(peer.store, &peer.unread) == Service::Whole
                && self.has_recent_heartbeat(peer, SUSPECT_INTERVALS, now)
        });
        let mut ranked: Vec<(f64, &Member)> = served
            .map(|peer| (hash::score(item, hash::digest(&*peer.member.name), 1), &peer.member))
            .collect();
        ranked.sort_by(|(score, _), (other, _)| other.total_cmp(score));
        ranked.into_iter().map(|(_, member)| member.name.clone()).collect()
    }

    /// Returns the serving instances of this region with how the store serves them, ranked by rendezvous
    /// hashing weighted by capacity, so that all instances agree and few change places when one fails.
    fn ranked(&self, now: Instant) -> Vec<(&Member, Service)> {
        let peers = self.peers.values().filter(|peer| {
            peer.member.region == self.own.region
                && peer.is_serving
                && self.has_recent_heartbeat(peer, SUSPECT_INTERVALS, now)
        });
        let own = self.is_serving.then(|| (&self.own, Service::of(self.store, &self.unread)));
        let item = hash::digest(&*self.own.region);
        let peers = peers.map(|peer| (&peer.member, Service::of(peer.store, &peer.unread)));
        let mut ranked: Vec<(f64, (&Member, Service))> = own
            .into_iter()
            .chain(peers)
            .map(|(member, service)| {
                let node = hash::digest(&*member.name);
                (hash::score(item, node, member.capacity.max(1)), (member, service))
            })
            .collect();
        ranked.sort_by(|(score, _), (other, _)| other.total_cmp(score));
        ranked.into_iter().map(|(_, member)| member).collect()
    }

    /// Returns whether an instance is listed and has sent a recent heartbeat.
    pub fn is_responsive(&self, name: &str, now: Instant) -> bool {
        self.is_recent(name, SUSPECT_INTERVALS, now)
    }

    /// Returns how many of the other instances have sent a recent heartbeat.
    pub fn contact(&self, now: Instant) -> Contact {
        let mut contact = Contact::default();
        for peer in self.peers.values() {
            // The time since an instance was listed is no contact with it.
            let is_responsive = peer.last_heartbeat.is_some()
                && self.has_recent_heartbeat(peer, SUSPECT_INTERVALS, now);
            let (listed, responsive) = match peer.member.region == self.own.region {
                true => (&mut contact.near, &mut contact.near_responsive),
                false => (&mut contact.remote, &mut contact.remote_responsive),
            };
            *listed += 1;
            *responsive += usize::from(is_responsive);
        }
        contact
    }

    /// Returns the number of heartbeat intervals between two heartbeats to a member.
    pub fn heartbeat_stride(&self, member: &Member) -> u32 {
        if member.region == self.own.region { 1 } else { REMOTE_INTERVALS }
    }

    /// Returns the time since the last heartbeat of another instance, or zero if none has arrived.
    pub fn silence(&self, name: &str, now: Instant) -> Duration {
        let last = self.peers.get(name).and_then(|peer| peer.last_heartbeat);
        last.map_or(Duration::ZERO, |last| now.since(last))
    }

    /// Returns whether an instance is listed in another region.
    pub fn is_remote(&self, name: &str) -> bool {
        self.peers.get(name).is_some_and(|peer| peer.member.region != self.own.region)
    }

    fn is_recent(&self, name: &str, intervals: f64, now: Instant) -> bool {
        let is_own = *name == *self.own.name;
        is_own
            || self
                .peers
                .get(name)
                .is_some_and(|peer| self.has_recent_heartbeat(peer, intervals, now))
    }

    fn has_recent_heartbeat(&self, peer: &Peer, intervals: f64, now: Instant) -> bool {
        let interval = HEARTBEAT_INTERVAL * self.heartbeat_stride(&peer.member);
        now.since(peer.last_heartbeat.unwrap_or(peer.added)) < interval.mul_f64(intervals)
    }

    /// Returns the addresses for a client in `region`: those of the serving instances of the region,
    /// or of all regions if it has none. Those that reach no upstream are left out if others do. The list is
    /// empty if no instance is serving.
    pub fn addresses(&self, region: &str, now: Instant) -> Vec<SocketAddr> {
        let own = self.is_serving.then_some(&self.own);
        let peers = self.peers.values().filter(|peer| {
            peer.is_serving && self.has_recent_heartbeat(peer, SUSPECT_INTERVALS, now)
        });
        let mut serving: Vec<&Member> =
            own.into_iter().chain(peers.map(|peer| &peer.member)).collect();
        if serving.iter().any(|member| !self.is_cut_off(&member.name)) {
            serving.retain(|member| !self.is_cut_off(&member.name));
        }
        let near = serving.iter().filter(|member| *member.region == *region);
        let mut addresses: Vec<SocketAddr> = near.map(|member| member.caller_address).collect();
        if addresses.is_empty() {
            // Most instances of another region send no heartbeats to this one. They count as serving
            // while some of their region do, unless they have said that they do not serve.
            let regions: Set<&str> = serving.iter().map(|member| &*member.region).collect();
            let silent = self.peers.values().filter(|peer| peer.is_serving);
            let unknown = silent.map(|peer| &peer.member).filter(|member| {
                member.region != self.own.region
                    && regions.contains(&*member.region)
                    && !serving.iter().any(|known| known.name == member.name)
                    && !self.is_cut_off(&member.name)
            });
            addresses =
                serving.iter().copied().chain(unknown).map(|it| it.caller_address).collect();
        }
        addresses.truncate(MAX_ADDRESSES);
        addresses
    }
}
