//! The environment variables that configure the program, and the command-line arguments that override them.

use std::fmt;
use std::path::{Path, PathBuf};

/// The variable with the path of the platform's file.
const PLATFORM_FILE: &str = "RELAY_CONFIG";
/// The variable with the path of the operators' file.
const OPERATOR_FILE: &str = "SORRELHAVEN_OPERATOR";
/// The variables that configure the program.
const VARIABLES: [&str; 7] =
    [PLATFORM_FILE, OPERATOR_FILE, "RELAY_NAME", "RELAY_LISTEN", "RELAY_DISCOVERY", "RELAY_OPS", "RELAY_FD"];

/// The value of a variable, or the path that overrides it, is not UTF-8.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NotUtf8 {
    variable: &'static str,
}

impl fmt::Display for NotUtf8 {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}: the value is not UTF-8", self.variable)
    }
}

impl std::error::Error for NotUtf8 {}

/// The process's environment variables, with [`PLATFORM_FILE`] and [`OPERATOR_FILE`] overridden by paths from
/// the command line.
#[derive(Clone, Debug, Default)]
pub struct Environment {
    platform_file: Option<String>,
    operator_file: Option<String>,
}

impl Environment {
    /// An environment with these paths. With `None` the variable of the process applies.
    ///
    /// # Errors
    /// The first value that is not UTF-8. It must not count as not set: the node would run with the default.
    pub fn new(
        platform_file: Option<&PathBuf>,
        operator_file: Option<&PathBuf>,
    ) -> Result<Environment, NotUtf8> {
        for variable in VARIABLES {
            if std::env::var_os(variable).is_some_and(|value| value.to_str().is_none()) {
                return Err(NotUtf8 { variable });
            }
        }
        Ok(Environment {
            platform_file: path_text(platform_file, PLATFORM_FILE)?,
            operator_file: path_text(operator_file, OPERATOR_FILE)?,
        })
    }

    /// The value of a variable; `None` if it is not set.
    pub fn get(&self, name: &str) -> Option<String> {
        let override_path = match name {
            PLATFORM_FILE => self.platform_file.clone(),
            OPERATOR_FILE => self.operator_file.clone(),
            _ => None,
        };
        override_path.or_else(|| std::env::var(name).ok())
    }
}

/// The text of a path that overrides `variable`.
fn path_text(path: Option<&PathBuf>, variable: &'static str) -> Result<Option<String>, NotUtf8> {
    let text = |path: &PathBuf| Path::to_str(path).map(str::to_string).ok_or(NotUtf8 { variable });
    path.map(text).transpose()
}
