//! The state machine of a member. It takes received datagrams and the current time, and returns datagrams to
//! send; it does no I/O and reads no clock.

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

/// Interval between updates of the member table from `foca`'s state.
const TABLE_UPDATE_INTERVAL: Micros = 100_000;
/// Probe periods between announcements to seeds that are not known to be alive, once another member is.
const SEED_ANNOUNCE_PERIODS: Micros = 4;
/// Gossip rounds that carry the leave notice, including that of `foca`'s own leave message.
const LEAVE_BROADCAST_ROUNDS: usize = 3;

type Protocol = Foca<MemberId, PostcardCodec, SmallRng, LeaveNotices>;

/// A signed datagram for the caller to send.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OutgoingDatagram {
    /// The receiver's address.
    pub to: SocketAddr,
    /// The datagram's payload, header and MAC included.
    pub bytes: Vec<u8>,
}

/// One member of the cluster: its member table, and its part in the SWIM protocol.
pub struct Membership {
    settings: Settings,
    protocol: Protocol,
    authenticator: Authenticator,
    leave_notices: LeaveNotices,
    timers: TimerQueue,
    /// When to announce this member to the next seed, unless the seed is known to be alive.
    next_announce_at: Micros,
    /// The index of the next seed, modulo the number of seeds; the first one is random.
    next_seed_index: usize,
    table: MemberTable,
    next_table_update_at: Micros,
    local_health: LocalHealth,
    /// The message of the last direct probe, until it is repeated.
    last_probe: Option<Message>,
    incarnation_jump: IncarnationJump,
    outgoing: Vec<OutgoingDatagram>,
    metrics: Metrics,
    has_left: bool,
}

/// Derives the seed of one incarnation's random numbers, which differs between nodes and between starts of a
/// node even if `seed` is the same.
fn incarnation_seed(id: &MemberId, seed: u64) -> u64 {
    let name_hash =
        id.name.bytes().fold(seed, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3));
    (name_hash ^ id.incarnation.rotate_left(32)).wrapping_mul(0x9e37_79b9_7f4a_7c15)
}

impl Membership {
    /// Creates a member that knows no other member yet. `seed` seeds its random numbers and should differ at
    /// each start; `now` is the current time on the clock of all later calls.
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
        // Up to one probe period: members that start at the same time must not all announce themselves to the
        // same seed at the same moment.
        let jitter = micros(settings.probe_period) * (seed >> 33 & 0xff) as Micros / 0x100;
        let mut member = Membership {
            protocol,
            authenticator,
            leave_notices,
            timers: TimerQueue::default(),
            next_announce_at: now + jitter,
            next_seed_index: (seed >> 41) as usize,
            table: MemberTable::default(),
            next_table_update_at: now,
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

    /// This member's current identity. Its incarnation is higher than at its start if it was declared dead
    /// since.
    pub fn id(&self) -> &MemberId {
        self.protocol.identity()
    }

    /// Handles a received datagram; an invalid one is counted and dropped. Datagrams waiting in the socket
    /// must be handled before [`Membership::tick`] is called: after a pause of the process, the tick would
    /// otherwise suspect members whose acks are among them.
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

    /// Runs the timers and periodic work due at `now`, and returns all datagrams to be sent.
    pub fn tick(&mut self, now: Micros) -> Vec<OutgoingDatagram> {
        if !self.has_left {
            self.handle_pause(now);
            self.announce_to_seed(now);
            self.run_due_timers(now);
            if now >= self.next_table_update_at {
                self.update_table(now);
            }
        }
        std::mem::take(&mut self.outgoing)
    }

    /// When [`Membership::tick`] next has work to do.
    pub fn next_tick_at(&self) -> Micros {
        let timer = self.timers.next_due_at().unwrap_or(Micros::MAX);
        timer.min(self.next_announce_at).min(self.next_table_update_at)
    }

    /// Leaves the cluster, and returns the last datagrams to be sent. Afterwards this member ignores
    /// datagrams and runs no timers.
    pub fn leave(&mut self, now: Micros) -> Vec<OutgoingDatagram> {
        if !std::mem::replace(&mut self.has_left, true) {
            self.broadcast_leave(now);
            self.timers.clear();
        }
        std::mem::take(&mut self.outgoing)
    }

    /// All members, this one included, each in its latest known incarnation, sorted by address.
    pub fn table(&self) -> Vec<Member> {
        self.table.to_vec()
    }

    /// The member at an address, in its latest known incarnation.
    pub fn member(&self, address: SocketAddr) -> Option<&Member> {
        self.table.get(address)
    }

    /// The counts of events since this member's start.
    pub fn metrics(&self) -> Metrics {
        self.metrics
    }

    fn probe_period(&self) -> Micros {
        micros(self.settings.probe_period)
    }

    fn broadcast_leave(&mut self, now: Micros) {
        let mut output = ProtocolOutput::default();
        let notice = LeaveNotice::new(self.protocol.identity());
        // If there is no other member, these calls send nothing. If one fails, the other members consider
        // this one dead instead of left.
        let _ = self.protocol.add_broadcast(notice.as_bytes());
        for _ in 1..LEAVE_BROADCAST_ROUNDS {
            let _ = self.protocol.gossip(&mut output);
        }
        let _ = self.protocol.leave_cluster(&mut output);
        self.apply_output(now, output);
    }

    /// Detects a pause of this process by a timer that is overdue by more than a probe period. Such a member
    /// must not suspect others because of its own delay: its timers are postponed by the delay, and for some
    /// probe periods it gives suspects more time to refute.
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

    /// Announces this member to the next seed if that is not known to be alive: every probe period while no
    /// other member is known to be alive, and every [`SEED_ANNOUNCE_PERIODS`] probe periods once one is.
    /// Without the latter, members that joined through different seeds would remain separate clusters.
    /// Suspects count as alive here.
    fn announce_to_seed(&mut self, now: Micros) {
        if now < self.next_announce_at {
            return;
        }
        // Set even if there are no seeds: with a time in the past, `next_tick_at` would always be due and the
        // caller would loop without sleeping.
        let is_alone = self.protocol.num_members() == 0;
        self.next_announce_at = now + self.probe_period() * if is_alone { 1 } else { SEED_ANNOUNCE_PERIODS };
        let seeds = &self.settings.seeds;
        let Some(&seed) = seeds.get(self.next_seed_index % seeds.len().max(1)) else { return };
        self.next_seed_index += 1;
        let is_known = self.protocol.iter_members().any(|member| member.id().address == seed);
        if seed != self.protocol.identity().address && !is_known {
            // Name and incarnation of the seed are not known yet: any member at this address may answer.
            let any_member = MemberId::new("", 0, seed);
            self.run_protocol(now, |protocol, output| protocol.announce(any_member, output));
        }
    }

    fn run_due_timers(&mut self, now: Micros) {
        while let Some(timer) = self.timers.pop_due(now) {
            if !self.is_refuted_suspicion(&timer) {
                self.run_timer(now, timer);
            }
        }
    }

    /// Whether the timer is that of a suspicion that no longer holds, as a rule because it was refuted.
    /// `foca` would keep the suspect alive but would still tell it that it was declared dead, so that it
    /// would raise its incarnation without need.
    fn is_refuted_suspicion(&self, timer: &Timer<MemberId>) -> bool {
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
        // A probe without an ack at its timeout is repeated directly, in addition to the indirect probes:
        // with a fifth of the datagrams lost, one direct probe in three gets no ack although the member is
        // alive. It is not repeated if `foca` sends no indirect probes, because the ack has arrived or there
        // is no third member.
        let is_probe_timeout = matches!(timer, Timer::SendIndirectProbe { .. });
        let repeated_probe = if is_probe_timeout { self.last_probe.take() } else { None };
        self.run_protocol(now, |protocol, output| {
            protocol.handle_timer(timer, &mut *output)?;
            let is_unanswered = !output.messages.is_empty();
            output.messages.extend(repeated_probe.filter(|_| is_unanswered));
            Ok(())
        });
    }

    /// Makes one call of `foca`, and applies its output.
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
        self.apply_output(now, output);
    }

