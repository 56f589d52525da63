//! The preloaded library injects the faults of its plan and counts them.

use std::path::PathBuf;
use std::process::Command;

/// The path of the shared library, which Cargo builds into the directory of the test binaries.
fn library_path() -> PathBuf {
    let mut path = std::env::current_exe().expect("the path of this test is known");
    path.pop();
    path.join("libsorrelhaven_fault_shim.so")
}

#[test]
fn a_preloaded_program_gets_the_clock_and_errors_of_its_plan() {
    let counts = std::env::temp_dir().join(format!("fault-shim-{}", std::process::id()));
    let mut command = Command::new("date");
    command.args(["-u", "+%s"]).env("LD_PRELOAD", library_path()).env("FAULT_COUNTS", &counts);
    let now = std::time::SystemTime::now()
        .duration_since(std::time::UNIX_EPOCH)
        .expect("now is after 1970")
        .as_secs();
    let date = command.env("FAULT_CLOCK", "0:-3600000").output().expect("date can be run");
    let printed: u64 = String::from_utf8_lossy(&date.stdout).trim().parse().expect("date prints a number");
    assert!(printed.abs_diff(now - 3_600) < 60, "the clock was not set back by an hour: {printed} at {now}");

    let mut command = Command::new("cat");
    command.arg("/etc/hostname").env("LD_PRELOAD", library_path()).env("FAULT_COUNTS", &counts);
    let cat = command.env("FAULT_PLAN", "read:EIO:1;write:EIO:1000000").output().expect("cat can be run");
    assert!(!cat.status.success());
    let counts_text = std::fs::read_to_string(&counts).expect("the shim has written its counts");
    assert!(counts_text.contains("read EIO 1"), "{counts_text}");
    std::fs::remove_file(&counts).expect("the counts file can be removed");
}
