//! The instances that clients may use, from heartbeats between them.

use std::net::SocketAddr;

use crate::prelude::*;

/// How often an instance sends a heartbeat to each other one.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(400);

/// The silence after which an instance is left out of answers to clients: two lost heartbeats and
/// the delay of a busy processor.
pub const SUSPECT_AFTER: Duration = Duration::from_millis(1_300);

/// The silence after which an instance counts as failed, and another may take its duties over: four
/// more lost heartbeats.
pub const FAILED_AFTER: Duration = Duration::from_millis(2_600);

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

    /// Returns how long an instance has been silent, or `None` for one that is not listed.
    pub fn silence(&self, name: &str, now: Instant) -> Option<Duration> {
        if *name == *self.own.name {
            return Some(Duration::ZERO);
        }
        let peer = self.peers.get(name)?;
        Some(now.since(peer.heard.unwrap_or(peer.known_since)))
    }

    /// Returns whether an instance that is listed has been heard lately.
    pub fn is_alive(&self, name: &str, now: Instant) -> bool {
        self.silence(name, now).is_some_and(|silence| silence < FAILED_AFTER)
    }

    /// Returns the addresses for a client in `region` and `zone`: the serving instances of its
    /// region, else those of all regions, and this instance when no other is known.
    pub fn addresses(&self, region: &str, now: Instant) -> Vec<SocketAddr> {
        let own = self.is_serving.then_some(&self.own);
        let peers = self.peers.values().filter(|peer| {
            let silence = now.since(peer.heard.unwrap_or(peer.known_since));
            peer.is_serving && silence < SUSPECT_AFTER
        });
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
