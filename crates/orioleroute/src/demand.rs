//! The request rate of each revision, with exponential decay.
//!
//! `docs/POLICY.md`, section "Demand", explains what the rate is used for.

use slotmap::SecondaryMap;

use crate::prelude::*;

/// The half-life of the count of a revision's requests, in seconds.
pub const COUNT_HALF_LIFE_S: f64 = 600.0;

/// The half-life of the returns and idle times observed, in seconds.
const CELL_HALF_LIFE_S: f64 = 1_200.0;

/// Interval at which the idle time of revisions is added up.
const SWEEP_INTERVAL: Duration = Duration::from_secs(5);

/// Time after its last request at which a revision's count is discarded.
const COUNT_TTL: Duration = Duration::from_secs(4 * 3_600);

/// The weight of a revision's own count against the observed returns, as a number of returns.
const PRIOR_RETURNS: f64 = 1.0;

/// Number of classes of revisions, by the logarithm of their count.
const COUNT_CLASSES: usize = 16;

/// Number of spans of idle time, by its logarithm.
const IDLE_SPANS: usize = 16;

/// The expected demand for each revision, in requests per second.
///
/// A decayed count distinguishes popular revisions from others, but not revisions with an ongoing
/// session from those whose session is over. So the rate at which revisions are requested again is
/// measured as well: for each class of count and each span of idle time, the returns observed
/// divided by the seconds that revisions spent there.
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
/// demand.observe(Instant::ZERO, revision);
/// assert!(demand.rate(Instant::ZERO, revision) > 0.0);
/// ```
#[derive(Clone, Debug)]
pub struct Demand {
    counts: SecondaryMap<key::Revision, Count>,
    cells: Vec<Cell>,
    last_sweep: Instant,
}

/// A decayed count of requests, as of the last one.
#[derive(Clone, Copy, Debug)]
struct Count {
    count: f32,
    last_request: Instant,
    /// Up to when its idle time was added to the cells.
    counted_until: Instant,
}

/// The returns and idle seconds observed for the revisions of one class within one span of idle
/// time.
#[derive(Clone, Copy, Debug, Default)]
struct Cell {
    returns: f64,
    seconds: f64,
}

impl Default for Demand {
    fn default() -> Self {
        Self {
            counts: SecondaryMap::new(),
            cells: vec![Cell::default(); COUNT_CLASSES * IDLE_SPANS],
            last_sweep: Instant::ZERO,
        }
    }
}

impl Demand {
    /// Records a request for `revision`.
    pub fn observe(&mut self, now: Instant, revision: key::Revision) {
        let count = match self.counts.get(revision).copied() {
            Some(count) => {
                add_idle_time(&mut self.cells, now, &count);
                let index = cell_index(count.class(), idle_span(now, count));
                self.cells[index].returns += 1.0;
                count.decayed(now) + 1.0
            }
            None => 1.0,
        };
        self.counts.insert(revision, Count { count, last_request: now, counted_until: now });
    }

    /// Adds up the idle time of all revisions, if that is due.
    pub fn sweep(&mut self, now: Instant) {
        if now < self.last_sweep + SWEEP_INTERVAL {
            return;
        }
        let decay = (-now.since(self.last_sweep).as_secs_f64() / CELL_HALF_LIFE_S).exp2();
        self.last_sweep = now;
        for cell in &mut self.cells {
            cell.returns *= decay;
            cell.seconds *= decay;
        }
        let cells = &mut self.cells;
        self.counts.retain(|_, count| {
            add_idle_time(cells, now, count);
            count.counted_until = now;
            now < count.last_request + COUNT_TTL
        });
    }

    /// Returns the expected demand for `revision` in requests per second.
    ///
    /// A count that decays with half-life *h* and grows at rate *r* converges to *r h* / ln 2. The
    /// rate that this gives for the revision's own count serves as the prior while few returns were
    /// observed.
    pub fn rate(&self, now: Instant, revision: key::Revision) -> f64 {
        let Some(count) = self.counts.get(revision) else { return 0.0 };
        let prior_rate = f64::from(count.decayed(now)) * std::f64::consts::LN_2 / COUNT_HALF_LIFE_S;
        let observed = self.cells[cell_index(count.class(), idle_span(now, *count))];
        (observed.returns + PRIOR_RETURNS)
            / (observed.seconds + PRIOR_RETURNS / prior_rate.max(1e-9))
    }
}

impl Count {
    fn decayed(&self, now: Instant) -> f32 {
        let seconds = now.since(self.last_request).as_secs_f64();
        self.count * (-seconds / COUNT_HALF_LIFE_S).exp2() as f32
    }

    /// Returns the class of the count at the last request. There is one class for each doubling.
    fn class(&self) -> usize {
        (self.count.max(1.0).log2() as usize).min(COUNT_CLASSES - 1)
    }
}

/// Adds the idle time of a revision since it was last added.
fn add_idle_time(cells: &mut [Cell], now: Instant, count: &Count) {
    let index = cell_index(count.class(), idle_span(now, *count));
    cells[index].seconds += now.since(count.counted_until).as_secs_f64();
}

fn cell_index(class: usize, span: usize) -> usize {
    class * IDLE_SPANS + span
}

/// Returns the span that the idle time falls into. There is one span for each doubling from a
/// second.
fn idle_span(now: Instant, count: Count) -> usize {
    let seconds = now.since(count.last_request).as_secs_f64();
    ((seconds + 1.0).log2() as usize).min(IDLE_SPANS - 1)
}
