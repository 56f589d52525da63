//! Answers calls.

use crate::call::{Asked, Unread};
use crate::metrics::{ClassMetrics, Metrics};
use sorrelhaven_engine::Engine;
use sorrelhaven_lifecycle::{CommandReply, LifecycleHandle};
use sorrelhaven_membership::{Member, MemberState, Membership};
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Instant;

/// What answers the operators.
pub struct Desk {
    engine: Rc<Engine>,
    standing: Rc<LifecycleHandle>,
    members: Option<Rc<RefCell<Membership>>>,
}

impl Desk {
    /// A desk that shows what `engine` counts, does what is asked of `standing`, and knows the other nodes where
    /// membership is on.
    pub fn new(
        engine: Rc<Engine>,
        standing: Rc<LifecycleHandle>,
        members: Option<Rc<RefCell<Membership>>>,
    ) -> Desk {
        Desk { engine, standing, members }
    }

    /// The answer to a line, whole lines all of it.
    pub fn answer(&self, line: Result<Asked, Unread>, now: Instant) -> String {
        match line {
            Ok(Asked::Lifecycle(call)) => match self.standing.execute(call, now) {
                CommandReply::Success(holds) => format!("SUCCESS {holds}\n"),
                CommandReply::Failure(holds) => format!("FAILURE {holds}\n"),
            },
            Ok(Asked::ShowStat) => self.metrics().text(),
            Ok(Asked::Members) => self.members(),
            Err(unread) => format!("FAILURE {unread}\n"),
        }
    }

    /// The other nodes and this one, a line each: name, life, address, standing.
    fn members(&self) -> String {
        let Some(members) = &self.members else { return "FAILURE membership is off\n".to_string() };
        let mut rows = members.borrow().table();
        rows.sort_by(|a, b| a.id.cmp(&b.id));
        let line = |r: &Member| format!("{} {} {} {}\n", r.id.name, r.id.incarnation, r.id.address, r.state);
        rows.iter().map(line).collect::<String>() + "EOT\n"
    }

    fn member_figures(&self) -> Vec<(&'static str, &'static str, u64)> {
        let Some(members) = &self.members else { return Vec::new() };
        let (table, f) = (members.borrow().table(), members.borrow().metrics());
        let count = |standing| table.iter().filter(|r| r.state == standing).count() as u64;
        vec![
            ("members_alive", "gauge", count(MemberState::Alive)),
            ("members_suspect", "gauge", count(MemberState::Suspect)),
            ("members_dead", "gauge", count(MemberState::Dead)),
            ("members_left", "gauge", count(MemberState::Left)),
            ("member_probes", "counter", f.probes),
            ("member_suspicions", "counter", f.suspicions),
            ("member_refuted", "counter", f.refuted),
            ("member_declared_dead", "counter", f.declared_dead),
            ("member_pauses", "counter", f.pauses),
            ("member_bytes_sent", "counter", f.bytes),
            ("member_dropped", "counter", f.malformed + f.unauthenticated + f.replayed + f.undecodable),
        ]
    }

    /// The metrics now.
    pub fn metrics(&self) -> Metrics {
        let counters = &self.engine.counters;
        let worker_counts = self.engine.dispatcher_loop.worker_counts();
        let classes = counters.classes().map(|(name, class)| ClassMetrics {
            class: name.to_string(),
            passed: class.served.get(),
            dropped: class.rejected.get(),
            bad_gateway: class.failed.get(),
        });
        Metrics {
            classes: classes.collect(),
            upstream_tries: counters.requests_sent.get(),
            in_progress: counters.in_progress(),
            known_executors: worker_counts.known,
            skipped_executors: worker_counts.unavailable(),
            invariant_violations: counters.invariants.counts().collect(),
            longest_step_us: counters.responsiveness.longest_step.micros(),
            longest_timer_lag_us: counters.responsiveness.longest_timer_lag.micros(),
            long_steps: counters.responsiveness.long_steps.get(),
            answered_late: counters.answered_late.get(),
            members: self.member_figures(),
        }
    }
}
