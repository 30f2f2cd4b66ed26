//! A TCP connection with a buffer of unparsed input.

use std::future::{Future, poll_fn};
use std::io::{ErrorKind, Result};
use std::net::SocketAddr;
use std::pin::Pin;
use std::task::{Context, Poll, Waker, ready};
use std::time::Duration;

use bytes::{Buf, Bytes, BytesMut};
use monoio::io::IntoPollIo;
use monoio::io::poll_io::{AsyncRead, AsyncWrite, ReadBuf};
use monoio::net::TcpStream;
use monoio::net::tcp::stream_poll::TcpStreamPoll;
use monoio::time::Sleep;

use crate::connect::{Options, connect};
use crate::frames;

/// The size of the buffer for one read, in bytes.
const READ_BYTES: usize = 4 << 10;

/// The most input that is discarded before a connection is closed, in bytes.
const MAX_DISCARDED_BYTES: usize = 4 << 20;

/// The number of reads in a row that need not wait for input, after which the socket pauses. A peer that sends faster
/// than its input is handled would otherwise occupy the thread, and no timer would expire.
const MAX_READY_READS: u32 = 64;

/// The length of this pause. The runtime handles timers only when no task is ready, so a task that woke itself instead
/// of waiting for a time would keep it from them.
const READ_PAUSE: Duration = Duration::from_millis(1);

/// How long an accepted connection may be idle before its peer is probed, the time between two probes, and how many may be
/// unanswered. Instances probe sooner from their end, so a probe shows that a machine has lost power, or its path for good.
const IDLE_TIME: Duration = Duration::from_secs(15);
const PROBE_INTERVAL: Duration = Duration::from_secs(5);
const MAX_PROBES: u32 = 3;

/// A connected TCP socket.
pub struct Socket {
    io: TcpStreamPoll,
    ready_reads: u32,
    /// The pause after too many reads in a row, while it lasts.
    pause: Option<Pin<Box<Sleep>>>,
    /// The frames in which the input arrives, if the peer passes it on for another one.
    frames: Option<frames::Decoder>,
    /// Input that has been received but not parsed yet.
    pub input: BytesMut,
}

impl Socket {
    /// Connects to `peer` within `limit`, with keepalive probes that detect an unresponsive peer.
    ///
    /// # Errors
    ///
    /// Fails if the peer refuses the connection or does not respond in time.
    pub async fn connect(peer: SocketAddr, limit: Duration) -> Result<Self> {
        Self::connect_with(peer, limit, Options::default()).await
    }

    /// Connects to `peer` within `limit` with these options.
    ///
    /// # Errors
    ///
    /// Fails if the peer refuses the connection or does not respond in time.
    pub async fn connect_with(peer: SocketAddr, limit: Duration, options: Options) -> Result<Self> {
        Self::new(connect(peer, limit, options).await?)
    }

    /// Wraps an accepted connection, disables Nagle's algorithm on it, and enables keepalive probes. Without these, the
    /// connections of a machine that lost power would keep their memory for good.
    ///
    /// # Errors
    ///
    /// Fails if the socket cannot be configured.
    pub fn accepted(stream: TcpStream) -> Result<Self> {
        stream.set_nodelay(true)?;
        stream.set_tcp_keepalive(Some(IDLE_TIME), Some(PROBE_INTERVAL), Some(MAX_PROBES))?;
        Self::new(stream)
    }

    fn new(stream: TcpStream) -> Result<Self> {
        let io = stream.into_poll_io()?;
        Ok(Self { io, ready_reads: 0, pause: None, frames: None, input: BytesMut::new() })
    }

    /// Takes the input out of frames from now on, those received already included. A connection that ends without the last
    /// frame counts as lost.
    pub fn expect_frames(&mut self) {
        let received = std::mem::take(&mut self.input);
        let mut frames = frames::Decoder::default();
        frames.decode(&received, &mut self.input);
        self.frames = Some(frames);
    }

    /// Reads more input and returns the number of bytes read; 0 if the peer has closed its side.
    ///
    /// The future is cancel safe: dropping it loses no input.
    ///
    /// # Errors
    ///
    /// Fails if the connection is lost.
    pub async fn fill(&mut self) -> Result<usize> {
        poll_fn(|context| self.poll_fill(context)).await
    }

