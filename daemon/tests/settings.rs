//! `saddleraild --check` rejects invalid settings files and names the place of the error.

use std::path::Path;
use std::process::Command;

/// The first line of each file holds the expected message after `# expect: `.
fn rejects_invalid_settings(path: &Path) -> datatest_stable::Result<()> {
    let text = std::fs::read_to_string(path)?;
    let expected = text.lines().next().and_then(|l| l.strip_prefix("# expect: "));
    let expected = expected.ok_or("expected `# expect: MESSAGE` in the first line")?;

    let run = Command::new(env!("CARGO_BIN_EXE_saddleraild"))
        .args(["--check", "--settings"])
        .arg(path)
        .output()?;

    let stderr = String::from_utf8(run.stderr)?;
    assert_eq!(run.status.code(), Some(2), "{stderr}");
    let place = format!("{}:", path.display());
    assert!(
        stderr.contains(&place) && stderr.contains(expected),
        "expected {place} and {expected} in: {stderr}"
    );
    Ok(())
}

/// The example settings files are valid.
fn accepts_example_settings(path: &Path) -> datatest_stable::Result<()> {
    let run = Command::new(env!("CARGO_BIN_EXE_saddleraild"))
        .args(["--check", "--settings"])
        .arg(path)
        .output()?;
    assert!(run.status.success(), "{}", String::from_utf8_lossy(&run.stderr));
    Ok(())
}

datatest_stable::harness! {
    { test = rejects_invalid_settings, root = "tests/fixtures/refused", pattern = r"\.yaml$" },
    { test = accepts_example_settings, root = "../examples", pattern = r"vm-.*\.yaml$" },
}
