//! Who an instance of the system is, and the platform's list of upstream instances.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// One process of the system, as its peers and callers know it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Instance {
    /// The name, unique among all instances and never used again by another.
    pub name: Arc<str>,
    /// A number that differs each time the process starts.
    pub incarnation: u64,
    /// The region.
    pub region: Arc<str>,
    /// The availability zone.
    pub zone: Arc<str>,
    /// Where callers connect.
    pub caller_address: SocketAddr,
    /// Where peers connect.
    pub peer_address: SocketAddr,
    /// Where operators connect.
    pub operator_address: SocketAddr,
}

/// Whether an upstream takes new work, as the platform's list says.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, strum::Display, strum::EnumString,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Phase {
    /// It takes work.
    Live,
    /// It finishes what it has and goes.
    Leaving,
}

/// An upstream as the platform lists it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listing {
    /// The name, unique among all upstreams.
    pub name: Arc<str>,
    /// The pool of the configuration document that it belongs to.
    pub pool: Arc<str>,
    /// Where it listens.
    pub address: SocketAddr,
    /// The region.
    pub region: Arc<str>,
    /// The availability zone.
    pub zone: Arc<str>,
    /// Whether it takes new work.
    pub phase: Phase,
}
