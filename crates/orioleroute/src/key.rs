//! `Copy` keys into the slot maps of a core.

slotmap::new_key_type! {
    /// A model engine or plain service to which requests are sent.
    pub struct Upstream;
    /// One version of one adapter, which is the unit that engines load.
    pub struct Revision;
    /// A caller's request that has not received its final answer.
    pub struct Request;
}

/// A number that associates the outcome of an effect with the operation that caused the effect.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);
