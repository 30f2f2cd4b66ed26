//! Renewal of the lease by the table and by watchers, and removal of members whose lease expired.

use super::{
    LEASE_DURATION, LEASE_MARGIN, MAX_EXTENSION, Membership, SUSPICION_TIMEOUT,
    UNCLEAN_REMOVAL_DELAY,
};
use crate::effect::Effects;
use crate::instance::Instance as Identity;
use crate::message::{Message, Renewal};
use crate::prelude::*;

impl Membership {
    pub(super) fn is_confirmed(&self, now: Instant) -> bool {
        self.confirmed_at.is_some_and(|sent| now < sent + LEASE_DURATION)
    }

    pub(super) fn is_extended(&self, now: Instant) -> bool {
        let mut watchers = self.view().watchers(&self.identity.name).peekable();
        let extendable = self.table_read_at.is_some_and(|read_at| now < read_at + MAX_EXTENSION);
        extendable
            && watchers.peek().is_some()
            && watchers.all(|watcher| {
                self.grants.get(&watcher.name).is_some_and(|sent| now < *sent + LEASE_DURATION)
            })
    }

    pub(super) fn send_renewals(&self, now: Instant, config: u64, effects: &mut Effects) {
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

    pub(super) fn handle_renewal(
        &mut self,
        now: Instant,
        from: &Arc<str>,
        renewal: &Renewal,
        effects: &mut Effects,
    ) {
        self.record_contact(now, from, renewal.version);
        let view = &self.views[&self.identity.region];
        let same_process =
            view.member(from).is_some_and(|member| member.incarnation == renewal.incarnation);
        if renewal.version < view.version {
            return self.send_view_if_behind(from, renewal.version, effects);
        }
        if renewal.version > view.version {
            self.next_poll = now;
            return;
        }
        if !same_process
            || !view.is_watcher(&self.identity.name, from)
            || self.pending_write.is_some()
        {
            return;
        }
        if let Some(peer) = self.peers.get_mut(from) {
            peer.last_grant = now;
            peer.config_version = renewal.config;
            self.send(from, Message::Granted(*renewal), effects);
        }
    }

    pub(super) fn handle_grant(&mut self, from: &Arc<str>, renewal: &Renewal) {
        let own = renewal.incarnation == self.identity.incarnation;
        if own && renewal.version == self.view().version {
            let sent = Instant::from_micros(renewal.sent);
            let grant = self.grants.entry(from.clone()).or_default();
            *grant = sent.max(*grant);
        }
    }

    /// Proposes a view without the watched members whose leases have expired.
    pub(super) fn propose_removals(&mut self, now: Instant, effects: &mut Effects) {
        if !self.is_member() || self.pending_write.is_some() || !self.is_confirmed(now) {
            return;
        }
        let view = self.view();
        let expired: Vec<&Identity> = view
            .watched(&self.identity.name)
            .filter(|member| self.is_expired(now, member))
            .collect();
        if expired.is_empty() {
            return;
        }
        let mut unclean = view.unclean.clone();
        unclean.extend(
            expired
                .iter()
                .filter(|member| !self.is_clean(member))
                .map(|member| member.name.clone()),
        );
        let removed: Set<Arc<str>> = expired.iter().map(|member| member.name.clone()).collect();
        let members = view.members.iter().filter(|member| !removed.contains(&member.name));
        let members = members.cloned().collect();
        self.write_view(now, members, unclean, effects);
    }

    /// Returns whether a watched member is silent and its last grant from this watcher has expired.
    fn is_expired(&self, now: Instant, member: &Identity) -> bool {
        let Some(peer) = self.peers.get(&member.name) else { return false };
        let wait = match self.is_clean(member) {
            true => LEASE_DURATION + LEASE_MARGIN,
            false => LEASE_DURATION + LEASE_MARGIN + UNCLEAN_REMOVAL_DELAY,
        };
        now >= peer.last_message + SUSPICION_TIMEOUT && now >= peer.last_grant + wait
    }

    /// Returns whether no watcher other than the current ones can still extend a member's lease.
    ///
    /// That is so if the member had applied the view under which this instance is its watcher. It is
    /// also so if the member had applied the view before it, and one of its watchers in that view has
    /// applied the current one.
    fn is_clean(&self, member: &Identity) -> bool {
        let Some(peer) = self.peers.get(&member.name) else { return false };
        let view = self.view();
        if peer.has_reported && peer.applied_version >= view.version {
            return true;
        }
        let Some(last) = self
            .previous_view
            .as_ref()
            .filter(|last| peer.has_reported && peer.applied_version == last.version)
        else {
            return false;
        };
        last.watchers(&member.name).any(|watcher| {
            let peer = self.peers.get(&watcher.name);
            watcher.name == self.identity.name
                || peer
                    .is_some_and(|peer| peer.has_reported && peer.applied_version >= view.version)
        })
    }
}
