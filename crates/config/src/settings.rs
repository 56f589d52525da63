//! Checks the object `settings` of the platform's file, and converts it to the settings of the dispatcher and
//! of the rest of the node. Times are in microseconds.

use crate::deserialize::deserialize;
use crate::error::ConfigError;
use crate::hosts::ZoneAndKindNames;
use crate::settings_file::{ClassEntry, LimitsEntry, RulesEntry, SettingsFile};
use serde_json::Value;
use sorrelhaven_dispatcher::{
    Class, DedupScope, Idempotency, Limits, Micros, Penalties, ReportFields, Settings, SlowStartRules,
};

/// A request class, as far as the front end needs it. The dispatcher has its own [`Class`] for each.
#[derive(Clone, Debug)]
pub struct RequestClass {
    /// The name by which requests select the class.
    pub name: String,
    /// Whether a request without an idempotency key is invalid.
    pub requires_idempotency_key: bool,
}

/// The checked settings, for the dispatcher (`settings`) and the rest of the node (all other fields).
pub(crate) struct NodeSettings {
    pub(crate) names: ZoneAndKindNames,
    pub(crate) classes: Vec<RequestClass>,
    pub(crate) tenants: Vec<String>,
    pub(crate) idle_timeout: Micros,
    pub(crate) drain_grace: Micros,
    pub(crate) max_list_staleness: Micros,
    pub(crate) load_fields: Vec<String>,
    pub(crate) settings: Settings,
}

impl NodeSettings {
    /// Checks and converts the settings.
    ///
    /// # Errors
    /// The first error found. The path of its key begins with `settings`.
    pub(crate) fn new(file: SettingsFile) -> Result<NodeSettings, ConfigError> {
        let settings = settings(&file).map_err(|error| error.within("settings"))?;
        let classes = request_classes(&file, &settings)?;
        Ok(NodeSettings {
            classes,
            tenants: file.tenants.into_iter().map(|tenant| tenant.name).collect(),
            idle_timeout: file.limits.idle_timeout,
            drain_grace: file.rules.drain_grace,
            max_list_staleness: file.rules.max_list_staleness,
            load_fields: file.load_report.fields_in_responses(),
            names: ZoneAndKindNames { zones: file.zones, kinds: file.worker_kinds },
            settings,
        })
    }
}

/// The classes for the front end, in the order of the settings. Only a node requires that each has a name: in
/// the simulator's messages requests select their class by index.
fn request_classes(file: &SettingsFile, settings: &Settings) -> Result<Vec<RequestClass>, ConfigError> {
    if let Some(index) = file.classes.iter().position(|class| class.name.is_empty()) {
        return Err(ConfigError::new(format!("settings.grades[{index}].name"), "missing"));
    }
    let request_class = |(entry, class): (&ClassEntry, &Class)| RequestClass {
        name: entry.name.clone(),
        requires_idempotency_key: matches!(class.idempotency, Idempotency::Keyed { .. }),
    };
    Ok(file.classes.iter().zip(&settings.classes).map(request_class).collect())
}

/// Reads the dispatcher's settings from an object with the keys of `settings` in the platform's file.
///
/// # Errors
/// The first error found. The path of its key begins with `parent`.
pub fn settings_from_json(parent: &str, value: Value) -> Result<Settings, ConfigError> {
    let file: SettingsFile = deserialize(parent, value)?;
    settings(&file).map_err(|error| error.within(parent))
}

/// Checks the settings, and converts them to those of the dispatcher.
fn settings(file: &SettingsFile) -> Result<Settings, ConfigError> {
    check_times(file)?;
    check_ranges(file)?;
    Ok(Settings {
        instance: file.instance,
        instances: file.instances,
        zone: file.zone,
        worker_kinds: file.worker_kinds.len(),
        classes: classes(file)?,
        limits: limits(&file.limits, &file.rules),
        slow_start: slow_start(&file.rules),
        penalties: Penalties {
            wasted_work: file.penalties.wasted_work,
            cross_zone: file.penalties.cross_zone,
        },
        clients_mark_retries: file.clients.marks_retry,
        worker_list_needs_watch: file.discovery == "subscribe",
        workers_report_start: file.service.workers_report_start,
        progress_interval: file.service.progress_interval,
        min_timer_delay: file.min_timer_delay,
        weights_include_load: file.weights == "live",
        report_fields: report_fields(file),
    })
}

fn check_times(file: &SettingsFile) -> Result<(), ConfigError> {
    let times = [
        ("ceilings.dialTimeout", file.limits.connect_timeout),
        ("ceilings.keepalive", file.limits.idle_timeout),
        ("ceilings.maxRetryAfter", file.limits.max_retry_after),
        ("invariants.askWithin", file.rules.max_list_staleness),
        ("invariants.cold", file.rules.slow_start),
        ("invariants.drainGrace", file.rules.drain_grace),
        ("invariants.fall", file.rules.overload_window),
        ("familyInfo.progress", file.service.progress_interval),
        ("round", file.min_timer_delay),
    ];
    times.into_iter().try_for_each(|(key, time)| check_not_negative(key, time))
}

