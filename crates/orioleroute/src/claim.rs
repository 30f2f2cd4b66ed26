//! Claims: the rows of the table that let a request run at most once.
//!
//! A request that is not repeatable and has an idempotency key is sent only once its row says that
//! this very request holds the key. Rows are written in groups, one transaction at a time, and an
//! unknown outcome is settled by reading. `docs/DESIGN.md`, section "Requests", has the reasons.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use crate::effect::Effects;
use crate::instance::Instance as Identity;
use crate::key::Ticket;
use crate::prelude::*;
use crate::table::{Expect, Operation, Outcome, Row, Write};

/// Rows written or read at a time, at most; the table's limit for a transaction.
pub const GROUP: usize = 100;

/// Transactions of claims that all instances together write in a second, at most.
pub const WRITES_PER_SECOND: u32 = 200;

/// Between two tries to settle rows of unknown state.
const SETTLE_INTERVAL: Duration = Duration::from_secs(1);

/// How long after a reply the table is taken to be up even if an operation has no reply.
const REPLY_LIFE: Duration = Duration::from_secs(1);

/// What a row says of the request that holds the key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// It may be running, or may have run.
    Claimed,
    /// It ran, and its caller had the whole answer.
    Finished,
    /// No part of it was sent, so that the key may be claimed again.
    Abandoned,
}

/// The value of a row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// The instance that wrote it.
    pub claimer: Arc<str>,
    /// The incarnation of that instance.
    pub incarnation: u64,
    /// A number that tells the claims of one incarnation apart.
    pub serial: u64,
    /// What it says.
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
    /// The table did not say in time; the request must not be sent.
    Unsettled,
}

/// Where a row is on its way to the state that it should have.
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
    wanted: State,
    expect: Expect,
    phase: Phase,
    /// Whether a write with an unknown outcome may still take effect.
    in_doubt: bool,
}

