//! The library as it is preloaded: faults are injected, counted, and leave what is not in the plan alone.

use std::path::PathBuf;
use std::process::Command;

fn library() -> PathBuf {
    let mut path = std::env::current_exe().expect("this test");
    path.pop();
    path.join("libsorrelhaven_fault_shim.so")
}

#[test]
fn a_preloaded_program_meets_the_faults_of_its_plan() {
    let counts = std::env::temp_dir().join(format!("fault-shim-{}", std::process::id()));
    let mut command = Command::new("date");
    command.args(["-u", "+%s"]).env("LD_PRELOAD", library()).env("FAULT_COUNTS", &counts);
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).expect("a time").as_secs();
    let date = command.env("FAULT_CLOCK", "0:-3600000").output().expect("it runs");
    let told: u64 = String::from_utf8_lossy(&date.stdout).trim().parse().expect("a time");
    assert!(told.abs_diff(now - 3_600) < 60, "an hour back: {told} at {now}");

    let mut command = Command::new("cat");
    command.arg("/etc/hostname").env("LD_PRELOAD", library()).env("FAULT_COUNTS", &counts);
    let cat = command.env("FAULT_PLAN", "read:EIO:1;write:EIO:1000000").output().expect("it runs");
    assert!(!cat.status.success());
    let counted = std::fs::read_to_string(&counts).expect("counts");
    assert!(counted.contains("read EIO 1"), "{counted}");
    std::fs::remove_file(&counts).expect("counts");
}
