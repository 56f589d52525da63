//! The state machine of a member: datagrams and the time in, datagrams out. No I/O, no clock.

use crate::authentication::{Authenticator, DatagramError};
use crate::id::MemberId;
use crate::incarnation_jump::IncarnationJump;
use crate::leave_broadcast::{LeaveNotice, LeaveNotices};
use crate::local_health::LocalHealth;
use crate::metrics::Metrics;
use crate::protocol_output::{Message, NewTimer, ProtocolOutput};
use crate::settings::Settings;
use crate::table::{Member, MemberState, MemberTable, TableChange};
use crate::time::{Micros, micros};
use crate::timer_queue::TimerQueue;
use foca::{Foca, PostcardCodec, State, Timer};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use std::net::SocketAddr;

/// How often the table is updated from the protocol's state.
const TABLE_UPDATE_INTERVAL: Micros = 100_000;
/// Probe periods between announcements to a seed that is not known to be alive, once another member is.
const SEED_ANNOUNCE_PERIODS: Micros = 4;
/// Rounds of gossip that carry the leave broadcast, the protocol's own last message included.
const LEAVE_BROADCAST_ROUNDS: usize = 3;

type Protocol = Foca<MemberId, PostcardCodec, SmallRng, LeaveNotices>;

/// A datagram that is to be sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OutgoingDatagram {
    /// The receiver's address.
    pub to: SocketAddr,
    /// What to send.
    pub bytes: Vec<u8>,
}

/// One member: its view of all members, and its part in the protocol.
pub struct Membership {
    settings: Settings,
    protocol: Protocol,
    authenticator: Authenticator,
    leave_notices: LeaveNotices,
    timers: TimerQueue,
    /// The next time to look for a seed to announce this member to.
    announce_at: Micros,
    /// Counts through the seeds.
    next_seed: usize,
    table: MemberTable,
    table_update_at: Micros,
    local_health: LocalHealth,
    /// The last direct probe, until it is repeated.
    last_probe: Option<Message>,
    incarnation_jump: IncarnationJump,
    outgoing: Vec<OutgoingDatagram>,
    metrics: Metrics,
    has_left: bool,
}

/// The seed for the random numbers of one incarnation: another one for each node and each start, even if
/// `seed` is the same.
fn incarnation_seed(id: &MemberId, seed: u64) -> u64 {
    let with_name =
        id.name.bytes().fold(seed, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3));
    (with_name ^ id.incarnation.rotate_left(32)).wrapping_mul(0x9e37_79b9_7f4a_7c15)
}

impl Membership {
    /// A member that knows no other one yet. `seed` is for random numbers, and should be new at each start.
    pub fn new(id: MemberId, settings: Settings, seed: u64, now: Micros) -> Membership {
        let seed = incarnation_seed(&id, seed);
        let authenticator = Authenticator::new(&settings.key, seed);
        let leave_notices = LeaveNotices::default();
        let protocol = Foca::with_custom_broadcast(
            id,
            settings.protocol_config(),
            SmallRng::seed_from_u64(seed),
            PostcardCodec,
            leave_notices.clone(),
        );
        // Members that start at once must not announce themselves to the same seed at the same moment.
        let jitter = micros(settings.probe_period) * (seed >> 33 & 0xff) as Micros / 0x100;
        let mut member = Membership {
            protocol,
            authenticator,
            leave_notices,
            timers: TimerQueue::default(),
            announce_at: now + jitter,
            next_seed: (seed >> 41) as usize,
            table: MemberTable::default(),
            table_update_at: now,
            local_health: LocalHealth::new(now),
            last_probe: None,
            incarnation_jump: IncarnationJump::new(now),
            outgoing: Vec::new(),
            metrics: Metrics::default(),
            has_left: false,
            settings,
        };
        member.update_table(now);
        member
    }

    /// The identity of this member now: a later incarnation than at its start if it was declared dead.
    pub fn id(&self) -> &MemberId {
        self.protocol.identity()
    }

