//! Reading the platform's file: defaults, precedence of environment variables, reloads, and the key that each
//! error names.

use sorrelhaven_config::{Config, settings_from_json};
use sorrelhaven_dispatcher::{DedupScope, Idempotency};

const SETTINGS: &str = r#"{"balancers":2,"me":1,"zones":["a","b"],"zone":1,"kinds":["k"],"new":{"x":[1]},
    "ceilings":{"maxAttempts":3,"maxRetryAfter":2000000},"invariants":{},
    "grades":[{"name":"fee","aim":1000,"deadline":5000000,"effect":"at_most_once"},
        {"name":"issue","aim":1000,"deadline":5000000,"effect":"deduplicated","dedupScope":"cell","repeatWindow":9}]}"#;

fn file(settings: &str) -> String {
    let host =
        r#"{"host":"s-1","dial":"10.1.0.18:8080","site":"b","class":"k","health":"in_service","born_ms":7}"#;
    let known = format!(r#"{{"seq":4,"hosts":[{host}]}}"#);
    format!(
        r#"{{"name":"n","listen":"10.0.0.4:1","discovery":"10.2.0.1:2","seed":"1f","known":{known},"settings":{settings}}}"#
    )
}

fn error_of(text: &str) -> String {
    Config::parse(text, |_| None).expect_err("the file is invalid").to_string()
}

#[test]
fn missing_keys_have_defaults_and_unknown_keys_are_ignored() {
    let config = Config::parse(&file(SETTINGS), |_| None).expect("the file is valid");
    assert_eq!((config.seed, config.max_descriptors, config.idle_timeout), (0x1f, 1024, 15_000_000));
    assert_eq!((config.drain_grace, config.max_list_staleness), (1_000_000, 10_000_000));
    assert_eq!(
        config.settings.limits.max_retry_after, 0,
        "without the setting retryAfter no Retry-After is sent"
    );
    assert_eq!(
        config.settings.classes[1].idempotency,
        Idempotency::Keyed { scope: DedupScope::Cell, window: 9 }
    );
    assert_eq!(
        config.classes.iter().map(|class| class.requires_idempotency_key).collect::<Vec<_>>(),
        [false, true]
    );
}

#[test]
fn start_times_are_microseconds_of_unix_time() {
    let config = Config::parse(&file(SETTINGS), |_| None).expect("the file is valid");
    let entry = config.known_workers.workers[0]
        .entry(sorrelhaven_dispatcher::WorkerId(3), &config.names)
        .expect("the worker is valid");
    assert_eq!((entry.started_at, entry.zone, entry.kind), (7_000, 1, 0));
}

#[test]
fn the_environment_takes_precedence_over_the_file() {
    let env = |name: &str| (name == "RELAY_LISTEN").then(|| "127.0.0.1:9".to_string());
    let config = Config::parse(&file(SETTINGS), env).expect("the file and the variable are valid");
    assert_eq!((config.listen.port(), config.name.as_str()), (9, "n"));
    let env = |name: &str| (name == "RELAY_LISTEN").then(|| "here".to_string());
    let error = Config::parse(&file(SETTINGS), env).expect_err("the variable is no address").to_string();
    assert!(error.starts_with("RELAY_LISTEN: "), "{error}");
}

/// An invalid file must leave the running configuration unchanged, rather than be applied in part.
#[test]
fn a_reload_applies_discovery_and_limits_and_names_the_keys_that_need_a_restart() {
    let path = std::env::temp_dir().join(format!("sorrelhaven-reload-{}.json", std::process::id()));
    let env = |name: &str| match name {
        "RELAY_CONFIG" => Some(path.display().to_string()),
        // Takes precedence over the file until the file's address changes.
        "RELAY_DISCOVERY" => Some("10.2.0.1:9".to_string()),
        _ => None,
    };
    let write = |text: &str| std::fs::write(&path, text).expect("the temporary file is written");
    let first = file(SETTINGS);
    write(&first);
    let mut config = Config::load(env).expect("the file is valid");
    assert_eq!(config.reloaded(env).expect("the unchanged file is valid").1, [""; 0]);
    assert_eq!(config.discovery.port(), 9, "with an unchanged file the variable keeps its precedence");

    let new_address = first.replace("10.2.0.1:2", "10.2.0.1:3");
    for invalid in ["{", &new_address.replace("10.2.0.1:3", "there"), &new_address.replace("\"fee\"", "7")] {
        write(invalid);
        config.reloaded(env).expect_err("the file is invalid");
        assert_eq!(
            (config.discovery.port(), config.max_descriptors),
            (9, 1024),
            "an invalid file does not change the configuration"
        );
    }
    let limits = "\"limits\":{\"sockets\":300},\"seed\":\"2f\"";
    write(&new_address.replace("\"seed\":\"1f\"", limits));
    for _ in 0..2 {
        let (next, restart_keys) = config.reloaded(env).expect("the file is valid");
        assert_eq!(restart_keys, ["seed"]);
        config = next;
        assert_eq!((config.discovery.port(), config.max_descriptors, config.seed), (3, 300, 0x1f));
    }
    std::fs::remove_file(&path).expect("the temporary file exists");
}

#[test]
fn every_error_names_its_key() {
    let cases = [
        ("\"balancers\":2", "\"balancers\":1", "settings.me: "),
        ("\"zone\":1", "\"zone\":2", "settings.zone: "),
        ("\"dedupScope\":\"cell\"", "\"dedupScope\":\"rack\"", "settings.grades[1].dedupScope: "),
        ("\"deadline\":5000000", "\"deadline\":0", "settings.grades[0].deadline: "),
        ("\"aim\":1000", "\"aim\":\"soon\"", "settings.grades[0].aim: "),
        ("\"maxAttempts\":3", "\"maxAttempts\":0", "settings.ceilings.maxAttempts: "),
        ("\"invariants\":{}", "\"invariants\":{\"startCapacity\":2}", "settings.invariants.startCapacity: "),
        ("\"name\":\"issue\",", "", "settings.grades[1].name: "),
    ];
    for (valid, invalid, key) in cases {
        assert!(SETTINGS.contains(valid), "{valid}");
        let error = error_of(&file(&SETTINGS.replacen(valid, invalid, 1)));
        assert!(error.starts_with(key), "{error}");
    }
    let error = error_of(&file(SETTINGS).replace("\"site\":\"b\"", "\"site\":\"c\""));
    assert!(error.starts_with("known.hosts[0].site: "), "{error}");
    let error =
        error_of(&file(SETTINGS).replace("\"name\":\"n\",", "\"limits\":{\"sockets\":8},\"name\":\"n\","));
    assert!(error.starts_with("limits.sockets: "), "{error}");
    assert!(!error_of("{\n\"name\":\n}").contains('\n'), "the error is displayed on one line");
}

/// Serde takes the type's name in these texts from the source by default, so that renaming a type would change
/// what `sorrelhaven check` prints.
#[test]
fn a_worker_that_is_not_an_object_is_an_error_with_a_fixed_text() {
    for (worker, found) in [("null", "null"), ("\"s-1\"", "string \"s-1\""), ("7", "integer `7`")] {
        let text = file(SETTINGS).replace("\"hosts\":[", &format!("\"hosts\":[{worker},"));
        assert_eq!(
            error_of(&text),
            format!("known.hosts[0]: invalid type: {found}, expected struct DiscoveryHost")
        );
    }
    assert_eq!(
        error_of(&file(SETTINGS).replace("\"hosts\":[", "\"hosts\":[[],")),
        "known.hosts[0]: invalid length 0, expected struct DiscoveryHost with 8 elements"
    );
}

#[test]
fn errors_in_the_simulators_settings_name_the_same_keys_below_its_own() {
    let settings = SETTINGS.replace("at_most_once", "often");
    let error = settings_from_json("conf", serde_json::from_str(&settings).expect("the settings are JSON"))
        .expect_err("the effect is unknown");
    assert_eq!(error.to_string(), "conf.grades[0].effect: unknown effect \"often\"");
}