    /// Writes all of `bytes`.
    ///
    /// # Errors
    ///
    /// Fails if the connection is lost.
    pub async fn write(&mut self, mut bytes: &[u8]) -> Result<()> {
        while !bytes.is_empty() {
            let io = &mut self.io;
            let written = poll_fn(|context| Pin::new(&mut *io).poll_write(context, bytes)).await?;
            if written == 0 {
                return Err(ErrorKind::WriteZero.into());
            }
            bytes = &bytes[written..];
        }
        Ok(())
    }

    /// Writes part of `output` or reads some input, whichever is possible first, and returns the
    /// number of bytes read, or `None` if bytes were written instead.
    ///
    /// # Errors
    ///
    /// Fails if the connection is lost.
    pub async fn write_or_fill(&mut self, output: &mut Bytes) -> Result<Option<usize>> {
        poll_fn(|context| {
            if !output.is_empty()
                && let Poll::Ready(written) = Pin::new(&mut self.io).poll_write(context, output)
            {
                output.advance(written?);
                return Poll::Ready(Ok(None));
            }
            self.poll_fill(context).map_ok(Some)
        })
        .await
    }

    /// Shuts down the write side and discards input until the peer closes the connection, so that it gets what was
    /// written: closing a connection with unread input resets it. Ends after `limit`, or once more than
    /// 4 MiB have arrived.
    pub async fn close_after_write(&mut self, limit: Duration) {
        if self.shutdown().await.is_err() {
            return;
        }
        let discard = async {
            let mut discarded = 0;
            while discarded <= MAX_DISCARDED_BYTES {
                match self.fill().await {
                    Ok(read) if read > 0 => discarded += read,
                    _ => return,
                }
                self.input.clear();
            }
        };
        // A peer that is still sending after the limit may not receive what was written.
        let _ = monoio::time::timeout(limit, discard).await;
    }

    /// Returns whether there is no unread input and the peer has not closed the connection.
    pub fn is_idle(&mut self) -> bool {
        let mut context = Context::from_waker(Waker::noop());
        self.ready_reads = 0;
        self.pause = None;
        self.input.is_empty() && self.poll_fill(&mut context).is_pending()
    }

    /// Shuts down the write side of the connection.
    ///
    /// # Errors
    ///
    /// Fails if the connection is lost.
    pub async fn shutdown(&mut self) -> Result<()> {
        poll_fn(|context| Pin::new(&mut self.io).poll_shutdown(context)).await
    }

    fn poll_fill(&mut self, context: &mut Context<'_>) -> Poll<Result<usize>> {
        if self.ready_reads >= MAX_READY_READS {
            self.ready_reads = 0;
            self.pause = Some(Box::pin(monoio::time::sleep(READ_PAUSE)));
        }
        if let Some(pause) = &mut self.pause {
            ready!(pause.as_mut().poll(context));
            self.pause = None;
        }
        self.input.reserve(READ_BYTES);
        let mut buffer = [0_u8; READ_BYTES];
        loop {
            if self.frames.as_ref().is_some_and(frames::Decoder::has_ended) {
                return Poll::Ready(Ok(0));
            }
            let mut read = ReadBuf::new(&mut buffer);
            match Pin::new(&mut self.io).poll_read(context, &mut read) {
                Poll::Ready(Ok(())) => {
                    self.ready_reads += 1;
                    let Some(frames) = &mut self.frames else {
                        self.input.extend_from_slice(read.filled());
                        return Poll::Ready(Ok(read.filled().len()));
                    };
                    if read.filled().is_empty() {
                        return Poll::Ready(Err(ErrorKind::UnexpectedEof.into()));
                    }
                    let before = self.input.len();
                    frames.decode(read.filled(), &mut self.input);
                    if self.input.len() > before {
                        return Poll::Ready(Ok(self.input.len() - before));
                    }
                }
                Poll::Ready(Err(error)) => return Poll::Ready(Err(error)),
                Poll::Pending => {
                    self.ready_reads = 0;
                    return Poll::Pending;
                }
            }
        }
    }
}
