//! A link to a stand-in that can be cut, for tests of broken connections.

use std::io::{Read, Result, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, PoisonError};

/// Bytes that are passed on at a time.
const BUFFER_BYTES: usize = 4_096;

/// A listener that passes every connection on to another address, until it is cut.
///
/// Cutting closes the connections that are open; later ones are passed on again.
pub struct Link {
    /// The address to connect to.
    pub address: SocketAddr,
    open: Arc<Mutex<Vec<TcpStream>>>,
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
        std::thread::spawn(move || {
            for near in listener.incoming().flatten() {
                let _ = pass_on(near, target, &streams);
            }
        });
        Ok(Self { address, open })
    }

    /// Closes the connections that are open, and returns how many sockets that were.
    pub fn cut(&self) -> usize {
        let mut open = self.open.lock().unwrap_or_else(PoisonError::into_inner);
        let closed = open.drain(..).filter(|socket| socket.shutdown(Shutdown::Both).is_ok());
        closed.count()
    }
}

fn pass_on(near: TcpStream, target: SocketAddr, open: &Mutex<Vec<TcpStream>>) -> Result<()> {
    let far = TcpStream::connect(target)?;
    for socket in [&near, &far] {
        socket.set_nodelay(true)?;
        let kept = socket.try_clone()?;
        open.lock().unwrap_or_else(PoisonError::into_inner).push(kept);
    }
    let (near_copy, far_copy) = (near.try_clone()?, far.try_clone()?);
    std::thread::spawn(move || copy(near, far));
    std::thread::spawn(move || copy(far_copy, near_copy));
    Ok(())
}

fn copy(mut from: TcpStream, mut to: TcpStream) {
    let mut buffer = [0; BUFFER_BYTES];
    while let Ok(count) = from.read(&mut buffer) {
        if count == 0 || to.write_all(&buffer[..count]).is_err() {
            break;
        }
    }
    let _ = from.shutdown(Shutdown::Both);
    let _ = to.shutdown(Shutdown::Both);
}
