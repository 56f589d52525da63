//! Creates the parts of one node, without its front ends, and starts its tasks.

use crate::body_admission::BodyAdmission;
use crate::clock::{Clock, to_duration};
use crate::connection_pool::ConnectionPool;
use crate::counters::Counters;
use crate::descriptor_budget::DescriptorBudget;
use crate::discovery_timing::{DiscoveryMode, DiscoveryRules, DiscoveryTiming};
use crate::discovery_watch::DiscoveryWatch;
use crate::dispatcher_loop::DispatcherLoop;
use crate::job::Job;
use crate::load_report::LoadReportFields;
use crate::memory_limits::{MemoryLimits, MemorySize};
use crate::memory_monitor::MemoryMonitor;
use crate::probe;
use crate::request_admission::{AdmissionError, RequestAdmission, RequestHandle};
use crate::request_task::RequestContext;
use crate::tasks::Tasks;
use crate::upstreams::Upstreams;
use crate::worker_registry::WorkerRegistry;
use async_channel::Receiver;
use async_io::Timer;
use sorrelhaven_body_store::{BodyStore, Disk, FilePermit, SharedBudgets};
use sorrelhaven_config::{Config, DiscoveryList};
use sorrelhaven_dispatcher::{Event, Lifecycle, WorkerId, WorkerListUpdate};
use sorrelhaven_handover::ClaimTable;
use std::cell::RefCell;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// How often expired upstream connections are closed.
const EVICTION_INTERVAL: Duration = Duration::from_millis(500);
/// The protocol allows each time limit to be exceeded by this much. Added to a worker's drain grace.
const DRAIN_GRACE_ALLOWANCE: Duration = Duration::from_millis(50);
/// The connect timeout if the settings have none.
const DEFAULT_CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// One node without its front ends: accepts jobs and answers each once.
pub struct Engine {
    /// The executor of all tasks.
    pub tasks: Rc<Tasks>,
    /// Passes events to the dispatcher, and routes its actions to requests, timers, probes and the log.
    pub dispatcher_loop: Rc<DispatcherLoop>,
    /// The known workers and the pooled connections to them.
    pub upstreams: Rc<Upstreams>,
    /// Stores the bodies of requests, so that a request can be sent again after a failed attempt.
    pub bodies: Rc<BodyStore>,
    /// Limits how many long bodies are sent to workers at once.
    pub body_admission: BodyAdmission,
    /// The node's counters.
    pub counters: Rc<Counters>,
    /// The memory that the buffers of connections may use.
    pub memory_limits: Rc<MemoryLimits>,
    /// Compares the memory of the process with its limit.
    pub memory_monitor: Rc<MemoryMonitor>,
    /// The ids of requests that must not run twice.
    pub claims: Rc<ClaimTable>,
    request_admission: RequestAdmission,
    probes: Receiver<WorkerId>,
    discovery_timing: DiscoveryTiming,
    /// Draws the random delays of calls to discovery. Equal seeds draw equal delays.
    discovery_rng: fastrand::Rng,
}

impl Engine {
    /// Creates an engine that knows the workers of the configuration; no task runs until [`Engine::start`].
    /// Bodies are spilled to files on `disk`; without a disk they stay in memory.
    pub fn new(config: &Config, disk: Option<Arc<dyn Disk>>) -> Rc<Engine> {
        let (probe_requests, probes) = async_channel::unbounded();
        let counters = Rc::new(Counters::new(config.classes.iter().map(|class| class.name.clone())));
        let tasks = Rc::new(Tasks::new(counters.responsiveness.clone()));
        let dispatcher_loop = Rc::new(DispatcherLoop::new(
            config.settings.clone(),
            config.seed,
            Clock::start(),
            probe_requests,
            counters.responsiveness.clone(),
        ));
        let memory_limits = Rc::new(MemoryLimits::new(MemorySize::of_node(config)));
        let upstreams = Rc::new(new_upstreams(config, &tasks, &counters, &memory_limits));
        let bodies = new_body_store(config, disk, &upstreams, &memory_limits);
        let claims = Rc::new(ClaimTable::in_memory());
        let request_context = Rc::new(RequestContext {
            dispatcher_loop: dispatcher_loop.clone(),
            upstreams: upstreams.clone(),
            counters: counters.clone(),
            tasks: tasks.clone(),
            ids_in_progress: RefCell::new(HashSet::new()),
            claims: claims.clone(),
        });
        let request_admission = RequestAdmission::new(
            request_context,
            config.settings.classes.iter().map(|class| class.idempotency).collect(),
            config.settings.limits.rejection_may_have_run,
        );
        let known_workers = upstreams.registry.apply(&config.known_workers, dispatcher_loop.clock.now());
        dispatcher_loop.dispatch(Event::WorkerList(WorkerListUpdate::Cached(known_workers)));
        Rc::new(Engine {
            body_admission: BodyAdmission::new(tasks.clone()),
            tasks,
            dispatcher_loop,
            upstreams,
            bodies,
            counters,
            memory_limits,
            memory_monitor: Rc::new(MemoryMonitor::new(MemorySize::of_node(config).process_bytes)),
            claims,
            request_admission,
            probes,
            discovery_timing: discovery_timing(config),
            discovery_rng: fastrand::Rng::with_seed(config.seed),
        })
    }

