//! Compares the dependency graph with a naive model, and tests long chains, wide fan-outs, cycles and limits.

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

/// A naive model of the graph: plain sets, from which each result is computed anew.
#[derive(Default)]
struct Model {
    /// The dependencies of each added job that were not served yet.
    pending: BTreeMap<JobName, BTreeSet<JobName>>,
    outcomes: BTreeMap<JobName, JobOutcome>,
}

impl Model {
    fn reaches(&self, from: &JobName, to: &JobName) -> bool {
        let dependencies = self.pending.get(from).into_iter().flatten();
        from == to || dependencies.into_iter().any(|dependency| self.reaches(dependency, to))
    }

    fn chain_length(&self, job: &JobName) -> usize {
        1 + self.pending.get(job).into_iter().flatten().map(|name| self.chain_length(name)).max().unwrap_or(0)
    }

    fn awaited(&self) -> BTreeSet<JobName> {
        let all = self.pending.values().flatten();
        all.filter(|name| !self.pending.contains_key(*name)).cloned().collect()
    }

    fn add(&mut self, job: &JobName, dependencies: &[JobName]) -> Result<Readiness, &'static str> {
        if self.pending.contains_key(job) || self.outcomes.contains_key(job) {
            return Err("duplicate");
        }
        if dependencies
            .iter()
            .any(|name| self.outcomes.get(name).is_some_and(|outcome| *outcome != JobOutcome::Served))
        {
            return Err("dependency failed");
        }
        let pending: BTreeSet<JobName> =
            dependencies.iter().filter(|name| !self.outcomes.contains_key(*name)).cloned().collect();
        if pending.iter().any(|name| self.reaches(name, job)) {
            return Err("cycle");
        }
        let before = self.pending.clone();
        let awaits_new_name =
            pending.iter().any(|name| !before.contains_key(name) && !self.awaited().contains(name));
        self.pending.insert(job.clone(), pending.clone());
        if awaits_new_name && self.awaited().len() > MAX_AWAITED_NAMES {
            self.pending = before;
            return Err("unknown name");
        }
        if self.pending.keys().any(|name| self.chain_length(name) > MAX_CHAIN_LENGTH) {
            self.pending = before;
            return Err("chain too long");
        }
        Ok(if pending.is_empty() { Readiness::Ready } else { Readiness::Waiting })
    }

    fn conclude(&mut self, job: &JobName, outcome: JobOutcome) -> BTreeSet<DependentUpdate> {
        let mut updates = BTreeSet::new();
        if !self.pending.contains_key(job) && !self.awaited().contains(job) {
            return updates;
        }
        let dependents: Vec<JobName> =
            self.pending.keys().filter(|name| *name != job && self.reaches(name, job)).cloned().collect();
        self.pending.remove(job);
        self.outcomes.insert(job.clone(), outcome);
        if outcome == JobOutcome::Served {
            for (name, pending) in &mut self.pending {
                if pending.remove(job) && pending.is_empty() {
                    updates.insert(DependentUpdate::Released(name.clone()));
                }
            }
        } else {
            for name in dependents {
                self.pending.remove(&name);
                self.outcomes.insert(name.clone(), JobOutcome::Rejected);
                updates.insert(DependentUpdate::Rejected { job: name, cause: job.clone(), outcome });
            }
        }
        updates
    }
}

fn error_kind(error: &AddError) -> &'static str {
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
        for (job, dependencies, outcome) in steps {
            let job = name(job);
            if let Some(dependencies) = dependencies {
                let dependencies: Vec<JobName> = dependencies.into_iter().map(name).collect();
                let added = graph.add(&job, &dependencies);
                let expected = model.add(&job, &dependencies);
                if let Err(AddError::Cycle(cycle)) = &added {
                    prop_assert!(cycle.len() >= 2 && cycle[0] == job && cycle[cycle.len() - 1] == job);
                    prop_assert!(dependencies.contains(&cycle[1]));
                    for pair in cycle[1..].windows(2) {
                        prop_assert!(
                            graph
                                .pending_dependencies(&pair[0])
                                .is_some_and(|names| names.contains(&pair[1]))
                        );
                    }
                }
                prop_assert_eq!(
                    added.map_err(|error| error_kind(&error)),
                    expected,
                    "adding {} with the dependencies {:?}",
                    job,
                    dependencies
                );
            } else {
                let updates: Vec<DependentUpdate> = graph.conclude(&job, outcome);
                let unique: BTreeSet<DependentUpdate> = updates.iter().cloned().collect();
                prop_assert_eq!(unique.len(), updates.len(), "more than one update for a job: {:?}", updates);
                prop_assert_eq!(unique, model.conclude(&job, outcome));
            }
            prop_assert_eq!(graph.len(), model.pending.len());
            for (name, pending) in &model.pending {
                prop_assert_eq!(
                    graph.pending_dependencies(name),
                    Some(pending.iter().cloned().collect::<Vec<_>>())
                );
            }
        }
        Ok(())
    });
}

