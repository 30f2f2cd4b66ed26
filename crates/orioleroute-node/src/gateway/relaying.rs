//! Relays the response of an upstream to the client, streams in whole events.

use std::pin::pin;

use bytes::Bytes;
use orioleroute_wire::http1::body::Framing;
use orioleroute_wire::http1::head;
use orioleroute_wire::http1::incoming::Cut;
use orioleroute_wire::sse::{Broken, Splitter};

use super::exchange::{Incoming, Loss};
use super::forward::Relay;
use super::origins;
use super::permit::Permit;
use super::response::{Disconnected, Response, Started, State};
use super::takeover::Search;

/// The largest body of a response that is not a stream, in bytes.
const MAX_RESPONSE_BYTES: usize = 8 << 20;

/// How many times the events that have arrived are held: as they arrived, the whole ones, and those that are written.
const EVENT_COPIES: usize = 3;

/// The outcome of relaying a response.
pub enum RelayOutcome {
    /// The response was written to the client.
    Done,
    /// The client has disconnected.
    ClientClosed,
    /// The deadline has passed.
    TimedOut,
    /// The response of the upstream is lost.
    Lost(Loss),
}

/// What became of a stream with one chunk of it.
enum Passed {
    /// It goes on.
    Open,
    /// It has ended.
    Ended(RelayOutcome),
}

impl From<Result<(), Disconnected>> for RelayOutcome {
    fn from(written: Result<(), Disconnected>) -> Self {
        match written {
            Ok(()) => Self::Done,
            Err(Disconnected) => Self::ClientClosed,
        }
    }
}

