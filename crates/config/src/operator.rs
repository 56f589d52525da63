//! The operators' file: what an installation sets beside what the platform sets. JSON, every key optional.

use crate::body_settings::BodySettings;
use crate::error::{ConfigError, ConfigErrors};
use crate::membership_settings::MembershipSettings;
use crate::unknown_keys::remove_unknown_keys;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use serde_json::Value;

/// The variable that names the operators' file.
pub(crate) const OPERATOR_FILE: &str = "SORRELHAVEN_OPERATOR";

/// What the operators of an installation set.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename = "Operator", default, deny_unknown_fields)]
pub struct OperatorSettings {
    /// Where the bodies of requests are stored so that requests can be retried.
    pub bodies: BodySettings,
    /// The membership of the cluster's nodes, over UDP.
    pub membership: MembershipSettings,
}

impl OperatorSettings {
    /// Reads the file at `path`.
    ///
    /// # Errors
    /// All errors of form, or one that names `SORRELHAVEN_OPERATOR` if the file can't be read or is not JSON.
    pub fn load(path: &str) -> Result<OperatorSettings, ConfigErrors> {
        let text = std::fs::read_to_string(path)
            .map_err(|error| ConfigError::new(OPERATOR_FILE, format!("cannot read {path}: {error}")))?;
        OperatorSettings::parse(&text)
    }

    /// Reads the text of a file. Each unknown key and each value of a wrong form is an error of its own.
    ///
    /// # Errors
    /// All of those.
    pub fn parse(text: &str) -> Result<OperatorSettings, ConfigErrors> {
        let mut written: Value =
            serde_json::from_str(text).map_err(|error| ConfigError::new(OPERATOR_FILE, error))?;
        let defaults =
            serde_json::to_value(OperatorSettings::default()).map_err(|error| ConfigError::new("", error))?;
        let mut errors = Vec::new();
        remove_unknown_keys("", &mut written, &defaults, &mut errors);
        loop {
            let error = match serde_path_to_error::deserialize::<_, OperatorSettings>(&written) {
                Ok(operator) => return ConfigErrors::ok_if_empty(errors, || operator),
                Err(error) => error,
            };
            let path = error.path().to_string();
            errors.push(ConfigError::new(if path == "." { "" } else { &path }, error.inner()));
            // An error hides those behind it: the value is replaced by its default, and all is read again.
            if !replace_by_default(&path, &mut written, &defaults) {
                return ConfigErrors::ok_if_empty(errors, || unreachable!("there is an error"));
            }
        }
    }

    /// Checks the values against each other, for a process that may hold `memory_mb` megabytes.
    pub fn check(&self, memory_mb: u64) -> Vec<ConfigError> {
        let mut errors = self.membership.check();
        errors.extend(self.bodies.check(memory_mb).into_iter().map(|error| error.within("bodies")));
        errors
    }

    /// The JSON Schema (2020-12) of the file.
    pub fn schema() -> String {
        let schema = schemars::schema_for!(OperatorSettings);
        // A schema is a tree of plain values, so it can always be written.
        serde_json::to_string_pretty(&schema).unwrap_or_default()
    }
}

/// Replaces the value at a path by its default. Returns false if it has no default, or is equal to it.
fn replace_by_default(path: &str, written: &mut Value, defaults: &Value) -> bool {
    let keys = path.split('.').filter(|key| !key.is_empty());
    let pointer: String = keys.map(|key| format!("/{key}")).collect();
    match (written.pointer_mut(&pointer), defaults.pointer(&pointer)) {
        (Some(value), Some(default)) if value != default => {
            *value = default.clone();
            true
        }
        _ => false,
    }
}
