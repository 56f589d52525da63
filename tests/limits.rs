//! The size that the operators' auditor accepts for the decision module: all files under `policy` together.

#[test]
fn decision_module_keeps_its_line_limits() {
    let files = [include_str!("../src/rules.rs"), include_str!("../src/record.rs")];
    let lines: usize = files.iter().map(|f| f.lines().filter(|l| !l.trim().is_empty()).count()).sum();
    assert!(lines <= 1_000, "{lines} lines");
    for (i, line) in files.iter().flat_map(|f| f.lines().enumerate()) {
        assert!(line.chars().count() <= 110, "line {} is too long", i + 1);
    }
}
