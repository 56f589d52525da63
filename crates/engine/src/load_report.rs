//! Parses load reports: the load that a worker states in the response that ends an attempt.
//!
//! A report is imprecise, delayed, and no part of the result. A malformed one is counted and dropped, and
//! does not affect the response.

use serde_json::Value;

/// The greatest valid value of any field, in the field's own unit.
const MAX_LOAD: f64 = 1e9;

/// The names of the fields of a load report, in the order in which the dispatcher expects their values.
pub struct LoadReportFields(Vec<String>);

impl LoadReportFields {
    /// Creates a parser for the fields named in the settings. Without fields, every report is malformed.
    pub fn new(names: Vec<String>) -> LoadReportFields {
        LoadReportFields(names)
    }

    /// Parses the JSON text of a report in a response header; `None` if it is malformed.
    pub fn parse_text(&self, text: &[u8]) -> Option<Vec<f64>> {
        self.parse_value(&serde_json::from_slice(text).ok()?)
    }

    /// Parses a report in a job line. Returns the value of each field, NaN for an absent one.
    ///
    /// Returns `None` if the report is malformed: not an object, an empty one, an unknown field, or a value
    /// that is not a number from 0 to 1e9.
    pub fn parse_value(&self, load: &Value) -> Option<Vec<f64>> {
        let load = load.as_object()?;
        if load.is_empty() {
            return None;
        }
        let mut report = vec![f64::NAN; self.0.len()];
        for (name, value) in load {
            let index = self.0.iter().position(|field| field == name)?;
            let number = value.as_f64()?;
            if !(0.0..=MAX_LOAD).contains(&number) {
                return None;
            }
            report[index] = number;
        }
        Some(report)
    }
}
