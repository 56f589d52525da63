//! The environment variables that configure the program, and the command line's overrides of them.

use std::path::PathBuf;

/// Names the platform's configuration file.
const PLATFORM_FILE: &str = "RELAY_CONFIG";
/// Names the operators' configuration file.
const OPERATOR_FILE: &str = "SORRELHAVEN_OPERATOR";

/// The process's environment, in which files named on the command line replace the variables.
#[derive(Clone, Debug, Default)]
pub struct Environment {
    platform_file: Option<String>,
    operator_file: Option<String>,
}

impl Environment {
    /// The process's environment with these files; `None` keeps a variable's own value.
    pub fn new(platform_file: Option<&PathBuf>, operator_file: Option<&PathBuf>) -> Environment {
        let text = |path: &PathBuf| path.to_string_lossy().into_owned();
        Environment { platform_file: platform_file.map(text), operator_file: operator_file.map(text) }
    }

    /// The value of a variable; `None` where it is not set.
    pub fn get(&self, name: &str) -> Option<String> {
        let replacement = match name {
            PLATFORM_FILE => self.platform_file.clone(),
            OPERATOR_FILE => self.operator_file.clone(),
            _ => None,
        };
        replacement.or_else(|| std::env::var(name).ok())
    }
}
