//! The operators' file: the settings that the operators of an installation choose, in addition to the
//! platform's file. It is JSON, and every key is optional.

use crate::body_settings::BodySettings;
use crate::error::{ConfigError, ConfigErrors};
use crate::membership_settings::MembershipSettings;
use crate::unknown_keys::remove_unknown_keys;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use serde_json::Value;

/// The environment variable with the path of the operators' file.
pub(crate) const OPERATOR_FILE_VARIABLE: &str = "SORRELHAVEN_OPERATOR";

/// What the operators of an installation set.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
// `rename` keeps the title in the JSON schema, `expecting` the text of errors about a value of another type.
#[serde(rename = "Operator", expecting = "struct Operator", default, deny_unknown_fields)]
pub struct OperatorSettings {
    /// Where the bodies of requests are stored so that requests can be retried.
    pub bodies: BodySettings,
    /// The membership of the cluster's nodes, over UDP.
    pub membership: MembershipSettings,
}

impl OperatorSettings {
    /// Reads the file at `path`. Checks neither the range of each value nor the values against each other;
    /// [`OperatorSettings::check`] does.
    ///
    /// # Errors
    /// An error that names `SORRELHAVEN_OPERATOR` if the file cannot be read or is not JSON; otherwise one
    /// error for each unknown key and each value that does not fit its key.
    pub fn load(path: &str) -> Result<OperatorSettings, ConfigErrors> {
        let text = std::fs::read_to_string(path).map_err(|error| {
            ConfigError::new(OPERATOR_FILE_VARIABLE, format!("cannot read {path}: {error}"))
        })?;
        OperatorSettings::parse(&text)
    }

    /// Reads the text of a file. Checks neither the range of each value nor the values against each other;
    /// [`OperatorSettings::check`] does.
    ///
    /// # Errors
    /// An error that names `SORRELHAVEN_OPERATOR` if the text is not JSON; otherwise one error for each
    /// unknown key and each value that does not fit its key.
    pub fn parse(text: &str) -> Result<OperatorSettings, ConfigErrors> {
        let mut document: Value =
            serde_json::from_str(text).map_err(|error| ConfigError::new(OPERATOR_FILE_VARIABLE, error))?;
        let defaults =
            serde_json::to_value(OperatorSettings::default()).map_err(|error| ConfigError::new("", error))?;
        let mut errors = Vec::new();
        remove_unknown_keys("", &mut document, &defaults, &mut errors);
        loop {
            let error = match serde_path_to_error::deserialize::<_, OperatorSettings>(&document) {
                Ok(operator) => return ConfigErrors::ok_if_empty(errors, || operator),
                Err(error) => error,
            };
            let path = error.path().to_string();
            errors.push(ConfigError::new(if path == "." { "" } else { &path }, error.inner()));
            // Deserialization stops at the first error. To find the others as well, the invalid value is
            // replaced by its default and the document is deserialized again.
            if !replace_by_default(&path, &mut document, &defaults) {
                return ConfigErrors::ok_if_empty(errors, || unreachable!("an error was just recorded"));
            }
        }
    }

    /// Checks the range of each value and the values against each other, for a process that may use
    /// `memory_mb` megabytes. Also reads the file with the membership key. Returns all errors, but only the
    /// first one in the addresses and the key of membership.
    pub fn check(&self, memory_mb: u64) -> Vec<ConfigError> {
        let mut errors = self.membership.check();
        errors.extend(self.bodies.check(memory_mb).into_iter().map(|error| error.within("bodies")));
        errors
    }

    /// The JSON Schema (draft 2020-12) of the file.
    pub fn schema() -> String {
        let schema = schemars::schema_for!(OperatorSettings);
        // Serialization cannot fail: a schema consists of JSON values only.
        serde_json::to_string_pretty(&schema).unwrap_or_default()
    }
}

/// Replaces the value at a path by its default. Returns false, and changes nothing, if there is no value or
/// no default at the path, or the value equals the default.
fn replace_by_default(path: &str, document: &mut Value, defaults: &Value) -> bool {
    let keys = path.split('.').filter(|key| !key.is_empty());
    let pointer: String = keys.map(|key| format!("/{key}")).collect();
    match (document.pointer_mut(&pointer), defaults.pointer(&pointer)) {
        (Some(value), Some(default)) if value != default => {
            *value = default.clone();
            true
        }
        _ => false,
    }
}
