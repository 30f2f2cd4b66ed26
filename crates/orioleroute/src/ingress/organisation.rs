//! The organisations whose requests carry keys, and what they may ask for.
//!
//! A key is known only by its digest, so that a configuration can be logged, passed between instances and compared without
//! revealing one. `docs/design/tenants.md` says who decides and what an instance does that lags.

use super::priority::Priority;
use crate::hash;
use crate::prelude::*;

/// Separates digests of keys from digests of anything else.
const KEY_CONTEXT: &str = "orioleroute 2026-12-06 keys of organisations";

/// A customer of the operator, whose requests carry one of its keys.
#[derive(Clone, Debug, PartialEq)]
pub struct Organisation {
    /// Its name, by which upstreams know it.
    pub name: Arc<str>,
    /// Its keys. It may have none, if all were taken away.
    pub keys: Vec<KeyDigest>,
    /// The priority of its requests, which goes before that of their routes; 0 is the highest.
    pub priority: Option<Priority>,
    /// The most that it may ask for over all instances, if it is limited.
    pub quota: Option<Quota>,
}

/// The most that an organisation may ask for, over all instances.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Quota {
    /// The units a second.
    pub rate: f64,
    /// The units beyond the rate that may be asked for at once.
    pub burst: f64,
    /// What is counted.
    pub unit: Unit,
    /// The tokens that a request counts for that states none.
    pub default_tokens: u64,
}

/// What a quota counts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Unit {
    /// Requests.
    #[default]
    Request,
    /// Tokens of prompts, and the most tokens of the output.
    Token,
}

impl Quota {
    /// Returns the units that a request counts for which states this number of tokens.
    pub fn cost(&self, tokens: Option<u64>) -> u64 {
        match self.unit {
            Unit::Request => 1,
            Unit::Token => tokens.unwrap_or(self.default_tokens),
        }
    }
}

/// The digest of a key. Comparing two takes the same time wherever they differ.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KeyDigest(blake3::Hash);

/// How a digest begins that stands in the place of a key.
const PREFIX: &str = "blake3:";

impl KeyDigest {
    /// Returns the digest of a key.
    pub fn of(key: &[u8]) -> Self {
        Self(blake3::Hash::from_bytes(blake3::derive_key(KEY_CONTEXT, key)))
    }

    /// Returns the digest that a text states, or that of the text if it is a key.
    pub fn parse(text: &str) -> Self {
        let stated = text.strip_prefix(PREFIX).and_then(|hex| blake3::Hash::from_hex(hex).ok());
        stated.map_or_else(|| Self::of(text.as_bytes()), Self)
    }

    /// Returns the start of the digest, by which it is looked up.
    fn bucket(&self) -> u64 {
        hash::digest(&self.0.as_bytes()[..8])
    }
}

impl std::fmt::Display for KeyDigest {
    /// Writes the digest as [`KeyDigest::parse`] reads it.
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "{PREFIX}{}", self.0.to_hex())
    }
}

/// Why a request is not known to be an organisation's.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Unidentified {
    /// It carries no key.
    NoKey,
    /// No organisation has its key, or it carries several.
    UnknownKey,
}

/// The organisations of a configuration.
#[derive(Clone, Debug, Default)]
pub struct Organisations {
    by_name: Map<Arc<str>, Arc<Organisation>>,
    /// The organisations by the start of their keys' digests.
    by_key: Map<u64, Vec<(KeyDigest, Arc<Organisation>)>>,
}

impl Organisations {
    /// Returns whether there are none, so that no request needs a key.
    pub fn is_empty(&self) -> bool {
        self.by_name.is_empty()
    }

    /// Returns the organisation with this name.
    pub fn get(&self, name: &str) -> Option<&Arc<Organisation>> {
        self.by_name.get(name)
    }

    /// Returns all organisations.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<Organisation>> {
        self.by_name.values()
    }

    /// Returns the organisation that has the only one of these keys.
    ///
    /// # Errors
    ///
    /// Fails if there is no key, or more than one, or if no organisation has it.
    pub fn identify<'a>(
        &self,
        keys: impl IntoIterator<Item = &'a [u8]>,
    ) -> Result<&Arc<Organisation>, Unidentified> {
        let mut keys = keys.into_iter();
        let key = keys.next().ok_or(Unidentified::NoKey)?;
        if keys.next().is_some() {
            return Err(Unidentified::UnknownKey);
        }
        let digest = KeyDigest::of(key);
        let candidates = self.by_key.get(&digest.bucket()).into_iter().flatten();
        let found = candidates.into_iter().find(|(known, _)| *known == digest);
        found.map(|(_, organisation)| organisation).ok_or(Unidentified::UnknownKey)
    }
}

impl FromIterator<Organisation> for Organisations {
    fn from_iter<T: IntoIterator<Item = Organisation>>(organisations: T) -> Self {
        let mut all = Self::default();
        for organisation in organisations {
            let organisation = Arc::new(organisation);
            for digest in &organisation.keys {
                let bucket = all.by_key.entry(digest.bucket()).or_default();
                bucket.push((*digest, organisation.clone()));
            }
            all.by_name.insert(organisation.name.clone(), organisation);
        }
        all
    }
}
