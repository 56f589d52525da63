//! Start times of workers, evaluated with wall clocks that are wrong.

use crate::start_times::StartTimes;
use sorrelhaven_dispatcher::{Micros, WorkerId};

const SECOND: Micros = 1_000_000;
/// The true time at which the node starts.
const NOW: Micros = 1_800_000_000 * SECOND;
const HOUR: Micros = 3_600 * SECOND;

/// The workers' dates in a list, and when it is read.
#[derive(Clone, Copy)]
struct DatedList<'a> {
    read_at: Micros,
    dates: &'a [Micros],
}

/// The ages of the workers `at` a time, as a node sees them whose clock is ahead by `clock_error`. The first
/// list is the configured one.
fn ages(clock_error: Micros, lists: &[DatedList<'_>], at: Micros) -> Vec<Micros> {
    let mut start_times = StartTimes::default();
    let mut starts = Vec::new();
    for DatedList { read_at, dates } in lists {
        let now = read_at + clock_error;
        start_times.begin_list(dates.iter().copied(), now);
        let evaluate =
            |(worker, dated): (usize, &Micros)| start_times.started_at(WorkerId(worker as u32), *dated, now);
        starts = dates.iter().enumerate().map(evaluate).collect();
        start_times.end_list(now);
    }
    starts.iter().map(|start| if *start == 0 { Micros::MAX } else { at + clock_error - start }).collect()
}

#[test]
fn a_worker_that_has_just_started_is_young_whatever_the_wall_clock_says() {
    let list = DatedList { read_at: NOW, dates: &[0, NOW - 100 * SECOND, NOW - 2 * SECOND] };
    for clock_error in [0, HOUR, -HOUR, 7 * SECOND, -7 * SECOND] {
        let ages = ages(clock_error, &[list, list], NOW + 10 * SECOND);
        assert_eq!(ages[0], Micros::MAX, "long ago");
        assert!(ages[2] <= 12 * SECOND, "off by {clock_error}: {ages:?}");
        assert!(
            ages[1] >= 100 * SECOND,
            "off by {clock_error}: one that is known to be older stays older: {ages:?}"
        );
    }
}

#[test]
fn a_worker_that_changes_later_is_young_whatever_its_date() {
    let initial = DatedList { read_at: NOW, dates: &[0, NOW - 1_000 * SECOND] };
    // The clock of the worker's machine is an hour behind, an hour ahead, and right.
    for dated in [NOW - HOUR, NOW + HOUR, NOW + 4 * SECOND] {
        let change = DatedList { read_at: NOW + 5 * SECOND, dates: &[0, dated] };
        let ages = ages(0, &[initial, initial, change], NOW + 5 * SECOND);
        assert!((0..=5 * SECOND).contains(&ages[1]), "dated {}: {ages:?}", dated - NOW);
    }
}

#[test]
fn a_date_is_evaluated_once_and_one_in_the_future_makes_no_worker_older() {
    let initial = DatedList { read_at: NOW, dates: &[NOW - 3 * SECOND, NOW - 500 * SECOND] };
    let change = DatedList { read_at: NOW + 4 * SECOND, dates: &[NOW - 3 * SECOND, NOW + HOUR] };
    let ages = ages(0, &[initial, initial, change], NOW + 5 * SECOND);
    assert!(ages[0] <= 8 * SECOND, "its slow start goes on: {ages:?}");
}

#[test]
fn the_first_list_of_discovery_corrects_the_configured_one() {
    let configured = DatedList { read_at: NOW, dates: &[NOW - 900 * SECOND, NOW - 950 * SECOND] };
    let first = DatedList { read_at: NOW + SECOND, dates: &[NOW - 900 * SECOND, NOW - SECOND] };
    let ages = ages(0, &[configured, first], NOW + SECOND);
    assert!(ages[0] >= 800 * SECOND && ages[1] <= 2 * SECOND, "{ages:?}");
}
