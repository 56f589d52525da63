//! The settings: the object that the simulator's first message gives, and its reading into the module's type.

use crate::{Error, read};
use serde::Deserialize;
use serde_json::Value;
use sorrelhaven_dispatcher::{
    Class, Idempotency, Limits, Micros, Penalties, ReportFields, Scope, Settings, SlowStartRules,
};

fn one() -> f64 {
    1.0
}

/// A server link that stands idle is closed after this where the settings do not say.
fn keepalive() -> Micros {
    15_000_000
}

/// An executor gets nothing new from so long after its drain was told where the settings do not say.
fn drain_grace() -> Micros {
    1_000_000
}

/// A node that has to ask for the list is taken to know what stood there so long before, where the settings do not say.
fn ask_within() -> Micros {
    10_000_000
}

/// The settings of an instance; keys not named here are passed over.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Conf {
    balancers: u32,
    #[serde(default)]
    me: u32,
    #[serde(default)]
    zone: usize,
    #[serde(default)]
    discovery: String,
    #[serde(default)]
    pub(crate) kinds: Vec<String>,
    #[serde(default)]
    pub(crate) zones: Vec<String>,
    #[serde(default)]
    pub(crate) projects: Vec<Project>,
    grades: Vec<Grade>,
    pub(crate) ceilings: Ceilings,
    pub(crate) invariants: Invariants,
    #[serde(default)]
    family_info: FamilyInfo,
    #[serde(default)]
    report: Report,
    #[serde(default)]
    prices: Prices,
    #[serde(default)]
    callers: Callers,
    #[serde(default)]
    round: i64,
    #[serde(default)]
    weights: String,
}

/// A request class.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub(crate) struct Grade {
    #[serde(default)]
    name: String,
    aim: i64,
    #[serde(default)]
    aim_stretch: Option<f64>,
    deadline: i64,
    effect: String,
    #[serde(default)]
    dedup_scope: String,
    #[serde(default)]
    repeat_window: i64,
    #[serde(default = "one")]
    value: f64,
    #[serde(default)]
    late_value: f64,
}

/// A tenant.
#[derive(Deserialize)]
pub(crate) struct Project {
    #[serde(default)]
    pub(crate) name: String,
}

/// What the site permits.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub(crate) struct Ceilings {
    #[serde(default)]
    cancel: bool,
    #[serde(default)]
    dial_timeout: i64,
    #[serde(default = "keepalive")]
    pub(crate) keepalive: i64,
    max_attempts: u32,
    #[serde(default)]
    max_retry_after: i64,
    #[serde(default)]
    may_probe: bool,
    #[serde(default)]
    retry_after: bool,
    #[serde(default)]
    second_copies: bool,
}

/// The metrics of the rules.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub(crate) struct Invariants {
    #[serde(default)]
    cold: i64,
    #[serde(default = "ask_within")]
    pub(crate) ask_within: i64,
    #[serde(default = "drain_grace")]
    pub(crate) drain_grace: i64,
    #[serde(default)]
    fall: i64,
    #[serde(default = "one")]
    overload_factor: f64,
    #[serde(default = "one")]
    start_capacity: f64,
    #[serde(default)]
    busy_is_no_proof: bool,
}

/// Facts about this kind of service.
#[derive(Deserialize, Default)]
#[serde(rename_all = "camelCase", default)]
pub(crate) struct FamilyInfo {
    class_kind: Vec<i64>,
    class_stretch: Vec<f64>,
    progress: i64,
    report_x0: String,
    tells_start: bool,
}

/// Habits of clients.
#[derive(Deserialize, Default)]
#[serde(rename_all = "camelCase", default)]
pub(crate) struct Callers {
    marks_retry: bool,
}

/// Points taken off the result.
#[derive(Deserialize, Default)]
#[serde(rename_all = "camelCase", default)]
pub(crate) struct Prices {
    waste: f64,
    cross_zone: f64,
}

/// The load reports.
#[derive(Deserialize, Default)]
#[serde(default)]
pub(crate) struct Report {
    fields: Vec<String>,
    how: String,
}

impl Conf {
    /// The fields of a load report, in their order; none where answers hold no reports.
    pub(crate) fn report_fields(&self) -> Vec<String> {
        if self.report.how == "answers" { self.report.fields.clone() } else { Vec::new() }
    }

    /// The classes' names, in their order.
    pub(crate) fn grade_names(&self) -> Vec<String> {
        self.grades.iter().map(|g| g.name.clone()).collect()
    }
}

/// Reads the settings from JSON; errors name the key below `parent`.
pub fn settings_from(parent: &str, value: Value) -> Result<Settings, Error> {
    settings(read(parent, value)?).map_err(|e| e.within(parent))
}

