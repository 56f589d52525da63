//! The graph against a naive model, and the chains and fans that the operators care for.

use proptest::prelude::*;
use sorrelhaven_deferred_jobs::{Effect, Fate, Graph, Limits, Name, Refusal, Unknown};
use sorrelhaven_test_support::check_cases;
use std::collections::{BTreeMap, BTreeSet};

fn limits() -> Limits {
    Limits { jobs: 1_000, conditions: 8, depth: 6, remembered: 1_000, unknown: Unknown::Hold { most: 4 } }
}

fn name(n: usize) -> Name {
    format!("j{n}").into()
}

/// The same as plain sets, all worked out anew each time.
#[derive(Default)]
struct Model {
    waits: BTreeMap<Name, BTreeSet<Name>>,
    ended: BTreeMap<Name, Fate>,
}

impl Model {
    fn reaches(&self, from: &Name, to: &Name) -> bool {
        from == to || self.waits.get(from).is_some_and(|w| w.iter().any(|n| self.reaches(n, to)))
    }

    fn depth(&self, of: &Name) -> usize {
        1 + self.waits.get(of).into_iter().flatten().map(|n| self.depth(n)).max().unwrap_or(0)
    }

    fn awaited(&self) -> BTreeSet<Name> {
        let all = self.waits.values().flatten();
        all.filter(|n| !self.waits.contains_key(*n)).cloned().collect()
    }

    fn add(&mut self, job: &Name, waits_for: &[Name]) -> Result<bool, &'static str> {
        if self.waits.contains_key(job) || self.ended.contains_key(job) {
            return Err("known");
        }
        if waits_for.iter().any(|n| self.ended.get(n).is_some_and(|f| *f != Fate::Served)) {
            return Err("broken");
        }
        let open: BTreeSet<Name> =
            waits_for.iter().filter(|n| !self.ended.contains_key(*n)).cloned().collect();
        if open.iter().any(|n| self.reaches(n, job)) {
            return Err("circle");
        }
        let before = self.waits.clone();
        let grows = open.iter().any(|n| !before.contains_key(n) && !self.awaited().contains(n));
        self.waits.insert(job.clone(), open.clone());
        if grows && self.awaited().len() > 4 {
            self.waits = before;
            return Err("unknown");
        }
        if self.waits.keys().any(|n| self.depth(n) > 6) {
            self.waits = before;
            return Err("deep");
        }
        Ok(open.is_empty())
    }

    fn settle(&mut self, job: &Name, fate: Fate) -> BTreeSet<Effect> {
        let mut effects = BTreeSet::new();
        if !self.waits.contains_key(job) && !self.awaited().contains(job) {
            return effects;
        }
        let below: Vec<Name> =
            self.waits.keys().filter(|n| *n != job && self.reaches(n, job)).cloned().collect();
        self.waits.remove(job);
        self.ended.insert(job.clone(), fate);
        if fate == Fate::Served {
            for (name, waits) in &mut self.waits {
                if waits.remove(job) && waits.is_empty() {
                    effects.insert(Effect::Released(name.clone()));
                }
            }
        } else {
            for name in below {
                self.waits.remove(&name);
                self.ended.insert(name.clone(), Fate::Refused);
                effects.insert(Effect::Refused { job: name, by: job.clone(), fate });
            }
        }
        effects
    }
}

fn kind(refusal: &Refusal) -> &'static str {
    match refusal {
        Refusal::Known => "known",
        Refusal::Broken { .. } => "broken",
        Refusal::Circle(_) => "circle",
        Refusal::Unknown(_) => "unknown",
        Refusal::TooDeep => "deep",
        Refusal::TooManyJobs | Refusal::TooManyConditions => "many",
    }
}

