//! Whether the leader of an availability zone may still issue orders to its engines.
//!
//! Load pattern: none; this answers freezes and partitions. Engines that check fencing tokens refuse the
//! orders of a former leader. Engines that do not check them carry out every order, so two leaders
//! would act in turn. A leader therefore issues orders only while it has evidence that no other
//! instance has taken the zone over. `docs/PLATFORM.md`, section "Scheduler", compares the
//! alternatives and lists what the evidence covers.

use crate::ingress::roster::Contact;
use crate::prelude::*;

/// The longest pause between two calls of [`Lease::observe`] that does not count as a suspension. It is
/// well below the time after which another instance takes over, and above the pauses of a
/// processor share that is used up.
pub const MAX_PAUSE: Duration = Duration::from_millis(1_000);

/// How much the time that the system was suspended may grow between two observations.
pub const SUSPENSION_TOLERANCE: Duration = Duration::from_millis(200);

/// How long a read of the leaders is evidence. It is below the time after which another instance takes
/// over from a leader whose heartbeats have stopped.
pub const CONFIRMATION_TTL: Duration = Duration::from_millis(1_000);

/// The evidence of one instance that the zones which it leads have not been taken over.
#[derive(Clone, Debug, Default)]
pub struct Lease {
    /// Set from a suspension until the leaders are read from the store again.
    is_suspended: bool,
    observed: Option<Instant>,
    /// The total time that the system had been suspended at the last observation.
    suspension: Option<Duration>,
    /// When the last successful read of the leaders was sent.
    confirmed: Option<Instant>,
    /// When contact with possible successors was last missing, if the leaders have not been read since.
    isolated: Option<Instant>,
}

impl Lease {
    /// Records that the process runs, given the total time that the system has been suspended, and
    /// returns whether this shows a suspension of the process.
    ///
    /// A suspension shows either in that time or, if the monotonic clock went on, as a long pause.
    /// Messages that queued up meanwhile are no evidence, because they arrive all at once.
    pub fn observe(&mut self, suspension: Option<Duration>, now: Instant) -> bool {
        let was_paused = self.observed.replace(now).is_some_and(|last| now.since(last) > MAX_PAUSE);
        let previous = std::mem::replace(&mut self.suspension, suspension);
        let was_suspended = suspension
            .zip(previous)
            .is_some_and(|(total, previous)| total > previous + SUSPENSION_TOLERANCE);
        if was_paused || was_suspended {
            self.is_suspended = true;
            self.confirmed = None;
        }
        was_paused || was_suspended
    }

    /// Records with which instances there is contact. Contact that was missing and returns is no evidence:
    /// another instance may have taken over in between, and the row that says so may arrive later.
    pub fn observe_contact(&mut self, contact: Contact, now: Instant) {
        if !contact.covers_successors() {
            self.isolated = Some(now);
        }
    }

    /// Records a successful read of the leaders that was sent at `sent`. One that was sent before the
    /// last observed suspension or isolation does not end it.
    pub fn confirm(&mut self, sent: Instant, now: Instant) {
        if now.since(sent) <= MAX_PAUSE {
            self.is_suspended = false;
            self.confirmed = Some(sent);
            self.isolated = self.isolated.filter(|isolated| *isolated >= sent);
        }
    }

    /// Returns whether orders may be issued.
    ///
    /// Without a fencing token at the engines, the leader needs a recent read of the leaders, or contact
    /// with those that could take over, without a break since the last read: with most instances of its
    /// region, and an instance of another region if there are any. A leader that only lost the store thus goes on, and so do all
    /// leaders while the store is away for everybody, since nobody can take over then.
    pub fn permits_orders(&self, is_fenced: bool, contact: Contact, now: Instant) -> bool {
        if self.is_suspended {
            return false;
        }
        let is_in_contact = contact.covers_successors() && self.isolated.is_none();
        is_fenced || self.is_confirmed(now) || is_in_contact
    }

    /// Returns whether quotas may be lent. Contact that has returned is enough: accounts ask the leader that they know, and
    /// without the store there is no other.
    pub fn permits_loans(&self, contact: Contact, now: Instant) -> bool {
        !self.is_suspended && (self.is_confirmed(now) || contact.covers_successors())
    }

    fn is_confirmed(&self, now: Instant) -> bool {
        self.confirmed.is_some_and(|sent| now.since(sent) < CONFIRMATION_TTL)
    }
}
