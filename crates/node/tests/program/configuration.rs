//! Invalid configuration files, and reloads with SIGHUP.

use crate::node::{Node, config, line_chunk, open_worker, read_until};
use sorrelhaven_test_support::{CHUNKED_RESPONSE_HEAD, ScratchDir};
use std::io::Write;
use std::process::Command;

#[test]
fn invalid_configuration_ends_the_program_with_one_line_that_names_the_key() {
    let valid = config("127.0.0.1:1", "at_most_once");
    let cases = [
        (config("127.0.0.1:1", "often"), "settings.grades[1].effect: unknown effect"),
        (config("nowhere", "at_most_once"), "known.hosts[0].dial: "),
        (valid.replace("\"seed\":\"1f\"", "\"seed\":\"xyz\""), "seed: "),
        (valid.replace("127.0.0.1:0", "here"), "listen: "),
        (valid.replace("\"maxAttempts\":3", "\"maxAttempts\":\"many\""), "settings.ceilings.maxAttempts: "),
        (valid.replace("\"balancers\":1,", ""), "settings: missing field `balancers`"),
        ("no json".to_string(), "RELAY_CONFIG: "),
    ];
    for (number, (text, message)) in cases.iter().enumerate() {
        let scratch = ScratchDir::new(&format!("bad{number}"));
        let mut command = Command::new(env!("CARGO_BIN_EXE_sorrelhaven"));
        let output =
            command.env("RELAY_CONFIG", scratch.write("node.json", text)).output().expect("the program ends");
        let log = String::from_utf8_lossy(&output.stderr).to_string();
        assert!(!output.status.success());
        assert_eq!(log.lines().count(), 1, "{log}");
        assert!(log.starts_with(&format!("sorrelhaven: {message}")), "{log}");
    }
}

/// A reload must not lose admitted requests, also with a SIGTERM directly after the SIGHUP. An invalid file
/// is logged with its key and changes nothing. With a valid one the node watches the new discovery address at
/// once, and keeps the known workers.
#[test]
fn a_reload_moves_the_watch_and_loses_no_request() {
    let (listener, address) = open_worker();
    let [(old_discovery, old_address), (new_discovery, new_address)] = [open_worker(), open_worker()];
    let text = config(&address, "at_most_once").replace("127.0.0.1:1\"", &format!("{old_address}\""));
    let mut node = Node::start(&text, "reload");
    let (mut watch, _) = old_discovery.accept().expect("the node polls discovery");
    assert!(read_until(&mut watch, "\r\n\r\n").starts_with("GET /registry/instances?watch=1&after=1 "));
    let mut client = node.send_request("fee", "5000m");
    let (mut job, _) = listener.accept().expect("the job is sent");
    read_until(&mut job, "body");

    node.scratch.write("node.json", &text.replace("at_most_once", "often"));
    node.program.signal("HUP");
    let fault = node.program.wait_for_log_line("configuration unchanged");
    assert!(fault.contains("settings.grades[1].effect: unknown effect"), "{fault}");
    let moved = text.replace(&old_address, &new_address).replace("\"1f\"", "\"2f\"");
    node.scratch.write("node.json", &moved);
    node.program.signal("HUP");
    assert!(node.program.wait_for_log_line("restart required").contains("seed"));
    // The new discovery may number its versions differently, so the node polls it for the full list.
    let (mut moved, _) = new_discovery.accept().expect("the node polls the new discovery");
    assert!(read_until(&mut moved, "\r\n\r\n").starts_with("GET /registry/instances HTTP/1.1\r\n"));
    assert_eq!(read_until(&mut watch, "never"), "", "the node sent more on the old watch");

    let head = CHUNKED_RESPONSE_HEAD.replace("OK", "OK\r\nConnection: close");
    let done = head + &line_chunk(r#"{"id":"q-1","state":"done","result":"fine"}"#) + "0\r\n\r\n";
    job.write_all(done.as_bytes()).expect("the node reads the bytes");
    assert!(read_until(&mut client, "\r\n\r\nfine").starts_with("HTTP/1.1 200 OK\r\n"));
    let mut client = node.send_request_with_id("q-2", "fee", "5000m");
    let (mut job, _) = listener.accept().expect("the known worker is still used");
    read_until(&mut job, "body");
    node.program.signal("HUP");
    node.program.signal("TERM");
    node.program.wait_for_log_line("shutdown requested");
    job.write_all(done.replace("q-1", "q-2").as_bytes()).expect("the node reads the bytes");
    assert!(read_until(&mut client, "\r\n\r\nfine").starts_with("HTTP/1.1 200 OK\r\n"));
    assert!(node.program.child.wait().expect("the program ends").success());
}
