//! Finds keys that the operators' file must not have, and suggests the key that was meant.

use crate::error::{ConfigError, join_keys};
use serde_json::Value;

/// How similar a known key must be to an unknown one to be suggested, from 0 to 1.
const MIN_SIMILARITY: f64 = 0.6;

/// Removes the keys of `written` that `defaults` does not have, and records an error for each.
pub(crate) fn remove_unknown_keys(
    parent: &str,
    written: &mut Value,
    defaults: &Value,
    errors: &mut Vec<ConfigError>,
) {
    let (Value::Object(written), Value::Object(defaults)) = (written, defaults) else { return };
    let known_keys: Vec<&str> = defaults.keys().map(String::as_str).collect();
    written.retain(|key, value| {
        let path = join_keys(parent, key);
        let Some(default) = defaults.get(key) else {
            errors.push(ConfigError::new(path, describe_unknown_key(key, &known_keys)));
            return false;
        };
        remove_unknown_keys(&path, value, default, errors);
        true
    });
}

fn describe_unknown_key(key: &str, known_keys: &[&str]) -> String {
    let similarities = known_keys.iter().map(|known| (strsim::jaro_winkler(known, key), known));
    let most_similar = similarities.max_by(|(left, _), (right, _)| left.total_cmp(right));
    match most_similar {
        Some((similarity, known)) if similarity >= MIN_SIMILARITY => {
            format!("unknown key; did you mean {known:?}?")
        }
        _ => format!("unknown key; known are {}", known_keys.join(", ")),
    }
}
