//! Finds unknown keys in the operators' file, and suggests the known key that is most similar.

use crate::error::{ConfigError, join_keys};
use serde_json::Value;

/// The least Jaro-Winkler similarity, from 0 to 1, of a known key that is suggested for an unknown one.
const MIN_SIMILARITY: f64 = 0.6;

/// Removes the keys of `document`, at any depth, that `defaults` does not have, and records an error for
/// each. `parent` is the path of `document`.
pub(crate) fn remove_unknown_keys(
    parent: &str,
    document: &mut Value,
    defaults: &Value,
    errors: &mut Vec<ConfigError>,
) {
    let (Value::Object(object), Value::Object(defaults)) = (document, defaults) else { return };
    let known_keys: Vec<&str> = defaults.keys().map(String::as_str).collect();
    object.retain(|key, value| {
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
