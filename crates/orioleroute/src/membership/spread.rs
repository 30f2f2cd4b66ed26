//! How a view comes into force among the members of its region.

use super::{Membership, Peer, REMOVED, SUSPICION};
use crate::effect::Effects;
use crate::message::Message;
use crate::prelude::*;
use crate::view::View;

impl Membership {
    pub(super) fn take_view(&mut self, now: Instant, view: &View, effects: &mut Effects) {
        let known = self.views.get(&view.region).map_or(0, |known| known.version);
        if view.version <= known {
            return;
        }
        let former = self.views.insert(view.region.clone(), view.clone());
        self.changes += 1;
        if view.region == self.identity.region {
            self.last_view = former;
            self.note_removed();
        }
        if view.region == self.identity.region {
            self.apply(now, effects);
        }
    }

    /// Notes the members that the applied view no longer has, so that they can be told so.
    fn note_removed(&mut self) {
        let Some(last) = &self.last_view else { return };
        let view = &self.views[&self.identity.region];
        if self.removed.len() >= REMOVED {
            self.removed.clear();
        }
        let gone = last.members.iter().filter(|member| view.member(&member.name).is_none());
        self.removed.extend(gone.map(|member| (member.name.clone(), member.peer_address)));
        self.removed.retain(|name, _| view.member(name).is_none());
    }

    /// Starts to act under a new view of the own region.
    fn apply(&mut self, now: Instant, effects: &mut Effects) {
        self.grants.clear();
        self.confirmed = None;
        self.next_poll = now;
        let view = &self.views[&self.identity.region];
        self.peers.retain(|name, _| view.member(name).is_some());
        for member in &view.members {
            let fresh = Peer { heard: now, granted: now, ..Peer::default() };
            let peer = self.peers.entry(member.name.clone()).or_insert(fresh);
            // A watcher that is new to a member waits a whole lease before it may remove it.
            peer.granted = now;
        }
        self.settled_at = None;
        self.settle(now);
        self.announce(effects);
    }

    /// Notes when the last member was heard to have applied the view.
    ///
    /// From then on no member grants a lease under an older view.
    pub(super) fn settle(&mut self, now: Instant) {
        let version = self.view().version;
        let all =
            self.view().members.iter().filter(|member| member.name != self.identity.name).all(
                |member| self.peers.get(&member.name).is_some_and(|peer| peer.applied >= version),
            );
        if all && version > 0 {
            self.settled_at.get_or_insert(now);
        }
    }

    /// Tells the members that have not confirmed the applied view about it.
    pub(super) fn announce(&self, effects: &mut Effects) {
        if self.settled_at.is_some() {
            return;
        }
        let version = self.view().version;
        for member in &self.view().members {
            let behind = self.peers.get(&member.name).is_none_or(|peer| peer.applied < version);
            if behind && member.name != self.identity.name {
                self.send(&member.name, Message::Applied { version, reply: true }, effects);
            }
        }
    }

    /// Asks all members for a sign of life while the lease has lapsed; see [`Self::may_serve`].
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

    /// Passes the own region's view on to an instance that has applied an older one.
    pub(super) fn inform(&self, to: &Arc<str>, applied: u64, effects: &mut Effects) {
        if applied < self.view().version {
            self.send(to, Message::View(self.view().clone()), effects);
        }
    }

    pub(super) fn hear(&mut self, now: Instant, from: &Arc<str>, applied: u64) {
        if let Some(peer) = self.peers.get_mut(from) {
            peer.heard = now;
            if !self.paused && now < self.ticked + SUSPICION {
                peer.reached = now;
            }
            peer.applied = peer.applied.max(applied);
            peer.known = true;
        }
        self.settle(now);
    }
}
