//! Configures the log, which is written to standard error.

use crate::cli::{Common, LogFormat};
use tracing_subscriber::EnvFilter;
use tracing_subscriber::filter::ParseError;

/// The log level if `--log` is not given and `RUST_LOG` is unset or malformed.
const DEFAULT_LEVEL: &str = "info";

/// Installs the log's filter and format for the whole process.
///
/// # Errors
/// The filter directives of `--log` are malformed.
pub fn init(options: &Common) -> Result<(), ParseError> {
    let filter = match &options.log {
        Some(directives) => EnvFilter::try_new(directives)?,
        None => EnvFilter::try_from_default_env().unwrap_or_else(|_| EnvFilter::new(DEFAULT_LEVEL)),
    };
    let subscriber = tracing_subscriber::fmt().with_env_filter(filter).with_writer(std::io::stderr);
    match options.log_format {
        LogFormat::Text => subscriber.with_ansi(false).init(),
        LogFormat::Json => subscriber.json().flatten_event(true).init(),
    }
    Ok(())
}
