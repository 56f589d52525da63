//! The dependency graph: which job waits for which.
//!
//! A job may depend on several others, and is released once all of them were served. If one of them has
//! another outcome, all its direct and indirect dependents are rejected at once, each with the name of the
//! job whose outcome was the cause.

use crate::add_error::AddError;
use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};
use std::rc::Rc;

/// A job's name, its request id.
pub type JobName = Rc<str>;

/// The outcome of a job that others may depend on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum JobOutcome {
    /// A worker returned its result.
    Served,
    /// It was rejected: it never ran, or a retry is harmless.
    Rejected,
    /// It failed and may have run. Its dependents are not released, because it is not known whether it took
    /// effect.
    MayHaveRun,
    /// Its client disconnected, or cancelled it, before it was sent.
    Cancelled,
}

/// How to treat a job that depends on a name of which this node has no job and remembers no outcome. Nodes
/// share no state: another node may know the name.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UnknownNamePolicy {
    /// [`DependencyGraph::add`] rejects it.
    Reject,
    /// The job waits for one of that name, which may be added later.
    Await {
        /// The number of names without a job that may be awaited at once.
        max_names: usize,
    },
}

/// The limits of a [`DependencyGraph`].
#[derive(Clone, Debug)]
pub struct Limits {
    /// Jobs that were added and have not concluded.
    pub max_jobs: usize,
    /// Different dependencies of one job that were not served yet.
    pub max_dependencies: usize,
    /// Jobs on the longest chain of dependencies, awaited names included.
    pub max_chain_length: usize,
    /// Concluded jobs whose outcome is remembered; the oldest is forgotten first.
    pub max_remembered_outcomes: usize,
    /// How to treat a dependency on an unknown name.
    pub unknown_names: UnknownNamePolicy,
}

/// Whether an added job can be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Readiness {
    /// All its dependencies were served.
    Ready,
    /// At least one of its dependencies was not served yet.
    Waiting,
}

/// What the outcome of a job means for one of its dependents.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum DependentUpdate {
    /// All its dependencies were served.
    Released(JobName),
    /// One of its direct or indirect dependencies was not served.
    Rejected {
        /// The job that is rejected.
        job: JobName,
        /// The job whose outcome is the cause.
        cause: JobName,
        /// The outcome of that job, which is not [`JobOutcome::Served`].
        outcome: JobOutcome,
    },
}

/// An added job, or a name that added jobs await.
#[derive(Default)]
struct Node {
    /// Whether the job was added; if not, its name is awaited.
    is_added: bool,
    /// Its dependencies that were not served yet.
    dependencies: HashSet<JobName>,
    /// The jobs that depend on it, in the order in which they were added.
    dependents: Vec<JobName>,
}