fn class(grade: Grade, stretch: Option<f64>, kind: Option<i64>) -> Result<Class, Error> {
    let effect = match grade.effect.as_str() {
        "idempotent" => Idempotency::Idempotent,
        "at_most_once" => Idempotency::NotIdempotent,
        "deduplicated" => Idempotency::Keyed {
            scope: match grade.dedup_scope.as_str() {
                "all" => Scope::All,
                "zone" => Scope::Zone,
                "cell" => Scope::Cell,
                other => return Err(Error::new("dedupScope", format!("unknown scope {other:?}"))),
            },
            window: grade.repeat_window,
        },
        other => return Err(Error::new("effect", format!("unknown effect {other:?}"))),
    };
    for (key, time) in [("aim", grade.aim), ("repeatWindow", grade.repeat_window)] {
        not_negative(key, time)?;
    }
    if grade.deadline <= 0 {
        return Err(Error::new("deadline", format!("{} is not a time to wait", grade.deadline)));
    }
    Ok(Class {
        idempotency: effect,
        latency_objective: grade.aim,
        objective_stretch: stretch.or(grade.aim_stretch).unwrap_or(0.0),
        deadline: grade.deadline,
        priority_weight: grade.value,
        late_fraction: grade.late_value,
        worker_kind: kind.and_then(|k| usize::try_from(k).ok()),
    })
}

fn not_negative(key: &str, time: Micros) -> Result<(), Error> {
    if time < 0 { Err(Error::new(key, format!("{time} is negative"))) } else { Ok(()) }
}

/// Turns the settings into the module's, checked.
pub(crate) fn settings(conf: Conf) -> Result<Settings, Error> {
    let (c, rules, info) = (conf.ceilings, conf.invariants, conf.family_info);
    let times = [
        ("ceilings.dialTimeout", c.dial_timeout),
        ("ceilings.keepalive", c.keepalive),
        ("ceilings.maxRetryAfter", c.max_retry_after),
        ("invariants.askWithin", rules.ask_within),
        ("invariants.cold", rules.cold),
        ("invariants.drainGrace", rules.drain_grace),
        ("invariants.fall", rules.fall),
        ("familyInfo.progress", info.progress),
        ("round", conf.round),
    ];
    for (key, time) in times {
        not_negative(key, time)?;
    }
    if conf.me >= conf.balancers {
        return Err(Error::new("me", format!("{} is not below balancers, {}", conf.me, conf.balancers)));
    }
    if conf.zone >= conf.zones.len().max(1) {
        return Err(Error::new("zone", format!("{} is not a place in zones", conf.zone)));
    }
    if c.max_attempts == 0 {
        return Err(Error::new("ceilings.maxAttempts", "0 would let no request be sent"));
    }
    if !(rules.start_capacity > 0.0 && rules.start_capacity <= 1.0) {
        return Err(Error::new("invariants.startCapacity", "not a share above 0 and up to 1"));
    }
    if conf.grades.is_empty() {
        return Err(Error::new("grades", "none"));
    }
    let mut classes = Vec::new();
    for (i, grade) in conf.grades.into_iter().enumerate() {
        let class = class(grade, info.class_stretch.get(i).copied(), info.class_kind.get(i).copied());
        classes.push(class.map_err(|e| e.within(&format!("grades[{i}]")))?);
    }
    let field = |name: &str| conf.report.fields.iter().position(|f| f == name);
    Ok(Settings {
        instance: conf.me,
        instances: conf.balancers,
        zone: conf.zone,
        worker_kinds: conf.kinds.len(),
        classes,
        limits: Limits {
            max_attempts: c.max_attempts,
            hedging: c.second_copies,
            cancel: c.cancel,
            probes: c.may_probe,
            max_retry_after: if c.retry_after { c.max_retry_after } else { 0 },
            connect_timeout: c.dial_timeout,
            rejection_may_have_run: rules.busy_is_no_proof,
        },
        slow_start: SlowStartRules {
            initial_capacity: rules.start_capacity,
            duration: rules.cold,
            overload_factor: rules.overload_factor,
            overload_window: rules.fall,
        },
        penalties: Penalties { wasted_work: conf.prices.waste, cross_zone: conf.prices.cross_zone },
        marks_retry: conf.callers.marks_retry,
        polls_discovery: conf.discovery == "subscribe",
        reports_start: info.tells_start,
        progress_interval: info.progress,
        tick: conf.round,
        weights_include_load: conf.weights == "live",
        report_fields: ReportFields {
            util: field("cpu_share"),
            free_slots: field("x0").filter(|_| info.report_x0.contains("free slots")),
        },
    })
}
