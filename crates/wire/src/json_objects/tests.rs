//! Splitting text into JSON objects: layout of white space, truncated objects, and limits of size and depth.

use super::JsonObjectSplitter;
use crate::error::WireError;
use proptest::prelude::*;
use sorrelhaven_test_support::check_cases;

/// Returns the objects in a text, or the first error.
fn split(text: &str, max_object_bytes: usize) -> Result<Vec<String>, WireError> {
    let mut splitter = JsonObjectSplitter::new(max_object_bytes);
    let mut objects = Vec::new();
    for byte in text.bytes() {
        objects.extend(
            splitter
                .push(byte)?
                .map(|object| String::from_utf8(object).expect("a split of UTF-8 text is UTF-8")),
        );
    }
    if splitter.is_inside_object() { Err(WireError::Closed) } else { Ok(objects) }
}

#[test]
fn objects_on_one_line_or_several_are_split() {
    let text = "\r\n{\"a\":1}\n\n{\r\n  \"b \\\"}\": [\n\t{ },\n\t{\"c\": true}\n  ]\n}\n{}{\"d\":-1e5}\n";
    let all = ["{\"a\":1}", "{\"b \\\"}\":[{},{\"c\":true}]}", "{}", "{\"d\":-1e5}"];
    assert_eq!(split(text, 100), Ok(all.map(String::from).to_vec()));
}

#[test]
fn a_truncated_object_or_another_value_is_an_error_at_once() {
    let malformed =
        ["{\"seq\":6,\n\n", "{\"seq\":6,\n{\"seq\":7", "{\"name\":\"s-\n", "{\"a\":[1,2}", "}", "[", "7"];
    for text in malformed {
        assert_eq!(split(text, 100), Err(WireError::Malformed), "{text:?}");
    }
    assert_eq!(split("{\"a\":1 2}", 100), Err(WireError::Malformed));
    assert_eq!(split(&"{\"a\":[".repeat(40), 1000), Err(WireError::Malformed));
    assert_eq!(split("{\"a\":", 100), Err(WireError::Closed));
    assert_eq!(split("{ \"a\" :\n 12 }", 8), Ok(vec!["{\"a\":12}".to_string()]));
    assert_eq!(split("{\"a\":123}", 8), Err(WireError::BodyTooLarge));
}

/// Generates JSON values that are nested up to four levels.
fn value() -> impl Strategy<Value = serde_json::Value> {
    let leaf = prop_oneof![
        Just(serde_json::Value::Null),
        any::<bool>().prop_map(Into::into),
        any::<i64>().prop_map(Into::into),
        "[ -~\\n\"\\\\{}\\[\\]]{0,12}".prop_map(Into::into),
    ];
    leaf.prop_recursive(4, 24, 4, |inner| {
        prop_oneof![
            prop::collection::vec(inner.clone(), 0..4).prop_map(Into::into),
            prop::collection::btree_map("[ -~]{0,6}", inner, 0..4)
                .prop_map(|members| serde_json::Value::Object(members.into_iter().collect())),
        ]
    })
}

#[test]
fn objects_are_the_same_in_any_layout() {
    check_cases(300, prop::collection::vec((value(), any::<bool>()), 0..6), |objects| {
        let mut text = String::new();
        let mut compact = Vec::new();
        for (value, indented) in objects {
            let object = serde_json::json!({ "v": value });
            text += &if indented { format!("{object:#}\n\n") } else { format!("{object}\n") };
            compact.push(object.to_string());
        }
        prop_assert_eq!(split(&text, usize::MAX), Ok(compact));
        Ok(())
    });
}
