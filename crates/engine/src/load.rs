//! Load reports: what an executor says of its load in the answer that ends an attempt.
//!
//! A report is old, late and noisy, and no part of the answer: one that does not read is counted and dropped, and the
//! answer stands.

use serde_json::{Map, Value};

/// A larger figure is no load of any executor.
const MOST: f64 = 1e9;

/// The fields of a report, in the order in which the module takes them.
pub struct Fields(Vec<String>);

impl Fields {
    /// These, by the settings; none where the deployment has no reports.
    pub fn new(names: Vec<String>) -> Fields {
        Fields(names)
    }

    /// Reads a report from an answer's header.
    pub fn text(&self, text: &str) -> Option<Vec<f64>> {
        self.object(&serde_json::from_str(text).ok()?)
    }

    /// Reads a report from a job line: a figure for each field, NaN for one that is not there. `None` for what is no
    /// object of such fields alone, or holds what is no number from 0 to 1e9.
    pub fn object(&self, load: &Value) -> Option<Vec<f64>> {
        let load: &Map<String, Value> = load.as_object()?;
        let mut report = vec![f64::NAN; self.0.len()];
        for (name, figure) in load {
            let place = self.0.iter().position(|field| field == name)?;
            report[place] = figure.as_f64().filter(|f| (0.0..=MOST).contains(f))?;
        }
        (!load.is_empty()).then_some(report)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn read(text: &str) -> Option<Vec<f64>> {
        Fields::new(vec!["x0".into(), "util".into()]).text(text)
    }

    #[test]
    fn figures_come_in_the_order_of_the_fields() {
        assert_eq!(read(r#" {"util":0.61,"x0":2} "#), Some(vec![2.0, 0.61]));
        let part = read(r#"{"util":0}"#).expect("a report");
        assert!(part[0].is_nan() && part[1] == 0.0);
    }

    #[test]
    fn what_does_not_read_is_no_report() {
        let odd = [
            "",
            "{}",
            "[2,0.61]",
            "7",
            "null",
            r#"{"x0":2"#,
            r#"{"x0":"2"}"#,
            r#"{"x0":null}"#,
            r#"{"x0":NaN}"#,
            r#"{"x0":1e999}"#,
            r#"{"x0":-1}"#,
            r#"{"x0":1e12}"#,
            r#"{"x0":2,"mood":3}"#,
            r#"{"x0":{"x0":2}}"#,
        ];
        for text in odd {
            assert_eq!(read(text), None, "{text}");
        }
        assert_eq!(
            Fields::new(Vec::new()).text(r#"{"x0":2}"#),
            None,
            "a deployment without reports has no fields"
        );
    }
}
