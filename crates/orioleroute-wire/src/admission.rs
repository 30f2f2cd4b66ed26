//! What connections of peers that are not trusted may take of the process: connections and memory, out of budgets that
//! listeners share.

use std::cell::RefCell;
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;

use orioleroute::budget::Budget;
pub use orioleroute::budget::Exhausted;
use strum::{EnumCount, IntoStaticStr};

/// The memory that an open connection takes in the process and, roughly, in the kernel, in bytes.
const CONNECTION_BYTES: usize = 32 << 10;

/// A budget that several listeners share.
#[derive(Clone, Debug)]
pub struct Shared(Rc<RefCell<Budget>>);

impl Shared {
    /// Returns a budget of this size.
    pub fn new(capacity: usize) -> Self {
        Self(Rc::new(RefCell::new(Budget::new(capacity))))
    }

    /// Changes the size. What is held stays held.
    pub fn set_capacity(&self, capacity: usize) {
        self.0.borrow_mut().set_capacity(capacity);
    }

    /// Returns how much is held.
    pub fn used(&self) -> usize {
        self.0.borrow().used()
    }
}

/// What one listener admits.
#[derive(Clone, Debug)]
pub struct Admission {
    memory: Shared,
    connections: Shared,
}

/// Why a connection is not admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Refusal {
    /// Too many connections are open, or too many from its address.
    Connections,
    /// Memory is used up.
    Memory,
}

impl Admission {
    /// Returns the admission of a listener with its own limit of open connections.
    pub fn new(memory: &Shared, connections: usize) -> Self {
        Self { memory: memory.clone(), connections: Shared::new(connections) }
    }

    /// Changes the limit of open connections.
    pub fn set_connections(&self, connections: usize) {
        self.connections.set_capacity(connections);
    }

    /// Admits a connection.
    ///
    /// # Errors
    ///
    /// Fails if the listener has no room for it.
    pub fn admit(&self, peer: SocketAddr) -> Result<Reservation, Refusal> {
        let holder = peer.ip();
        let mut connections = self.connections.0.borrow_mut();
        connections.resize(holder, 0, 1).map_err(|_| Refusal::Connections)?;
        drop(connections);
        let mut reservation = Reservation {
            memory: self.memory.clone(),
            connections: self.connections.clone(),
            holder,
            parts: [0; Part::COUNT],
        };
        let memory = reservation.hold(Part::Connection, CONNECTION_BYTES);
        memory.map(|()| reservation).map_err(|_| Refusal::Memory)
    }
}

/// What a connection holds memory for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, EnumCount)]
pub enum Part {
    /// The connection itself.
    Connection,
    /// Input that has been received and not handled.
    Input,
    /// The head of the request, and what is made of it.
    Head,
    /// The body of the request, and the copy that is sent on.
    Body,
    /// The part of the answer that the peer has not read.
    Answer,
}

/// What one connection holds. Dropping it returns all.
#[derive(Debug)]
pub struct Reservation {
    memory: Shared,
    connections: Shared,
    holder: IpAddr,
    /// The bytes of each part.
    parts: [usize; Part::COUNT],
}

impl Reservation {
    /// Changes how many bytes are held for a part.
    ///
    /// # Errors
    ///
    /// Fails if the budget has no room for so many, and changes nothing then.
    pub fn hold(&mut self, part: Part, bytes: usize) -> Result<(), Exhausted> {
        let held = &mut self.parts[part as usize];
        if *held != bytes {
            self.memory.0.borrow_mut().resize(self.holder, *held, bytes)?;
            *held = bytes;
        }
        Ok(())
    }

    /// Returns how many bytes are held for a part.
    pub fn held(&self, part: Part) -> usize {
        self.parts[part as usize]
    }

    /// Returns what is held for a request that has ended.
    pub fn end_request(&mut self) {
        for part in [Part::Head, Part::Body, Part::Answer] {
            // A smaller part is always granted.
            let _ = self.hold(part, 0);
        }
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        let bytes: usize = self.parts.iter().sum();
        let _ = self.memory.0.borrow_mut().resize(self.holder, bytes, 0);
        let _ = self.connections.0.borrow_mut().resize(self.holder, 1, 0);
    }
}
