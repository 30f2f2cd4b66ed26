//! The HTTP and JSON-RPC layer shared by the daemon, the command-line tool and the stand-ins.
//!
//! Everything runs on one `monoio` thread with the epoll driver. [`http1`] parses and forwards messages,
//! [`server`] reads requests with it and writes responses, [`client`] pools connections, [`sse`] splits streams of
//! events, [`lines`] the messages between instances, and [`rpc`] carries typed peer messages as JSON-RPC notifications. `docs/DESIGN.md`, section
//! "HTTP", gives the reasons.
//!
//! ```no_run
//! use orioleroute_wire::client;
//!
//! # async fn example() -> Result<(), orioleroute_wire::Error> {
//! let pool = client::Pool::new();
//! let response = pool.get("127.0.0.1:8000".parse().unwrap(), "/v1/models").await?;
//! assert!(response.status.is_success());
//! # Ok(())
//! # }
//! ```

pub mod admission;
pub mod client;
pub mod connect;
mod error;
pub mod frames;
pub mod http1;
pub mod lines;
pub mod rpc;
pub mod runtime;
pub mod server;
pub mod sse;

pub use error::{Error, Step};
pub use http::{HeaderMap, HeaderName, HeaderValue, Method, StatusCode};
