//! Which job waits for which: the decision part of conditions. No I/O, no clock.
//!
//! A job may wait for several others and is released once all of them were served. Where one of them ends in any other
//! way, all that wait for it, however far down, are refused in the same moment, each with the name of the job that
//! broke the chain.

use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};
use std::rc::Rc;

/// A job's name, its request id.
pub type Name = Rc<str>;

/// How a job that others may wait for has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Fate {
    /// An executor gave its result.
    Served,
    /// It was refused: it never ran, or a repeat is harmless.
    Refused,
    /// It failed; it may have run. What waits for it is not released, for it may or may not have taken effect.
    MayHaveRun,
    /// Its client left, or withdrew it, before it was sent.
    Withdrawn,
}

/// What becomes of a job that waits for a name which this node does not know. Nodes share nothing: another may know it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unknown {
    /// It is refused.
    Refuse,
    /// It is held until the name comes, as long as no more than so many names are awaited.
    Hold {
        /// Names that may be awaited at once.
        most: usize,
    },
}

/// The bounds.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Jobs known that have not ended.
    pub jobs: usize,
    /// Conditions of one job.
    pub conditions: usize,
    /// Jobs on the longest chain.
    pub depth: usize,
    /// Ended jobs whose fate is remembered, the latest.
    pub remembered: usize,
    /// What becomes of a wait for a name that is not known.
    pub unknown: Unknown,
}

/// Why a job is not taken.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// It would wait for itself: the names along the circle, from the job back to it.
    Circle(Vec<Name>),
    /// A job of this name is known, or has ended of late.
    Known,
    /// So many jobs are known already.
    TooManyJobs,
    /// It has more conditions than a job may have.
    TooManyConditions,
    /// Its chain would be longer than chains may be.
    TooDeep,
    /// It waits for a name that this node does not know, and such are refused or too many.
    Unknown(Name),
    /// What it waits for has ended without being served.
    Broken {
        /// The job that broke the chain.
        by: Name,
        /// How that ended.
        fate: Fate,
    },
}

/// What follows for a job that waited.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Effect {
    /// All that it waited for was served.
    Released(Name),
    /// It can't be served any more.
    Refused {
        /// The job.
        job: Name,
        /// The job that broke the chain.
        by: Name,
        /// How that ended.
        fate: Fate,
    },
}

#[derive(Default)]
struct Job {
    /// It has come; else it is only awaited.
    here: bool,
    /// What it waits for and was not served yet.
    conditions: HashSet<Name>,
    /// What waits for it, in the order in which it came.
    dependents: Vec<Name>,
}

/// All jobs that wait, or are waited for.
pub struct Graph {
    limits: Limits,
    jobs: HashMap<Name, Job>,
    here: usize,
    ended: HashMap<Name, Fate>,
    order: VecDeque<Name>,
}

impl Graph {
    /// Knows no job.
    pub fn new(limits: Limits) -> Graph {
        Graph { limits, jobs: HashMap::new(), here: 0, ended: HashMap::new(), order: VecDeque::new() }
    }

    /// Jobs that have come and not ended.
    pub fn len(&self) -> usize {
        self.here
    }

    /// Whether no job is known.
    pub fn is_empty(&self) -> bool {
        self.here == 0
    }

    /// How a job has ended, as far as that is remembered.
    pub fn fate(&self, name: &str) -> Option<Fate> {
        self.ended.get(name).copied()
    }

    /// What a job still waits for, sorted; `None` where no such job has come.
    pub fn waits_for(&self, name: &str) -> Option<Vec<Name>> {
        let job = self.jobs.get(name).filter(|j| j.here)?;
        let mut names: Vec<Name> = job.conditions.iter().cloned().collect();
        names.sort();
        Some(names)
    }

    /// Takes a job in; true where it waits for nothing any more.
    ///
    /// # Errors
    /// Why it is not taken; then nothing has changed.
    pub fn add(&mut self, name: &Name, waits_for: &[Name]) -> Result<bool, Refusal> {
        if self.ended.contains_key(name) || self.jobs.get(name).is_some_and(|j| j.here) {
            return Err(Refusal::Known);
        }
        if self.here >= self.limits.jobs {
            return Err(Refusal::TooManyJobs);
        }
        let mut open: Vec<Name> = Vec::new();
        for other in waits_for {
            match self.ended.get(other) {
                Some(Fate::Served) => {}
                Some(&fate) => return Err(Refusal::Broken { by: other.clone(), fate }),
                None if open.contains(other) => {}
                None => open.push(other.clone()),
            }
        }
        if open.len() > self.limits.conditions {
            return Err(Refusal::TooManyConditions);
        }
        if let Some(circle) = self.circle(name, &open) {
            return Err(Refusal::Circle(circle));
        }
        let new: Vec<&Name> = open.iter().filter(|n| !self.jobs.contains_key(*n)).collect();
        if let Some(first) = new.first() {
            // This job's own name is no longer only awaited once it is here.
            let awaited = self.jobs.len() - self.here - usize::from(self.jobs.contains_key(name));
            let most = match self.limits.unknown {
                Unknown::Refuse => 0,
                Unknown::Hold { most } => most,
            };
            if awaited + new.len() > most {
                return Err(Refusal::Unknown((*first).clone()));
            }
        }
        if self.above(&open) + 1 + self.below(name) > self.limits.depth {
            return Err(Refusal::TooDeep);
        }
        for other in &open {
            self.jobs.entry(other.clone()).or_default().dependents.push(name.clone());
        }
        let free = open.is_empty();
        let job = self.jobs.entry(name.clone()).or_default();
        job.here = true;
        job.conditions = open.into_iter().collect();
        self.here += 1;
        Ok(free)
    }

