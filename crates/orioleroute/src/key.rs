//! Small `Copy` keys into the arenas of a core.

slotmap::new_key_type! {
    /// A model engine or plain service behind the system.
    pub struct Upstream;
    /// One version of one adapter, the unit that engines load.
    pub struct Revision;
    /// A caller's request that has not had its final answer.
    pub struct Request;
}

/// A number that matches the outcome of an effect to the state that asked for it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);
