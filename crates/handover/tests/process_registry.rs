//! Counting the processes of one node. The test registers its own process several times, which works because
//! an `flock` lock belongs to an open file description rather than to a process.

use sorrelhaven_handover::{MAX_PROCESSES, ProcessRegistry};

#[test]
fn each_process_counts_the_other_live_processes_of_its_node() {
    let directory = std::env::temp_dir().join(format!("sorrelhaven-seats-{}", std::process::id()));
    std::fs::create_dir_all(&directory).expect("the temporary directory is created");
    let register = |name| ProcessRegistry::register(&directory, name).expect("the lock files can be opened");
    let old = register("n/0");
    assert_eq!(old.other_processes(), 0);
    let new = register("n/0");
    assert_eq!((old.other_processes(), new.other_processes()), (1, 1));
    assert_eq!(register("n1").other_processes(), 0, "another node's processes do not count");
    drop(old);
    assert_eq!(new.other_processes(), 0);
    let more: Vec<ProcessRegistry> = (0..MAX_PROCESSES + 1).map(|_| register("n/0")).collect();
    assert_eq!(new.other_processes(), MAX_PROCESSES - 1, "MAX_PROCESSES are registered, including this one");
    assert_eq!(
        more[MAX_PROCESSES].other_processes(),
        MAX_PROCESSES,
        "an unregistered process counts the registered ones"
    );
    drop(more);
    assert_eq!(new.other_processes(), 0);
    assert!(ProcessRegistry::register(&directory.join("none"), "n0").is_err());
    std::fs::remove_dir_all(&directory).expect("the temporary directory exists");
}
