//! Load reports: what a worker states of its load in the response that ends an attempt.
//!
//! A report is old, late and noisy, and no part of the result: a malformed one is counted and dropped, and
//! the response stands.

use serde_json::Value;

/// No worker's load is greater than this, whatever the field's unit.
const MAX_LOAD: f64 = 1e9;

/// The fields of a load report, in the order in which the dispatcher takes them.
pub struct LoadReportFields(Vec<String>);

impl LoadReportFields {
    /// The fields named in the settings; none where the deployment has no reports.
    pub fn new(names: Vec<String>) -> LoadReportFields {
        LoadReportFields(names)
    }

    /// Parses a report in a response's header; `None` where it is malformed.
    pub fn parse_text(&self, text: &str) -> Option<Vec<f64>> {
        self.parse_value(&serde_json::from_str(text).ok()?)
    }

    /// Parses a report in a job line: a number for each field, NaN for one that is absent.
    ///
    /// Returns `None` where the report is malformed: no object, empty, with an unknown field, or with a value
    /// that is no number from 0 to 1e9.
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
