//! A quantity that is divided between peers which the process does not control, such as memory or connections.
//!
//! Load pattern: a crowd of peers takes as much as it is given and keeps it, while ordinary peers need little for a short
//! time. A fixed share for each peer would be too small for a single large request, or too large for a crowd. Here each
//! holder may grow up to twice of what is still free. One holder gets two thirds at most, *n* greedy ones that
//! grow together leave 1 / (1 + 2*n*) to the others, and an only holder is not limited by the number of those who might
//! come. Nothing is taken back, so that holders that come one after another would leave a third each of what they find.
//! The last part of the budget is therefore kept for holders of little, and holders of it leave eight ninths each.
//!
//! ```
//! use std::net::{IpAddr, Ipv4Addr};
//! use orioleroute::budget::Budget;
//!
//! let [crowd, other] = [1, 2].map(|host| IpAddr::from(Ipv4Addr::new(10, 0, 0, host)));
//! let mut budget = Budget::new(300);
//! assert!(budget.resize(crowd, 0, 200).is_ok());
//! assert!(budget.resize(crowd, 200, 201).is_err());
//! assert!(budget.resize(other, 0, 50).is_ok());
//! ```

use std::net::IpAddr;

use crate::prelude::*;

/// How many times of what is free a holder may have.
const GROWTH: usize = 2;

/// The fraction of the budget that only holders of little may use.
const KEPT_FRACTION: usize = 6;

/// The fraction of what is free that a holder of little has at most.
const LITTLE_FRACTION: usize = 8;

/// A holder asked for more than the budget has left for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Exhausted {
    /// The budget has not that much left.
    #[error("nothing is left")]
    Total,
    /// The holder has as much as it may have while others need room.
    #[error("the share of the address is used up")]
    Share,
}

/// A budget and who holds how much of it.
#[derive(Clone, Debug)]
pub struct Budget {
    capacity: usize,
    used: usize,
    held: Map<IpAddr, usize>,
}

impl Budget {
    /// Returns a budget of this size of which nothing is held.
    pub fn new(capacity: usize) -> Self {
        Self { capacity, used: 0, held: Map::default() }
    }

    /// Changes the size. What is held stays held, also if it is more than that.
    pub fn set_capacity(&mut self, capacity: usize) {
        self.capacity = capacity;
    }

    /// Returns how much is held.
    pub fn used(&self) -> usize {
        self.used
    }

    /// Changes a part that a holder has from one size to another. A smaller size is always granted.
    ///
    /// # Errors
    ///
    /// Fails if the part would grow beyond what is left for the holder, and changes nothing then.
    pub fn resize(&mut self, holder: IpAddr, from: usize, to: usize) -> Result<(), Exhausted> {
        let held = self.held.get(&holder).copied().unwrap_or(0).saturating_sub(from);
        let used = self.used.saturating_sub(from);
        let (held, used) = (held.saturating_add(to), used.saturating_add(to));
        if to > from {
            let free = self.capacity.checked_sub(used).ok_or(Exhausted::Total)?;
            let is_little = held <= (free / LITTLE_FRACTION).max(1);
            if !is_little && free < self.capacity / KEPT_FRACTION {
                return Err(Exhausted::Total);
            }
            if !is_little && held > free.saturating_mul(GROWTH) {
                return Err(Exhausted::Share);
            }
        }
        self.used = used;
        match held {
            0 => drop(self.held.remove(&holder)),
            held => drop(self.held.insert(holder, held)),
        }
        Ok(())
    }
}
