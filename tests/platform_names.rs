//! Checks on the sources: names of the users' platform occur only in its adapter, the directory
//! `platform`, and the adapter stays small.

// A failing `unwrap` in a fixture fails the test.
#![allow(clippy::unwrap_used)]

use std::fs;
use std::path::{Path, PathBuf};

/// Names of the platform's protocols and data that may occur only in the adapter. Terms of the
/// field that the platform happens to use as well are not listed.
const PLATFORM_NAMES: [&str; 22] = [
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
    "op/rollout",
    "target_version",
    "cold_remaining",
    "servers/",
    "private_key",
    "after_revision",
];

/// Directories of the sources that must not contain these names.
const SOURCE_DIRS: [&str; 6] = ["src", "components", "daemon", "gateway", "load", "tools"];

/// Adds all Rust sources below a directory to `found`, except tests and build output.
fn rust_files(dir: &Path, found: &mut Vec<PathBuf>) {
    for entry in fs::read_dir(dir).unwrap().flatten() {
        let path = entry.path();
        if path.is_dir() {
            // Tests may use the platform's protocol directly.
            if path.file_name().is_none_or(|name| name != "tests" && name != "target") {
                rust_files(&path, found);
            }
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            found.push(path);
        }
    }
}

#[test]
fn no_name_of_the_users_platform_occurs_outside_its_adapter() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let mut files = Vec::new();
    SOURCE_DIRS.iter().for_each(|dir| rust_files(&root.join(dir), &mut files));
    assert!(files.len() > 50, "only {} files found", files.len());

    for path in files {
        let text = fs::read_to_string(&path).unwrap().to_ascii_lowercase();
        let found = PLATFORM_NAMES.iter().find(|name| text.contains(**name));
        assert_eq!(found, None, "{}", path.display());
    }
}

#[test]
fn the_adapter_has_fewer_than_1500_lines() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let mut files = Vec::new();
    rust_files(&root.join("platform/src"), &mut files);

    let lines: usize =
        files.iter().map(|path| fs::read_to_string(path).unwrap().lines().count()).sum();

    assert!(lines > 0 && lines < 1500, "{lines} lines");
}
