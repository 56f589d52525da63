//! Watches the worker list of discovery while the node runs: makes the calls that are due by the plan, and applies the
//! lists that they bring.

use crate::counters::Counters;
use crate::discovery_call::{CallEvent, CallEvents, DiscoveryCall};
use crate::discovery_plan::{CallId, CallReason, DiscoveryPlan};
use crate::discovery_timing::DiscoveryTiming;
use crate::list_version::{ListVerdict, ListVersion};
use crate::watch_error::WatchError;
use async_channel::{Receiver, Sender};
use async_io::Timer;
use futures_lite::future::{or, poll_fn, yield_now};
use sorrelhaven_config::DiscoveryList;
use std::net::SocketAddr;
use std::pin::Pin;
use std::task::Poll;
use std::time::{Duration, Instant};
use tracing::{debug, info, warn};

/// The failure of a watch that lasted longer than this starts a new series of failures: it is logged as a warning.
const STABLE_WATCH_DURATION: Duration = Duration::from_secs(6);
/// A call that is not answered within this time is reported, once until another failure or a change of the address.
const REPORTED_ANSWER_TIME: Duration = Duration::from_secs(3);

/// The watch on discovery. While it fails, and after a change of the address, the last list stays in use
/// until a new one arrives.
pub struct DiscoveryWatch<'a> {
    counters: &'a Counters,
    address: SocketAddr,
    plan: DiscoveryPlan,
    version: ListVersion,
    calls: Vec<RunningCall>,
    events: Receiver<(CallId, CallEvent)>,
    event_sender: Sender<(CallId, CallEvent)>,
    /// The text of the last failure in the current series; `None` at the start of one.
    last_error: Option<String>,
}

/// A call that is open.
struct RunningCall {
    id: CallId,
    begun_at: Instant,
    /// The version of the last list on this call, at first the version in its request; `None` before a complete list.
    version: Option<u64>,
    /// Never completes; reports the call's events.
    work: Pin<Box<dyn Future<Output = ()>>>,
}

/// What the watch reacts to.
enum WatchEvent {
    AddressChanged(SocketAddr),
    Call(CallId, CallEvent),
    CallDue,
}

