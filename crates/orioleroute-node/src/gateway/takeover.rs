//! Finds another upstream for a stream whose upstream is silent.
//!
//! Silence does not show that an upstream is lost: a busy one goes on after a second or two. The stream stays with it
//! until another upstream has begun to answer, because there may be none that takes the stream over.

use std::cell::Cell;
use std::future::{Future, poll_fn};
use std::pin::Pin;
use std::task::Poll;

use bytes::Bytes;
use http::StatusCode;
use orioleroute::prelude::*;
use orioleroute::scheduler::message::RunResult;
use orioleroute_wire::http1::head;
use orioleroute_wire::sse;

use super::exchange::{Incoming, Loss};
use super::forward::Relay;
use super::permit::Permit;
use super::tries::TryOutcome;

/// How long a started stream may be silent before another upstream is asked to take it over, and the time between
/// two such tries. This is below the two seconds after which clients disconnect.
const STREAM_IDLE_TIMEOUT: Duration = Duration::from_millis(1_300);

/// The longest wait for the first data of an upstream whose response has begun. It is then running the request, and
/// two upstreams must not do so for longer than 400 ms.
const FIRST_DATA_TIMEOUT: Duration = Duration::from_millis(250);

/// An upstream that has taken a stream over.
pub struct Successor {
    permit: Permit,
    incoming: Box<Incoming>,
    /// The first data of its response, which may be empty.
    data: Bytes,
}

/// The search for a successor of one upstream.
#[derive(Default)]
pub struct Search {
    /// Whether an upstream is being asked.
    is_asking: Cell<bool>,
}

impl Search {
    /// Returns an upstream that has taken the stream over from `silent`. Completes only if there is one; dropping the
    /// future cancels what it has begun.
    pub async fn run(&self, relay: &Relay<'_>, silent: &Arc<str>) -> Successor {
        loop {
            monoio::time::sleep(STREAM_IDLE_TIMEOUT).await;
            let Some(retry) = Retry::withdraw(relay) else { continue };
            relay.exclude(silent);
            relay.report_silence(silent);
            self.is_asking.set(true);
            let successor = try_successor(relay, &retry).await;
            self.is_asking.set(false);
            if let Some(successor) = successor {
                return successor;
            }
        }
    }

    /// Waits for the upstream that is being asked, if one is, and returns it if it takes the stream over. `run` is the
    /// future of [`Search::run`].
    pub async fn finish(
        &self,
        mut run: Pin<&mut impl Future<Output = Successor>>,
    ) -> Option<Successor> {
        poll_fn(|context| {
            if !self.is_asking.get() {
                return Poll::Ready(None);
            }
            match run.as_mut().poll(context) {
                Poll::Ready(successor) => Poll::Ready(Some(successor)),
                Poll::Pending if self.is_asking.get() => Poll::Pending,
                Poll::Pending => Poll::Ready(None),
            }
        })
        .await
    }
}

impl Relay<'_> {
    /// Replaces the upstream of a stream, and returns the first data of the new one.
    pub(super) fn adopt(
        &self,
        successor: Successor,
        loss: &Loss,
        permit: &mut Permit,
        incoming: &mut Incoming,
    ) -> Bytes {
        let Successor { permit: new, incoming: response, data } = successor;
        let transport = incoming.transport().clone();
        self.report_loss(
            &permit.upstream,
            permit.age(),
            loss,
            "resume",
            &transport,
            Some(incoming),
        );
        self.note(format!("{} lost: {loss}", permit.upstream));
        self.note(format!("{} {}", new.upstream, response.head().status.as_u16()));
        new.send_started();
        std::mem::replace(permit, new).end(RunResult::Broken);
        *incoming = *response;
        data
    }
}

/// Returns whether a response goes on with a stream that a client has begun to receive. Other successes do not say that its
/// body is the rest of the stream, such as 204 and 206.
pub fn continues_stream(head: &head::Response) -> bool {
    head.status == StatusCode::OK && sse::is_stream(&head.headers)
}

/// Asks one upstream to take the stream over, and returns it once its response has begun.
async fn try_successor(relay: &Relay<'_>, retry: &Retry<'_>) -> Option<Successor> {
    let (permit, mut incoming) = match relay.try_once().await {
        TryOutcome::Answered(permit, incoming) => (permit, incoming),
        TryOutcome::NoPermit(_) => return None,
        TryOutcome::NotRun(permit, result) => {
            if result.was_sent() {
                retry.keep();
            }
            return give_up(relay, permit, result);
        }
        TryOutcome::Lost(permit, ..) => return give_up(relay, permit, RunResult::Broken),
    };
    if !continues_stream(incoming.head()) {
        return give_up(relay, permit, RunResult::Erred);
    }
    match monoio::time::timeout(FIRST_DATA_TIMEOUT, incoming.next()).await {
        Ok(Ok(Some(data))) => Some(Successor { permit, incoming, data }),
        Ok(Ok(None) | Err(_)) => give_up(relay, permit, RunResult::Broken),
        Err(_) => Some(Successor { permit, incoming, data: Bytes::new() }),
    }
}

fn give_up(relay: &Relay<'_>, permit: Permit, result: RunResult) -> Option<Successor> {
    relay.note(format!("{} {result:?}", permit.upstream));
    relay.exclude(&permit.upstream);
    permit.end(result);
    None
}

/// A retry that was withdrawn from the budget, and goes back to it when dropped if the request was not sent.
struct Retry<'a> {
    relay: &'a Relay<'a>,
    runs_before: u32,
    is_kept: Cell<bool>,
}

impl<'a> Retry<'a> {
    fn withdraw(relay: &'a Relay<'_>) -> Option<Self> {
        let runs_before = relay.possible_runs();
        relay.may_retry().then(|| Self { relay, runs_before, is_kept: Cell::new(false) })
    }

    /// Keeps the retry withdrawn.
    fn keep(&self) {
        self.is_kept.set(true);
    }
}

impl Drop for Retry<'_> {
    fn drop(&mut self) {
        match self.is_kept.get() || self.relay.possible_runs() > self.runs_before {
            true => self.relay.report_retry(),
            false => self.relay.gateway.restore_retry(&self.relay.service),
        }
    }
}
