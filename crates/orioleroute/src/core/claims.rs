//! Claims of requests that may run only once.

use super::Core;
use super::requests::RETRY_AFTER;
use crate::key::Ticket;
use crate::prelude::*;
use crate::request::{Kind, State};
use crate::table::{Expect, Operation, Outcome, Write};

impl Core {
    /// Writes the claim of a request that may run only once.
    pub(super) fn claim(&mut self, now: Instant, key: key::Request) {
        let Some(request) = self.requests.get(key) else { return };
        let Some(idempotency) = request.spec.idempotency.clone() else {
            // Without a key of the caller's there is nothing that another try could match.
            if let Some(request) = self.requests.get_mut(key) {
                request.claimed = true;
            }
            return self.route(now, key);
        };
        let claimer = self.membership.identity().name.clone();
        let write = Write::put(format!("claim/{idempotency}"), Expect::Absent, &claimer);
        let ticket = self.effects.table(Operation::Write(vec![write]));
        if let Some(request) = self.requests.get_mut(key) {
            request.state = State::Claiming(ticket);
        }
    }

    /// Takes the outcome of a claim, and returns whether it was one.
    pub(super) fn take_claim(&mut self, now: Instant, ticket: Ticket, outcome: &Outcome) -> bool {
        let Some(key) = self.requests.claiming(ticket) else { return false };
        match outcome {
            Outcome::Written => {
                if let Some(request) = self.requests.get_mut(key) {
                    request.state = State::Waiting;
                    request.claimed = true;
                }
                self.route(now, key);
            }
            Outcome::Conflict(_) => {
                if let Some(request) = self.requests.get_mut(key) {
                    request.spec.may_have_run = true;
                }
                self.refuse(key, Kind::Conflict, None);
            }
            // This instance has not sent it, and the key stays barred if the claim was written.
            _ => self.refuse(key, Kind::Unavailable, Some(RETRY_AFTER)),
        }
        true
    }
}
