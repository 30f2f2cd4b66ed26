//! What instances say to one another.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::document::{Delta, Document};
use crate::view::View;

/// A one-way message to a peer.
///
/// Messages can be lost, doubled and late; every one of them is safe to take twice, and whatever
/// matters is repeated until its effect is seen. The daemon carries them as JSON-RPC
/// notifications, with the method named by the variant.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, strum::IntoStaticStr)]
#[serde(tag = "method", content = "params", rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Message {
    /// Asks a watcher to grant the sender's lease once more; also the heartbeat.
    Renew(Renewal),
    /// Grants a lease that was asked for.
    Granted(Renewal),
    /// Says which view of its region the sender has applied.
    Applied {
        /// The version of the view.
        version: u64,
        /// Whether the sender waits for the receiver to say the same.
        reply: bool,
    },
    /// Passes a view on to an instance that is behind.
    View(View),
    /// Passes a document on that is about to be accepted.
    Stage(Proposal),
    /// Says that the sender holds a staged document.
    Staged {
        /// The version and token of the submission.
        mark: Mark,
        /// The sender's incarnation.
        incarnation: u64,
    },
    /// Says that a version was accepted.
    Accepted(Mark),
    /// Asks for the document in force if it is newer than the sender's.
    Fetch {
        /// The sender's version.
        version: u64,
    },
    /// Passes the document in force on.
    Document(Proposal),
    /// Says whether the sender holds a revision, to its homes in other regions.
    Holds {
        /// The served name, `adapter@version`.
        name: Arc<str>,
        /// Whether it is loaded on an upstream of the sender.
        held: bool,
    },
}

/// A renewal of a lease, as asked and as granted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Renewal {
    /// The view under which the lease is held.
    pub version: u64,
    /// When the holder asked, in microseconds of its own clock; the lease counts from then.
    pub sent: u64,
    /// The configuration version in force at the sender.
    pub config: u64,
    /// The sender's incarnation.
    pub incarnation: u64,
}

/// A document with the version that it has or will have.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Proposal {
    /// The version and the token of the submission.
    pub mark: Mark,
    /// The version that it replaces.
    pub base: Mark,
    /// The document.
    pub body: Body,
}

/// A version of the configuration and the token of the submission that made it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Mark {
    /// The version; zero before the first.
    pub version: u64,
    /// The token.
    pub token: u64,
}

/// A document, whole or as a change.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Body {
    /// The whole document.
    Whole(Arc<Document>),
    /// What changes the document that it replaces.
    Change(Arc<Delta>),
}
