//! The one place where configuration is read, checked and given defaults.
//!
//! A node reads [`Config`] from the platform's file, its environment and the operators' file ([`Operator`]); the
//! bench's adapter reads only the settings, which have the same form on its wire. Every fault names its key.
//! Unknown keys pass in the platform's file and are faults in the operators'.

mod fault;
mod hosts;
mod operator;
mod settings;

pub use fault::{Error, Faults};
pub use hosts::{DiscoveryHost, DiscoveryList, Health, SettingNames, stable_hash};
pub use operator::{BodyFiles, BodyMemory, BodySettings, Membership, Operator, Peers, Unkept};
pub use settings::settings_from;
use settings::{Conf, settings};

use serde::{Deserialize, Deserializer};
use serde_json::Value;
use sorrelhaven_dispatcher::{Idempotency, Micros, Settings};
use std::net::SocketAddr;

/// Reads one value; a fault of form names the key below `parent`.
fn read<'de, T: Deserialize<'de>>(parent: &str, from: impl Deserializer<'de>) -> Result<T, Error> {
    serde_path_to_error::deserialize(from)
        .map_err(|e| Error::new(e.path().to_string(), e.inner()).within(parent))
}

/// The file as it is written.
#[derive(Deserialize)]
struct File {
    #[serde(default)]
    name: Option<String>,
    #[serde(default)]
    listen: Option<String>,
    #[serde(default)]
    discovery: Option<String>,
    #[serde(default)]
    ops: Option<String>,
    #[serde(default)]
    seed: Option<Value>,
    #[serde(default)]
    limits: FileLimits,
    #[serde(default)]
    known: Option<Value>,
    settings: Value,
}

#[derive(Deserialize)]
#[serde(default)]
struct FileLimits {
    memory_mb: u64,
    sockets: usize,
}

impl Default for FileLimits {
    fn default() -> Self {
        FileLimits { memory_mb: 192, sockets: 1024 }
    }
}

/// A request class as the protocol names it.
#[derive(Clone, Debug)]
pub struct ClassName {
    /// Its name in a request.
    pub name: String,
    /// Its requests carry an idempotency key.
    pub keyed: bool,
}

/// All that a node is told when it starts.
#[derive(Clone, Debug)]
pub struct Config {
    /// The node's name, the same after a restart.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Where discovery's agent listens.
    pub discovery: SocketAddr,
    /// Where the operators call; `None`: nowhere.
    pub ops: Option<SocketAddr>,
    /// For random numbers; new with each start.
    pub seed: u64,
    /// Descriptors the process may hold.
    pub sockets: usize,
    /// Memory the process may hold, in megabytes.
    pub memory_mb: u64,
    /// What the operators set.
    pub operator: Operator,
    /// The host group as this node had it last.
    pub known: DiscoveryList,
    /// The words for zones and kinds, in the order of the settings.
    pub names: SettingNames,
    /// The classes, in the order of the settings.
    pub classes: Vec<ClassName>,
    /// The tenants; none where the site has none.
    pub tenants: Vec<String>,
    /// An executor closes a server link that has stood idle for this long.
    pub keepalive: Micros,
    /// An executor gets nothing new from so long after the node was told that it leaves.
    pub drain_grace: Micros,
    /// The fields of a load report, in the order in which the module takes them; none where there are no reports.
    pub load_fields: Vec<String>,
    /// A node that has to ask for the list is taken to know what stood there so long before; four times as long after a
    /// call that failed.
    pub ask_within: Micros,
    /// What the decision module is told.
    pub settings: Settings,
    /// The file as it was written, for a reload to compare.
    written: Value,
}

/// The keys of the file that only a restart takes over: the module and the listener live on through a reload.
const RESTART_KEYS: [&str; 6] = ["name", "listen", "ops", "seed", "known", "settings"];
/// The variable that names the operators' file.
const OPERATOR: &str = "SORRELHAVEN_OPERATOR";
/// The fewest descriptors that a node can work with.
const LEAST_SOCKETS: usize = 64;
/// The least memory that a node can work with.
const LEAST_MEMORY_MB: u64 = 32;

impl Config {
    /// Reads the file named by `RELAY_CONFIG`, the other variables coming before its keys, and the operators'
    /// file named by `SORRELHAVEN_OPERATOR`, if there is one.
    ///
    /// # Errors
    /// All faults of both files.
    pub fn load(env: impl Fn(&str) -> Option<String>) -> Result<Config, Faults> {
        let written = text(&env).and_then(|t| value(&t));
        Config::both(written, &env)
    }

