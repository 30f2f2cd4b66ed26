//! Messages between instances.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::document::{Delta, Document};
use crate::view::View;

/// A one-way message to a peer.
///
/// Messages can be lost, duplicated and delayed. Handling a message twice is safe, and a message
/// whose effect matters is repeated until the effect is observed. The daemon sends messages as
/// JSON-RPC notifications, with the variant as the method name.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, strum::IntoStaticStr)]
#[serde(tag = "method", content = "params", rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Message {
    /// Requests a renewal of the sender's lease from a watcher; also serves as the heartbeat.
    Renew(Renewal),
    /// Grants a requested lease.
    Granted(Renewal),
    /// Reports which view of its region the sender has applied.
    Applied {
        /// The version of the view.
        version: u64,
        /// Whether the receiver should reply with the version that it has applied.
        reply: bool,
    },
    /// Sends a view to an instance that has an older one.
    View(View),
    /// Sends a document to be staged before it is accepted.
    Stage(Proposal),
    /// Confirms that the sender has staged a document.
    Staged {
        /// The version and token of the submission.
        mark: Mark,
        /// The sender's incarnation.
        incarnation: u64,
    },
    /// Announces that a version was accepted.
    Accepted(Mark),
    /// Requests the receiver's active document if it is newer than the sender's.
    Fetch {
        /// The sender's version.
        version: u64,
    },
    /// Sends the active document.
    Document(Proposal),
    /// Reports to the homes of a revision in other regions whether the sender holds it.
    Holds {
        /// The served name, `adapter@version`.
        name: Arc<str>,
        /// Whether it is loaded on an upstream of the sender.
        held: bool,
    },
}

/// A renewal of a lease, used for both the request and the grant.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Renewal {
    /// The view under which the lease is held.
    pub version: u64,
    /// When the holder sent the request, in microseconds of its own clock; the lease starts then.
    pub sent: u64,
    /// The active configuration version of the holder.
    pub config: u64,
    /// The holder's incarnation.
    pub incarnation: u64,
}

/// A document with the version that it has or will have.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Proposal {
    /// The version and the token of the submission.
    pub mark: Mark,
    /// The version that it replaces or applies to.
    pub base: Mark,
    /// The document.
    pub body: Body,
}

/// A version of the configuration and the token of the submission that created it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Mark {
    /// The version; zero before the first.
    pub version: u64,
    /// The token.
    pub token: u64,
}

/// A document, either whole or as a change of its base.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Body {
    /// The whole document.
    Whole(Arc<Document>),
    /// The change of the base document.
    Change(Arc<Delta>),
}
