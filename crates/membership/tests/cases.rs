//! The hard cases on a simulated clock: the same verdict at every run.

mod common;
use common::*;
use sorrelhaven_membership::{Id, MemberState, Membership, Settings};

#[test]
fn sixty_find_each_other_and_a_death_is_known_in_four_seconds() {
    let mut world = World::new(60, 3);
    let found = world.until(20 * S, World::whole);
    world.run(found + 5 * S);
    world.kill(37);
    let killed = world.now;
    let known = world.until(killed + 8 * S, |w| w.all_hold(37, MemberState::Dead)) - killed;
    println!("all known after {} ms, the death after {} ms", found / MS, known / MS);
    world.run(world.now + 10 * S);
    assert!(world.all_hold(37, MemberState::Dead), "it does not come back");
    assert!(world.whole());
    assert_eq!(world.sum(|f| f.declared_dead), 0);
    assert!(known < 4 * S, "{} ms", known / MS);
}

#[test]
fn a_short_pause_kills_no_one_and_a_long_one_only_the_one_that_slept() {
    let mut world = World::new(5, 4);
    world.until(10 * S, World::whole);
    world.sleep(2, 750 * MS);
    world.run(world.now + 10 * S);
    assert_eq!(world.sum(|f| f.declared_dead), 0);
    assert!(world.whole());
    world.sleep(2, 8 * S);
    let slept = world.now;
    world.run(slept + 7 * S);
    assert!(
        [0, 1, 3, 4].iter().all(|&n| world.view(n, 2) == Some(MemberState::Dead)),
        "it is taken for dead"
    );
    // It was the one asleep: it comes back as its next life, and holds nobody else for dead at any time.
    let back = world.until(slept + 20 * S, World::whole);
    println!("back {} ms after its waking", (back - slept - 8 * S) / MS);
    assert!(world.members[2].id().incarnation > 1_000);
    for n in [0, 1, 3, 4] {
        assert_eq!(world.members[n].metrics().declared_dead, 0, "n{n} was declared dead by the sleeper");
    }
}

#[test]
fn losses_of_a_fifth_both_ways_and_of_two_fifths_one_way_kill_no_one() {
    for one_way in [false, true] {
        let mut world = World::new(5, 5);
        world.until(10 * S, World::whole);
        world.loss = Box::new(move |from, _| match (one_way, from) {
            (false, _) => 0.2,
            (true, 2) => 0.4,
            (true, _) => 0.0,
        });
        world.run(world.now + 120 * S);
        assert_eq!(world.sum(|f| f.declared_dead), 0, "one way: {one_way}");
        // A probe that goes out once more is answered more often than not: without it there are 85 and 15.
        let (suspicions, most) = (world.sum(|f| f.suspicions), if one_way { 10 } else { 60 });
        println!("one way {one_way}: {suspicions} suspicions");
        assert!(suspicions < most, "{suspicions} suspicions");
    }
}

#[test]
fn a_cut_in_one_direction_is_bridged_and_an_isolated_one_heals() {
    let mut world = World::new(5, 6);
    world.until(10 * S, World::whole);
    // n0 hears n1, and n1 does not hear n0.
    world.loss = Box::new(|from, to| if (from, to) == (0, 1) { 1.0 } else { 0.0 });
    world.run(world.now + 60 * S);
    assert_eq!(world.sum(|f| f.declared_dead), 0);
    world.loss = Box::new(|from, to| if from == 3 || to == 3 { 1.0 } else { 0.0 });
    let cut = world.now;
    world.until(cut + 10 * S, |w| [0, 1, 2, 4].iter().all(|&n| w.view(n, 3) == Some(MemberState::Dead)));
    world.run(world.now + 10 * S);
    world.loss = Box::new(|_, _| 0.0);
    let healed = world.now;
    let whole = world.until(healed + 20 * S, World::whole);
    println!("whole {} ms after the cut was over", (whole - healed) / MS);
}

#[test]
fn two_and_three_that_were_parted_become_one_again() {
    let mut world = World::new(5, 7);
    world.until(10 * S, World::whole);
    world.loss = Box::new(|from, to| if (from < 2) == (to < 2) { 0.0 } else { 1.0 });
    world.run(world.now + 15 * S);
    assert_eq!(
        [world.view(0, 1), world.view(0, 3), world.view(3, 4), world.view(3, 0)].map(Option::unwrap),
        [MemberState::Alive, MemberState::Dead, MemberState::Alive, MemberState::Dead]
    );
    world.loss = Box::new(|_, _| 0.0);
    let healed = world.now;
    let whole = world.until(healed + 20 * S, World::whole);
    println!("one again after {} ms", (whole - healed) / MS);
    assert!((0..5).all(|n| world.members[n].table().len() == 5), "no member lost, none twice");
}

#[test]
fn a_restart_under_the_same_name_and_address_wins_and_its_ghost_stays_away() {
    let mut world = World::new(5, 8);
    world.until(10 * S, World::whole);
    world.kill(4);
    world.run(world.now + 200 * MS);
    world.restart(4, 2_000);
    let at = world.now;
    world.until(at + 10 * S, World::whole);
    for _ in 0..100 {
        world.run(world.now + 100 * MS);
        for n in 0..5 {
            let rows = world.members[n].table();
            let lives: Vec<u64> =
                rows.iter().filter(|r| r.id.name == "n4").map(|r| r.id.incarnation).collect();
            assert!(lives.len() == 1 && lives[0] >= 2_000, "n{n} holds {lives:?}");
        }
    }
}

/// Its clock was set back by years: its ghost's life is later than its own, by far more than it could count up to.
#[test]
fn a_restart_with_a_clock_set_back_outlives_its_ghost() {
    for ghost_is_dead in [false, true] {
        let mut world = World::new(5, 10);
        world.until(10 * S, World::whole);
        world.restart(4, 1 << 51);
        world.until(world.now + 10 * S, World::whole);
        world.kill(4);
        world.run(world.now + if ghost_is_dead { 10 * S } else { 200 * MS });
        world.restart(4, 2_000);
        let at = world.now;
        let whole = world.until(at + 30 * S, World::whole) - at;
        println!("ghost dead {ghost_is_dead}: one of them after {} ms", whole / MS);
        assert!(world.members[4].id().incarnation > 1 << 51);
        world.run(world.now + 20 * S);
        assert!(world.whole(), "and it stays");
        assert!((0..4).all(|n| world.members[n].metrics().declared_dead == 0));
    }
}

#[test]
fn one_that_leaves_is_told_from_one_that_died() {
    let mut world = World::new(20, 9);
    world.until(10 * S, World::whole);
    world.leave(5);
    world.kill(6);
    let at = world.now;
    world.until(at + 10 * S, |w| w.all_hold(5, MemberState::Left) && w.all_hold(6, MemberState::Dead));
    assert_eq!(world.sum(|f| f.malformed + f.unauthenticated + f.replayed), 0);
}

/// The first of a group has no seeds. It must not be awake all the time: it would leave its node no time for jobs.
#[test]
fn one_without_seeds_sleeps_until_something_is_due() {
    let settings = Settings::new(b"a key of the tests alone".to_vec());
    let mut alone = Membership::new(Id::new("n0", 1, address(0)), settings, 3, 0);
    let mut now = 0;
    for _ in 0..100 {
        assert!(alone.tick(now).is_empty(), "there is nobody to send to");
        let next = alone.next();
        assert!(next > now, "awake again at {next} after {now}");
        now = next;
    }
}
