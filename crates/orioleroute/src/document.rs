//! The configuration document that operators submit.
//!
//! `docs/CONFIGURATION.md` describes every field. [`Document::from_json`] reads and checks a document.
//! It reports all faults at once, so that an operator's form can mark all invalid fields together.

use std::sync::Arc;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

mod check;
mod delta;
mod schema;

pub use check::Fault;
pub use delta::Delta;

/// The version of the format that this release reads.
pub const FORMAT: u32 = 1;

/// A whole configuration.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Document {
    /// The version of the format, [`FORMAT`].
    pub format: u32,
    /// The base models.
    pub models: Vec<Model>,
    /// The groups of upstreams that are alike.
    pub pools: Vec<Pool>,
    /// The adapters.
    pub adapters: Vec<Adapter>,
    /// The plain services.
    #[serde(default)]
    pub services: Vec<Service>,
    /// The weights and bounds of routing and placement.
    #[serde(default)]
    pub policy: Policy,
}

/// A base model.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Model {
    /// The name.
    pub name: Arc<str>,
}

/// A group of model engines that are alike.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Pool {
    /// The name, which the platform's instance list refers to.
    pub name: Arc<str>,
    /// The base model that its engines run.
    pub model: Arc<str>,
    /// The adapters that one engine holds at a time.
    pub slots: u32,
    /// The requests that one engine runs at a time at full speed.
    #[serde(default = "default_concurrency")]
    pub concurrency: u32,
    /// Whether its engines refuse orders with an old fencing number.
    #[serde(default)]
    pub fencing: Fencing,
}

/// Whether an engine checks fencing numbers.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema, strum::Display,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Fencing {
    /// Orders with an old fencing number are refused.
    Checked,
    /// The fencing number is ignored, so a new owner must wait before it gives orders.
    #[default]
    Ignored,
}

/// An adapter and the versions of it that may be named.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Adapter {
    /// The name.
    pub name: Arc<str>,
    /// The base model.
    pub model: Arc<str>,
    /// The versions that requests may name.
    pub versions: Vec<Arc<str>>,
    /// The version that answers a request that names none.
    pub default: Arc<str>,
    /// The regions in which it may run; all if empty.
    #[serde(default)]
    pub regions: Vec<Arc<str>>,
    /// How much its requests matter.
    #[serde(default)]
    pub importance: Importance,
    /// Whether it stays loaded once it is.
    #[serde(default)]
    pub pinned: bool,
    /// The requests that may wait for it at one instance.
    #[serde(default = "default_queue")]
    pub queue: u32,
}

/// How much a request matters; the least important is refused first.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
    JsonSchema,
    strum::Display,
    strum::EnumString,
    strum::EnumIter,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Importance {
    /// Refused first.
    Low,
    /// The usual.
    #[default]
    Normal,
    /// Refused last.
    High,
}

/// A plain service that requests are passed through to.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// The name, the first segment of the path after `/services/`.
    pub name: Arc<str>,
    /// The pool name under which the platform lists its instances.
    pub pool: Arc<str>,
    /// Whether a call may be sent again when its outcome is unknown.
    #[serde(default)]
    pub repeatable: bool,
}

/// The weights and bounds of routing and placement.
///
/// `docs/POLICY.md` tells how to set them from the measures.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct Policy {
    /// What a request that waits for a load costs against one unit of batch efficiency.
    pub stall_weight: f64,
    /// What a batch run below its full size costs.
    pub batch_weight: f64,
    /// The wait in milliseconds that sending a request to another region must save.
    pub region_penalty_ms: u32,
    /// The loads in transit across all instances.
    pub loads_in_transit: u32,
    /// The longest time a request may take when it names no deadline, in milliseconds.
    pub deadline_ms: u32,
}

impl Default for Policy {
    fn default() -> Self {
        Self {
            stall_weight: 1.0,
            batch_weight: 1.0,
            region_penalty_ms: 200,
            loads_in_transit: 8,
            deadline_ms: 30_000,
        }
    }
}

impl Document {
    /// Reads and checks a document.
    ///
    /// # Errors
    ///
    /// Returns every fault, each with its path, the value found and the values allowed.
    ///
    /// # Examples
    ///
    /// ```
    /// use orioleroute::document::Document;
    ///
    /// let text = r#"{
    ///     "format": 1,
    ///     "models": [{ "name": "notice-7b" }],
    ///     "pools": [{ "name": "notices", "model": "notice-7b", "slots": 8 }],
    ///     "adapters": [{
    ///         "name": "leap-second",
    ///         "model": "notice-7b",
    ///         "versions": ["v1"],
    ///         "default": "v1"
    ///     }]
    /// }"#;
    /// assert!(Document::from_json(text).is_ok());
    /// let faults = Document::from_json(&text.replace("\"v1\"]", "\"v2\"]")).unwrap_err();
    /// assert_eq!(faults[0].path, "adapters[0].default");
    /// ```
    pub fn from_json(text: &str) -> Result<Self, Vec<Fault>> {
        let document = check::parse(text)?;
        let faults = check::faults(&document);
        if faults.is_empty() { Ok(document) } else { Err(faults) }
    }

    /// Returns the JSON schema of the format, which `schema/configuration.json` publishes.
    pub fn schema() -> &'static serde_json::Value {
        schema::schema()
    }

    /// Returns the document as JSON text.
    pub fn to_json(&self) -> String {
        serde_json::to_string(self).expect("documents have text keys only")
    }
}

fn default_concurrency() -> u32 {
    16
}

fn default_queue() -> u32 {
    64
}