    /// Handles a datagram that was received. One that is not valid is counted and dropped. Datagrams that
    /// wait must be handled before [`Membership::tick`]: a member that was paused would suspect those that
    /// have answered meanwhile.
    pub fn handle_datagram(&mut self, now: Micros, datagram: &[u8]) {
        if self.has_left {
            return;
        }
        match self.authenticator.verify(datagram) {
            Ok(message) => self.run_protocol(now, |protocol, output| protocol.handle_data(message, output)),
            Err(DatagramError::Malformed) => self.metrics.malformed += 1,
            Err(DatagramError::Unauthenticated) => self.metrics.unauthenticated += 1,
            Err(DatagramError::Replayed) => self.metrics.replayed += 1,
        }
    }

    /// Does what is due, and returns all datagrams that are to be sent now.
    pub fn tick(&mut self, now: Micros) -> Vec<OutgoingDatagram> {
        if !self.has_left {
            self.handle_pause(now);
            self.announce_to_seed(now);
            self.run_due_timers(now);
            if now >= self.table_update_at {
                self.update_table(now);
            }
        }
        std::mem::take(&mut self.outgoing)
    }

    /// When `tick` has something to do next.
    pub fn next_tick_at(&self) -> Micros {
        let timer = self.timers.next_due_at().unwrap_or(Micros::MAX);
        timer.min(self.announce_at).min(self.table_update_at)
    }

    /// Leaves, and returns the last datagrams of this member. It does nothing from here on.
    pub fn leave(&mut self, now: Micros) -> Vec<OutgoingDatagram> {
        if !std::mem::replace(&mut self.has_left, true) {
            self.broadcast_leave(now);
            self.timers.clear();
        }
        std::mem::take(&mut self.outgoing)
    }

    /// All members, this one included, by address, in the latest incarnation of each.
    pub fn table(&self) -> Vec<Member> {
        self.table.to_vec()
    }

    /// The member at an address, in its latest incarnation.
    pub fn member(&self, address: SocketAddr) -> Option<&Member> {
        self.table.get(address)
    }

    /// What this member has counted.
    pub fn metrics(&self) -> Metrics {
        self.metrics
    }

    fn probe_period(&self) -> Micros {
        micros(self.settings.probe_period)
    }

    fn broadcast_leave(&mut self, now: Micros) {
        let mut output = ProtocolOutput::default();
        let notice = LeaveNotice::new(self.protocol.identity());
        // These fail if there is no other member, and then there is nothing to send.
        let _ = self.protocol.add_broadcast(notice.as_bytes());
        for _ in 1..LEAVE_BROADCAST_ROUNDS {
            let _ = self.protocol.gossip(&mut output);
        }
        let _ = self.protocol.leave_cluster(&mut output);
        self.carry_out(now, output);
    }

    /// A member that was paused must not blame others for its own delay: its timers are postponed by the time
    /// that it was paused, and for a while suspects get more time.
    fn handle_pause(&mut self, now: Micros) {
        let probe_period = self.probe_period();
        let delay = now - self.timers.next_due_at().unwrap_or(now);
        if delay > probe_period {
            self.metrics.pauses += 1;
            self.local_health.record_pause(now, probe_period);
            self.timers.postpone_all(delay);
        }
        self.local_health.recover(now, probe_period);
    }

    /// Announces this member to a seed that is not known to be alive: often while no other member is known,
    /// and now and then later. Otherwise members that found each other through different seeds would stay two
    /// clusters.
    fn announce_to_seed(&mut self, now: Micros) {
        if now < self.announce_at {
            return;
        }
        // Also without seeds: a time in the past would keep the member awake all the time.
        let is_alone = self.protocol.num_members() == 0;
        self.announce_at = now + self.probe_period() * if is_alone { 1 } else { SEED_ANNOUNCE_PERIODS };
        let seeds = &self.settings.seeds;
        let Some(&seed) = seeds.get(self.next_seed % seeds.len().max(1)) else { return };
        self.next_seed += 1;
        let is_known = self.protocol.iter_members().any(|member| member.id().address == seed);
        if seed != self.protocol.identity().address && !is_known {
            // Only the address is known yet: any member that listens there may answer.
            let any_member = MemberId::new("", 0, seed);
            self.run_protocol(now, |protocol, output| protocol.announce(any_member, output));
        }
    }

    fn run_due_timers(&mut self, now: Micros) {
        while let Some(timer) = self.timers.pop_due(now) {
            if !self.is_refuted(&timer) {
                self.run_timer(now, timer);
            }
        }
    }

