//! Membership of a region and the lease under which an instance issues orders.
//!
//! `docs/DESIGN.md`, section "Leases", gives the rules and why they are safe. In short: a view
//! changes only by a conditional write to the table. A lease is valid for [`LEASE_DURATION`] after a
//! read of the view's row that showed the applied version or, while the table does not answer, after
//! all watchers granted it. A watcher removes a member only after it has granted it no lease for one
//! lease duration, and a new owner of an engine that does not check fencing tokens waits for one
//! more lease duration before its first order.

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
mod propagation;

/// The duration of a lease, counted from the moment at which its renewal was sent.
pub const LEASE_DURATION: Duration = Duration::from_millis(3_000);

/// The extra time to wait for the end of another instance's lease, to allow for clock drift.
pub const LEASE_MARGIN: Duration = Duration::from_millis(300);

/// The interval between lease renewals.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);

/// How long a member may be silent before it is suspected to have failed. A process that has not handled
/// a tick for as long counts as paused.
pub const SUSPICION_TIMEOUT: Duration = Duration::from_millis(1_600);

/// The interval between reads of the view's row.
pub const POLL_INTERVAL: Duration = Duration::from_millis(1_000);

/// How long a leaving instance waits for an answer from the table.
pub const LEAVE_TIMEOUT: Duration = Duration::from_secs(5);

/// The interval between reads of the rows of other regions.
pub const REMOTE_POLL_INTERVAL: Duration = Duration::from_millis(10_000);

/// How long watchers can extend a lease that the table has not confirmed.
///
/// An instance that takes over from a member whose watchers' grants are not known to have ended
/// waits this long before it issues orders to engines that ignore fencing tokens. So this is both
/// the longest table outage during which loads continue and the time without loads after the loss
/// of a whole region.
pub const MAX_EXTENSION: Duration = Duration::from_secs(15 * 60);

/// The additional wait of a watcher that does not know which view a silent member had applied, so
/// that a watcher that knows removes the member first.
const UNCLEAN_REMOVAL_DELAY: Duration = Duration::from_millis(3_000);

/// The maximum number of removed members that are still sent the current view.
const MAX_REMOVED: usize = 64;

/// The key of the row that lists the regions.
pub const REGIONS_KEY: &str = "regions";

/// How long to wait for a reply from the table before the operation is retried.
pub const TABLE_TIMEOUT: Duration = Duration::from_millis(2_000);

/// What is known about another member.
#[derive(Clone, Debug, Default)]
pub struct Peer {
    /// When a message from it was last handled.
    pub last_message: Instant,
    /// The version of the newest view that it has reported as applied.
    pub applied_version: u64,
    /// The active configuration version that it reported with its last granted renewal.
    pub config_version: u64,
    /// When a message from it was last handled that cannot have been queued while this process was
    /// paused.
    last_contact: Instant,
    /// When this instance last granted its lease.
    last_grant: Instant,
    /// Whether it has ever reported an applied view.
    has_reported: bool,
}

/// The membership of one instance.
#[derive(Debug)]
pub struct Membership {
    identity: Identity,
    views: Map<Arc<str>, View>,
    peers: Map<Arc<str>, Peer>,
    /// When the newest renewal that each watcher granted was sent.
    grants: Map<Arc<str>, Instant>,
    /// When the last read that showed the applied version of the view was sent.
    confirmed_at: Option<Instant>,
    /// When every member was known to have applied the view.
    acknowledged_at: Option<Instant>,
    next_heartbeat: Instant,
    next_poll: Instant,
    next_remote_poll: Instant,
    regions_row_version: u64,
    /// When the last successful read of the table was sent.
    table_read_at: Option<Instant>,
    last_tick: Instant,
    is_paused: bool,
    pause_detected_at: Instant,
    /// The view of this region before the applied one.
    previous_view: Option<View>,
    /// The peer addresses of members that an applied view removed.
    removed: Map<Arc<str>, SocketAddr>,
    pending_read: Option<(Ticket, Instant)>,
    pending_write: Option<(Ticket, Instant)>,
    token: u64,
    /// When this instance was asked to leave.
    leaving_since: Option<Instant>,
    /// Whether the table has not answered for too long while this instance was leaving.
    leave_timed_out: bool,
    generation: u64,
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
            confirmed_at: None,
            acknowledged_at: None,
            next_heartbeat: Instant::ZERO,
            next_poll: Instant::ZERO,
            next_remote_poll: Instant::ZERO,
            regions_row_version: 0,
            table_read_at: None,
            last_tick: Instant::ZERO,
            is_paused: false,
            pause_detected_at: Instant::ZERO,
            previous_view: None,
            removed: Map::default(),
            pending_read: None,
            pending_write: None,
            token,
            leaving_since: None,
            leave_timed_out: false,
            generation: 0,
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

