//! The state machine: datagrams and the time in, datagrams out.

use crate::seal::{MESSAGE_MOST, Seal};
use crate::{Id, Member, MemberState, Micros, Unsealed};
use foca::{BroadcastHandler, Config, Foca, Invalidates, Notification, PeriodicParams, PostcardCodec};
use foca::{Runtime, State, Timer};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::net::SocketAddr;
use std::num::{NonZeroU8, NonZeroUsize};
use std::rc::Rc;
use std::time::Duration;

/// How often the table follows what the protocol holds, in microseconds.
const TABLE_EVERY: Micros = 100_000;
/// The most that this node's own ill health stretches the time in which a suspect may say that it lives.
const HEALTH_MOST: u32 = 4;
/// Members that have left and are remembered as such.
const LEFT_MOST: usize = 4_096;
/// Probe periods between asks of a seed that is not known to live, once others are.
const SEED_PERIODS: Micros = 4;
/// Copies of its going that a member hands out.
const FAREWELLS: usize = 3;
/// Probe periods within which being declared dead again tells of a ghost with a later life, not of bad luck.
const GHOST_PERIODS: Micros = 20;
/// The furthest that a life leaps beyond a ghost's, so that numbers never run out.
const LEAP_MOST: u64 = 1 << 60;

/// How a member behaves.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// What all members share, 16 bytes at least.
    pub key: Vec<u8>,
    /// Where others may be found at first.
    pub seeds: Vec<SocketAddr>,
    /// Each member probes one other in this time.
    pub probe_period: Duration,
    /// A probe that is not answered in this time is made through others.
    pub probe_rtt: Duration,
    /// Through so many.
    pub indirect: usize,
    /// How long a suspect may take to say that it lives.
    pub suspicion: Duration,
    /// How long the dead are remembered.
    pub forget: Duration,
}

impl Settings {
    /// The operators' defaults: a death among hundreds is known within 3 s.
    pub fn new(key: Vec<u8>) -> Settings {
        Settings::of(&sorrelhaven_config::Membership::default(), key)
    }

    /// What the operators set, without seeds.
    pub fn of(set: &sorrelhaven_config::Membership, key: Vec<u8>) -> Settings {
        Settings {
            key,
            seeds: Vec::new(),
            probe_period: Duration::from_millis(set.probe_period_ms),
            probe_rtt: Duration::from_millis(set.probe_rtt_ms),
            indirect: set.indirect,
            suspicion: Duration::from_millis(set.suspicion_ms),
            forget: Duration::from_secs(3_600),
        }
    }

    fn config(&self) -> Config {
        let one = |n: usize| NonZeroUsize::new(n).unwrap_or(NonZeroUsize::MIN);
        let every = |frequency, n| Some(PeriodicParams { frequency, num_members: one(n) });
        Config {
            probe_period: self.probe_period,
            probe_rtt: self.probe_rtt,
            num_indirect_probes: one(self.indirect),
            max_transmissions: NonZeroU8::new(12).unwrap_or(NonZeroU8::MIN),
            suspect_to_down_after: self.suspicion,
            remove_down_after: Some(self.forget),
            max_packet_size: one(MESSAGE_MOST),
            // A member that was declared dead is told, so that it can go on as its next life.
            notify_down_members: true,
            periodic_announce: every(20 * self.probe_period, 1),
            // Two sides of a cut that has healed have declared each other dead: someone has to ask.
            periodic_announce_to_down_members: every(4 * self.probe_period, 2),
            periodic_gossip: every(self.probe_period / 2, 3),
        }
    }
}

/// What a member has counted since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Metrics {
    /// Probes made.
    pub probes: u64,
    /// Members that this one came to suspect, by itself or by what it was told.
    pub suspicions: u64,
    /// Suspects that turned out to live.
    pub refuted: u64,
    /// Times that this member was declared dead and went on as its next life.
    pub declared_dead: u64,
    /// Times that this member was held up for over a probe period.
    pub pauses: u64,
    /// Datagrams sent.
    pub sent: u64,
    /// Bytes of those.
    pub bytes: u64,
    /// Datagrams dropped: too short, too long, or of another version.
    pub malformed: u64,
    /// Datagrams dropped: not sealed with the key.
    pub unauthenticated: u64,
    /// Datagrams dropped: they had come before.
    pub replayed: u64,
    /// Datagrams with the right seal that made no sense.
    pub undecodable: u64,
}

