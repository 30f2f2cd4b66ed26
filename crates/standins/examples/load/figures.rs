//! A benchmark of one node. Each run of latency and throughput also measures direct calls to the
//! engine for comparison.

use std::io::{Error, Read, Result, Write};
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use orioleroute_wire::client::Pool;
use orioleroute_wire::runtime;

use crate::stream;
use crate::system::{PACED, System, UNPACED};

/// The number of concurrent streams of a light load.
const LIGHT_STREAMS: usize = 4;

/// The number of requests per stream of a light load.
const LIGHT_REQUESTS: usize = 4;

/// The number of tokens per response of a light load.
const LIGHT_TOKENS: u32 = 40;

/// The numbers of concurrent streams of the throughput benchmark, each with its tokens per stream.
const THROUGHPUT_LOADS: [(usize, u32); 3] = [(1, 100_000), (64, 3_000), (512, 400)];

/// The number of idle connections of the memory benchmark.
const IDLE_CONNECTIONS: usize = 2_000;

/// The number of concurrent streams of the memory benchmark.
const MEMORY_STREAMS: usize = 512;

/// Prints all results. Latency and throughput are medians of `runs` paired runs.
///
/// # Errors
///
/// Fails if the system cannot be started, an adapter does not respond, or a file in `/proc` cannot
/// be read.
pub fn run(runs: u32) -> Result<()> {
    let system = System::start()?;
    for model in [PACED, UNPACED] {
        let warm = runtime::block_on(batch(system.callers, model, 1, 1, 5));
        if warm.failed > 0 {
            return Err(Error::other(format!("the warm-up request to {model} failed")));
        }
    }
    latency(&system, runs);
    throughput(&system, runs)?;
    memory(&system)
}

/// The combined results of several streams.
struct Batch {
    first_token_us: Histogram<u64>,
    token_delay_us: Histogram<u64>,
    tokens: u64,
    failed: u64,
    elapsed: Duration,
}

/// Runs `streams` concurrent streams that each send `requests` requests one after another.
async fn batch(
    address: SocketAddr,
    model: &'static str,
    streams: usize,
    requests: usize,
    tokens: u32,
) -> Batch {
    let start = Instant::now();
    let pool = Rc::new(Pool::new());
    let tasks: Vec<_> = (0..streams)
        .map(|_| {
            let pool = pool.clone();
            monoio::spawn(async move {
                let mut outcomes = Vec::new();
                for _ in 0..requests {
                    outcomes.push(stream::run(&pool, address, model, tokens).await);
                }
                outcomes
            })
        })
        .collect();
    let histogram = || Histogram::new(3).expect("three digits are allowed");
    let mut batch = Batch {
        first_token_us: histogram(),
        token_delay_us: histogram(),
        tokens: 0,
        failed: 0,
        elapsed: Duration::ZERO,
    };
    for task in tasks {
        for outcome in task.await {
            batch.failed += u64::from(outcome.error.is_some());
            batch.tokens += outcome.tokens;
            let first = outcome.time_to_first_token.unwrap_or_default();
            let _ = batch.first_token_us.record(first.as_micros() as u64);
            for delay in outcome.delays_us {
                let _ = batch.token_delay_us.record(delay);
            }
        }
    }
    batch.elapsed = start.elapsed();
    batch
}

fn latency(system: &System, runs: u32) {
    let mut added = vec![Vec::new(); 4];
    let mut failed = 0;
    for run in 1..=runs {
        eprintln!("latency, run {run} of {runs}");
        let light = |address| {
            runtime::block_on(batch(address, PACED, LIGHT_STREAMS, LIGHT_REQUESTS, LIGHT_TOKENS))
        };
        let (direct, through) = (light(system.paced), light(system.callers));
        failed += direct.failed + through.failed;
        let pairs = [
            (&direct.first_token_us, &through.first_token_us, 0.5),
            (&direct.first_token_us, &through.first_token_us, 0.99),
            (&direct.token_delay_us, &through.token_delay_us, 0.5),
            (&direct.token_delay_us, &through.token_delay_us, 0.99),
        ];
        for (index, (direct, through, quantile)) in pairs.into_iter().enumerate() {
            let at = |histogram: &Histogram<u64>| histogram.value_at_quantile(quantile) as f64;
            added[index].push((at(through) - at(direct)) / 1e3);
        }
    }
    println!(
        "light load: {LIGHT_STREAMS} streams of {LIGHT_TOKENS} tokens, medians of {runs} paired runs"
    );
    println!("failed requests                   {failed}");
    let names = ["first token, p50", "first token, p99", "each token, p50", "each token, p99"];
    for (name, values) in names.iter().zip(added) {
        println!("added to {name:<17}        {:.3} ms", median(values));
    }
}

