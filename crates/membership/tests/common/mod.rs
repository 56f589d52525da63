//! A cluster of members on a simulated clock, and the network between them.
#![allow(dead_code)]

use sorrelhaven_membership::{
    MemberId, MemberState, Membership, Metrics, Micros, OutgoingDatagram, Settings,
};
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::net::SocketAddr;

pub const MILLISECOND: Micros = 1_000;
pub const SECOND: Micros = 1_000_000;

/// The address of the member with this index.
pub fn address(index: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (index >> 8) as u8, index as u8], 7000))
}

/// The index of the member at this address.
pub fn index_of(address: SocketAddr) -> usize {
    match address {
        SocketAddr::V4(address) => {
            let [_, _, high, low] = address.ip().octets();
            usize::from(high) << 8 | usize::from(low)
        }
        SocketAddr::V6(_) => unreachable!("all addresses are IPv4"),
    }
}

#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum EventKind {
    Tick,
    Datagram(Vec<u8>),
}

/// An event at one member. Events at the same time are handled in the order in which they were scheduled.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Event {
    at: Micros,
    sequence: u64,
    member: usize,
    kind: EventKind,
}

/// The state of a member's process.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum ProcessState {
    Running,
    /// Stopped until this time; received datagrams wait in its socket.
    Paused(Micros),
    Killed,
}

/// A simulated cluster: members, their processes and the network.
pub struct Cluster {
    pub members: Vec<Membership>,
    pub processes: Vec<ProcessState>,
    /// The probability that a datagram from one member to another is lost; 1 for both directions is a
    /// partition.
    pub loss: Box<dyn Fn(usize, usize) -> f64>,
    pub now: Micros,
    events: BinaryHeap<Reverse<Event>>,
    event_count: u64,
    rng: fastrand::Rng,
    key: Vec<u8>,
}

impl Cluster {
    /// A cluster of `count` members that start within one second; members 0 and 1 are the seeds of all.
    pub fn new(count: usize, seed: u64) -> Cluster {
        let mut cluster = Cluster {
            members: Vec::new(),
            processes: vec![ProcessState::Running; count],
            loss: Box::new(|_, _| 0.0),
            now: 0,
            events: BinaryHeap::new(),
            event_count: 0,
            rng: fastrand::Rng::with_seed(seed),
            key: b"a key of the simulation".to_vec(),
        };
        for index in 0..count {
            let member = cluster.new_member(index, 1_000, 0);
            cluster.members.push(member);
            let at = cluster.rng.i64(0..SECOND);
            cluster.schedule(at, index, EventKind::Tick);
        }
        cluster
    }

    fn new_member(&mut self, index: usize, incarnation: u64, now: Micros) -> Membership {
        let seeds = vec![address(0), address(1)];
        let settings = Settings { seeds, ..Settings::new(self.key.clone()) };
        let id = MemberId::new(&format!("n{index}"), incarnation, address(index));
        Membership::new(id, settings, self.rng.u64(..), now)
    }

    fn schedule(&mut self, at: Micros, member: usize, kind: EventKind) {
        self.event_count += 1;
        self.events.push(Reverse(Event { at, sequence: self.event_count, member, kind }));
    }

    pub fn kill(&mut self, index: usize) {
        self.processes[index] = ProcessState::Killed;
    }

    pub fn pause(&mut self, index: usize, duration: Micros) {
        self.processes[index] = ProcessState::Paused(self.now + duration);
    }

    /// Starts a new process of a member, with the same name and address and another incarnation.
    pub fn restart(&mut self, index: usize, incarnation: u64) {
        let member = self.new_member(index, incarnation, self.now);
        self.members[index] = member;
        self.processes[index] = ProcessState::Running;
        let at = self.now;
        self.schedule(at, index, EventKind::Tick);
    }

    /// Has a member send its leave broadcast, and ends its process.
    pub fn leave(&mut self, index: usize) {
        let datagrams = self.members[index].leave(self.now);
        self.send(index, datagrams);
        self.processes[index] = ProcessState::Killed;
    }

