//! Messages between nodes, lost, doubled and late.

use std::net::SocketAddr;
use std::time::Duration;

use orioleroute::message::Message;
use orioleroute::prelude::Event;

use super::queue::Delivery;
use super::{LOCAL_DELAY_US, REMOTE_DELAY_US, World, node_of};

/// How messages between nodes are doubled and delayed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Network {
    /// How many of a hundred messages arrive twice.
    pub doubled: u64,
    /// How many of a hundred messages are late, and so overtaken by later ones.
    pub delayed: u64,
    /// How late they are at most.
    pub delay: Duration,
}

impl World {
    pub(super) fn send(&mut self, from: usize, address: SocketAddr, message: Message) {
        let to = node_of(address);
        let bytes = orioleroute_wire::rpc::encode(&message).map_or(0, |encoded| encoded.len());
        let counts = &mut self.nodes[from].counts;
        counts.messages += 1;
        counts.bytes += bytes as u64;
        if self.cuts.contains(&(from, to)) || to >= self.nodes.len() {
            return;
        }
        if self.strikes(self.network.doubled) {
            self.pass(from, to, message.clone());
        }
        self.pass(from, to, message);
    }

    fn pass(&mut self, from: usize, to: usize, message: Message) {
        let local = self.nodes[from].identity.region == self.nodes[to].identity.region;
        let mut delay = self.delay(if local { LOCAL_DELAY_US } else { REMOTE_DELAY_US });
        if self.strikes(self.network.delayed) {
            let longest = self.network.delay.as_micros() as u64;
            delay += self.delay((0, longest.max(1)));
        }
        let name = self.nodes[from].identity.name.clone();
        let event = Event::Message { from: name, message };
        // A message is to whoever listens there, whatever its incarnation.
        let incarnation = self.nodes[to].identity.incarnation;
        self.queue.push(self.now + delay, Delivery::Event { node: to, incarnation, event });
    }

    /// Draws whether something that happens to so many of a hundred happens now.
    fn strikes(&mut self, percent: u64) -> bool {
        percent > 0 && self.draw(100) < percent
    }
}
