//! The identity of an instance of the system, and the platform's list of upstreams.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// The identity of one process of the system.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Instance {
    /// The name, unique among all instances and never reused by another one.
    pub name: Arc<str>,
    /// A number that differs each time the process starts.
    pub incarnation: u64,
    /// The region.
    pub region: Arc<str>,
    /// The availability zone.
    pub zone: Arc<str>,
    /// The address for callers.
    pub caller_address: SocketAddr,
    /// The address for peers.
    pub peer_address: SocketAddr,
    /// The address for operators.
    pub operator_address: SocketAddr,
}

/// Whether an upstream accepts new work, according to the platform's list.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, strum::Display, strum::EnumString,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Phase {
    /// It accepts new work.
    Live,
    /// It finishes its running work and then stops.
    Leaving,
}

/// An upstream in the platform's list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listing {
    /// The name, unique among all upstreams.
    pub name: Arc<str>,
    /// The pool of the configuration document to which it belongs.
    pub pool: Arc<str>,
    /// The address on which it listens.
    pub address: SocketAddr,
    /// The region.
    pub region: Arc<str>,
    /// The availability zone.
    pub zone: Arc<str>,
    /// Whether it accepts new work.
    pub phase: Phase,
}
