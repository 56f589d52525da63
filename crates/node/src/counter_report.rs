//! The line of counters that the program prints to standard error on SIGUSR1 and before it exits.

use crate::cli::LogFormat;
use serde_json::{Map, Value, json};

/// Formats counters on one line, by the log's format as `sorrelhaven: name=count ...` or as a JSON object.
pub fn counter_report(format: LogFormat, counters: impl Iterator<Item = (&'static str, u64)>) -> String {
    match format {
        LogFormat::Text => {
            let fields: Vec<String> = counters.map(|(name, count)| format!("{name}={count}")).collect();
            format!("sorrelhaven: {}", fields.join(" "))
        }
        LogFormat::Json => {
            let fields: Map<String, Value> =
                counters.map(|(name, count)| (name.to_string(), count.into())).collect();
            json!({ "counters": fields }).to_string()
        }
    }
}
