//! `oriolectl` against node processes: its output and exit codes, which scripts depend on.

use std::io::Write;
use std::net::SocketAddr;
use std::process::{Command, Output};

use rstest::rstest;
use serde_json::{Value, json};
use standins::process::{Process, binary_path};
use standins::system::{
    self, OPERATOR_TOKEN, listing, publish_listings, start_node, status, wait_until,
};

fn run(arguments: &[&str]) -> Output {
    let program = env!("CARGO_BIN_EXE_oriolectl");
    Command::new(program).args(arguments).output().expect("the program starts")
}

fn ask(instance: SocketAddr, arguments: &[&str]) -> Output {
    let instance = instance.to_string();
    run(&[&["--instance", &instance, "--token", OPERATOR_TOKEN], arguments].concat())
}

fn document(version: &str) -> Value {
    json!({
        "format": 1,
        "models": [{ "name": "coach-7b" }],
        "pools": [{ "name": "coaching", "model": "coach-7b", "slots": 2, "fencing": "checked" }],
        "adapters": [{
            "name": "milk", "model": "coach-7b", "versions": [version], "default": version,
        }],
    })
}

/// Writes a document to a temporary file and returns its path.
fn file(name: &str, document: &Value) -> String {
    let mut path = std::env::temp_dir();
    path.push(format!("oriolectl-test-{}-{name}.json", std::process::id()));
    let mut file = std::fs::File::create(&path).expect("the folder can be written to");
    file.write_all(document.to_string().as_bytes()).expect("the file can be written to");
    path.to_str().expect("the path is text").to_owned()
}

#[rstest]
#[case::help(&["--help"], 0)]
#[case::version(&["--version"], 0)]
#[case::schema(&["schema"], 0)]
#[case::no_command(&[], 2)]
#[case::unknown_command(&["explode"], 2)]
#[case::unknown_flag(&["--explode"], 2)]
#[case::bad_address(&["--instance", "somewhere", "status"], 2)]
#[case::no_instance(&["status"], 1)]
#[case::no_file(&["check", "no-such-file.json"], 1)]
fn exit_codes_match_the_outcome(#[case] arguments: &[&str], #[case] code: i32) {
    let output = run(arguments);
    assert_eq!(output.status.code(), Some(code), "{output:?}");
}

#[test]
fn faults_of_a_document_are_printed_with_their_paths() {
    let mut wrong = document("v1");
    wrong["adapters"][0]["default"] = json!("v2");
    let path = file("wrong", &wrong);
    let output = run(&["check", &path]);
    std::fs::remove_file(&path).expect("it is there");
    assert_eq!(output.status.code(), Some(3));
    let text = String::from_utf8_lossy(&output.stdout);
    assert!(
        text.contains("adapters[0].default: found v2, allowed is one of the versions"),
        "{text}"
    );
}

#[test]
fn status_covers_all_regions_and_a_conflicting_submission_names_the_accepted_version() {
    let platform = system::start_platform();
    let engines =
        [system::start_engine(Default::default()), system::start_engine(Default::default())];
    publish_listings(
        platform,
        &[
            listing("engine-1", "coaching", "zurich", engines[0]),
            listing("engine-2", "coaching", "geneva", engines[1]),
        ],
    );
    let program = binary_path("orioleroute-node").expect("the own path is known");
    let start =
        |name, region| start_node(&program, name, region, platform, &[]).expect("it starts");
    let nodes = [start("a", "zurich"), start("b", "geneva")];
    wait_until("two members", || {
        nodes.iter().all(|node| status(node).is_some_and(|status| status.instances.len() == 2))
    });
    let operators = |node: &Process| node.address("operators").expect("it printed its addresses");
    let operator_address = operators(&nodes[0]);
    let (first, second) = (file("first", &document("v1")), file("second", &document("v2")));
    let accepted = ask(operator_address, &["--base", "0", "submit", &first]);
    assert_eq!(accepted.status.code(), Some(0), "{accepted:?}");
    let conflicting = ask(operator_address, &["--base", "0", "submit", &second]);
    for path in [first, second] {
        std::fs::remove_file(path).expect("it is there");
    }
    assert_eq!(conflicting.status.code(), Some(4), "{conflicting:?}");
    assert!(String::from_utf8_lossy(&conflicting.stdout).contains("version 1"), "{conflicting:?}");
    let merged_status = || -> Value {
        serde_json::from_slice(&ask(operator_address, &["--json", "status"]).stdout)
            .unwrap_or_default()
    };
    wait_until("both regions have loaded it", || {
        let status = merged_status();
        let holds = |region: &str| {
            let mut upstreams = status["upstreams"].as_array().into_iter().flatten();
            upstreams.any(|it| it["region"] == region && it["holding"] == "holds")
        };
        holds("zurich") && holds("geneva")
    });
    let [_a, b] = nodes;
    drop(b);
    wait_until("the dead instance is unknown", || {
        let status = merged_status();
        let mut instances = status["instances"].as_array().into_iter().flatten();
        instances.any(|it| it["name"] == "b" && it["version"].is_null())
    });
}

#[test]
fn diff_explain_and_drain_answer_an_operator() {
    let platform = system::start_platform();
    let engine = system::start_engine(Default::default());
    publish_listings(platform, &[listing("engine-1", "coaching", "zurich", engine)]);
    let program = binary_path("orioleroute-node").expect("the own path is known");
    let mut node = start_node(&program, "a", "zurich", platform, &[]).expect("it starts");
    let operator_address = node.address("operators").expect("it printed its addresses");
    let (first, second) = (file("before", &document("v1")), file("after", &document("v2")));
    wait_until("the first document is accepted", || {
        ask(operator_address, &["--base", "0", "submit", &first]).status.success()
    });

    let diffed = ask(operator_address, &["diff", &second]);
    let delta: Value =
        serde_json::from_slice(&ask(operator_address, &["--json", "diff", &second]).stdout)
            .expect("it is JSON");
    let explained = ask(operator_address, &["explain", "milk"]);
    let unknown = ask(operator_address, &["explain", "nobody"]);
    let drained = ask(operator_address, &["drain"]);
    for path in [first, second] {
        std::fs::remove_file(path).expect("it is there");
    }

    assert!(String::from_utf8_lossy(&diffed.stdout).contains("~ adapter milk"), "{diffed:?}");
    assert_eq!(delta["put"][0]["default"], "v2");
    assert!(String::from_utf8_lossy(&explained.stdout).contains("milk@v1"), "{explained:?}");
    assert_eq!(unknown.status.code(), Some(1), "{unknown:?}");
    assert!(drained.status.success(), "{drained:?}");
    let ended = node.wait(std::time::Duration::from_secs(15)).expect("it ends");
    assert!(ended.success());
}
