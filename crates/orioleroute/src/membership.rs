//! Membership of a region and the lease under which an instance gives orders.
//!
//! The rules, and why they are safe, stand in `docs/DESIGN.md`, section "Leases". In short: a view
//! changes only by a conditional write in the table. A lease is fresh for [`LEASE`] after a read of
//! the view's row that showed the applied version, or, when the table does not answer, after all
//! watchers granted it. A watcher removes a member only once it has granted it nothing for a lease,
//! and a new owner that engines do not fence waits one more lease before its first order.

use crate::effect::Effects;
use crate::hash::{Map, digest};
use crate::instance::Instance as Identity;
use crate::key::Ticket;
use crate::message::{Message, Renewal};
use crate::prelude::*;
use crate::table::{Expect, Operation, Outcome, Row, Write};
use crate::view::View;

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
    reading: Option<(Ticket, Instant)>,
    writing: Option<(Ticket, Instant)>,
    token: u64,
    leaving: bool,
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
            reading: None,
            writing: None,
            token,
            leaving: false,
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
    pub fn address(&self, name: &str) -> Option<std::net::SocketAddr> {
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

    /// Returns whether upstreams gained by the applied view may be given orders.
    ///
    /// Engines that check fencing numbers need no wait for the leases of removed members.
    pub fn is_settled(&self, now: Instant, fenced: bool) -> bool {
        let wait = match self.view().unclean.is_empty() {
            true => LEASE + LEASE_MARGIN,
            false => EXTENSION + LEASE_MARGIN,
        };
        self.settled_at.is_some_and(|settled| fenced || now >= settled + wait)
    }

    /// Returns when every member was heard to have applied the view, if that has come about.
    pub fn settled_at(&self) -> Option<Instant> {
        self.settled_at
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
                || self.peers.get(&member.name).is_some_and(|peer| now < peer.heard + LEASE)
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
    pub fn leave(&mut self) {
        self.leaving = true;
    }

    /// Returns whether this instance has left its view after it asked to.
    pub fn has_left(&self) -> bool {
        self.leaving && !self.is_member()
    }

    /// Does what is due at `now`.
    pub fn tick(&mut self, now: Instant, config: u64, effects: &mut Effects) {
        self.notice_pause(now);
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

    fn is_confirmed(&self, now: Instant) -> bool {
        self.confirmed.is_some_and(|sent| now < sent + LEASE)
    }

    fn is_extended(&self, now: Instant) -> bool {
        let mut watchers = self.view().watchers(&self.identity.name).peekable();
        let extensible = self.reached.is_some_and(|reached| now < reached + EXTENSION);
        extensible
            && watchers.peek().is_some()
            && watchers.all(|watcher| {
                self.grants.get(&watcher.name).is_some_and(|sent| now < *sent + LEASE)
            })
    }

    /// Notices that this process was stopped for a while, and when it has caught up.
    fn notice_pause(&mut self, now: Instant) {
        if now >= self.ticked + SUSPICION {
            self.paused = true;
            self.paused_at = now;
            self.refresh();
        }
        if now >= self.paused_at + TABLE_TIMEOUT {
            self.paused = false;
        }
        self.ticked = now;
    }

    fn expire_operations(&mut self, now: Instant) {
        self.reading.take_if(|(_, sent)| now >= *sent + TABLE_TIMEOUT);
        self.writing.take_if(|(_, sent)| now >= *sent + TABLE_TIMEOUT);
    }

    fn poll(&mut self, now: Instant, effects: &mut Effects) {
        if self.reading.is_some() || now < self.next_poll {
            return;
        }
        self.next_poll = now + POLL;
        let mut keys = vec![View::row(&self.identity.region)];
        if now >= self.next_wide_poll {
            self.next_wide_poll = now + WIDE_POLL;
            let others = self.views.keys().filter(|region| **region != self.identity.region);
            keys.extend(others.map(|region| View::row(region)));
            keys.push(REGIONS.into());
        }
        let ticket = effects.table(Operation::Read(keys));
        self.reading = Some((ticket, now));
    }

    fn take_rows(&mut self, now: Instant, sent: Instant, rows: &[Row], effects: &mut Effects) {
        let own = View::row(&self.identity.region);
        self.reached = Some(sent);
        self.paused &= sent < self.paused_at;
        if let Some(row) = rows.iter().find(|row| &*row.key == REGIONS) {
            self.take_regions(row);
        }
        for row in rows {
            if let Ok(mut view) = serde_json::from_str::<View>(&row.value) {
                view.version = row.version;
                self.take_view(now, &view, effects);
            }
        }
        let shown = rows.iter().find(|row| row.key == own).map_or(0, |row| row.version);
        if shown == self.view().version {
            self.confirmed = Some(sent);
        }
        self.join_or_leave(now, effects);
    }

    /// Learns of regions, whose views are read next.
    fn take_regions(&mut self, row: &Row) {
        self.regions = row.version;
        let names: Vec<Arc<str>> = serde_json::from_str(&row.value).unwrap_or_default();
        for region in names {
            let known = self.views.len();
            let view = View { region: region.clone(), ..View::default() };
            self.views.entry(region).or_insert(view);
            if self.views.len() > known {
                self.refresh();
            }
        }
    }

    fn join_or_leave(&mut self, now: Instant, effects: &mut Effects) {
        let mut members = self.view().members.clone();
        let mut unclean = self.view().unclean.clone();
        match (self.is_member(), self.leaving) {
            (false, false) => {
                members.retain(|member| member.name != self.identity.name);
                members.push(self.identity.clone());
                // A process that starts again under a name proves that the former one has ended.
                unclean.retain(|name| *name != self.identity.name);
            }
            (true, true) => members.retain(|member| member.name != self.identity.name),
            _ => return,
        }
        self.write_view(now, members, unclean, effects);
    }

    fn write_view(
        &mut self,
        now: Instant,
        members: Vec<Identity>,
        unclean: Vec<Arc<str>>,
        effects: &mut Effects,
    ) {
        if self.writing.is_some() {
            return;
        }
        self.token = self.token.wrapping_add(1);
        let current = self.view();
        let expect = Expect::unchanged(current.version);
        let next = View {
            region: current.region.clone(),
            version: expect.next_version(),
            token: self.token,
            members,
            unclean,
        };
        let mut writes = vec![Write::put(View::row(&next.region), expect, &next)];
        if expect == Expect::Absent {
            writes.push(self.region_row());
        }
        let ticket = effects.table(Operation::Write(writes));
        self.writing = Some((ticket, now));
    }

    /// Returns the write that adds the own region to the list of regions.
    fn region_row(&self) -> Write {
        let mut names: Vec<&Arc<str>> = self.views.keys().collect();
        names.sort();
        Write::put(REGIONS, Expect::unchanged(self.regions), &names)
    }

    fn take_view(&mut self, now: Instant, view: &View, effects: &mut Effects) {
        let known = self.views.get(&view.region).map_or(0, |known| known.version);
        if view.version <= known {
            return;
        }
        let former = self.views.insert(view.region.clone(), view.clone());
        self.changes += 1;
        if view.region == self.identity.region {
            self.last_view = former;
        }
        if view.region == self.identity.region {
            self.apply(now, effects);
        }
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
    fn settle(&mut self, now: Instant) {
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
    fn announce(&self, effects: &mut Effects) {
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
    fn probe_members(&self, now: Instant, effects: &mut Effects) {
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

    fn renew(&self, now: Instant, config: u64, effects: &mut Effects) {
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

    fn take_renewal(
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

    /// Passes the own region's view on to an instance that has applied an older one.
    fn inform(&self, to: &Arc<str>, applied: u64, effects: &mut Effects) {
        if applied < self.view().version {
            self.send(to, Message::View(self.view().clone()), effects);
        }
    }

    fn take_grant(&mut self, from: &Arc<str>, renewal: &Renewal) {
        let own = renewal.incarnation == self.identity.incarnation;
        if own && renewal.version == self.view().version {
            let sent = Instant::from_micros(renewal.sent);
            let grant = self.grants.entry(from.clone()).or_default();
            *grant = sent.max(*grant);
        }
    }

    fn hear(&mut self, now: Instant, from: &Arc<str>, applied: u64) {
        if let Some(peer) = self.peers.get_mut(from) {
            peer.heard = now;
            peer.applied = peer.applied.max(applied);
            peer.known = true;
        }
        self.settle(now);
    }

    /// Proposes a view without the members whose leases this watcher has waited out.
    fn propose(&mut self, now: Instant, effects: &mut Effects) {
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

    /// Returns whether a member is silent and this watcher has granted it nothing for a lease.
    fn has_lapsed(&self, now: Instant, member: &Identity) -> bool {
        let Some(peer) = self.peers.get(&member.name) else { return false };
        let wait = match self.is_clean(member) {
            true => LEASE + LEASE_MARGIN,
            false => LEASE + LEASE_MARGIN + UNCLEAN_WAIT,
        };
        self.view().is_watcher(&self.identity.name, &member.name)
            && now >= peer.heard + SUSPICION
            && now >= peer.granted + wait
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

    fn send(&self, to: &Arc<str>, message: Message, effects: &mut Effects) {
        if let Some(address) = self.address(to) {
            effects.push(Effect::Send { to: to.clone(), address, message });
        }
    }
}
