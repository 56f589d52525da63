//! A client at full speed must neither delay others nor make the node's memory grow.

use crate::bystander::Bystander;
use crate::flood::{FloodKind, flood};
use crate::node::{Limits, Node};
use sorrelhaven_test_support::CpuShare;
use std::time::Duration;

/// How long the client sends.
const FLOOD_DURATION: Duration = Duration::from_secs(3);
/// The part of a core that the node has: several nodes share one.
const NODE_SHARE: f64 = 0.5;
/// The fraction of a bystander's requests that must be served beside the flood: half, as the gate wants it.
const MIN_SERVED: f64 = 0.5;

/// Requests without an answer at the same time, of a client that loses none of them. More would not be read.
const WINDOW: u64 = 50;

/// Guards against a client whose small or unsound requests, also under ever new names, take all turns of the
/// node's only thread, or memory that is never released.
fn a_client_at_full_speed_is_bearable(window: u64, name: &str) {
    let limits = Limits { memory_mb: 32, sockets: 256 };
    let mut node = Node::start_with_entries(limits, 200, name);
    let _share = CpuShare::limit(node.program.child.id(), NODE_SHARE);
    let mut faults = Vec::new();
    for kind in FloodKind::ALL {
        let case = format!("{kind:?}");
        let bystander = Bystander::start(&node.program.address, &case);
        let answered = flood(&node.program.address, kind, window, FLOOD_DURATION);
        println!("{answered} answers to the flood: {case}");
        faults.extend(bystander.stop().faults(MIN_SERVED, &case));
        faults.extend(node.faults(&case));
    }
    assert_eq!(faults, [""; 0]);
}

#[test]
fn a_client_that_sends_without_a_pause_delays_no_other_and_fills_no_memory() {
    a_client_at_full_speed_is_bearable(u64::MAX, "flood");
}

#[test]
fn a_client_that_sends_as_fast_as_it_is_answered_delays_no_other_and_fills_no_memory() {
    a_client_at_full_speed_is_bearable(WINDOW, "flood-window");
}
