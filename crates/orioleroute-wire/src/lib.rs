//! The HTTP and JSON-RPC edge that the daemon, the command line and the stand-ins share.
//!
//! Everything runs on one `monoio` thread with its epoll driver. [`server`] decodes requests and
//! writes answers, [`client`] keeps connections open and relays streamed bodies chunk by chunk,
//! [`http1`] passes messages on as a proxy does, and [`rpc`] carries typed peer messages as JSON-RPC notifications. Why streamed bodies bypass
//! the library's encoder is told in `docs/DESIGN.md`, section "HTTP".
//!
//! ```no_run
//! use orioleroute_wire::client;
//!
//! # async fn example() -> Result<(), orioleroute_wire::Error> {
//! let pool = client::Pool::new();
//! let answer = pool.get("127.0.0.1:8000".parse().unwrap(), "/v1/models").await?;
//! assert!(answer.status.is_success());
//! # Ok(())
//! # }
//! ```

pub mod client;
mod connect;
mod error;
pub mod http1;
mod intake;
pub mod rpc;
pub mod runtime;
pub mod server;

pub use error::{Error, Step};
pub use http::{HeaderMap, HeaderName, HeaderValue, Method, StatusCode};
