//! Which calls fail, how, how often and when. Makes no system calls beyond reading the monotonic clock.

use std::ops::Range;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Instant;

/// What is injected into a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The call fails with this errno.
    Errno(i32),
    /// The call transfers at most half of the bytes that it could.
    ShortTransfer,
}

/// One rule: a call that fails with a probability of 1 / `one_in` within a span of the process's life.
struct Rule {
    call: String,
    /// The fault's name in the plan.
    fault_name: String,
    fault: Fault,
    one_in: u64,
    /// When the rule is in force, in milliseconds since the start of the process.
    active_ms: Range<u64>,
    /// How often it was applied.
    injected: AtomicU64,
}

/// A step of the wall clock.
struct ClockStep {
    /// When it happens, since the start of the process.
    at_ms: u64,
    step_ms: i64,
}

/// All rules of a process.
pub struct Plan {
    process_start: Instant,
    /// Draws so far.
    draws: AtomicU64,
    seed: u64,
    rules: Vec<Rule>,
    clock_steps: Vec<ClockStep>,
    /// Set when the counts have been taken: no fault is injected from then on.
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
    /// Parses the plan from environment variables. An invalid item aborts the process: a test that injects
    /// nothing proves nothing.
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

    /// The fault for this call, if one of its rules is in force and drawn.
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

    /// The next number of a SplitMix64 sequence, in the order in which threads draw.
    fn next_random(&self) -> u64 {
        let number = self.draws.fetch_add(1, Ordering::Relaxed);
        splitmix64_finalize(self.seed ^ number.wrapping_mul(SPLITMIX64_INCREMENT))
    }

    /// The sum of the wall clock's steps so far, in nanoseconds.
    pub fn clock_offset_nanos(&self) -> i64 {
        if self.clock_steps.is_empty() {
            return 0;
        }
        let age_ms = self.age_ms();
        let past = self.clock_steps.iter().filter(|step| step.at_ms <= age_ms);
        past.map(|step| step.step_ms.saturating_mul(NANOS_PER_MILLI)).sum()
    }

    /// How often each rule was applied: `call error count`. No fault is injected from here on.
    pub fn counts(&self) -> impl Iterator<Item = String> + '_ {
        self.stopped.store(true, Ordering::Relaxed);
        self.rules.iter().map(|rule| {
            let injected = rule.injected.load(Ordering::Relaxed);
            format!("{} {} {injected}", rule.call, rule.fault_name)
        })
    }
}

/// Parses the non-empty items of a list that is separated by `;`; aborts the process at an invalid one.
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
    let [call, fault_name, one_in, span @ ..] = fields.as_slice() else { return None };
    let fault = match *fault_name {
        "SHORT" => Fault::ShortTransfer,
        name => Fault::Errno(ERRNOS.iter().find(|(known, _)| *known == name)?.1),
    };
    let active_ms = match span {
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
