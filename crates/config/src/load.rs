//! Reads the configuration of a node at its start and at a reload, from the platform's file, the environment
//! and the operators' file.

use crate::config::Config;
use crate::error::{ConfigError, ConfigErrors};
use crate::operator::{OPERATOR_FILE, OperatorSettings};
use crate::platform_file;
use serde_json::Value;

/// The keys of the platform's file that take effect only after a restart.
const RESTART_KEYS: [&str; 6] = ["name", "listen", "ops", "seed", "known", "settings"];
/// The keys of the platform's file that a reload applies.
const RELOAD_KEYS: [&str; 2] = ["discovery", "limits"];

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
        next.max_descriptors = read.max_descriptors;
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
fn read_operator(
    env: &impl Fn(&str) -> Option<String>,
    memory_mb: u64,
) -> Result<OperatorSettings, ConfigErrors> {
    let operator = match env(OPERATOR_FILE) {
        Some(path) => OperatorSettings::load(&path)?,
        None => OperatorSettings::default(),
    };
    ConfigErrors::ok_if_empty(operator.check(memory_mb), || operator)
}
