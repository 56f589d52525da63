//! The environment variables that configure the program, and the command-line arguments that override them.

use std::path::PathBuf;

/// The variable with the path of the platform's file.
const PLATFORM_FILE: &str = "RELAY_CONFIG";
/// The variable with the path of the operators' file.
const OPERATOR_FILE: &str = "SORRELHAVEN_OPERATOR";

/// The process's environment variables, with [`PLATFORM_FILE`] and [`OPERATOR_FILE`] overridden by paths from
/// the command line.
#[derive(Clone, Debug, Default)]
pub struct Environment {
    platform_file: Option<String>,
    operator_file: Option<String>,
}

impl Environment {
    /// An environment with these paths. With `None` the variable of the process applies.
    pub fn new(platform_file: Option<&PathBuf>, operator_file: Option<&PathBuf>) -> Environment {
        let text = |path: &PathBuf| path.to_string_lossy().into_owned();
        Environment { platform_file: platform_file.map(text), operator_file: operator_file.map(text) }
    }

    /// The value of a variable; `None` if it is not set or is not UTF-8.
    pub fn get(&self, name: &str) -> Option<String> {
        let override_path = match name {
            PLATFORM_FILE => self.platform_file.clone(),
            OPERATOR_FILE => self.operator_file.clone(),
            _ => None,
        };
        override_path.or_else(|| std::env::var(name).ok())
    }
}
