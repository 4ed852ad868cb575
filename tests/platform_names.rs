//! The users' platform's names stand in its adapter only.

// A fixture that can't be set up fails its test.
#![allow(clippy::unwrap_used)]

use std::fs;
use std::path::{Path, PathBuf};

/// Names that only the adapter may know. Words that the field uses too are not among them.
const NAMES: [&str; 20] = [
    "deadline-milliseconds",
    "expected-instance",
    "response-signature",
    "not-executed",
    "token-counts",
    "server-load",
    "prompt-prefix:",
    "piece-key",
    "kv-txn",
    "kv-watch",
    "kv-range",
    "kv-keep",
    "stage-run",
    "stage-free",
    "op/config",
    "op/evacuate",
    "cold_remaining",
    "servers/",
    "private_key",
    "after_revision",
];

/// Where the project's own code stands.
const SOURCES: [&str; 6] = ["src", "components", "daemon", "gateway", "load", "tools"];

fn rust_files(dir: &Path, found: &mut Vec<PathBuf>) {
    for entry in fs::read_dir(dir).unwrap().flatten() {
        let path = entry.path();
        if path.is_dir() {
            // Tests speak the wire themselves.
            if path.file_name().is_none_or(|name| name != "tests" && name != "target") {
                rust_files(&path, found);
            }
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            found.push(path);
        }
    }
}

#[test]
fn no_name_of_the_users_platform_stands_outside_its_adapter() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let mut files = Vec::new();
    SOURCES.iter().for_each(|dir| rust_files(&root.join(dir), &mut files));
    assert!(files.len() > 50, "only {} files found", files.len());

    for path in files {
        let text = fs::read_to_string(&path).unwrap().to_ascii_lowercase();
        let found = NAMES.iter().find(|name| text.contains(**name));
        assert_eq!(found, None, "{}", path.display());
    }
}

#[test]
fn the_adapter_stays_small() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let mut files = Vec::new();
    rust_files(&root.join("platform/src"), &mut files);

    let lines: usize =
        files.iter().map(|path| fs::read_to_string(path).unwrap().lines().count()).sum();

    assert!(lines > 0 && lines < 1500, "{lines} lines");
}
