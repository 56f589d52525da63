//! Delays between polls of discovery: bounds, and how a fleet of nodes polls again after the same failure, on
//! a simulated clock.

use crate::backoff::Backoff;
use sorrelhaven_dispatcher::Micros;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

const NODES: u64 = 100;
/// How long one poll occupies discovery, in milliseconds.
const POLL_MS: u64 = 100;
/// How long a poll waits for its turn before discovery rejects it, in milliseconds.
const MAX_WAIT_MS: u64 = 2_000;
/// How long discovery closes all connections, where it does, in milliseconds.
const OUTAGE_MS: u64 = 10_000;
const DRAIN_GRACE: Micros = 1_000_000;
const POLL_WITHIN: Micros = 10_000_000;

/// What happened after all watches broke at time 0, in milliseconds.
struct Recovery {
    /// When each node got its list.
    served_at: Vec<u64>,
    /// When discovery was polled.
    polled_at: Vec<u64>,
}

/// Simulates the polls of a fleet; `closes`: discovery closes all connections at first.
fn recover(closes: bool) -> Recovery {
    let mut backoffs: Vec<Backoff> =
        (0..NODES).map(|seed| Backoff::new(seed, DRAIN_GRACE, POLL_WITHIN)).collect();
    let mut delay = |node: u64, rejected| backoffs[node as usize].retry_delay(rejected).as_millis() as u64;
    let mut polls: BinaryHeap<Reverse<(u64, u64)>> =
        (0..NODES).map(|node| Reverse((delay(node, false), node))).collect();
    let mut free_at = 0;
    let mut recovery = Recovery { served_at: Vec::new(), polled_at: Vec::new() };
    while let Some(Reverse((now, node))) = polls.pop() {
        recovery.polled_at.push(now);
        if closes && now < OUTAGE_MS {
            polls.push(Reverse((now + delay(node, false), node)));
        } else if free_at > now + MAX_WAIT_MS {
            polls.push(Reverse((now + delay(node, true), node)));
        } else {
            free_at = free_at.max(now) + POLL_MS;
            recovery.served_at.push(free_at);
        }
    }
    recovery
}

/// Discovery that can answer ten polls a second is polled by a hundred nodes at once.
#[test]
fn a_hundred_nodes_whose_watches_break_together_poll_again_spread_and_each_is_served() {
    for closes in [false, true] {
        let Recovery { served_at, polled_at } = recover(closes);
        assert_eq!(served_at.len() as u64, NODES);
        let last = served_at.iter().max().expect("a node that was served");
        assert!(*last < 60_000, "the last one waited {last} ms");
        let polls_within =
            |from: u64, span: u64| polled_at.iter().filter(|&&at| (from..from + span).contains(&at)).count();
        // A few times as many as it can answer in any second, once the first polls are over.
        let busiest_second = (4_000..60_000).step_by(100).map(|from| polls_within(from, 1_000)).max();
        let most = busiest_second.expect("a second");
        assert!(most <= 40, "{most} polls in one second (closes: {closes})");
        let busiest_moment = (0..60_000).step_by(10).map(|from| polls_within(from, 10)).max();
        assert!(busiest_moment.expect("a moment") <= 8, "polls in step (closes: {closes})");
    }
}

#[test]
fn equal_seeds_draw_equal_delays_and_none_exceeds_its_bound() {
    let delays = |seed| {
        let mut backoff = Backoff::new(seed, DRAIN_GRACE, POLL_WITHIN);
        (0..12).map(|i| backoff.retry_delay(i > 5)).collect::<Vec<_>>()
    };
    assert_eq!(delays(7), delays(7));
    assert_ne!(delays(7), delays(8));
    assert!(delays(9).iter().all(|delay| delay.as_secs_f64() <= 16.0));
    let mut backoff = Backoff::new(3, DRAIN_GRACE, POLL_WITHIN);
    assert!((0..9).all(|_| backoff.retry_delay(true).as_secs_f64() <= 16.0));
    backoff.reset();
    assert!(backoff.retry_delay(false).as_secs_f64() <= 1.0, "a reset returns to the first bound");
}

/// An agent that answers again may report a drain whose grace has begun already: it is polled within half of
/// that.
#[test]
fn a_hedged_poll_follows_well_within_the_grace_of_a_drain() {
    for grace in [250_000, 500_000, 1_000_000, 2_000_000] {
        let mut backoff = Backoff::new(5, grace, POLL_WITHIN);
        let delays: Vec<u128> = (0..99).map(|_| backoff.hedge_delay().as_micros()).collect();
        let bounds = grace as u128 / 5..=grace as u128 / 2;
        assert!(delays.iter().all(|delay| bounds.contains(delay)), "{grace}");
        assert!(delays.iter().min() < delays.iter().max(), "in step");
    }
    // Settings out of all range neither poll without a delay nor wait for ever.
    for (grace, least, most) in [(0, 40, 100), (-7, 40, 100), (i64::MAX, 400, 1_000)] {
        let delay = Backoff::new(5, grace, POLL_WITHIN).hedge_delay().as_millis();
        assert!((least..=most).contains(&delay), "{grace}: {delay} ms");
    }
}

/// A site whose list must be polled more often than every 8 s gets no longer delays, after failures or
/// rejections.
#[test]
fn no_delay_exceeds_the_time_within_which_a_list_must_be_polled() {
    for (poll_within, most) in
        [(2_000_000, 4), (600_000, 2), (0, 1), (-9, 1), (10_000_000, 16), (i64::MAX, 16)]
    {
        for rejected in [false, true] {
            let mut backoff = Backoff::new(11, DRAIN_GRACE, poll_within);
            let delays: Vec<f64> = (0..99).map(|_| backoff.retry_delay(rejected).as_secs_f64()).collect();
            assert!(delays.iter().all(|delay| *delay <= most as f64), "{poll_within}: {delays:?}");
            assert!(
                delays.iter().any(|delay| *delay > most as f64 / 2.0),
                "{poll_within}: shorter than allowed"
            );
        }
    }
}
