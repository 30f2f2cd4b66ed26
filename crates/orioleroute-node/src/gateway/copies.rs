//! Records in the store which adapters the engines of a zone have copies of, so that a new scheduler of
//! the zone loads them from there and not from the weight store.

use std::rc::Rc;

use orioleroute::prelude::*;
use orioleroute::scheduler::copies::EngineCopies;
use orioleroute_platform::store::Write;
use slog::debug;

use super::state::Gateway;

/// The table with a row for each zone.
const COPIES_TABLE: &str = "copies";

/// How often the copies are recorded while they change. Within this time a few adapters are loaded, so a
/// record that is this old names most copies.
const RECORD_INTERVAL: Duration = Duration::from_millis(5_000);

/// Records the copies of the zones that this instance schedules, forever.
pub async fn run(gateway: Rc<Gateway>) {
    let mut recorded: Map<Arc<str>, Vec<EngineCopies>> = Map::default();
    loop {
        monoio::time::sleep(RECORD_INTERVAL).await;
        for (zone, copies) in gateway.leadership.copies() {
            if recorded.get(&zone) == Some(&copies) {
                continue;
            }
            let value = serde_json::to_vec(&copies).ok();
            let key = zone.to_string();
            let write = Write { table: COPIES_TABLE, key, expected_version: None, value };
            match gateway.store.commit(&[write]).await {
                Ok(_) => drop(recorded.insert(zone, copies)),
                // The next record follows; an older one names most copies, too.
                Err(error) => {
                    debug!(gateway.log, "recording copies failed"; "zone" => &*zone,
                        "error" => error.to_string());
                }
            }
        }
    }
}

/// Reads the recorded copies of all zones and passes them to the schedulers that run here. A scheduler
/// works without them, so a failed read is not repeated.
pub async fn restore(gateway: Rc<Gateway>) {
    match gateway.store.read(COPIES_TABLE).await {
        Ok(read) => {
            for row in read.rows {
                let copies = row.value.as_deref().map(serde_json::from_slice);
                if let Some(Ok(copies)) = copies {
                    gateway.leadership.restore_copies(&row.key, copies);
                }
            }
        }
        Err(error) => {
            debug!(gateway.log, "reading copies failed"; "error" => error.to_string());
        }
    }
}
