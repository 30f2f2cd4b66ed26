//! The read side of a connection, with a bound on what one message may bring.
//!
//! The library's decoder buffers a head, and each chunk of a body, until it is whole. The bound on
//! its memory is therefore kept here, where the bytes come in.

use std::cell::{Cell, RefCell};
use std::io::{Error, ErrorKind};
use std::rc::Rc;
use std::task::{Poll, Waker};
use std::time::Duration;

use monoio::BufResult;
use monoio::buf::{IoBufMut, IoVecBufMut, IoVecWrapperMut};
use monoio::io::{AsyncReadRent, OwnedReadHalf};
use monoio::net::TcpStream;

/// The largest part that is kept at a time while nobody decodes, in bytes.
const EARLY_BYTES: usize = 512;

/// The largest part that is read and dropped at a time, in bytes.
const DISCARD_BYTES: usize = 64 << 10;

/// What has come in for the message being read, shared between the decoder and its owner.
#[derive(Default)]
struct Meter {
    taken: Cell<usize>,
    limit: Cell<usize>,
    exceeded: Cell<bool>,
    waker: RefCell<Option<Waker>>,
    /// What came in while nobody decoded.
    early: RefCell<Vec<u8>>,
}

/// The read half of a connection.
#[derive(Clone)]
pub struct Intake {
    half: Rc<RefCell<OwnedReadHalf<TcpStream>>>,
    meter: Rc<Meter>,
}

impl Intake {
    /// Returns an intake that reads from `half`.
    pub fn new(half: OwnedReadHalf<TcpStream>) -> Self {
        Self { half: Rc::new(RefCell::new(half)), meter: Rc::default() }
    }

    /// Starts the count for the next part of a message, of which at most about `bytes` are read.
    pub fn expect(&self, bytes: usize) {
        self.meter.taken.set(0);
        self.meter.limit.set(bytes);
        self.meter.exceeded.set(false);
    }

    /// Returns whether the peer sent more than was expected.
    pub fn is_exceeded(&self) -> bool {
        self.meter.exceeded.get()
    }

    /// Completes once anything has come in since the count was started.
    pub async fn begun(&self) {
        std::future::poll_fn(|context| {
            if self.meter.taken.get() > 0 {
                return Poll::Ready(());
            }
            *self.meter.waker.borrow_mut() = Some(context.waker().clone());
            Poll::Pending
        })
        .await;
    }

    /// Completes once the peer has ended its side; keeps what comes in before, up to `bytes`.
    ///
    /// The decoder must not wait for this: it loses what it holds of a message when its wait is
    /// given up.
    #[expect(clippy::await_holding_refcell_ref, reason = "one task at a time reads a connection")]
    pub async fn ended(&self, bytes: usize) {
        while self.meter.early.borrow().len() < bytes {
            let buffer = Vec::with_capacity(EARLY_BYTES);
            let (read, buffer) = self.half.borrow_mut().read(buffer).await;
            if !read.is_ok_and(|bytes| bytes > 0) {
                return;
            }
            self.meter.early.borrow_mut().extend_from_slice(&buffer);
        }
        std::future::pending().await
    }

    /// Reads and drops what still comes in, until the peer has ended or `limit` is over.
    ///
    /// Closing a connection with unread input resets it, and the peer loses the answer.
    pub async fn discard(&mut self, limit: Duration) {
        self.expect(usize::MAX);
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

impl Intake {
    #[expect(clippy::await_holding_refcell_ref, reason = "reading from memory never waits")]
    async fn take_early<T: IoBufMut>(&self, buffer: T) -> BufResult<usize, T> {
        let mut early = self.meter.early.borrow_mut();
        let mut source = early.as_slice();
        let (read, buffer) = source.read(buffer).await;
        let rest = source.len();
        let taken = early.len() - rest;
        early.drain(..taken);
        (read, buffer)
    }
}

impl AsyncReadRent for Intake {
    #[expect(clippy::await_holding_refcell_ref, reason = "one task at a time reads a connection")]
    async fn read<T: IoBufMut>(&mut self, buffer: T) -> BufResult<usize, T> {
        let meter = &self.meter;
        if meter.taken.get() >= meter.limit.get() {
            meter.exceeded.set(true);
            return (Err(Error::new(ErrorKind::InvalidData, "more than was expected")), buffer);
        }
        let nothing_early = meter.early.borrow().is_empty();
        let (read, buffer) = match nothing_early {
            true => self.half.borrow_mut().read(buffer).await,
            false => self.take_early(buffer).await,
        };
        let bytes = *read.as_ref().unwrap_or(&0);
        meter.taken.set(meter.taken.get().saturating_add(bytes));
        if let Some(waker) = meter.waker.take() {
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
