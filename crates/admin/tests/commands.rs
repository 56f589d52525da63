//! Parses commands that arrive in pieces of any size, and lines that are no command.

use proptest::prelude::*;
use sorrelhaven_admin::{AdminCommand, CommandError, CommandReader, MAX_LINE_BYTES};
use sorrelhaven_lifecycle::Command;
use sorrelhaven_test_support::check_cases;

/// Passes `text` to a reader in pieces of `piece_bytes`, and returns the command that it reads.
fn feed(text: &[u8], piece_bytes: usize) -> Option<Result<AdminCommand, CommandError>> {
    let mut reader = CommandReader::default();
    let command = text.chunks(piece_bytes).find_map(|piece| reader.push(piece));
    command.or_else(|| reader.finish())
}

#[test]
fn a_command_reads_the_same_in_pieces_of_any_size() {
    let known = [
        ("ready", AdminCommand::Lifecycle(Command::Ready)),
        ("drain", AdminCommand::Lifecycle(Command::Drain)),
        ("resume", AdminCommand::Lifecycle(Command::Resume)),
        ("show-stat", AdminCommand::ShowStat),
        ("members", AdminCommand::Members),
    ];
    check_cases(
        256,
        (0usize..4, "( |\t){0,3}", "\r?\n(ready\n)?|", 1usize..40),
        |(index, space, end, piece_bytes)| {
            let (name, command) = known[index];
            let text = format!("{space}{name}{space}{end}");
            prop_assert_eq!(feed(text.as_bytes(), piece_bytes), Some(Ok(command)));
            Ok(())
        },
    );
    check_cases(256, (prop::collection::vec(any::<u8>(), 0..600), 1usize..300), |(bytes, piece_bytes)| {
        let line = bytes.split(|&byte| byte == b'\n').next().unwrap_or_default();
        match feed(&bytes, piece_bytes) {
            None => prop_assert!(bytes.is_empty()),
            Some(Err(CommandError::TooLong)) => prop_assert!(line.len() > MAX_LINE_BYTES),
            Some(Err(CommandError::Unknown(_))) => prop_assert!(line.len() <= MAX_LINE_BYTES + 1),
            other => prop_assert!(false, "{:?} gave {:?}", bytes, other),
        }
        Ok(())
    });
}

#[test]
fn an_endless_line_is_rejected_at_its_bound_and_an_unknown_command_is_quoted_on_one_line() {
    let mut reader = CommandReader::default();
    let pushed = (1..).find(|_| reader.push(b"a").is_some()).expect("the endless line is rejected");
    assert_eq!(pushed, MAX_LINE_BYTES + 2);
    let unknown = feed(b"Ready\n", 9).expect("the line has ended").expect_err("\"Ready\" is not a command");
    assert!(
        unknown.to_string().contains("\"Ready\"; there are ready, show-stat, drain, resume"),
        "{unknown}"
    );
    let control_bytes = feed(b"a\x00\xff\x1b\rb\n", 9)
        .expect("the line has ended")
        .expect_err("a line of control characters is not a command")
        .to_string();
    assert!(control_bytes.chars().all(|character| !character.is_control()), "{control_bytes}");
    assert_eq!(feed(b"", 1), None, "a client that disconnects without a command gets no reply");
}

/// Guards against a line that can't be read being cut until it drains the node, and against bytes being replaced in the
/// answer. The operators' page: "Each connection carries one line", a call by its name.
#[test]
fn a_line_with_other_bytes_around_a_command_is_no_command() {
    for outside in [&b"\xc2\xa0"[..], b"\x0c", b"\x0b", b"\0", b"\xff", b"\r"] {
        let spoiled = [[outside, b"drain"].concat(), [b"drain", outside].concat()];
        for line in spoiled {
            let command = feed(&[b"\t", &line[..], b" \r\n"].concat(), 100);
            let quoted = line.escape_ascii().to_string();
            assert_eq!(command, Some(Err(CommandError::Unknown(quoted))));
        }
    }
}
