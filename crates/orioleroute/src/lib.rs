//! Coordination parts of a serving layer for very many LoRA adapters.
//!
//! The crate is a deterministic core without input or output. [`Core`] takes an [`Event`] and the
//! time and returns [`Effect`]s; sockets, files and timers are its user's. The daemon
//! `orioleroute-node` is one user; `docs/DESIGN.md` describes the parts and the reasons for them,
//! and `docs/GLOSSARY.md` the terms.
//!
//! The parts, one module each:
//!
//! * [`document`] and [`config`]: the configuration document, and how a new one is accepted once
//!   and for all regions.
//! * [`membership`], [`view`] and [`ownership`]: who the instances of a region are, who owns which
//!   upstream, and the lease under which orders are given.
//! * [`fleet`], [`routing`] and [`placement`]: the upstreams, the choice of one for a request, and
//!   the choice of what to load and unload.
//! * [`request`], [`retry`] and [`claim`]: a caller's request from arrival to its one final answer,
//!   how often attempts are repeated, and what lets it run at most once.
//!
//! * [`ingress`] and [`scheduler`]: the same jobs where the configuration is accepted elsewhere and
//!   requests come by host and path; see `docs/PLATFORM.md`.
//!
//! # Examples
//!
//! Embedding the core means feeding it events and carrying out what it returns:
//!
//! ```
//! use orioleroute::prelude::*;
//! use orioleroute::{Core, instance::Instance as Identity};
//!
//! fn carry_out(effect: Effect) {
//!     // Send the message, ask the table, give the order; outcomes come back as events.
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
//!     effects.into_iter().for_each(carry_out);
//! }
//! ```

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
