//! The order in which one request asks the schedulers of the availability zones for a grant.
//!
//! Load pattern: thousands of adapters of which each zone holds a part, and zones whose queues differ. The
//! request's own zone comes first, unless its queue is long; the adapter's home zone if the own zone
//! does not hold the adapter; a zone with spare capacity if those asked have none. Rarely used adapters
//! are fetched only by their home zone, which then has them warm for the next request from any zone.

use super::message::Reason;
use crate::prelude::*;

/// The least time that must be left until a request is late for it to overflow to another zone: enough for
/// a round trip between regions and for a grant there.
pub const MIN_OVERFLOW_TIME: Duration = Duration::from_millis(200);

/// A zone to ask.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ask {
    /// The zone.
    pub zone: Arc<str>,
    /// Whether it may fetch the adapter although another zone may hold it.
    pub may_fetch: bool,
}

/// What to do next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Ask this zone.
    Ask(Ask),
    /// Ask a zone with spare capacity, if there is one.
    Overflow,
    /// Give up; the last refusal counts.
    Refuse,
}

/// Why a zone did not grant the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refused {
    /// The reason.
    pub reason: Reason,
    /// Whether the request was withdrawn from the queue because another zone would run it sooner.
    pub is_withdrawn: bool,
}

/// The search of one request for a zone that grants it.
#[derive(Clone, Debug)]
pub struct Search {
    own: Arc<str>,
    home: Arc<str>,
    tried: Vec<Arc<str>>,
    stage: Stage,
    /// Whether the own zone does not hold the adapter.
    is_missing: bool,
    /// Whether the request has left the queue of a zone.
    is_withdrawn: bool,
}

/// Which zone was asked last.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    Diverted,
    Own,
    Home,
    OwnFetch,
    Overflow,
    Last,
}

impl Search {
    /// Begins the search of a request from the zone `own` for an adapter whose home zone is `home`, and
    /// returns the first zone to ask: `diverted` if the own zone's queue is too long.
    pub fn begin(own: Arc<str>, home: Arc<str>, diverted: Option<Arc<str>>) -> (Self, Ask) {
        let mut search = Self {
            own,
            home,
            tried: Vec::new(),
            stage: Stage::Own,
            is_missing: false,
            is_withdrawn: false,
        };
        let ask = match diverted {
            Some(zone) => {
                let may_fetch = zone == search.home;
                search.ask(Stage::Diverted, zone, may_fetch)
            }
            None => search.ask_own(),
        };
        (search, ask)
    }

    /// Returns the zones that have been asked.
    pub fn tried(&self) -> &[Arc<str>] {
        &self.tried
    }

    /// Handles the refusal of the zone that was asked last, given the time until the request is late.
    pub fn handle_refusal(&mut self, refused: Refused, left: Duration) -> Step {
        let Refused { reason, is_withdrawn } = refused;
        self.is_withdrawn |= is_withdrawn;
        if reason == Reason::Quarantined {
            return Step::Refuse;
        }
        let is_elsewhere = matches!(reason, Reason::NotHere | Reason::NotScheduler);
        match self.stage {
            Stage::Diverted => Step::Ask(self.ask_own()),
            Stage::Own if is_elsewhere && !self.tried.contains(&self.home) => {
                self.is_missing = reason == Reason::NotHere;
                let home = self.home.clone();
                Step::Ask(self.ask(Stage::Home, home, true))
            }
            // The home zone has been tried, or has no scheduler or no engine, so the own zone may fetch the
            // adapter.
            Stage::Own if reason == Reason::NotHere => Step::Ask(self.ask_own_fetch()),
            Stage::Home if self.is_missing && (is_elsewhere || reason == Reason::NoEngine) => {
                Step::Ask(self.ask_own_fetch())
            }
            Stage::Own | Stage::Home | Stage::OwnFetch
                if reason != Reason::TooLate && left > MIN_OVERFLOW_TIME =>
            {
                self.stage = Stage::Overflow;
                Step::Overflow
            }
            // The queue is ordered by due time, so the request takes its former place.
            Stage::Overflow if self.is_withdrawn && reason != Reason::TooLate => {
                let own = self.own.clone();
                Step::Ask(self.ask(Stage::Last, own, true))
            }
            Stage::Own | Stage::Home | Stage::OwnFetch | Stage::Overflow | Stage::Last => {
                Step::Refuse
            }
        }
    }

    /// Returns the question to the zone that was chosen for [`Step::Overflow`].
    pub fn overflow_to(&mut self, zone: Arc<str>) -> Ask {
        self.ask(Stage::Overflow, zone, true)
    }

    fn ask_own(&mut self) -> Ask {
        let (own, may_fetch) = (self.own.clone(), self.own == self.home);
        self.ask(Stage::Own, own, may_fetch)
    }

    fn ask_own_fetch(&mut self) -> Ask {
        let own = self.own.clone();
        self.ask(Stage::OwnFetch, own, true)
    }

    fn ask(&mut self, stage: Stage, zone: Arc<str>, may_fetch: bool) -> Ask {
        self.stage = stage;
        self.tried.push(zone.clone());
        Ask { zone, may_fetch }
    }
}
