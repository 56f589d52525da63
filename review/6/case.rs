//! Where discovery takes 3.5 s to begin an answer, nodes that ask for the list give up each call after 3 s, never get a
//! list, and go on sending new work to a draining executor. See claim.txt.

#[path = "../stand-2/sites.rs"]
mod sites;
#[path = "../stand-2/stand.rs"]
mod stand;

use std::sync::atomic::Ordering;

use sites::{ASKS_EXECUTORS, NODES};
use stand::{Answer, Case, Clients, Discovery, ExecutorPlan, Node, Traffic};

/// How long discovery takes to begin the answer to a call, in milliseconds.
const ANSWER_DELAY_MS: u64 = 3500;
/// A change counts as told 6 s after discovery had it and could be reached; the settings allow 2 s after that, and on
/// sockets each limit is 50 ms longer.
const TOLD_WITHIN: f64 = 6.0;
const GRACE: f64 = 2.0 + 0.05;
/// The draining executor has long finished what it had, and its process ends.
const EXECUTOR_ENDS_AT: f64 = 20.0;
const TRAFFIC_END: f64 = 24.0;

fn main() {
    let case = Case::new();
    let plan = ExecutorPlan { slots: 4, queue: 16, ..ExecutorPlan::default() };
    let executors = sites::start_executors(&case, ASKS_EXECUTORS, &plan);
    let entries = sites::asks_entries(&executors);
    let discovery = Discovery::start(&case, entries.clone());
    let drained = &executors[3];
    // The nodes start with an older list, in which the executor is still in service.
    discovery.set_health(&drained.name, "terminating");
    if case.trouble {
        discovery.answer_delay_ms.store(ANSWER_DELAY_MS, Ordering::SeqCst);
    }
    let start =
        |index| Node::start(&case, &format!("n{index}"), &sites::asks_config(index, &discovery, &entries));
    let mut nodes: Vec<Node> = (0..NODES).map(start).collect();
    let limit = case.now() + TOLD_WITHIN + GRACE;
    case.log(&format!("from {limit:.4} on, no new work may reach {}", drained.name));
    let clients = nodes.iter().map(|node| Clients::new(node.address)).collect();
    let traffic =
        Traffic::start(&case, clients, (case.now() + 0.5, TRAFFIC_END), |_| 60.0, sites::asks_request, 57);
    case.sleep_until(EXECUTOR_ENDS_AT);
    drained.end();
    case.log(&format!("executor {} ends", drained.name));
    traffic.wait(&case, TRAFFIC_END + 9.0);

    let runs = drained.runs.lock().unwrap().clone();
    let late: Vec<_> = runs.iter().filter(|run| run.received_at > limit).collect();
    let outcomes = traffic.outcomes.lock().unwrap();
    let failed = |id: &str| {
        outcomes.iter().any(|outcome| outcome.request.id == id && matches!(outcome.answer, Answer::Failed(_)))
    };
    let mut lost = 0;
    for run in &late {
        let lateness = run.received_at - limit;
        let was_lost = failed(&run.id);
        lost += u32::from(was_lost);
        case.log(&format!(
            "SENT TO A DRAINING EXECUTOR: id={} {lateness:.3} s late, failed={was_lost}",
            run.id
        ));
    }
    drop(outcomes);
    let last = late.iter().map(|run| run.received_at - limit).fold(0.0, f64::max);
    let summary = format!(
        "{} requests reached the draining executor after the limit, the last one {last:.2} s after it; {lost} of them \
         failed as it ended ({})",
        late.len(),
        traffic.counts()
    );
    case.finish(&mut nodes, !late.is_empty(), &summary)
}
