//! Graceful shutdown at a termination signal.

use std::future::Future;
use std::io::Result;
use std::os::unix::net::UnixStream as Pipe;
use std::rc::Rc;

use monoio::io::AsyncReadRent;
use monoio::net::UnixStream;
use orioleroute::Event;
use signal_hook::consts::{SIGINT, SIGTERM};
use slog::info;

use crate::shell::Shell;

/// Returns a future that starts a graceful shutdown at the first termination signal.
///
/// # Errors
///
/// Fails if the signal handlers cannot be installed.
pub fn watch(shell: Rc<Shell>) -> Result<impl Future<Output = ()>> {
    let (receiver, sender) = Pipe::pair()?;
    signal_hook::low_level::pipe::register(SIGTERM, sender.try_clone()?)?;
    signal_hook::low_level::pipe::register(SIGINT, sender)?;
    receiver.set_nonblocking(true)?;
    let mut receiver = UnixStream::from_std(receiver)?;
    Ok(async move {
        let (read, _) = receiver.read(vec![0_u8; 1]).await;
        if read.is_ok() {
            info!(shell.log, "leaving"; "reason" => "signal");
            shell.handle(Event::Shutdown);
        }
    })
}
