//! A directory for bodies whose file system is full, or that can't be used.

use crate::installation::{BodyLimits, Installation, KIB, MIB, job_result, run_alone};
use sorrelhaven_test_support::{TestRequest, sample_bytes};
use std::process::Command;
use std::thread;

/// A write beyond the resource limit on file sizes (`ulimit -f`), which any user can set, must be handled as
/// a full disk: the node stores the body elsewhere or not at all, workers receive the correct bytes, and the
/// node goes on.
#[test]
fn a_resource_limit_on_file_size_is_treated_as_a_full_disk() {
    let _running_alone = run_alone();
    let installation = Installation::new("fsize", 2);
    let limits =
        BodyLimits { memory_each: 64 * KIB, memory_total: MIB, file_each: 8 * MIB, file_total: 64 * MIB };
    installation.write_operator_file(limits, 8 * MIB, "stream");
    let mut shell = Command::new("sh");
    // `ulimit -f` counts blocks of 512 bytes in POSIX, of 1024 bytes in some shells: 1 or 2 MiB.
    shell.args(["-c", "ulimit -f 2048; exec \"$0\"", env!("CARGO_BIN_EXE_sorrelhaven")]);
    let mut node = installation.start_with(shell);
    let address = node.address.clone();
    let clients: Vec<_> = (0..8u64)
        .map(|number| {
            let address = address.clone();
            thread::spawn(move || {
                let body = sample_bytes(if number % 2 == 0 { 4 * MIB } else { 2 * KIB }, number);
                let response =
                    TestRequest::new(&format!("q-{number}"), "fee-charge", body.clone()).send(&address);
                (response.expect("the request is answered"), job_result(&body))
            })
        })
        .collect();
    for client in clients {
        let (response, expected) = client.join().expect("the client thread does not panic");
        assert_eq!((response.status, response.body), (200, expected));
    }
    assert!(node.counter("not_stored_disk_full") >= 1);
    assert!(
        installation.workers.executed_requests().iter().all(|run| installation
            .workers
            .executions_of(&run.id)
            .len()
            == 1)
    );
}

/// If the disk is full at the start, the node must log a warning with the settings key, and serve requests
/// without files.
#[test]
fn a_directory_on_a_full_disk_is_named_by_its_key() {
    let _running_alone = run_alone();
    let installation = Installation::new("full", 2);
    installation.write_operator_file(BodyLimits::DEFAULT, MIB, "stream");
    let program = || {
        let mut shell = Command::new("sh");
        shell.args(["-c", "ulimit -f 0; exec \"$0\" \"$@\"", env!("CARGO_BIN_EXE_sorrelhaven")]);
        shell
    };
    let mut node = installation.start_with(program());
    let warned = node.startup_log().iter().any(|line| {
        line.contains("WARN") && line.contains("bodies.files.directory: the file system is full")
    });
    assert!(warned, "{:?}", node.startup_log());
    let body = sample_bytes(100 * KIB, 1);
    let response = TestRequest::new("q-1", "fee-charge", body.clone())
        .send(&node.address)
        .expect("the request is answered");
    assert_eq!((response.status, response.body), (200, job_result(&body)));
    assert_eq!((node.counter("body_streamed"), node.counter("not_stored_disk_full")), (1, 1));
}

/// With a directory that can't be used the program must not start, and must print one line with the settings
/// key. A reload with such a directory must change nothing.
#[test]
fn an_unusable_directory_is_named_by_its_key() {
    let _running_alone = run_alone();
    let installation = Installation::new("directory", 1);
    std::fs::create_dir(installation.scratch.path("real")).expect("the directory can be created");
    std::os::unix::fs::symlink(installation.scratch.path("real"), installation.scratch.path("link"))
        .expect("the link can be created");
    installation.write_operator_file(BodyLimits::DEFAULT, MIB, "stream");
    let node_file = installation.scratch.path("node.json");
    let valid =
        std::fs::read_to_string(installation.scratch.path("operator.json")).expect("the file can be read");
    let spool = installation.scratch.path("spool").display().to_string();
    let mut running = installation.start();
    for (directory, reason) in [
        (installation.scratch.path("none").display().to_string(), "there is no such directory"),
        (installation.scratch.path("link").display().to_string(), "is a symbolic link"),
        (node_file.display().to_string(), "it is not a directory"),
        ("/proc".to_string(), "/proc: request bodies can't be stored in this directory"),
    ] {
        let operator = installation.scratch.write("operator.json", &valid.replace(&spool, &directory));
        for (args, code) in [(&["check"][..], 2), (&["run"][..], 1)] {
            let mut command = Command::new(env!("CARGO_BIN_EXE_sorrelhaven"));
            command.args(args).env("RELAY_CONFIG", &node_file).env("SORRELHAVEN_OPERATOR", &operator);
            let output = command.env("RUST_LOG", "warn").output().expect("the program runs");
            let printed = String::from_utf8_lossy(&[output.stdout, output.stderr].concat()).into_owned();
            assert_eq!(output.status.code(), Some(code), "{printed}");
            assert_eq!(printed.lines().count(), 1, "{printed}");
            assert!(printed.contains("bodies.files.directory: ") && printed.contains(reason), "{printed}");
        }
        running.signal("HUP");
        let line = running.wait_for_log_line("configuration unchanged");
        assert!(line.contains("bodies.files.directory: ") && line.contains(reason), "{line}");
    }
    let response = TestRequest::new("q-1", "fee-charge", sample_bytes(100 * KIB, 1))
        .send(&running.address)
        .expect("the request is answered");
    assert_eq!(
        (response.status, running.counter("body_in_file")),
        (200, 1),
        "the node does not store the body in the old directory"
    );
}
