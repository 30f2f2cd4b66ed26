//! Requests that come in by host and path, and what an instance knows to answer them.
//!
//! This is the second way into the core, beside documents that the instances accept among
//! themselves: the configuration is accepted elsewhere and only read here. `docs/PLATFORM.md` tells
//! which program uses which.

pub mod attempt;
pub mod configuration;
pub mod deadline;
pub mod health;
pub mod registry;
pub mod roster;
pub mod upstream;

pub use attempt::Attempt;
pub use configuration::Configuration;
