//! Size limits of the files with the decision logic: those listed under `policy` in deploy/balancer.toml.

use std::path::Path;

const ROOT: &str = env!("CARGO_MANIFEST_DIR");

/// Paths listed under `policy` in deploy/balancer.toml.
fn policy_files() -> Vec<String> {
    let deploy = std::fs::read_to_string(Path::new(ROOT).join("deploy/balancer.toml")).unwrap();
    let line = deploy.lines().find(|line| line.starts_with("policy = [")).unwrap();
    line.split('"').skip(1).step_by(2).map(str::to_owned).collect()
}

#[test]
fn policy_files_stay_within_line_and_column_limits() {
    let files = policy_files();
    for file in &files {
        let text = std::fs::read_to_string(Path::new(ROOT).join(file)).unwrap();
        let lines = text.lines().filter(|line| !line.trim().is_empty()).count();
        assert!(lines <= 180, "{file}: {lines} non-blank lines");
        let widest = text.lines().map(|line| line.chars().count()).max().unwrap_or(0);
        assert!(widest <= 110, "{file}: {widest} columns");
    }
    // A file missing from the list would escape the limits.
    for entry in std::fs::read_dir(Path::new(ROOT).join("src/policy")).unwrap() {
        let name = format!("src/policy/{}", entry.unwrap().file_name().to_string_lossy());
        assert!(files.contains(&name), "{name} is not listed under `policy` in deploy/balancer.toml");
    }
}
