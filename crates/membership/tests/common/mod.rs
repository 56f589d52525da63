//! Members on a simulated clock, and the net between them.
#![allow(dead_code)]

use sorrelhaven_membership::{Id, MemberState, Membership, Metrics, Micros, Settings};
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::net::SocketAddr;

pub const MS: Micros = 1_000;
pub const S: Micros = 1_000_000;

pub fn address(n: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (n >> 8) as u8, n as u8], 7000))
}

pub fn number(address: SocketAddr) -> usize {
    match address {
        SocketAddr::V4(a) => usize::from(a.ip().octets()[2]) << 8 | usize::from(a.ip().octets()[3]),
        SocketAddr::V6(_) => unreachable!("all are of the other kind"),
    }
}

#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Tick,
    Datagram(Vec<u8>),
}

/// What a member is doing.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Doing {
    Runs,
    /// Its process is stopped until then; what comes waits in its socket.
    Sleeps(Micros),
    Killed,
}

pub struct World {
    pub members: Vec<Membership>,
    pub doing: Vec<Doing>,
    /// The share of datagrams lost from one to the other, or 1 for a cut.
    pub loss: Box<dyn Fn(usize, usize) -> f64>,
    pub now: Micros,
    due: BinaryHeap<Reverse<(Micros, u64, usize, Due)>>,
    count: u64,
    rng: fastrand::Rng,
    key: Vec<u8>,
}

impl World {
    /// So many that start within a second and know the first two.
    pub fn new(count: usize, seed: u64) -> World {
        let mut world = World {
            members: Vec::new(),
            doing: vec![Doing::Runs; count],
            loss: Box::new(|_, _| 0.0),
            now: 0,
            due: BinaryHeap::new(),
            count: 0,
            rng: fastrand::Rng::with_seed(seed),
            key: b"a key of the simulation".to_vec(),
        };
        for n in 0..count {
            let member = world.member(n, 1_000, 0);
            world.members.push(member);
            let at = world.rng.i64(0..S);
            world.push(at, n, Due::Tick);
        }
        world
    }

    fn member(&mut self, n: usize, life: u64, now: Micros) -> Membership {
        let seeds = vec![address(0), address(1)];
        let settings = Settings { seeds, ..Settings::new(self.key.clone()) };
        Membership::new(Id::new(&format!("n{n}"), life, address(n)), settings, self.rng.u64(..), now)
    }

    fn push(&mut self, at: Micros, n: usize, due: Due) {
        self.count += 1;
        self.due.push(Reverse((at, self.count, n, due)));
    }

    pub fn kill(&mut self, n: usize) {
        self.doing[n] = Doing::Killed;
    }

    pub fn sleep(&mut self, n: usize, time: Micros) {
        self.doing[n] = Doing::Sleeps(self.now + time);
    }

    /// Starts it again under its name and address, as another life.
    pub fn restart(&mut self, n: usize, life: u64) {
        let member = self.member(n, life, self.now);
        self.members[n] = member;
        self.doing[n] = Doing::Runs;
        let at = self.now;
        self.push(at, n, Due::Tick);
    }

    fn send(&mut self, from: usize, out: Vec<(SocketAddr, Vec<u8>)>) {
        for (to, datagram) in out {
            assert!(datagram.len() < 1_400, "{} bytes", datagram.len());
            let to = number(to);
            let lost = self.rng.f64() < (self.loss)(from, to);
            let at = self.now + self.rng.i64(MS / 2..3 * MS);
            if !lost && to < self.members.len() {
                self.push(at, to, Due::Datagram(datagram));
            }
        }
    }

    pub fn leave(&mut self, n: usize) {
        let out = self.members[n].leave(self.now);
        self.send(n, out);
        self.doing[n] = Doing::Killed;
    }

    pub fn run(&mut self, until: Micros) {
        while self.due.peek().is_some_and(|d| d.0.0 <= until) {
            let Some(Reverse((at, _, n, due))) = self.due.pop() else { return };
            self.now = at;
            match (self.doing[n], due) {
                (Doing::Killed, _) => {}
                // Datagrams wait in the socket and are read before anything else is done.
                (Doing::Sleeps(end), Due::Datagram(bytes)) if end > at => {
                    self.push(end, n, Due::Datagram(bytes))
                }
                (Doing::Sleeps(end), Due::Tick) if end > at => self.push(end + 1, n, Due::Tick),
                (_, Due::Datagram(bytes)) => {
                    self.members[n].datagram(at, &bytes);
                    let out = self.members[n].tick_if_awake(at, self.doing[n]);
                    self.send(n, out);
                }
                (_, Due::Tick) => {
                    self.doing[n] = Doing::Runs;
                    let out = self.members[n].tick(at);
                    self.send(n, out);
                    let next = self.members[n].next().clamp(at + MS, at + S);
                    self.push(next, n, Due::Tick);
                }
            }
        }
        self.now = until;
    }

    /// What one holds of another.
    pub fn view(&self, n: usize, of: usize) -> Option<MemberState> {
        self.members[n].row(address(of)).map(|row| row.state)
    }

    /// Whether all that run hold this of one.
    pub fn all_hold(&self, of: usize, standing: MemberState) -> bool {
        self.running().all(|n| n == of || self.view(n, of) == Some(standing))
    }

    pub fn running(&self) -> impl Iterator<Item = usize> {
        (0..self.members.len()).filter(|&n| self.doing[n] != Doing::Killed)
    }

    /// Whether all that run hold all that run for alive, in the lives that they have now.
    pub fn whole(&self) -> bool {
        let ids: Vec<&Id> = self.running().map(|n| self.members[n].id()).collect();
        let alive = |n: usize, id: &Id| {
            self.members[n]
                .row(id.address)
                .is_some_and(|row| row.id == *id && row.state == MemberState::Alive)
        };
        self.running().all(|n| ids.iter().all(|id| alive(n, id)))
    }

    /// Runs until it holds, and tells when; panics where it does not by then.
    pub fn until(&mut self, limit: Micros, what: impl Fn(&World) -> bool) -> Micros {
        while !what(self) {
            assert!(self.now < limit, "not by {} s", limit / S);
            self.run(self.now + 100 * MS);
        }
        self.now
    }

    pub fn sum(&self, figure: impl Fn(&Metrics) -> u64) -> u64 {
        self.members.iter().map(|m| figure(&m.metrics())).sum()
    }
}

/// A socket that was woken by a datagram still has its own times to see to, once it is awake.
trait Woken {
    fn tick_if_awake(&mut self, now: Micros, doing: Doing) -> Vec<(SocketAddr, Vec<u8>)>;
}

impl Woken for Membership {
    fn tick_if_awake(&mut self, now: Micros, doing: Doing) -> Vec<(SocketAddr, Vec<u8>)> {
        if doing == Doing::Runs { self.tick(now) } else { Vec::new() }
    }
}
