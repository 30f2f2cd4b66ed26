//! A TCP proxy in front of a stand-in, for tests of broken and stalled connections.

use std::io::{Read, Result, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

/// The size of the copy buffer of each direction, in bytes.
const BUFFER_BYTES: usize = 4_096;

/// A listener that forwards every connection to another address.
///
/// The connections that are open can be closed or stalled; later ones are not affected.
pub struct TcpProxy {
    /// The address that the proxy listens on.
    pub address: SocketAddr,
    open: Arc<Mutex<Vec<TcpStream>>>,
    /// The number of calls of [`Self::drop_traffic`]. A connection is stalled once this differs from the
    /// value at its start.
    stalls: Arc<AtomicUsize>,
}

impl TcpProxy {
    /// Starts a proxy to `target` on its own threads.
    ///
    /// # Errors
    ///
    /// Fails if the listener cannot be bound.
    pub fn start(target: SocketAddr) -> Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let open = Arc::new(Mutex::new(Vec::new()));
        let sockets = open.clone();
        let stalls = Arc::new(AtomicUsize::new(0));
        let stall_count = stalls.clone();
        std::thread::spawn(move || {
            for client in listener.incoming().flatten() {
                let _ = forward(client, target, &sockets, &stall_count);
            }
        });
        Ok(Self { address, open, stalls })
    }

    /// Stalls the open connections: all further data on them is discarded, but they stay open.
    pub fn drop_traffic(&self) {
        self.stalls.fetch_add(1, Ordering::SeqCst);
    }

    /// Closes the open connections and returns the number of sockets that were closed.
    pub fn close_connections(&self) -> usize {
        let mut open = self.open.lock().unwrap_or_else(PoisonError::into_inner);
        let closed = open.drain(..).filter(|socket| socket.shutdown(Shutdown::Both).is_ok());
        closed.count()
    }
}

fn forward(
    client: TcpStream,
    target: SocketAddr,
    open: &Mutex<Vec<TcpStream>>,
    stalls: &Arc<AtomicUsize>,
) -> Result<()> {
    let server = TcpStream::connect(target)?;
    for socket in [&client, &server] {
        socket.set_nodelay(true)?;
        let kept = socket.try_clone()?;
        open.lock().unwrap_or_else(PoisonError::into_inner).push(kept);
    }
    let (client_copy, server_copy) = (client.try_clone()?, server.try_clone()?);
    let (to_server, to_client) = (stalls.clone(), stalls.clone());
    std::thread::spawn(move || copy(client, server, &to_server));
    std::thread::spawn(move || copy(server_copy, client_copy, &to_client));
    Ok(())
}

fn copy(mut from: TcpStream, mut to: TcpStream, stalls: &AtomicUsize) {
    let stalls_at_start = stalls.load(Ordering::SeqCst);
    let mut buffer = [0; BUFFER_BYTES];
    while let Ok(count) = from.read(&mut buffer) {
        let is_stalled = stalls.load(Ordering::SeqCst) != stalls_at_start;
        if count == 0 || (!is_stalled && to.write_all(&buffer[..count]).is_err()) {
            break;
        }
    }
    let _ = from.shutdown(Shutdown::Both);
    let _ = to.shutdown(Shutdown::Both);
}
