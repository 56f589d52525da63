//! The plan: which calls fail, with which error, how often and when. A draw makes no system call except to
//! read the monotonic clock.

use std::ops::Range;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Instant;

/// A fault that is injected into one call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The call fails with this errno.
    Errno(i32),
    /// The call transfers at most half of the requested bytes.
    ShortTransfer,
}

/// One rule: a call that fails with a probability of 1 / `one_in` within a range of the process's age.
struct Rule {
    call: String,
    /// The name of the fault in the plan: an errno name or `SHORT`.
    fault_name: String,
    fault: Fault,
    one_in: u64,
    /// When the rule is in force, in milliseconds since the start of the process.
    active_ms: Range<u64>,
    /// The number of times that the fault was injected.
    injected: AtomicU64,
}

/// A step of the wall clock.
struct ClockStep {
    /// The time of the step, in milliseconds since the start of the process.
    at_ms: u64,
    step_ms: i64,
}

/// All faults of a process.
pub struct Plan {
    process_start: Instant,
    /// The number of random draws so far.
    draws: AtomicU64,
    seed: u64,
    rules: Vec<Rule>,
    clock_steps: Vec<ClockStep>,
    /// Set when the counts are read: no fault is injected after that.
    stopped: AtomicBool,
}

const NANOS_PER_MILLI: i64 = 1_000_000;
const SPLITMIX64_INCREMENT: u64 = 0x9e37_79b9_7f4a_7c15;

/// The errors that a plan may name.
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
    /// Parses the plan from environment variables. An invalid item aborts the process, as the test would
    /// otherwise pass without its faults.
    pub fn from_environment(variable: impl Fn(&str) -> Option<String>) -> Plan {
        let rules = variable("FAULT_PLAN").unwrap_or_default();
        let clock_steps = variable("FAULT_CLOCK").unwrap_or_default();
        Plan {
            process_start: Instant::now(),
            draws: AtomicU64::new(0),
            seed: variable("FAULT_SEED").and_then(|seed| seed.parse().ok()).unwrap_or(1),
            rules: parse_items(&rules, parse_rule),
            clock_steps: parse_items(&clock_steps, parse_clock_step),
            stopped: AtomicBool::new(false),
        }
    }

    fn age_ms(&self) -> u64 {
        self.process_start.elapsed().as_millis() as u64
    }

    /// Draws the fault for the next call with this name: that of the first rule that is in force and whose
    /// draw succeeds, if any.
    pub fn draw(&self, call: &str) -> Option<Fault> {
        if self.stopped.load(Ordering::Relaxed) || !self.rules.iter().any(|rule| rule.call == call) {
            return None;
        }
        let age_ms = self.age_ms();
        let is_in_force = |rule: &&Rule| rule.call == call && rule.active_ms.contains(&age_ms);
        let is_drawn = |rule: &&Rule| self.next_random().is_multiple_of(rule.one_in);
        let rule = self.rules.iter().filter(is_in_force).find(is_drawn)?;
        rule.injected.fetch_add(1, Ordering::Relaxed);
        Some(rule.fault)
    }

    /// The next number of a SplitMix64 sequence that all threads share.
    fn next_random(&self) -> u64 {
        let number = self.draws.fetch_add(1, Ordering::Relaxed);
        splitmix64_finalize(self.seed ^ number.wrapping_mul(SPLITMIX64_INCREMENT))
    }

    /// The sum of the clock steps that are due by now, in nanoseconds.
    pub fn clock_offset_nanos(&self) -> i64 {
        if self.clock_steps.is_empty() {
            return 0;
        }
        let age_ms = self.age_ms();
        let due = self.clock_steps.iter().filter(|step| step.at_ms <= age_ms);
        due.map(|step| step.step_ms.saturating_mul(NANOS_PER_MILLI)).sum()
    }

    /// One line `call error count` for each rule, with the number of faults that it injected. No fault is
    /// injected after this is called.
    pub fn counts(&self) -> impl Iterator<Item = String> + '_ {
        self.stopped.store(true, Ordering::Relaxed);
        self.rules.iter().map(|rule| {
            let injected = rule.injected.load(Ordering::Relaxed);
            format!("{} {} {injected}", rule.call, rule.fault_name)
        })
    }
}

/// Parses the non-empty items of a list separated by `;`. Aborts the process if an item is invalid.
fn parse_items<Item>(text: &str, parse: impl Fn(&str) -> Option<Item>) -> Vec<Item> {
    let items = text.split(';').filter(|item| !item.is_empty());
    items.map(|item| parse(item).unwrap_or_else(|| abort_at_invalid_item(item))).collect()
}

fn abort_at_invalid_item(item: &str) -> ! {
    eprintln!("fault shim: invalid item {item:?}");
    std::process::abort();
}

/// Parses `call:error:one_in[:from_ms:to_ms]`.
fn parse_rule(item: &str) -> Option<Rule> {
    let fields: Vec<&str> = item.split(':').collect();
    let [call, fault_name, one_in, range @ ..] = fields.as_slice() else { return None };
    let fault = match *fault_name {
        "SHORT" => Fault::ShortTransfer,
        name => Fault::Errno(ERRNOS.iter().find(|(known, _)| *known == name)?.1),
    };
    let active_ms = match range {
        [] => 0..u64::MAX,
        [from, to] => from.parse().ok()?..to.parse().ok()?,
        _ => return None,
    };
    Some(Rule {
        call: call.to_string(),
        fault_name: fault_name.to_string(),
        fault,
        one_in: one_in.parse().ok().filter(|one_in| *one_in > 0)?,
        active_ms,
        injected: AtomicU64::new(0),
    })
}

/// Parses `at_ms:step_ms`.
fn parse_clock_step(item: &str) -> Option<ClockStep> {
    let (at, step) = item.split_once(':')?;
    Some(ClockStep { at_ms: at.parse().ok()?, step_ms: step.parse().ok()? })
}

fn splitmix64_finalize(mut value: u64) -> u64 {
    value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}
