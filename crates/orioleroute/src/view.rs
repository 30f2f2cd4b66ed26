//! Views: the instances of a region, from which the owner of each upstream follows.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::hash::{digest, weight, winner};
use crate::instance::Instance;

/// The maximum number of instances that grant one instance's lease.
pub const WATCHERS: usize = 2;

/// The members of one region, as agreed in the table.
///
/// The version of the row is the version of the view and the fencing token of all orders issued
/// under it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct View {
    /// The region.
    pub region: Arc<str>,
    /// The version; zero if no view is known yet.
    pub version: u64,
    /// The token of the write that created it, by which its writer recognises it.
    pub token: u64,
    /// The members, in the order in which they joined.
    pub members: Vec<Instance>,
    /// Removed members whose leases may still be extended by watchers.
    pub unclean: Vec<Arc<str>>,
}

impl View {
    /// Returns the key of the row that holds the view of `region`.
    pub fn row_key(region: &str) -> Arc<str> {
        format!("view/{region}").into()
    }

    /// Returns the member called `name`.
    pub fn member(&self, name: &str) -> Option<&Instance> {
        self.members.iter().find(|member| &*member.name == name)
    }

    /// Returns the owner of the upstream whose name has this digest, by rendezvous hashing.
    pub fn owner(&self, upstream: u64) -> Option<&Instance> {
        winner(upstream, self.digests())
    }

    /// Returns the members with the digests of their names, for rendezvous hashing.
    pub fn digests(&self) -> impl Iterator<Item = (u64, &Instance)> {
        self.members.iter().map(|member| (digest(&*member.name), member))
    }

    /// Returns the watchers of `name`: the members that follow it in the ring, ordered by hash.
    pub fn watchers(&self, name: &str) -> impl Iterator<Item = &Instance> {
        let ring = self.ring();
        let start = ring.iter().position(|member| &*member.name == name);
        let count = if start.is_some() { WATCHERS.min(ring.len() - 1) } else { 0 };
        let start = start.unwrap_or(0);
        (1..=count).map(move |step| ring[(start + step) % ring.len()])
    }

    /// Returns the members that `name` watches: those that precede it in the ring.
    ///
    /// This sorts the members once, whereas a call of [`Self::is_watcher`] for each member would sort
    /// them each time.
    pub fn watched(&self, name: &str) -> impl Iterator<Item = &Instance> {
        let ring = self.ring();
        let end = ring.iter().position(|member| &*member.name == name);
        let count = if end.is_some() { WATCHERS.min(ring.len() - 1) } else { 0 };
        let end = end.unwrap_or(0);
        (1..=count).map(move |step| ring[(end + ring.len() - step) % ring.len()])
    }

    fn ring(&self) -> Vec<&Instance> {
        let mut ring: Vec<&Instance> = self.members.iter().collect();
        ring.sort_by_cached_key(|member| (digest(&*member.name), member.name.clone()));
        ring
    }

    /// Returns whether `watcher` watches `name`.
    pub fn is_watcher(&self, watcher: &str, name: &str) -> bool {
        self.watchers(name).any(|member| &*member.name == watcher)
    }

    /// Returns the members in order of preference for an item with this digest.
    pub fn preference(&self, item: u64) -> Vec<&Instance> {
        let mut order: Vec<&Instance> = self.members.iter().collect();
        order.sort_by_key(|member| std::cmp::Reverse(weight(item, digest(&*member.name))));
        order
    }
}
