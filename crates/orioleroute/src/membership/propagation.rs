//! Propagation of a view to the members of its region.

use super::{MAX_REMOVED, Membership, Peer, SUSPICION_TIMEOUT};
use crate::effect::Effects;
use crate::message::Message;
use crate::prelude::*;
use crate::view::View;

impl Membership {
    pub(super) fn handle_view(&mut self, now: Instant, view: &View, effects: &mut Effects) {
        let known = self.views.get(&view.region).map_or(0, |known| known.version);
        if view.version <= known {
            return;
        }
        let previous = self.views.insert(view.region.clone(), view.clone());
        self.generation += 1;
        if view.region == self.identity.region {
            self.previous_view = previous;
            self.record_removed();
        }
        if view.region == self.identity.region {
            self.apply_view(now, effects);
        }
    }

    /// Records the members that the applied view removed, so that they can be sent the view.
    fn record_removed(&mut self) {
        let Some(last) = &self.previous_view else { return };
        let view = &self.views[&self.identity.region];
        if self.removed.len() >= MAX_REMOVED {
            self.removed.clear();
        }
        let removed = last.members.iter().filter(|member| view.member(&member.name).is_none());
        self.removed.extend(removed.map(|member| (member.name.clone(), member.peer_address)));
        self.removed.retain(|name, _| view.member(name).is_none());
    }

    /// Applies a new view of this instance's region.
    fn apply_view(&mut self, now: Instant, effects: &mut Effects) {
        self.grants.clear();
        self.confirmed_at = None;
        self.next_poll = now;
        let view = &self.views[&self.identity.region];
        self.peers.retain(|name, _| view.member(name).is_some());
        for member in &view.members {
            let new_peer = Peer { last_message: now, last_grant: now, ..Peer::default() };
            let peer = self.peers.entry(member.name.clone()).or_insert(new_peer);
            // A new watcher of a member waits for a full lease before it may remove the member.
            peer.last_grant = now;
        }
        self.acknowledged_at = None;
        self.check_acknowledged(now);
        self.announce_view(effects);
    }

    /// Records when the last member was known to have applied the view.
    ///
    /// From then on no member grants a lease under an older view.
    pub(super) fn check_acknowledged(&mut self, now: Instant) {
        let version = self.view().version;
        let all =
            self.view().members.iter().filter(|member| member.name != self.identity.name).all(
                |member| {
                    self.peers.get(&member.name).is_some_and(|peer| peer.applied_version >= version)
                },
            );
        if all && version > 0 {
            self.acknowledged_at.get_or_insert(now);
        }
    }

    /// Announces the applied view to the members that have not acknowledged it.
    pub(super) fn announce_view(&self, effects: &mut Effects) {
        if self.acknowledged_at.is_some() {
            return;
        }
        let version = self.view().version;
        for member in &self.view().members {
            let behind =
                self.peers.get(&member.name).is_none_or(|peer| peer.applied_version < version);
            if behind && member.name != self.identity.name {
                self.send(&member.name, Message::Applied { version, reply: true }, effects);
            }
        }
    }

    /// Requests a reply from all members while the lease is expired; see [`Self::may_serve`].
    pub(super) fn probe_members(&self, now: Instant, effects: &mut Effects) {
        if self.holds_lease(now) {
            return;
        }
        let version = self.view().version;
        for member in &self.view().members {
            if member.name != self.identity.name {
                self.send(&member.name, Message::Applied { version, reply: true }, effects);
            }
        }
    }

    /// Sends this region's view to an instance that has applied an older one.
    pub(super) fn send_view_if_behind(
        &self,
        to: &Arc<str>,
        applied_version: u64,
        effects: &mut Effects,
    ) {
        if applied_version < self.view().version {
            self.send(to, Message::View(self.view().clone()), effects);
        }
    }

    pub(super) fn record_contact(&mut self, now: Instant, from: &Arc<str>, applied_version: u64) {
        if let Some(peer) = self.peers.get_mut(from) {
            peer.last_message = now;
            if !self.is_paused && now < self.last_tick + SUSPICION_TIMEOUT {
                peer.last_contact = now;
            }
            peer.applied_version = peer.applied_version.max(applied_version);
            peer.has_reported = true;
        }
        self.check_acknowledged(now);
    }
}
