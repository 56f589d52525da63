//! What is wrong with a configuration, and where.

use std::fmt;

/// One fault, with the path of its key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Error {
    key: String,
    fault: String,
}

impl Error {
    /// A fault of the key at this path.
    pub fn new(key: impl Into<String>, fault: impl fmt::Display) -> Self {
        Error { key: key.into(), fault: fault.to_string() }
    }

    /// The same fault, seen from the object that holds the key.
    pub(crate) fn within(self, parent: &str) -> Self {
        Error { key: join(parent, &self.key), ..self }
    }

    /// The path of the key at fault.
    pub fn key(&self) -> &str {
        &self.key
    }
}

/// The key's path; a message must stay on one line whatever the key is called.
pub(crate) fn join(parent: &str, key: &str) -> String {
    match (parent.is_empty(), key.is_empty() || key == ".") {
        (_, true) => parent.to_string(),
        (true, false) => key.to_string(),
        (false, false) => format!("{parent}.{key}"),
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let text =
            if self.key.is_empty() { self.fault.clone() } else { format!("{}: {}", self.key, self.fault) };
        f.write_str(&text.replace(['\n', '\r'], " "))
    }
}

impl std::error::Error for Error {}

/// All faults that were found, at least one; shown on one line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Faults(Vec<Error>);

impl Faults {
    /// The value where nothing was at fault.
    pub fn unless<T>(faults: Vec<Error>, value: impl FnOnce() -> T) -> Result<T, Faults> {
        if faults.is_empty() { Ok(value()) } else { Err(Faults(faults)) }
    }

    /// The faults, one after the other.
    pub fn iter(&self) -> std::slice::Iter<'_, Error> {
        self.0.iter()
    }
}

impl From<Error> for Faults {
    fn from(error: Error) -> Faults {
        Faults(vec![error])
    }
}

impl IntoIterator for Faults {
    type Item = Error;
    type IntoIter = std::vec::IntoIter<Error>;

    fn into_iter(self) -> Self::IntoIter {
        self.0.into_iter()
    }
}

impl fmt::Display for Faults {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let lines: Vec<String> = self.0.iter().map(Error::to_string).collect();
        f.write_str(&lines.join("; "))
    }
}

impl std::error::Error for Faults {}
