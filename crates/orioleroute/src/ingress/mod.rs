//! Requests that are routed by host and path, and the state that an instance needs to route them.
//!
//! This is an alternative to configuration documents that the instances accept among themselves:
//! here the configuration is accepted elsewhere and only read. `docs/PLATFORM.md` describes which
//! program uses which.

pub mod access;
pub mod attempt;
pub mod builds;
pub mod configuration;
pub mod deadline;
pub mod feed;
pub mod health;
pub mod isolation;
pub mod leaders;
pub mod member;
pub mod notice;
pub mod organisation;
pub mod origins;
pub mod outbox;
pub mod pace;
pub mod path;
pub mod priority;
pub mod progress;
pub mod quarantine;
pub mod quota;
pub mod reach;
pub mod refusal;
pub mod registry;
pub mod roster;
pub mod unreported;
pub mod upstream;
pub mod version;

pub use attempt::Attempt;
pub use configuration::Configuration;
pub use notice::Notice;
pub use organisation::{Organisation, Quota};
pub use path::Path;
pub use priority::Priority;
pub use progress::Progress;
pub use reach::Reach;
pub use version::Version;
