//! Operators' files: what is accepted, and what is refused with which words.

use std::path::Path;

use catalogue::{Catalogue, check, parse_documents, to_yaml};

fn catalogue_of(text: &str) -> Result<Catalogue, errors::Error> {
    let mut catalogue = Catalogue::default();
    parse_documents(text)?.into_iter().for_each(|document| catalogue.put(document));
    check(&catalogue)?;
    Ok(catalogue)
}

/// Each file holds the expected message behind `# expect: ` in its first line.
fn refused(path: &Path) -> datatest_stable::Result<()> {
    let text = std::fs::read_to_string(path)?;
    let expected = text.lines().next().and_then(|l| l.strip_prefix("# expect: "));
    let expected = expected.ok_or("no expectation in the first line")?;

    let told = catalogue_of(&text).err().ok_or("was accepted")?.to_string();

    assert!(told.contains(expected), "expected {expected}, told {told}");
    Ok(())
}

/// What is accepted comes back the same from its own YAML.
fn accepted(path: &Path) -> datatest_stable::Result<()> {
    let catalogue = catalogue_of(&std::fs::read_to_string(path)?)?;

    let written: Result<Vec<String>, _> = catalogue.documents().map(|d| to_yaml(&d)).collect();
    let again = catalogue_of(&written?.join("---\n"))?;

    assert_eq!(again, catalogue);
    assert_eq!(again.digest(), catalogue.digest());
    Ok(())
}

datatest_stable::harness! {
    { test = refused, root = "tests/fixtures/refused", pattern = r"\.yaml$" },
    { test = accepted, root = "../../examples", pattern = r"catalogue.*\.yaml$" },
}
