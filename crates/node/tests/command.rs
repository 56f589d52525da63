//! The command line: what each command prints and how it exits.

use std::io::{BufRead, BufReader};
use std::path::PathBuf;
use std::process::{Command, Output, Stdio};

fn sorrelhaven(args: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_sorrelhaven"));
    for name in ["RELAY_CONFIG", "RELAY_NAME", "RELAY_LISTEN", "RELAY_DISCOVERY", "SORRELHAVEN_OPERATOR"] {
        command.env_remove(name);
    }
    command.args(args).output().expect("it runs")
}

fn deploy(name: &str) -> String {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../deploy").join(name).display().to_string()
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

#[test]
fn check_says_in_one_line_what_holds() {
    let operator = deploy("operator.example.json");
    let output = sorrelhaven(&["check", "--operator", &operator, &deploy("example.json")]);
    assert_eq!(output.status.code(), Some(0), "{output:?}");
    let said = text(&output.stdout);
    assert_eq!(said.lines().count(), 1, "{said}");
    assert!(said.starts_with("n0 listens on 127.0.0.1:8080; 2 classes, 3 tenants, 1 boxes known"), "{said}");
    assert!(
        said.contains("bodies of at most 64 KiB, in memory 64 KiB each, 8 MiB in all, in no files"),
        "{said}"
    );
    // The second deployment: three classes of other effects, no tenants, load reports, no start notes.
    let output = sorrelhaven(&["check", "--operator", &operator, &deploy("registry.example.json")]);
    let said = text(&output.stdout);
    assert_eq!(output.status.code(), Some(0), "{output:?}");
    assert!(said.starts_with("n0 listens on 127.0.0.1:8080; 3 classes, 0 tenants, 1 boxes known"), "{said}");
}

#[test]
fn check_prints_each_fault_on_a_line_and_exits_with_2() {
    let path = std::env::temp_dir().join(format!("sorrelhaven-check-{}.json", std::process::id()));
    std::fs::write(&path, r#"{"bodies":{"larges_bytes":1,"unkept":"drop","memory":{"total_bytes":1}}}"#)
        .expect("a file");
    let operator = path.display().to_string();
    let output = sorrelhaven(&["--operator", &operator, "check", &deploy("example.json")]);
    assert_eq!(output.status.code(), Some(2), "{output:?}");
    let said = text(&output.stdout);
    let lines: Vec<&str> = said.lines().collect();
    assert_eq!(lines.len(), 2, "{said}");
    assert_eq!(lines[0], "bodies.larges_bytes: unknown key; did you mean \"largest_bytes\"?");
    assert!(lines[1].starts_with("bodies.unkept: unknown variant `drop`"), "{said}");
    std::fs::write(&path, r#"{"bodies":{"memory":{"total_bytes":1}}}"#).expect("a file");
    let said = text(&sorrelhaven(&["--operator", &operator, "check", &deploy("example.json")]).stdout);
    assert_eq!(said.trim(), "bodies.memory.each_bytes: 65536 is over memory.total_bytes, 1");
    std::fs::remove_file(&path).expect("it was there");
    let output = sorrelhaven(&["check"]);
    assert_eq!((output.status.code(), text(&output.stdout).trim()), (Some(2), "RELAY_CONFIG: not set"));
}

#[test]
fn schema_is_json_that_names_every_key() {
    let output = sorrelhaven(&["schema"]);
    assert!(output.status.success());
    let schema: serde_json::Value = serde_json::from_slice(&output.stdout).expect("JSON");
    assert!(schema.pointer("/$defs/BodyFiles/properties/leave_free_bytes/maximum").is_some(), "{schema}");
}

#[test]
fn a_wrong_command_line_exits_with_2_and_says_how() {
    let output = sorrelhaven(&["sing"]);
    assert_eq!(output.status.code(), Some(2));
    assert!(text(&output.stderr).contains("unrecognized subcommand 'sing'"), "{output:?}");
    let output = sorrelhaven(&["run", "--log", "[[["]);
    assert_eq!(output.status.code(), Some(2));
    assert!(text(&output.stderr).starts_with("sorrelhaven: --log: "), "{output:?}");
}

/// With `--log-format json` all that is written to standard error is JSON, a line each, the counters among them.
#[test]
fn the_log_is_json_where_it_is_asked_for() {
    let mut command = Command::new(env!("CARGO_BIN_EXE_sorrelhaven"));
    command.args(["run", "--log-format", "json", "--log", "info"]).env_remove("SORRELHAVEN_OPERATOR");
    command.env("RELAY_CONFIG", deploy("example.json")).env("RELAY_LISTEN", "127.0.0.1:0");
    let mut child = command.stderr(Stdio::piped()).spawn().expect("it starts");
    let mut log = BufReader::new(child.stderr.take().expect("its log"));
    let mut lines = Vec::new();
    let mut line = String::new();
    while log.read_line(&mut line).expect("its log") > 0 {
        let value: serde_json::Value = serde_json::from_str(&line).unwrap_or_else(|e| panic!("{e}: {line}"));
        if value["message"] == "ready" {
            let id = child.id().to_string();
            assert!(Command::new("kill").args(["-s", "TERM", &id]).status().expect("kill").success());
        }
        lines.push(value);
        line.clear();
    }
    assert!(child.wait().expect("it ends").success());
    assert!(lines.iter().any(|l| l["message"] == "ready" && l["name"] == "n0" && l["level"] == "INFO"));
    assert_eq!(lines.last().expect("a line")["counters"]["admitted"], 0);
}
