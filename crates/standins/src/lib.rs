//! Stand-ins of the outside systems: the platform, model engines and plain services.
//!
//! They speak the published formats of the systems that they stand for, in memory and without
//! their guarantees, and can be told over HTTP to fail. They serve demonstrations and tests only.

pub mod bench;
pub mod engine;
pub mod link;
pub mod platform;
pub mod process;
pub mod service;
pub mod system;
pub mod world;

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;

use monoio::net::TcpListener;
use orioleroute_wire::Error;
use orioleroute_wire::server::{self, Connection, Fault, Limits, Request, Response};

/// Connections that a stand-in takes.
const CONNECTIONS: usize = 20_000;

/// The largest body that a stand-in takes, in bytes.
const BODY_BYTES: usize = 64 << 20;

/// Binds a listener and prints its address as the first line, for whoever started the process.
///
/// # Errors
///
/// Fails if the address cannot be bound.
pub fn bind(address: &str) -> std::io::Result<(TcpListener, SocketAddr)> {
    let listener = TcpListener::bind(address)?;
    let bound = listener.local_addr()?;
    println!("listening {bound}");
    Ok((listener, bound))
}

/// Serves a stand-in with shared state until the listener fails.
async fn serve<S, H>(listener: TcpListener, state: S, answer: H) -> std::io::Result<()>
where
    S: 'static,
    H: AsyncFn(&Rc<RefCell<S>>, &mut Connection, Request) -> Result<(), Error> + 'static,
{
    let state = Rc::new(RefCell::new(state));
    let limits = Limits { body_bytes: BODY_BYTES, ..Limits::default() };
    server::serve(listener, limits, CONNECTIONS, explain, async move |connection, request| {
        answer(&state, connection, request).await
    })
    .await
}

/// Answers a fault in plain text.
fn explain(fault: &Fault) -> Response {
    Response::text(fault.status(), fault.to_string())
}