    /// Returns the view of a region, if the region is known.
    pub fn view_of(&self, region: &str) -> Option<&View> {
        self.views.get(region)
    }

    /// Returns all known views.
    pub fn views(&self) -> impl Iterator<Item = &View> {
        self.views.values()
    }

    /// Returns a number that increases with each change of a known view.
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// Returns the peer address of an instance, if it is a member of a known view.
    pub fn address(&self, name: &str) -> Option<SocketAddr> {
        let mut members = self.views.values().flat_map(|view| &view.members);
        members.find(|member| &*member.name == name).map(|member| member.peer_address)
    }

    /// Returns what is known about a member.
    pub fn peer(&self, name: &str) -> Option<&Peer> {
        self.peers.get(name)
    }

    /// Returns whether this instance is a member of its view.
    pub fn is_member(&self) -> bool {
        self.view()
            .member(&self.identity.name)
            .is_some_and(|member| member.incarnation == self.identity.incarnation)
    }

    /// Returns whether this instance may issue orders at `now`.
    pub fn holds_lease(&self, now: Instant) -> bool {
        self.is_member() && (self.is_confirmed(now) || self.is_extended(now))
    }

    /// Returns when every member was known to have applied the view, or `None` if some have not.
    pub fn acknowledged_at(&self) -> Option<Instant> {
        self.acknowledged_at
    }

    /// Returns when the leases of all members removed by the applied view or an earlier one will have
    /// expired, or `None` while some member is not known to have applied the view.
    pub fn leases_expire_at(&self) -> Option<Instant> {
        let wait = match self.view().unclean.is_empty() {
            true => LEASE_DURATION + LEASE_MARGIN,
            false => MAX_EXTENSION + LEASE_MARGIN,
        };
        self.acknowledged_at.map(|acknowledged_at| acknowledged_at + wait)
    }

    /// Returns whether this instance may answer requests at `now`.
    ///
    /// It may while it holds its lease. During a table outage it also may while it receives messages
    /// from a majority of its region, because then it is not on the minority side of a partition.
    /// After a pause of the process it may not until [`TABLE_TIMEOUT`] has passed or the table has
    /// answered, because it may have been removed in the meantime.
    pub fn may_serve(&self, now: Instant) -> bool {
        self.is_member()
            && !self.is_paused
            && now < self.last_tick + SUSPICION_TIMEOUT
            && (self.holds_lease(now) || self.reaches_majority(now))
    }

    /// Returns whether this instance is in contact with a majority of its region, itself included.
    ///
    /// Of two equal halves, the half with the first member in the ring counts as the majority.
    fn reaches_majority(&self, now: Instant) -> bool {
        let members = &self.view().members;
        let in_contact = |member: &&Identity| {
            member.name == self.identity.name
                || self
                    .peers
                    .get(&member.name)
                    .is_some_and(|peer| now < peer.last_contact + LEASE_DURATION)
        };
        let count = members.iter().filter(in_contact).count();
        let first = members.iter().min_by_key(|member| digest(&*member.name));
        count * 2 > members.len()
            || (count * 2 == members.len() && first.is_some_and(|m| in_contact(&m)))
    }

