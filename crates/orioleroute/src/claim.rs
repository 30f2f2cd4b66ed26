//! Claims: table rows that ensure that a request runs at most once.
//!
//! A request that is not repeatable and has an idempotency key is sent only after its row states
//! that this request holds the key. Rows are written in batches, one transaction at a time,
//! and an unknown outcome is settled by reading the rows. `docs/DESIGN.md`, section "Requests",
//! gives the reasons.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use crate::effect::Effects;
use crate::instance::Instance as Identity;
use crate::key::Ticket;
use crate::prelude::*;
use crate::table::{Expect, Operation, Outcome, Row, Write};

/// Maximum number of rows per write or read, which is the table's limit for a transaction.
pub const MAX_BATCH_ROWS: usize = 100;

/// Maximum number of claim transactions per second that all instances together write.
pub const MAX_WRITES_PER_SECOND: u32 = 200;

/// Interval between attempts to settle rows of unknown state.
const SETTLE_INTERVAL: Duration = Duration::from_secs(1);

/// How long after a reply the table is considered available even if an operation gets no reply.
const REPLY_TTL: Duration = Duration::from_secs(1);

/// The state of the request that holds a key, as recorded in its row.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// The request may be running or may have run.
    Claimed,
    /// The request ran, and its caller received the whole response.
    Finished,
    /// No part of the request was sent, so the key may be claimed again.
    Abandoned,
}

/// The value of a row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// The instance that wrote it.
    pub claimer: Arc<str>,
    /// The incarnation of that instance.
    pub incarnation: u64,
    /// A number that is unique among the claims of one incarnation.
    pub serial: u64,
    /// The state of the request.
    pub state: State,
}

/// How the claim of a request was settled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The request holds the key, and may be sent.
    Granted,
    /// A request with the same key ran.
    Ran,
    /// A request with the same key may have run.
    MayHaveRun,
    /// The table did not answer in time; the request must not be sent.
    Unsettled,
}

/// The progress of a row towards its desired state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// It waits to be written.
    Queued,
    /// It is being written with this state.
    Writing(State),
    /// It waits to be read.
    Unread,
    /// It is being read.
    Reading,
    /// It holds the claim of a request that has not ended.
    Held,
}

#[derive(Clone, Debug)]
struct Entry {
    serial: u64,
    request: Option<key::Request>,
    desired: State,
    expect: Expect,
    phase: Phase,
    /// Whether a write with an unknown outcome may still take effect.
    uncertain: bool,
}

/// The rows of an operation in flight.
#[derive(Debug)]
struct Batch {
    ticket: Ticket,
    rows: Vec<Arc<str>>,
}

/// The claims of one instance that are not settled yet or whose requests have not ended.
#[derive(Debug)]
pub struct Claims {
    claimer: Arc<str>,
    incarnation: u64,
    next_serial: u64,
    entries: Map<Arc<str>, Entry>,
    queue: VecDeque<Arc<str>>,
    unread: Vec<Arc<str>>,
    writing: Option<Batch>,
    reading: Option<Batch>,
    next_write: Instant,
    next_read: Instant,
    last_reply: Instant,
    is_table_down: bool,
}

impl Claims {
    /// Returns the claims of an instance that has just started.
    pub fn new(identity: &Identity) -> Self {
        Self {
            claimer: identity.name.clone(),
            incarnation: identity.incarnation,
            next_serial: 0,
            entries: Map::default(),
            queue: VecDeque::new(),
            unread: Vec::new(),
            writing: None,
            reading: None,
            next_write: Instant::ZERO,
            next_read: Instant::ZERO,
            last_reply: Instant::ZERO,
            is_table_down: false,
        }
    }

    /// Returns the key of the row for a service's idempotency key.
    pub fn row_key(service: &str, idempotency: &str) -> Arc<str> {
        format!("claim/{service}/{idempotency}").into()
    }

    /// Starts to claim a row for a request. [`Claims::handle_outcome`] returns the verdict.
    ///
    /// # Errors
    ///
    /// Returns the verdict if it is known without asking the table.
    pub fn begin(&mut self, row: &Arc<str>, request: key::Request) -> Result<(), Verdict> {
        if let Some(entry) = self.entries.get(row) {
            return Err(match entry.desired {
                State::Claimed => Verdict::MayHaveRun,
                State::Finished => Verdict::Ran,
                State::Abandoned => Verdict::Unsettled,
            });
        }
        if self.is_table_down {
            return Err(Verdict::Unsettled);
        }
        self.next_serial += 1;
        let entry = Entry {
            serial: self.next_serial,
            request: Some(request),
            desired: State::Claimed,
            expect: Expect::Absent,
            phase: Phase::Queued,
            uncertain: false,
        };
        self.entries.insert(row.clone(), entry);
        self.queue.push_back(row.clone());
        Ok(())
    }

