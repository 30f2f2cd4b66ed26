//! Cost of a routing decision and of a placement decision, at the current and the target size.
//!
//! One instance decides among the upstreams that it owns, but the fleet and the catalog in which it
//! looks them up have full size. Results are in `docs/CAPACITY-decisions.md`.

use std::hint::black_box;
use std::sync::Arc;

use criterion::Criterion;
use orioleroute::catalog::Catalog;
use orioleroute::demand::Demand;
use orioleroute::document::{Adapter, Document, Importance};
use orioleroute::fleet::{Fleet, Residency, Resident};
use orioleroute::hash::{digest, score};
use orioleroute::instance::{Listing, Phase};
use orioleroute::key;
use orioleroute::placement::{self, Candidate};
use orioleroute::prelude::Instant;
use orioleroute::routing;

const SLOTS: u32 = 8;
const CONCURRENCY: u32 = 16;

/// The number of instances, upstreams and adapters of a deployment.
#[derive(Clone, Copy)]
struct Size {
    name: &'static str,
    instances: usize,
    upstreams: usize,
    adapters: usize,
}

const SIZES: [Size; 4] = [
    Size { name: "today", instances: 9, upstreams: 18, adapters: 3_000 },
    Size { name: "aim", instances: 360, upstreams: 12_000, adapters: 24_000 },
    Size { name: "aim, 3,000 adapters", instances: 360, upstreams: 12_000, adapters: 3_000 },
    Size { name: "aim, 96,000 adapters", instances: 360, upstreams: 12_000, adapters: 96_000 },
];

/// The state from which one instance decides.
struct State {
    catalog: Catalog,
    fleet: Fleet,
    demand: Demand,
    names: Vec<Arc<str>>,
    owned: Vec<key::Upstream>,
    /// The digests of the names of all instances.
    instances: Vec<u64>,
}

fn document(size: Size) -> Document {
    let adapters = (0..size.adapters).map(|adapter| Adapter {
        name: format!("adapter-{adapter}").into(),
        model: "base".into(),
        versions: vec!["v1".into()],
        default: "v1".into(),
        regions: Vec::new(),
        importance: Importance::Normal,
        pinned: false,
        queue: 64,
    });
    Document { adapters: adapters.collect(), ..Document::default() }
}

fn catalog(document: &Document) -> Catalog {
    let mut catalog = Catalog::default();
    catalog.apply(document);
    catalog
}

fn listings(size: Size) -> Vec<Listing> {
    (0..size.upstreams)
        .map(|upstream| Listing {
            name: format!("upstream-{upstream}").into(),
            pool: "pool".into(),
            address: ([127, 0, 0, 1], 1_000).into(),
            region: "zurich".into(),
            zone: "zurich-1".into(),
            phase: Phase::Live,
        })
        .collect()
}

fn fleet(listings: &[Listing]) -> Fleet {
    let mut fleet = Fleet::default();
    fleet.apply_listing(listings);
    fleet
}

fn state(size: Size) -> State {
    let catalog = catalog(&document(size));
    let mut fleet = fleet(&listings(size));
    let names: Vec<Arc<str>> =
        (0..size.adapters).map(|adapter| format!("adapter-{adapter}").into()).collect();
    let owned: Vec<key::Upstream> =
        fleet.iter().map(|(key, _)| key).take(size.upstreams.div_ceil(size.instances)).collect();
    let mut demand = Demand::default();
    let mut adapters = (0..size.adapters).cycle();
    for key in &owned {
        let upstream = fleet.get_mut(*key).expect("the upstream is listed");
        upstream.reported_at = Some(Instant::from_micros(u64::MAX / 2));
        for _ in 0..SLOTS {
            let name = &names[adapters.next().expect("the iterator is endless")];
            let revision = catalog.resolve(name).expect("the adapter is in the catalog");
            demand.observe(Instant::ZERO, revision);
            let resident = Resident::new(Residency::Loaded, 0, Instant::ZERO);
            upstream.residents.insert(revision, resident);
        }
    }
    let instances = (0..size.instances).map(|node| digest(&*format!("node-{node}"))).collect();
    State { catalog, fleet, demand, names, owned, instances }
}

/// Resolves the name, selects the home among the instances of a region and chooses an upstream.
fn route(state: &State, name: &str, region: &[u64]) -> Option<(usize, key::Upstream)> {
    let revision = state.catalog.resolve(name)?;
    let item = state.catalog.revision(revision).digest;
    let scores = region.iter().map(|node| score(item, *node, 34)).enumerate();
    let home = scores.max_by(|one, other| one.1.total_cmp(&other.1))?.0;
    let owned = state.owned.iter().copied();
    let (upstream, _) = routing::choose(Instant::ZERO, &state.fleet, owned, revision)?;
    Some((home, upstream))
}

fn decisions(criterion: &mut Criterion) {
    for size in SIZES {
        let state = state(size);
        let regions = if size.instances > 100 { 5 } else { 3 };
        let region = &state.instances[..size.instances / regions];
        let loaded = state.names[0].clone();
        let id = format!("route, {}", size.name);
        criterion.bench_function(&id, |bencher| {
            bencher.iter(|| route(black_box(&state), black_box(&loaded), region));
        });
        let cold = state.names[size.adapters - 1].clone();
        let revision = state.catalog.resolve(&cold).expect("the adapter is in the catalog");
        let id = format!("place, {}", size.name);
        criterion.bench_function(&id, |bencher| {
            bencher.iter(|| {
                let candidates = state.owned.iter().map(|key| Candidate {
                    upstream: *key,
                    slots: SLOTS,
                    concurrency: CONCURRENCY,
                });
                let value = |key| Some(state.demand.rate(Instant::ZERO, key));
                placement::plan(
                    Instant::ZERO,
                    black_box(&state.fleet),
                    candidates,
                    revision,
                    2.0,
                    value,
                )
            });
        });
    }
}

/// Prints the growth of the resident memory while indexes of different sizes are built.
///
/// The inputs are allocated beforehand and nothing is freed in between, because an index that reuses
/// freed memory would not add to the resident memory.
fn print_memory_growth() {
    const COUNTS: [usize; 4] = [12_000, 24_000, 48_000, 96_000];
    let documents = COUNTS.map(|adapters| document(Size { adapters, ..SIZES[0] }));
    let lists = COUNTS.map(|upstreams| listings(Size { upstreams, ..SIZES[0] }));
    let mut catalogs = Vec::new();
    let mut fleets = Vec::new();
    for document in &documents {
        let before = resident_bytes();
        catalogs.push(catalog(document));
        println!(
            "memory: {} adapters, {} bytes",
            document.adapters.len(),
            resident_bytes() - before
        );
    }
    for listings in &lists {
        let before = resident_bytes();
        fleets.push(fleet(listings));
        println!("memory: {} upstreams, {} bytes", listings.len(), resident_bytes() - before);
    }
    black_box((catalogs, fleets));
}

/// Returns the resident memory of this process in bytes, as reported by the kernel.
fn resident_bytes() -> i64 {
    let text = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kibibytes = line.and_then(|line| line.split_whitespace().next()?.parse::<i64>().ok());
    kibibytes.unwrap_or(0) * 1_024
}

fn main() {
    print_memory_growth();
    let mut criterion = Criterion::default().configure_from_args();
    decisions(&mut criterion);
    criterion.final_summary();
}
