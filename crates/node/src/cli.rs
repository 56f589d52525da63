//! The command line. The doc comments on its types and fields are the text of `--help`.

use crate::environment::{Environment, NotUtf8};
use clap::{Args, Parser, Subcommand, ValueEnum};
use std::path::PathBuf;

/// A node that hands jobs to executors.
///
/// Without a command it runs, as `sorrelhaven run` does.
#[derive(Parser)]
#[command(name = "sorrelhaven", version, args_conflicts_with_subcommands = false)]
pub struct Cli {
    #[command(subcommand)]
    command: Option<Command>,
    /// What is common to all commands.
    #[command(flatten)]
    pub common: Common,
}

/// What is common to all commands.
#[derive(Args)]
pub struct Common {
    /// The operators' file, JSON; `sorrelhaven schema` prints its form.
    #[arg(long, global = true, env = "SORRELHAVEN_OPERATOR", value_name = "FILE")]
    pub operator: Option<PathBuf>,
    /// The form of the log on standard error.
    #[arg(long, global = true, value_enum, default_value_t = LogFormat::Text, value_name = "FORMAT")]
    pub log_format: LogFormat,
    /// What the log holds: a level (error, warn, info, debug, trace) or directives such as
    /// `info,module=debug`. RUST_LOG stands in for it; without either it is `info`.
    #[arg(long, global = true, value_name = "LEVEL")]
    pub log: Option<String>,
}

/// The form of the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum LogFormat {
    /// A line of text for each event.
    Text,
    /// A JSON object on a line for each event.
    Json,
}

/// What to do.
#[derive(Clone, Subcommand)]
pub enum Command {
    /// Serve, with the platform's file that RELAY_CONFIG names.
    Run,
    /// Read both files and say what is wrong with them, a line for each fault, or what holds.
    ///
    /// Exits with 2 where anything is wrong.
    Check {
        /// The platform's file; without it the one that RELAY_CONFIG names.
        config: Option<PathBuf>,
    },
    /// Print the JSON Schema of the operators' file.
    Schema,
}

impl Cli {
    /// The command on the command line, or `run` without one.
    pub fn command(&self) -> Command {
        self.command.clone().unwrap_or(Command::Run)
    }

    /// The environment variables, with `RELAY_CONFIG` and `SORRELHAVEN_OPERATOR` overridden by the paths on
    /// the command line.
    ///
    /// # Errors
    /// See [`Environment::new`].
    pub fn environment(&self) -> Result<Environment, NotUtf8> {
        let platform_file = match &self.command {
            Some(Command::Check { config }) => config.as_ref(),
            Some(Command::Run | Command::Schema) | None => None,
        };
        Environment::new(platform_file, self.common.operator.as_ref())
    }
}