/// A member's own farewell, spread beside the protocol, which knows no difference between the dead and the gone.
struct Farewells(Rc<RefCell<BTreeSet<Vec<u8>>>>);

#[derive(PartialEq)]
struct Farewell(Vec<u8>);

impl Invalidates for Farewell {
    fn invalidates(&self, other: &Self) -> bool {
        self == other
    }
}

/// A farewell that is none.
#[derive(Debug)]
struct NoFarewell;

impl fmt::Display for NoFarewell {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("no farewell")
    }
}

impl std::error::Error for NoFarewell {}

impl BroadcastHandler<Id> for Farewells {
    type Key = Farewell;
    type Error = NoFarewell;

    fn receive_item(&mut self, data: &[u8], _: Option<&Id>) -> Result<Option<Farewell>, NoFarewell> {
        if data.len() < 9 {
            return Err(NoFarewell);
        }
        let mut left = self.0.borrow_mut();
        if left.len() >= LEFT_MOST {
            left.pop_first();
        }
        // Told once: an endless echo would fill the datagrams.
        Ok(left.insert(data.to_vec()).then(|| Farewell(data.to_vec())))
    }
}

/// How a farewell names its member.
fn farewell(id: &Id) -> Vec<u8> {
    let mut out = id.incarnation.to_be_bytes().to_vec();
    out.extend_from_slice(format!("{} {}", id.address, id.name).as_bytes());
    out
}

/// What the protocol asked for in one call.
#[derive(Default)]
struct Wanted {
    sends: Vec<(SocketAddr, Vec<u8>)>,
    timers: Vec<(Timer<Id>, Duration)>,
    declared_dead: u64,
}

impl Runtime<Id> for Wanted {
    fn notify(&mut self, notification: Notification<'_, Id>) {
        self.declared_dead += u64::from(matches!(notification, Notification::Rejoin(_)));
    }

    fn send_to(&mut self, to: Id, data: &[u8]) {
        self.sends.push((to.address, data.to_vec()));
    }

    fn submit_after(&mut self, event: Timer<Id>, after: Duration) {
        self.timers.push((event, after));
    }
}

type Protocol = Foca<Id, PostcardCodec, SmallRng, Farewells>;

/// One member's view of all, and its part in the protocol.
pub struct Membership {
    settings: Settings,
    foca: Protocol,
    seal: Seal,
    left: Rc<RefCell<BTreeSet<Vec<u8>>>>,
    timers: BTreeMap<(Micros, u64), Timer<Id>>,
    number: u64,
    join_at: Micros,
    seed: usize,
    table_at: Micros,
    table: BTreeMap<SocketAddr, Member>,
    health: u32,
    recover_at: Micros,
    ping: Option<(SocketAddr, Vec<u8>)>,
    leap: u64,
    ghost_until: Micros,
    out: Vec<(SocketAddr, Vec<u8>)>,
    metrics: Metrics,
    gone: bool,
}

/// A length of time; one beyond all use is cut.
pub(crate) fn micros(time: Duration) -> Micros {
    Micros::try_from(time.as_micros()).unwrap_or(Micros::MAX / 4)
}

impl Membership {
    /// A member that knows nobody yet. `seed` is for random numbers, new with each start.
    pub fn new(id: Id, settings: Settings, seed: u64, now: Micros) -> Membership {
        let name = id.name.bytes().fold(seed, |h, b| (h ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3));
        let draw = (name ^ id.incarnation.rotate_left(32)).wrapping_mul(0x9e37_79b9_7f4a_7c15);
        let rng = SmallRng::seed_from_u64(draw);
        let seal = Seal::new(&settings.key, draw);
        let left = Rc::<RefCell<BTreeSet<Vec<u8>>>>::default();
        let farewells = Farewells(left.clone());
        let foca = Foca::with_custom_broadcast(id, settings.config(), rng, PostcardCodec, farewells);
        // All members of a fleet that starts at once must not ask the same seed in the same moment.
        let join_at = now + micros(settings.probe_period) * (draw >> 33 & 0xff) as Micros / 0x100;
        let mut member = Membership {
            seed: (draw >> 41) as usize,
            settings,
            foca,
            seal,
            left,
            timers: BTreeMap::new(),
            number: 0,
            join_at,
            table_at: now,
            table: BTreeMap::new(),
            health: 0,
            recover_at: now,
            ping: None,
            leap: 1,
            ghost_until: now,
            out: Vec::new(),
            metrics: Metrics::default(),
            gone: false,
        };
        member.follow(now);
        member
    }

