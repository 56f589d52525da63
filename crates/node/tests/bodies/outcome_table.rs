//! Checks every cell of the table of outcomes in `docs/bodies.md` against a node.

use crate::installation::{BodyLimits, Installation, KIB, MIB, SOCKET_TIMEOUT_SLACK, job_result, run_alone};
use sorrelhaven_test_support::{TestRequest, WorkerBehavior, checksum, sample_bytes};
use std::sync::{Mutex, PoisonError};
use std::thread;
use std::time::Duration;

/// An answer must arrive within this time, unless the worker is silent.
const PROMPT_ANSWER: Duration = Duration::from_millis(700);
/// The timeout of a request whose worker is silent.
const SILENT_WORKER_TIMEOUT: Duration = Duration::from_millis(700);
/// Cells that are checked in parallel.
const PARALLEL_CELLS: usize = 3;

/// The name of each effect in the table, and the class that has it.
const EFFECTS: [(&str, &str); 3] =
    [("repeat harmless", "renewal-check"), ("keyed", "licence-issue"), ("once", "fee-charge")];

/// Where the node stores a body.
#[derive(Clone, Copy)]
struct StorageStep {
    /// The name in the table.
    name: &'static str,
    body_length: usize,
    /// The length of a body that exceeds the system's socket buffers, so that the node is still sending when
    /// the worker resets the connection.
    long_body_length: usize,
    /// The counter of bodies that were stored at this step.
    counter: &'static str,
}

const STEPS: [StorageStep; 3] = [
    StorageStep {
        name: "memory",
        body_length: 15 * KIB,
        long_body_length: 6 * MIB,
        counter: "body_in_memory",
    },
    StorageStep { name: "file", body_length: 100 * KIB, long_body_length: 12 * MIB, counter: "body_in_file" },
    StorageStep {
        name: "not kept",
        body_length: 400 * KIB,
        long_body_length: 24 * MIB,
        counter: "body_streamed",
    },
];

/// The name of each end of the first attempt in the table, and the worker behavior that causes it.
const ATTEMPT_ENDS: [(&str, WorkerBehavior); 7] = [
    ("done", WorkerBehavior::Done),
    ("failed", WorkerBehavior::Failed),
    ("lost", WorkerBehavior::Killed),
    ("turned away", WorkerBehavior::Rejected),
    ("broke before the last byte", WorkerBehavior::ResetDuringBody),
    ("broke after the last byte", WorkerBehavior::ResetAfterBody),
    ("silent", WorkerBehavior::Silent),
];

/// The table as read from the page.
struct Table {
    /// The names of the attempt's ends.
    header: Vec<String>,
    rows: Vec<Row>,
}

struct Row {
    /// The names of the effect and of the storage step.
    name: String,
    outcomes: Vec<String>,
}

/// One cell of the table.
struct Cell {
    name: String,
    class: &'static str,
    step: StorageStep,
    behavior: WorkerBehavior,
    /// The outcome in the table.
    outcome: String,
}

fn read_table() -> Table {
    let page = include_str!("../../../../docs/bodies.md");
    let mut lines = page
        .lines()
        .skip_while(|line| !line.starts_with("| effect, kept in"))
        .take_while(|line| line.starts_with('|'))
        .map(table_cells);
    let header = lines.next().expect("the page has the table").split_off(1);
    // The line below the header holds only dashes.
    let rows = lines.skip(1).map(|mut cells| Row { name: cells.remove(0), outcomes: cells });
    Table { header, rows: rows.collect() }
}

fn table_cells(line: &str) -> Vec<String> {
    line.trim_matches('|').split('|').map(|cell| cell.trim().to_string()).collect()
}

/// Checks each cell with a new node and new workers.
#[test]
fn every_cell_of_the_table_is_what_the_page_says() {
    let _running_alone = run_alone();
    let table = read_table();
    assert_eq!(table.header, ATTEMPT_ENDS.map(|(name, _)| name.to_string()));
    assert_eq!(table.rows.len(), EFFECTS.len() * STEPS.len());
    // The answer for a silent worker is due at the client's timeout, which is checked against the time taken:
    // these cells run one at a time, so that others do not delay them.
    let (silent, prompt): (Vec<Cell>, Vec<Cell>) =
        all_cells(&table).into_iter().partition(|cell| cell.behavior == WorkerBehavior::Silent);
    let remaining = Mutex::new(prompt.into_iter());
    let next = || remaining.lock().unwrap_or_else(PoisonError::into_inner).next();
    thread::scope(|scope| {
        for _ in 0..PARALLEL_CELLS {
            scope.spawn(|| {
                while let Some(cell) = next() {
                    check_cell(&cell);
                }
            });
        }
    });
    silent.iter().for_each(check_cell);
}

fn all_cells(table: &Table) -> Vec<Cell> {
    let mut cells = Vec::new();
    let mut rows = table.rows.iter();
    for (effect, class) in EFFECTS {
        for step in STEPS {
            let row = rows.next().expect("the table has a row for each effect and step");
            assert_eq!(row.name, format!("{effect}, {}", step.name));
            for ((end, behavior), outcome) in ATTEMPT_ENDS.into_iter().zip(&row.outcomes) {
                let name = format!("{}, {end}", row.name);
                cells.push(Cell { name, class, step, behavior, outcome: outcome.clone() });
            }
        }
    }
    cells
}

fn check_cell(cell: &Cell) {
    assert_eq!(measure_outcome(cell), cell.outcome, "{}", cell.name);
}

/// Makes the first attempt end as the cell names it, and returns the outcome in the wording of the table.
fn measure_outcome(cell: &Cell) -> String {
    let Cell { class, step, behavior, .. } = cell;
    let installation = Installation::new("cell", 2);
    let length = if *behavior == WorkerBehavior::ResetDuringBody {
        let limits = BodyLimits {
            memory_each: 8 * MIB,
            memory_total: 64 * MIB,
            file_each: 16 * MIB,
            file_total: 64 * MIB,
        };
        installation.write_operator_file(limits, 40 * MIB, "stream");
        step.long_body_length
    } else {
        installation.write_operator_file(BodyLimits::DEFAULT, MIB, "stream");
        step.body_length
    };
    let mut node = installation.start();
    installation.workers.script(&[*behavior]);
    let body = sample_bytes(length, 7);
    let mut request = TestRequest::new("q-1", class, body.clone());
    let mut max_elapsed = PROMPT_ANSWER;
    if *behavior == WorkerBehavior::Silent {
        request.timeout = SILENT_WORKER_TIMEOUT;
        max_elapsed = request.timeout + SOCKET_TIMEOUT_SLACK;
    }
    let response = request.send(&node.address).expect("the request is answered");
    assert!(response.elapsed < max_elapsed, "{class} {behavior:?}: {:?}", response.elapsed);
    let runs = installation.workers.executions_of("q-1");
    let expected = (length, checksum(&body));
    assert!(
        runs.iter().all(|run| (run.body_length, run.body_checksum) == expected),
        "a worker ran an incomplete body"
    );
    assert_eq!(response.status == 200, response.body == job_result(&body));
    assert_eq!(response.status == 503, response.retry_after == Some(2.0));
    // A body whose request is concluded before the body's end is counted by `body_request_concluded` instead.
    let stored = node.counter(step.counter) + node.counter("body_request_concluded");
    assert_eq!(stored, 1, "the body was not stored at the expected step");
    node.terminate();
    format!("{}, {} run{}", response.status, runs.len(), if runs.len() == 1 { "" } else { "s" })
}
