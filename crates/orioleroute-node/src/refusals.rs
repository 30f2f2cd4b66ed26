//! Tells the operator of rows that are not put in force: in the log, in metrics and in a table of the store that the operator
//! reads. The decisions are in `orioleroute::ingress::refusal`.

use std::rc::Rc;
use std::time::{SystemTime, UNIX_EPOCH};

use orioleroute::ingress::Version;
use orioleroute::ingress::feed::{self, Row, Table};
use orioleroute::ingress::refusal::{Correction, Refusal};
use orioleroute::prelude::*;
use orioleroute_platform::records;
use orioleroute_platform::store::{self, Commit, Write};
use slog::{info, warn};

use crate::gateway::Gateway;

/// How often an instance checks whether the operator has to be told something.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// The delay before a failed call is retried. The operator can wait for what the store cannot take.
const RETRY_DELAY: Duration = Duration::from_secs(2);

/// The most rows that are written in one transaction, which the store limits to 100 entries, of which each write is two.
const MAX_WRITES: usize = 50;

/// Records whether a row of the operator's table is refused.
pub fn observe(gateway: &Gateway, row: &Row, error: Option<&records::Error>) {
    let version = Version::from(row.version);
    match error {
        Some(error) => {
            let value = row.value.as_ref();
            let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
            let refusal = Refusal {
                row_version: row.version,
                stated_version: value.and_then(|value| records::stated_version(value.as_bytes())),
                path: error.path.clone(),
                cause: error.cause.clone(),
                since_ms: u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX),
                in_force: version_in_force(gateway, &row.key),
            };
            metrics::counter!("orioleroute_rows_malformed_total", "table" => <&str>::from(Table::Operator))
                .increment(1);
            warn!(gateway.log, "malformed row"; "table" => Table::Operator.to_string(),
                "row" => &*row.key, "error" => error.reason(), "path" => &*error.path,
                "row_version" => version.number, "era" => version.era,
                "version" => refusal.stated_version, "in_force" => refusal.in_force,
                "since_ms" => refusal.since_ms);
            gateway.refusals().refuse(&row.key, refusal);
        }
        None => {
            let refusal = gateway.refusals().accept(&row.key, row.version);
            if let Some(refusal) = refusal {
                info!(gateway.log, "row no longer refused"; "row" => &*row.key,
                    "row_version" => version.number, "refused" => refusal.stated_version,
                    "since_ms" => refusal.since_ms, "in_force" => version_in_force(gateway, &row.key));
            }
        }
    }
    metrics::gauge!("orioleroute_rows_refused").set(gateway.refusals().len() as f64);
}

/// Returns the version of what is in force under the key of a row.
fn version_in_force(gateway: &Gateway, key: &str) -> Option<u64> {
    let in_force = gateway.in_force(|record| &*record.key == key);
    in_force.first().and_then(|record| records::stated_version(record.value.as_bytes()))
}

/// Keeps the rows that tell the operator of refusals, as one of the instances that read the store, forever. A process that
/// begins to read it looks once at what earlier ones have written.
pub async fn run(gateway: Rc<Gateway>) {
    let jitter = feed::jitter(&gateway.roster().own().name);
    monoio::time::sleep(jitter).await;
    let mut told = None;
    loop {
        monoio::time::sleep(CHECK_INTERVAL).await;
        let changes = gateway.refusals().changes();
        let has_read = gateway.feed.version(Table::Operator).is_some();
        if !gateway.feed.is_reader() || !has_read || told == Some(changes) {
            continue;
        }
        match tell(&gateway).await {
            Ok(is_all) => told = is_all.then_some(changes),
            Err(error) => {
                warn!(gateway.log, "refused rows not written"; "error" => error.to_string());
                monoio::time::sleep(RETRY_DELAY).await;
            }
        }
    }
}

/// Writes what the operator has not been told yet, and removes what is no longer true. Returns whether that is all: another
/// instance may have written meanwhile.
async fn tell(gateway: &Gateway) -> Result<bool, store::Error> {
    let rows = gateway.store.read(records::STATUS_TABLE).await?;
    let told = rows.rows.iter().map(|row| {
        let refusal = row.value.as_ref().and_then(|value| records::refusal(value));
        (Arc::from(&*row.key), refusal)
    });
    let told = told.collect();
    let versions: Map<&str, u64> = rows.rows.iter().map(|it| (&*it.key, it.version)).collect();
    let known = gateway.feed.version(Table::Operator).unwrap_or_default();
    let corrections = {
        let mut refusals = gateway.refusals();
        refusals.set_in_force(|key| version_in_force(gateway, key));
        refusals.corrections(&told, known)
    };
    let writes = corrections.iter().take(MAX_WRITES).map(|(key, correction)| Write {
        table: records::STATUS_TABLE,
        key: key.to_string(),
        expected_version: Some(versions.get(&**key).copied().unwrap_or_default()),
        value: match correction {
            Correction::Write(refusal) => Some(records::refusal_row(refusal)),
            Correction::Remove => None,
        },
    });
    let writes: Vec<Write> = writes.collect();
    if writes.is_empty() {
        return Ok(true);
    }
    let commit = gateway.store.commit(&writes).await?;
    Ok(matches!(commit, Commit::Committed(_)) && writes.len() == corrections.len())
}
