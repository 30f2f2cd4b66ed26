//! Finds another upstream for a stream whose upstream is silent.
//!
//! Silence does not show that an upstream is lost: a busy one goes on after a second or two. The stream stays with it
//! until another upstream has sent data, because there may be none that takes the stream over.

use bytes::Bytes;
use orioleroute::prelude::*;
use orioleroute::scheduler::message::RunResult;
use orioleroute_wire::sse;

use super::exchange::{Incoming, Loss};
use super::forward::{Relay, TryOutcome};
use super::placement::Permit;

/// How long a started stream may be silent before another upstream is asked to take it over, and the time between
/// two such tries. This is below the two seconds after which clients disconnect.
const STREAM_IDLE_TIMEOUT: Duration = Duration::from_millis(1_300);

/// An upstream that has taken a stream over.
pub struct Successor {
    permit: Permit,
    incoming: Box<Incoming>,
    /// The first data of its response.
    pub data: Bytes,
}

impl Relay<'_> {
    /// Returns an upstream that has taken the stream over from `silent`. Completes only if there is one; dropping the
    /// future cancels what it has begun.
    pub(super) async fn find_successor(&self, silent: &Permit) -> Successor {
        let can_resume = self.route.is_resumable;
        loop {
            monoio::time::sleep(STREAM_IDLE_TIMEOUT).await;
            if !can_resume || !self.may_retry() {
                continue;
            }
            self.exclude(&silent.upstream);
            if let Some(successor) = self.try_successor().await {
                return successor;
            }
        }
    }

    /// Replaces the silent upstream of a stream.
    pub(super) fn adopt(
        &mut self,
        successor: Successor,
        permit: &mut Permit,
        incoming: &mut Incoming,
    ) -> Bytes {
        let Successor { permit: new, incoming: response, data } = successor;
        self.report_loss(&permit.upstream, &Loss::Silent, "resume", Some(incoming));
        self.report_retry();
        self.note(format!("{} lost: {}", permit.upstream, Loss::Silent));
        self.note(format!("{} {}", new.upstream, response.head().status.as_u16()));
        new.send_started();
        std::mem::replace(permit, new).end(RunResult::Broken);
        *incoming = *response;
        data
    }

    /// Asks one upstream to take the stream over, and returns it once its first data has arrived.
    async fn try_successor(&self) -> Option<Successor> {
        let (permit, mut incoming) = match self.try_once().await {
            TryOutcome::Answered(permit, incoming) => (permit, incoming),
            TryOutcome::NoPermit(_) => {
                self.gateway.restore_retry(&self.service);
                return None;
            }
            TryOutcome::NotRun(permit, result) => {
                if !result.was_sent() {
                    self.gateway.restore_retry(&self.service);
                }
                return self.give_up(permit, result);
            }
            TryOutcome::Lost(permit, _) => return self.give_up(permit, RunResult::Broken),
        };
        let head = incoming.head();
        if !head.status.is_success() || !sse::is_stream(&head.headers) {
            return self.give_up(permit, RunResult::Erred);
        }
        match incoming.next().await {
            Ok(Some(data)) => Some(Successor { permit, incoming, data }),
            Ok(None) | Err(_) => self.give_up(permit, RunResult::Broken),
        }
    }

    fn give_up(&self, permit: Permit, result: RunResult) -> Option<Successor> {
        self.note(format!("{} {result:?}", permit.upstream));
        self.exclude(&permit.upstream);
        permit.end(result);
        None
    }
}
