//! Commonly used types, for import by a single `use`.

pub use std::sync::Arc;
pub use std::time::Duration;

pub use crate::effect::Effect;
pub use crate::event::Event;
pub use crate::hash::{Map, Set};
pub use crate::key;
pub use crate::time::Instant;
