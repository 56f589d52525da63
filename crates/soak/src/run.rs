//! Runs the soak that a plan describes.

use crate::client::{Client, ClientRecords};
use crate::fleet::{Environment, Fleet};
use crate::plan::Plan;
use crate::verdict::Verdict;
use fastrand::Rng;
use sorrelhaven_test_support::DeliveryChecker;
use std::path::Path;
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::{self, JoinHandle};
use std::time::Instant;

const CLIENTS_PER_NODE: usize = 3;

/// Runs the soak `plan` with the program at the path `program`, and compares what clients received with what
/// workers executed.
///
/// # Panics
/// If a process of the program can't be started, or a client panics.
pub fn run(program: &Path, plan: &Plan) -> Verdict {
    let environment = Environment::start(plan.size);
    let mut fleet = Fleet::start(program, plan, &environment);
    let started_at = Instant::now();
    let records = Arc::new(ClientRecords {
        checker: DeliveryChecker::default(),
        lost: Mutex::default(),
        until: started_at + plan.size.duration,
    });
    let clients = spawn_clients(plan, &fleet, &records);
    for timed in &plan.timeline {
        thread::sleep((started_at + timed.at).saturating_duration_since(Instant::now()));
        fleet.inject(timed.fault, &environment);
    }
    for client in clients {
        client.join().expect("the client thread does not panic");
    }
    let mut verdict = fleet.terminate();
    verdict.violations.extend(records.checker.violations(&environment.workers.executed_requests()));
    verdict.violations.append(&mut records.lost.lock().unwrap_or_else(PoisonError::into_inner));
    let totals = records.checker.totals();
    verdict.requested = totals.requested;
    verdict.served = totals.served;
    verdict
}

fn spawn_clients(plan: &Plan, fleet: &Fleet, records: &Arc<ClientRecords>) -> Vec<JoinHandle<()>> {
    let node_count = plan.size.nodes;
    let spawn_client = |number: usize| {
        let node = fleet.history(number % node_count);
        let records = records.clone();
        let rng = Rng::with_seed(plan.seed ^ ((number as u64) << 32));
        thread::spawn(move || Client { number, node: &node, records: &records, rng }.run())
    };
    (0..node_count * CLIENTS_PER_NODE).map(spawn_client).collect()
}
