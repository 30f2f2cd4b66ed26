//! All faults of a document are reported together, and the published schema is up to date.

use orioleroute::document::Document;
use rstest::rstest;
use serde_json::{Value, json};

fn document() -> Value {
    json!({
        "format": 1,
        "models": [{ "name": "coach-7b" }],
        "pools": [{ "name": "coaching", "model": "coach-7b", "slots": 2 }],
        "adapters": [{
            "name": "milk", "model": "coach-7b", "versions": ["v1", "v2"], "default": "v2",
        }],
    })
}

/// Returns the paths of the faults in the document after one value is replaced.
fn paths(pointer: &str, value: Value) -> Vec<String> {
    let mut document = document();
    *document.pointer_mut(pointer).expect("the pointer exists") = value;
    let faults = Document::from_json(&document.to_string()).expect_err("the document is invalid");
    faults.into_iter().map(|fault| fault.path).collect()
}

#[rstest]
#[case::type_of_name("/adapters/0/name", json!(7), &["adapters[0].name"])]
#[case::list("/pools", json!({}), &["pools"])]
#[case::negative("/pools/0/slots", json!(-1), &["pools[0].slots"])]
#[case::large("/pools/0/slots", json!(1_u64 << 32), &["pools[0].slots"])]
#[case::zero("/pools/0/slots", json!(0), &["pools[0].slots"])]
#[case::twice("/adapters/0/versions", json!(["v2", "v2"]), &["adapters[0].versions[1]"])]
#[case::empty_version("/adapters/0/versions", json!(["", "v2"]), &["adapters[0].versions[0]"])]
#[case::default("/adapters/0/default", json!("v3"), &["adapters[0].default"])]
#[case::model("/adapters/0/model", json!("other"), &["adapters[0].model"])]
#[case::whole("", json!([]), &["document"])]
fn each_fault_is_found_at_its_path(
    #[case] pointer: &str,
    #[case] value: Value,
    #[case] expected: &[&str],
) {
    assert_eq!(paths(pointer, value), expected);
}

#[test]
fn wrong_types_and_unknown_fields_are_reported_together() {
    let mut document = document();
    document["adapters"][0]["importance"] = json!("urgent");
    document["adapters"][0]["pinned"] = json!("yes");
    document["adapters"][0]["colour"] = json!("red");
    document["policy"] = json!({ "stall_weight": "high", "deadline_ms": 1.5 });
    document["pools"][0].as_object_mut().expect("it is an object").remove("slots");
    let faults = Document::from_json(&document.to_string()).expect_err("the document is invalid");
    let mut paths: Vec<&str> = faults.iter().map(|fault| &*fault.path).collect();
    paths.sort_unstable();
    assert_eq!(
        paths,
        [
            "adapters[0].colour",
            "adapters[0].importance",
            "adapters[0].pinned",
            "policy.deadline_ms",
            "policy.stall_weight",
            "pools[0].slots",
        ]
    );
    let importance = faults.iter().find(|fault| fault.path.ends_with("importance"));
    let importance = importance.expect("the fault is reported");
    assert_eq!(
        (&*importance.found, &*importance.allowed),
        ("\"urgent\"", "one of low, normal, high")
    );
}

#[test]
fn text_that_is_not_json_is_one_fault() {
    let faults = Document::from_json("{").expect_err("the document is invalid");
    assert_eq!(faults.len(), 1);
}

/// After a change of the format, update the published schema with
/// `cargo run -p oriolectl -- schema > schema/configuration.json`.
#[test]
fn the_published_schema_is_current() {
    let published = include_str!("../../../schema/configuration.json");
    let published: Value = serde_json::from_str(published).expect("the schema is JSON");
    assert_eq!(&published, Document::schema());
}
