//! The one place where configuration is read, checked and given defaults.
//!
//! A node reads [`Config`] from a file and its environment; the bench's adapter reads only the settings,
//! which have the same form on its wire. Every error names the key at fault. Unknown keys pass.

mod hosts;
mod settings;

pub use hosts::{Health, Host, HostList, Names, key};
pub use settings::settings_from;
use settings::{Conf, settings};

use serde::Deserialize;
use serde::de::DeserializeOwned;
use serde_json::Value;
use std::fmt;
use std::net::SocketAddr;
use stepusher::{Effect, Micros, Settings};

/// What is wrong with the configuration, and where.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Error {
    key: String,
    fault: String,
}

impl Error {
    fn new(key: impl Into<String>, fault: impl fmt::Display) -> Self {
        Error { key: key.into(), fault: fault.to_string() }
    }

    /// The same fault, seen from the object that holds `key`.
    fn within(self, parent: &str) -> Self {
        Error { key: join(parent, &self.key), ..self }
    }
}

/// The key's path; a message must stay on one line whatever the key is called.
fn join(parent: &str, key: &str) -> String {
    match (parent.is_empty(), key.is_empty() || key == ".") {
        (_, true) => parent.to_string(),
        (true, false) => key.to_string(),
        (false, false) => format!("{parent}.{key}"),
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let text =
            if self.key.is_empty() { self.fault.clone() } else { format!("{}: {}", self.key, self.fault) };
        f.write_str(&text.replace(['\n', '\r'], " "))
    }
}

impl std::error::Error for Error {}

/// Reads one value; a fault of form names the key below `parent`.
fn read<T: DeserializeOwned>(parent: &str, value: Value) -> Result<T, Error> {
    serde_path_to_error::deserialize(value)
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
    /// For random numbers; new with each start.
    pub seed: u64,
    /// Descriptors the process may hold.
    pub sockets: usize,
    /// The host group as this node had it last.
    pub known: HostList,
    /// The words for zones and kinds, in the order of the settings.
    pub names: Names,
    /// The classes, in the order of the settings.
    pub classes: Vec<ClassName>,
    /// The tenants; none where the site has none.
    pub tenants: Vec<String>,
    /// An executor closes a server link that has stood idle for this long.
    pub keepalive: Micros,
    /// What the decision module is told.
    pub settings: Settings,
    /// The file as it was written, for a reload to compare.
    written: Value,
}

/// The keys of the file that only a restart takes over: the module and the listener live on through a reload.
const RESTART_KEYS: [&str; 5] = ["name", "listen", "seed", "known", "settings"];
/// The fewest descriptors that a node can work with.
const LEAST_SOCKETS: usize = 64;
/// The least memory that a node can work with.
const LEAST_MEMORY_MB: u64 = 32;

impl Config {
    /// Reads the file named by `RELAY_CONFIG`; the other variables come before the file's keys.
    pub fn load(env: impl Fn(&str) -> Option<String>) -> Result<Config, Error> {
        Config::parse(&text(&env)?, env)
    }

    /// Reads the file again and takes over `discovery` and `limits`, or nothing where any of it is at fault.
    /// Gives the keys whose change waits for a restart. A `discovery` that has changed in the file goes before
    /// the variable, which can't follow: it stays what it was when the program started.
    pub fn reload(&mut self, env: impl Fn(&str) -> Option<String>) -> Result<Vec<&'static str>, Error> {
        let value = value(&text(&env)?)?;
        let changed = |key: &str| value.get(key) != self.written.get(key);
        let moved = changed("discovery") && value.get("discovery").is_some();
        let waiting = RESTART_KEYS.into_iter().filter(|&key| changed(key)).collect();
        let env = |name: &str| if moved && name == "RELAY_DISCOVERY" { None } else { env(name) };
        let next = Config::checked(value, env)?;
        if moved {
            self.discovery = next.discovery;
        }
        self.sockets = next.sockets;
        for key in ["discovery", "limits"] {
            self.written[key] = next.written[key].clone();
        }
        Ok(waiting)
    }

    /// Reads a configuration's text.
    pub fn parse(text: &str, env: impl Fn(&str) -> Option<String>) -> Result<Config, Error> {
        Config::checked(value(text)?, env)
    }

    fn checked(written: Value, env: impl Fn(&str) -> Option<String>) -> Result<Config, Error> {
        let file: File = read("", written.clone())?;
        let told = |variable: &str, key: &str, value: Option<String>| match env(variable) {
            Some(text) => Ok((variable.to_string(), text)),
            None => value.map(|v| (key.to_string(), v)).ok_or_else(|| Error::new(key, "missing")),
        };
        let address = |(key, text): (String, String)| {
            text.parse::<SocketAddr>()
                .map_err(|_| Error::new(key, format!("{text:?} is not an address with a port")))
        };
        let conf: Conf = read("settings", file.settings)?;
        let names = Names { zones: conf.zones.clone(), kinds: conf.kinds.clone() };
        let tenants = conf.projects.iter().map(|p| p.name.clone()).collect();
        let (grades, keepalive) = (conf.grade_names(), conf.ceilings.keepalive);
        let settings = settings(conf).map_err(|e| e.within("settings"))?;
        let keyed = |i: usize| matches!(settings.classes[i].effect, Effect::Keyed { .. });
        let classes = grades.into_iter().enumerate().map(|(i, name)| ClassName { name, keyed: keyed(i) });
        let classes: Vec<ClassName> = classes.collect();
        if let Some(i) = classes.iter().position(|c| c.name.is_empty()) {
            return Err(Error::new(format!("settings.grades[{i}].name"), "missing"));
        }
        if file.limits.sockets < LEAST_SOCKETS {
            return Err(Error::new("limits.sockets", format!("fewer than {LEAST_SOCKETS}")));
        }
        if file.limits.memory_mb < LEAST_MEMORY_MB {
            return Err(Error::new("limits.memory_mb", format!("less than {LEAST_MEMORY_MB}")));
        }
        let known: HostList = match file.known {
            Some(value) => read("known", value)?,
            None => HostList::default(),
        };
        known.check(&names).map_err(|e| e.within("known"))?;
        Ok(Config {
            name: told("RELAY_NAME", "name", file.name)?.1,
            listen: address(told("RELAY_LISTEN", "listen", file.listen)?)?,
            discovery: address(told("RELAY_DISCOVERY", "discovery", file.discovery)?)?,
            seed: seed(file.seed)?,
            sockets: file.limits.sockets,
            known,
            names,
            classes,
            tenants,
            keepalive,
            settings,
            written,
        })
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