/// All jobs that were added and have not concluded, and the names that they await.
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

    /// The number of jobs that were added and have not concluded.
    pub fn len(&self) -> usize {
        self.added_count
    }

    /// Whether all added jobs have concluded.
    pub fn is_empty(&self) -> bool {
        self.added_count == 0
    }

    /// The outcome of a concluded job, if it is still remembered.
    pub fn outcome_of(&self, name: &str) -> Option<JobOutcome> {
        self.remembered_outcomes.get(name).copied()
    }

    /// The sorted names of a job's dependencies that were not served yet; `None` if the job was not added or
    /// has concluded.
    pub fn pending_dependencies(&self, name: &str) -> Option<Vec<JobName>> {
        let node = self.nodes.get(name).filter(|node| node.is_added)?;
        let mut names: Vec<JobName> = node.dependencies.iter().cloned().collect();
        names.sort();
        Some(names)
    }

    /// Adds a job that depends on `dependencies`.
    ///
    /// # Errors
    /// Why the job is not added. The graph is unchanged then.
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

    /// Checks that a new job closes no cycle and that its dependencies are within all limits.
    fn check_dependencies(&self, name: &JobName, pending: &[JobName]) -> Result<(), AddError> {
        if pending.len() > self.limits.max_dependencies {
            return Err(AddError::TooManyDependencies);
        }
        if let Some(cycle) = self.find_cycle(name, pending) {
            return Err(AddError::Cycle(cycle));
        }
        self.check_unknown_names(name, pending)?;
        if self.dependency_chain_length(pending) + 1 + self.dependent_chain_length(name)
            > self.limits.max_chain_length
        {
            return Err(AddError::ChainTooLong);
        }
        Ok(())
    }

    fn check_unknown_names(&self, name: &JobName, pending: &[JobName]) -> Result<(), AddError> {
        let unknown: Vec<&JobName> =
            pending.iter().filter(|other| !self.nodes.contains_key(*other)).collect();
        let Some(first) = unknown.first() else { return Ok(()) };
        // If the new job's own name is awaited, it no longer is once the job is added.
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

    /// Records the outcome of a job, or gives up an awaited name with this outcome. Returns what that means
    /// for its dependents, the direct ones first.
    pub fn conclude(&mut self, name: &JobName, outcome: JobOutcome) -> Vec<DependentUpdate> {
        let mut updates = Vec::new();
        let mut unprocessed = VecDeque::from([(name.clone(), outcome)]);
        while let Some((concluded_name, concluded_outcome)) = unprocessed.pop_front() {
            let Some(node) = self.nodes.remove(&concluded_name) else { continue };
            self.added_count -= usize::from(node.is_added);
            self.detach_from_dependencies(&concluded_name, &node);
            self.remember_outcome(&concluded_name, concluded_outcome);
            for dependent in node.dependents {
                let Some(waiting) = self.nodes.get_mut(&dependent) else { continue };
                if concluded_outcome == JobOutcome::Served {
                    waiting.dependencies.remove(&concluded_name);
                    if waiting.dependencies.is_empty() {
                        updates.push(DependentUpdate::Released(dependent));
                    }
                } else if !unprocessed.iter().any(|(other, _)| *other == dependent) {
                    // Indirect dependents, too, get the name of the job that concluded first as their cause,
                    // not that of their own dependency.
                    updates.push(DependentUpdate::Rejected {
                        job: dependent.clone(),
                        cause: name.clone(),
                        outcome,
                    });
                    unprocessed.push_back((dependent, JobOutcome::Rejected));
                }
            }
        }
        updates
    }

    /// Removes a concluded job from the dependents of its dependencies, and removes names that no job awaits
    /// any more.
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

    fn remember_outcome(&mut self, name: &JobName, outcome: JobOutcome) {
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

    /// The cycle that a new job would close. Apart from a job that depends on itself, only one whose name is
    /// awaited already can close one.
    fn find_cycle(&self, name: &JobName, pending: &[JobName]) -> Option<Vec<JobName>> {
        if pending.contains(name) {
            return Some(vec![name.clone(), name.clone()]);
        }
        self.nodes.get(name)?;
        // A breadth-first search along the dependencies: maps each reached name to the one it was reached
        // from.
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
    fn dependency_chain_length(&self, pending: &[JobName]) -> usize {
        self.chain_length(pending.to_vec(), |node| node.dependencies.iter().cloned().collect())
    }

    /// The number of jobs on the longest chain of dependents of `name`.
    fn dependent_chain_length(&self, name: &JobName) -> usize {
        let dependents = self.nodes.get(name).map_or(Vec::new(), |node| node.dependents.clone());
        self.chain_length(dependents, |node| node.dependents.clone())
    }

    /// The number of names on the longest path from one of `first` along `next`, or just over the limit if it
    /// is longer. The graph has no cycles.
    fn chain_length(&self, first: Vec<JobName>, next: impl Fn(&Node) -> Vec<JobName>) -> usize {
        let mut length = 0;
        let mut level: HashSet<JobName> = first.into_iter().collect();
        while !level.is_empty() && length <= self.limits.max_chain_length {
            length += 1;
            level = level.iter().filter_map(|name| self.nodes.get(name)).flat_map(&next).collect();
        }
        length
    }
}

/// The cycle from `name` back to itself whose last dependency is that of `last` on `name`.
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
