//! Which job waits for which. No I/O, no clock.
//!
//! A job may wait for several others and is released once all of them were served. If one of them ends in any
//! other way, all jobs that wait for it, directly or not, are rejected at once, each with the name of the job
//! whose end was the cause.

use crate::add_error::AddError;
use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};
use std::rc::Rc;

/// A job's name, its request id.
pub type JobName = Rc<str>;

/// How a job that others may wait for has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum JobOutcome {
    /// A worker returned its result.
    Served,
    /// It was rejected: it never ran, or a retry is harmless.
    Rejected,
    /// It failed and may have run. Jobs that wait for it are not released, as it may or may not have taken
    /// effect.
    MayHaveRun,
    /// Its client disconnected, or withdrew it, before it was sent.
    Cancelled,
}

/// What becomes of a job that depends on a name which is not known here. Nodes share nothing: another may
/// know it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UnknownNamePolicy {
    /// It is rejected.
    Reject,
    /// It waits until a job of that name is added.
    Await {
        /// Names that may be awaited at once.
        max_names: usize,
    },
}

/// The limits of a graph.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Jobs that were added and have not ended.
    pub max_jobs: usize,
    /// Dependencies of one job.
    pub max_dependencies: usize,
    /// Jobs on the longest chain of dependencies.
    pub max_chain_length: usize,
    /// Ended jobs whose end is remembered, the latest.
    pub max_remembered_outcomes: usize,
    /// What becomes of a dependency on a name that is not known.
    pub unknown_names: UnknownNamePolicy,
}

/// Whether an accepted job can be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Readiness {
    /// It waits for nothing.
    Ready,
    /// It waits for other jobs.
    Waiting,
}

/// What the end of a job means for one that waited.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum DependentUpdate {
    /// All its dependencies were served.
    Released(JobName),
    /// It can't be served any more.
    Rejected {
        /// The job that is rejected.
        job: JobName,
        /// The job whose end is the cause.
        cause: JobName,
        /// How that job ended.
        outcome: JobOutcome,
    },
}

#[derive(Default)]
struct Node {
    /// Whether the job was added; if not, its name is only awaited.
    is_added: bool,
    /// What it depends on and was not served yet.
    dependencies: HashSet<JobName>,
    /// The jobs that depend on it, in the order in which they were added.
    dependents: Vec<JobName>,
}

/// All jobs that wait, or are waited for.
pub struct DependencyGraph {
    limits: Limits,
    nodes: HashMap<JobName, Node>,
    /// Nodes whose job was added.
    added_count: usize,
    remembered_outcomes: HashMap<JobName, JobOutcome>,
    /// The names of `remembered_outcomes`, the oldest first.
    remembered_names: VecDeque<JobName>,
}

impl DependencyGraph {
    /// A graph without jobs.
    pub fn new(limits: Limits) -> DependencyGraph {
        DependencyGraph {
            limits,
            nodes: HashMap::new(),
            added_count: 0,
            remembered_outcomes: HashMap::new(),
            remembered_names: VecDeque::new(),
        }
    }

    /// The number of jobs that were added and have not ended.
    pub fn len(&self) -> usize {
        self.added_count
    }

    /// Whether there are no such jobs.
    pub fn is_empty(&self) -> bool {
        self.added_count == 0
    }

    /// How a job has ended, if that is still remembered.
    pub fn outcome_of(&self, name: &str) -> Option<JobOutcome> {
        self.remembered_outcomes.get(name).copied()
    }

    /// The sorted names of the jobs that a job still waits for; `None` if no such job was added.
    pub fn pending_dependencies(&self, name: &str) -> Option<Vec<JobName>> {
        let node = self.nodes.get(name).filter(|node| node.is_added)?;
        let mut names: Vec<JobName> = node.dependencies.iter().cloned().collect();
        names.sort();
        Some(names)
    }