impl Relay<'_> {
    pub(super) async fn relay_buffered(
        &mut self,
        response: &mut Response<'_>,
        incoming: &mut Incoming,
    ) -> RelayOutcome {
        let body = match self.collect(response, incoming).await {
            Ok(body) => body,
            Err(outcome) => return outcome,
        };
        let mut output = self.response_head(incoming);
        head::write_field(&mut output, "content-length", body.len().to_string());
        output.extend_from_slice(b"\r\n");
        match response.state() {
            State::Unstarted(unstarted) => unstarted.send_parts(output, &body).await.into(),
            State::Started(_) => {
                RelayOutcome::Lost(Loss::NotResumed(incoming.head().status.as_u16()))
            }
        }
    }

    /// Reads the body of a response that is not a stream, as far as there is room for it. The upstream waits meanwhile.
    async fn collect(
        &self,
        response: &mut Response<'_>,
        incoming: &mut Incoming,
    ) -> Result<Vec<u8>, RelayOutcome> {
        let longest = match incoming.head().framing {
            Framing::Length(length) => length.min(MAX_RESPONSE_BYTES as u64) as usize,
            Framing::Chunked | Framing::UntilClose => MAX_RESPONSE_BYTES,
        };
        let mut body = Vec::new();
        loop {
            let remaining = self.deadline.since(self.gateway.now());
            let part = monoio::select! {
                part = incoming.next() => part,
                () = response.closed() => return Err(RelayOutcome::ClientClosed),
                () = monoio::time::sleep(remaining) => return Err(RelayOutcome::TimedOut),
            };
            let part = match part {
                Ok(Some(part)) => part,
                Ok(None) => return Ok(body),
                Err(cut) => return Err(RelayOutcome::Lost(cut.into())),
            };
            if incoming.body_bytes() > MAX_RESPONSE_BYTES {
                return Err(RelayOutcome::Lost(Cut::TooLong(MAX_RESPONSE_BYTES).into()));
            }
            let length = body.len() + part.len();
            if length > body.capacity() {
                // The whole at once if its length is known: many of which each has a part would all wait for the rest.
                let capacity = match incoming.head().framing {
                    Framing::Length(_) => longest.max(length),
                    _ => length.max(2 * body.capacity()).min(longest.max(length)),
                };
                self.make_room(response, capacity).await?;
                body.reserve_exact(capacity - body.len());
            }
            body.extend_from_slice(&part);
        }
    }

    /// Waits until there is room for this part of a response.
    async fn make_room(
        &self,
        response: &mut Response<'_>,
        bytes: usize,
    ) -> Result<(), RelayOutcome> {
        if response.hold(bytes).is_ok() {
            return Ok(());
        }
        let remaining = self.deadline.since(self.gateway.now());
        monoio::select! {
            () = response.held(bytes) => Ok(()),
            () = monoio::time::sleep(remaining) => Err(RelayOutcome::TimedOut),
        }
    }

    /// Relays a stream in whole events, so that another upstream can resume it after the last one.
    pub(super) async fn relay_stream(
        &self,
        response: &mut Response<'_>,
        permit: &mut Permit,
        incoming: &mut Incoming,
    ) -> RelayOutcome {
        let mut splitter = self.interrupted.borrow().resumed(self.last_event.get());
        let outcome = self.relay_events(response, permit, incoming, &mut splitter).await;
        self.interrupted.replace(splitter);
        outcome
    }

    async fn relay_events(
        &self,
        response: &mut Response<'_>,
        permit: &mut Permit,
        incoming: &mut Incoming,
        splitter: &mut Splitter,
    ) -> RelayOutcome {
        loop {
            let remaining = self.deadline.since(self.gateway.now());
            let may_search = response.is_started() && self.route.is_resumable;
            let search = Search::default();
            let silent = permit.upstream.clone();
            let mut successor = pin!(search.run(self, &silent));
            let chunk = monoio::select! {
                chunk = incoming.next() => chunk,
                () = response.closed() => return RelayOutcome::ClientClosed,
                () = monoio::time::sleep(remaining) => return RelayOutcome::TimedOut,
                successor = &mut successor, if may_search => {
                    *splitter = splitter.resumed(self.last_event.get());
                    Ok(Some(self.adopt(successor, &Loss::Silent, permit, incoming)))
                }
            };
            self.received_at.set(Some(self.gateway.now()));
            let passed = match chunk {
                Ok(chunk) => self.pass_chunk(response, permit, incoming, splitter, chunk).await,
                Err(cut) => Passed::Ended(RelayOutcome::Lost(cut.into())),
            };
            let outcome = match passed {
                Passed::Open => continue,
                Passed::Ended(outcome) => outcome,
            };
            let RelayOutcome::Lost(loss) = outcome else { return outcome };
            // An upstream that is being asked may have the request already.
            let remaining = self.deadline.since(self.gateway.now());
            let successor = monoio::select! {
                successor = search.finish(successor) => successor,
                () = response.closed() => return RelayOutcome::ClientClosed,
                () = monoio::time::sleep(remaining) => return RelayOutcome::TimedOut,
            };
            let Some(successor) = successor else { return RelayOutcome::Lost(loss) };
            *splitter = splitter.resumed(self.last_event.get());
            let data = self.adopt(successor, &loss, permit, incoming);
            let passed = self.pass_chunk(response, permit, incoming, splitter, Some(data)).await;
            if let Passed::Ended(outcome) = passed {
                return outcome;
            }
        }
    }

    /// Passes on the events in a chunk of a stream; `None` is its end.
    async fn pass_chunk(
        &self,
        response: &mut Response<'_>,
        permit: &Permit,
        incoming: &Incoming,
        splitter: &mut Splitter,
        chunk: Option<Bytes>,
    ) -> Passed {
        let is_end = chunk.is_none();
        match chunk {
            Some(data) => {
                let bytes = EVENT_COPIES * (splitter.buffered() + data.len());
                if let Err(outcome) = self.make_room(response, bytes).await {
                    return Passed::Ended(outcome);
                }
                splitter.push(&data);
            }
            None => splitter.close(incoming.head().framing),
        }
        let (events, broken) = self.take_events(splitter);
        if is_end {
            observe_end(incoming, broken);
        }
        let is_complete = is_end && broken.is_none();
        if is_complete || !events.is_empty() {
            match self.pass_on(response, permit, incoming, &events).await {
                Ok(started) if is_complete => return Passed::Ended(started.end().await.into()),
                Ok(_) => {}
                Err(Disconnected) => return Passed::Ended(RelayOutcome::ClientClosed),
            }
        }
        match broken {
            Some(broken) => Passed::Ended(RelayOutcome::Lost(broken.into())),
            None => Passed::Open,
        }
    }

    /// Returns the events that the client has not received yet, and why no more follow if the stream is
    /// broken.
    fn take_events(&self, splitter: &mut Splitter) -> (Vec<u8>, Option<Broken>) {
        let mut events = Vec::new();
        let mut count = 0;
        let broken = loop {
            match splitter.next() {
                Ok(Some(event)) => {
                    self.last_event.set(event.id.or(self.last_event.get()));
                    events.extend_from_slice(&event.bytes);
                    count += 1;
                }
                Ok(None) => break None,
                Err(broken) => break Some(broken),
            }
        };
        self.progress.borrow_mut().record(count, self.gateway.now());
        (events, broken)
    }

    /// Writes events to the client, after the head of the response if nothing has been written.
    async fn pass_on<'a, 'b>(
        &self,
        response: &'b mut Response<'a>,
        permit: &Permit,
        incoming: &Incoming,
        events: &[u8],
    ) -> Result<Started<'a, 'b>, Disconnected> {
        match response.state() {
            State::Started(mut started) => started.send(events).await.map(|()| started),
            State::Unstarted(unstarted) => {
                let mut head = self.response_head(incoming);
                head::write_field(&mut head, "transfer-encoding", "chunked");
                head.extend_from_slice(b"\r\n");
                permit.send_started();
                self.bind_to_build(permit);
                self.observe_first_event();
                unstarted.start(head, events).await
            }
        }
    }

    /// Records at which build the stream begins, before its first event goes out. It goes on there alone.
    fn bind_to_build(&self, permit: &Permit) {
        let Some(build) = &permit.build else { return };
        *self.build.borrow_mut() = Some(build.clone());
        let attempt = self.attempt.resumes.as_ref().or(self.attempt.id.as_ref());
        if let Some(attempt) = attempt.filter(|_| self.route.is_resumable) {
            origins::record(self.gateway, &self.service, attempt, build);
        }
    }

    fn response_head(&self, incoming: &Incoming) -> Vec<u8> {
        let mut headers = incoming.head().headers.clone();
        head::strip_connection_fields(&mut headers);
        let mut output = Vec::with_capacity(512);
        head::write_response(&mut output, incoming.head().status, &headers);
        if self.gateway.is_stopping() {
            head::write_field(&mut output, "connection", "close");
        }
        output
    }

    fn observe_first_event(&self) {
        let time = self.gateway.now().since(self.inbound.arrived);
        metrics::histogram!("orioleroute_time_to_first_token_seconds").record(time.as_secs_f64());
    }
}

/// Counts the end of a stream by what marked it and where it was.
fn observe_end(incoming: &Incoming, broken: Option<Broken>) {
    let framing: &'static str = incoming.head().framing.into();
    let position = match broken {
        None => "after_event",
        Some(Broken::Empty) => "before_first_event",
        Some(_) => "inside_event",
    };
    metrics::counter!("orioleroute_stream_ends_total", "framing" => framing, "position" => position)
        .increment(1);
}
