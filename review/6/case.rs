//! A second answer of an executor, some milliseconds late, is taken for the answer to the next request on the
//! connection: a job that an executor runs is sent to another one and runs twice. See claim.txt.

#[path = "../stand-2/sites.rs"]
mod sites;
#[path = "../stand-2/stand.rs"]
mod stand;

use sites::{LESEN_CELLS, LESEN_EXECUTORS, NODES};
use stand::{Case, Clients, Discovery, Executor, ExecutorPlan, Node, Random, Request, Traffic};
use std::collections::HashMap;
use std::sync::atomic::Ordering;

const TRAFFIC_END: f64 = 98.0;
/// Executors turn away what leaves them less time than this.
const LEAST_TIME_MS: u64 = 60;

/// One request in ten has little work and very little time left.
fn request(number: u64, random: &mut Random) -> Request {
    let mut request = sites::lesen_request(number, random);
    if random.unit() < 0.10 {
        let work = random.between(4.0, 15.0);
        request.timeout_ms = random.between(35.0, 55.0) as u64;
        request.hint_us = (work * 1e3) as u64;
        request.body = format!("work_ms={work:.0}");
    }
    request
}

fn main() {
    let case = Case::new();
    let plan = ExecutorPlan {
        slots: 6,
        queue: 40,
        takes: (0.003, 0.005),
        second_share: if case.trouble { 0.5 } else { 0.0 },
        second_late: (0.002, 0.006),
        tells_start: true,
        least_time_ms: LEAST_TIME_MS,
    };
    let executors = sites::start_executors(&case, LESEN_EXECUTORS, &plan);
    let entries = sites::lesen_entries(&executors);
    let discovery = Discovery::start(&case, entries.clone());
    let start =
        |index| Node::start(&case, &format!("n{index}"), &sites::lesen_config(index, &discovery, &entries));
    let mut nodes: Vec<Node> = (0..NODES).map(start).collect();
    let clients = nodes.iter().map(|node| Clients::new(node.address)).collect();
    let traffic = Traffic::start(&case, clients, (case.now() + 0.5, TRAFFIC_END), |_| 150.0, request, 59);
    traffic.wait(&case, TRAFFIC_END + 8.0);

    let counts = traffic.counts();
    let outcomes = traffic.outcomes.lock().unwrap();
    let class_of: HashMap<&str, &str> = outcomes
        .iter()
        .map(|outcome| (outcome.request.id.as_str(), outcome.request.class.as_str()))
        .collect();
    let mut runs: HashMap<String, Vec<usize>> = HashMap::new();
    for (index, executor) in executors.iter().enumerate() {
        for run in executor.runs.lock().unwrap().iter() {
            runs.entry(run.id.clone()).or_default().push(index);
        }
    }
    let (mut charges, mut licences) = (0, 0);
    for (id, places) in runs.iter().filter(|(_, places)| places.len() > 1) {
        let names: Vec<&str> = places.iter().map(|&index| executors[index].name.as_str()).collect();
        let class = class_of.get(id.as_str()).copied().unwrap_or("unknown");
        // A repeat of licence-issue is dropped by the executors of the cell that has it, and only by these.
        let is_broken = class == "fee-charge"
            || places.iter().any(|index| index % LESEN_CELLS != places[0] % LESEN_CELLS);
        if is_broken {
            *if class == "fee-charge" { &mut charges } else { &mut licences } += 1;
            case.log(&format!("RUN TWICE: id={id} class={class} at {names:?}"));
        }
    }
    let sum = |count: fn(&Executor) -> u64| executors.iter().map(|executor| count(executor)).sum::<u64>();
    let refused = sum(|executor| executor.refused.load(Ordering::SeqCst));
    let seconds = sum(|executor| executor.seconds.load(Ordering::SeqCst));
    let summary = format!(
        "{charges} of fee-charge ran twice, {licences} of licence-issue in two cells ({} requests: {counts}; {refused} \
         turned away by executors, {seconds} of these answers sent twice)",
        outcomes.len()
    );
    drop(outcomes);
    case.finish(&mut nodes, charges + licences > 0, &summary)
}
