//! Outgoing connections that detect unresponsive peers.

use std::io::{Error, ErrorKind, Result};
use std::net::SocketAddr;
use std::time::Duration;

use monoio::net::TcpStream;

/// The default of [`Options::ack_timeout`]: about the shortest deadline of a request, so that another try is still useful.
const ACK_TIMEOUT: Duration = Duration::from_millis(1_500);

/// The idle time of a connection before the first keepalive probe, and the time between probes. Linux closes a connection
/// at the first due probe after [`Options::ack_timeout`] if one is unanswered, whatever the number of probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// The error number of a connection attempt in progress.
const EINPROGRESS: i32 = 115;

/// What happens to data that the peer has not received when a connection is closed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum OnClose {
    /// It is still delivered.
    #[default]
    Deliver,
    /// It is dropped, and the connection is reset.
    Reset,
}

/// How a connection treats its peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Options {
    /// What happens to data that the peer has not received when the connection is closed.
    pub on_close: OnClose,
    /// How long the peer may acknowledge neither data nor probes before the connection is closed
    /// (`TCP_USER_TIMEOUT`). This also limits the time in which it reads nothing while its buffers are full.
    pub ack_timeout: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self { on_close: OnClose::Deliver, ack_timeout: ACK_TIMEOUT }
    }
}

/// Connects to `peer` within `limit`, with keepalive probes and without Nagle's algorithm.
pub async fn connect(peer: SocketAddr, limit: Duration, options: Options) -> Result<TcpStream> {
    let socket = socket2::Socket::new(
        socket2::Domain::for_address(peer),
        socket2::Type::STREAM.nonblocking().cloexec(),
        Some(socket2::Protocol::TCP),
    )?;
    let keepalive = socket2::TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL);
    if options.on_close == OnClose::Reset {
        socket.set_linger(Some(Duration::ZERO))?;
    }
    socket.set_tcp_nodelay(true)?;
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(options.ack_timeout))?;
    match socket.connect(&peer.into()) {
        Err(error) if error.raw_os_error() != Some(EINPROGRESS) => return Err(error),
        _ => {}
    }
    let stream = TcpStream::from_std(socket.into())?;
    match monoio::time::timeout(limit, stream.writable(false)).await {
        Ok(ready) => ready?,
        Err(_) => return Err(ErrorKind::TimedOut.into()),
    }
    // A refused connection becomes writable too, but only an established one has a peer address.
    stream.peer_addr().map_err(|_| Error::from(ErrorKind::ConnectionRefused))?;
    Ok(stream)
}