    /// A job has ended, or a name that is only awaited is given up. Gives what follows for all that waited for it, the
    /// nearest first.
    pub fn settle(&mut self, name: &Name, fate: Fate) -> Vec<Effect> {
        let mut effects = Vec::new();
        let mut ends = VecDeque::from([(name.clone(), fate)]);
        while let Some((ended, how)) = ends.pop_front() {
            let Some(job) = self.jobs.remove(&ended) else { continue };
            self.here -= usize::from(job.here);
            // What it waited for must not tell of it any more.
            for other in &job.conditions {
                if let Some(other_job) = self.jobs.get_mut(other) {
                    other_job.dependents.retain(|d| *d != ended);
                    if !other_job.here && other_job.dependents.is_empty() {
                        self.jobs.remove(other);
                    }
                }
            }
            self.remember(&ended, how);
            for dependent in job.dependents {
                let Some(waiting) = self.jobs.get_mut(&dependent) else { continue };
                if how == Fate::Served {
                    waiting.conditions.remove(&ended);
                    if waiting.conditions.is_empty() {
                        effects.push(Effect::Released(dependent));
                    }
                } else if !ends.iter().any(|e| e.0 == dependent) {
                    // Those further down are told of the job that broke the chain, not of their neighbour.
                    effects.push(Effect::Refused { job: dependent.clone(), by: name.clone(), fate });
                    ends.push_back((dependent, Fate::Refused));
                }
            }
        }
        effects
    }

    fn remember(&mut self, name: &Name, fate: Fate) {
        if self.limits.remembered == 0 {
            return;
        }
        while self.order.len() >= self.limits.remembered {
            if let Some(oldest) = self.order.pop_front() {
                self.ended.remove(&oldest);
            }
        }
        self.order.push_back(name.clone());
        self.ended.insert(name.clone(), fate);
    }

    /// The circle that this job would close. Only a name that is awaited already can.
    fn circle(&self, name: &Name, open: &[Name]) -> Option<Vec<Name>> {
        if open.contains(name) {
            return Some(vec![name.clone(), name.clone()]);
        }
        self.jobs.get(name)?;
        let mut from: BTreeMap<Name, Name> = open.iter().map(|o| (o.clone(), name.clone())).collect();
        let mut next: VecDeque<Name> = open.iter().cloned().collect();
        while let Some(at) = next.pop_front() {
            for other in self.jobs.get(&at).iter().flat_map(|j| &j.conditions) {
                if other == name {
                    let mut way = vec![name.clone(), at.clone()];
                    while let Some(before) = from.get(&way[way.len() - 1]).filter(|b| *b != name) {
                        way.push(before.clone());
                    }
                    way.push(name.clone());
                    way.reverse();
                    return Some(way);
                }
                if !from.contains_key(other) {
                    from.insert(other.clone(), at.clone());
                    next.push_back(other.clone());
                }
            }
        }
        None
    }

    /// Jobs on the longest chain that these end, each counted; the search stops past the bound.
    fn above(&self, open: &[Name]) -> usize {
        self.layers(open.to_vec(), |job| job.conditions.iter().cloned().collect())
    }

    /// Jobs on the longest chain that waits for this name.
    fn below(&self, name: &Name) -> usize {
        let first = self.jobs.get(name).map_or(Vec::new(), |j| j.dependents.clone());
        self.layers(first, |job| job.dependents.clone())
    }

    /// How many steps a walk from `first` can take, counting `first`: a chain's length, as there are no circles.
    fn layers(&self, first: Vec<Name>, step: impl Fn(&Job) -> Vec<Name>) -> usize {
        let mut depth = 0;
        let mut layer: HashSet<Name> = first.into_iter().collect();
        while !layer.is_empty() && depth <= self.limits.depth {
            depth += 1;
            layer = layer.iter().filter_map(|n| self.jobs.get(n)).flat_map(&step).collect();
        }
        depth
    }
}
