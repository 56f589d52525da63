//! Which calls fail, how, how often and when. No system calls of its own beyond the monotonic clock.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Instant;

/// What happens to a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// It fails with this errno.
    Errno(i32),
    /// It moves fewer bytes than it could.
    Short,
}

/// One rule: a call that fails, one time in so many, within a span of the process's life.
struct Rule {
    call: String,
    name: String,
    fault: Fault,
    one_in: u64,
    from_ms: u64,
    to_ms: u64,
    injected: AtomicU64,
}

/// A step of the wall clock.
struct ClockStep {
    at_ms: u64,
    step_ms: i64,
}

/// All rules of a process.
pub struct Plan {
    started: Instant,
    draws: AtomicU64,
    seed: u64,
    rules: Vec<Rule>,
    steps: Vec<ClockStep>,
    off: AtomicBool,
}

const ERRNOS: [(&str, i32); 24] = [
    ("EINTR", libc::EINTR),
    ("EIO", libc::EIO),
    ("EAGAIN", libc::EAGAIN),
    ("ENOMEM", libc::ENOMEM),
    ("ENFILE", libc::ENFILE),
    ("EMFILE", libc::EMFILE),
    ("ENOSPC", libc::ENOSPC),
    ("EDQUOT", libc::EDQUOT),
    ("EPIPE", libc::EPIPE),
    ("EPROTO", libc::EPROTO),
    ("ENOBUFS", libc::ENOBUFS),
    ("ENETDOWN", libc::ENETDOWN),
    ("ENETUNREACH", libc::ENETUNREACH),
    ("ECONNABORTED", libc::ECONNABORTED),
    ("ECONNRESET", libc::ECONNRESET),
    ("ECONNREFUSED", libc::ECONNREFUSED),
    ("ETIMEDOUT", libc::ETIMEDOUT),
    ("EHOSTUNREACH", libc::EHOSTUNREACH),
    ("EHOSTDOWN", libc::EHOSTDOWN),
    ("EADDRNOTAVAIL", libc::EADDRNOTAVAIL),
    ("EADDRINUSE", libc::EADDRINUSE),
    ("EINVAL", libc::EINVAL),
    ("EPERM", libc::EPERM),
    ("ENOTCONN", libc::ENOTCONN),
];

impl Plan {
    /// Reads the plan. A rule that does not read ends the process: a test that injects nothing proves nothing.
    pub fn from_environment(variable: impl Fn(&str) -> Option<String>) -> Plan {
        let items = |name: &str| -> Vec<String> {
            let text = variable(name).unwrap_or_default();
            text.split(';').filter(|item| !item.is_empty()).map(str::to_string).collect()
        };
        let rules =
            items("FAULT_PLAN").iter().map(|item| rule(item).unwrap_or_else(|| refuse(item))).collect();
        let steps =
            items("FAULT_CLOCK").iter().map(|item| step(item).unwrap_or_else(|| refuse(item))).collect();
        let seed = variable("FAULT_SEED").and_then(|seed| seed.parse().ok()).unwrap_or(1);
        let (draws, off) = (AtomicU64::new(0), AtomicBool::new(false));
        Plan { started: Instant::now(), draws, seed, rules, steps, off }
    }

    fn age_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    /// The fault for this call, if one of its rules is in force and drawn.
    pub fn draw(&self, call: &str) -> Option<Fault> {
        if self.off.load(Ordering::Relaxed) || !self.rules.iter().any(|rule| rule.call == call) {
            return None;
        }
        let age = self.age_ms();
        let in_force = |rule: &&Rule| rule.call == call && (rule.from_ms..rule.to_ms).contains(&age);
        let drawn = |rule: &&Rule| {
            let number = self.draws.fetch_add(1, Ordering::Relaxed);
            mix(self.seed ^ number.wrapping_mul(0x9e37_79b9_7f4a_7c15)).is_multiple_of(rule.one_in)
        };
        let rule = self.rules.iter().filter(in_force).find(drawn)?;
        rule.injected.fetch_add(1, Ordering::Relaxed);
        Some(rule.fault)
    }

    /// How far the wall clock is stepped now, in nanoseconds.
    pub fn clock_step(&self) -> i64 {
        if self.steps.is_empty() {
            return 0;
        }
        let age = self.age_ms();
        let taken = self.steps.iter().filter(|step| step.at_ms <= age);
        taken.map(|step| step.step_ms.saturating_mul(1_000_000)).sum()
    }

    /// How often each rule was applied: `call error count`. No fault is injected from here on.
    pub fn counts(&self) -> impl Iterator<Item = String> + '_ {
        self.off.store(true, Ordering::Relaxed);
        let line =
            |rule: &Rule| format!("{} {} {}", rule.call, rule.name, rule.injected.load(Ordering::Relaxed));
        self.rules.iter().map(line)
    }
}

fn refuse(item: &str) -> ! {
    eprintln!("fault shim: {item:?} does not read");
    std::process::abort();
}

fn rule(item: &str) -> Option<Rule> {
    let fields: Vec<&str> = item.split(':').collect();
    let [call, name, one_in, span @ ..] = fields.as_slice() else { return None };
    let fault = match *name {
        "SHORT" => Fault::Short,
        name => Fault::Errno(ERRNOS.iter().find(|(known, _)| *known == name)?.1),
    };
    let (from_ms, to_ms) = match span {
        [] => (0, u64::MAX),
        [from, to] => (from.parse().ok()?, to.parse().ok()?),
        _ => return None,
    };
    let one_in = one_in.parse().ok().filter(|n| *n > 0)?;
    let (call, name, injected) = (call.to_string(), name.to_string(), AtomicU64::new(0));
    Some(Rule { call, name, fault, one_in, from_ms, to_ms, injected })
}

fn step(item: &str) -> Option<ClockStep> {
    let (at, step) = item.split_once(':')?;
    Some(ClockStep { at_ms: at.parse().ok()?, step_ms: step.parse().ok()? })
}

/// SplitMix64's finaliser.
fn mix(mut x: u64) -> u64 {
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}