/// A chain of 5 and a fan-out of 200 are rejected in one step, each job with the name of the job that was not
/// served.
#[test]
fn a_failure_rejects_a_chain_and_a_fan_out_at_once() {
    for outcome in [JobOutcome::Rejected, JobOutcome::MayHaveRun, JobOutcome::Cancelled] {
        let mut graph = DependencyGraph::new(limits());
        graph.add(&name(0), &[]).expect("the job is added");
        for number in 1..5 {
            assert_eq!(graph.add(&name(number), &[name(number - 1)]), Ok(Readiness::Waiting));
        }
        for number in 100..300 {
            assert_eq!(graph.add(&name(number), &[name(0)]), Ok(Readiness::Waiting));
        }
        let updates = graph.conclude(&name(0), outcome);
        assert_eq!((updates.len(), graph.len()), (204, 0));
        let names_cause = |update: &DependentUpdate| match update {
            DependentUpdate::Rejected { cause, outcome: cause_outcome, .. } => {
                *cause == name(0) && *cause_outcome == outcome
            }
            DependentUpdate::Released(_) => false,
        };
        assert!(updates.iter().all(names_cause), "{updates:?}");
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
        graph.add(&name(number), &[]).expect("the job is added");
    }
    graph.add(&name(9), &[name(0), name(1), name(2), name(1)]).expect("the job is added");
    assert_eq!(graph.conclude(&name(1), JobOutcome::Served), []);
    assert_eq!(graph.conclude(&name(0), JobOutcome::Served), []);
    assert_eq!(graph.conclude(&name(2), JobOutcome::Served), [DependentUpdate::Released(name(9))]);
    assert_eq!(
        graph.add(&name(10), &[name(2)]),
        Ok(Readiness::Ready),
        "the outcome of a served job is remembered"
    );
}

/// A job that would depend on itself, directly or not, is rejected with the names along the cycle.
#[test]
fn a_job_that_would_close_a_cycle_is_rejected_with_the_cycle() {
    let mut graph = DependencyGraph::new(limits());
    assert_eq!(graph.add(&name(1), &[name(1)]), Err(AddError::Cycle(vec![name(1), name(1)])));
    graph.add(&name(1), &[name(2)]).expect("an unknown name may be awaited");
    graph.add(&name(2), &[name(3)]).expect("an unknown name may be awaited");
    let cycle = vec![name(3), name(1), name(2), name(3)];
    assert_eq!(graph.add(&name(3), &[name(1)]), Err(AddError::Cycle(cycle)));
    assert_eq!(
        graph.add(&name(3), &[]),
        Ok(Readiness::Ready),
        "the rejected jobs have not changed the graph"
    );
}

#[test]
fn every_limit_is_enforced() {
    let mut graph = DependencyGraph::new(Limits { max_jobs: 3, ..limits() });
    let many: Vec<JobName> = (50..59).map(name).collect();
    assert_eq!(graph.add(&name(0), &many), Err(AddError::TooManyDependencies));
    assert_eq!(graph.add(&name(0), &many[..5]), Err(AddError::UnknownName(name(50))));
    for number in 0..3 {
        graph.add(&name(number), &[]).expect("the job is added");
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
        graph.add(&name(number), &[]).expect("the job is added");
        graph.conclude(&name(number), JobOutcome::Served);
    }
    assert_eq!(
        (graph.outcome_of("j0"), graph.outcome_of("j2")),
        (None, Some(JobOutcome::Served)),
        "only the oldest outcome is forgotten"
    );
}
