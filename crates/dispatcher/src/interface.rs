//! The interface of the decision module: settings, events and actions as plain types.
//!
//! No type here knows how it travels, and nothing here decides. Times are microseconds on one clock.

/// A point in time or a length of it, in microseconds.
pub type Micros = i64;

/// A request, numbered by whoever hosts the dispatcher; never used again for another request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// A worker, numbered densely from 0 in the order in which the host first named it to this dispatcher.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WorkerId(pub u32);

/// Which workers drop a repeat of a keyed request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scope {
    /// Every worker does.
    All,
    /// The workers in the zone of the one that had it first.
    Zone,
    /// The workers in the cell of the one that had it first.
    Cell,
}

/// What a repeat of a request would do.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Idempotency {
    /// A repeat is harmless.
    Idempotent,
    /// Repeats are dropped by the workers in `scope` for `window` after the first send.
    Keyed {
        /// The workers that drop a repeat.
        scope: Scope,
        /// How long they remember.
        window: Micros,
    },
    /// A repeat takes effect again.
    #[default]
    NotIdempotent,
}

/// A request class.
#[derive(Clone, Debug, Default)]
pub struct Class {
    /// What a repeat would do.
    pub idempotency: Idempotency,
    /// An answer is wanted within this time...
    pub latency_objective: Micros,
    /// ...plus this multiple of the job's own running time.
    pub objective_stretch: f64,
    /// How long the client waits over all of its tries.
    pub deadline: Micros,
    /// The worth of one request.
    pub priority_weight: f64,
    /// The share of the worth that a late answer keeps.
    pub late_fraction: f64,
    /// The one kind of worker that runs it, if not all do.
    pub worker_kind: Option<usize>,
}

/// What the site permits.
#[derive(Clone, Debug, Default)]
pub struct Limits {
    /// Attempts a request may have.
    pub max_attempts: u32,
    /// A request may have two attempts outstanding.
    pub hedging: bool,
    /// Attempts may be cancelled.
    pub cancel: bool,
    /// Workers may be probed.
    pub probes: bool,
    /// The longest time that a refused client can be told to stay away; 0 where it is not told.
    pub max_retry_after: Micros,
    /// A connection not made within this time has failed.
    pub connect_timeout: Micros,
    /// A worker's rejection does not prove that the attempt never ran.
    pub rejection_may_have_run: bool,
}

/// The metrics of the rules.
#[derive(Clone, Debug, Default)]
pub struct SlowStartRules {
    /// A starting worker has at least this share of its capacity...
    pub initial_capacity: f64,
    /// ...and is warm after this at most.
    pub duration: Micros,
    /// Sent more than this multiple of its present capacity...
    pub overload_factor: f64,
    /// ...over this window, a cold worker falls over.
    pub overload_window: Micros,
}

/// What the operators take off the worth served, as shares of it.
#[derive(Clone, Debug, Default)]
pub struct Penalties {
    /// For work that served no answer, as much as was asked for.
    pub wasted_work: f64,
    /// For attempts that cross zones, as a share of the requests.
    pub cross_zone: f64,
}

/// Where a report value stands in a load report.
#[derive(Clone, Debug, Default)]
pub struct ReportFields {
    /// Position of the share of CPU in use.
    pub util: Option<usize>,
    /// Position of the free slots.
    pub free_slots: Option<usize>,
}

