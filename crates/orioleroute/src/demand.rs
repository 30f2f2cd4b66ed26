//! How often each revision is asked for, with exponential decay.
//!
//! `docs/POLICY.md`, section "Demand", tells what the figure decides.

use slotmap::SecondaryMap;

use crate::prelude::*;

/// The half-life of the count of a revision's requests, in seconds.
pub const HALF_LIFE_S: f64 = 600.0;

/// The half-life of what was learnt about returns, in seconds.
const LEARNT_HALF_LIFE_S: f64 = 1_200.0;

/// Between two times that the waits of idle revisions are counted in.
const SWEEP: Duration = Duration::from_secs(5);

/// When a revision that is not asked for is forgotten.
const FORGET: Duration = Duration::from_secs(4 * 3_600);

/// Returns that the revision's own count is worth against those that were learnt.
const PRIOR_RETURNS: f64 = 1.0;

/// Classes of revisions by the logarithm of their count.
const CLASSES: usize = 16;

/// Spans of idle time by their logarithm.
const AGES: usize = 16;

/// The expected demand for each revision, in requests a second.
///
/// A decayed count tells popular revisions from others, but not one whose session goes on from one
/// whose session is over. So it is learnt how soon revisions come back: for each class of count and
/// each span of idle time, the returns that were seen over the seconds that revisions spent there.
///
/// # Examples
///
/// ```
/// use orioleroute::demand::Demand;
/// use orioleroute::prelude::*;
/// use slotmap::SlotMap;
///
/// let mut arena: SlotMap<key::Revision, ()> = SlotMap::with_key();
/// let revision = arena.insert(());
/// let mut demand = Demand::default();
/// assert_eq!(demand.rate(Instant::ZERO, revision), 0.0);
/// demand.note(Instant::ZERO, revision);
/// assert!(demand.rate(Instant::ZERO, revision) > 0.0);
/// ```
#[derive(Clone, Debug)]
pub struct Demand {
    counts: SecondaryMap<key::Revision, Count>,
    cells: Vec<Cell>,
    swept: Instant,
}

/// A decayed count of requests, as of the last one.
#[derive(Clone, Copy, Debug)]
struct Count {
    count: f32,
    at: Instant,
    /// Until when the idle time has been counted in.
    seen: Instant,
}

/// What was seen of the revisions of one class after one span of idle time.
#[derive(Clone, Copy, Debug, Default)]
struct Cell {
    returns: f64,
    seconds: f64,
}

impl Default for Demand {
    fn default() -> Self {
        Self {
            counts: SecondaryMap::new(),
            cells: vec![Cell::default(); CLASSES * AGES],
            swept: Instant::ZERO,
        }
    }
}

impl Demand {
    /// Counts a request for `revision`.
    pub fn note(&mut self, now: Instant, revision: key::Revision) {
        let count = match self.counts.get(revision).copied() {
            Some(count) => {
                learn(&mut self.cells, now, &count);
                let index = cell(count.class(), age(now, count));
                self.cells[index].returns += 1.0;
                count.decayed(now) + 1.0
            }
            None => 1.0,
        };
        self.counts.insert(revision, Count { count, at: now, seen: now });
    }

    /// Counts in the idle time of all revisions, if that is due.
    pub fn sweep(&mut self, now: Instant) {
        if now < self.swept + SWEEP {
            return;
        }
        let kept = (-now.since(self.swept).as_secs_f64() / LEARNT_HALF_LIFE_S).exp2();
        self.swept = now;
        for cell in &mut self.cells {
            cell.returns *= kept;
            cell.seconds *= kept;
        }
        let cells = &mut self.cells;
        self.counts.retain(|_, count| {
            learn(cells, now, count);
            count.seen = now;
            now < count.at + FORGET
        });
    }

    /// Returns the expected demand for `revision` in requests a second.
    ///
    /// A count that decays with half-life *h* and grows at rate *r* settles at *r h* / ln 2, which
    /// gives the rate that stands in for returns not yet seen.
    pub fn rate(&self, now: Instant, revision: key::Revision) -> f64 {
        let Some(count) = self.counts.get(revision) else { return 0.0 };
        let own = f64::from(count.decayed(now)) * std::f64::consts::LN_2 / HALF_LIFE_S;
        let learnt = self.cells[cell(count.class(), age(now, *count))];
        (learnt.returns + PRIOR_RETURNS) / (learnt.seconds + PRIOR_RETURNS / own.max(1e-9))
    }
}

impl Count {
    fn decayed(&self, now: Instant) -> f32 {
        let seconds = now.since(self.at).as_secs_f64();
        self.count * (-seconds / HALF_LIFE_S).exp2() as f32
    }

    /// Returns the class by the count at the last request, one for each doubling.
    fn class(&self) -> usize {
        (self.count.max(1.0).log2() as usize).min(CLASSES - 1)
    }
}

/// Counts in the idle time of a revision since it was last done.
fn learn(cells: &mut [Cell], now: Instant, count: &Count) {
    let index = cell(count.class(), age(now, *count));
    cells[index].seconds += now.since(count.seen).as_secs_f64();
}

fn cell(class: usize, age: usize) -> usize {
    class * AGES + age
}

/// Returns the span of idle time, one for each doubling from a second.
fn age(now: Instant, count: Count) -> usize {
    let seconds = now.since(count.at).as_secs_f64();
    ((seconds + 1.0).log2() as usize).min(AGES - 1)
}
