//! `docs/PROOFS.md` names only tests that exist, and leaves no cell of its table empty.

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};

const NOT_PROVED: &str = "not proved";

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

/// Returns the rows of the first table under a heading, without the header rows.
fn table(page: &str, heading: &str) -> Vec<Vec<String>> {
    let section = page.split("\n## ").find(|section| section.starts_with(heading));
    let rows = section.unwrap_or_default().lines().filter(|line| line.starts_with('|')).skip(2);
    rows.map(|row| row.trim_matches('|').split(" | ").map(|cell| cell.trim().to_owned()).collect())
        .collect()
}

/// Returns the tests that the page lists, keyed by the labels that it uses for them.
fn tests(page: &str) -> BTreeMap<String, String> {
    let rows = table(page, "Tests").into_iter();
    rows.map(|row| (row[0].clone(), row[1].trim_matches('`').to_owned())).collect()
}

/// Returns whether `test`, a path and a function joined by `::`, is a test function in that file.
fn exists(test: &str) -> bool {
    let Some((file, function)) = test.split_once("::") else { return false };
    let Ok(source) = std::fs::read_to_string(root().join(file)) else { return false };
    let mut attributed = false;
    source.lines().map(str::trim).any(|line| {
        attributed |= matches!(line, "#[test]" | "#[rstest]" | "#[rstest::rstest]");
        let starts = line.starts_with(&format!("fn {function}("));
        let found = starts && attributed;
        attributed &= !line.starts_with("fn ");
        found
    })
}

fn page() -> String {
    std::fs::read_to_string(root().join("docs/PROOFS.md")).expect("docs/PROOFS.md can be read")
}

#[test]
fn every_test_that_the_page_names_exists() {
    let tests = tests(&page());

    let missing: Vec<_> = tests.values().filter(|test| !exists(test)).collect();

    assert!(!tests.is_empty());
    assert!(missing.is_empty(), "{missing:?}");
}

#[test]
fn every_cell_names_a_test_or_says_not_proved() {
    let page = page();
    let tests = tests(&page);
    let rows = table(&page, "Faults by moments");

    let wrong: Vec<_> = rows
        .iter()
        .filter(|row| {
            let known = |cell: &String| cell == NOT_PROVED || tests.contains_key(cell);
            row.len() != rows[0].len() || !row[1..].iter().all(known)
        })
        .collect();

    assert!(!rows.is_empty());
    assert!(wrong.is_empty(), "{wrong:?}");
}

#[test]
fn a_test_that_does_not_exist_is_detected() {
    assert!(!exists("crates/orioleroute/tests/proofs.rs::no_such_test"));
    assert!(!exists("crates/orioleroute/tests/proofs.rs::page"));
    assert!(!exists("crates/orioleroute/tests/no_such_file.rs::page"));
}
