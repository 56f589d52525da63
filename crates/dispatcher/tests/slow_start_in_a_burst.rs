//! Workers that return cold while the traffic is a multiple of what all workers can do, in fleets of different
//! sizes.

mod common;
use common::fleet::*;
use common::*;
use sorrelhaven_dispatcher::SlowStartRules;

const SEEDS: u64 = 5;

fn steps(steps: &[(i64, f64)]) -> Vec<TrafficStep> {
    steps.iter().map(|&(seconds, load)| TrafficStep { at: seconds * SEC, load }).collect()
}

fn worst_of(scenario: &FleetScenario) -> f64 {
    let results: Vec<SlowStartResult> =
        (1..=SEEDS).map(|seed| Fleet::play(FleetScenario { seed, ..scenario.clone() })).collect();
    let worst = results.iter().map(|result| result.worst_of_limit).fold(0.0, f64::max);
    let mean =
        |value: fn(&SlowStartResult) -> f64| results.iter().map(value).sum::<f64>() / results.len() as f64;
    println!(
        "{}: at most {worst:.2} of the limit, {:.2} on average; {:.2} of the capacity sent, {:.3} served",
        scenario.name,
        mean(|result| result.worst_of_limit),
        mean(|result| result.used),
        mean(|result| result.served),
    );
    worst
}

fn assert_within_limit(scenarios: &[FleetScenario]) {
    let worst: Vec<f64> = scenarios.iter().map(worst_of).collect();
    for (scenario, worst) in scenarios.iter().zip(worst) {
        assert!(worst <= 1.0, "{}: a worker in slow start was sent {worst:.2} of the limit", scenario.name);
    }
}

/// Guards against thirty dispatchers that together overload workers which return cold under a burst.
#[test]
fn thirty_dispatchers_do_not_overload_workers_that_return_in_a_burst() {
    assert_within_limit(&[FleetScenario { name: "burst", ..FleetScenario::default() }]);
}

/// Guards against the same overload in smaller and larger fleets, several zones and with uneven traffic.
#[test]
fn workers_that_return_in_a_burst_are_not_overloaded_in_fleets_of_any_size() {
    let fleet = |name, dispatchers, workers, returning| FleetScenario {
        name,
        dispatchers,
        workers,
        returning,
        ..FleetScenario::default()
    };
    assert_within_limit(&[
        fleet("1 dispatcher, 10 workers", 1, 10, 2),
        fleet("3 dispatchers, 10 workers", 3, 10, 2),
        fleet("8 dispatchers, 10 workers", 8, 10, 2),
        fleet("30 dispatchers, 5 workers", 30, 5, 1),
        fleet("30 dispatchers, 20 workers", 30, 20, 5),
        fleet("100 dispatchers, 10 workers", 100, 10, 2),
        fleet("100 dispatchers, 60 workers", 100, 60, 14),
        FleetScenario { zones: 3, ..fleet("100 dispatchers, 60 workers, 3 zones", 100, 60, 14) },
        FleetScenario { zones: 2, ..fleet("30 dispatchers, 10 workers, 2 zones", 30, 10, 2) },
        FleetScenario { traffic_skew: 5.0, ..fleet("30 uneven dispatchers, 10 workers", 30, 10, 2) },
        fleet("30 dispatchers, 10 workers, 6 return", 30, 10, 6),
    ]);
}

/// Guards against the same overload by traffic that shifts before, at or after the return, and with other
/// rules of slow start.
#[test]
fn workers_in_slow_start_are_not_overloaded_whenever_the_traffic_shifts() {
    let scenario = |name, traffic: &[(i64, f64)]| FleetScenario {
        name,
        traffic: steps(traffic),
        ..FleetScenario::default()
    };
    let rules = FleetScenario::default().slow_start;
    assert_within_limit(&[
        scenario("even traffic", &[(0, 0.75)]),
        scenario("overload throughout", &[(0, 1.8)]),
        scenario("burst that begins with the return", &[(0, 0.75), (24, 1.8)]),
        scenario("burst that begins in slow start", &[(0, 0.75), (30, 1.8)]),
        scenario("burst that ends before the return", &[(0, 0.75), (12, 1.8), (23, 0.75)]),
        scenario("two bursts", &[(0, 0.4), (14, 2.4), (18, 0.4), (25, 2.4), (30, 0.4)]),
        FleetScenario {
            return_gap: 2 * SEC,
            returning: 4,
            ..scenario("one after another", &[(0, 0.75), (20, 1.8)])
        },
        FleetScenario {
            slow_start: SlowStartRules { initial_capacity: 0.05, ..rules.clone() },
            ..scenario("colder start", &[(0, 0.75), (20, 1.8)])
        },
        FleetScenario {
            slow_start: SlowStartRules { overload_window: SEC / 2, ..rules.clone() },
            ..scenario("short window", &[(0, 0.75), (20, 1.8)])
        },
        FleetScenario {
            slow_start: SlowStartRules { duration: 4 * SEC, ..rules.clone() },
            ..scenario("short slow start", &[(0, 0.75), (20, 1.8)])
        },
        FleetScenario {
            slow_start: SlowStartRules {
                initial_capacity: 0.12,
                duration: 24 * SEC,
                overload_factor: 3.0,
                overload_window: SEC,
            },
            ..scenario("long slow start", &[(0, 0.75), (20, 1.8)])
        },
    ]);
}
