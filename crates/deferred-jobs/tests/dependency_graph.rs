//! The graph against a naive model, and the chains and fans that operators have.

use proptest::prelude::{Strategy, prop, prop_assert, prop_assert_eq, prop_oneof};
use sorrelhaven_deferred_jobs::{
    AddError, DependencyGraph, DependentUpdate, JobName, JobOutcome, Limits, Readiness, UnknownNamePolicy,
};
use sorrelhaven_test_support::check_cases;
use std::collections::{BTreeMap, BTreeSet};

const MAX_CHAIN_LENGTH: usize = 6;
const MAX_AWAITED_NAMES: usize = 4;

fn limits() -> Limits {
    Limits {
        max_jobs: 1_000,
        max_dependencies: 8,
        max_chain_length: MAX_CHAIN_LENGTH,
        max_remembered_outcomes: 1_000,
        unknown_names: UnknownNamePolicy::Await { max_names: MAX_AWAITED_NAMES },
    }
}

fn name(number: usize) -> JobName {
    format!("j{number}").into()
}

/// The same with plain sets, all computed anew each time.
#[derive(Default)]
struct Model {
    waits: BTreeMap<JobName, BTreeSet<JobName>>,
    ended: BTreeMap<JobName, JobOutcome>,
}

impl Model {
    fn reaches(&self, from: &JobName, to: &JobName) -> bool {
        let dependencies = self.waits.get(from).into_iter().flatten();
        from == to || dependencies.into_iter().any(|dependency| self.reaches(dependency, to))
    }

    fn chain_length(&self, of: &JobName) -> usize {
        1 + self.waits.get(of).into_iter().flatten().map(|name| self.chain_length(name)).max().unwrap_or(0)
    }

    fn awaited(&self) -> BTreeSet<JobName> {
        let all = self.waits.values().flatten();
        all.filter(|name| !self.waits.contains_key(*name)).cloned().collect()
    }

    fn add(&mut self, job: &JobName, waits_for: &[JobName]) -> Result<Readiness, &'static str> {
        if self.waits.contains_key(job) || self.ended.contains_key(job) {
            return Err("duplicate");
        }
        if waits_for
            .iter()
            .any(|name| self.ended.get(name).is_some_and(|outcome| *outcome != JobOutcome::Served))
        {
            return Err("dependency failed");
        }
        let open: BTreeSet<JobName> =
            waits_for.iter().filter(|name| !self.ended.contains_key(*name)).cloned().collect();
        if open.iter().any(|name| self.reaches(name, job)) {
            return Err("cycle");
        }
        let before = self.waits.clone();
        let grows = open.iter().any(|name| !before.contains_key(name) && !self.awaited().contains(name));
        self.waits.insert(job.clone(), open.clone());
        if grows && self.awaited().len() > MAX_AWAITED_NAMES {
            self.waits = before;
            return Err("unknown name");
        }
        if self.waits.keys().any(|name| self.chain_length(name) > MAX_CHAIN_LENGTH) {
            self.waits = before;
            return Err("chain too long");
        }
        Ok(if open.is_empty() { Readiness::Ready } else { Readiness::Waiting })
    }

    fn conclude(&mut self, job: &JobName, outcome: JobOutcome) -> BTreeSet<DependentUpdate> {
        let mut consequences = BTreeSet::new();
        if !self.waits.contains_key(job) && !self.awaited().contains(job) {
            return consequences;
        }
        let below: Vec<JobName> =
            self.waits.keys().filter(|name| *name != job && self.reaches(name, job)).cloned().collect();
        self.waits.remove(job);
        self.ended.insert(job.clone(), outcome);
        if outcome == JobOutcome::Served {
            for (name, waits) in &mut self.waits {
                if waits.remove(job) && waits.is_empty() {
                    consequences.insert(DependentUpdate::Released(name.clone()));
                }
            }
        } else {
            for name in below {
                self.waits.remove(&name);
                self.ended.insert(name.clone(), JobOutcome::Rejected);
                consequences.insert(DependentUpdate::Rejected { job: name, cause: job.clone(), outcome });
            }
        }
        consequences
    }
}

fn kind(error: &AddError) -> &'static str {
    match error {
        AddError::Duplicate => "duplicate",
        AddError::DependencyFailed { .. } => "dependency failed",
        AddError::Cycle(_) => "cycle",
        AddError::UnknownName(_) => "unknown name",
        AddError::ChainTooLong => "chain too long",
        AddError::TooManyJobs | AddError::TooManyDependencies => "too many",
    }
}