    /// Reads both files again for a node that runs, and gives what it is to run on from now: `discovery`, `limits`
    /// and the operators' settings as they are now, all else as it was. With it come the keys whose change waits
    /// for a restart. A `discovery` that has changed in the file goes before the variable, which can't follow: it
    /// stays what it was when the program started.
    ///
    /// # Errors
    /// All faults of both files; the node then runs on as it was.
    pub fn reloaded(
        &self,
        env: impl Fn(&str) -> Option<String>,
    ) -> Result<(Config, Vec<&'static str>), Faults> {
        let written = text(&env).and_then(|t| value(&t));
        let found = written.as_ref().ok();
        let changed = |key: &str| found.is_some_and(|v| v.get(key) != self.written.get(key));
        let moved = changed("discovery") && found.is_some_and(|v| v.get("discovery").is_some());
        let waiting = RESTART_KEYS.into_iter().filter(|&key| changed(key)).collect();
        let env = |name: &str| if moved && name == "RELAY_DISCOVERY" { None } else { env(name) };
        let read = Config::both(written, &env)?;
        let mut next = self.clone();
        if moved {
            next.discovery = read.discovery;
        }
        (next.sockets, next.memory_mb, next.operator) = (read.sockets, read.memory_mb, read.operator);
        for key in ["discovery", "limits"] {
            next.written[key] = read.written[key].clone();
        }
        Ok((next, waiting))
    }

    /// Reads a configuration's text; the operators' settings have their defaults.
    ///
    /// # Errors
    /// All faults of it.
    pub fn parse(text: &str, env: impl Fn(&str) -> Option<String>) -> Result<Config, Faults> {
        let env = |name: &str| env(name).filter(|_| name != OPERATOR);
        Config::both(value(text), &env)
    }

    /// The platform's file and the operators', which is checked against its limits.
    fn both(written: Result<Value, Error>, env: &impl Fn(&str) -> Option<String>) -> Result<Config, Faults> {
        let config = written.map_err(Faults::from).and_then(|w| Config::checked(w, env));
        let operator = match env(OPERATOR) {
            Some(path) => Operator::load(&path),
            None => Ok(Operator::default()),
        };
        let memory_mb = config.as_ref().map_or(u64::MAX, |c| c.memory_mb);
        let operator = operator.and_then(|o| Faults::unless(o.faults(memory_mb), || o));
        match (config, operator) {
            (Ok(config), Ok(operator)) => Ok(Config { operator, ..config }),
            (Err(faults), Ok(_)) | (Ok(_), Err(faults)) => Err(faults),
            (Err(a), Err(b)) => Faults::unless(a.into_iter().chain(b).collect(), || unreachable!()),
        }
    }

    fn checked(written: Value, env: &impl Fn(&str) -> Option<String>) -> Result<Config, Faults> {
        let file: File = read("", written.clone())?;
        let mut faults = Vec::new();
        let told = |variable: &str, key: &str, value: Option<String>| match env(variable) {
            Some(text) => Ok((variable.to_string(), text)),
            None => value.map(|v| (key.to_string(), v)).ok_or_else(|| Error::new(key, "missing")),
        };
        let address = |told: Result<(String, String), Error>| {
            told.and_then(|(key, text)| {
                text.parse::<SocketAddr>()
                    .map_err(|_| Error::new(key, format!("{text:?} is not an address with a port")))
            })
        };
        let name = keep(&mut faults, told("RELAY_NAME", "name", file.name));
        let listen = keep(&mut faults, address(told("RELAY_LISTEN", "listen", file.listen)));
        let discovery = keep(&mut faults, address(told("RELAY_DISCOVERY", "discovery", file.discovery)));
        let ops = match (env("RELAY_OPS"), file.ops) {
            (None, None) => None,
            (_, of_file) => keep(&mut faults, address(told("RELAY_OPS", "ops", of_file))),
        };
        keep(&mut faults, listen_fd(env));
        let seed = keep(&mut faults, seed(file.seed));
        if file.limits.sockets < LEAST_SOCKETS {
            faults.push(Error::new("limits.sockets", format!("fewer than {LEAST_SOCKETS}")));
        }
        if file.limits.memory_mb < LEAST_MEMORY_MB {
            faults.push(Error::new("limits.memory_mb", format!("less than {LEAST_MEMORY_MB}")));
        }
        let conf = keep(&mut faults, read::<Conf>("settings", file.settings));
        let site = conf.and_then(|conf| keep(&mut faults, Site::checked(conf)));
        let known =
            file.known.map_or(Ok(DiscoveryList::default()), |value| read::<DiscoveryList>("known", value));
        let known = keep(&mut faults, known);
        if let (Some(known), Some(site)) = (&known, &site) {
            keep(&mut faults, known.check(&site.names).map_err(|e| e.within("known")));
        }
        let (Some(name), Some(listen), Some(discovery), Some(seed), Some(site), Some(known), true) =
            (name, listen, discovery, seed, site, known, faults.is_empty())
        else {
            return Faults::unless(faults, || unreachable!("whatever is missing has left a fault"));
        };
        Ok(Config {
            name: name.1,
            listen,
            discovery,
            ops,
            seed,
            sockets: file.limits.sockets,
            memory_mb: file.limits.memory_mb,
            operator: Operator::default(),
            known,
            names: site.names,
            classes: site.classes,
            tenants: site.tenants,
            keepalive: site.keepalive,
            drain_grace: site.drain_grace,
            ask_within: site.ask_within,
            load_fields: site.load_fields,
            settings: site.settings,
            written,
        })
    }
}

