//! The lease: its renewal by the table and by watchers, and the removal of members that let it lapse.

use super::{EXTENSION, LEASE, LEASE_MARGIN, Membership, SUSPICION, UNCLEAN_WAIT};
use crate::effect::Effects;
use crate::instance::Instance as Identity;
use crate::message::{Message, Renewal};
use crate::prelude::*;

impl Membership {
    pub(super) fn is_confirmed(&self, now: Instant) -> bool {
        self.confirmed.is_some_and(|sent| now < sent + LEASE)
    }

    pub(super) fn is_extended(&self, now: Instant) -> bool {
        let mut watchers = self.view().watchers(&self.identity.name).peekable();
        let extensible = self.reached.is_some_and(|reached| now < reached + EXTENSION);
        extensible
            && watchers.peek().is_some()
            && watchers.all(|watcher| {
                self.grants.get(&watcher.name).is_some_and(|sent| now < *sent + LEASE)
            })
    }

    pub(super) fn renew(&self, now: Instant, config: u64, effects: &mut Effects) {
        if !self.is_member() {
            return;
        }
        let renewal = Renewal {
            version: self.view().version,
            sent: now.as_micros(),
            config,
            incarnation: self.identity.incarnation,
        };
        let watchers = self.view().watchers(&self.identity.name);
        for watcher in watchers {
            self.send(&watcher.name, Message::Renew(renewal), effects);
        }
    }

    pub(super) fn take_renewal(
        &mut self,
        now: Instant,
        from: &Arc<str>,
        renewal: &Renewal,
        effects: &mut Effects,
    ) {
        self.hear(now, from, renewal.version);
        let view = &self.views[&self.identity.region];
        let same_process =
            view.member(from).is_some_and(|member| member.incarnation == renewal.incarnation);
        if renewal.version < view.version {
            return self.inform(from, renewal.version, effects);
        }
        if renewal.version > view.version {
            self.next_poll = now;
            return;
        }
        if !same_process || !view.is_watcher(&self.identity.name, from) || self.writing.is_some() {
            return;
        }
        if let Some(peer) = self.peers.get_mut(from) {
            peer.granted = now;
            peer.config = renewal.config;
            self.send(from, Message::Granted(*renewal), effects);
        }
    }

    pub(super) fn take_grant(&mut self, from: &Arc<str>, renewal: &Renewal) {
        let own = renewal.incarnation == self.identity.incarnation;
        if own && renewal.version == self.view().version {
            let sent = Instant::from_micros(renewal.sent);
            let grant = self.grants.entry(from.clone()).or_default();
            *grant = sent.max(*grant);
        }
    }

    /// Proposes a view without the members whose leases this watcher has waited out.
    pub(super) fn propose(&mut self, now: Instant, effects: &mut Effects) {
        if !self.is_member() || self.writing.is_some() || !self.is_confirmed(now) {
            return;
        }
        let view = self.view();
        let lapsed: Vec<&Identity> = view
            .watched(&self.identity.name)
            .filter(|member| self.has_lapsed(now, member))
            .collect();
        if lapsed.is_empty() {
            return;
        }
        let mut unclean = view.unclean.clone();
        unclean.extend(
            lapsed.iter().filter(|member| !self.is_clean(member)).map(|member| member.name.clone()),
        );
        let gone: Set<Arc<str>> = lapsed.iter().map(|member| member.name.clone()).collect();
        let members = view.members.iter().filter(|member| !gone.contains(&member.name));
        let members = members.cloned().collect();
        self.write_view(now, members, unclean, effects);
    }

    /// Returns whether a watched member is silent and was granted nothing for a lease.
    fn has_lapsed(&self, now: Instant, member: &Identity) -> bool {
        let Some(peer) = self.peers.get(&member.name) else { return false };
        let wait = match self.is_clean(member) {
            true => LEASE + LEASE_MARGIN,
            false => LEASE + LEASE_MARGIN + UNCLEAN_WAIT,
        };
        now >= peer.heard + SUSPICION && now >= peer.granted + wait
    }

    /// Returns whether a member cannot hold a lease that watchers unknown here still extend.
    ///
    /// That is so if it had applied the view under which this instance is its watcher, or the one
    /// before it while a watcher of that time is still a member and so has applied this one.
    fn is_clean(&self, member: &Identity) -> bool {
        let Some(peer) = self.peers.get(&member.name) else { return false };
        let view = self.view();
        if peer.known && peer.applied >= view.version {
            return true;
        }
        let Some(last) =
            self.last_view.as_ref().filter(|last| peer.known && peer.applied == last.version)
        else {
            return false;
        };
        last.watchers(&member.name).any(|watcher| {
            let peer = self.peers.get(&watcher.name);
            watcher.name == self.identity.name
                || peer.is_some_and(|peer| peer.known && peer.applied >= view.version)
        })
    }
}
