//! Stand-ins for the external systems: the platform, model engines and plain services.
//!
//! They implement the published protocols of those systems in memory, without their guarantees, and
//! inject faults on request over HTTP. They are meant for demonstrations and tests only.

pub mod bench;
pub mod engine;
pub mod platform;
pub mod process;
pub mod proxy;
pub mod service;
pub mod system;
pub mod world;

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;

use monoio::net::TcpListener;
use orioleroute_wire::Error;
use orioleroute_wire::server::{self, Connection, Fault, Limits, Request, Response};

/// Maximum number of connections to a stand-in.
const MAX_CONNECTIONS: usize = 20_000;

/// Maximum size of a request body, in bytes.
const MAX_BODY_BYTES: usize = 64 << 20;

/// Binds a listener and prints its address as the first line of output, for the parent process.
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

/// Serves a stand-in until the listener fails; all connections share `state`.
async fn serve<S, H>(listener: TcpListener, state: S, handler: H) -> std::io::Result<()>
where
    S: 'static,
    H: AsyncFn(&Rc<RefCell<S>>, &mut Connection, Request) -> Result<(), Error> + 'static,
{
    let state = Rc::new(RefCell::new(state));
    let limits = Limits { max_body_bytes: MAX_BODY_BYTES, ..Limits::default() };
    server::serve(
        listener,
        limits,
        MAX_CONNECTIONS,
        fault_response,
        async move |connection, request| handler(&state, connection, request).await,
    )
    .await
}

/// Answers a protocol fault in plain text.
fn fault_response(fault: &Fault) -> Response {
    Response::text(fault.status(), fault.to_string())
}