fn throughput(system: &System, runs: u32) -> Result<()> {
    println!("unpaced streams through the node, medians of {runs} runs");
    for (streams, tokens) in THROUGHPUT_LOADS {
        let (mut rates, mut per_cpu, mut direct_rates, mut failed) = (vec![], vec![], vec![], 0);
        for run in 1..=runs {
            eprintln!("{streams} streams, run {run} of {runs}");
            let load = |address| runtime::block_on(batch(address, UNPACED, streams, 1, tokens));
            let direct = load(system.unpaced);
            let before = cpu_seconds(system)?;
            let through = load(system.callers);
            let cpu = cpu_seconds(system)? - before;
            failed += direct.failed + through.failed;
            direct_rates.push(direct.tokens as f64 / direct.elapsed.as_secs_f64());
            rates.push(through.tokens as f64 / through.elapsed.as_secs_f64());
            per_cpu.push(through.tokens as f64 / cpu);
        }
        println!(
            "{streams:>4} streams  {:>9.0} tokens/s  {:>9.0} tokens per CPU second  \
             {:>9.0} tokens/s directly  {failed} failed",
            median(rates),
            median(per_cpu),
            median(direct_rates)
        );
    }
    Ok(())
}

fn memory(system: &System) -> Result<()> {
    let before = resident_bytes(system)?;
    let mut idle = Vec::new();
    for _ in 0..IDLE_CONNECTIONS {
        let mut stream = TcpStream::connect(system.callers)?;
        stream.write_all(b"GET /v1/models HTTP/1.1\r\nhost: a\r\n\r\n")?;
        let mut part = [0_u8; 2048];
        let _ = stream.read(&mut part)?;
        idle.push(stream);
    }
    let with_idle = resident_bytes(system)?;
    drop(idle);
    let address = system.callers;
    let streaming = std::thread::spawn(move || {
        runtime::block_on(batch(address, PACED, MEMORY_STREAMS, 1, 300)).failed
    });
    std::thread::sleep(Duration::from_millis(1_500));
    let with_streams = resident_bytes(system)?;
    let failed = streaming.join().unwrap_or(u64::MAX);
    println!("resident memory of the node       {} KiB", before >> 10);
    println!(
        "for each idle connection          {} bytes",
        (with_idle - before) / IDLE_CONNECTIONS as u64
    );
    let added = with_streams.saturating_sub(before) / MEMORY_STREAMS as u64;
    println!("for each stream, at most          {added} bytes, {failed} failed");
    Ok(())
}

fn proc_file(system: &System, name: &str) -> Result<String> {
    std::fs::read_to_string(format!("/proc/{}/{name}", system.node.id()))
}

/// Returns the processor time used by the node, in seconds.
fn cpu_seconds(system: &System) -> Result<f64> {
    const TICKS_PER_SECOND: f64 = 100.0;
    let stat = proc_file(system, "stat")?;
    let fields: Vec<&str> = stat.rsplit(')').next().unwrap_or_default().split(' ').collect();
    // Fields 14 and 15 are the user and system time. The split starts after the name, so index 0 is the
    // space before field 3 and index 1 is field 3.
    let ticks: f64 = fields[12..14].iter().filter_map(|text| text.parse::<f64>().ok()).sum();
    Ok(ticks / TICKS_PER_SECOND)
}

fn resident_bytes(system: &System) -> Result<u64> {
    let status = proc_file(system, "status")?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kib = line.and_then(|line| line.split_whitespace().next()?.parse::<u64>().ok());
    kib.map(|kib| kib << 10).ok_or_else(|| Error::other("the status file has no resident size"))
}

fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied().unwrap_or_default()
}
