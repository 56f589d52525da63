//! Errors in a configuration, each with the path of the key at fault.

use std::fmt;

/// An error in the value of one key. It is displayed as one line, `key: problem`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigError {
    key: String,
    problem: String,
}

impl ConfigError {
    /// An error in the value of the key at this path; an empty path is that of the whole document.
    pub fn new(key: impl Into<String>, problem: impl fmt::Display) -> Self {
        ConfigError { key: key.into(), problem: problem.to_string() }
    }

    /// Prefixes the key's path with the path of the object that holds it.
    pub(crate) fn within(self, parent: &str) -> Self {
        ConfigError { key: join_keys(parent, &self.key), ..self }
    }

    /// The path of the key at fault.
    pub fn key(&self) -> &str {
        &self.key
    }
}

/// The path of a key in the object at the path `parent`. An empty key denotes the object itself, and so does
/// `.`, which `serde_path_to_error` writes for the root.
pub(crate) fn join_keys(parent: &str, key: &str) -> String {
    let is_parent = key.is_empty() || key == ".";
    match (parent.is_empty(), is_parent) {
        (_, true) => parent.to_string(),
        (true, false) => key.to_string(),
        (false, false) => format!("{parent}.{key}"),
    }
}

impl fmt::Display for ConfigError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let text = if self.key.is_empty() {
            self.problem.clone()
        } else {
            format!("{}: {}", self.key, self.problem)
        };
        // Keys and values may contain line breaks, but the message must be one line.
        f.write_str(&text.replace(['\n', '\r'], " "))
    }
}

impl std::error::Error for ConfigError {}

/// The errors found in a configuration, at least one. They are displayed on one line, separated by `; `.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigErrors(Vec<ConfigError>);

impl ConfigErrors {
    /// Returns the result of `value` if there are no errors.
    ///
    /// # Errors
    /// The errors, if there are any. `value` is not called then.
    pub fn ok_if_empty<T>(errors: Vec<ConfigError>, value: impl FnOnce() -> T) -> Result<T, ConfigErrors> {
        if errors.is_empty() { Ok(value()) } else { Err(ConfigErrors(errors)) }
    }

    /// Appends the errors of `others`.
    pub(crate) fn merge(mut self, others: ConfigErrors) -> ConfigErrors {
        self.0.extend(others.0);
        self
    }

    /// The errors, in the order in which they were found.
    pub fn iter(&self) -> std::slice::Iter<'_, ConfigError> {
        self.0.iter()
    }
}

impl From<ConfigError> for ConfigErrors {
    fn from(error: ConfigError) -> ConfigErrors {
        ConfigErrors(vec![error])
    }
}

impl IntoIterator for ConfigErrors {
    type Item = ConfigError;
    type IntoIter = std::vec::IntoIter<ConfigError>;

    fn into_iter(self) -> Self::IntoIter {
        self.0.into_iter()
    }
}

impl fmt::Display for ConfigErrors {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let texts: Vec<String> = self.0.iter().map(ConfigError::to_string).collect();
        f.write_str(&texts.join("; "))
    }
}

impl std::error::Error for ConfigErrors {}

/// Collects the errors of independent checks, so that one run reports all of them.
#[derive(Default)]
pub(crate) struct ErrorCollector(Vec<ConfigError>);

impl ErrorCollector {
    pub(crate) fn push(&mut self, error: ConfigError) {
        self.0.push(error);
    }

    /// Returns the value of `result`, or records its error and returns `None`.
    pub(crate) fn ok<T>(&mut self, result: Result<T, ConfigError>) -> Option<T> {
        result.map_err(|error| self.push(error)).ok()
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    pub(crate) fn into_errors(self) -> Vec<ConfigError> {
        self.0
    }
}
