//! Reads the configuration of a node from the platform's file, the environment and the operators' file, at
//! start-up and at a reload.

use crate::config::Config;
use crate::error::{ConfigError, ConfigErrors};
use crate::operator::{OPERATOR_FILE_VARIABLE, OperatorSettings};
use crate::platform_file;
use serde_json::Value;

/// The keys of the platform's file whose changes take effect only after a restart.
const RESTART_KEYS: [&str; 6] = ["name", "listen", "ops", "seed", "known", "settings"];
/// The keys of the platform's file whose changes a reload applies.
const RELOAD_KEYS: [&str; 2] = ["discovery", "limits"];

impl Config {
    /// Reads the platform's file named by the variable `RELAY_CONFIG`, the variables that take precedence
    /// over its keys, and the operators' file named by the variable `SORRELHAVEN_OPERATOR`, if that is set.
    ///
    /// # Errors
    /// The errors of both files, as far as they can be found in one run.
    pub fn load(env: impl Fn(&str) -> Option<String>) -> Result<Config, ConfigErrors> {
        Config::from_files(platform_file::read_file(&env), &env)
    }

    /// Reads both files again, and returns this configuration with `discovery`, `limits` and the operators'
    /// settings replaced by those in the files. Also returns the keys that have changed but take effect only
    /// after a restart. A `discovery` that has changed in the file takes precedence over the variable
    /// `RELAY_DISCOVERY`, which cannot change while the program runs.
    ///
    /// # Errors
    /// The errors of both files, as far as they can be found in one run. The node is to keep its present
    /// configuration then.
    pub fn reloaded(
        &self,
        env: impl Fn(&str) -> Option<String>,
    ) -> Result<(Config, Vec<&'static str>), ConfigErrors> {
        let new_json = platform_file::read_file(&env);
        let new_file = new_json.as_ref().ok();
        let has_changed =
            |key: &str| new_file.is_some_and(|file| file.get(key) != self.platform_json.get(key));
        let restart_keys = RESTART_KEYS.into_iter().filter(|key| has_changed(key)).collect();
        let has_discovery = new_file.is_some_and(|file| file.get("discovery").is_some());
        let discovery_changed = has_changed("discovery") && has_discovery;
        let is_overridden = |variable: &str| discovery_changed && variable == "RELAY_DISCOVERY";
        let env = |variable: &str| if is_overridden(variable) { None } else { env(variable) };
        let new_config = Config::from_files(new_json, &env)?;
        Ok((self.with_reloaded(new_config, discovery_changed), restart_keys))
    }

    /// This configuration with those values of `new_config` that a reload applies.
    fn with_reloaded(&self, new_config: Config, discovery_changed: bool) -> Config {
        let mut next = self.clone();
        if discovery_changed {
            next.discovery = new_config.discovery;
        }
        next.max_descriptors = new_config.max_descriptors;
        next.memory_mb = new_config.memory_mb;
        next.operator = new_config.operator;
        for key in RELOAD_KEYS {
            next.platform_json[key] = new_config.platform_json[key].clone();
        }
        next
    }

    /// Reads a configuration from the text of the platform's file and the variables that take precedence over
    /// its keys. The operators' settings have their defaults.
    ///
    /// # Errors
    /// The errors in the text and the variables, as far as they can be found in one run.
    pub fn parse(text: &str, env: impl Fn(&str) -> Option<String>) -> Result<Config, ConfigErrors> {
        let env = |variable: &str| if variable == OPERATOR_FILE_VARIABLE { None } else { env(variable) };
        Config::from_files(platform_file::parse_json(text), &env)
    }

    /// Checks the platform's file, then reads the operators' file and checks it against the limits of the
    /// platform's file.
    fn from_files(
        platform_file: Result<Value, ConfigError>,
        env: &impl Fn(&str) -> Option<String>,
    ) -> Result<Config, ConfigErrors> {
        let config =
            platform_file.map_err(ConfigErrors::from).and_then(|json| platform_file::check(json, env));
        let memory_mb = config.as_ref().map_or(u64::MAX, |config| config.memory_mb);
        match (config, read_operator(env, memory_mb)) {
            (Ok(config), Ok(operator)) => Ok(Config { operator, ..config }),
            (Err(errors), Ok(_)) | (Ok(_), Err(errors)) => Err(errors),
            (Err(errors), Err(operator_errors)) => Err(errors.merge(operator_errors)),
        }
    }
}

/// Reads the operators' settings, and checks them for a process that may use `memory_mb` megabytes. Returns
/// the defaults if `SORRELHAVEN_OPERATOR` names no file.
fn read_operator(
    env: &impl Fn(&str) -> Option<String>,
    memory_mb: u64,
) -> Result<OperatorSettings, ConfigErrors> {
    let operator = match env(OPERATOR_FILE_VARIABLE) {
        Some(path) => OperatorSettings::load(&path)?,
        None => OperatorSettings::default(),
    };
    ConfigErrors::ok_if_empty(operator.check(memory_mb), || operator)
}
