//! Membership of a region and the lease under which an instance gives orders.
//!
//! The rules, and why they are safe, stand in `docs/DESIGN.md`, section "Leases". In short: a view
//! changes only by a conditional write in the table. A lease is fresh for [`LEASE`] after a read of
//! the view's row that showed the applied version, or, when the table does not answer, after all
//! watchers granted it. A watcher removes a member only once it has granted it nothing for a lease,
//! and a new owner that engines do not fence waits one more lease before its first order.

use std::net::SocketAddr;

use crate::effect::Effects;
use crate::hash::{Map, digest};
use crate::instance::Instance as Identity;
use crate::key::Ticket;
use crate::message::Message;
use crate::prelude::*;
use crate::table::{Expect, Outcome, Write};
use crate::view::View;

mod lease;
mod poll;
mod spread;

/// How long a lease lasts after the moment at which its renewal was sent.
pub const LEASE: Duration = Duration::from_millis(3_000);

/// What a lease is lengthened by for those who wait for its end, to allow for clocks that drift.
pub const LEASE_MARGIN: Duration = Duration::from_millis(300);

/// Between two renewals.
pub const HEARTBEAT: Duration = Duration::from_millis(500);

/// The silence after which a watcher stops granting.
pub const SUSPICION: Duration = Duration::from_millis(1_600);

/// Between two reads of the view's row.
pub const POLL: Duration = Duration::from_millis(1_000);

/// How long a leaving instance waits for an answer of the table.
pub const LEAVE_TIMEOUT: Duration = Duration::from_secs(5);

/// Between two reads of the rows of the other regions.
pub const WIDE_POLL: Duration = Duration::from_millis(10_000);

/// How long watchers can extend a lease that the table has not confirmed.
///
/// Whoever takes over from a member that no watcher saw off waits this long before it orders
/// engines that ignore fencing numbers, so it bounds both the table outage that stops no load and
/// the time without loads after the loss of a whole region.
pub const EXTENSION: Duration = Duration::from_secs(15 * 60);

/// How much longer a watcher waits when it cannot tell which view a silent member had applied, so
/// that a watcher that can tell goes first.
const UNCLEAN_WAIT: Duration = Duration::from_millis(3_000);

/// Removed members that are still told about their removal, at most.
const REMOVED: usize = 64;

/// The key of the row that lists the regions.
pub const REGIONS: &str = "regions";

/// The longest wait for a reply of the table before the operation is asked anew.
pub const TABLE_TIMEOUT: Duration = Duration::from_millis(2_000);

/// What is known of another member.
#[derive(Clone, Debug, Default)]
pub struct Peer {
    /// When it was last heard of.
    pub heard: Instant,
    /// The view that it had then applied.
    pub applied: u64,
    /// The configuration version that it had then in force.
    pub config: u64,
    /// When it was last heard of by a message that cannot have waited while this process was stopped.
    reached: Instant,
    /// When this instance last granted its lease.
    granted: Instant,
    /// Whether it was ever heard to have applied some view.
    known: bool,
}

/// The membership of one instance.
#[derive(Debug)]
pub struct Membership {
    identity: Identity,
    views: Map<Arc<str>, View>,
    peers: Map<Arc<str>, Peer>,
    grants: Map<Arc<str>, Instant>,
    confirmed: Option<Instant>,
    settled_at: Option<Instant>,
    next_heartbeat: Instant,
    next_poll: Instant,
    next_wide_poll: Instant,
    regions: u64,
    reached: Option<Instant>,
    ticked: Instant,
    paused: bool,
    paused_at: Instant,
    last_view: Option<View>,
    /// Where the members were that a view applied here was the first without.
    removed: Map<Arc<str>, SocketAddr>,
    reading: Option<(Ticket, Instant)>,
    writing: Option<(Ticket, Instant)>,
    token: u64,
    /// Since when it has been leaving.
    leaving: Option<Instant>,
    /// Whether the table let it wait too long to leave.
    is_stranded: bool,
    changes: u64,
}

