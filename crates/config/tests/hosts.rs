//! Fields of discovery's list: what they may hold.

use sorrelhaven_config::{DiscoveryList, ZoneAndKindNames, stable_hash};
use sorrelhaven_dispatcher::WorkerId;

/// White space of Unicode: no-break space, next line, en quad, line separator, ideographic space.
const UNICODE_SPACES: [&str; 5] = ["\u{a0}", "\u{85}", "\u{2000}", "\u{2028}", "\u{3000}"];
const SOUND_LIST: &str = r#"{"seq":41,"whole":true,"hosts":[{"host":"s-1","dial":"10.1.0.18:8080","site":"a",
    "class":"m2","block":3,"health":"in_service","share":1.0,"born_ms":5}]}"#;

fn names() -> ZoneAndKindNames {
    ZoneAndKindNames { zones: vec!["a".into(), "b".into()], kinds: vec!["m1".into(), "m2".into()] }
}

/// Whether a list can be read and all its entries are valid.
fn is_accepted(text: &[u8]) -> bool {
    DiscoveryList::read(text).is_ok_and(|list| list.check(&names()).is_ok())
}

/// Guards against a field that can't be read being cut until it names another address, zone, kind or state. The
/// protocol: `health` is `in_service`, `terminating` or `terminated`; `dial` is an address with a port.
#[test]
fn a_list_with_a_field_that_cannot_be_read_is_refused() {
    assert!(is_accepted(SOUND_LIST.as_bytes()));
    for value in ["10.1.0.18:8080", "a", "m2", "in_service"] {
        for space in UNICODE_SPACES.into_iter().chain([" ", "\\t", "\\u0000"]) {
            for spoiled in [format!("\"{value}{space}\""), format!("\"{space}{value}\"")] {
                let text = SOUND_LIST.replace(&format!("\"{value}\""), &spoiled);
                assert_ne!(text, SOUND_LIST);
                assert!(!is_accepted(text.as_bytes()), "{text}");
            }
        }
    }
    for (sound, spoiled) in [
        ("\"seq\":41", "\"seq\":\"41\""),
        ("\"seq\":41", "\"seq\":-41"),
        ("\"seq\":41", "\"seq\":41,\"seq\":42"),
        ("\"born_ms\":5", "\"born_ms\":\"5\""),
        ("\"share\":1.0", "\"share\":NaN"),
        ("\"whole\":true", "\"whole\":\u{a0}true"),
        ("\"dial\":\"10.1.0.18:8080\"", "\"dial\":\"010.1.0.18:8080\""),
        ("\"health\":\"in_service\"", "\"health\":\"in_service\",\"health\":\"terminated\""),
    ] {
        let text = SOUND_LIST.replace(sound, spoiled);
        assert_ne!(text, SOUND_LIST);
        assert!(!is_accepted(text.as_bytes()), "{text}");
    }
}

/// Guards against bytes that are not UTF-8 being replaced in a worker's name, or skipped around the list.
#[test]
fn a_list_that_is_not_utf8_is_refused() {
    let name_end = SOUND_LIST.find("s-1").expect("the list has a name") + 3;
    for position in [0, name_end, SOUND_LIST.len()] {
        for spoiler in [&b"\xff"[..], b"\xc2"] {
            let mut text = SOUND_LIST.as_bytes().to_vec();
            text.splice(position..position, spoiler.iter().copied());
            assert!(!is_accepted(&text), "{} at {position}", spoiler.escape_ascii());
        }
    }
}

/// Guards against two workers being taken for one because their names look alike. The protocol: "Every node sees the same
/// `host`", so it is the identity of a worker.
#[test]
fn names_that_differ_in_any_byte_are_different_workers() {
    let names: Vec<String> = UNICODE_SPACES
        .iter()
        .map(|space| format!("s-1{space}"))
        .chain(["s-1 ".into(), "s-1".into()])
        .collect();
    for name in &names {
        let text = SOUND_LIST.replace("s-1", name);
        let list = DiscoveryList::read(text.as_bytes()).expect("the list is valid");
        let entry = list.workers[0].entry(WorkerId(0), &self::names()).expect("the entry is valid");
        assert_eq!(&list.workers[0].name, name);
        assert_eq!(entry.name_hash, stable_hash(name));
        assert_eq!(names.iter().filter(|other| stable_hash(*other) == entry.name_hash).count(), 1);
    }
}
