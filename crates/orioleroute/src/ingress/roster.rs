//! The instances that clients may use, from heartbeats between them.

use std::net::SocketAddr;

use crate::prelude::*;

/// How often an instance sends a heartbeat to each other one of its region.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(400);

/// Heartbeats in the own region for each one to another region, where bytes cost more and nobody waits
/// for an instance to fail.
pub const FAR_INTERVALS: u32 = 5;

/// The intervals without a heartbeat after which an instance is left out of answers to clients: two lost
/// ones and the delay of a busy processor.
const SUSPECT_INTERVALS: f64 = 3.25;

/// The intervals after which an instance counts as failed, and another may take its duties over.
const FAILED_INTERVALS: f64 = 6.5;

/// The most addresses in an answer to a client.
pub const MAX_ADDRESSES: usize = 64;

/// One instance as it announces itself in the table.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Member {
    /// Its name.
    pub name: Arc<str>,
    /// Distinguishes its starts.
    pub incarnation: u64,
    /// Its region.
    pub region: Arc<str>,
    /// Its availability zone.
    pub zone: Arc<str>,
    /// Where clients connect.
    pub caller_address: SocketAddr,
    /// Where other instances connect, and where they send heartbeats.
    pub peer_address: SocketAddr,
    /// What it can carry, in hundredths of a processor core.
    pub capacity: u32,
}

/// What an instance tells the others at regular times.
#[derive(Clone, Debug, serde::Serialize, serde::Deserialize)]
pub struct Heartbeat {
    /// The sender's name.
    pub name: Arc<str>,
    /// The sender's start.
    pub incarnation: u64,
    /// Whether clients may use it.
    pub is_serving: bool,
}

/// The instances as one of them knows them.
#[derive(Clone, Debug)]
pub struct Roster {
    own: Member,
    is_serving: bool,
    peers: Map<Arc<str>, Peer>,
}

#[derive(Clone, Debug)]
struct Peer {
    member: Member,
    known_since: Instant,
    heard: Option<Instant>,
    is_serving: bool,
}

impl Roster {
    /// Returns the roster of an instance that knows only itself.
    pub fn new(own: Member) -> Self {
        Self { own, is_serving: false, peers: Map::default() }
    }

    /// Returns this instance.
    pub fn own(&self) -> &Member {
        &self.own
    }

    /// Sets whether clients may use this instance.
    pub fn set_serving(&mut self, is_serving: bool) {
        self.is_serving = is_serving;
    }

    /// Takes note of an instance's entry in the table.
    pub fn admit(&mut self, member: Member, now: Instant) {
        if member.name == self.own.name {
            return;
        }
        match self.peers.get_mut(&member.name) {
            Some(peer) if peer.member == member => {}
            _ => {
                let peer = Peer {
                    member: member.clone(),
                    known_since: now,
                    heard: None,
                    is_serving: true,
                };
                self.peers.insert(member.name, peer);
            }
        }
    }

    /// Takes note that an instance's entry was removed.
    pub fn remove(&mut self, name: &str) {
        self.peers.remove(name);
    }

    /// Takes note of a heartbeat.
    pub fn hear(&mut self, heartbeat: &Heartbeat, now: Instant) {
        if let Some(peer) = self.peers.get_mut(&heartbeat.name) {
            peer.heard = Some(now);
            peer.is_serving = heartbeat.is_serving;
        }
    }

    /// Returns the heartbeat to send now.
    pub fn heartbeat(&self) -> Heartbeat {
        Heartbeat {
            name: self.own.name.clone(),
            incarnation: self.own.incarnation,
            is_serving: self.is_serving,
        }
    }

    /// Returns every other instance that is listed.
    pub fn peers(&self) -> impl Iterator<Item = &Member> {
        self.peers.values().map(|peer| &peer.member)
    }

    /// Returns an instance that is listed, this one included.
    pub fn member(&self, name: &str) -> Option<&Member> {
        if *name == *self.own.name {
            return Some(&self.own);
        }
        self.peers.get(name).map(|peer| &peer.member)
    }

    /// Returns whether an instance is listed and has not been silent for so long that it has failed.
    pub fn is_alive(&self, name: &str, now: Instant) -> bool {
        self.is_heard(name, FAILED_INTERVALS, now)
    }

    /// Returns the instances that can take duties on: those that serve and have not failed, this one
    /// included if it serves.
    pub fn serving(&self, now: Instant) -> Vec<&Member> {
        let peers = self
            .peers
            .values()
            .filter(|peer| peer.is_serving && self.hears(peer, FAILED_INTERVALS, now));
        let own = self.is_serving.then_some(&self.own);
        own.into_iter().chain(peers.map(|peer| &peer.member)).collect()
    }

    /// Returns whether an instance is listed and has been heard lately.
    pub fn is_responsive(&self, name: &str, now: Instant) -> bool {
        self.is_heard(name, SUSPECT_INTERVALS, now)
    }

    /// Returns how many heartbeat intervals pass between two heartbeats to a member.
    pub fn intervals(&self, member: &Member) -> u32 {
        if member.region == self.own.region { 1 } else { FAR_INTERVALS }
    }

    fn is_heard(&self, name: &str, intervals: f64, now: Instant) -> bool {
        let is_own = *name == *self.own.name;
        is_own || self.peers.get(name).is_some_and(|peer| self.hears(peer, intervals, now))
    }

    fn hears(&self, peer: &Peer, intervals: f64, now: Instant) -> bool {
        let interval = HEARTBEAT_INTERVAL * self.intervals(&peer.member);
        now.since(peer.heard.unwrap_or(peer.known_since)) < interval.mul_f64(intervals)
    }

    /// Returns the addresses for a client in `region` and `zone`: the serving instances of its
    /// region, else those of all regions, and this instance when no other is known.
    pub fn addresses(&self, region: &str, now: Instant) -> Vec<SocketAddr> {
        let own = self.is_serving.then_some(&self.own);
        let peers = self
            .peers
            .values()
            .filter(|peer| peer.is_serving && self.hears(peer, SUSPECT_INTERVALS, now));
        let serving: Vec<&Member> = own.into_iter().chain(peers.map(|peer| &peer.member)).collect();
        let near = serving.iter().filter(|member| *member.region == *region);
        let mut addresses: Vec<SocketAddr> = near.map(|member| member.caller_address).collect();
        if addresses.is_empty() {
            addresses = serving.iter().map(|member| member.caller_address).collect();
        }
        addresses.truncate(MAX_ADDRESSES);
        addresses
    }
}