/// All that a dispatcher is told when it starts.
#[derive(Clone, Debug, Default)]
pub struct Settings {
    /// The number of this dispatcher among those that share the workers, from 0.
    pub instance: u32,
    /// Dispatchers that share the workers.
    pub instances: u32,
    /// The zone this dispatcher is in.
    pub zone: usize,
    /// How many kinds of machine there are.
    pub worker_kinds: usize,
    /// The request classes.
    pub classes: Vec<Class>,
    /// What the site permits.
    pub limits: Limits,
    /// The metrics of the rules.
    pub slow_start: SlowStartRules,
    /// What is taken off the worth served.
    pub penalties: Penalties,
    /// Clients mark their repeats.
    pub marks_retry: bool,
    /// The worker list must be asked for.
    pub polls_discovery: bool,
    /// Workers tell when a job starts.
    pub reports_start: bool,
    /// Workers tell a job's progress at this interval; 0 when they don't.
    pub progress_interval: Micros,
    /// Events come no more often than this.
    pub tick: Micros,
    /// The ratings in the list are sizes lowered by what the workers held, at some earlier time.
    pub weights_include_load: bool,
    /// What a load report holds.
    pub report_fields: ReportFields,
}

/// What the worker list says of a worker's process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Lifecycle {
    /// It takes work.
    Ready,
    /// It completes its work and takes nothing new.
    Draining,
    /// It was removed.
    #[default]
    Gone,
}

/// A line of the worker list.
#[derive(Clone, Debug, Default)]
pub struct WorkerEntry {
    /// The worker.
    pub worker: WorkerId,
    /// A number drawn from its name, the same at every dispatcher; it only spreads, and means nothing.
    pub name_hash: u64,
    /// The state of its process.
    pub lifecycle: Lifecycle,
    /// When it last started; 0 when that is long ago.
    pub started_at: Micros,
    /// Its kind of machine.
    pub kind: usize,
    /// Its zone.
    pub zone: usize,
    /// Its cell.
    pub cell: u64,
    /// Its size beside that of others.
    pub weight: f64,
}

/// How a piece of the worker list reads.
#[derive(Clone, Debug)]
pub enum WorkerListUpdate {
    /// Changed lines only.
    Delta(Vec<WorkerEntry>),
    /// The complete list; a worker not in it is gone.
    Full(Vec<WorkerEntry>),
    /// The complete list as held at the start, perhaps out of date.
    Cached(Vec<WorkerEntry>),
    /// A call for the list failed, or the watch on it broke.
    Failed,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Served.
    Ok,
    /// The worker answered with an error; it may have run.
    Error,
    /// Rejected unseen.
    Rejected,
    /// No answer in time; it may have run.
    Timeout,
    /// No connection; never ran.
    ConnectFailed,
    /// The connection broke; it may have run.
    Reset,
    /// Withdrawn; it may have run.
    Cancelled,
    /// Never sent.
    NotSent,
    /// The job itself can't be used: that says nothing of the worker, and no other would take it.
    InvalidRequest,
}

/// A request as it arrives.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// Its id.
    pub request: RequestId,
    /// Its class; one out of range is treated as unsafe.
    pub class: usize,
    /// When the client gives this try up.
    pub deadline: Micros,
    /// Its expected running time on a standard core, if known.
    pub work_hint: Option<Micros>,
    /// The slots it takes.
    pub slots: f64,
    /// The client marks it as a repeat.
    pub is_retry: bool,
    /// A number drawn from what it is about, the same at every dispatcher; 0 where that is not told.
    pub affinity_key: u64,
    /// Its body can be sent: false where it could not be kept and such are refused.
    pub body_sendable: bool,
}