impl Membership {
    /// Returns the membership of an instance that has not joined yet.
    pub fn new(identity: Identity) -> Self {
        let token = identity.incarnation;
        let region = identity.region.clone();
        let own = View { region: region.clone(), ..View::default() };
        Self {
            identity,
            views: Map::from_iter([(region, own)]),
            peers: Map::default(),
            grants: Map::default(),
            confirmed: None,
            settled_at: None,
            next_heartbeat: Instant::ZERO,
            next_poll: Instant::ZERO,
            next_wide_poll: Instant::ZERO,
            regions: 0,
            reached: None,
            ticked: Instant::ZERO,
            paused: false,
            paused_at: Instant::ZERO,
            last_view: None,
            removed: Map::default(),
            reading: None,
            writing: None,
            token,
            leaving: None,
            is_stranded: false,
            changes: 0,
        }
    }

    /// Returns this instance.
    pub fn identity(&self) -> &Identity {
        &self.identity
    }

    /// Returns the view of this instance's region.
    pub fn view(&self) -> &View {
        &self.views[&self.identity.region]
    }

    /// Returns the view of a region, if any is known.
    pub fn view_of(&self, region: &str) -> Option<&View> {
        self.views.get(region)
    }

    /// Returns all known views.
    pub fn views(&self) -> impl Iterator<Item = &View> {
        self.views.values()
    }

    /// Returns a number that grows with each change of a known view.
    pub fn changes(&self) -> u64 {
        self.changes
    }

    /// Returns the address of an instance for peers, if it is a member of a known view.
    pub fn address(&self, name: &str) -> Option<SocketAddr> {
        let mut members = self.views.values().flat_map(|view| &view.members);
        members.find(|member| &*member.name == name).map(|member| member.peer_address)
    }

    /// Returns what is known of a member.
    pub fn peer(&self, name: &str) -> Option<&Peer> {
        self.peers.get(name)
    }

    /// Returns whether this instance is a member of its view.
    pub fn is_member(&self) -> bool {
        self.view()
            .member(&self.identity.name)
            .is_some_and(|member| member.incarnation == self.identity.incarnation)
    }

    /// Returns whether this instance may give orders at `now`.
    pub fn holds_lease(&self, now: Instant) -> bool {
        self.is_member() && (self.is_confirmed(now) || self.is_extended(now))
    }

    /// Returns when every member was heard to have applied the view, if that has come about.
    pub fn settled_at(&self) -> Option<Instant> {
        self.settled_at
    }

    /// Returns when the leases of all members removed before the applied view will have lapsed, if
    /// every member was heard to have applied it.
    pub fn lapsed_at(&self) -> Option<Instant> {
        let wait = match self.view().unclean.is_empty() {
            true => LEASE + LEASE_MARGIN,
            false => EXTENSION + LEASE_MARGIN,
        };
        self.settled_at.map(|settled| settled + wait)
    }

    /// Returns whether this instance may answer requests at `now`.
    ///
    /// It may while it holds its lease. In an outage of the table it also may while it hears from
    /// most of its region, since it is then not the one that is cut off. After a pause it may not
    /// until it has heard from the table or a member, since it may have been removed meanwhile.
    pub fn may_serve(&self, now: Instant) -> bool {
        self.is_member()
            && !self.paused
            && now < self.ticked + SUSPICION
            && (self.holds_lease(now) || self.reaches_most(now))
    }

    /// Returns whether this instance hears from more than half of its region, itself included.
    ///
    /// Of two equal halves it is the one with the member that comes first in the ring.
    fn reaches_most(&self, now: Instant) -> bool {
        let members = &self.view().members;
        let reached = |member: &&Identity| {
            member.name == self.identity.name
                || self.peers.get(&member.name).is_some_and(|peer| now < peer.reached + LEASE)
        };
        let count = members.iter().filter(reached).count();
        let first = members.iter().min_by_key(|member| digest(&*member.name));
        count * 2 > members.len()
            || (count * 2 == members.len() && first.is_some_and(|m| reached(&m)))
    }

