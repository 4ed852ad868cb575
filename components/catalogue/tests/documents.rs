//! Tests which configuration files are accepted, and with which message others are refused.

use std::path::Path;

use catalogue::{Catalogue, check, parse_documents, to_yaml};

fn catalogue_of(text: &str) -> Result<Catalogue, errors::Error> {
    let mut catalogue = Catalogue::default();
    parse_documents(text)?.into_iter().for_each(|document| catalogue.put(document));
    check(&catalogue)?;
    Ok(catalogue)
}

/// Checks that the file is refused. Its first line holds a part of the expected message, after
/// `# expect: `.
fn refused(path: &Path) -> datatest_stable::Result<()> {
    let text = std::fs::read_to_string(path)?;
    let expected = text.lines().next().and_then(|l| l.strip_prefix("# expect: "));
    let expected = expected.ok_or("no `# expect: ` in the first line")?;

    let message = catalogue_of(&text).err().ok_or("was accepted")?.to_string();

    assert!(message.contains(expected), "expected {expected}, found {message}");
    Ok(())
}

/// Checks that the file is accepted, and that its catalogue stays equal when it is written as YAML
/// and read again.
fn accepted(path: &Path) -> datatest_stable::Result<()> {
    let catalogue = catalogue_of(&std::fs::read_to_string(path)?)?;

    let written: Result<Vec<String>, _> = catalogue.documents().map(|d| to_yaml(&d)).collect();
    let reread = catalogue_of(&written?.join("---\n"))?;

    assert_eq!(reread, catalogue);
    assert_eq!(reread.digest(), catalogue.digest());
    Ok(())
}

datatest_stable::harness! {
    { test = refused, root = "tests/fixtures/refused", pattern = r"\.yaml$" },
    { test = accepted, root = "../../examples", pattern = r"catalogue.*\.yaml$" },
}