impl<'a> DiscoveryWatch<'a> {
    /// Creates a watch at `address` for the changes after the list `version`. `rng` draws the random part of delays.
    pub fn new(
        counters: &'a Counters,
        timing: DiscoveryTiming,
        rng: fastrand::Rng,
        address: SocketAddr,
        version: u64,
    ) -> DiscoveryWatch<'a> {
        let now = Instant::now();
        // With room for one event, a call reads on only when its last list has been applied.
        let (event_sender, events) = async_channel::bounded(1);
        DiscoveryWatch {
            counters,
            address,
            plan: DiscoveryPlan::new(timing, rng, now),
            version: ListVersion::new(version, now),
            calls: Vec::new(),
            events,
            event_sender,
            last_error: None,
        }
    }

    /// Watches at the address that was last received from `address_changes`, and calls `apply` with each
    /// list. Never returns.
    pub async fn run(mut self, address_changes: Receiver<SocketAddr>, apply: impl Fn(&DiscoveryList)) {
        loop {
            match self.next_event(&address_changes).await {
                WatchEvent::AddressChanged(address) => self.change_address(address),
                WatchEvent::Call(id, event) => self.handle_call_event(id, event, &apply).await,
                WatchEvent::CallDue => self.begin_call(),
            }
            let plan = &self.plan;
            self.calls.retain(|call| plan.is_open(call.id));
        }
    }

    /// Waits for the next event, and runs the open calls meanwhile.
    async fn next_event(&mut self, address_changes: &Receiver<SocketAddr>) -> WatchEvent {
        let changed_address = async {
            match address_changes.recv().await {
                Ok(address) => WatchEvent::AddressChanged(address),
                Err(_) => std::future::pending().await,
            }
        };
        let events = &self.events;
        let reported = async {
            match events.recv().await {
                Ok((id, event)) => WatchEvent::Call(id, event),
                Err(_) => std::future::pending().await,
            }
        };
        let calls = &mut self.calls;
        let running = poll_fn(|context| {
            for call in calls.iter_mut() {
                let _ = call.work.as_mut().poll(context);
            }
            Poll::Pending
        });
        let next_call_at = self.plan.next_call_at();
        let due = async {
            Timer::at(next_call_at).await;
            WatchEvent::CallDue
        };
        or(changed_address, or(or(reported, running), due)).await
    }

    /// Continues at another address. List versions there may be unrelated, so the complete list is fetched.
    fn change_address(&mut self, address: SocketAddr) {
        info!(%address, "discovery address changed");
        self.address = address;
        self.version.forget();
        self.plan.address_changed(Instant::now());
        self.last_error = None;
    }

    fn begin_call(&mut self) {
        let now = Instant::now();
        let (id, reason) = self.plan.begin_call(now);
        match reason {
            CallReason::Start | CallReason::Retry => {}
            CallReason::WatchSilent => self.record_failure(&WatchError::Stalled, Duration::ZERO),
            CallReason::Unanswered => self.report_unanswered(now),
        }
        self.counters.discovery_calls.increment();
        let after = self.version.asked_after();
        let call = DiscoveryCall {
            address: self.address,
            after,
            responsiveness: self.counters.responsiveness.clone(),
        };
        let reporter = CallReporter { id, events: self.event_sender.clone() };
        let work = Box::pin(async move {
            call.run(reporter).await;
            std::future::pending().await
        });
        self.calls.push(RunningCall { id, begun_at: now, version: after, work });
    }

    /// Reports that the oldest call is not answered, if it is old and this is not reported yet.
    fn report_unanswered(&mut self, now: Instant) {
        let is_old = self.calls.first().is_some_and(|call| now - call.begun_at >= REPORTED_ANSWER_TIME);
        let error = WatchError::NoResponse;
        if is_old && self.last_error != Some(error.to_string()) {
            self.record_failure(&error, Duration::ZERO);
        }
    }

    /// Handles an event of a call. One that was closed meanwhile has nothing to say.
    async fn handle_call_event(&mut self, id: CallId, event: CallEvent, apply: &impl Fn(&DiscoveryList)) {
        let Some(index) = self.calls.iter().position(|call| call.id == id) else { return };
        match event {
            CallEvent::Connected => self.plan.call_connected(id, Instant::now()),
            CallEvent::Responding => self.plan.call_responding(Instant::now()),
            CallEvent::List(list) => self.handle_list(index, &list, apply).await,
            CallEvent::Unchanged => self.note_current(index),
            CallEvent::Failed(error) => self.end_call(id, &error),
        }
    }

    async fn handle_list(&mut self, index: usize, list: &DiscoveryList, apply: &impl Fn(&DiscoveryList)) {
        let call = &mut self.calls[index];
        call.version = Some(list.version);
        let verdict = self.version.judge(list.version, list.complete, call.begun_at, Instant::now());
        match verdict {
            ListVerdict::Apply => {
                self.note_current(index);
                // Parsing a long list and applying it take some milliseconds each, so other tasks run in between.
                yield_now().await;
                info!(
                    seq = list.version,
                    complete = list.complete,
                    workers = list.workers.len(),
                    "worker list applied"
                );
                apply(list);
            }
            ListVerdict::Late => debug!(seq = list.version, "late worker list ignored"),
            ListVerdict::Older => {
                let id = self.calls[index].id;
                self.end_call(id, &WatchError::OlderList(list.version));
            }
        }
    }

    /// Reports to the plan that the call is current, unless its last list is older than the one in force.
    fn note_current(&mut self, index: usize) {
        let call = &self.calls[index];
        if call.version.is_some_and(|version| self.version.is_current(version)) {
            self.plan.call_is_current(call.id, Instant::now());
        }
    }

    fn end_call(&mut self, id: CallId, error: &WatchError) {
        let rejected = !matches!(error, WatchError::Unreachable);
        let failed = self.plan.call_failed(id, rejected, Instant::now());
        if failed.watched_for.is_some_and(|time| time > STABLE_WATCH_DURATION) {
            self.last_error = None;
        }
        self.record_failure(error, failed.retry_in);
        if error.is_malformed() {
            self.version.distrust();
        }
    }

    /// Counts a failure and logs it: as a warning, or at the debug level if it repeats the previous failure.
    fn record_failure(&mut self, error: &WatchError, retry_in: Duration) {
        self.counters.discovery_watches_failed.increment();
        let error = error.to_string();
        let retry_in_ms = retry_in.as_millis();
        let open_calls = self.plan.open_call_count();
        if self.last_error.as_ref() == Some(&error) {
            debug!(error, retry_in_ms, open_calls, "discovery watch failed again");
        } else {
            warn!(error, retry_in_ms, open_calls, "discovery watch failed");
        }
        self.last_error = Some(error);
    }
}

/// Passes the events of one call to the watch.
struct CallReporter {
    id: CallId,
    events: Sender<(CallId, CallEvent)>,
}

impl CallEvents for CallReporter {
    async fn report(&self, event: CallEvent) {
        // The watch, which owns the receiver, also owns the call.
        let _ = self.events.send((self.id, event)).await;
    }
}
