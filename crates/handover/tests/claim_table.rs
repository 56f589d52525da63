//! The table of claimed ids. Two tables of one directory stand for two processes: an `flock` lock belongs to an open
//! file description rather than to a process.

use rustix::fs::{FlockOperation, flock};
use sorrelhaven_handover::{ClaimError, ClaimTable};
use std::fs::File;
use std::path::PathBuf;

/// More ids than the table holds.
const MANY_IDS: u32 = 200_000;
/// The ids that are remembered at least, however many are claimed after them.
const REMEMBERED_IDS: u32 = 10_000;

fn directory(name: &str) -> PathBuf {
    let directory = std::env::temp_dir().join(format!("sorrelhaven-claims-{name}-{}", std::process::id()));
    std::fs::create_dir_all(&directory).expect("the temporary directory is created");
    directory
}

fn is_taken(table: &ClaimTable, id: &str) -> bool {
    match table.claim(id) {
        Ok(()) => false,
        Err(ClaimError::Taken) => true,
        Err(ClaimError::Unavailable(error)) => panic!("{error}"),
    }
}

#[test]
fn an_id_is_claimed_once_until_it_is_released() {
    let directory = directory("once");
    let open = || ClaimTable::shared(&directory, "n/0").expect("the file can be opened");
    let (first, second) = (open(), open());
    assert!(!is_taken(&first, "a"));
    assert!(is_taken(&first, "a") && is_taken(&second, "a"));
    assert!(!is_taken(&second, "b"));
    second.release("a").expect("the file can be written");
    assert!(!is_taken(&first, "a"), "a released id can be claimed by any process");
    drop((first, second));
    assert!(is_taken(&open(), "a") && is_taken(&open(), "b"), "claims outlive the processes");
    let other_node = ClaimTable::shared(&directory, "n1").expect("the file can be opened");
    assert!(!is_taken(&other_node, "a"), "another node has claims of its own");
    let replaced = ClaimTable::in_memory();
    replaced.replace(open());
    assert!(is_taken(&replaced, "a"));
    assert!(ClaimTable::shared(&directory.join("none"), "n0").is_err());
    std::fs::remove_dir_all(&directory).expect("the temporary directory exists");
}

/// Ever new ids must neither make the table grow nor displace ids that were claimed shortly before.
#[test]
fn the_latest_ids_are_remembered_in_a_table_of_fixed_size() {
    let directory = directory("many");
    for table in
        [ClaimTable::in_memory(), ClaimTable::shared(&directory, "n0").expect("the file can be opened")]
    {
        for number in 0..MANY_IDS {
            assert!(!is_taken(&table, &format!("id-{number}")));
        }
        let forgotten =
            (MANY_IDS - REMEMBERED_IDS..MANY_IDS).filter(|number| !is_taken(&table, &format!("id-{number}")));
        assert_eq!(forgotten.count(), 0);
    }
    let size = std::fs::metadata(directory.join("sorrelhaven-claims-1.n0")).expect("the file exists").len();
    assert!(size < 2 << 20, "{size}");
    std::fs::remove_dir_all(&directory).expect("the temporary directory exists");
}

/// A process that is paused while it holds the lock must not block the others for long, nor let an id run twice.
#[test]
fn an_id_is_not_claimed_while_another_process_holds_the_lock() {
    let directory = directory("locked");
    let table = ClaimTable::shared(&directory, "n0").expect("the file can be opened");
    let other = File::open(directory.join("sorrelhaven-claims-1.n0")).expect("the file exists");
    flock(&other, FlockOperation::LockExclusive).expect("the file can be locked");
    let begun = std::time::Instant::now();
    assert!(matches!(table.claim("a"), Err(ClaimError::Unavailable(_))));
    assert!(begun.elapsed() < std::time::Duration::from_millis(150), "{:?}", begun.elapsed());
    drop(other);
    assert!(!is_taken(&table, "a"));
    std::fs::remove_dir_all(&directory).expect("the temporary directory exists");
}
