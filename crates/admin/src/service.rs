//! Executes the commands of the operators.

use crate::command::{AdminCommand, CommandError};
use crate::metrics::{ClassMetrics, END_OF_TEXT, Metric, Metrics};
use sorrelhaven_engine::{Engine, ProcessMemory};
use sorrelhaven_lifecycle::{CommandReply, LifecycleHandle};
use sorrelhaven_membership::{Member, MemberState, Membership};
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Instant;

/// Executes admin commands on one node.
pub struct AdminService {
    engine: Rc<Engine>,
    lifecycle: Rc<LifecycleHandle>,
    membership: Option<Rc<RefCell<Membership>>>,
}

impl AdminService {
    /// Creates a service that shows the counters of `engine`, controls `lifecycle`, and shows the members of
    /// the cluster if `membership` is on.
    pub fn new(
        engine: Rc<Engine>,
        lifecycle: Rc<LifecycleHandle>,
        membership: Option<Rc<RefCell<Membership>>>,
    ) -> AdminService {
        AdminService { engine, lifecycle, membership }
    }

    /// Executes a command that arrived at `now`, and returns the reply: one or more complete lines.
    pub fn execute(&self, command: Result<AdminCommand, CommandError>, now: Instant) -> String {
        match command {
            Ok(AdminCommand::Lifecycle(command)) => match self.lifecycle.execute(command, now) {
                CommandReply::Success(state) => format!("SUCCESS {state}\n"),
                CommandReply::Failure(state) => format!("FAILURE {state}\n"),
            },
            Ok(AdminCommand::ShowStat) => self.metrics().text(),
            Ok(AdminCommand::Members) => self.members(),
            Err(error) => format!("FAILURE {error}\n"),
        }
    }

    /// The current values of all metrics.
    pub fn metrics(&self) -> Metrics {
        let counters = &self.engine.counters;
        let workers = self.engine.dispatcher_loop.worker_counts();
        let memory = ProcessMemory::read();
        Metrics {
            classes: self.class_metrics(),
            attempts_written: counters.requests_sent.get(),
            in_progress: counters.in_progress(),
            known_workers: workers.known,
            unavailable_workers: workers.unavailable(),
            workers_in_slow_start: self.engine.dispatcher_loop.workers_in_slow_start(),
            invariant_violations: counters.invariants.counts().collect(),
            longest_step_us: counters.responsiveness.longest_step.as_micros(),
            longest_timer_lag_us: counters.responsiveness.longest_timer_lag.as_micros(),
            long_steps: counters.responsiveness.long_steps.get(),
            answered_late: counters.answered_late.get(),
            resident_bytes: memory.resident_bytes,
            peak_resident_bytes: memory.peak_resident_bytes,
            membership: self.membership_metrics(),
        }
    }

    fn class_metrics(&self) -> Vec<ClassMetrics> {
        let classes = self.engine.counters.classes().map(|(name, counters)| ClassMetrics {
            class: name.to_string(),
            served: counters.served.get(),
            rejected: counters.rejected.get(),
            failed: counters.failed.get(),
        });
        classes.collect()
    }

    fn membership_metrics(&self) -> Vec<Metric> {
        let Some(membership) = &self.membership else { return Vec::new() };
        let table = membership.borrow().table();
        let totals = membership.borrow().metrics();
        let members_in = |state| table.iter().filter(|member| member.state == state).count() as u64;
        let dropped = totals.malformed + totals.unauthenticated + totals.replayed + totals.protocol_errors;
        vec![
            Metric::gauge("members_alive", members_in(MemberState::Alive)),
            Metric::gauge("members_suspect", members_in(MemberState::Suspect)),
            Metric::gauge("members_dead", members_in(MemberState::Dead)),
            Metric::gauge("members_left", members_in(MemberState::Left)),
            Metric::counter("member_probes", totals.probes),
            Metric::counter("member_suspicions", totals.suspicions),
            Metric::counter("member_refuted", totals.refutations),
            Metric::counter("member_declared_dead", totals.declared_dead),
            Metric::counter("member_pauses", totals.pauses),
            Metric::counter("member_bytes_sent", totals.bytes_sent),
            Metric::counter("member_dropped", dropped),
        ]
    }

    /// The reply to `members`: a line for this node and each other member, with name, incarnation, address
    /// and state.
    fn members(&self) -> String {
        let Some(membership) = &self.membership else { return "FAILURE membership is off\n".to_string() };
        let mut members = membership.borrow().table();
        members.sort_by(|left, right| left.id.cmp(&right.id));
        let mut text: String = members.iter().map(member_line).collect();
        text.push_str(END_OF_TEXT);
        text
    }
}

fn member_line(member: &Member) -> String {
    let Member { id, state, .. } = member;
    format!("{} {} {} {state}\n", id.name, id.incarnation, id.address)
}
