//! The log on standard error.

use crate::cli::{Common, LogFormat};
use tracing_subscriber::EnvFilter;
use tracing_subscriber::filter::ParseError;

/// The log level where neither the command line nor `RUST_LOG` sets one.
const DEFAULT_LEVEL: &str = "info";

/// Starts logging.
///
/// # Errors
/// The command line's filter directives are malformed.
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
