//! The read half of a connection, with a limit on the bytes read for one message.
//!
//! The `monoio-http` decoder buffers a head, and each chunk of a body, until it is complete. Its memory
//! is therefore limited here, where the bytes are read.

use std::cell::{Cell, RefCell};
use std::io::{Error, ErrorKind};
use std::rc::Rc;
use std::task::{Poll, Waker};
use std::time::Duration;

use monoio::BufResult;
use monoio::buf::{IoBufMut, IoVecBufMut, IoVecWrapperMut};
use monoio::io::{AsyncReadRent, OwnedReadHalf};
use monoio::net::TcpStream;

/// The size of the buffer for one read while no message is being decoded, in bytes.
const READ_AHEAD_BYTES: usize = 512;

/// The size of the buffer for one read whose data is discarded, in bytes.
const DISCARD_BYTES: usize = 64 << 10;

/// The read state of the current message, shared between the decoder and its owner.
#[derive(Default)]
struct ReadState {
    /// The bytes read since the limit was last set.
    received: Cell<usize>,
    limit: Cell<usize>,
    exceeded: Cell<bool>,
    waker: RefCell<Option<Waker>>,
    /// Input received while no message was being decoded.
    read_ahead: RefCell<Vec<u8>>,
}

/// The read half of a connection, with a limit on the bytes read.
#[derive(Clone)]
pub struct LimitedReader {
    half: Rc<RefCell<OwnedReadHalf<TcpStream>>>,
    state: Rc<ReadState>,
}

impl LimitedReader {
    /// Creates a reader over `half` that reads nothing until a limit is set.
    pub fn new(half: OwnedReadHalf<TcpStream>) -> Self {
        Self { half: Rc::new(RefCell::new(half)), state: Rc::default() }
    }

    /// Resets the count of bytes read and sets its limit. Since the limit is checked before each read,
    /// it may be exceeded by up to one read.
    pub fn set_limit(&self, bytes: usize) {
        self.state.received.set(0);
        self.state.limit.set(bytes);
        self.state.exceeded.set(false);
    }

    /// Returns whether a read has failed because the limit was reached.
    pub fn is_limit_exceeded(&self) -> bool {
        self.state.exceeded.get()
    }

    /// Waits until any bytes have been read since the limit was set.
    pub async fn wait_for_data(&self) {
        std::future::poll_fn(|context| {
            if self.state.received.get() > 0 {
                return Poll::Ready(());
            }
            *self.state.waker.borrow_mut() = Some(context.waker().clone());
            Poll::Pending
        })
        .await;
    }

    /// Waits until the peer has closed its side. Input received before that is kept, up to about
    /// `bytes`; beyond that, the future never completes.
    ///
    /// The decoder cannot be used to wait, because it loses a partly read message when its future is
    /// dropped.
    #[expect(clippy::await_holding_refcell_ref, reason = "one task at a time reads a connection")]
    pub async fn wait_for_close(&self, bytes: usize) {
        while self.state.read_ahead.borrow().len() < bytes {
            let buffer = Vec::with_capacity(READ_AHEAD_BYTES);
            let (read, buffer) = self.half.borrow_mut().read(buffer).await;
            if !read.is_ok_and(|bytes| bytes > 0) {
                return;
            }
            self.state.read_ahead.borrow_mut().extend_from_slice(&buffer);
        }
        std::future::pending().await
    }

    /// Reads and discards input until the peer has closed its side or `limit` has passed.
    ///
    /// Closing a connection with unread input resets it, and the peer may lose the response.
    pub async fn discard(&mut self, limit: Duration) {
        self.set_limit(usize::MAX);
        let drained = async {
            let mut buffer = vec![0_u8; DISCARD_BYTES];
            loop {
                let (read, returned) = self.read(buffer).await;
                buffer = returned;
                if !read.is_ok_and(|bytes| bytes > 0) {
                    return;
                }
            }
        };
        let _ = monoio::time::timeout(limit, drained).await;
    }
}

impl LimitedReader {
    #[expect(clippy::await_holding_refcell_ref, reason = "reading from memory never waits")]
    async fn read_buffered<T: IoBufMut>(&self, buffer: T) -> BufResult<usize, T> {
        let mut read_ahead = self.state.read_ahead.borrow_mut();
        let mut source = read_ahead.as_slice();
        let (read, buffer) = source.read(buffer).await;
        let remaining = source.len();
        let consumed = read_ahead.len() - remaining;
        read_ahead.drain(..consumed);
        (read, buffer)
    }
}

impl AsyncReadRent for LimitedReader {
    #[expect(clippy::await_holding_refcell_ref, reason = "one task at a time reads a connection")]
    async fn read<T: IoBufMut>(&mut self, buffer: T) -> BufResult<usize, T> {
        let state = &self.state;
        if state.received.get() >= state.limit.get() {
            state.exceeded.set(true);
            return (Err(Error::new(ErrorKind::InvalidData, "the message is too large")), buffer);
        }
        let is_unbuffered = state.read_ahead.borrow().is_empty();
        let (read, buffer) = match is_unbuffered {
            true => self.half.borrow_mut().read(buffer).await,
            false => self.read_buffered(buffer).await,
        };
        let bytes = *read.as_ref().unwrap_or(&0);
        state.received.set(state.received.get().saturating_add(bytes));
        if let Some(waker) = state.waker.take() {
            waker.wake();
        }
        (read, buffer)
    }

    async fn readv<T: IoVecBufMut>(&mut self, buffer: T) -> BufResult<usize, T> {
        let wrapped = match IoVecWrapperMut::new(buffer) {
            Ok(wrapped) => wrapped,
            Err(buffer) => return (Ok(0), buffer),
        };
        let (read, wrapped) = self.read(wrapped).await;
        (read, wrapped.into_inner())
    }
}
