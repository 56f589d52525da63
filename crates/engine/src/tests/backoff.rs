//! Tests the delays between polls of discovery: their bounds, and how a hundred nodes poll again after a
//! common failure, on a simulated clock.

use crate::backoff::Backoff;
use sorrelhaven_dispatcher::Micros;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

const NODE_COUNT: u64 = 100;
/// How long discovery takes to respond to a poll, in milliseconds. It handles one poll at a time.
const RESPONSE_TIME_MS: u64 = 100;
/// Discovery rejects a poll that would be queued for longer than this, in milliseconds.
const MAX_QUEUE_TIME_MS: u64 = 2_000;
/// How long an outage lasts in which discovery closes all connections, in milliseconds.
const OUTAGE_MS: u64 = 10_000;
const DRAIN_GRACE: Micros = 1_000_000;
const MAX_LIST_STALENESS: Micros = 10_000_000;

/// The events after the watches of all nodes failed at time 0. Times are in milliseconds.
struct Recovery {
    /// When each node received its list, in order of time.
    received_at: Vec<u64>,
    /// When discovery was polled, including the polls that failed.
    polled_at: Vec<u64>,
}

/// Simulates the polls of all nodes; `with_outage`: discovery has an outage until [`OUTAGE_MS`].
fn simulate_recovery(with_outage: bool) -> Recovery {
    let mut backoffs: Vec<Backoff> =
        (0..NODE_COUNT).map(|seed| Backoff::new(seed, DRAIN_GRACE, MAX_LIST_STALENESS)).collect();
    let mut delay = |node: u64, rejected| backoffs[node as usize].retry_delay(rejected).as_millis() as u64;
    let mut polls: BinaryHeap<Reverse<(u64, u64)>> =
        (0..NODE_COUNT).map(|node| Reverse((delay(node, false), node))).collect();
    let mut idle_at = 0;
    let mut recovery = Recovery { received_at: Vec::new(), polled_at: Vec::new() };
    while let Some(Reverse((now, node))) = polls.pop() {
        recovery.polled_at.push(now);
        if with_outage && now < OUTAGE_MS {
            polls.push(Reverse((now + delay(node, false), node)));
        } else if idle_at > now + MAX_QUEUE_TIME_MS {
            polls.push(Reverse((now + delay(node, true), node)));
        } else {
            idle_at = idle_at.max(now) + RESPONSE_TIME_MS;
            recovery.received_at.push(idle_at);
        }
    }
    recovery
}

/// Nodes whose watches fail together must not poll again together: discovery, which can respond to ten polls
/// in a second here, would reject the same nodes each time.
#[test]
fn a_hundred_nodes_whose_watches_break_together_poll_again_spread_and_each_is_served() {
    for with_outage in [false, true] {
        let Recovery { received_at, polled_at } = simulate_recovery(with_outage);
        assert_eq!(received_at.len() as u64, NODE_COUNT);
        let last = received_at.iter().max().expect("a node has received its list");
        assert!(*last < 60_000, "the last node received its list after {last} ms");
        let polls_within =
            |from: u64, span: u64| polled_at.iter().filter(|&&at| (from..from + span).contains(&at)).count();
        // After the first 4 s, at most four times the polls that discovery can respond to, in any second.
        let busiest_second = (4_000..60_000).step_by(100).map(|from| polls_within(from, 1_000)).max();
        let max_polls = busiest_second.expect("the simulation covers a second");
        assert!(max_polls <= 40, "{max_polls} polls in one second (with an outage: {with_outage})");
        let busiest_10_ms = (0..60_000).step_by(10).map(|from| polls_within(from, 10)).max();
        assert!(
            busiest_10_ms.expect("the simulation covers 10 ms") <= 8,
            "too many polls within 10 ms (with an outage: {with_outage})"
        );
    }
}

#[test]
fn equal_seeds_draw_equal_delays_and_none_exceeds_its_bound() {
    let delays = |seed| {
        let mut backoff = Backoff::new(seed, DRAIN_GRACE, MAX_LIST_STALENESS);
        (0..12).map(|i| backoff.retry_delay(i > 5)).collect::<Vec<_>>()
    };
    assert_eq!(delays(7), delays(7));
    assert_ne!(delays(7), delays(8));
    assert!(delays(9).iter().all(|delay| delay.as_secs_f64() <= 16.0));
    let mut backoff = Backoff::new(3, DRAIN_GRACE, MAX_LIST_STALENESS);
    assert!((0..9).all(|_| backoff.retry_delay(true).as_secs_f64() <= 16.0));
    backoff.reset();
    assert!(backoff.retry_delay(false).as_secs_f64() <= 1.0, "a reset restores the initial bound of 1 s");
}

/// An agent that responds again after an outage may report a drain whose grace period has already begun, so
/// it is polled again within half of that period.
#[test]
fn a_hedged_poll_follows_well_within_the_grace_of_a_drain() {
    for grace in [250_000, 500_000, 1_000_000, 2_000_000] {
        let mut backoff = Backoff::new(5, grace, MAX_LIST_STALENESS);
        let delays: Vec<u128> = (0..99).map(|_| backoff.hedge_delay().as_micros()).collect();
        let bounds = grace as u128 / 5..=grace as u128 / 2;
        assert!(delays.iter().all(|delay| bounds.contains(delay)), "drain grace of {grace} us: {delays:?}");
        assert!(delays.iter().min() < delays.iter().max(), "all delays are equal: {delays:?}");
    }
    // Far too short or too long a drain grace neither removes the delay nor makes it endless.
    for (grace, least, most) in [(0, 40, 100), (-7, 40, 100), (i64::MAX, 400, 1_000)] {
        let delay = Backoff::new(5, grace, MAX_LIST_STALENESS).hedge_delay().as_millis();
        assert!((least..=most).contains(&delay), "drain grace of {grace} us: a delay of {delay} ms");
    }
}

/// After a failed poll, the platform treats a node as notified of a change after four times the staleness of
/// the worker list that the settings allow. Delays after failures and rejections take at most half of that
/// time, and the rest is left for the poll; their bound is never below 1 s or above 16 s.
#[test]
fn no_delay_exceeds_the_time_within_which_a_list_must_be_polled() {
    for (max_list_staleness, max_delay_s) in
        [(2_000_000, 4), (600_000, 2), (0, 1), (-9, 1), (10_000_000, 16), (i64::MAX, 16)]
    {
        for rejected in [false, true] {
            let mut backoff = Backoff::new(11, DRAIN_GRACE, max_list_staleness);
            let delays: Vec<f64> = (0..99).map(|_| backoff.retry_delay(rejected).as_secs_f64()).collect();
            assert!(
                delays.iter().all(|delay| *delay <= max_delay_s as f64),
                "staleness of {max_list_staleness} us: {delays:?}"
            );
            assert!(
                delays.iter().any(|delay| *delay > max_delay_s as f64 / 2.0),
                "staleness of {max_list_staleness} us: no delay exceeds half of its bound"
            );
        }
    }
}
