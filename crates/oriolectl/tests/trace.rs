//! `oriolectl trace` on the logs of several instances.

use std::io::Write;
use std::process::{Command, Output, Stdio};

const ID: &str = "31a63ca60e209eab";

/// Returns a log line as an instance writes it, at a second within a fixed minute.
fn line(second: &str, instance: &str, level: &str, message: &str, fields: &str) -> String {
    format!(
        "{{\"msg\":\"{message}\",\"level\":\"{level}\",\"ts\":\"2026-12-04T02:00:{second}+00:00\",\
         \"instance\":\"{instance}\",\"region\":\"r\"{fields}}}\n"
    )
}

fn trace(arguments: &[&str], logs: &str) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_oriolectl"))
        .args([&["trace", ID, "-"], arguments].concat())
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the program starts");
    child.stdin.take().expect("it is piped").write_all(logs.as_bytes()).expect("it reads");
    child.wait_with_output().expect("it ends")
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

fn logs() -> String {
    let id = format!(",\"request\":\"{ID}\"");
    let granted = format!("{id},\"outcome\":\"granted\",\"upstream\":\"i-9\"");
    let lost =
        format!("{id},\"outcome\":\"answer lost\",\"upstreams\":\"i-9 lost: reset by peer\"");
    [
        line("10.500", "front-b", "INFO", "request", &lost),
        line("10.100", "front-a", "INFO", "placement", &granted),
        line("09.000", "front-b", "WARN", "scheduler lost", ",\"peer\":\"10.0.0.1:7000\""),
        line("09.000", "front-c", "WARN", "scheduler lost", ",\"peer\":\"10.0.0.2:7000\""),
        line(
            "10.000",
            "front-b",
            "INFO",
            "placement",
            ",\"request\":\"other\",\"upstream\":\"i-9\"",
        ),
        line(
            "10.200",
            "front-c",
            "DEBG",
            "order",
            ",\"upstream\":\"i-9\",\"outcome\":\"unanswered\"",
        ),
        line("01.000", "front-b", "WARN", "store lost", ""),
        line("11.000", "front-b", "WARN", "store lost", ""),
    ]
    .concat()
}

#[test]
fn the_lines_of_a_request_are_shown_in_order_with_related_lines() {
    let output = trace(&[], &logs());

    assert_eq!(output.status.code(), Some(0), "{output:?}");
    let shown = text(&output.stdout);
    let messages: Vec<&str> =
        shown.lines().map(|line| line.split("  ").nth(2).unwrap_or("")).collect();
    let are_own: Vec<bool> = shown.lines().map(|line| line.starts_with('*')).collect();
    assert_eq!(are_own, [false, true, false, true], "{shown}");
    assert_eq!(messages.len(), 4);
    assert!(shown.contains("scheduler lost  peer=10.0.0.1:7000"), "{shown}");
    assert!(shown.contains("outcome=unanswered"), "{shown}");
    assert!(shown.contains("upstreams=\"i-9 lost: reset by peer\""), "{shown}");
}

/// A part was quarantined long before the request that is refused for it, and another one just before it.
#[test]
fn the_verdict_on_a_part_of_the_prompt_is_shown_whenever_it_was_made() {
    let quarantined = "prompt part quarantined";
    let refused = format!(",\"request\":\"{ID}\",\"parts\":\"1f,bad\",\"refusal\":\"quarantined\"");
    let logs = [
        line("01.000", "front-a", "WARN", quarantined, ",\"part\":\"bad\",\"losses\":3"),
        line("01.100", "front-b", "WARN", quarantined, ",\"part\":\"bad\",\"losses\":3"),
        line("01.200", "front-b", "WARN", quarantined, ",\"part\":\"ba\",\"losses\":4"),
        line("40.000", "front-b", "INFO", "request", &refused),
    ]
    .concat();

    let output = trace(&[], &logs);

    let shown = text(&output.stdout);
    assert_eq!(shown.lines().count(), 2, "{shown}");
    assert!(shown.lines().next().unwrap().contains("front-b"), "{shown}");
    assert!(shown.contains("part=bad"), "{shown}");
}

#[test]
fn json_output_has_one_json_object_per_line() {
    let output = trace(&["--json"], &logs());

    let lines = text(&output.stdout);
    let parsed = lines.lines().map(serde_json::from_str::<serde_json::Value>);
    assert_eq!(parsed.filter(|line| line.is_ok()).count(), 4, "{lines}");
}

#[test]
fn lines_with_a_prefix_are_read_and_others_are_counted() {
    let logs = format!("[front-a] {}no object\n{{\"msg\":1}}\n", logs());

    let output = trace(&[], &logs);

    assert_eq!(text(&output.stdout).lines().count(), 4, "{output:?}");
    assert!(text(&output.stderr).contains("2 lines"), "{output:?}");
}

#[test]
fn a_request_that_no_line_names_is_an_error() {
    let other = line("10.000", "front-b", "INFO", "request", ",\"request\":\"other\"");

    let output = trace(&[], &other);

    assert_eq!(output.status.code(), Some(1), "{output:?}");
    assert!(text(&output.stderr).contains("no log line mentions"), "{output:?}");
}

#[test]
fn a_file_that_cannot_be_read_is_named() {
    let output = Command::new(env!("CARGO_BIN_EXE_oriolectl"))
        .args(["trace", ID, "no-such-file.log"])
        .output()
        .expect("the program starts");

    assert_eq!(output.status.code(), Some(1), "{output:?}");
    assert!(text(&output.stderr).contains("no-such-file.log"), "{output:?}");
}