    /// Who this member is now: a later life than at its start where others have declared it dead.
    pub fn id(&self) -> &Id {
        self.foca.identity()
    }

    /// Takes a datagram. What does not belong is counted and dropped. Datagrams that have come go in before `tick`,
    /// or a member that was held up would take those that spoke meanwhile for silent.
    pub fn datagram(&mut self, now: Micros, datagram: &[u8]) {
        if self.gone {
            return;
        }
        let message = match self.seal.open(datagram) {
            Ok(message) => message,
            Err(Unsealed::Misshapen) => return self.metrics.malformed += 1,
            Err(Unsealed::Forged) => return self.metrics.unauthenticated += 1,
            Err(Unsealed::Replayed) => return self.metrics.replayed += 1,
        };
        self.protocol(now, |foca, wanted| foca.handle_data(message, wanted));
    }

    /// Does what is due, and gives all datagrams that are to be sent now, each with where it goes.
    pub fn tick(&mut self, now: Micros) -> Vec<(SocketAddr, Vec<u8>)> {
        if !self.gone {
            self.notice_pause(now);
            self.join(now);
            while let Some(entry) = self.timers.first_entry().filter(|e| e.key().0 <= now) {
                let timer = entry.remove();
                if self.is_refuted(&timer) {
                    continue;
                }
                let probe = matches!(timer, Timer::ProbeRandomMember(_));
                self.metrics.probes += u64::from(probe && self.foca.num_members() > 0);
                // Where it is not answered in time a probe goes out once more beside those through others: at a fifth
                // lost, one in three goes unanswered for no fault of the one that is probed.
                let again =
                    matches!(timer, Timer::SendIndirectProbe { .. }).then(|| self.ping.take()).flatten();
                self.protocol(now, |foca, wanted| {
                    foca.handle_timer(timer, &mut *wanted)?;
                    let unanswered = !wanted.sends.is_empty();
                    wanted.sends.extend(again.filter(|_| unanswered));
                    Ok(())
                });
            }
            if now >= self.table_at {
                self.follow(now);
            }
        }
        std::mem::take(&mut self.out)
    }

    /// When `tick` has something to do next.
    pub fn next(&self) -> Micros {
        let timer = self.timers.first_key_value().map_or(Micros::MAX, |(&(at, _), _)| at);
        timer.min(self.join_at).min(self.table_at)
    }

    /// Says goodbye: the last datagrams of this member. It does nothing from here on.
    pub fn leave(&mut self, now: Micros) -> Vec<(SocketAddr, Vec<u8>)> {
        if !std::mem::replace(&mut self.gone, true) {
            let mut wanted = Wanted::default();
            // Where there is nobody to tell, nothing is lost.
            let _ = self.foca.add_broadcast(&farewell(&self.foca.identity().clone()));
            for _ in 1..FAREWELLS {
                let _ = self.foca.gossip(&mut wanted);
            }
            let _ = self.foca.leave_cluster(&mut wanted);
            self.take(now, wanted);
            self.timers.clear();
        }
        std::mem::take(&mut self.out)
    }

    /// All members, this one included, by address: at each the latest life.
    pub fn table(&self) -> Vec<Member> {
        self.table.values().cloned().collect()
    }

    /// What is held of the member at an address, in its latest life.
    pub fn row(&self, address: SocketAddr) -> Option<&Member> {
        self.table.get(&address)
    }

    /// What has been counted.
    pub fn metrics(&self) -> Metrics {
        self.metrics
    }