fn check_not_negative(key: &str, time: Micros) -> Result<(), ConfigError> {
    if time < 0 { Err(ConfigError::new(key, format!("{time} is negative"))) } else { Ok(()) }
}

fn check_ranges(file: &SettingsFile) -> Result<(), ConfigError> {
    if file.instance >= file.instances {
        let problem = format!("{} is not below balancers, {}", file.instance, file.instances);
        return Err(ConfigError::new("me", problem));
    }
    if file.zone >= file.zones.len().max(1) {
        return Err(ConfigError::new("zone", format!("{} is not a place in zones", file.zone)));
    }
    if file.limits.max_attempts == 0 {
        return Err(ConfigError::new("ceilings.maxAttempts", "0 would let no request be sent"));
    }
    let initial_capacity = file.rules.initial_capacity;
    if !(initial_capacity > 0.0 && initial_capacity <= 1.0) {
        return Err(ConfigError::new("invariants.startCapacity", "not a share above 0 and up to 1"));
    }
    if file.classes.is_empty() {
        return Err(ConfigError::new("grades", "none"));
    }
    Ok(())
}

fn classes(file: &SettingsFile) -> Result<Vec<Class>, ConfigError> {
    let classes = file.classes.iter().enumerate().map(|(index, entry)| {
        let stretch = file.service.class_stretch.get(index).copied();
        let kind = file.service.class_kind.get(index).copied();
        class(entry, stretch, kind).map_err(|error| error.within(&format!("grades[{index}]")))
    });
    classes.collect()
}

/// Converts a class. `stretch` and `kind` are its entries in
/// [`ServiceEntry`](crate::settings_file::ServiceEntry), if there are any.
fn class(entry: &ClassEntry, stretch: Option<f64>, kind: Option<i64>) -> Result<Class, ConfigError> {
    let idempotency = idempotency(entry)?;
    check_not_negative("aim", entry.latency_objective)?;
    check_not_negative("repeatWindow", entry.idempotency_window)?;
    if entry.deadline <= 0 {
        return Err(ConfigError::new("deadline", format!("{} is not a time to wait", entry.deadline)));
    }
    Ok(Class {
        idempotency,
        latency_objective: entry.latency_objective,
        objective_stretch: stretch.or(entry.objective_stretch).unwrap_or(0.0),
        deadline: entry.deadline,
        priority_weight: entry.priority_weight,
        late_value_fraction: entry.late_value_fraction,
        worker_kind: kind.and_then(|kind| usize::try_from(kind).ok()),
    })
}

fn idempotency(entry: &ClassEntry) -> Result<Idempotency, ConfigError> {
    match entry.idempotency.as_str() {
        "idempotent" => Ok(Idempotency::Idempotent),
        "at_most_once" => Ok(Idempotency::NotIdempotent),
        "deduplicated" => Ok(Idempotency::Keyed {
            scope: dedup_scope(&entry.dedup_scope)?,
            window: entry.idempotency_window,
        }),
        other => Err(ConfigError::new("effect", format!("unknown effect {other:?}"))),
    }
}

fn dedup_scope(text: &str) -> Result<DedupScope, ConfigError> {
    match text {
        "all" => Ok(DedupScope::All),
        "zone" => Ok(DedupScope::Zone),
        "cell" => Ok(DedupScope::Cell),
        other => Err(ConfigError::new("dedupScope", format!("unknown scope {other:?}"))),
    }
}

fn limits(limits: &LimitsEntry, rules: &RulesEntry) -> Limits {
    Limits {
        max_attempts: limits.max_attempts,
        hedging: limits.hedging,
        cancel: limits.cancel,
        probes: limits.probes,
        max_retry_after: if limits.sends_retry_after { limits.max_retry_after } else { 0 },
        connect_timeout: limits.connect_timeout,
        rejection_may_have_run: rules.rejection_may_have_run,
    }
}

fn slow_start(rules: &RulesEntry) -> SlowStartRules {
    SlowStartRules {
        initial_capacity: rules.initial_capacity,
        duration: rules.slow_start,
        overload_factor: rules.overload_factor,
        overload_window: rules.overload_window,
    }
}

/// The indexes of those values of a load report that the dispatcher uses. The field `x0` counts only if the
/// settings describe it as the free slots.
fn report_fields(file: &SettingsFile) -> ReportFields {
    let x0_is_free_slots = file.service.report_x0.contains("free slots");
    ReportFields {
        cpu_utilization: file.load_report.field_index("cpu_share"),
        free_slots: file.load_report.field_index("x0").filter(|_| x0_is_free_slots),
    }
}
