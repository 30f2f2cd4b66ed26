//! Coordination for a serving layer that runs many LoRA adapters.
//!
//! The crate is a deterministic core that does no I/O. [`Core`] handles an [`Event`] at a given time
//! and returns [`Effect`]s; the embedding program owns the sockets, files and timers. The daemon
//! `orioleroute-node` is one such program. `docs/DESIGN.md` describes the components and the reasons
//! for them, and `docs/GLOSSARY.md` defines the terms.
//!
//! The main modules:
//!
//! * [`document`] and [`config`]: the configuration document, and how a new version is accepted
//!   exactly once for all regions.
//! * [`membership`], [`view`] and [`ownership`]: the instances of a region, the owner of each
//!   upstream, and the lease under which an instance issues orders.
//! * [`fleet`], [`routing`] and [`placement`]: the upstreams, the choice of an upstream for a
//!   request, and the choice of adapters to load and unload.
//! * [`request`], [`retry`] and [`claim`]: the life of a request from arrival to its single final
//!   answer, the retry budget, and the claims that make a request run at most once.
//! * [`ingress`] and [`scheduler`]: the same functions for deployments where another system accepts
//!   the configuration and requests are routed by host and path; see `docs/PLATFORM.md`.
//!
//! # Examples
//!
//! An embedding program passes events to the core and applies the effects that it returns:
//!
//! ```
//! use orioleroute::prelude::*;
//! use orioleroute::{Core, instance::Instance as Identity};
//!
//! fn apply(effect: Effect) {
//!     // Send the message, call the table or issue the order, then report the outcome as an event.
//!     let _ = effect;
//! }
//!
//! # let address = "127.0.0.1:4000".parse().unwrap();
//! # let identity = Identity {
//! #     name: "a".into(), incarnation: 1, region: "zurich".into(), zone: "zurich-1".into(),
//! #     caller_address: address, peer_address: address, operator_address: address,
//! # };
//! let mut core = Core::new(identity);
//! for millis in (0..200).step_by(50) {
//!     let effects = core.handle(Instant::from_millis(millis), Event::Tick);
//!     effects.into_iter().for_each(apply);
//! }
//! ```

pub mod budget;
pub mod catalog;
pub mod claim;
pub mod config;
mod core;
pub mod demand;
pub mod document;
pub mod effect;
pub mod engine;
pub mod event;
pub mod fleet;
pub mod hash;
pub mod holders;
pub mod ingress;
pub mod instance;
pub mod key;
pub mod limits;
pub mod membership;
pub mod message;
pub mod operator;
pub mod orders;
pub mod ownership;
pub mod placement;
pub mod prelude;
pub mod request;
pub mod retry;
pub mod routing;
pub mod scheduler;
pub mod table;
pub mod time;
pub mod view;

pub use crate::core::Core;
pub use crate::effect::Effect;
pub use crate::event::Event;