/// Notes what is at fault and goes on.
fn keep<T>(faults: &mut Vec<Error>, value: Result<T, Error>) -> Option<T> {
    value.map_err(|fault| faults.push(fault)).ok()
}

/// What the settings say, to the module and to the rest.
struct Site {
    names: SettingNames,
    classes: Vec<ClassName>,
    tenants: Vec<String>,
    keepalive: Micros,
    drain_grace: Micros,
    ask_within: Micros,
    load_fields: Vec<String>,
    settings: Settings,
}

impl Site {
    fn checked(conf: Conf) -> Result<Site, Error> {
        let names = SettingNames { zones: conf.zones.clone(), kinds: conf.kinds.clone() };
        let tenants = conf.projects.iter().map(|p| p.name.clone()).collect();
        let (grades, keepalive) = (conf.grade_names(), conf.ceilings.keepalive);
        let load_fields = conf.report_fields();
        let (drain_grace, ask_within) = (conf.invariants.drain_grace, conf.invariants.ask_within);
        let settings = settings(conf).map_err(|e| e.within("settings"))?;
        let keyed = |i: usize| matches!(settings.classes[i].idempotency, Idempotency::Keyed { .. });
        let classes = grades.into_iter().enumerate().map(|(i, name)| ClassName { name, keyed: keyed(i) });
        let classes: Vec<ClassName> = classes.collect();
        if let Some(i) = classes.iter().position(|c| c.name.is_empty()) {
            return Err(Error::new(format!("settings.grades[{i}].name"), "missing"));
        }
        Ok(Site { names, classes, tenants, keepalive, drain_grace, ask_within, load_fields, settings })
    }
}

/// The text of the file named by `RELAY_CONFIG`.
fn text(env: &impl Fn(&str) -> Option<String>) -> Result<String, Error> {
    let path = env("RELAY_CONFIG").ok_or_else(|| Error::new("RELAY_CONFIG", "not set"))?;
    std::fs::read_to_string(&path).map_err(|e| Error::new("RELAY_CONFIG", format!("cannot read {path}: {e}")))
}

fn value(text: &str) -> Result<Value, Error> {
    serde_json::from_str(text).map_err(|e| Error::new("RELAY_CONFIG", e))
}

/// The descriptor at which the platform hands over the clients' listening socket, by `RELAY_FD`; `None` where the node
/// is to listen by itself.
///
/// # Errors
/// `RELAY_FD` is no number of a descriptor.
pub fn listen_fd(env: &impl Fn(&str) -> Option<String>) -> Result<Option<i32>, Error> {
    let Some(text) = env("RELAY_FD") else { return Ok(None) };
    let number = text.parse::<i32>().ok().filter(|n| *n >= 0);
    number
        .map(Some)
        .ok_or_else(|| Error::new("RELAY_FD", format!("{text:?} is not the number of a descriptor")))
}

/// The seed is written in hexadecimal digits, or as a plain number.
fn seed(value: Option<Value>) -> Result<u64, Error> {
    match value {
        None => Err(Error::new("seed", "missing")),
        Some(Value::Number(n)) => n.as_u64().ok_or_else(|| Error::new("seed", "not a whole number")),
        Some(Value::String(s)) => u64::from_str_radix(&s, 16)
            .map_err(|_| Error::new("seed", format!("{s:?} is not a hexadecimal number of 64 bits"))),
        Some(_) => Err(Error::new("seed", "neither text nor a number")),
    }
}
