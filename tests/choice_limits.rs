//! The decision module stays short enough to be read aloud.

#[test]
fn the_decision_module_keeps_its_limits() {
    let text = std::fs::read_to_string(concat!(env!("CARGO_MANIFEST_DIR"), "/src/choice.rs")).unwrap();
    let lines = text.lines().filter(|line| !line.trim().is_empty()).count();
    assert!(lines <= 1060, "{lines} non-blank lines");
    let widest = text.lines().map(|line| line.chars().count()).max().unwrap_or(0);
    assert!(widest <= 110, "{widest} columns");
}
