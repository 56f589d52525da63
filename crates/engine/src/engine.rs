//! The parts of one node put together, without a front.

use crate::backoff::Backoff;
use crate::body_admission::BodyAdmission;
use crate::clock::{Clock, length};
use crate::connection_pool::ConnectionPool;
use crate::counters::Counters;
use crate::descriptor_budget::DescriptorBudget;
use crate::discovery_poll::DiscoveryMode;
use crate::discovery_watch::DiscoveryWatch;
use crate::dispatcher_loop::DispatcherLoop;
use crate::job::Job;
use crate::load_report::LoadReportFields;
use crate::probe;
use crate::request::{RequestHandle, Requests};
use crate::tasks::Tasks;
use crate::upstreams::Upstreams;
use crate::worker_registry::WorkerRegistry;
use async_channel::Receiver;
use async_io::Timer;
use sorrelhaven_body_store::{BodyStore, Disk, Permit};
use sorrelhaven_config::{Config, DiscoveryList};
use sorrelhaven_dispatcher::{Event, Idempotency, Lifecycle, WorkerId, WorkerListUpdate};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// How often idle server links are looked through.
const SWEEP: Duration = Duration::from_millis(500);
/// What the protocol adds to each time limit on sockets.
const DRAIN_SLACK: Duration = Duration::from_millis(50);
/// A connection not made within this time has failed, where the settings do not say.
const CONNECT_LIMIT: Duration = Duration::from_secs(1);

/// One node without its fronts: takes jobs, answers each once.
pub struct Engine {
    /// Where all tasks run.
    pub tasks: Rc<Tasks>,
    /// The desk.
    pub dispatcher_loop: Rc<DispatcherLoop>,
    /// The ways to executors.
    pub upstreams: Rc<Upstreams>,
    /// The bodies of requests.
    pub bodies: Rc<BodyStore>,
    /// BodyAdmission for long bodies on their way to boxes.
    pub body_admission: BodyAdmission,
    /// The counters.
    pub counters: Rc<Counters>,
    requests: Rc<Requests>,
    probes: Receiver<WorkerId>,
    backoff: Backoff,
    discovery_mode: DiscoveryMode,
}

impl Engine {
    /// An engine that has loaded the host group it knew last; nothing runs yet. `disk` is where bodies are kept in
    /// files, if anywhere.
    pub fn new(config: &Config, disk: Option<Arc<dyn Disk>>) -> Rc<Engine> {
        let (ask, probes) = async_channel::unbounded();
        let connect_limit = match config.settings.limits.connect_timeout {
            0 => CONNECT_LIMIT,
            t => length(t),
        };
        let classes = config.classes.iter().map(|c| c.name.clone());
        let counters = Rc::new(Counters::new(classes));
        let responsiveness = counters.responsiveness.clone();
        let tasks = Rc::new(Tasks::new(responsiveness.clone()));
        let desk = Rc::new(DispatcherLoop::new(
            config.settings.clone(),
            config.seed,
            Clock::start(),
            ask,
            responsiveness,
        ));
        let descriptors = DescriptorBudget::new(config.sockets);
        let ways = Rc::new(Upstreams {
            registry: WorkerRegistry::new(config.names.clone()),
            pool: ConnectionPool::new(descriptors, length(config.keepalive), counters.clone()),
            tasks: tasks.clone(),
            counters: counters.clone(),
            load_fields: LoadReportFields::new(config.load_fields.clone()),
            drain_grace: length(config.drain_grace) + DRAIN_SLACK,
            connect_timeout: connect_limit,
        });
        let parties = config.classes.len() * config.tenants.len().max(1);
        let at = ways.clone();
        let permit = move || at.pool.acquire_descriptor().map(|p| Box::new(p) as Permit);
        let bodies = BodyStore::new(&config.operator.bodies, parties, disk, permit);
        let requests = Rc::new(Requests {
            dispatcher_loop: desk.clone(),
            upstreams: ways.clone(),
            counters: counters.clone(),
            tasks: tasks.clone(),
            at_most_once: config
                .settings
                .classes
                .iter()
                .map(|c| c.idempotency == Idempotency::NotIdempotent)
                .collect(),
            rejection_may_have_run: config.settings.limits.rejection_may_have_run,
            open_ids: Default::default(),
        });
        let entries = ways.registry.apply(&config.known, desk.clock.now());
        desk.dispatch(Event::WorkerList(WorkerListUpdate::Cached(entries)));
        let places = BodyAdmission::new(tasks.clone());
        let discovery_mode =
            if config.settings.polls_discovery { DiscoveryMode::Poll } else { DiscoveryMode::Push };
        let backoff = Backoff::new(config.seed, config.drain_grace, config.ask_within);
        Rc::new(Engine {
            tasks,
            dispatcher_loop: desk,
            upstreams: ways,
            bodies,
            body_admission: places,
            counters,
            requests,
            probes,
            backoff,
            discovery_mode,
        })
    }

    /// Starts what runs as long as the node: the watch on the host group, which goes on from version `seq` at
    /// `discovery` and follows `moved`, the module's timers and probes, and the sweep of idle links.
    pub fn start(self: &Rc<Self>, discovery: SocketAddr, seq: u64, moved: Receiver<SocketAddr>) {
        let at = self.clone();
        self.tasks.spawn_urgent(async move { at.watch(discovery, seq, moved).await });
        let desk = self.dispatcher_loop.clone();
        self.tasks.spawn_urgent(async move { desk.run_timers().await });
        let at = self.clone();
        self.tasks.spawn(async move {
            while let Ok(worker) = at.probes.recv().await {
                at.tasks.spawn(probe::run(at.dispatcher_loop.clone(), at.upstreams.clone(), worker));
            }
        });
        self.tasks.spawn(self.bodies.clone().run_spiller());
        let ways = self.upstreams.clone();
        self.tasks.spawn(async move {
            loop {
                Timer::after(SWEEP).await;
                ways.pool.evict_expired();
            }
        });
    }

    /// Takes a request; `None` where one of the same id is open.
    pub fn take(&self, job: Job) -> Option<RequestHandle> {
        self.requests.take(job)
    }

    /// Watches the host group, for ever.
    pub async fn watch(&self, discovery: SocketAddr, seq: u64, moved: Receiver<SocketAddr>) {
        let backoff = self.backoff.clone();
        let watch = DiscoveryWatch::new(&self.counters, self.discovery_mode, backoff, discovery, seq);
        watch.run(moved, |list| self.tell(list)).await;
    }

    /// Tells the module of a list, and drops the idle links to executors that are gone.
    fn tell(&self, list: &DiscoveryList) {
        let begun = Instant::now();
        let entries = self.upstreams.registry.apply(list, self.dispatcher_loop.clock.now());
        self.counters.responsiveness.part_ended("entries of an executor list", begun);
        for entry in entries.iter().filter(|e| e.lifecycle == Lifecycle::Gone) {
            self.upstreams.pool.evict_worker(entry.worker);
        }
        self.counters.worker_lists.add();
        let members =
            if list.complete { WorkerListUpdate::Full(entries) } else { WorkerListUpdate::Delta(entries) };
        self.dispatcher_loop.dispatch(Event::WorkerList(members));
    }
}
