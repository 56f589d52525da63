//! Deserialization whose errors name the key.

use crate::error::ConfigError;
use serde::{Deserialize, Deserializer};

/// Deserializes a value. An error names the key, with a path that begins at `parent`.
pub(crate) fn deserialize<'de, T: Deserialize<'de>>(
    parent: &str,
    source: impl Deserializer<'de>,
) -> Result<T, ConfigError> {
    serde_path_to_error::deserialize(source).map_err(|error| {
        let key = error.path().to_string();
        ConfigError::new(key, error.inner()).within(parent)
    })
}
