//! What this process may hold for peers that it does not control, by the limits of its machine.
//!
//! `docs/design/memory.md` explains the parts.

use orioleroute_wire::admission::{Admission, Shared};

/// The fraction of the machine's memory that is divided between clients. The rest is for the process itself, for what it
/// learns from the store and for memory that the allocator cannot reuse at once.
const CLIENT_MEMORY_FRACTION: usize = 2;

/// The fraction of the machine's memory that is divided between connections to the other addresses. They have a budget of
/// their own, so that clients never take the room of other instances and of probes.
const CONTROL_MEMORY_FRACTION: usize = 8;

/// The descriptors that are no connections, or connections to the store and to other instances.
const RESERVED_DESCRIPTORS: usize = 200;

/// The fraction of a small number of descriptors that is reserved in place of [`RESERVED_DESCRIPTORS`].
const RESERVED_FRACTION: usize = 3;

/// The fraction of the sockets that clients may have. Each request needs one more, to an upstream.
const CLIENT_SOCKETS_FRACTION: usize = 3;

/// The fraction of the sockets that other instances may have. Each connects at most a few times.
const PEER_SOCKETS_FRACTION: usize = 5;

/// The fraction of the sockets that each of the addresses for probes, look-ups and metrics may have.
const ENDPOINT_SOCKETS_FRACTION: usize = 24;

/// What the settings say of the machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Machine {
    /// The memory for this process, in MiB.
    pub memory_mib: usize,
    /// The descriptors for this process.
    pub descriptors: usize,
    /// The most connections that clients may have open.
    pub connections: usize,
}

impl Machine {
    /// Returns the memory that clients share, in bytes.
    pub fn client_memory(self) -> usize {
        self.memory() / CLIENT_MEMORY_FRACTION
    }

    fn control_memory(self) -> usize {
        self.memory() / CONTROL_MEMORY_FRACTION
    }

    fn memory(self) -> usize {
        self.memory_mib.saturating_mul(1 << 20)
    }

    fn sockets(self) -> usize {
        self.descriptors - RESERVED_DESCRIPTORS.min(self.descriptors / RESERVED_FRACTION)
    }
}

/// The room of each listener.
pub struct Room {
    /// The memory that clients share.
    pub client_memory: Shared,
    control_memory: Shared,
    /// The listener for clients.
    pub clients: Admission,
    /// The listener for other instances.
    pub peers: Admission,
    /// The listener for readiness probes.
    pub ready: Admission,
    /// The listener for look-ups of addresses.
    pub directory: Admission,
    /// The listener for metrics.
    pub metrics: Admission,
}

impl Room {
    /// Returns the room on this machine.
    pub fn new(machine: Machine) -> Self {
        let (client_memory, control_memory) = (Shared::new(0), Shared::new(0));
        let control = || Admission::new(&control_memory, 0);
        let room = Self {
            clients: Admission::new(&client_memory, 0),
            peers: control(),
            ready: control(),
            directory: control(),
            metrics: control(),
            client_memory,
            control_memory,
        };
        room.adapt(machine);
        room
    }

    /// Changes the room to that of a machine with other limits.
    pub fn adapt(&self, machine: Machine) {
        let sockets = machine.sockets();
        self.client_memory.set_capacity(machine.client_memory());
        self.control_memory.set_capacity(machine.control_memory());
        let clients = machine.connections.min(sockets / CLIENT_SOCKETS_FRACTION);
        self.clients.set_connections(clients);
        self.peers.set_connections(sockets / PEER_SOCKETS_FRACTION);
        for endpoint in [&self.ready, &self.directory, &self.metrics] {
            endpoint.set_connections(sockets / ENDPOINT_SOCKETS_FRACTION);
        }
    }
}

/// Returns the memory that callers share on a machine with this memory, in MiB.
pub fn caller_memory(memory_mib: usize) -> Shared {
    let machine = Machine { memory_mib, descriptors: 0, connections: 0 };
    Shared::new(machine.client_memory())
}