    /// Ends the claim of a request in the known state of the request.
    ///
    /// With [`State::Claimed`], the row keeps that state permanently, since the request may have
    /// run.
    pub fn end(&mut self, row: &Arc<str>, request: key::Request, state: State) {
        let Some(entry) = self.entries.get_mut(row) else { return };
        if entry.request != Some(request) {
            return;
        }
        entry.request = None;
        entry.desired = state;
        match (entry.phase, state) {
            (Phase::Held, State::Claimed) => self.remove(row),
            (Phase::Held, _) => self.enqueue(row),
            (Phase::Queued, _) if !entry.uncertain => self.remove(row),
            _ => {}
        }
    }

    /// Returns whether every row has reached its final state.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns whether the table is considered unavailable.
    pub fn is_table_down(&self) -> bool {
        self.is_table_down
    }

    /// Returns the requests that wait for their claims.
    pub fn waiting(&self) -> impl Iterator<Item = key::Request> {
        let waiting = self.entries.values().filter(|entry| entry.phase != Phase::Held);
        waiting.filter_map(|entry| entry.request)
    }

    /// Observes the outcome of any table operation, so that an outage is detected at once.
    pub fn observe_outcome(&mut self, now: Instant, outcome: &Outcome) {
        match outcome {
            Outcome::Rows(_) | Outcome::Written | Outcome::Conflict(_) => {
                self.last_reply = now;
                self.is_table_down = false;
            }
            Outcome::Failed | Outcome::Unknown => {
                self.is_table_down |= now.since(self.last_reply) > REPLY_TTL;
            }
        }
    }

    /// Writes and reads the rows that are due, with at most one batch of each in flight.
    ///
    /// Writes are spaced so that `members` instances together stay within
    /// [`MAX_WRITES_PER_SECOND`]. The first write after a pause is sent at once.
    pub fn flush(&mut self, now: Instant, members: usize, effects: &mut Effects) {
        if self.writing.is_none() && now >= self.next_write && !self.queue.is_empty() {
            self.write(effects);
            self.next_write = now + Duration::from_secs(1) * members as u32 / MAX_WRITES_PER_SECOND;
        }
        if self.reading.is_none() && now >= self.next_read && !self.unread.is_empty() {
            self.read(effects);
        }
    }

    /// Handles the outcome of an operation. Returns the verdicts that it led to, or `None` if the
    /// operation was not one on claims.
    pub fn handle_outcome(
        &mut self,
        now: Instant,
        ticket: Ticket,
        outcome: &Outcome,
    ) -> Option<Vec<(key::Request, Verdict)>> {
        if let Some(batch) = self.writing.take_if(|batch| batch.ticket == ticket) {
            return Some(self.handle_write(now, &batch.rows, outcome));
        }
        let batch = self.reading.take_if(|batch| batch.ticket == ticket)?;
        Some(self.handle_read(now, &batch.rows, outcome))
    }

    fn write(&mut self, effects: &mut Effects) {
        let (mut rows, mut writes) = (Vec::new(), Vec::new());
        while rows.len() < MAX_BATCH_ROWS {
            let Some(row) = self.queue.pop_front() else { break };
            let Some(entry) = self.entries.get_mut(&row) else { continue };
            if entry.phase != Phase::Queued {
                continue;
            }
            entry.phase = Phase::Writing(entry.desired);
            let claim = Claim {
                claimer: self.claimer.clone(),
                incarnation: self.incarnation,
                serial: entry.serial,
                state: entry.desired,
            };
            writes.push(Write::put(row.clone(), entry.expect, &claim));
            rows.push(row);
        }
        if !rows.is_empty() {
            let ticket = effects.table(Operation::Write(writes));
            self.writing = Some(Batch { ticket, rows });
        }
    }

    fn read(&mut self, effects: &mut Effects) {
        let count = self.unread.len().min(MAX_BATCH_ROWS);
        let rows: Vec<Arc<str>> = self.unread.drain(..count).collect();
        for row in &rows {
            if let Some(entry) = self.entries.get_mut(row) {
                entry.phase = Phase::Reading;
            }
        }
        let ticket = effects.table(Operation::Read(rows.clone()));
        self.reading = Some(Batch { ticket, rows });
    }

    fn handle_write(
        &mut self,
        now: Instant,
        rows: &[Arc<str>],
        outcome: &Outcome,
    ) -> Vec<(key::Request, Verdict)> {
        let mut settled = Vec::new();
        for (index, row) in rows.iter().enumerate() {
            match outcome {
                Outcome::Written => settled.extend(self.handle_written(row)),
                Outcome::Conflict(unmet) if unmet.contains(&index) => self.mark_unread(row),
                Outcome::Conflict(_) => self.enqueue(row),
                Outcome::Unknown if !self.is_table_down => {
                    self.mark_uncertain(row);
                    self.mark_unread(row);
                }
                Outcome::Unknown => {
                    self.mark_uncertain(row);
                    settled.extend(self.abandon(now, row));
                }
                Outcome::Failed | Outcome::Rows(_) => settled.extend(self.abandon(now, row)),
            }
        }
        settled
    }

