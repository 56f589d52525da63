//! The configuration of a node, from the platform's file, the environment and the operators' file.

use crate::error::{ConfigError, ConfigErrors};
use crate::hosts::{DiscoveryList, SettingNames};
use crate::operator::Operator;
use crate::platform_file;
use crate::settings::ClassName;
use serde_json::Value;
use sorrelhaven_dispatcher::{Micros, Settings};
use std::net::SocketAddr;

/// The keys of the platform's file that take effect only after a restart.
const RESTART_KEYS: [&str; 6] = ["name", "listen", "ops", "seed", "known", "settings"];
/// The keys of the platform's file that a reload applies.
const RELOAD_KEYS: [&str; 2] = ["discovery", "limits"];
/// The variable that names the operators' file.
pub(crate) const OPERATOR_FILE: &str = "SORRELHAVEN_OPERATOR";

/// The configuration of a node.
#[derive(Clone, Debug)]
pub struct Config {
    /// The node's name, the same after a restart.
    pub name: String,
    /// The address for clients.
    pub listen: SocketAddr,
    /// The address of discovery's agent.
    pub discovery: SocketAddr,
    /// The address of the admin listener; `None` if there is none.
    pub ops: Option<SocketAddr>,
    /// The seed for random numbers, new at each start.
    pub seed: u64,
    /// The descriptors that the process may hold.
    pub sockets: usize,
    /// The memory that the process may hold, in megabytes.
    pub memory_mb: u64,
    /// The operators' settings.
    pub operator: Operator,
    /// The worker list as this node had it last.
    pub known: DiscoveryList,
    /// The names of zones and kinds, in the settings' order.
    pub names: SettingNames,
    /// The request classes, in the settings' order.
    pub classes: Vec<ClassName>,
    /// The tenants; empty if there are none.
    pub tenants: Vec<String>,
    /// A worker closes a connection that has been idle for this long.
    pub keepalive: Micros,
    /// How long a node may send new requests to a worker after it was notified that the worker drains.
    pub drain_grace: Micros,
    /// The fields of a load report, in the report's order; empty if there are no reports.
    pub load_fields: Vec<String>,
    /// A node that polls discovery is assumed to know a change this long after it happened, whether it has
    /// polled or not; four times as long after a poll that failed.
    pub ask_within: Micros,
    /// The settings of the decision module.
    pub settings: Settings,
    /// The platform's file as it was written, for a reload to compare.
    pub(crate) written: Value,
}

impl Config {
    /// Reads the file named by `RELAY_CONFIG`, the other variables that take precedence over its keys, and
    /// the operators' file named by `SORRELHAVEN_OPERATOR`, if there is one.
    ///
    /// # Errors
    /// All errors of both files.
    pub fn load(env: impl Fn(&str) -> Option<String>) -> Result<Config, ConfigErrors> {
        Config::from_files(platform_file::read_file(&env), &env)
    }

    /// Reads both files again for a running node, and returns the configuration from now on: `discovery`,
    /// `limits` and the operators' settings are taken from the files, all else stays. Also returns the keys
    /// that have changed but take effect only after a restart. A `discovery` that has changed in the file
    /// takes precedence over the variable, which can't change while the program runs.
    ///
    /// # Errors
    /// All errors of both files; the node then keeps its configuration.
    pub fn reloaded(
        &self,
        env: impl Fn(&str) -> Option<String>,
    ) -> Result<(Config, Vec<&'static str>), ConfigErrors> {
        let written = platform_file::read_file(&env);
        let new_file = written.as_ref().ok();
        let has_changed = |key: &str| new_file.is_some_and(|file| file.get(key) != self.written.get(key));
        let restart_keys = RESTART_KEYS.into_iter().filter(|key| has_changed(key)).collect();
        let has_discovery = new_file.is_some_and(|file| file.get("discovery").is_some());
        let new_discovery = has_changed("discovery") && has_discovery;
        let is_overridden = |variable: &str| new_discovery && variable == "RELAY_DISCOVERY";
        let env = |variable: &str| if is_overridden(variable) { None } else { env(variable) };
        let read = Config::from_files(written, &env)?;
        Ok((self.with_reloaded(read, new_discovery), restart_keys))
    }

    /// This configuration with what a reload applies from `read`.
    fn with_reloaded(&self, read: Config, new_discovery: bool) -> Config {
        let mut next = self.clone();
        if new_discovery {
            next.discovery = read.discovery;
        }
        next.sockets = read.sockets;
        next.memory_mb = read.memory_mb;
        next.operator = read.operator;
        for key in RELOAD_KEYS {
            next.written[key] = read.written[key].clone();
        }
        next
    }

    /// Reads the text of a platform's file; the operators' settings have their defaults.
    ///
    /// # Errors
    /// All errors of the text.
    pub fn parse(text: &str, env: impl Fn(&str) -> Option<String>) -> Result<Config, ConfigErrors> {
        let env = |variable: &str| if variable == OPERATOR_FILE { None } else { env(variable) };
        Config::from_files(platform_file::parse_json(text), &env)
    }

    /// Checks the platform's file, and the operators' file against its limits.
    fn from_files(
        platform_file: Result<Value, ConfigError>,
        env: &impl Fn(&str) -> Option<String>,
    ) -> Result<Config, ConfigErrors> {
        let config =
            platform_file.map_err(ConfigErrors::from).and_then(|written| platform_file::check(written, env));
        let memory_mb = config.as_ref().map_or(u64::MAX, |config| config.memory_mb);
        match (config, read_operator(env, memory_mb)) {
            (Ok(config), Ok(operator)) => Ok(Config { operator, ..config }),
            (Err(errors), Ok(_)) | (Ok(_), Err(errors)) => Err(errors),
            (Err(errors), Err(operator_errors)) => Err(errors.and(operator_errors)),
        }
    }
}

/// The operators' settings, checked for a process that may hold `memory_mb` megabytes; the defaults if there
/// is no file.
fn read_operator(env: &impl Fn(&str) -> Option<String>, memory_mb: u64) -> Result<Operator, ConfigErrors> {
    let operator = match env(OPERATOR_FILE) {
        Some(path) => Operator::load(&path)?,
        None => Operator::default(),
    };
    ConfigErrors::ok_if_empty(operator.check(memory_mb), || operator)
}
