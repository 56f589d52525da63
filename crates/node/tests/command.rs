//! The command line: the output and the exit status of each command.

use std::io::{BufRead, BufReader};
use std::os::unix::ffi::OsStrExt;
use std::path::PathBuf;
use std::process::{Command, Output, Stdio};

/// Runs the program with these arguments to its end.
fn run_program(args: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_sorrelhaven"));
    for name in ["RELAY_CONFIG", "RELAY_NAME", "RELAY_LISTEN", "RELAY_DISCOVERY", "SORRELHAVEN_OPERATOR"] {
        command.env_remove(name);
    }
    command.args(args).output().expect("the program runs")
}

/// The path of an example file in `deploy/`.
fn deploy_file(name: &str) -> String {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../deploy").join(name).display().to_string()
}

fn to_text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

#[test]
fn check_prints_a_valid_configuration_in_one_line() {
    let operator = deploy_file("operator.example.json");
    let output = run_program(&["check", "--operator", &operator, &deploy_file("example.json")]);
    assert_eq!(output.status.code(), Some(0), "{output:?}");
    let printed = to_text(&output.stdout);
    assert_eq!(printed.lines().count(), 1, "{printed}");
    assert!(
        printed.starts_with("n0 listens on 127.0.0.1:8080; 2 classes, 3 tenants, 1 workers known"),
        "{printed}"
    );
    assert!(
        printed.contains("bodies of at most 64 KiB, in memory 64 KiB each, 8 MiB in all, in no files"),
        "{printed}"
    );
    // A second example: three classes with other effects, no tenants; workers send load reports, but do not
    // report the start of a job.
    let output = run_program(&["check", "--operator", &operator, &deploy_file("registry.example.json")]);
    let printed = to_text(&output.stdout);
    assert_eq!(output.status.code(), Some(0), "{output:?}");
    assert!(
        printed.starts_with("n0 listens on 127.0.0.1:8080; 3 classes, 0 tenants, 1 workers known"),
        "{printed}"
    );
}

#[test]
fn check_prints_each_error_on_a_line_and_exits_with_2() {
    let path = std::env::temp_dir().join(format!("sorrelhaven-check-{}.json", std::process::id()));
    std::fs::write(&path, r#"{"bodies":{"larges_bytes":1,"unkept":"drop","memory":{"total_bytes":1}}}"#)
        .expect("the operators' file can be written");
    let operator = path.display().to_string();
    let output = run_program(&["--operator", &operator, "check", &deploy_file("example.json")]);
    assert_eq!(output.status.code(), Some(2), "{output:?}");
    let printed = to_text(&output.stdout);
    let lines: Vec<&str> = printed.lines().collect();
    assert_eq!(lines.len(), 2, "{printed}");
    assert_eq!(lines[0], "bodies.larges_bytes: unknown key; did you mean \"largest_bytes\"?");
    assert!(lines[1].starts_with("bodies.unkept: unknown variant `drop`"), "{printed}");
    std::fs::write(&path, r#"{"bodies":{"memory":{"total_bytes":1}}}"#)
        .expect("the operators' file can be written");
    let printed =
        to_text(&run_program(&["--operator", &operator, "check", &deploy_file("example.json")]).stdout);
    assert_eq!(printed.trim(), "bodies.memory.each_bytes: 65536 is over memory.total_bytes, 1");
    std::fs::remove_file(&path).expect("the operators' file can be removed");
    let output = run_program(&["check"]);
    assert_eq!((output.status.code(), to_text(&output.stdout).trim()), (Some(2), "RELAY_CONFIG: not set"));
}

#[test]
fn schema_is_json_that_names_every_key() {
    let output = run_program(&["schema"]);
    assert!(output.status.success());
    let schema: serde_json::Value = serde_json::from_slice(&output.stdout).expect("the schema is JSON");
    assert!(schema.pointer("/$defs/BodyFiles/properties/leave_free_bytes/maximum").is_some(), "{schema}");
}

#[test]
fn an_invalid_command_line_exits_with_2_and_names_the_argument() {
    let output = run_program(&["sing"]);
    assert_eq!(output.status.code(), Some(2));
    assert!(to_text(&output.stderr).contains("unrecognized subcommand 'sing'"), "{output:?}");
    let output = run_program(&["run", "--log", "[[["]);
    assert_eq!(output.status.code(), Some(2));
    assert!(to_text(&output.stderr).starts_with("sorrelhaven: --log: "), "{output:?}");
}

/// With `--log-format json` each line on standard error is JSON, also the line of counters before the exit.
#[test]
fn with_json_log_format_each_log_line_is_json() {
    let mut command = Command::new(env!("CARGO_BIN_EXE_sorrelhaven"));
    command.args(["run", "--log-format", "json", "--log", "info"]).env_remove("SORRELHAVEN_OPERATOR");
    command.env("RELAY_CONFIG", deploy_file("example.json")).env("RELAY_LISTEN", "127.0.0.1:0");
    let mut child = command.stderr(Stdio::piped()).spawn().expect("the program starts");
    let mut log = BufReader::new(child.stderr.take().expect("the log can be read"));
    let mut lines = Vec::new();
    let mut line = String::new();
    while log.read_line(&mut line).expect("the log can be read") > 0 {
        let value: serde_json::Value =
            serde_json::from_str(&line).unwrap_or_else(|error| panic!("{error}: {line}"));
        if value["message"] == "ready" {
            let id = child.id().to_string();
            assert!(
                Command::new("kill").args(["-s", "TERM", &id]).status().expect("kill can be run").success()
            );
        }
        lines.push(value);
        line.clear();
    }
    assert!(child.wait().expect("the program ends").success());
    assert!(
        lines
            .iter()
            .any(|line| line["message"] == "ready" && line["name"] == "n0" && line["level"] == "INFO")
    );
    assert_eq!(lines.last().expect("the log has lines")["counters"]["admitted"], 0);
}

/// Guards against a value that is not UTF-8 counting as not set, or being changed until it names another file: the node
/// would start with another name, address or configuration than its platform gave it.
#[test]
fn a_variable_or_path_that_is_not_utf8_is_refused() {
    let value = std::ffi::OsStr::from_bytes(b"n\xff");
    for variable in ["RELAY_NAME", "RELAY_LISTEN", "RELAY_DISCOVERY", "RELAY_CONFIG", "SORRELHAVEN_OPERATOR"]
    {
        let mut command = Command::new(env!("CARGO_BIN_EXE_sorrelhaven"));
        let output = command.arg("check").arg(deploy_file("example.json")).env(variable, value).output();
        let output = output.expect("the program runs");
        assert_eq!(output.status.code(), Some(2), "{variable}: {output:?}");
        assert_eq!(to_text(&output.stderr), format!("sorrelhaven: {variable}: the value is not UTF-8\n"));
    }
    let output = Command::new(env!("CARGO_BIN_EXE_sorrelhaven")).arg("check").arg(value).output();
    let output = output.expect("the program runs");
    assert_eq!(output.status.code(), Some(2), "{output:?}");
    assert_eq!(to_text(&output.stderr), "sorrelhaven: RELAY_CONFIG: the value is not UTF-8\n");
}
