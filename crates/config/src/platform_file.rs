//! Reads the platform's file and environment variables, and checks each value.

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

/// The environment variable with the path of the platform's file.
const PLATFORM_FILE_VARIABLE: &str = "RELAY_CONFIG";
/// The environment variable with the descriptor of an inherited listening socket for clients.
const LISTEN_FD_VARIABLE: &str = "RELAY_FD";
/// The fewest file descriptors that a node can work with.
const MIN_SOCKETS: usize = 64;
/// The least memory that a node can work with, in megabytes.
const MIN_MEMORY_MB: u64 = 32;

/// The keys of the platform's file. Those that a variable may replace are optional here and checked later.
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

/// Limits of the process: memory in megabytes, and the number of file descriptors (`sockets`).
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

/// The text of a value, and the variable or key that it comes from, which an error names.
struct SourcedText {
    source: String,
    text: String,
}

/// Reads the file that the variable `RELAY_CONFIG` names, without checking its keys.
pub(crate) fn read_file(env: &impl Fn(&str) -> Option<String>) -> Result<Value, ConfigError> {
    let path =
        env(PLATFORM_FILE_VARIABLE).ok_or_else(|| ConfigError::new(PLATFORM_FILE_VARIABLE, "not set"))?;
    let text = std::fs::read_to_string(&path)
        .map_err(|error| ConfigError::new(PLATFORM_FILE_VARIABLE, format!("cannot read {path}: {error}")))?;
    parse_json(&text)
}

pub(crate) fn parse_json(text: &str) -> Result<Value, ConfigError> {
    serde_json::from_str(text).map_err(|error| ConfigError::new(PLATFORM_FILE_VARIABLE, error))
}

/// Checks the parsed file and the variables that take precedence over its keys. The operators' settings have
/// their defaults.
///
/// # Errors
/// If `settings` is missing, or a key other than `seed`, `settings` and `known` has a value of the wrong
/// type, that error only. Otherwise all errors in the file and the variables, but only the first one within
/// `settings` and the first within `known`.
pub(crate) fn check(
    platform_json: Value,
    env: &impl Fn(&str) -> Option<String>,
) -> Result<Config, ConfigErrors> {
    let file: PlatformFile = deserialize("", platform_json.clone())?;
    let mut errors = ErrorCollector::default();
    let name = errors.ok(variable_or_key(env, "RELAY_NAME", "name", file.name));
    let listen = errors.ok(address(env, "RELAY_LISTEN", "listen", file.listen));
    let discovery = errors.ok(address(env, "RELAY_DISCOVERY", "discovery", file.discovery));
    let ops = match (env("RELAY_OPS"), file.ops) {
        (None, None) => None,
        (_, file_value) => errors.ok(address(env, "RELAY_OPS", "ops", file_value)),
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
        let missing = || unreachable!("an error was recorded for each missing value");
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
        platform_json,
    })
}

/// The value of the variable if it is set, otherwise `file_value`, the value of the key in the file.
fn variable_or_key(
    env: &impl Fn(&str) -> Option<String>,
    variable: &str,
    key: &str,
    file_value: Option<String>,
) -> Result<SourcedText, ConfigError> {
    if let Some(text) = env(variable) {
        return Ok(SourcedText { source: variable.to_string(), text });
    }
    let text = file_value.ok_or_else(|| ConfigError::new(key, "missing"))?;
    Ok(SourcedText { source: key.to_string(), text })
}

fn address(
    env: &impl Fn(&str) -> Option<String>,
    variable: &str,
    key: &str,
    file_value: Option<String>,
) -> Result<SocketAddr, ConfigError> {
    let SourcedText { source, text } = variable_or_key(env, variable, key, file_value)?;
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

/// Reads the seed: a string of hexadecimal digits, or a non-negative integer of 64 bits.
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

/// The descriptor of the listening socket for clients that the process inherits, from the variable
/// `RELAY_FD`; `None` if the variable is not set, and the node opens the socket itself.
///
/// # Errors
/// The value of `RELAY_FD` is not a non-negative integer. Whether the descriptor is open is not checked.
pub fn listen_fd(env: &impl Fn(&str) -> Option<String>) -> Result<Option<i32>, ConfigError> {
    let Some(text) = env(LISTEN_FD_VARIABLE) else { return Ok(None) };
    match text.parse::<i32>() {
        Ok(number) if number >= 0 => Ok(Some(number)),
        _ => Err(ConfigError::new(LISTEN_FD_VARIABLE, format!("{text:?} is not the number of a descriptor"))),
    }
}
