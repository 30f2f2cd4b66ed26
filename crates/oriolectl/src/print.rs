//! Prints answers as tables or JSON and maps them to exit codes.

use std::collections::BTreeMap;

use orioleroute::document::Document;
use orioleroute::operator::{Answer, Status};

/// The command failed.
pub const FAILED: u8 = 1;

/// The command line is invalid.
pub const USAGE: u8 = 2;

/// The document has faults.
const INVALID: u8 = 3;

/// Another document was accepted first.
const CONFLICT: u8 = 4;

/// The document is not accepted yet.
const PENDING: u8 = 5;

/// Prints the outcome of a check and returns the exit code.
pub fn check(answer: &Answer, json: bool) -> u8 {
    match answer {
        Answer::Accepted { .. } if !json => {
            println!("no faults");
            0
        }
        _ => self::answer(answer, json),
    }
}

/// Prints an answer and returns the exit code.
pub fn answer(answer: &Answer, json: bool) -> u8 {
    if json {
        println!("{}", serde_json::to_string(answer).unwrap_or_default());
    } else {
        print_text(answer);
    }
    match answer {
        Answer::Invalid { .. } => INVALID,
        Answer::Conflict { .. } => CONFLICT,
        Answer::Pending { .. } => PENDING,
        Answer::Failed { .. } => FAILED,
        _ => 0,
    }
}

fn print_text(answer: &Answer) {
    match answer {
        Answer::Accepted { version } => println!("accepted as version {version}"),
        Answer::Invalid { faults } => {
            for fault in faults {
                println!("{fault}");
            }
            println!("{} faults; nothing was accepted", faults.len());
        }
        Answer::Conflict { version } => {
            println!("version {version} was accepted first; nothing was accepted");
        }
        Answer::Pending { version, regions } => {
            println!("version {version} is pending; missing: {}", regions.join(", "));
        }
        Answer::Document { document, .. } => println!("{document}"),
        Answer::Status(status) => print_status(status),
        Answer::Explanation(explanation) => {
            println!("served name  {}", explanation.name);
            println!("homes        {}", explanation.homes.join(", "));
            println!("loaded on    {}", explanation.loaded.join(", "));
            println!("waiting      {}", explanation.waiting);
            println!("reason       {}", explanation.reason);
        }
        Answer::Draining => println!("draining"),
        Answer::Failed { reason } => println!("failed: {reason}"),
    }
}

fn print_status(status: &Status) {
    println!("version in force  {}", status.version);
    if let Some(staged) = status.staged {
        println!("version staged    {staged}");
    }
    println!("lease             {}", if status.lease { "fresh" } else { "lapsed" });
    println!("\n{:<20} {:<20} {:>10}", "INSTANCE", "REGION", "VERSION");
    for instance in &status.instances {
        let version = instance.version.map_or("unknown".into(), |version| version.to_string());
        println!("{:<20} {:<20} {:>10}", instance.name, instance.region, version);
    }
    println!("\n{:<20} {:<16} {:<10} {:>8} LOADED", "UPSTREAM", "REGION", "HOLDS", "RUNNING");
    for upstream in &status.upstreams {
        println!(
            "{:<20} {:<16} {:<10} {:>8} {}",
            upstream.name,
            upstream.region,
            upstream.holding.to_string(),
            upstream.running,
            upstream.loaded.join(" ")
        );
    }
}

/// Prints a value as JSON.
pub fn json(value: &impl serde::Serialize) {
    println!("{}", to_json(value));
}

/// Prints what a document would change.
pub fn diff(old: &Document, new: &Document) {
    let old = lines(old);
    let new = lines(new);
    for (name, text) in &old {
        match new.get(name) {
            None => println!("- {name} {text}"),
            Some(changed) if changed != text => println!("~ {name} {text}\n      -> {changed}"),
            Some(_) => {}
        }
    }
    for (name, text) in new.iter().filter(|(name, _)| !old.contains_key(*name)) {
        println!("+ {name} {text}");
    }
}

/// Returns the JSON of each part of a document by its kind and name.
fn lines(document: &Document) -> BTreeMap<String, String> {
    let mut lines = BTreeMap::new();
    for model in &document.models {
        lines.insert(format!("model {}", model.name), to_json(model));
    }
    for pool in &document.pools {
        lines.insert(format!("pool {}", pool.name), to_json(pool));
    }
    for adapter in &document.adapters {
        lines.insert(format!("adapter {}", adapter.name), to_json(adapter));
    }
    for service in &document.services {
        lines.insert(format!("service {}", service.name), to_json(service));
    }
    lines.insert("policy".into(), to_json(&document.policy));
    lines
}

fn to_json(value: &impl serde::Serialize) -> String {
    serde_json::to_string(value).unwrap_or_default()
}