#[test]
fn the_graph_behaves_as_the_naive_model() {
    let add = (0usize..24, prop::collection::vec(0usize..24, 0..4))
        .prop_map(|(job, dependencies)| (job, Some(dependencies), JobOutcome::Served));
    let outcome = prop::sample::select(vec![
        JobOutcome::Served,
        JobOutcome::Served,
        JobOutcome::Served,
        JobOutcome::Rejected,
        JobOutcome::MayHaveRun,
        JobOutcome::Cancelled,
    ]);
    let conclude = (0usize..24, outcome).prop_map(|(job, outcome)| (job, None, outcome));
    check_cases(2_000, prop::collection::vec(prop_oneof![3 => add, 2 => conclude], 1..60), |steps| {
        let mut graph = DependencyGraph::new(limits());
        let mut model = Model::default();
        for (job, waits, outcome) in steps {
            let job = name(job);
            if let Some(waits) = waits {
                let waits: Vec<JobName> = waits.into_iter().map(name).collect();
                let added = graph.add(&job, &waits);
                let expected = model.add(&job, &waits);
                if let Err(AddError::Cycle(cycle)) = &added {
                    prop_assert!(cycle.len() >= 2 && cycle[0] == job && cycle[cycle.len() - 1] == job);
                    prop_assert!(waits.contains(&cycle[1]));
                    for pair in cycle[1..].windows(2) {
                        prop_assert!(
                            graph
                                .pending_dependencies(&pair[0])
                                .is_some_and(|names| names.contains(&pair[1]))
                        );
                    }
                }
                prop_assert_eq!(added.map_err(|error| kind(&error)), expected, "{} for {:?}", job, waits);
            } else {
                let consequences: Vec<DependentUpdate> = graph.conclude(&job, outcome);
                let unique: BTreeSet<DependentUpdate> = consequences.iter().cloned().collect();
                prop_assert_eq!(unique.len(), consequences.len(), "one for each job: {:?}", consequences);
                prop_assert_eq!(unique, model.conclude(&job, outcome));
            }
            prop_assert_eq!(graph.len(), model.waits.len());
            for (name, waits) in &model.waits {
                prop_assert_eq!(
                    graph.pending_dependencies(name),
                    Some(waits.iter().cloned().collect::<Vec<_>>())
                );
            }
        }
        Ok(())
    });
}

/// A chain of 5 and a fan-out of 200 are rejected in one step, each job with the name of the first cause.
#[test]
fn a_failure_rejects_a_chain_and_a_fan_out_at_once() {
    for outcome in [JobOutcome::Rejected, JobOutcome::MayHaveRun, JobOutcome::Cancelled] {
        let mut graph = DependencyGraph::new(limits());
        graph.add(&name(0), &[]).expect("the job is accepted");
        for number in 1..5 {
            assert_eq!(graph.add(&name(number), &[name(number - 1)]), Ok(Readiness::Waiting));
        }
        for number in 100..300 {
            assert_eq!(graph.add(&name(number), &[name(0)]), Ok(Readiness::Waiting));
        }
        let consequences = graph.conclude(&name(0), outcome);
        assert_eq!((consequences.len(), graph.len()), (204, 0));
        let names_cause = |consequence: &DependentUpdate| match consequence {
            DependentUpdate::Rejected { cause, outcome: cause_outcome, .. } => {
                *cause == name(0) && *cause_outcome == outcome
            }
            DependentUpdate::Released(_) => false,
        };
        assert!(consequences.iter().all(names_cause), "{consequences:?}");
        assert_eq!(
            graph.add(&name(500), &[name(0)]),
            Err(AddError::DependencyFailed { dependency: name(0), outcome })
        );
    }
}

/// A served job releases only the jobs that wait for nothing else.
#[test]
fn a_job_is_released_by_the_last_of_its_dependencies() {
    let mut graph = DependencyGraph::new(limits());
    for number in 0..3 {
        graph.add(&name(number), &[]).expect("the job is accepted");
    }
    graph.add(&name(9), &[name(0), name(1), name(2), name(1)]).expect("the job is accepted");
    assert_eq!(graph.conclude(&name(1), JobOutcome::Served), []);
    assert_eq!(graph.conclude(&name(0), JobOutcome::Served), []);
    assert_eq!(graph.conclude(&name(2), JobOutcome::Served), [DependentUpdate::Released(name(9))]);
    assert_eq!(graph.add(&name(10), &[name(2)]), Ok(Readiness::Ready), "served jobs are remembered");
}

/// A job that would wait for itself, directly or not, is rejected with the names of the cycle.
#[test]
fn a_job_that_would_close_a_cycle_is_rejected_with_the_cycle() {
    let mut graph = DependencyGraph::new(limits());
    assert_eq!(graph.add(&name(1), &[name(1)]), Err(AddError::Cycle(vec![name(1), name(1)])));
    graph.add(&name(1), &[name(2)]).expect("a name may be added later");
    graph.add(&name(2), &[name(3)]).expect("a name may be added later");
    let cycle = vec![name(3), name(1), name(2), name(3)];
    assert_eq!(graph.add(&name(3), &[name(1)]), Err(AddError::Cycle(cycle)));
    assert_eq!(graph.add(&name(3), &[]), Ok(Readiness::Ready), "the rejection has changed nothing");
}

#[test]
fn every_limit_is_enforced() {
    let mut graph = DependencyGraph::new(Limits { max_jobs: 3, ..limits() });
    let many: Vec<JobName> = (50..59).map(name).collect();
    assert_eq!(graph.add(&name(0), &many), Err(AddError::TooManyDependencies));
    assert_eq!(graph.add(&name(0), &many[..5]), Err(AddError::UnknownName(name(50))));
    for number in 0..3 {
        graph.add(&name(number), &[]).expect("the job is accepted");
    }
    assert_eq!(graph.add(&name(3), &[]), Err(AddError::TooManyJobs));
    assert_eq!(graph.add(&name(2), &[]), Err(AddError::Duplicate));
    let mut graph = DependencyGraph::new(Limits {
        unknown_names: UnknownNamePolicy::Reject,
        max_remembered_outcomes: 2,
        ..limits()
    });
    assert_eq!(graph.add(&name(0), &[name(1)]), Err(AddError::UnknownName(name(1))));
    for number in 0..3 {
        graph.add(&name(number), &[]).expect("the job is accepted");
        graph.conclude(&name(number), JobOutcome::Served);
    }
    assert_eq!(
        (graph.outcome_of("j0"), graph.outcome_of("j2")),
        (None, Some(JobOutcome::Served)),
        "the oldest end is forgotten"
    );
}
