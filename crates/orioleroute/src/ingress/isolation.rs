//! Whether the silence of other instances can be trusted.

use super::roster::Contact;
use crate::prelude::*;

/// How long after an isolation the other instances count as alive although some have sent no heartbeat yet:
/// one interval between regions, and a margin for a lost heartbeat's successor in the region.
pub const RETURN_GRACE: Duration = Duration::from_millis(2_500);

/// Remembers when an instance last received no heartbeats at all.
///
/// While it is cut off, every leader seems to have failed. When the cut heals, the first heartbeat comes from
/// any instance, and those of the leaders follow up to an interval later. Without a grace the instance
/// would take zones over from leaders that were alive all the time. The time before the first heartbeat of an
/// instance that has just started is no isolation.
#[derive(Clone, Copy, Debug, Default)]
pub struct Isolation {
    has_had_contact: bool,
    last: Option<Instant>,
}

impl Isolation {
    /// Records with which instances there is contact.
    pub fn observe(&mut self, contact: Contact, now: Instant) {
        match contact.is_present() {
            true => self.has_had_contact = true,
            false if self.has_had_contact => self.last = Some(now),
            false => {}
        }
    }

    /// Returns whether an isolation has ended so recently that a missing heartbeat means nothing.
    pub fn has_just_ended(&self, contact: Contact, now: Instant) -> bool {
        contact.is_present() && self.last.is_some_and(|last| now.since(last) < RETURN_GRACE)
    }
}