    /// Whether a suspect has spoken up since. `foca` then keeps it alive here, but tells it all the same that it is
    /// dead, and it would give up its life for nothing.
    fn is_refuted(&self, timer: &Timer<Id>) -> bool {
        let Timer::ChangeSuspectToDown { member_id, incarnation, .. } = timer else { return false };
        let mut members = self.foca.iter_membership_state();
        !members
            .any(|m| m.id() == member_id && m.incarnation() == *incarnation && m.state() == State::Suspect)
    }

    /// A member that slept through its own times must not hold them against others: what was due while it slept is due
    /// as much later, and for a while it gives suspects more time.
    fn notice_pause(&mut self, now: Micros) {
        let period = micros(self.settings.probe_period);
        let due = self.timers.first_key_value().map_or(now, |(&(at, _), _)| at);
        let late = now - due;
        if late > period {
            self.metrics.pauses += 1;
            self.health = HEALTH_MOST;
            self.recover_at = now + period;
            let timers = std::mem::take(&mut self.timers);
            self.timers = timers.into_iter().map(|((at, n), timer)| ((at + late, n), timer)).collect();
        }
        while self.health > 0 && now >= self.recover_at {
            self.health -= 1;
            self.recover_at += period;
        }
    }

    /// Asks a seed that is not known to live: often while nobody is known, and now and then later. Else members that
    /// found each other through different seeds would stay two groups.
    fn join(&mut self, now: Micros) {
        if now < self.join_at {
            return;
        }
        // Also without seeds: a time that is past for ever would keep the member awake.
        let alone = self.foca.num_members() == 0;
        self.join_at = now + micros(self.settings.probe_period) * if alone { 1 } else { SEED_PERIODS };
        let seeds = &self.settings.seeds;
        let Some(&to) = seeds.get(self.seed % seeds.len().max(1)) else { return };
        self.seed += 1;
        let known = self.foca.iter_members().any(|m| m.id().address == to);
        if to != self.foca.identity().address && !known {
            // Whoever listens there is meant; its name is not known yet.
            self.protocol(now, |foca, wanted| foca.announce(Id::new("", 0, to), wanted));
        }
    }

    /// Has the protocol do something, and does what it asks for.
    fn protocol(
        &mut self,
        now: Micros,
        event: impl FnOnce(&mut Protocol, &mut Wanted) -> Result<(), foca::Error>,
    ) {
        let mut wanted = Wanted::default();
        self.metrics.undecodable += u64::from(event(&mut self.foca, &mut wanted).is_err());
        if wanted.declared_dead > 0 {
            self.outlive(now, &mut wanted);
        }
        self.take(now, wanted);
    }

    /// Declared dead again so soon, this member meets a ghost of its own whose life is later than its clock, which was
    /// set back, gave it. Twice as far each time, its lives pass any ghost's in some tens of steps.
    fn outlive(&mut self, now: Micros, wanted: &mut Wanted) {
        self.leap = if now < self.ghost_until { (2 * self.leap).min(LEAP_MOST) } else { 1 };
        self.ghost_until = now + GHOST_PERIODS * micros(self.settings.probe_period);
        let id = self.foca.identity().clone();
        if self.leap > 1 {
            let later = Id { incarnation: id.incarnation.saturating_add(self.leap), ..id };
            self.metrics.undecodable += u64::from(self.foca.change_identity(later, wanted).is_err());
        }
    }

    fn take(&mut self, now: Micros, wanted: Wanted) {
        self.metrics.declared_dead += wanted.declared_dead;
        let probed = wanted.timers.iter().find_map(|(timer, _)| match timer {
            Timer::SendIndirectProbe { probed_id, .. } => Some(probed_id.address),
            _ => None,
        });
        if let Some(address) = probed {
            self.ping = wanted.sends.iter().find(|send| send.0 == address).cloned();
        }
        for (to, message) in wanted.sends {
            let datagram = self.seal.seal(&message);
            self.metrics.sent += 1;
            self.metrics.bytes += datagram.len() as u64;
            self.out.push((to, datagram));
        }
        for (timer, after) in wanted.timers {
            let mut after = micros(after);
            if matches!(timer, Timer::ChangeSuspectToDown { .. }) {
                self.metrics.suspicions += 1;
                after *= Micros::from(1 + self.health);
            }
            self.number += 1;
            self.timers.insert((now + after, self.number), timer);
        }
    }