    /// Returns checks that no view has changed since it was read.
    pub fn checks(&self) -> Vec<Write> {
        let mut checks: Vec<Write> = self
            .views
            .values()
            .map(|view| Write::check(View::row(&view.region), Expect::unchanged(view.version)))
            .collect();
        checks.push(Write::check(REGIONS, Expect::unchanged(self.regions)));
        checks
    }

    /// Reads the rows of all regions at the next occasion.
    pub fn refresh(&mut self) {
        self.next_wide_poll = Instant::ZERO;
        self.next_poll = Instant::ZERO;
    }

    /// Asks to leave: the next view will be without this instance.
    pub fn leave(&mut self, now: Instant) {
        self.leaving.get_or_insert(now);
    }

    /// Returns whether this instance, asked to leave, has left its view or cannot.
    ///
    /// Without an answer of the table for [`LEAVE_TIMEOUT`] it ends like one that fails: its
    /// watchers remove it when the table is back.
    pub fn has_left(&self) -> bool {
        self.leaving.is_some() && (!self.is_member() || self.is_stranded)
    }

    /// Does what is due at `now`.
    pub fn tick(&mut self, now: Instant, config: u64, effects: &mut Effects) {
        self.notice_pause(now);
        self.is_stranded = self.leaving.is_some_and(|since| {
            let heard = self.reached.map_or(since, |reached| reached.max(since));
            now >= heard + LEAVE_TIMEOUT
        });
        self.expire_operations(now);
        self.poll(now, effects);
        if now >= self.next_heartbeat {
            self.next_heartbeat = now + HEARTBEAT;
            self.renew(now, config, effects);
            self.announce(effects);
            self.probe_members(now, effects);
        }
        self.propose(now, effects);
    }

    /// Takes the outcome of a table operation, and returns whether it was one of this module's.
    pub fn take_outcome(
        &mut self,
        now: Instant,
        ticket: Ticket,
        outcome: &Outcome,
        effects: &mut Effects,
    ) -> bool {
        if let Some((_, sent)) = self.reading.take_if(|(reading, _)| *reading == ticket) {
            if let Outcome::Rows(rows) = outcome {
                self.take_rows(now, sent, rows, effects);
            }
            return true;
        }
        if self.writing.take_if(|(writing, _)| *writing == ticket).is_some() {
            self.refresh();
            return true;
        }
        false
    }

    /// Takes a message, if it is about membership.
    pub fn take_message(
        &mut self,
        now: Instant,
        from: &Arc<str>,
        message: &Message,
        effects: &mut Effects,
    ) {
        match message {
            Message::Renew(renewal) => self.take_renewal(now, from, renewal, effects),
            Message::Granted(renewal) => self.take_grant(from, renewal),
            Message::Applied { version, reply } => {
                self.hear(now, from, *version);
                if *reply {
                    let version = self.view().version;
                    self.send(from, Message::Applied { version, reply: false }, effects);
                }
                self.inform(from, *version, effects);
                self.settle(now);
            }
            Message::View(view) => self.take_view(now, view, effects),
            _ => {}
        }
    }

    /// Notices that this process was stopped for a while, and when it has caught up.
    fn notice_pause(&mut self, now: Instant) {
        if now >= self.ticked + SUSPICION {
            self.paused = true;
            self.paused_at = now;
            self.refresh();
            for peer in self.peers.values_mut() {
                peer.reached = Instant::ZERO;
                // Its silence may be that of this process.
                peer.granted = now;
            }
        }
        if now >= self.paused_at + TABLE_TIMEOUT {
            self.paused = false;
        }
        self.ticked = now;
    }

    fn send(&self, to: &Arc<str>, message: Message, effects: &mut Effects) {
        if let Some(address) = self.address(to).or_else(|| self.removed.get(to).copied()) {
            effects.push(Effect::Send { to: to.clone(), address, message });
        }
    }
}
