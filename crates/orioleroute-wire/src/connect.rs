//! Outgoing connections that notice a peer gone silent.

use std::io::{Error, ErrorKind, Result};
use std::net::SocketAddr;
use std::time::Duration;

use monoio::net::TcpStream;

/// How long sent bytes may stay without acknowledgement before the connection counts as lost.
/// About the shortest deadline of a request, so that a retry is still of use.
const UNACKNOWLEDGED_LIMIT: Duration = Duration::from_millis(1_500);

/// How long a connection is idle before the first probe, and the time between probes.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// Unanswered probes after which a connection counts as lost.
const PROBES: u32 = 2;

/// The error number of a connection attempt that is under way (`EINPROGRESS`).
const IN_PROGRESS: i32 = 115;

/// Connects to `peer` within `limit`.
pub async fn connect(peer: SocketAddr, limit: Duration) -> Result<TcpStream> {
    let socket = socket2::Socket::new(
        socket2::Domain::for_address(peer),
        socket2::Type::STREAM.nonblocking().cloexec(),
        Some(socket2::Protocol::TCP),
    )?;
    let probes = socket2::TcpKeepalive::new()
        .with_time(PROBE_INTERVAL)
        .with_interval(PROBE_INTERVAL)
        .with_retries(PROBES);
    socket.set_tcp_nodelay(true)?;
    socket.set_tcp_keepalive(&probes)?;
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_LIMIT))?;
    match socket.connect(&peer.into()) {
        Err(error) if error.raw_os_error() != Some(IN_PROGRESS) => return Err(error),
        _ => {}
    }
    let stream = TcpStream::from_std(socket.into())?;
    match monoio::time::timeout(limit, stream.writable(false)).await {
        Ok(ready) => ready?,
        Err(_) => return Err(ErrorKind::TimedOut.into()),
    }
    // A refused connection becomes writable too; only an established one has a peer.
    stream.peer_addr().map_err(|_| Error::from(ErrorKind::ConnectionRefused))?;
    Ok(stream)
}
