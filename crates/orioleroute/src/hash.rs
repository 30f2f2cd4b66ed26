//! Hash maps with a fast hasher, and rendezvous hashing.

use std::hash::{Hash, Hasher};

/// A hash map with a fast hasher that does not resist collision attacks, for keys that clients cannot
/// choose freely.
pub type Map<K, V> = rustc_hash::FxHashMap<K, V>;

/// A hash set with a fast hasher that does not resist collision attacks, for values that clients cannot
/// choose freely.
pub type Set<T> = rustc_hash::FxHashSet<T>;

/// Returns a hash of `value` that is the same in every process and release.
pub fn digest(value: &(impl Hash + ?Sized)) -> u64 {
    let mut hasher = rustc_hash::FxHasher::default();
    value.hash(&mut hasher);
    mix(hasher.finish())
}

/// Returns the rendezvous weight of `node` for `item`; the highest weight wins.
///
/// Both arguments are results of [`digest`]. Adding or removing a node moves only the items that it
/// wins or had won, which is why ownership uses rendezvous hashing: see `docs/DESIGN.md`, section
/// "Ownership".
pub fn weight(item: u64, node: u64) -> u64 {
    mix(item ^ node.rotate_left(32))
}

/// Returns the weighted rendezvous score of `node` for `item`; the highest score wins. A node wins
/// `shares` times as often as a node with one share.
///
/// The score is `-shares / ln(u)` with *u* drawn uniformly from (0, 1) by [`weight`], as in weighted
/// rendezvous hashing: a change of one node's shares moves only items to or from that node.
pub fn score(item: u64, node: u64, shares: u32) -> f64 {
    // 53 bits fill the mantissa; adding 0.5 keeps the logarithm finite and negative.
    let uniform = ((weight(item, node) >> 11) as f64 + 0.5) / (1_u64 << 53) as f64;
    -f64::from(shares) / uniform.ln()
}

/// Returns the node with the highest weight for `item`, or `None` if there are no nodes.
pub fn winner<N: Copy>(item: u64, nodes: impl IntoIterator<Item = (u64, N)>) -> Option<N> {
    nodes.into_iter().max_by_key(|(node, _)| weight(item, *node)).map(|(_, node)| node)
}

/// Spreads the bits of a weak hash over the whole word (the finalizer of SplitMix64).
fn mix(mut bits: u64) -> u64 {
    bits = (bits ^ (bits >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    bits = (bits ^ (bits >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    bits ^ (bits >> 31)
}