    /// Returns condition checks that no view and no region was added or changed since the last read.
    pub fn checks(&self) -> Vec<Write> {
        let mut checks: Vec<Write> = self
            .views
            .values()
            .map(|view| Write::check(View::row_key(&view.region), Expect::unchanged(view.version)))
            .collect();
        checks.push(Write::check(REGIONS_KEY, Expect::unchanged(self.regions_row_version)));
        checks
    }

    /// Schedules a read of the rows of all regions for the next tick.
    pub fn refresh(&mut self) {
        self.next_remote_poll = Instant::ZERO;
        self.next_poll = Instant::ZERO;
    }

    /// Starts to leave: the next view that this instance writes does not include it.
    pub fn leave(&mut self, now: Instant) {
        self.leaving_since.get_or_insert(now);
    }

    /// Returns whether this instance was asked to leave and has left its view or cannot.
    ///
    /// If the table does not answer for [`LEAVE_TIMEOUT`], the instance ends as if it had failed: its
    /// watchers remove it once the table is available again.
    pub fn has_left(&self) -> bool {
        self.leaving_since.is_some() && (!self.is_member() || self.leave_timed_out)
    }

    /// Runs the work that is due at `now`: reads and writes of views, renewals and removals.
    pub fn tick(&mut self, now: Instant, config: u64, effects: &mut Effects) {
        self.detect_pause(now);
        self.leave_timed_out = self.leaving_since.is_some_and(|since| {
            let last_answer = self.table_read_at.map_or(since, |read_at| read_at.max(since));
            now >= last_answer + LEAVE_TIMEOUT
        });
        self.expire_operations(now);
        self.poll(now, effects);
        if now >= self.next_heartbeat {
            self.next_heartbeat = now + HEARTBEAT_INTERVAL;
            self.send_renewals(now, config, effects);
            self.announce_view(effects);
            self.probe_members(now, effects);
        }
        self.propose_removals(now, effects);
    }

    /// Handles the outcome of a table operation, and returns whether this module started it.
    pub fn handle_outcome(
        &mut self,
        now: Instant,
        ticket: Ticket,
        outcome: &Outcome,
        effects: &mut Effects,
    ) -> bool {
        if let Some((_, sent)) = self.pending_read.take_if(|(read, _)| *read == ticket) {
            if let Outcome::Rows(rows) = outcome {
                self.handle_rows(now, sent, rows, effects);
            }
            return true;
        }
        if self.pending_write.take_if(|(write, _)| *write == ticket).is_some() {
            self.refresh();
            return true;
        }
        false
    }

    /// Handles a message if it is about membership, and ignores others.
    pub fn handle_message(
        &mut self,
        now: Instant,
        from: &Arc<str>,
        message: &Message,
        effects: &mut Effects,
    ) {
        match message {
            Message::Renew(renewal) => self.handle_renewal(now, from, renewal, effects),
            Message::Granted(renewal) => self.handle_grant(from, renewal),
            Message::Applied { version, reply } => {
                self.record_contact(now, from, *version);
                if *reply {
                    let version = self.view().version;
                    self.send(from, Message::Applied { version, reply: false }, effects);
                }
                self.send_view_if_behind(from, *version, effects);
                self.check_acknowledged(now);
            }
            Message::View(view) => self.handle_view(now, view, effects),
            _ => {}
        }
    }

    /// Detects that this process was paused, and clears the pause after [`TABLE_TIMEOUT`].
    fn detect_pause(&mut self, now: Instant) {
        if now >= self.last_tick + SUSPICION_TIMEOUT {
            self.is_paused = true;
            self.pause_detected_at = now;
            self.refresh();
            for peer in self.peers.values_mut() {
                peer.last_contact = Instant::ZERO;
                // The peer may only seem silent because this process was paused.
                peer.last_grant = now;
            }
        }
        if now >= self.pause_detected_at + TABLE_TIMEOUT {
            self.is_paused = false;
        }
        self.last_tick = now;
    }

    fn send(&self, to: &Arc<str>, message: Message, effects: &mut Effects) {
        if let Some(address) = self.address(to).or_else(|| self.removed.get(to).copied()) {
            effects.push(Effect::Send { to: to.clone(), address, message });
        }
    }
}
