//! Deserialization with errors that name the key at fault.

use crate::error::ConfigError;
use serde::{Deserialize, Deserializer};

/// Deserializes a value. An error names the path of the key at fault, which begins with `parent`.
pub(crate) fn deserialize<'de, T: Deserialize<'de>>(
    parent: &str,
    source: impl Deserializer<'de>,
) -> Result<T, ConfigError> {
    serde_path_to_error::deserialize(source).map_err(|error| {
        let key = error.path().to_string();
        ConfigError::new(key, error.inner()).within(parent)
    })
}