    /// Starts the tasks that run as long as the node: the discovery watch, the dispatcher's timers and
    /// probes, the spilling of bodies to disk, the memory monitor, and the eviction of expired connections.
    ///
    /// The watch polls the address `discovery` for the changes after the worker list `version`, and continues
    /// at each address that `address_changes` delivers.
    pub fn start(
        self: &Rc<Self>,
        discovery: SocketAddr,
        version: u64,
        address_changes: Receiver<SocketAddr>,
    ) {
        let engine = self.clone();
        self.tasks
            .spawn_urgent(async move { engine.watch_discovery(discovery, version, address_changes).await });
        let dispatcher_loop = self.dispatcher_loop.clone();
        self.tasks.spawn_urgent(async move { dispatcher_loop.run_timers().await });
        let engine = self.clone();
        self.tasks.spawn(async move { engine.run_probes().await });
        self.tasks.spawn(self.bodies.clone().run_spiller());
        let memory_monitor = self.memory_monitor.clone();
        self.tasks.spawn(async move { memory_monitor.run().await });
        let upstreams = self.upstreams.clone();
        self.tasks.spawn(async move { evict_expired_connections(&upstreams.pool).await });
    }

    /// Applies a changed limit of memory. Bodies and buffers beyond a lower one stay until they are released.
    pub fn set_memory(&self, memory: MemorySize) {
        self.memory_limits.set_memory(memory);
        self.memory_monitor.set_limit(memory.process_bytes);
        self.bodies.set_memory_limit(memory.body_bytes);
    }

    /// Admits a job and starts the task of its request.
    ///
    /// # Errors
    /// As [`RequestAdmission::admit`].
    pub fn submit(&self, job: Job) -> Result<RequestHandle, AdmissionError> {
        self.request_admission.admit(job)
    }

    /// Watches the worker list of discovery. Never returns; the parameters are those of [`Engine::start`].
    pub async fn watch_discovery(
        &self,
        discovery: SocketAddr,
        version: u64,
        address_changes: Receiver<SocketAddr>,
    ) {
        let timing = self.discovery_timing.clone();
        let rng = self.discovery_rng.clone();
        let watch = DiscoveryWatch::new(&self.counters, timing, rng, discovery, version);
        watch.run(address_changes, |list| self.apply_worker_list(list)).await;
    }

    /// Applies a worker list: updates the registry, closes idle connections to workers that are gone, and
    /// passes the list to the dispatcher.
    fn apply_worker_list(&self, list: &DiscoveryList) {
        let started = Instant::now();
        let entries = self.upstreams.registry.apply(list, self.dispatcher_loop.clock.now());
        self.counters.responsiveness.record_part("applying a worker list", started);
        for entry in &entries {
            if entry.lifecycle == Lifecycle::Gone {
                self.upstreams.pool.evict_worker(entry.worker);
            }
        }
        self.counters.worker_lists.increment();
        let update =
            if list.complete { WorkerListUpdate::Full(entries) } else { WorkerListUpdate::Delta(entries) };
        self.dispatcher_loop.dispatch(Event::WorkerList(update));
    }

    /// Starts a task for each probe that the dispatcher requests.
    async fn run_probes(&self) {
        while let Ok(worker) = self.probes.recv().await {
            self.tasks.spawn(probe::run(self.dispatcher_loop.clone(), self.upstreams.clone(), worker));
        }
    }
}

async fn evict_expired_connections(pool: &ConnectionPool) {
    loop {
        Timer::after(EVICTION_INTERVAL).await;
        pool.evict_expired();
    }
}

fn new_upstreams(
    config: &Config,
    tasks: &Rc<Tasks>,
    counters: &Rc<Counters>,
    memory_limits: &MemoryLimits,
) -> Upstreams {
    let descriptors = DescriptorBudget::new(config.max_descriptors);
    let connect_timeout = match config.settings.limits.connect_timeout {
        0 => DEFAULT_CONNECT_TIMEOUT,
        timeout => to_duration(timeout),
    };
    Upstreams {
        registry: WorkerRegistry::new(config.names.clone()),
        pool: ConnectionPool::new(
            descriptors,
            memory_limits.upstream.clone(),
            to_duration(config.idle_timeout),
            counters.clone(),
        ),
        tasks: tasks.clone(),
        counters: counters.clone(),
        load_report_fields: LoadReportFields::new(config.load_fields.clone()),
        drain_grace: to_duration(config.drain_grace) + DRAIN_GRACE_ALLOWANCE,
        connect_timeout,
    }
}

/// Creates the body store. Each pair of class and tenant is a budget group of it. Its files take descriptors from
/// the node's budget, and its bodies that are not stored in memory take memory from that of body windows.
fn new_body_store(
    config: &Config,
    disk: Option<Arc<dyn Disk>>,
    upstreams: &Rc<Upstreams>,
    memory_limits: &MemoryLimits,
) -> Rc<BodyStore> {
    let budget_groups = config.classes.len() * config.tenants.len().max(1);
    let upstreams = upstreams.clone();
    let budgets = SharedBudgets {
        file_permits: Box::new(move || {
            let permit = upstreams.pool.acquire_descriptor()?;
            Some(Box::new(permit) as FilePermit)
        }),
        windows: memory_limits.body_windows.clone(),
    };
    BodyStore::new(&config.operator.bodies, budget_groups, disk, budgets)
}

fn discovery_timing(config: &Config) -> DiscoveryTiming {
    let rules = DiscoveryRules {
        drain_grace: config.drain_grace,
        max_list_staleness: config.max_list_staleness,
        instances: config.settings.instances,
    };
    DiscoveryTiming::new(discovery_mode(config), rules)
}

fn discovery_mode(config: &Config) -> DiscoveryMode {
    if config.settings.worker_list_needs_watch {
        DiscoveryMode::SharedService
    } else {
        DiscoveryMode::LocalAgent
    }
}
