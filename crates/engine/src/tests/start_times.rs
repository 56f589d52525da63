//! Starts of executors, read with wall clocks that are wrong.

use crate::start_times::StartTimes;
use sorrelhaven_dispatcher::{Micros, WorkerId};

const S: Micros = 1_000_000;
/// The node's clock as it starts, right or wrong.
const NOW: Micros = 1_800_000_000 * S;
const HOUR: Micros = 3_600 * S;

/// The ages that a node sees `at` whose clock is `off`, given lists of dates: the known one first.
fn ages(off: Micros, lists: &[(Micros, &[Micros])], at: Micros) -> Vec<Micros> {
    let (mut births, mut starts) = (StartTimes::default(), Vec::new());
    for (read_at, dates) in lists {
        let now = read_at + off;
        births.begin_list(dates.iter().copied(), now);
        let start =
            |(worker, dated): (usize, &Micros)| births.started_at(WorkerId(worker as u32), *dated, now);
        starts = dates.iter().enumerate().map(start).collect();
        births.end_list(now);
    }
    starts.iter().map(|start| if *start == 0 { Micros::MAX } else { at + off - start }).collect()
}

#[test]
fn an_executor_that_has_just_started_is_young_whatever_the_wall_clock_says() {
    let dates = [0, NOW - 100 * S, NOW - 2 * S];
    for off in [0, HOUR, -HOUR, 7 * S, -7 * S] {
        let ages = ages(off, &[(NOW, &dates), (NOW, &dates)], NOW + 10 * S);
        assert_eq!(ages[0], Micros::MAX, "long ago");
        assert!(ages[2] <= 12 * S, "off by {off}: {ages:?}");
        assert!(ages[1] >= 100 * S, "off by {off}: one that is known to be older stays older: {ages:?}");
    }
}

#[test]
fn what_is_first_seen_as_a_change_is_young_whatever_its_date() {
    let before = [0, NOW - 1_000 * S];
    // Its machine's clock is an hour behind, ahead, and right; the list was read 3 s before.
    for dated in [NOW - HOUR, NOW + HOUR, NOW + 4 * S] {
        let (known, change) = ((NOW, &before[..]), [0, dated]);
        let ages = ages(0, &[known, known, (NOW + 5 * S, &change)], NOW + 5 * S);
        assert!((0..=5 * S).contains(&ages[1]), "dated {}: {ages:?}", dated - NOW);
    }
}

#[test]
fn a_date_is_read_once_and_one_in_the_future_ages_nobody() {
    let first = [NOW - 3 * S, NOW - 500 * S];
    let later = [NOW - 3 * S, NOW + HOUR];
    let ages = ages(0, &[(NOW, &first), (NOW, &first), (NOW + 4 * S, &later)], NOW + 5 * S);
    assert!(ages[0] <= 8 * S, "its slow start goes on: {ages:?}");
}

#[test]
fn the_first_list_of_discovery_corrects_the_one_that_was_known() {
    let known = [NOW - 900 * S, NOW - 950 * S];
    let first = [NOW - 900 * S, NOW - S];
    let ages = ages(0, &[(NOW, &known), (NOW + S, &first)], NOW + S);
    assert!(ages[0] >= 800 * S && ages[1] <= 2 * S, "{ages:?}");
}
