//! How a fleet of nodes asks discovery again after the same failure, on a simulated clock.

use crate::backoff::Backoff;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

const NODES: u64 = 100;
/// What one call takes discovery, and how long a call waits for its turn before it is refused; in milliseconds.
const CALL: u64 = 100;
const PATIENCE: u64 = 2_000;
const GRACE: i64 = 1_000_000;
const ASK_WITHIN: i64 = 10_000_000;

/// When each node got its answer, and the times of all asks, where all watches break at 0.
fn storm(closes: bool) -> (Vec<u64>, Vec<u64>) {
    let mut backoffs: Vec<Backoff> = (0..NODES).map(|seed| Backoff::new(seed, GRACE, ASK_WITHIN)).collect();
    let mut pause = |node: u64, refused| backoffs[node as usize].retry_delay(refused).as_millis() as u64;
    let mut due: BinaryHeap<Reverse<(u64, u64)>> =
        (0..NODES).map(|n| Reverse((pause(n, false), n))).collect();
    let (mut free, mut got, mut asks) = (0, Vec::new(), Vec::new());
    while let Some(Reverse((now, node))) = due.pop() {
        asks.push(now);
        if closes && now < 10_000 {
            due.push(Reverse((now + pause(node, false), node)));
        } else if free > now + PATIENCE {
            due.push(Reverse((now + pause(node, true), node)));
        } else {
            free = free.max(now) + CALL;
            got.push(free);
        }
    }
    (got, asks)
}

/// Discovery that can answer ten calls a second is asked by a hundred nodes at once.
#[test]
fn a_hundred_nodes_whose_watches_break_together_ask_again_spread_and_each_gets_there() {
    for closes in [false, true] {
        let (got, asks) = storm(closes);
        assert_eq!(got.len() as u64, NODES);
        let last = got.iter().max().expect("an answer");
        assert!(*last < 60_000, "the last one waited {last} ms");
        // A few times as many as it can answer in any second, once the first asks are over.
        let most = |from: u64| asks.iter().filter(|&&t| (from..from + 1_000).contains(&t)).count();
        let crowd = (4_000..60_000).step_by(100).map(most).max().expect("a second");
        assert!(crowd <= 40, "{crowd} asks in one second (closes: {closes})");
        let at_once =
            (0..60_000).step_by(10).map(|at| asks.iter().filter(|&&t| (at..at + 10).contains(&t)).count());
        assert!(at_once.max().expect("a moment") <= 8, "asks in step (closes: {closes})");
    }
}

#[test]
fn equal_seeds_give_equal_pauses_and_none_is_over_its_bound() {
    let pauses = |seed| {
        let mut backoff = Backoff::new(seed, GRACE, ASK_WITHIN);
        (0..12).map(|i| backoff.retry_delay(i > 5)).collect::<Vec<_>>()
    };
    assert_eq!(pauses(7), pauses(7));
    assert_ne!(pauses(7), pauses(8));
    assert!(pauses(9).iter().all(|p| p.as_secs_f64() <= 16.0));
    let mut backoff = Backoff::new(3, GRACE, ASK_WITHIN);
    assert!((0..9).all(|_| backoff.retry_delay(true).as_secs_f64() <= 16.0));
    backoff.reset();
    assert!(backoff.retry_delay(false).as_secs_f64() <= 1.0, "a reset begins again");
}

/// An agent that speaks again may tell of a drain of which the grace runs already: it is asked within half of that.
#[test]
fn an_agent_is_asked_anew_well_within_the_grace_of_a_drain() {
    for grace in [250_000, 500_000, 1_000_000, 2_000_000] {
        let mut backoff = Backoff::new(5, grace, ASK_WITHIN);
        let pauses: Vec<u128> = (0..99).map(|_| backoff.hedge_delay().as_micros()).collect();
        assert!(pauses.iter().all(|&p| (grace as u128 / 5..=grace as u128 / 2).contains(&p)), "{grace}");
        assert!(pauses.iter().min() < pauses.iter().max(), "in step");
    }
    // Settings out of all range neither ask without a pause nor wait for ever.
    for (grace, least, most) in [(0, 40, 100), (-7, 40, 100), (i64::MAX, 400, 1_000)] {
        let pause = Backoff::new(5, grace, ASK_WITHIN).hedge_delay().as_millis();
        assert!((least..=most).contains(&pause), "{grace}: {pause} ms");
    }
}

/// A site that wants its list asked for more often than every 8 s is not paused beyond it, after failures or refusals.
#[test]
fn no_pause_outlasts_the_time_within_which_a_list_must_be_asked_for() {
    for (ask_within, most) in
        [(2_000_000, 4), (600_000, 2), (0, 1), (-9, 1), (10_000_000, 16), (i64::MAX, 16)]
    {
        for refused in [false, true] {
            let mut backoff = Backoff::new(11, GRACE, ask_within);
            let pauses: Vec<f64> = (0..99).map(|_| backoff.retry_delay(refused).as_secs_f64()).collect();
            assert!(pauses.iter().all(|p| *p <= most as f64), "{ask_within}: {pauses:?}");
            assert!(pauses.iter().any(|p| *p > most as f64 / 2.0), "{ask_within}: less than it may");
        }
    }
}
