//! The stand-ins and checks of the cases in `review/11` and later. `standins-3 CASE FOLDER` runs a case against the
//! project's programs and writes `FOLDER/record.txt`. It exits with 1 if the rule was broken, 0 if it held, and 2 if the
//! case could not run. With `TROUBLE=0` it does the same without the disruption.

mod cases;
mod client;
mod engine;
mod http;
mod json;
mod node;
mod record;
mod runner;
mod settings;
mod store;

use std::path::PathBuf;
use std::process::exit;
use std::sync::Arc;

use record::Record;

/// What a case has shown.
pub enum Verdict {
    Held(String),
    Broken(String),
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder] = &arguments[..] else {
        eprintln!("usage: standins-3 CASE FOLDER");
        exit(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = Arc::new(Record::new());
    let case = match &**case {
        "ranked-routes" => cases::ranked_routes,
        "adapter-weights" => cases::adapter_weights,
        "slow-readers" => cases::slow_readers,
        other => {
            eprintln!("unknown case {other}");
            exit(2);
        }
    };
    // A panic ends the instances as well, because they are dropped.
    let ran = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| case(&record, has_trouble)));
    let code = match ran {
        Ok(Ok(Verdict::Held(what))) => {
            record.say(format!("held: {what}"));
            0
        }
        Ok(Ok(Verdict::Broken(what))) => {
            record.say(format!("broken: {what}"));
            1
        }
        Ok(Err(error)) => {
            record.say(format!("could not run: {error}"));
            2
        }
        Err(_) => {
            record.say("could not run: the script failed".to_owned());
            2
        }
    };
    if let Err(error) = record.write(&PathBuf::from(folder).join("record.txt")) {
        eprintln!("record.txt: {error}");
        exit(2);
    }
    exit(code);
}
