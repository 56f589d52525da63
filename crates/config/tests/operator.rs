//! Reading the operators' file: defaults, unknown keys, values that contradict each other, and the key that
//! each error names.

use sorrelhaven_config::{Config, ConfigErrors, NotStoredPolicy, OperatorSettings};

/// The errors of reading and checking a file, for a process that may use 64 MB.
fn errors(text: &str) -> Vec<String> {
    let checked = OperatorSettings::parse(text)
        .and_then(|operator| ConfigErrors::ok_if_empty(operator.check(64), || operator));
    checked.err().into_iter().flatten().map(|error| error.to_string()).collect()
}

#[test]
fn an_empty_file_has_every_default() {
    let operator = OperatorSettings::parse("{}").expect("an empty object is valid");
    assert_eq!(operator, OperatorSettings::default());
    assert_eq!(
        (operator.bodies.largest_bytes, operator.bodies.not_stored),
        (65_536, NotStoredPolicy::Stream)
    );
    assert_eq!(operator.bodies.files.directory, None, "without a directory no bodies are stored in files");
    assert_eq!(operator.check(32), [], "the defaults fit into the least memory that a node may have");
}

/// The example and the schema in `deploy` must change whenever a key or a default does.
#[test]
fn the_example_and_the_schema_in_deploy_are_those_of_the_program() {
    let read = |name: &str| {
        let path = std::path::Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy").join(name);
        std::fs::read_to_string(path).expect("the file is in deploy")
    };
    let example = read("operator.example.json");
    assert_eq!(OperatorSettings::parse(&example).expect("the example is valid"), OperatorSettings::default());
    let written: serde_json::Value = serde_json::from_str(&example).expect("the example is JSON");
    assert_eq!(
        written,
        serde_json::to_value(OperatorSettings::default()).expect("settings can be serialized"),
        "the example holds every key"
    );
    assert_eq!(read("operator.schema.json").trim(), OperatorSettings::schema().trim());
}