    /// `foca` has raised the incarnation by one; raises it further if a stale incarnation of this node is
    /// still higher.
    fn raise_incarnation(&mut self, now: Micros, output: &mut ProtocolOutput) {
        let jump = self.incarnation_jump.on_declared_dead(now, self.probe_period());
        if jump <= 1 {
            return;
        }
        let id = self.protocol.identity().clone();
        let raised_id = MemberId { incarnation: id.incarnation.saturating_add(jump), ..id };
        if self.protocol.change_identity(raised_id, output).is_err() {
            self.metrics.protocol_errors += 1;
        }
    }

    /// Sends the messages and starts the timers that a call of `foca` requested.
    fn apply_output(&mut self, now: Micros, output: ProtocolOutput) {
        self.metrics.declared_dead += output.declared_dead;
        if let Some(probed) = output.probed_address() {
            self.last_probe = output.message_to(probed).cloned();
        }
        for message in output.messages {
            self.send(&message);
        }
        for new_timer in output.timers {
            self.start_timer(now, new_timer);
        }
    }

    fn send(&mut self, message: &Message) {
        let bytes = self.authenticator.sign(&message.bytes);
        self.metrics.datagrams_sent += 1;
        self.metrics.bytes_sent += bytes.len() as u64;
        self.outgoing.push(OutgoingDatagram { to: message.to, bytes });
    }

    fn start_timer(&mut self, now: Micros, new_timer: NewTimer) {
        let mut delay = micros(new_timer.delay);
        if matches!(new_timer.timer, Timer::ChangeSuspectToDown { .. }) {
            self.metrics.suspicions += 1;
            delay *= self.local_health.suspicion_timeout_multiplier();
        }
        self.timers.start(now + delay, new_timer.timer);
    }

    /// Updates the member table from `foca`'s state.
    fn update_table(&mut self, now: Micros) {
        self.next_table_update_at = now + TABLE_UPDATE_INTERVAL;
        let own_state = (self.protocol.identity(), MemberState::Alive);
        let others = self.protocol.iter_membership_state().map(|member| {
            let state = match member.state() {
                State::Alive => MemberState::Alive,
                State::Suspect => MemberState::Suspect,
                State::Down if self.leave_notices.has_left(member.id()) => MemberState::Left,
                State::Down => MemberState::Dead,
            };
            (member.id(), state)
        });
        for (id, state) in others.chain([own_state]) {
            if self.table.update(now, id, state) == TableChange::Refuted {
                self.metrics.refutations += 1;
            }
        }
        self.table.remove_expired(now, micros(self.settings.forget_after));
    }
}

#[cfg(test)]
mod tests;
