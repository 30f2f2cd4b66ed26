//! Connections that are closed at once because their listener has no room for them.

use std::cell::RefCell;

use orioleroute::prelude::*;
use orioleroute_wire::admission::{Admission, Refusal};
use slog::warn;
use strum::IntoStaticStr;

use super::state::Gateway;
use crate::room::Room;

/// The listeners for peers that are not trusted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Listener {
    /// For clients.
    Clients,
    /// For other instances.
    Peers,
    /// For readiness probes.
    Ready,
    /// For look-ups of addresses.
    Directory,
    /// For metrics.
    Metrics,
}

impl Listener {
    /// Returns the room of the listener.
    pub fn admission(self, room: &Room) -> &Admission {
        match self {
            Self::Clients => &room.clients,
            Self::Peers => &room.peers,
            Self::Ready => &room.ready,
            Self::Directory => &room.directory,
            Self::Metrics => &room.metrics,
        }
    }
}

/// The time between two log lines about the same cause at the same listener.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// When what was logged last.
#[derive(Default)]
pub struct Logged(RefCell<Map<(Listener, Refusal), Instant>>);

impl Logged {
    /// Returns whether the cause is to be logged now, and notes it if so.
    fn is_due(&self, listener: Listener, refusal: Refusal, now: Instant) -> bool {
        let mut logged = self.0.borrow_mut();
        let last = logged.get(&(listener, refusal));
        let is_due = last.is_none_or(|last| now.since(*last) >= LOG_INTERVAL);
        if is_due {
            logged.insert((listener, refusal), now);
        }
        is_due
    }
}

/// Counts a connection that was turned away, and logs it unless that was just done.
pub fn report(gateway: &Gateway, listener: Listener, refusal: Refusal) {
    let (name, cause): (&str, &str) = (listener.into(), refusal.into());
    if listener == Listener::Clients {
        metrics::counter!("orioleroute_connections_rejected_total").increment(1);
    }
    metrics::counter!("orioleroute_turned_away_total", "listener" => name, "cause" => cause)
        .increment(1);
    if gateway.turned_away.is_due(listener, refusal, gateway.now()) {
        warn!(gateway.log, "connection turned away"; "listener" => name, "cause" => cause);
    }
}
