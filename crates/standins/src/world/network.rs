//! Delivery of messages between nodes, with loss, duplicates and delays.

use std::net::SocketAddr;
use std::time::Duration;

use orioleroute::message::Message;
use orioleroute::prelude::Event;

use super::queue::Delivery;
use super::{LOCAL_DELAY_US, REMOTE_DELAY_US, World, node_of};

/// The faults of messages between nodes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Network {
    /// Percentage of messages that are sent twice, each copy with a delay of its own.
    ///
    /// [`World::duplicate_percent`] instead repeats events on arrival, replies and reports included.
    pub duplicate_percent: u64,
    /// Percentage of messages that are delayed, so that later ones may overtake them.
    pub delay_percent: u64,
    /// Upper bound of the extra delay of such a message.
    pub max_delay: Duration,
}

impl World {
    pub(super) fn send(&mut self, from: usize, address: SocketAddr, message: Message) {
        let to = node_of(address);
        let bytes = orioleroute_wire::rpc::encode(&message).map_or(0, |encoded| encoded.len());
        let counts = &mut self.nodes[from].counts;
        counts.messages += 1;
        counts.bytes += bytes as u64;
        if self.partitions.contains(&(from, to)) || to >= self.nodes.len() {
            return;
        }
        if self.random_chance(self.network.duplicate_percent) {
            self.push_message(from, to, message.clone());
        }
        self.push_message(from, to, message);
    }

    fn push_message(&mut self, from: usize, to: usize, message: Message) {
        let local = self.nodes[from].identity.region == self.nodes[to].identity.region;
        let mut delay = self.delay(if local { LOCAL_DELAY_US } else { REMOTE_DELAY_US });
        if self.random_chance(self.network.delay_percent) {
            let longest = self.network.max_delay.as_micros() as u64;
            delay += self.delay((0, longest.max(1)));
        }
        let name = self.nodes[from].identity.name.clone();
        let event = Event::Message { from: name, message };
        // The address names no incarnation. The message goes to the current one, and is lost if the
        // node restarts before it arrives.
        let incarnation = self.nodes[to].identity.incarnation;
        self.queue.push(self.now + delay, Delivery::Event { node: to, incarnation, event });
    }

    /// Returns `true` with a probability of `percent`.
    fn random_chance(&mut self, percent: u64) -> bool {
        percent > 0 && self.random_below(100) < percent
    }
}
