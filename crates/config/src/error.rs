//! What is wrong with a configuration, and at which key.

use std::fmt;

/// One error, with the path of the key that it concerns.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigError {
    key: String,
    problem: String,
}

impl ConfigError {
    /// A problem with the value of the key at this path.
    pub fn new(key: impl Into<String>, problem: impl fmt::Display) -> Self {
        ConfigError { key: key.into(), problem: problem.to_string() }
    }

    /// The same error, with a path that begins at the parent of the object that holds the key.
    pub(crate) fn within(self, parent: &str) -> Self {
        ConfigError { key: join_keys(parent, &self.key), ..self }
    }

    /// The path of the key.
    pub fn key(&self) -> &str {
        &self.key
    }
}

/// The path of a key in an object. `.` is the object itself, as `serde_path_to_error` writes it.
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
        // A key or a value may contain line breaks; the message is one line all the same.
        f.write_str(&text.replace(['\n', '\r'], " "))
    }
}

impl std::error::Error for ConfigError {}

/// All errors of a configuration, at least one. They are displayed on one line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigErrors(Vec<ConfigError>);

impl ConfigErrors {
    /// The value, if there are no errors.
    ///
    /// # Errors
    /// The errors, if there are any; `value` is not called then.
    pub fn ok_if_empty<T>(errors: Vec<ConfigError>, value: impl FnOnce() -> T) -> Result<T, ConfigErrors> {
        if errors.is_empty() { Ok(value()) } else { Err(ConfigErrors(errors)) }
    }

    /// Appends other errors.
    pub(crate) fn and(mut self, others: ConfigErrors) -> ConfigErrors {
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

/// Collects errors, so that one run reports all of them.
#[derive(Default)]
pub(crate) struct ErrorCollector(Vec<ConfigError>);

impl ErrorCollector {
    pub(crate) fn push(&mut self, error: ConfigError) {
        self.0.push(error);
    }

    /// The value, or `None` after recording the error.
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