    fn handle_read(
        &mut self,
        now: Instant,
        rows: &[Arc<str>],
        outcome: &Outcome,
    ) -> Vec<(key::Request, Verdict)> {
        let mut settled = Vec::new();
        for row in rows {
            match outcome {
                Outcome::Rows(found) => {
                    let found = found.iter().find(|found| found.key == *row);
                    settled.extend(self.handle_row(row, found));
                }
                _ => settled.extend(self.abandon(now, row)),
            }
        }
        settled
    }

    fn handle_written(&mut self, row: &Arc<str>) -> Option<(key::Request, Verdict)> {
        let entry = self.entries.get_mut(row)?;
        let Phase::Writing(state) = entry.phase else { return None };
        entry.expect = Expect::Version(entry.expect.next_version());
        self.handle_own_claim(row, state)
    }

    /// Advances a row that is known to hold this claim in `state`, at the expected version.
    fn handle_own_claim(
        &mut self,
        row: &Arc<str>,
        state: State,
    ) -> Option<(key::Request, Verdict)> {
        let entry = self.entries.get_mut(row)?;
        entry.uncertain = false;
        match (state, entry.desired, entry.request) {
            (State::Claimed, State::Claimed, Some(request)) => {
                entry.phase = Phase::Held;
                return Some((request, Verdict::Granted));
            }
            (State::Claimed, State::Finished | State::Abandoned, _) => self.enqueue(row),
            _ => self.remove(row),
        }
        None
    }

    fn handle_row(
        &mut self,
        row: &Arc<str>,
        found: Option<&Row>,
    ) -> Option<(key::Request, Verdict)> {
        let own = found.and_then(|found| self.own_state(row, found));
        let entry = self.entries.get_mut(row)?;
        let previous = entry.expect;
        entry.expect = Expect::unchanged(found.map_or(0, |found| found.version));
        if let Some(state) = own {
            return self.handle_own_claim(row, state);
        }
        let may_apply_late = entry.uncertain && entry.expect == previous;
        match (entry.desired, entry.request, found.map(state_of)) {
            (State::Claimed, Some(request), Some(State::Claimed)) => {
                self.remove(row);
                Some((request, Verdict::MayHaveRun))
            }
            (State::Claimed, Some(request), Some(State::Finished)) => {
                self.remove(row);
                Some((request, Verdict::Ran))
            }
            (State::Claimed, Some(_), Some(State::Abandoned) | None) => {
                self.enqueue(row);
                None
            }
            // A write of the claim may still take effect. Writing the row first makes that write
            // fail its condition.
            (State::Abandoned, _, Some(State::Abandoned) | None) if may_apply_late => {
                self.enqueue(row);
                None
            }
            _ => {
                self.remove(row);
                None
            }
        }
    }

    /// Returns the state in a row if it holds this instance's current claim.
    fn own_state(&self, row: &Arc<str>, found: &Row) -> Option<State> {
        let claim: Claim = serde_json::from_str(&found.value).ok()?;
        let entry = self.entries.get(row)?;
        let own = claim.claimer == self.claimer
            && claim.incarnation == self.incarnation
            && claim.serial == entry.serial;
        own.then_some(claim.state)
    }

    /// Fails the request that waits for a row and leaves the row to be settled later.
    fn abandon(&mut self, now: Instant, row: &Arc<str>) -> Option<(key::Request, Verdict)> {
        self.next_read = now + SETTLE_INTERVAL;
        let entry = self.entries.get_mut(row)?;
        let request = entry.request.take();
        if entry.desired == State::Claimed {
            entry.desired = State::Abandoned;
        }
        let is_unwritten = !entry.uncertain && entry.expect == Expect::Absent;
        match is_unwritten {
            true => self.remove(row),
            false => self.mark_unread(row),
        }
        Some((request?, Verdict::Unsettled))
    }

    fn mark_uncertain(&mut self, row: &Arc<str>) {
        if let Some(entry) = self.entries.get_mut(row) {
            entry.uncertain = true;
        }
    }

    fn enqueue(&mut self, row: &Arc<str>) {
        let Some(entry) = self.entries.get_mut(row) else { return };
        entry.phase = Phase::Queued;
        self.queue.push_back(row.clone());
    }

    fn mark_unread(&mut self, row: &Arc<str>) {
        let Some(entry) = self.entries.get_mut(row) else { return };
        entry.phase = Phase::Unread;
        self.unread.push(row.clone());
    }

    fn remove(&mut self, row: &Arc<str>) {
        self.entries.remove(row);
    }
}

/// Returns the state in the row of another claim. A row that cannot be parsed counts as claimed,
/// since its request may have run.
fn state_of(row: &Row) -> State {
    serde_json::from_str(&row.value).map_or(State::Claimed, |claim: Claim| claim.state)
}
