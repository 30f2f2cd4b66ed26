//! A link to a stand-in that can be cut, for tests of broken connections.

use std::io::{Read, Result, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

/// Bytes that are passed on at a time.
const BUFFER_BYTES: usize = 4_096;

/// A listener that passes every connection on to another address.
///
/// The connections that are open can be cut or stalled; later ones are passed on as before.
pub struct Link {
    /// The address to connect to.
    pub address: SocketAddr,
    open: Arc<Mutex<Vec<TcpStream>>>,
    stalls: Arc<AtomicUsize>,
}

impl Link {
    /// Returns a link to `target`, which runs on threads of its own.
    ///
    /// # Errors
    ///
    /// Fails if no port is free.
    pub fn to(target: SocketAddr) -> Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let open = Arc::new(Mutex::new(Vec::new()));
        let streams = open.clone();
        let stalls = Arc::new(AtomicUsize::new(0));
        let counted = stalls.clone();
        std::thread::spawn(move || {
            for near in listener.incoming().flatten() {
                let _ = pass_on(near, target, &streams, &counted);
            }
        });
        Ok(Self { address, open, stalls })
    }

    /// Loses what goes over the connections that are open, without closing them.
    pub fn stall(&self) {
        self.stalls.fetch_add(1, Ordering::SeqCst);
    }

    /// Closes the connections that are open, and returns how many sockets that were.
    pub fn cut(&self) -> usize {
        let mut open = self.open.lock().unwrap_or_else(PoisonError::into_inner);
        let closed = open.drain(..).filter(|socket| socket.shutdown(Shutdown::Both).is_ok());
        closed.count()
    }
}

fn pass_on(
    near: TcpStream,
    target: SocketAddr,
    open: &Mutex<Vec<TcpStream>>,
    stalls: &Arc<AtomicUsize>,
) -> Result<()> {
    let far = TcpStream::connect(target)?;
    for socket in [&near, &far] {
        socket.set_nodelay(true)?;
        let kept = socket.try_clone()?;
        open.lock().unwrap_or_else(PoisonError::into_inner).push(kept);
    }
    let (near_copy, far_copy) = (near.try_clone()?, far.try_clone()?);
    let (there, back) = (stalls.clone(), stalls.clone());
    std::thread::spawn(move || copy(near, far, &there));
    std::thread::spawn(move || copy(far_copy, near_copy, &back));
    Ok(())
}

fn copy(mut from: TcpStream, mut to: TcpStream, stalls: &AtomicUsize) {
    let opened = stalls.load(Ordering::SeqCst);
    let mut buffer = [0; BUFFER_BYTES];
    while let Ok(count) = from.read(&mut buffer) {
        let is_stalled = stalls.load(Ordering::SeqCst) != opened;
        if count == 0 || (!is_stalled && to.write_all(&buffer[..count]).is_err()) {
            break;
        }
    }
    let _ = from.shutdown(Shutdown::Both);
    let _ = to.shutdown(Shutdown::Both);
}
