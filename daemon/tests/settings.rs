//! The daemon refuses settings that can't be taken, and names the place.

use std::path::Path;
use std::process::Command;

/// Each file holds the expected message behind `# expect: ` in its first line.
fn refused(path: &Path) -> datatest_stable::Result<()> {
    let text = std::fs::read_to_string(path)?;
    let expected = text.lines().next().and_then(|l| l.strip_prefix("# expect: "));
    let expected = expected.ok_or("no expectation in the first line")?;

    let run = Command::new(env!("CARGO_BIN_EXE_saddleraild"))
        .args(["--check", "--settings"])
        .arg(path)
        .output()?;

    let told = String::from_utf8(run.stderr)?;
    assert_eq!(run.status.code(), Some(2), "{told}");
    let place = format!("{}:", path.display());
    assert!(told.contains(&place) && told.contains(expected), "expected {expected}, told {told}");
    Ok(())
}

/// The demo's settings are fine.
fn accepted(path: &Path) -> datatest_stable::Result<()> {
    let run = Command::new(env!("CARGO_BIN_EXE_saddleraild"))
        .args(["--check", "--settings"])
        .arg(path)
        .output()?;
    assert!(run.status.success(), "{}", String::from_utf8_lossy(&run.stderr));
    Ok(())
}

datatest_stable::harness! {
    { test = refused, root = "tests/fixtures/refused", pattern = r"\.yaml$" },
    { test = accepted, root = "../examples", pattern = r"vm-.*\.yaml$" },
}
