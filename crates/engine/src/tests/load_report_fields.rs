//! Tests the parsing of load reports.

use crate::load_report::LoadReportFields;

fn parse(text: &str) -> Option<Vec<f64>> {
    LoadReportFields::new(vec!["x0".into(), "util".into()]).parse_text(text.as_bytes())
}

#[test]
fn values_are_in_the_order_of_the_fields() {
    assert_eq!(parse(r#" {"util":0.61,"x0":2} "#), Some(vec![2.0, 0.61]));
    let partial = parse(r#"{"util":0}"#).expect("one field makes a valid report");
    assert!(partial[0].is_nan() && partial[1] == 0.0);
}

#[test]
fn a_malformed_report_is_none() {
    let malformed = [
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
    for text in malformed {
        assert_eq!(parse(text), None, "malformed report: {text:?}");
    }
    assert_eq!(
        LoadReportFields::new(Vec::new()).parse_text(br#"{"x0":2}"#),
        None,
        "without fields in the settings every report is malformed"
    );
}
