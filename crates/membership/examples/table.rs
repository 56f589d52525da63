//! Prints the table of `docs/membership.md`: detection times, false deaths and traffic for clusters of the
//! given numbers of members, without and with faults.
//!
//!     cargo run --release -p sorrelhaven-membership --example table -- 5 50 300
//!
//! If the environment variable `SVG` names a file, a plot of the detection times is written to it.

#[path = "../tests/common/mod.rs"]
mod common;
use common::{Cluster, MILLISECOND, SECOND};
use sorrelhaven_membership::{MemberState, Micros};
use std::fmt::Write;

/// Members that are killed in each measured cluster, at most.
const MAX_DEATHS: usize = 5;

/// The faults of the network and the processes during a measurement.
#[derive(Clone, Copy)]
struct Condition {
    name: &'static str,
    /// The probability that a datagram is lost.
    loss: f64,
    /// Whether one member at a time is paused for 0.9 s of each second.
    has_pauses: bool,
}

const CONDITIONS: [Condition; 4] = [
    Condition { name: "none", loss: 0.0, has_pauses: false },
    Condition { name: "5% lost", loss: 0.05, has_pauses: false },
    Condition { name: "20% lost", loss: 0.2, has_pauses: false },
    Condition { name: "pauses of 0.9 s", loss: 0.0, has_pauses: true },
];

/// False deaths and traffic of a cluster in which no member is killed.
struct SteadyState {
    /// How often a live member was declared dead.
    false_deaths: u64,
    member_hours: f64,
    bytes_per_member_second: f64,
}

/// The time from each death until each surviving member knew of it.
struct DetectionTimes {
    members: usize,
    /// In milliseconds, ascending.
    sorted_ms: Vec<Micros>,
}

fn converged_cluster(count: usize) -> Cluster {
    let mut cluster = Cluster::new(count, 26);
    cluster.run_until(120 * SECOND, Cluster::is_converged);
    cluster
}

/// Kills up to [`MAX_DEATHS`] members one after another, and measures how long each surviving member takes to
/// consider them dead. One that takes more than 20 s is not counted.
fn measure_detection(count: usize) -> DetectionTimes {
    let mut cluster = converged_cluster(count);
    let mut times = Vec::new();
    for dead in (0..count).rev().take(MAX_DEATHS.min(count - 2)) {
        cluster.kill(dead);
        let killed_at = cluster.now;
        let mut unaware: Vec<usize> = cluster.running().collect();
        while !unaware.is_empty() && cluster.now < killed_at + 20 * SECOND {
            cluster.run(cluster.now + 50 * MILLISECOND);
            unaware.retain(|&observer| {
                let knows = cluster.state(observer, dead) == Some(MemberState::Dead);
                times.extend(knows.then(|| (cluster.now - killed_at) / MILLISECOND));
                !knows
            });
        }
    }
    times.sort_unstable();
    DetectionTimes { members: count, sorted_ms: times }
}

/// Counts the live members that are declared dead, and measures the traffic.
fn measure_steady_state(count: usize, condition: Condition) -> SteadyState {
    let mut cluster = converged_cluster(count);
    cluster.loss = Box::new(move |_, _| condition.loss);
    let started_at = cluster.now;
    let bytes_before = cluster.sum(|metrics| metrics.bytes_sent);
    let duration = (36_000 * SECOND / count as Micros).clamp(30 * SECOND, 1_200 * SECOND);
    while cluster.now < started_at + duration {
        cluster.run(cluster.now + SECOND);
        if condition.has_pauses {
            let paused = (cluster.now / SECOND) as usize * 7 % count;
            cluster.pause(paused, 900 * MILLISECOND);
        }
    }
    let member_seconds = count as f64 * duration as f64 / SECOND as f64;
    SteadyState {
        false_deaths: cluster.sum(|metrics| metrics.declared_dead),
        member_hours: member_seconds / 3_600.0,
        bytes_per_member_second: (cluster.sum(|metrics| metrics.bytes_sent) - bytes_before) as f64
            / member_seconds,
    }
}

/// The horizontal position in the plot of a time since a death.
fn plot_x(milliseconds: f64) -> f64 {
    50.0 + milliseconds * 0.14
}

