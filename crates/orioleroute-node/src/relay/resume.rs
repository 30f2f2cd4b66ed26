//! Reads a stream that may be silent or broken, and has the engine resume it.
//!
//! An engine may be silent for long and then go on, so silence does not show that a stream is lost. The old
//! connection is therefore read until a resumed one has sent data, and whichever sends first is followed.

use std::future::poll_fn;
use std::net::SocketAddr;
use std::pin::{Pin, pin};
use std::task::Poll;

use bytes::Bytes;
use http::HeaderValue;
use orioleroute::prelude::*;
use orioleroute_wire::client::{Incoming, Pool};
use orioleroute_wire::{Error, Step as WireStep};

use super::{FORWARD_MARGIN, Source};
use crate::events::Events;

/// The header field with an engine's id of a stream, under which the stream can be resumed.
pub(super) const STREAM_ID: &str = "x-stream-id";

/// The header field with the id of the stream that an engine is asked to resume.
const RESUME_STREAM: &str = "x-resume-stream";

/// The header field with the number of events of that stream that have arrived.
const RESUME_EVENTS: &str = "x-resume-events";

/// The header field in which an engine confirms after how many events it resumes the stream.
const RESUMED_AFTER: &str = "x-resumed-after";

/// The maximum number of times that one stream is resumed.
const MAX_RESUMES: u32 = 3;

/// The longest wait for an engine to resume a stream, after which it is asked again if tries are left.
const RESUME_TIMEOUT: Duration = Duration::from_secs(2);

/// The longest time without data within a response. After it, the engine of a stream is asked to resume it. Any
/// other response counts as broken, unless its caller still waits.
pub(super) const STALL_TIMEOUT: Duration = Duration::from_secs(10);

/// The same for a response of another instance, which first waits for its upstream, then for the answer to each request
/// to resume the stream, and then for the first data of the resumed stream.
pub(super) const FORWARD_STALL_TIMEOUT: Duration = STALL_TIMEOUT
    .saturating_add(RESUME_TIMEOUT.saturating_mul(MAX_RESUMES))
    .saturating_add(STALL_TIMEOUT)
    .saturating_add(FORWARD_MARGIN);

/// What a stream goes on with.
pub(super) enum Next {
    /// A part of the response, or its end.
    Chunk(Option<Result<Bytes, Error>>),
    /// The resumed stream with its first part, because the response is silent.
    Resumed(Box<Incoming>, Bytes),
    /// Nothing: the response is silent and not resumed, and either the deadline has passed or it needs nothing more.
    Silence,
}

/// Waits for the next part of a stream. If it is silent for the stall timeout, the engine is asked to resume it.
///
/// The silent response is read on until a resumed stream has sent data, because it may go on itself. Whichever sends
/// first is followed and the other one dropped, so the caller gets no event twice.
pub(super) async fn next_of_stream(
    pool: &Pool,
    incoming: &mut Incoming,
    source: &Source<'_>,
    events: &Events,
    resumes: &mut u32,
) -> Next {
    if let Ok(chunk) = monoio::time::timeout(source.stall_timeout, incoming.next()).await {
        return Next::Chunk(chunk);
    }
    if events.is_done() {
        return Next::Silence;
    }
    let stream_id = incoming.headers.get(STREAM_ID).cloned();
    let mut replacement = pin!(replace(pool, stream_id.as_ref(), source, events.count, resumes));
    let replaced = monoio::select! {
        replaced = replacement.as_mut() => replaced,
        chunk = incoming.next() => match chunk {
            Some(Ok(_)) => return Next::Chunk(chunk),
            // An engine may end the old connection before it answers on the new one.
            _ => match replacement.await {
                Some((resumed, first)) => return Next::Resumed(Box::new(resumed), first),
                None => return Next::Chunk(chunk),
            },
        },
    };
    if let Some((resumed, first)) = replaced {
        return Next::Resumed(Box::new(resumed), first);
    }
    match monoio::time::timeout(source.deadline.remaining(), incoming.next()).await {
        Ok(chunk) => Next::Chunk(chunk),
        Err(_) => Next::Silence,
    }
}

/// Asks the engine to resume a stream, and returns the resumed stream if the engine confirms it.
///
/// A try whose connection fails is followed by another one, because an engine may close several connections one
/// after another. So is a try without an answer, which stays open meanwhile: its answer may only be late, and the
/// first answer decides. All tries of a stream count towards [`MAX_RESUMES`].
///
/// The engine has to confirm that it continues after the last event that arrived; otherwise the caller
/// could receive the beginning of the stream a second time.
pub(super) async fn resume(
    pool: &Pool,
    stream_id: Option<&HeaderValue>,
    source: &Source<'_>,
    events: u64,
    resumes: &mut u32,
) -> Option<Incoming> {
    source.expected?;
    let id = stream_id?.to_str().ok()?;
    let count = events.to_string();
    let call = source.call.clone().header(RESUME_STREAM, id).header(RESUME_EVENTS, &count);
    let mut tries = Vec::new();
    let mut patience = monoio::time::Instant::now();
    loop {
        if *resumes < MAX_RESUMES {
            *resumes += 1;
            tries.push(Box::pin(pool.open_new(source.address, call.clone())));
            patience = monoio::time::Instant::now() + RESUME_TIMEOUT;
        }
        match monoio::time::timeout_at(patience, first_completed(&mut tries)).await {
            Ok(Some(Ok(incoming))) => {
                let after = incoming.headers.get(RESUMED_AFTER);
                let is_confirmed = incoming.status.is_success()
                    && after.is_some_and(|after| after.as_bytes() == count.as_bytes());
                return is_confirmed.then_some(incoming);
            }
            Ok(Some(Err(_))) => {}
            Ok(None) => return None,
            Err(_) if *resumes >= MAX_RESUMES => return None,
            Err(_) => {}
        }
    }
}

pub(super) fn stalled(peer: SocketAddr) -> Error {
    Error::new(WireStep::Body, peer, "no data within the stall timeout")
}

/// Returns a resumed stream and its first part.
async fn replace(
    pool: &Pool,
    stream_id: Option<&HeaderValue>,
    source: &Source<'_>,
    events: u64,
    resumes: &mut u32,
) -> Option<(Incoming, Bytes)> {
    loop {
        let mut resumed = resume(pool, stream_id, source, events, resumes).await?;
        let patience = source.deadline.remaining().max(STALL_TIMEOUT);
        match monoio::time::timeout(patience, resumed.next()).await {
            Ok(Some(Ok(first))) => return Some((resumed, first)),
            Ok(Some(Err(_)) | None) => {}
            Err(_) => return None,
        }
    }
}

/// Waits for the first of several futures to complete and removes it. Returns `None` if there are none.
async fn first_completed<F: Future + Unpin>(futures: &mut Vec<F>) -> Option<F::Output> {
    poll_fn(|context| {
        for index in 0..futures.len() {
            if let Poll::Ready(output) = Pin::new(&mut futures[index]).poll(context) {
                drop(futures.swap_remove(index));
                return Poll::Ready(Some(output));
            }
        }
        if futures.is_empty() { Poll::Ready(None) } else { Poll::Pending }
    })
    .await
}
