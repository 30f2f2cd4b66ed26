//! An instance as others know it: its entry in the table, its heartbeats, and the contact with it.

use std::net::SocketAddr;

use super::access::Report;
use super::feed::Table;
use crate::prelude::*;
use crate::scheduler::overflow::Load;

/// The entry that an instance writes for itself in the table.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Member {
    /// The instance's name.
    pub name: Arc<str>,
    /// A number that differs between starts of the instance.
    pub incarnation: u64,
    /// The instance's region.
    pub region: Arc<str>,
    /// The instance's availability zone.
    pub zone: Arc<str>,
    /// The address for clients.
    pub caller_address: SocketAddr,
    /// The address for connections and heartbeats of other instances.
    pub peer_address: SocketAddr,
    /// The instance's capacity, in hundredths of a processor core.
    pub capacity: u32,
}

/// A heartbeat, which an instance sends to the others at regular intervals.
#[derive(Clone, Debug, serde::Serialize, serde::Deserialize)]
pub struct Heartbeat {
    /// The sender's name.
    pub name: Arc<str>,
    /// The sender's incarnation.
    pub incarnation: u64,
    /// Whether clients may use the sender.
    pub is_serving: bool,
    /// The sender's access to the store.
    #[serde(default, skip_serializing_if = "Report::is_unused")]
    pub store: Report,
    /// The tables that the sender has lately failed to read from the store.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub unread: Vec<Table>,
    /// Whether the sender reaches no upstream although others do.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub is_cut_off: bool,
    /// The loads of the availability zones that the sender schedules.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub loads: Vec<Load>,
}

/// How many of the instances that could take over a duty are listed, and how many are responsive.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Contact {
    /// The number of other listed instances in the region.
    pub near: usize,
    /// The number of those that have sent a recent heartbeat.
    pub near_responsive: usize,
    /// The number of listed instances in other regions.
    pub remote: usize,
    /// The number of those that have sent a recent heartbeat.
    pub remote_responsive: usize,
}

impl Contact {
    /// Returns whether any other instance is responsive.
    pub fn is_present(&self) -> bool {
        self.near_responsive + self.remote_responsive > 0
    }

    /// Returns whether most instances of the region, this one included, are in contact, and an instance
    /// of another region if any is listed.
    pub fn covers_successors(&self) -> bool {
        let is_near_majority = 2 * (self.near_responsive + 1) > self.near + 1;
        is_near_majority && (self.remote == 0 || self.remote_responsive > 0)
    }
}