/// The vertical position in the plot of a share of members.
fn plot_y(share: f64) -> f64 {
    290.0 - share * 250.0
}

/// Plots, as SVG, the share of members that know of a death by the time since the death, with one line per
/// cluster size.
fn plot(measured: &[DetectionTimes]) -> String {
    let mut svg = String::from(concat!(
        "<svg xmlns=\"http://www.w3.org/2000/svg\" viewBox=\"0 0 640 330\" font-family=\"sans-serif\" font-size=\"12\">\n",
        "<rect width=\"640\" height=\"330\" fill=\"white\"/>\n",
    ));
    plot_axes(&mut svg);
    for (index, times) in measured.iter().enumerate() {
        plot_line(&mut svg, index, times);
    }
    svg + "</svg>\n"
}

fn plot_axes(svg: &mut String) {
    for tick in 0..5 {
        let at = plot_x(f64::from(tick) * 1_000.0);
        let _ = writeln!(
            svg,
            "<path d=\"M{at} 40V290\" stroke=\"#ddd\"/><text x=\"{at}\" y=\"306\">{tick} s</text>"
        );
        let at = plot_y(f64::from(tick) / 4.0);
        let _ = writeln!(
            svg,
            "<path d=\"M50 {at}H610\" stroke=\"#ddd\"/><text x=\"8\" y=\"{at}\">{} %</text>",
            tick * 25
        );
    }
    let _ = writeln!(svg, "<text x=\"50\" y=\"24\">members that know of a death, by the time since</text>");
}

fn plot_line(svg: &mut String, index: usize, times: &DetectionTimes) {
    const COLOURS: [&str; 4] = ["#1b6ca8", "#c2571a", "#3a7d44", "#7b3f8c"];
    let colour = COLOURS[index % COLOURS.len()];
    let mut path = format!("M{:.1} {:.1}", plot_x(0.0), plot_y(0.0));
    for (known, &milliseconds) in times.sorted_ms.iter().enumerate() {
        let share = (known + 1) as f64 / times.sorted_ms.len() as f64;
        let _ = write!(path, "H{:.1}V{:.1}", plot_x(milliseconds as f64), plot_y(share));
    }
    let _ = writeln!(svg, "<path d=\"{path}\" fill=\"none\" stroke=\"{colour}\" stroke-width=\"2\"/>");
    let _ = writeln!(
        svg,
        "<text x=\"520\" y=\"{}\" fill=\"{colour}\">{} members</text>",
        200 + 18 * index,
        times.members
    );
}

/// Measures detection times and all conditions for one cluster size, in parallel threads with a cluster each.
fn measure(count: usize) -> (DetectionTimes, [SteadyState; CONDITIONS.len()]) {
    std::thread::scope(|scope| {
        let times = scope.spawn(move || measure_detection(count));
        let runs = CONDITIONS.map(|condition| scope.spawn(move || measure_steady_state(count, condition)));
        (
            times.join().expect("the measurement does not panic"),
            runs.map(|run| run.join().expect("the measurement does not panic")),
        )
    })
}

fn print_rows(times: &DetectionTimes, steady_states: &[SteadyState]) {
    let quantile = |share: f64| times.sorted_ms[((times.sorted_ms.len() - 1) as f64 * share) as usize];
    let known = format!("{}, {}, {}", quantile(0.5), quantile(0.99), quantile(1.0));
    for (condition, measured) in CONDITIONS.iter().zip(steady_states) {
        println!(
            "| {} | {known} | {} | {} in {:.1} | {:.0} |",
            times.members,
            condition.name,
            measured.false_deaths,
            measured.member_hours,
            measured.bytes_per_member_second
        );
    }
}

fn main() {
    let mut measured = Vec::new();
    println!(
        "| members | death known, ms: median, 99th, last | faults | false deaths in member hours | bytes a member and second |"
    );
    println!("| --- | --- | --- | --- | --- |");
    for count in std::env::args().skip(1).filter_map(|argument| argument.parse().ok()) {
        let (times, steady_states) = measure(count);
        print_rows(&times, &steady_states);
        measured.push(times);
    }
    if let Some(path) = std::env::var_os("SVG") {
        std::fs::write(path, plot(&measured)).expect("the file named by SVG is writable");
    }
}