    /// Adds a job that waits for `dependencies`.
    ///
    /// # Errors
    /// Why it is not accepted; the graph has not changed then.
    pub fn add(&mut self, name: &JobName, dependencies: &[JobName]) -> Result<Readiness, AddError> {
        if self.remembered_outcomes.contains_key(name)
            || self.nodes.get(name).is_some_and(|node| node.is_added)
        {
            return Err(AddError::Duplicate);
        }
        if self.added_count >= self.limits.max_jobs {
            return Err(AddError::TooManyJobs);
        }
        let pending = self.pending(dependencies)?;
        self.check_dependencies(name, &pending)?;
        Ok(self.insert(name, pending))
    }

    /// The dependencies that were not served yet, each once.
    fn pending(&self, dependencies: &[JobName]) -> Result<Vec<JobName>, AddError> {
        let mut pending: Vec<JobName> = Vec::new();
        for dependency in dependencies {
            match self.remembered_outcomes.get(dependency) {
                Some(JobOutcome::Served) => {}
                Some(&outcome) => {
                    return Err(AddError::DependencyFailed { dependency: dependency.clone(), outcome });
                }
                None if pending.contains(dependency) => {}
                None => pending.push(dependency.clone()),
            }
        }
        Ok(pending)
    }

    /// Checks all limits on the dependencies of a new job.
    fn check_dependencies(&self, name: &JobName, pending: &[JobName]) -> Result<(), AddError> {
        if pending.len() > self.limits.max_dependencies {
            return Err(AddError::TooManyDependencies);
        }
        if let Some(cycle) = self.find_cycle(name, pending) {
            return Err(AddError::Cycle(cycle));
        }
        self.check_unknown_names(name, pending)?;
        if self.chain_length_above(pending) + 1 + self.chain_length_below(name) > self.limits.max_chain_length
        {
            return Err(AddError::ChainTooLong);
        }
        Ok(())
    }

    fn check_unknown_names(&self, name: &JobName, pending: &[JobName]) -> Result<(), AddError> {
        let unknown: Vec<&JobName> =
            pending.iter().filter(|other| !self.nodes.contains_key(*other)).collect();
        let Some(first) = unknown.first() else { return Ok(()) };
        // The new job's own name is no longer only awaited once it is added.
        let own_name = usize::from(self.nodes.contains_key(name));
        let awaited = self.nodes.len() - self.added_count - own_name;
        let max_awaited = match self.limits.unknown_names {
            UnknownNamePolicy::Reject => 0,
            UnknownNamePolicy::Await { max_names } => max_names,
        };
        if awaited + unknown.len() > max_awaited {
            return Err(AddError::UnknownName((*first).clone()));
        }
        Ok(())
    }

    fn insert(&mut self, name: &JobName, pending: Vec<JobName>) -> Readiness {
        for dependency in &pending {
            self.nodes.entry(dependency.clone()).or_default().dependents.push(name.clone());
        }
        let readiness = if pending.is_empty() { Readiness::Ready } else { Readiness::Waiting };
        let node = self.nodes.entry(name.clone()).or_default();
        node.is_added = true;
        node.dependencies = pending.into_iter().collect();
        self.added_count += 1;
        readiness
    }

    /// Records that a job has ended, or that a name that is only awaited is given up. Returns what that means
    /// for the jobs that waited for it, the nearest first.
    pub fn conclude(&mut self, name: &JobName, outcome: JobOutcome) -> Vec<DependentUpdate> {
        let mut consequences = Vec::new();
        let mut concluded = VecDeque::from([(name.clone(), outcome)]);
        while let Some((ended_name, ended_as)) = concluded.pop_front() {
            let Some(node) = self.nodes.remove(&ended_name) else { continue };
            self.added_count -= usize::from(node.is_added);
            self.detach_from_dependencies(&ended_name, &node);
            self.remember(&ended_name, ended_as);
            for dependent in node.dependents {
                let Some(waiting) = self.nodes.get_mut(&dependent) else { continue };
                if ended_as == JobOutcome::Served {
                    waiting.dependencies.remove(&ended_name);
                    if waiting.dependencies.is_empty() {
                        consequences.push(DependentUpdate::Released(dependent));
                    }
                } else if !concluded.iter().any(|(other, _)| *other == dependent) {
                    // Indirect dependents get the name of the first cause, not that of their own dependency.
                    consequences.push(DependentUpdate::Rejected {
                        job: dependent.clone(),
                        cause: name.clone(),
                        outcome,
                    });
                    concluded.push_back((dependent, JobOutcome::Rejected));
                }
            }
        }
        consequences
    }

