//! `saddlerail label`: sets or removes labels of one object.

use catalogue::{Document, Labels, ObjectKey};
use clap::ArgMatches;
use errors::{Error, Result};

use crate::context::{publish_change, read_accepted, store};

pub(crate) fn run(args: &ArgMatches) -> Result<()> {
    let store = store(args)?;
    let before = read_accepted(&store)?;
    let Some(key) = args.get_one::<ObjectKey>("object") else {
        return Ok(());
    };
    let found = before.catalogue.documents().find(|d| d.key() == *key);
    let mut document = found.ok_or_else(|| Error::bad_input(key.to_string(), "no such object"))?;
    let labels = match &mut document {
        Document::Service(x) => &mut x.labels,
        Document::Target(x) => &mut x.labels,
        Document::Customer(_) => {
            return Err(Error::bad_input(key.to_string(), "customers have no labels"));
        }
    };
    for text in args.get_many::<String>("labels").into_iter().flatten() {
        set_label(labels, text)?;
    }
    let mut after = before.catalogue.clone();
    after.put(document);
    publish_change(args, &store, &before, &after)
}

/// Applies one argument: `KEY=VALUE` sets a label, `KEY-` removes it.
fn set_label(labels: &mut Labels, text: &str) -> Result<()> {
    if let Some((key, value)) = text.split_once('=') {
        labels.insert(key.to_owned(), value.to_owned());
        return Ok(());
    }
    let problem =
        || Error::bad_input(text, "expected KEY=VALUE to set a label or KEY- to remove it");
    let key = text.strip_suffix('-').ok_or_else(problem)?;
    match labels.remove(key) {
        Some(_) => Ok(()),
        None => Err(Error::bad_input(text, "the object has no such label")),
    }
}