/// What happens to a dispatcher.
#[derive(Clone, Debug)]
pub enum Event {
    /// News of the worker list.
    WorkerList(WorkerListUpdate),
    /// A request has arrived.
    Arrival(Arrival),
    /// A job has started.
    AttemptStarted {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: u32,
        /// The worker.
        worker: WorkerId,
    },
    /// A running job tells how far it is.
    AttemptProgress {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: u32,
        /// The worker.
        worker: WorkerId,
        /// The share done.
        share: f64,
    },
    /// An attempt ended.
    AttemptEnded {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: u32,
        /// The worker.
        worker: WorkerId,
        /// How it ended.
        outcome: Outcome,
        /// The time since it was sent.
        elapsed: Micros,
        /// The request has its final answer.
        request_concluded: bool,
        /// The worker's load report; empty when none came.
        load_report: Vec<f64>,
    },
    /// The answer of a streamed class has begun: neither time-out nor deadline runs any longer.
    ResponseStreaming {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: u32,
        /// The worker.
        worker: WorkerId,
    },
    /// The last byte of an attempt with a long body was written: until now the worker waited for the job,
    /// not the job for the worker.
    RequestSent {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: u32,
        /// The worker.
        worker: WorkerId,
    },
    /// A part of its body that is not kept was passed on to a worker: no further attempt is possible.
    BodyConsumed(RequestId),
    /// The client has left; nothing more is owed.
    ClientDisconnected(RequestId),
    /// A probe ended.
    ProbeEnded {
        /// The worker.
        worker: WorkerId,
        /// How it ended.
        outcome: Outcome,
        /// The worker's load report; empty when none came.
        load_report: Vec<f64>,
    },
    /// A timer that the dispatcher set has fallen due.
    Timer(u64),
}

/// What a dispatcher does.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Begin an attempt; attempts of a request count up from 0 in the order of their sends.
    Send {
        /// The request.
        request: RequestId,
        /// The worker.
        worker: WorkerId,
        /// The time-out of this attempt; 0: until the client gives up.
        timeout: Micros,
        /// From this moment on it must not be sent any more: what drops a repeat forgets the request then.
        send_by: Micros,
    },
    /// Stop waiting for an attempt.
    Cancel {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: u32,
    },
    /// Final answer: not done, and trying again is harmless.
    Reject {
        /// The request.
        request: RequestId,
        /// How long the client ought to stay away; 0: no advice.
        retry_after: Micros,
    },
    /// Final answer: failed; it may have taken effect.
    Fail {
        /// The request.
        request: RequestId,
    },
    /// Check a worker.
    Probe {
        /// The worker.
        worker: WorkerId,
    },
    /// Ask for a [`Event::Timer`].
    SetTimer {
        /// The time from now.
        delay: Micros,
        /// Comes back with the event.
        token: u64,
    },
    /// Ask for the list's changes from now on.
    WatchWorkerList,
    /// Leave a line for the operators.
    Log(String),
}

/// How a dispatcher regards a worker in its list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorkerStatus {
    /// Work goes to it.
    Available,
    /// The list says that it takes nothing new.
    Draining,
    /// It has failed of late, and gets no more than a trial.
    Ejected,
    /// It has turned away each class that it runs.
    Saturated,
}

/// How a dispatcher regards the workers in its list, counted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WorkerCounts {
    /// All in the list.
    pub known: u64,
    /// Those that the list says take nothing new.
    pub draining: u64,
    /// Those that have failed of late.
    pub ejected: u64,
    /// Those that have turned away each class that they run.
    pub saturated: u64,
}

impl WorkerCounts {
    /// Those that are avoided.
    pub fn unavailable(&self) -> u64 {
        self.draining + self.ejected + self.saturated
    }
}

impl FromIterator<WorkerStatus> for WorkerCounts {
    fn from_iter<I: IntoIterator<Item = WorkerStatus>>(regards: I) -> WorkerCounts {
        let mut worker_counts = WorkerCounts::default();
        for worker_status in regards {
            worker_counts.known += 1;
            match worker_status {
                WorkerStatus::Available => {}
                WorkerStatus::Draining => worker_counts.draining += 1,
                WorkerStatus::Ejected => worker_counts.ejected += 1,
                WorkerStatus::Saturated => worker_counts.saturated += 1,
            }
        }
        worker_counts
    }
}

impl Limits {
    /// Whether an attempt that ended so may have been executed by its worker.
    pub(crate) fn may_have_run(&self, outcome: Outcome) -> bool {
        match outcome {
            Outcome::ConnectFailed | Outcome::NotSent => false,
            Outcome::Rejected => self.rejection_may_have_run,
            _ => true,
        }
    }
}
