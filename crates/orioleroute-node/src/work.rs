//! The work in flight of an instance, for its clients and for other instances.

use std::cell::Cell;
use std::rc::Rc;

use strum::EnumCount;

/// What an instance is at work on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::EnumCount)]
pub enum Work {
    /// A request of a client.
    Request,
    /// A connection of another instance to an upstream, see `docs/design/detours.md`.
    Detour,
}

/// The number of pieces of work in flight, by what they are.
#[derive(Clone, Debug, Default)]
pub struct InFlight(Rc<[Cell<usize>; Work::COUNT]>);

impl InFlight {
    /// Counts a piece of work as in flight until the returned guard is dropped.
    pub fn begin(&self, work: Work) -> Guard {
        let count = self.count_of(work);
        count.set(count.get() + 1);
        Guard { in_flight: self.clone(), work }
    }

    /// Returns whether there is none of any kind.
    pub fn is_empty(&self) -> bool {
        self.0.iter().all(|count| count.get() == 0)
    }

    /// Returns the number of pieces of this kind.
    pub fn count(&self, work: Work) -> usize {
        self.count_of(work).get()
    }

    fn count_of(&self, work: Work) -> &Cell<usize> {
        &self.0[work as usize]
    }
}

/// Counts one piece of work as in flight until it is dropped.
#[derive(Debug)]
pub struct Guard {
    in_flight: InFlight,
    work: Work,
}

impl Drop for Guard {
    fn drop(&mut self) {
        let count = self.in_flight.count_of(self.work);
        count.set(count.get().saturating_sub(1));
    }
}