    /// Brings the table up to what the protocol holds.
    fn follow(&mut self, now: Micros) {
        self.table_at = now + TABLE_EVERY;
        let own = (self.foca.identity(), MemberState::Alive);
        let left = self.left.borrow();
        let others = self.foca.iter_membership_state().map(|member| {
            let standing = match member.state() {
                State::Alive => MemberState::Alive,
                State::Suspect => MemberState::Suspect,
                State::Down if left.contains(&farewell(member.id())) => MemberState::Left,
                State::Down => MemberState::Dead,
            };
            (member.id(), standing)
        });
        for (id, standing) in others.chain([own]) {
            let known = self.table.get(&id.address);
            // A ghost of a life that is over changes nothing.
            if known.is_some_and(|row| {
                row.id.incarnation > id.incarnation || row.id == *id && row.state == standing
            }) {
                continue;
            }
            let suspected = known.is_some_and(|row| row.state == MemberState::Suspect && row.id == *id);
            self.metrics.refuted += u64::from(suspected && standing == MemberState::Alive);
            self.table.insert(id.address, Member { id: id.clone(), state: standing, since: now });
        }
        // The dead are forgotten when the protocol has.
        let forget = micros(self.settings.forget);
        self.table.retain(|_, row| row.state < MemberState::Dead || now - row.since < forget);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// A pair that talk, where what one says comes to the other spoilt and sealed again, so that it gets past the seal.
    fn spoilt(rng: &mut fastrand::Rng, steps: usize) -> Metrics {
        let at = |port| SocketAddr::from(([127, 0, 0, 1], port));
        let settings = |seeds| Settings { seeds, ..Settings::new(b"a key of the tests alone".to_vec()) };
        let mut a = Membership::new(Id::new("a", 1, at(1)), settings(vec![at(2)]), rng.u64(..), 0);
        let mut b = Membership::new(Id::new("b", 1, at(2)), settings(vec![at(1)]), rng.u64(..), 0);
        let mut seal = Seal::new(b"a key of the tests alone", rng.u64(..));
        let mut open = Seal::new(b"a key of the tests alone", rng.u64(..));
        let mut now = 0;
        for _ in 0..steps {
            now += rng.i64(1_000..200_000);
            for (_, datagram) in b.tick(now) {
                a.datagram(now, &datagram);
            }
            for (_, datagram) in a.tick(now) {
                b.datagram(now, &datagram);
                let mut message = open.open(&datagram).expect("it was sealed").to_vec();
                for _ in 0..rng.usize(1..6) {
                    let place = rng.usize(..message.len());
                    match rng.u8(..4) {
                        0 => message[place] = rng.u8(..),
                        1 => message.truncate(place.max(1)),
                        2 => message.insert(place, rng.u8(..)),
                        _ => message.extend((0..rng.usize(..40)).map(|_| rng.u8(..))),
                    }
                }
                message.truncate(MESSAGE_MOST);
                b.datagram(now, &seal.seal(&message));
            }
        }
        assert!(b.table().len() <= 1 + steps * 64, "what it holds is bounded by what it was told");
        b.metrics()
    }

    #[test]
    fn messages_that_are_sealed_and_make_no_sense_break_nothing() {
        let mut rng = fastrand::Rng::with_seed(9);
        let senseless: u64 = (0..60).map(|_| spoilt(&mut rng, 40).undecodable).sum();
        assert!(senseless > 500, "{senseless} were told from sense");
    }

    /// The same for as many seconds as `FUZZ_SECONDS` says, 600 without it.
    #[test]
    #[ignore = "it runs for ten minutes"]
    fn fuzz_sealed_messages() {
        let seconds = std::env::var("FUZZ_SECONDS").ok().and_then(|s| s.parse().ok()).unwrap_or(600);
        let (begun, mut rng, mut rounds) = (std::time::Instant::now(), fastrand::Rng::with_seed(10), 0_u64);
        while begun.elapsed() < Duration::from_secs(seconds) {
            spoilt(&mut rng, 60);
            rounds += 1;
        }
        println!("{rounds} rounds");
    }
}
