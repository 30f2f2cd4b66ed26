//! Claims of requests that may run only once.

use super::Core;
use super::requests::RETRY_AFTER;
use crate::claim::{self, Claims, Verdict};
use crate::key::Ticket;
use crate::prelude::*;
use crate::request::{Kind, Ran, Request, State, Target};
use crate::table::Outcome;

/// Maximum wait for a claim. A table that takes longer is treated as unavailable.
const CLAIM_TIMEOUT: Duration = Duration::from_millis(2_500);

impl Core {
    /// Claims a request that may run only once, before any part of it is sent.
    pub(super) fn claim(&mut self, now: Instant, key: key::Request) {
        let Some(request) = self.requests.get_mut(key) else { return };
        let (Target::Model(target) | Target::Service(target)) = &request.spec.target;
        let Some(idempotency) = &request.spec.idempotency else {
            // Without a caller's idempotency key, a retry could not be matched to this request.
            return self.route(now, key);
        };
        let row = Claims::row_key(target, idempotency);
        request.state = State::Claiming;
        request.claim = Some(row.clone());
        if let Err(verdict) = self.claims.begin(&row, key) {
            self.handle_verdict(now, key, verdict);
        }
    }

    /// Handles the outcome of a table operation. Returns whether it was an operation on claims.
    pub(super) fn handle_claim_outcome(
        &mut self,
        now: Instant,
        ticket: Ticket,
        outcome: &Outcome,
    ) -> bool {
        self.claims.observe_outcome(now, outcome);
        let Some(settled) = self.claims.handle_outcome(now, ticket, outcome) else { return false };
        for (key, verdict) in settled {
            self.handle_verdict(now, key, verdict);
        }
        true
    }

    fn handle_verdict(&mut self, now: Instant, key: key::Request, verdict: Verdict) {
        match verdict {
            Verdict::Granted => {
                if let Some(request) = self.requests.get_mut(key) {
                    request.state = State::Waiting;
                }
                self.route(now, key);
            }
            Verdict::Ran => self.refuse_as(key, Kind::Conflict, Ran::Ran, None),
            Verdict::MayHaveRun => self.refuse_as(key, Kind::Conflict, Ran::MayHaveRun, None),
            // This instance has not sent any part of the request.
            Verdict::Unsettled => self.refuse(key, Kind::Unavailable, Some(RETRY_AFTER)),
        }
    }

    /// Writes and reads the claims that are due.
    pub(super) fn flush_claims(&mut self, now: Instant) {
        if self.claims.is_empty() {
            return;
        }
        let members: usize = self.membership.views().map(|view| view.members.len()).sum();
        self.claims.flush(now, members.max(1), &mut self.effects);
    }

    /// Refuses the requests whose claims take too long. No part of them was sent.
    pub(super) fn refuse_unclaimed(&mut self, now: Instant) {
        let requests = &self.requests;
        let is_overdue = |key: &key::Request| {
            requests
                .get(*key)
                .is_some_and(|request| now >= request.deadline.min(request.arrived + CLAIM_TIMEOUT))
        };
        let overdue: Vec<key::Request> = self.claims.waiting().filter(is_overdue).collect();
        for key in overdue {
            self.refuse(key, Kind::Unavailable, Some(RETRY_AFTER));
        }
    }

    /// Ends the claim, if any, of a request that has ended.
    pub(super) fn end_claim(&mut self, key: key::Request, request: &Request, state: claim::State) {
        if let Some(row) = &request.claim {
            self.claims.end(row, key, state);
        }
    }
}
