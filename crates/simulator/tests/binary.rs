//! Runs the program on hand-written batches, and checks its replies and exit status.

use std::io::Write;
use std::process::{Command, Output, Stdio};

const CREATE: &str = concat!(
    r#"{"create":{"salt":5,"conf":{"balancers":2,"discovery":"automatic","kinds":["a"],"new":{"x":[1]},"#,
    r#""grades":[{"aim":200000,"deadline":5000000,"effect":"idempotent","value":1.0}],"#,
    r#""ceilings":{"cancel":true,"maxAttempts":3},"#,
    r#""invariants":{"cold":8000000,"fall":2000000,"overloadFactor":3.0,"startCapacity":0.3},"#,
    r#""familyInfo":{"classStretch":[2.0],"tellsStart":true},"round":1000}}}"#
);
const LIST: &str = concat!(
    r#"{"ledger":{"bank":0,"rows":[{"worker":"worker_b","lifecycle":1,"rating":1}]}},"#,
    r#"{"update":{"bank":0,"mode":2,"generation":1}}"#
);

fn run(input: &str) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_sorrelhaven-simulator"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the program can be started");
    child
        .stdin
        .take()
        .expect("standard input is a pipe")
        .write_all(input.as_bytes())
        .expect("the program reads its input");
    child.wait_with_output().expect("the program ends")
}

fn batch(time: u64, name: &str, events: &str) -> String {
    format!(r#"{{"simTime":{time},"dispatchers":[{{"dispatcher":"{name}","arrivals":[{events}]}}]}}"#) + "\n"
}

fn arrival(request: &str, deadline: u64) -> String {
    format!(r#"{{"inbound":{{"call":"{request}","grade":0,"due":{deadline},"cost":50000,"width":1}}}}"#)
}

#[test]
fn request_is_sent_and_its_outcome_accepted() {
    let mut input = String::from("{\"simTime\":1,\"dispatchers\":[]}\n");
    input += &batch(1000, "dispatcher-0", &format!("{CREATE},{LIST},{}", arrival("r-one", 5_001_000)));
    let attempt_ended =
        r#"{"verdict":{"call":"r-one","try":0,"result":0,"waitTime":90000,"worker":"worker_b","over":true}}"#;
    input += &batch(91_000, "dispatcher-0", attempt_ended);
    input += &batch(92_000, "dispatcher-0", r#"{"lapsed":{"call":"r-one"}},{"wakeup":{"handle":77}}"#);
    let output = run(&input);
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    let text = String::from_utf8(output.stdout).expect("the replies are UTF-8");
    let lines: Vec<&str> = text.lines().collect();
    assert_eq!(lines.len(), 4);
    assert_eq!(lines[0], r#"{"dispatchers":[]}"#);
    let send = r#"{"relay":{"call":"r-one","timeout":0,"worker":"worker_b"}}"#;
    assert!(lines[1].contains(send), "{}", lines[1]);
    assert!(!lines[2].contains("r-one"), "{}", lines[2]);
    assert!(!lines[3].contains("r-one"), "{}", lines[3]);
}

#[test]
fn instance_acts_the_same_beside_another() {
    let own = |name: &str| batch(1000, name, &format!("{CREATE},{LIST},{}", arrival("r-x", 5_001_000)));
    let alone = run(&own("dispatcher-1"));
    let both = run(&(own("dispatcher-0") + &own("dispatcher-1")));
    let text = String::from_utf8(both.stdout).expect("the replies are UTF-8");
    let second = text.lines().nth(1).expect("there are two replies");
    assert_eq!(String::from_utf8(alone.stdout).expect("the replies are UTF-8").trim_end(), second);
}

#[test]
fn malformed_line_ends_the_program_with_a_message() {
    for malformed in ["not json", r#"{"simTime":"late","dispatchers":[]}"#, r#"{"simTime":1}"#] {
        let output = run(&format!("{{\"simTime\":1,\"dispatchers\":[]}}\n{malformed}\n"));
        assert!(!output.status.success());
        let message = String::from_utf8_lossy(&output.stderr);
        assert!(message.contains("line 2"), "{message}");
    }
}

#[test]
fn killed_instance_is_forgotten() {
    let mut input = batch(1000, "dispatcher-0", &format!("{CREATE},{LIST},{}", arrival("r-one", 5_001_000)));
    input += &batch(2000, "dispatcher-0", &format!(r#"{{"kill":{{}}}},{CREATE},{LIST}"#));
    input += &batch(3000, "dispatcher-0", r#"{"lapsed":{"call":"r-one"}}"#);
    let output = run(&input);
    assert!(output.status.success());
    assert!(
        !String::from_utf8_lossy(&output.stdout)
            .lines()
            .nth(2)
            .expect("there are three replies")
            .contains("r-one")
    );
}

/// Guards against a batch that can't be read being cut until it can. The simulator's page: one JSON value per line.
#[test]
fn a_batch_with_white_space_outside_json_behind_it_is_an_error() {
    for behind in ["\u{a0}", "\u{2028}", "\u{c}"] {
        let output = run(&format!("{{\"simTime\":1,\"dispatchers\":[]}}{behind}\n"));
        assert!(!output.status.success(), "{behind:?}");
    }
    let output = run("{\"simTime\":1,\"dispatchers\":[]} \t\r\n");
    assert!(output.status.success(), "{output:?}");
}