#[test]
fn the_graph_does_what_the_naive_model_does() {
    let add =
        (0usize..24, prop::collection::vec(0usize..24, 0..4)).prop_map(|(j, w)| (j, Some(w), Fate::Served));
    let fate = prop::sample::select(vec![
        Fate::Served,
        Fate::Served,
        Fate::Served,
        Fate::Refused,
        Fate::MayHaveRun,
        Fate::Withdrawn,
    ]);
    let settle = (0usize..24, fate).prop_map(|(j, fate)| (j, None, fate));
    check_cases(2_000, prop::collection::vec(prop_oneof![3 => add, 2 => settle], 1..60), |steps| {
        let (mut graph, mut model) = (Graph::new(limits()), Model::default());
        for (job, waits, fate) in steps {
            let job = name(job);
            if let Some(waits) = waits {
                let waits: Vec<Name> = waits.into_iter().map(name).collect();
                let (got, expected) = (graph.add(&job, &waits), model.add(&job, &waits));
                if let Err(Refusal::Circle(way)) = &got {
                    prop_assert!(way.len() >= 2 && way[0] == job && way[way.len() - 1] == job);
                    prop_assert!(waits.contains(&way[1]));
                    for pair in way[1..].windows(2) {
                        prop_assert!(graph.waits_for(&pair[0]).is_some_and(|w| w.contains(&pair[1])));
                    }
                }
                prop_assert_eq!(got.map_err(|r| kind(&r)), expected, "{} for {:?}", job, waits);
            } else {
                let got: Vec<Effect> = graph.settle(&job, fate);
                let unique: BTreeSet<Effect> = got.iter().cloned().collect();
                prop_assert_eq!(unique.len(), got.len(), "one answer each: {:?}", got);
                prop_assert_eq!(unique, model.settle(&job, fate));
            }
            prop_assert_eq!(graph.len(), model.waits.len());
            for (name, waits) in &model.waits {
                prop_assert_eq!(graph.waits_for(name), Some(waits.iter().cloned().collect::<Vec<_>>()));
            }
        }
        Ok(())
    });
}

/// Through a chain of 5 and a fan-out of 200, in one step, each naming the fee.
#[test]
fn an_end_travels_down_a_chain_and_a_fan_at_once() {
    for fate in [Fate::Refused, Fate::MayHaveRun, Fate::Withdrawn] {
        let mut graph = Graph::new(limits());
        graph.add(&name(0), &[]).expect("taken");
        for i in 1..5 {
            assert_eq!(graph.add(&name(i), &[name(i - 1)]), Ok(false));
        }
        for i in 100..300 {
            assert_eq!(graph.add(&name(i), &[name(0)]), Ok(false));
        }
        let effects = graph.settle(&name(0), fate);
        assert_eq!((effects.len(), graph.len()), (204, 0));
        let told =
            |e: &Effect| matches!(e, Effect::Refused { by, fate: f, .. } if *by == name(0) && *f == fate);
        assert!(effects.iter().all(told), "{effects:?}");
        assert_eq!(graph.add(&name(500), &[name(0)]), Err(Refusal::Broken { by: name(0), fate }));
    }
}

/// A fee that was served releases what waits for it, and only what waits for nothing else.
#[test]
fn a_job_is_released_by_the_last_of_its_conditions() {
    let mut graph = Graph::new(limits());
    for i in 0..3 {
        graph.add(&name(i), &[]).expect("taken");
    }
    graph.add(&name(9), &[name(0), name(1), name(2), name(1)]).expect("taken");
    assert_eq!(graph.settle(&name(1), Fate::Served), []);
    assert_eq!(graph.settle(&name(0), Fate::Served), []);
    assert_eq!(graph.settle(&name(2), Fate::Served), [Effect::Released(name(9))]);
    assert_eq!(graph.add(&name(10), &[name(2)]), Ok(true), "what was served is remembered");
}

/// A job that waits for itself, alone or by way of others, is told the circle.
#[test]
fn a_circle_is_named_when_it_would_close() {
    let mut graph = Graph::new(limits());
    assert_eq!(graph.add(&name(1), &[name(1)]), Err(Refusal::Circle(vec![name(1), name(1)])));
    graph.add(&name(1), &[name(2)]).expect("a name may come later");
    graph.add(&name(2), &[name(3)]).expect("a name may come later");
    let circle = vec![name(3), name(1), name(2), name(3)];
    assert_eq!(graph.add(&name(3), &[name(1)]), Err(Refusal::Circle(circle)));
    assert_eq!(graph.add(&name(3), &[]), Ok(true), "nothing has changed");
}

#[test]
fn every_bound_is_kept() {
    let mut graph = Graph::new(Limits { jobs: 3, ..limits() });
    let many: Vec<Name> = (50..59).map(name).collect();
    assert_eq!(graph.add(&name(0), &many), Err(Refusal::TooManyConditions));
    assert_eq!(graph.add(&name(0), &many[..5]), Err(Refusal::Unknown(name(50))));
    for i in 0..3 {
        graph.add(&name(i), &[]).expect("taken");
    }
    assert_eq!(graph.add(&name(3), &[]), Err(Refusal::TooManyJobs));
    assert_eq!(graph.add(&name(2), &[]), Err(Refusal::Known));
    let mut graph = Graph::new(Limits { unknown: Unknown::Refuse, remembered: 2, ..limits() });
    assert_eq!(graph.add(&name(0), &[name(1)]), Err(Refusal::Unknown(name(1))));
    for i in 0..3 {
        graph.add(&name(i), &[]).expect("taken");
        graph.settle(&name(i), Fate::Served);
    }
    assert_eq!((graph.fate("j0"), graph.fate("j2")), (None, Some(Fate::Served)), "the oldest is forgotten");
}