    /// Removes an ended job from the dependents of what it waited for, and names that nothing awaits any
    /// more.
    fn detach_from_dependencies(&mut self, name: &JobName, node: &Node) {
        for dependency in &node.dependencies {
            if let Some(dependency_node) = self.nodes.get_mut(dependency) {
                dependency_node.dependents.retain(|dependent| dependent != name);
                if !dependency_node.is_added && dependency_node.dependents.is_empty() {
                    self.nodes.remove(dependency);
                }
            }
        }
    }

    fn remember(&mut self, name: &JobName, outcome: JobOutcome) {
        if self.limits.max_remembered_outcomes == 0 {
            return;
        }
        while self.remembered_names.len() >= self.limits.max_remembered_outcomes {
            if let Some(oldest) = self.remembered_names.pop_front() {
                self.remembered_outcomes.remove(&oldest);
            }
        }
        self.remembered_names.push_back(name.clone());
        self.remembered_outcomes.insert(name.clone(), outcome);
    }

    /// The cycle that a new job would close. Only a name that is awaited already can close one.
    fn find_cycle(&self, name: &JobName, pending: &[JobName]) -> Option<Vec<JobName>> {
        if pending.contains(name) {
            return Some(vec![name.clone(), name.clone()]);
        }
        self.nodes.get(name)?;
        // A breadth-first search along the dependencies; each name that was reached, and from where.
        let mut reached_from: BTreeMap<JobName, JobName> =
            pending.iter().map(|dependency| (dependency.clone(), name.clone())).collect();
        let mut frontier: VecDeque<JobName> = pending.iter().cloned().collect();
        while let Some(current) = frontier.pop_front() {
            for dependency in self.nodes.get(&current).iter().flat_map(|node| &node.dependencies) {
                if dependency == name {
                    return Some(trace_cycle(name, &current, &reached_from));
                }
                if !reached_from.contains_key(dependency) {
                    reached_from.insert(dependency.clone(), current.clone());
                    frontier.push_back(dependency.clone());
                }
            }
        }
        None
    }

    /// The number of jobs on the longest chain of dependencies that begins with one of `pending`.
    fn chain_length_above(&self, pending: &[JobName]) -> usize {
        self.chain_length(pending.to_vec(), |node| node.dependencies.iter().cloned().collect())
    }

    /// The number of jobs on the longest chain that waits for `name`.
    fn chain_length_below(&self, name: &JobName) -> usize {
        let dependents = self.nodes.get(name).map_or(Vec::new(), |node| node.dependents.clone());
        self.chain_length(dependents, |node| node.dependents.clone())
    }

    /// The number of names on the longest path from one of `first` along `next`. There are no cycles; the
    /// search stops beyond the limit.
    fn chain_length(&self, first: Vec<JobName>, next: impl Fn(&Node) -> Vec<JobName>) -> usize {
        let mut length = 0;
        let mut layer: HashSet<JobName> = first.into_iter().collect();
        while !layer.is_empty() && length <= self.limits.max_chain_length {
            length += 1;
            layer = layer.iter().filter_map(|name| self.nodes.get(name)).flat_map(&next).collect();
        }
        length
    }
}

/// The cycle from `name` to itself whose last step but one is `last`.
fn trace_cycle(name: &JobName, last: &JobName, reached_from: &BTreeMap<JobName, JobName>) -> Vec<JobName> {
    let mut cycle = vec![name.clone(), last.clone()];
    while let Some(previous) = reached_from.get(&cycle[cycle.len() - 1]).filter(|previous| *previous != name)
    {
        cycle.push(previous.clone());
    }
    cycle.push(name.clone());
    cycle.reverse();
    cycle
}
