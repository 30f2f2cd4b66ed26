//! The final responses that an instance gives itself: refusals, failures and time-outs.

use std::rc::Rc;

use http::StatusCode;
use orioleroute::ingress::attempt::Attempt;
use orioleroute::ingress::quarantine::Kind;
use orioleroute::prelude::*;
use orioleroute::scheduler::message::Reason;
use slog::info;

use super::forward::{Disposition, Relay};
use super::permit::Refusal;
use super::response::{Response, State};
use super::server;
use super::state::Gateway;
use crate::quota::Denied;

/// The retry-after time sent by an instance that has no configuration or is stopping. It is short
/// because other instances can serve the request.
const UNAVAILABLE_RETRY_AFTER: Duration = Duration::from_millis(50);

impl Relay<'_> {
    pub(super) async fn refuse(
        &mut self,
        response: &mut Response<'_>,
        refusal: Refusal,
    ) -> (Disposition, &'static str) {
        self.refusal = Some(refusal.reason);
        if response.is_started() {
            return (Disposition::Close, "stream not resumed");
        }
        if self.possible_runs() > 0 {
            return self.fail(response, StatusCode::BAD_GATEWAY, "not placed again").await;
        }
        let blamed_part = self.blamed().filter(|key| key.kind == Kind::Part);
        info!(self.gateway.log, "refused"; "request" => self.attempt.id.as_deref(),
            "reason" => refusal.reason.to_string(),
            "part" => blamed_part.map(|part| format!("{:x}", part.id)),
            "content" => format!("{:x}", self.content),
            "retry_after_ms" => refusal.retry_after.as_millis() as u64);
        metrics::counter!("orioleroute_refusals_total", "reason" => refusal.reason.to_string())
            .increment(1);
        let status = StatusCode::SERVICE_UNAVAILABLE;
        let retry_after = Some(refusal.retry_after);
        (
            respond_locally(self.gateway, response, status, &self.attempt, retry_after).await,
            "refused",
        )
    }

    /// Refuses a request that is over the quota of its organisation.
    pub(super) async fn refuse_charge(
        &mut self,
        response: &mut Response<'_>,
        denied: &Denied,
    ) -> (Disposition, &'static str) {
        self.refusal = Some(denied.reason);
        denied.report(self.gateway, &self.attempt);
        let status = match denied.reason {
            Reason::OverQuota => StatusCode::TOO_MANY_REQUESTS,
            _ => StatusCode::SERVICE_UNAVAILABLE,
        };
        let retry_after = Some(denied.retry_after);
        (
            respond_locally(self.gateway, response, status, &self.attempt, retry_after).await,
            "refused",
        )
    }

    pub(super) async fn fail(
        &self,
        response: &mut Response<'_>,
        status: StatusCode,
        outcome: &'static str,
    ) -> (Disposition, &'static str) {
        if response.is_started() {
            return (Disposition::Close, outcome);
        }
        (respond_locally(self.gateway, response, status, &self.attempt, None).await, outcome)
    }

    /// Writes the final response after the deadline.
    pub(super) async fn time_out(
        &mut self,
        response: &mut Response<'_>,
    ) -> (Disposition, &'static str) {
        match self.possible_runs() {
            0 => {
                let refusal = Refusal::new(Reason::TooLate, Duration::ZERO);
                self.refuse(response, refusal).await
            }
            _ => self.fail(response, StatusCode::GATEWAY_TIMEOUT, "timed out").await,
        }
    }
}

/// Refuses a request before it is routed.
pub async fn refuse_early(
    gateway: &Rc<Gateway>,
    response: &mut Response<'_>,
    attempt: &Attempt,
    reason: &'static str,
) -> Disposition {
    info!(gateway.log, "refused"; "request" => attempt.id.as_deref(), "reason" => reason);
    let status = StatusCode::SERVICE_UNAVAILABLE;
    respond_locally(gateway, response, status, attempt, Some(UNAVAILABLE_RETRY_AFTER)).await
}

/// Writes a response without a body, unless one has been started.
pub async fn respond_locally(
    gateway: &Rc<Gateway>,
    response: &mut Response<'_>,
    status: StatusCode,
    attempt: &Attempt,
    retry_after: Option<Duration>,
) -> Disposition {
    let closes = gateway.is_stopping();
    let message = server::local_response(status, attempt.id.as_deref(), retry_after, closes);
    let written = match response.state() {
        State::Unstarted(unstarted) => unstarted.send(&message).await,
        State::Started(_) => return Disposition::Close,
    };
    match written.is_err() || closes {
        true => Disposition::Close,
        false => Disposition::KeepAlive,
    }
}