    /// Whether the timer is that of a suspicion that has been refuted. `foca` would keep the suspect alive,
    /// but tell it all the same that it is dead, and it would take its next incarnation for nothing.
    fn is_refuted(&self, timer: &Timer<MemberId>) -> bool {
        let Timer::ChangeSuspectToDown { member_id, incarnation, .. } = timer else { return false };
        let is_still_suspect = self.protocol.iter_membership_state().any(|member| {
            member.id() == member_id
                && member.incarnation() == *incarnation
                && member.state() == State::Suspect
        });
        !is_still_suspect
    }

    fn run_timer(&mut self, now: Micros, timer: Timer<MemberId>) {
        let starts_probe = matches!(timer, Timer::ProbeRandomMember(_));
        if starts_probe && self.protocol.num_members() > 0 {
            self.metrics.probes += 1;
        }
        // A probe that is not answered in time is repeated directly too, beside the indirect ones: with a
        // fifth of the datagrams lost, one probe in three is not answered though the member is alive.
        let is_timeout = matches!(timer, Timer::SendIndirectProbe { .. });
        let repeated_probe = if is_timeout { self.last_probe.take() } else { None };
        self.run_protocol(now, |protocol, output| {
            protocol.handle_timer(timer, &mut *output)?;
            let is_unanswered = !output.messages.is_empty();
            output.messages.extend(repeated_probe.filter(|_| is_unanswered));
            Ok(())
        });
    }

    /// Runs one call of the protocol, and carries out what that asks for.
    fn run_protocol(
        &mut self,
        now: Micros,
        call: impl FnOnce(&mut Protocol, &mut ProtocolOutput) -> Result<(), foca::Error>,
    ) {
        let mut output = ProtocolOutput::default();
        if call(&mut self.protocol, &mut output).is_err() {
            self.metrics.protocol_errors += 1;
        }
        if output.declared_dead > 0 {
            self.raise_incarnation(now, &mut output);
        }
        self.carry_out(now, output);
    }

    /// The protocol has raised the incarnation by one; raises it further if a stale incarnation is still
    /// ahead.
    fn raise_incarnation(&mut self, now: Micros, output: &mut ProtocolOutput) {
        let jump = self.incarnation_jump.on_declared_dead(now, self.probe_period());
        if jump <= 1 {
            return;
        }
        let id = self.protocol.identity().clone();
        let later = MemberId { incarnation: id.incarnation.saturating_add(jump), ..id };
        if self.protocol.change_identity(later, output).is_err() {
            self.metrics.protocol_errors += 1;
        }
    }

    fn carry_out(&mut self, now: Micros, output: ProtocolOutput) {
        self.metrics.declared_dead += output.declared_dead;
        if let Some(probed) = output.probed_address() {
            self.last_probe = output.message_to(probed).cloned();
        }
        for message in output.messages {
            self.send(&message);
        }
        for new in output.timers {
            self.start_timer(now, new);
        }
    }

    fn send(&mut self, message: &Message) {
        let bytes = self.authenticator.sign(&message.bytes);
        self.metrics.datagrams_sent += 1;
        self.metrics.bytes_sent += bytes.len() as u64;
        self.outgoing.push(OutgoingDatagram { to: message.to, bytes });
    }

    fn start_timer(&mut self, now: Micros, new: NewTimer) {
        let mut after = micros(new.after);
        if matches!(new.timer, Timer::ChangeSuspectToDown { .. }) {
            self.metrics.suspicions += 1;
            after *= self.local_health.suspicion_factor();
        }
        self.timers.start(now + after, new.timer);
    }

    /// Updates the table from the protocol's state.
    fn update_table(&mut self, now: Micros) {
        self.table_update_at = now + TABLE_UPDATE_INTERVAL;
        let own = (self.protocol.identity(), MemberState::Alive);
        let others = self.protocol.iter_membership_state().map(|member| {
            let state = match member.state() {
                State::Alive => MemberState::Alive,
                State::Suspect => MemberState::Suspect,
                State::Down if self.leave_notices.has_left(member.id()) => MemberState::Left,
                State::Down => MemberState::Dead,
            };
            (member.id(), state)
        });
        for (id, state) in others.chain([own]) {
            if self.table.update(now, id, state) == TableChange::Refuted {
                self.metrics.refutations += 1;
            }
        }
        self.table.forget_old(now, micros(self.settings.forget_after));
    }
}

#[cfg(test)]
mod tests;