#[test]
fn an_unknown_key_is_an_error_that_suggests_the_most_similar() {
    assert_eq!(
        errors(r#"{"bodies":{"memory":{"each_byte":1}}}"#),
        ["bodies.memory.each_byte: unknown key; did you mean \"each_bytes\"?"]
    );
    assert_eq!(errors(r#"{"xyzzy":1}"#), ["xyzzy: unknown key; known are bodies, membership"]);
}

/// Serde takes the type's name in these texts from the source by default, so that renaming a type would change
/// what `sorrelhaven check` prints.
#[test]
fn a_value_of_another_type_than_an_object_is_an_error_with_a_fixed_text() {
    assert_eq!(
        errors(r#"{"membership":null}"#),
        ["membership: invalid type: null, expected struct Membership"]
    );
    assert_eq!(
        errors(r#"{"membership":"on"}"#),
        [r#"membership: invalid type: string "on", expected struct Membership"#]
    );
    assert_eq!(errors("7"), ["invalid type: integer `7`, expected struct Operator"]);
    assert_eq!(errors("null"), ["invalid type: null, expected struct Operator"]);
}

/// Deserialization stops at the first error, but one run must report them all.
#[test]
fn all_errors_are_found_at_once() {
    let text = r#"{"bodies":{"largest_bytes":"big","unkept":"drop","memory":{"total_bytes":-1,"each":1}}}"#;
    let found = errors(text);
    let keys: Vec<&str> =
        found.iter().map(|error| error.split(": ").next().expect("the error names a key")).collect();
    assert_eq!(
        keys,
        ["bodies.memory.each", "bodies.largest_bytes", "bodies.memory.total_bytes", "bodies.unkept"],
        "{found:?}"
    );
}

#[test]
fn settings_that_contradict_each_other_are_errors() {
    let cases = [
        (r#""memory":{"each_bytes":9,"total_bytes":8}"#, "bodies.memory.each_bytes: 9 is over"),
        (r#""memory":{"total_bytes":41943041}"#, "bodies.memory.total_bytes: 41943041 is over 41943040"),
        (r#""slowest_bytes_per_s":0"#, "bodies.slowest_bytes_per_s: 0 "),
        (r#""largest_bytes":1099511627777"#, "bodies.largest_bytes: 1099511627777 is over"),
        (r#""unkept":"refuse","largest_bytes":65537"#, "bodies.largest_bytes: 65537 is over 65536"),
        (
            r#""files":{"directory":"/tmp","each_bytes":9},"memory":{"each_bytes":10}"#,
            "bodies.files.each_bytes: 9 is under",
        ),
        (r#""files":{"directory":"/tmp","total_bytes":9}"#, "bodies.files.each_bytes: 16777216 is over"),
    ];
    for (body, expected) in cases {
        let found = errors(&format!("{{\"bodies\":{{{body}}}}}"));
        assert!(found.len() == 1 && found[0].starts_with(expected), "{body}: {found:?}");
    }
    assert_eq!(
        errors(r#"{"bodies":{"files":{"each_bytes":9}}}"#),
        [""; 0],
        "the size of files is not checked if no directory is set"
    );
}

/// The platform's file and the operators' file are both invalid; the error of a missing operators' file names
/// the variable.
#[test]
fn the_errors_of_both_files_are_reported_together() {
    let dir = std::env::temp_dir().join(format!("sorrelhaven-both-{}", std::process::id()));
    std::fs::create_dir_all(&dir).expect("the temporary directory is created");
    let path = |name: &str| dir.join(name).display().to_string();
    std::fs::write(path("p"), r#"{"listen":"here","settings":{}}"#).expect("the file is written");
    std::fs::write(path("o"), r#"{"bodys":{}}"#).expect("the file is written");
    let load = |operator: &str| {
        let (platform, operator) = (path("p"), path(operator));
        let env = move |name: &str| match name {
            "RELAY_CONFIG" => Some(platform.clone()),
            "SORRELHAVEN_OPERATOR" => Some(operator.clone()),
            _ => None,
        };
        let errors = Config::load(env).expect_err("both files are invalid");
        errors.iter().map(|error| error.key().to_string()).collect::<Vec<_>>()
    };
    assert_eq!(load("o"), ["name", "listen", "discovery", "seed", "settings", "bodys"]);
    assert_eq!(load("none").last().expect("there are errors"), "SORRELHAVEN_OPERATOR");
    std::fs::remove_dir_all(&dir).expect("the temporary directory exists");
}

/// Membership is off by default. If it is on, a missing or invalid value is an error that names its key.
#[test]
fn membership_is_off_or_complete() {
    assert_eq!(OperatorSettings::default().membership.join_parameters(), Ok(None));
    let dir = std::env::temp_dir().join(format!("sorrelhaven-key-{}", std::process::id()));
    std::fs::create_dir_all(&dir).expect("the temporary directory is created");
    let key = |name: &str, text: &str| {
        std::fs::write(dir.join(name), text).expect("the key file is written");
        format!("{:?}", dir.join(name).display().to_string())
    };
    let (good, short) = (key("good", " sixteen bytes or more\n"), key("short", "short\n"));
    let cases = [
        (r#""listen":"here""#.to_string(), "membership.listen: \"here\" is not an address"),
        (r#""listen":"127.0.0.1:1""#.to_string(), "membership.key_file: missing"),
        (format!(r#""listen":"127.0.0.1:1","key_file":{short}"#), "membership.key_file: a key of 5 bytes"),
        (format!(r#""listen":"127.0.0.1:1","key_file":{good},"seeds":["x"]"#), "membership.seeds[0]: \"x\""),
        (r#""probe_period_ms":60001"#.to_string(), "membership.probe_period_ms: 60001 is not in 50 to"),
        (r#""probe_rtt_ms":500"#.to_string(), "membership.probe_rtt_ms: 500 is not in 5 to 499"),
        (r#""indirect":0"#.to_string(), "membership.indirect: 0 is not in 1 to 16"),
        (r#""lisen":null"#.to_string(), "membership.lisen: unknown key; did you mean \"listen\"?"),
    ];
    for (body, expected) in &cases {
        let found = errors(&format!("{{\"membership\":{{{body}}}}}"));
        assert!(found.len() == 1 && found[0].starts_with(expected), "{body}: {found:?}");
    }
    let complete =
        format!(r#"{{"membership":{{"listen":"127.0.0.1:1","key_file":{good},"seeds":["127.0.0.1:2"]}}}}"#);
    let peers = OperatorSettings::parse(&complete)
        .expect("the file has the right form")
        .membership
        .join_parameters()
        .expect("the membership settings are valid")
        .expect("membership is on");
    assert_eq!((peers.key.as_slice(), peers.seeds.len()), (b"sixteen bytes or more".as_slice(), 1));
    std::fs::remove_dir_all(&dir).expect("the temporary directory exists");
}
