//! The table of `docs/membership.md`: detection, false deaths and traffic by the number of members and the faults.
//!
//!     cargo run --release -p sorrelhaven-membership --example table -- 5 50 300
//!
//! Where `SVG` names a file, a plot of detection is written to it.

#[path = "../tests/common/mod.rs"]
mod common;
use common::*;
use sorrelhaven_membership::{MemberState, Micros};
use std::fmt::Write;

const DEATHS: usize = 5;

fn world(count: usize) -> World {
    let mut world = World::new(count, 26);
    world.until(120 * S, World::whole);
    world
}

/// For each of some deaths and each survivor: after how long it knew, in milliseconds, sorted.
fn detection(count: usize) -> Vec<Micros> {
    let mut world = world(count);
    let mut times = Vec::new();
    for n in (0..count).rev().take(DEATHS.min(count - 2)) {
        world.kill(n);
        let killed = world.now;
        let mut waiting: Vec<usize> = world.running().collect();
        while !waiting.is_empty() && world.now < killed + 20 * S {
            world.run(world.now + 50 * MS);
            waiting.retain(|&m| {
                let knows = world.view(m, n) == Some(MemberState::Dead);
                times.extend(knows.then(|| (world.now - killed) / MS));
                !knows
            });
        }
    }
    times.sort_unstable();
    times
}

/// Deaths of the living in so many member hours, and bytes a member sends in a second.
fn steady(count: usize, loss: f64, pauses: bool) -> (u64, f64, f64) {
    let mut world = world(count);
    world.loss = Box::new(move |_, _| loss);
    let (begun, before) = (world.now, world.sum(|f| f.bytes));
    let length = (36_000 * S / count as Micros).clamp(30 * S, 1_200 * S);
    while world.now < begun + length {
        world.run(world.now + S);
        if pauses {
            let n = (world.now / S) as usize * 7 % count;
            world.sleep(n, 900 * MS);
        }
    }
    let seconds = count as f64 * length as f64 / S as f64;
    let bytes = (world.sum(|f| f.bytes) - before) as f64 / seconds;
    (world.sum(|f| f.declared_dead), seconds / 3_600.0, bytes)
}

/// The share of members that know of a death by the time since, a line for each number of members.
fn plot(known: &[(usize, Vec<Micros>)]) -> String {
    const COLOURS: [&str; 4] = ["#1b6ca8", "#c2571a", "#3a7d44", "#7b3f8c"];
    let mut svg = String::from(concat!(
        "<svg xmlns=\"http://www.w3.org/2000/svg\" viewBox=\"0 0 640 330\" font-family=\"sans-serif\" font-size=\"12\">\n",
        "<rect width=\"640\" height=\"330\" fill=\"white\"/>\n",
    ));
    let (x, y) = (|ms: f64| 50.0 + ms * 0.14, |share: f64| 290.0 - share * 250.0);
    for s in 0..5 {
        let at = x(f64::from(s) * 1_000.0);
        let _ = writeln!(
            svg,
            "<path d=\"M{at} 40V290\" stroke=\"#ddd\"/><text x=\"{at}\" y=\"306\">{s} s</text>"
        );
        let at = y(f64::from(s) / 4.0);
        let _ = writeln!(
            svg,
            "<path d=\"M50 {at}H610\" stroke=\"#ddd\"/><text x=\"8\" y=\"{at}\">{} %</text>",
            s * 25
        );
    }
    let _ = writeln!(svg, "<text x=\"50\" y=\"24\">members that know of a death, by the time since</text>");
    for (i, (count, times)) in known.iter().enumerate() {
        let colour = COLOURS[i % COLOURS.len()];
        let mut path = format!("M{:.1} {:.1}", x(0.0), y(0.0));
        for (n, &ms) in times.iter().enumerate() {
            let _ = write!(path, "H{:.1}V{:.1}", x(ms as f64), y((n + 1) as f64 / times.len() as f64));
        }
        let _ = writeln!(svg, "<path d=\"{path}\" fill=\"none\" stroke=\"{colour}\" stroke-width=\"2\"/>");
        let _ =
            writeln!(svg, "<text x=\"520\" y=\"{}\" fill=\"{colour}\">{count} members</text>", 200 + 18 * i);
    }
    svg + "</svg>\n"
}

fn main() {
    let mut plotted = Vec::new();
    println!(
        "| members | death known, ms: median, 99th, last | faults | false deaths in member hours | bytes a member and second |"
    );
    println!("| --- | --- | --- | --- | --- |");
    for count in std::env::args().skip(1).filter_map(|a| a.parse().ok()) {
        let faults = [
            ("none", 0.0, false),
            ("5% lost", 0.05, false),
            ("20% lost", 0.2, false),
            ("pauses of 0.9 s", 0.0, true),
        ];
        // Each run is a world of its own, so they may go on at once.
        let (times, rows) = std::thread::scope(|scope| {
            let times = scope.spawn(move || detection(count));
            let rows = faults.map(|(_, loss, pauses)| scope.spawn(move || steady(count, loss, pauses)));
            (times.join().expect("it runs"), rows.map(|row| row.join().expect("it runs")))
        });
        let at = |share: f64| times[((times.len() - 1) as f64 * share) as usize];
        let known = format!("{}, {}, {}", at(0.5), at(0.99), at(1.0));
        plotted.push((count, times.clone()));
        for ((faults, ..), (dead, hours, bytes)) in faults.into_iter().zip(rows) {
            println!("| {count} | {known} | {faults} | {dead} in {hours:.1} | {bytes:.0} |");
        }
    }
    if let Some(path) = std::env::var_os("SVG") {
        std::fs::write(path, plot(&plotted)).expect("the plot is written");
    }
}
