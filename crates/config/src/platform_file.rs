//! The platform's file and environment variables: reading them, and checking each value.

use crate::config::Config;
use crate::deserialize::deserialize;
use crate::error::{ConfigError, ConfigErrors, ErrorCollector};
use crate::hosts::DiscoveryList;
use crate::operator::OperatorSettings;
use crate::settings::NodeSettings;
use crate::settings_file::SettingsFile;
use serde::Deserialize;
use serde_json::Value;
use std::net::SocketAddr;

/// The variable that names the platform's file.
const PLATFORM_FILE: &str = "RELAY_CONFIG";
/// The variable with the descriptor of the clients' listening socket.
const LISTEN_FD: &str = "RELAY_FD";
/// The fewest descriptors that a node can work with.
const MIN_SOCKETS: usize = 64;
/// The least memory that a node can work with.
const MIN_MEMORY_MB: u64 = 32;

/// The file as it is written.
#[derive(Deserialize)]
struct PlatformFile {
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
    limits: ProcessLimits,
    #[serde(default)]
    known: Option<Value>,
    settings: Value,
}

/// What the process may hold.
#[derive(Deserialize)]
#[serde(default)]
struct ProcessLimits {
    memory_mb: u64,
    sockets: usize,
}

impl Default for ProcessLimits {
    fn default() -> Self {
        ProcessLimits { memory_mb: 192, sockets: 1024 }
    }
}

/// The text of a value, and the variable or key that it comes from.
struct SourcedText {
    source: String,
    text: String,
}

/// Reads the file named by `RELAY_CONFIG`.
pub(crate) fn read_file(env: &impl Fn(&str) -> Option<String>) -> Result<Value, ConfigError> {
    let path = env(PLATFORM_FILE).ok_or_else(|| ConfigError::new(PLATFORM_FILE, "not set"))?;
    let text = std::fs::read_to_string(&path)
        .map_err(|error| ConfigError::new(PLATFORM_FILE, format!("cannot read {path}: {error}")))?;
    parse_json(&text)
}

pub(crate) fn parse_json(text: &str) -> Result<Value, ConfigError> {
    serde_json::from_str(text).map_err(|error| ConfigError::new(PLATFORM_FILE, error))
}

/// Checks the file and the variables that take precedence over it. The operators' settings have their
/// defaults.
///
/// # Errors
/// All errors of both.
pub(crate) fn check(written: Value, env: &impl Fn(&str) -> Option<String>) -> Result<Config, ConfigErrors> {
    let file: PlatformFile = deserialize("", written.clone())?;
    let mut errors = ErrorCollector::default();
    let name = errors.ok(variable_or_key(env, "RELAY_NAME", "name", file.name));
    let listen = errors.ok(address(env, "RELAY_LISTEN", "listen", file.listen));
    let discovery = errors.ok(address(env, "RELAY_DISCOVERY", "discovery", file.discovery));
    let ops = match (env("RELAY_OPS"), file.ops) {
        (None, None) => None,
        (_, in_file) => errors.ok(address(env, "RELAY_OPS", "ops", in_file)),
    };
    errors.ok(listen_fd(env));
    let seed = errors.ok(seed(file.seed));
    check_limits(&file.limits, &mut errors);
    let settings = errors.ok(deserialize::<SettingsFile>("settings", file.settings));
    let settings = settings.and_then(|settings| errors.ok(NodeSettings::new(settings)));
    let known = errors.ok(known_workers(file.known));
    if let (Some(known), Some(settings)) = (&known, &settings) {
        errors.ok(known.check(&settings.names).map_err(|error| error.within("known")));
    }
    let (Some(name), Some(listen), Some(discovery), Some(seed), Some(settings), Some(known), true) =
        (name, listen, discovery, seed, settings, known, errors.is_empty())
    else {
        let missing = || unreachable!("a missing value has left an error");
        return ConfigErrors::ok_if_empty(errors.into_errors(), missing);
    };
    Ok(Config {
        name: name.text,
        listen,
        discovery,
        admin: ops,
        seed,
        max_descriptors: file.limits.sockets,
        memory_mb: file.limits.memory_mb,
        operator: OperatorSettings::default(),
        known_workers: known,
        names: settings.names,
        classes: settings.classes,
        tenants: settings.tenants,
        idle_timeout: settings.idle_timeout,
        drain_grace: settings.drain_grace,
        max_list_staleness: settings.max_list_staleness,
        load_fields: settings.load_fields,
        settings: settings.settings,
        written,
    })
}

/// The value of a variable, or else of a key in the file.
fn variable_or_key(
    env: &impl Fn(&str) -> Option<String>,
    variable: &str,
    key: &str,
    in_file: Option<String>,
) -> Result<SourcedText, ConfigError> {
    if let Some(text) = env(variable) {
        return Ok(SourcedText { source: variable.to_string(), text });
    }
    let text = in_file.ok_or_else(|| ConfigError::new(key, "missing"))?;
    Ok(SourcedText { source: key.to_string(), text })
}

fn address(
    env: &impl Fn(&str) -> Option<String>,
    variable: &str,
    key: &str,
    in_file: Option<String>,
) -> Result<SocketAddr, ConfigError> {
    let SourcedText { source, text } = variable_or_key(env, variable, key, in_file)?;
    text.parse().map_err(|_| ConfigError::new(source, format!("{text:?} is not an address with a port")))
}

fn check_limits(limits: &ProcessLimits, errors: &mut ErrorCollector) {
    if limits.sockets < MIN_SOCKETS {
        errors.push(ConfigError::new("limits.sockets", format!("fewer than {MIN_SOCKETS}")));
    }
    if limits.memory_mb < MIN_MEMORY_MB {
        errors.push(ConfigError::new("limits.memory_mb", format!("less than {MIN_MEMORY_MB}")));
    }
}

fn known_workers(value: Option<Value>) -> Result<DiscoveryList, ConfigError> {
    value.map_or(Ok(DiscoveryList::default()), |value| deserialize("known", value))
}

/// The seed is written as a string of hexadecimal digits, or as a number.
fn seed(value: Option<Value>) -> Result<u64, ConfigError> {
    match value {
        None => Err(ConfigError::new("seed", "missing")),
        Some(Value::Number(number)) => {
            number.as_u64().ok_or_else(|| ConfigError::new("seed", "not a whole number"))
        }
        Some(Value::String(digits)) => u64::from_str_radix(&digits, 16).map_err(|_| {
            ConfigError::new("seed", format!("{digits:?} is not a hexadecimal number of 64 bits"))
        }),
        Some(_) => Err(ConfigError::new("seed", "neither text nor a number")),
    }
}

/// The descriptor at which the platform hands over the clients' listening socket, by `RELAY_FD`; `None` if
/// the node is to open the socket itself.
///
/// # Errors
/// `RELAY_FD` is not the number of a descriptor.
pub fn listen_fd(env: &impl Fn(&str) -> Option<String>) -> Result<Option<i32>, ConfigError> {
    let Some(text) = env(LISTEN_FD) else { return Ok(None) };
    match text.parse::<i32>() {
        Ok(number) if number >= 0 => Ok(Some(number)),
        _ => Err(ConfigError::new(LISTEN_FD, format!("{text:?} is not the number of a descriptor"))),
    }
}