    fn send(&mut self, from: usize, datagrams: Vec<OutgoingDatagram>) {
        for OutgoingDatagram { to, bytes } in datagrams {
            assert!(bytes.len() < 1_400, "a datagram has {} bytes", bytes.len());
            let to = index_of(to);
            let is_lost = self.rng.f64() < (self.loss)(from, to);
            let at = self.now + self.rng.i64(MILLISECOND / 2..3 * MILLISECOND);
            if !is_lost && to < self.members.len() {
                self.schedule(at, to, EventKind::Datagram(bytes));
            }
        }
    }

    /// Handles all events up to `until`, and sets the clock to it.
    pub fn run(&mut self, until: Micros) {
        while self.events.peek().is_some_and(|event| event.0.at <= until) {
            let Some(Reverse(event)) = self.events.pop() else { return };
            self.now = event.at;
            self.handle(event);
        }
        self.now = until;
    }

    fn handle(&mut self, event: Event) {
        let Event { at, member, kind, .. } = event;
        match (self.processes[member], kind) {
            (ProcessState::Killed, _) => {}
            // Datagrams that arrive during a pause are handled at its end, before the tick, which is 1 us
            // later.
            (ProcessState::Paused(end), EventKind::Datagram(bytes)) if end > at => {
                self.schedule(end, member, EventKind::Datagram(bytes));
            }
            (ProcessState::Paused(end), EventKind::Tick) if end > at => {
                self.schedule(end + 1, member, EventKind::Tick);
            }
            (_, EventKind::Datagram(bytes)) => self.handle_datagram(member, &bytes),
            (_, EventKind::Tick) => self.tick(member),
        }
    }

    fn handle_datagram(&mut self, index: usize, bytes: &[u8]) {
        self.members[index].handle_datagram(self.now, bytes);
        // After a pause, all datagrams waiting in the socket are handled before the first tick.
        if self.processes[index] == ProcessState::Running {
            let datagrams = self.members[index].tick(self.now);
            self.send(index, datagrams);
        }
    }

    fn tick(&mut self, index: usize) {
        self.processes[index] = ProcessState::Running;
        let datagrams = self.members[index].tick(self.now);
        self.send(index, datagrams);
        let next = self.members[index].next_tick_at().clamp(self.now + MILLISECOND, self.now + SECOND);
        self.schedule(next, index, EventKind::Tick);
    }

    /// The state of the member `index` in the table of the member `observer`.
    pub fn state(&self, observer: usize, index: usize) -> Option<MemberState> {
        self.members[observer].member(address(index)).map(|member| member.state)
    }

    /// Whether all other running members have the member `index` in this state.
    pub fn all_agree(&self, index: usize, state: MemberState) -> bool {
        self.running().all(|observer| observer == index || self.state(observer, index) == Some(state))
    }

    /// The indices of the members that were not killed, paused ones included.
    pub fn running(&self) -> impl Iterator<Item = usize> {
        (0..self.members.len()).filter(|&index| self.processes[index] != ProcessState::Killed)
    }

    /// Whether all running members consider all running members alive, in their current incarnations.
    pub fn is_converged(&self) -> bool {
        let ids: Vec<&MemberId> = self.running().map(|index| self.members[index].id()).collect();
        self.running().all(|observer| ids.iter().all(|id| self.considers_alive(observer, id)))
    }

    fn considers_alive(&self, observer: usize, id: &MemberId) -> bool {
        let member = self.members[observer].member(id.address);
        member.is_some_and(|member| member.id == *id && member.state == MemberState::Alive)
    }

    /// Runs the cluster until a condition holds, and returns the time; panics if it does not hold by
    /// `deadline`.
    pub fn run_until(&mut self, deadline: Micros, condition: impl Fn(&Cluster) -> bool) -> Micros {
        while !condition(self) {
            assert!(
                self.now < deadline,
                "the awaited condition does not hold after {} s of simulated time",
                deadline / SECOND
            );
            self.run(self.now + 100 * MILLISECOND);
        }
        self.now
    }

    /// The sum of a metric over all members.
    pub fn sum(&self, metric: impl Fn(&Metrics) -> u64) -> u64 {
        self.members.iter().map(|member| metric(&member.metrics())).sum()
    }
}