/// Rows under way in one operation.
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
    replied: Instant,
    is_down: bool,
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
            replied: Instant::ZERO,
            is_down: false,
        }
    }

    /// Returns the key of the row for a service's idempotency key.
    pub fn row(service: &str, idempotency: &str) -> Arc<str> {
        format!("claim/{service}/{idempotency}").into()
    }

    /// Begins to claim a row for a request, which [`Claims::take_outcome`] settles.
    ///
    /// # Errors
    ///
    /// Fails with the verdict if that is known without the table.
    pub fn begin(&mut self, row: &Arc<str>, request: key::Request) -> Result<(), Verdict> {
        if let Some(entry) = self.entries.get(row) {
            return Err(match entry.wanted {
                State::Claimed => Verdict::MayHaveRun,
                State::Finished => Verdict::Ran,
                State::Abandoned => Verdict::Unsettled,
            });
        }
        if self.is_down {
            return Err(Verdict::Unsettled);
        }
        self.next_serial += 1;
        let entry = Entry {
            serial: self.next_serial,
            request: Some(request),
            wanted: State::Claimed,
            expect: Expect::Absent,
            phase: Phase::Queued,
            in_doubt: false,
        };
        self.entries.insert(row.clone(), entry);
        self.queue.push_back(row.clone());
        Ok(())
    }

    /// Ends the claim of a request in the state that is known of it.
    ///
    /// With [`State::Claimed`] the row stays as it is for good, since the request may have run.
    pub fn end(&mut self, row: &Arc<str>, request: key::Request, state: State) {
        let Some(entry) = self.entries.get_mut(row) else { return };
        if entry.request != Some(request) {
            return;
        }
        entry.request = None;
        entry.wanted = state;
        match (entry.phase, state) {
            (Phase::Held, State::Claimed) => self.remove(row),
            (Phase::Held, _) => self.enqueue(row),
            (Phase::Queued, _) if !entry.in_doubt => self.remove(row),
            _ => {}
        }
    }

    /// Returns whether every row has the state that it should have.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns whether the table has stopped to answer.
    pub fn is_down(&self) -> bool {
        self.is_down
    }

    /// Returns the requests that wait for their claims.
    pub fn waiting(&self) -> impl Iterator<Item = key::Request> {
        let waiting = self.entries.values().filter(|entry| entry.phase != Phase::Held);
        waiting.filter_map(|entry| entry.request)
    }

    /// Notes whether the table answered some operation, so that an outage is known at once.
    pub fn note_outcome(&mut self, now: Instant, outcome: &Outcome) {
        match outcome {
            Outcome::Rows(_) | Outcome::Written | Outcome::Conflict(_) => {
                self.replied = now;
                self.is_down = false;
            }
            Outcome::Failed | Outcome::Unknown => {
                self.is_down |= now.since(self.replied) > REPLY_LIFE;
            }
        }
    }

    /// Writes and reads the rows that are due, one group of each at a time.
    ///
    /// Groups are spaced so that `members` instances stay within [`WRITES_PER_SECOND`] together;
    /// the first row after a pause goes out at once.
    pub fn flush(&mut self, now: Instant, members: usize, effects: &mut Effects) {
        if self.writing.is_none() && now >= self.next_write && !self.queue.is_empty() {
            self.write(effects);
            self.next_write = now + Duration::from_secs(1) * members as u32 / WRITES_PER_SECOND;
        }
        if self.reading.is_none() && now >= self.next_read && !self.unread.is_empty() {
            self.read(effects);
        }
    }

    /// Takes the outcome of an operation; returns what it settled, or `None` if it was another's.
    pub fn take_outcome(
        &mut self,
        now: Instant,
        ticket: Ticket,
        outcome: &Outcome,
    ) -> Option<Vec<(key::Request, Verdict)>> {
        if let Some(batch) = self.writing.take_if(|batch| batch.ticket == ticket) {
            return Some(self.take_write(now, &batch.rows, outcome));
        }
        let batch = self.reading.take_if(|batch| batch.ticket == ticket)?;
        Some(self.take_read(now, &batch.rows, outcome))
    }

    fn write(&mut self, effects: &mut Effects) {
        let (mut rows, mut writes) = (Vec::new(), Vec::new());
        while rows.len() < GROUP {
            let Some(row) = self.queue.pop_front() else { break };
            let Some(entry) = self.entries.get_mut(&row) else { continue };
            if entry.phase != Phase::Queued {
                continue;
            }
            entry.phase = Phase::Writing(entry.wanted);
            let claim = Claim {
                claimer: self.claimer.clone(),
                incarnation: self.incarnation,
                serial: entry.serial,
                state: entry.wanted,
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
        let count = self.unread.len().min(GROUP);
        let rows: Vec<Arc<str>> = self.unread.drain(..count).collect();
        for row in &rows {
            if let Some(entry) = self.entries.get_mut(row) {
                entry.phase = Phase::Reading;
            }
        }
        let ticket = effects.table(Operation::Read(rows.clone()));
        self.reading = Some(Batch { ticket, rows });
    }

    fn take_write(
        &mut self,
        now: Instant,
        rows: &[Arc<str>],
        outcome: &Outcome,
    ) -> Vec<(key::Request, Verdict)> {
        let mut settled = Vec::new();
        for (index, row) in rows.iter().enumerate() {
            match outcome {
                Outcome::Written => settled.extend(self.take_written(row)),
                Outcome::Conflict(unmet) if unmet.contains(&index) => self.mark_unread(row),
                Outcome::Conflict(_) => self.enqueue(row),
                Outcome::Unknown if !self.is_down => {
                    self.doubt(row);
                    self.mark_unread(row);
                }
                Outcome::Unknown => {
                    self.doubt(row);
                    settled.extend(self.give_up(now, row));
                }
                Outcome::Failed | Outcome::Rows(_) => settled.extend(self.give_up(now, row)),
            }
        }
        settled
    }

    fn take_read(
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
                    settled.extend(self.take_row(row, found));
                }
                _ => settled.extend(self.give_up(now, row)),
            }
        }
        settled
    }

    fn take_written(&mut self, row: &Arc<str>) -> Option<(key::Request, Verdict)> {
        let entry = self.entries.get_mut(row)?;
        let Phase::Writing(state) = entry.phase else { return None };
        entry.expect = Expect::Version(entry.expect.next_version());
        self.take_own(row, state)
    }

    /// Goes on from a row that is known to hold this claim in `state`, at the expected version.
    fn take_own(&mut self, row: &Arc<str>, state: State) -> Option<(key::Request, Verdict)> {
        let entry = self.entries.get_mut(row)?;
        entry.in_doubt = false;
        match (state, entry.wanted, entry.request) {
            (State::Claimed, State::Claimed, Some(request)) => {
                entry.phase = Phase::Held;
                return Some((request, Verdict::Granted));
            }
            (State::Claimed, State::Finished | State::Abandoned, _) => self.enqueue(row),
            _ => self.remove(row),
        }
        None
    }

    fn take_row(&mut self, row: &Arc<str>, found: Option<&Row>) -> Option<(key::Request, Verdict)> {
        let own = found.and_then(|found| self.state_of_own(row, found));
        let entry = self.entries.get_mut(row)?;
        let was = entry.expect;
        entry.expect = Expect::unchanged(found.map_or(0, |found| found.version));
        if let Some(state) = own {
            return self.take_own(row, state);
        }
        let late = entry.in_doubt && entry.expect == was;
        match (entry.wanted, entry.request, found.map(state_of)) {
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
            // A write of the claim may still take effect, so that the row is taken before it.
            (State::Abandoned, _, Some(State::Abandoned) | None) if late => {
                self.enqueue(row);
                None
            }
            _ => {
                self.remove(row);
                None
            }
        }
    }

    /// Returns the state in a row if the claim in it is this instance's present one.
    fn state_of_own(&self, row: &Arc<str>, found: &Row) -> Option<State> {
        let claim: Claim = serde_json::from_str(&found.value).ok()?;
        let entry = self.entries.get(row)?;
        let own = claim.claimer == self.claimer
            && claim.incarnation == self.incarnation
            && claim.serial == entry.serial;
        own.then_some(claim.state)
    }

    /// Gives up the request that waits for a row, and leaves the row to be settled later.
    fn give_up(&mut self, now: Instant, row: &Arc<str>) -> Option<(key::Request, Verdict)> {
        self.next_read = now + SETTLE_INTERVAL;
        let entry = self.entries.get_mut(row)?;
        let request = entry.request.take();
        if entry.wanted == State::Claimed {
            entry.wanted = State::Abandoned;
        }
        let is_unwritten = !entry.in_doubt && entry.expect == Expect::Absent;
        match is_unwritten {
            true => self.remove(row),
            false => self.mark_unread(row),
        }
        Some((request?, Verdict::Unsettled))
    }

    fn doubt(&mut self, row: &Arc<str>) {
        if let Some(entry) = self.entries.get_mut(row) {
            entry.in_doubt = true;
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

/// Returns what another's row says; one that cannot be read may stand for a request that ran.
fn state_of(row: &Row) -> State {
    serde_json::from_str(&row.value).map_or(State::Claimed, |claim: Claim| claim.state)
}
