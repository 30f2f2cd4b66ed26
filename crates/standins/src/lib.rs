//! Stand-ins of the outside systems: the platform, model engines and plain services.
//!
//! They speak the published formats of the systems that they stand for, in memory and without
//! their guarantees, and can be told over HTTP to fail. They serve demonstrations and tests only.

pub mod engine;
pub mod platform;
pub mod process;
pub mod service;
pub mod system;
pub mod world;

use std::net::SocketAddr;

use monoio::net::TcpListener;
use orioleroute_wire::server::{Fault, Response};

/// Connections that a stand-in takes.
pub const CONNECTIONS: usize = 20_000;

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

/// Answers a fault in plain text.
pub fn explain(fault: &Fault) -> Response {
    Response::text(fault.status(), fault.to_string())
}
