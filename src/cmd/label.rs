//! `saddlerail label`: set or remove labels of one object.

use catalogue::{Document, Labels, ObjectKey};
use clap::ArgMatches;
use errors::{Error, Result};

use crate::context::{accepted, change, store};

pub(crate) fn run(args: &ArgMatches) -> Result<()> {
    let store = store(args)?;
    let before = accepted(&store)?;
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
    change(args, &store, &before, &after)
}

fn set_label(labels: &mut Labels, text: &str) -> Result<()> {
    if let Some((key, value)) = text.split_once('=') {
        labels.insert(key.to_owned(), value.to_owned());
        return Ok(());
    }
    let problem = || Error::bad_input(text, "expected KEY=VALUE, or KEY- to remove it");
    let key = text.strip_suffix('-').ok_or_else(problem)?;
    match labels.remove(key) {
        Some(_) => Ok(()),
        None => Err(Error::bad_input(text, "there is no such label")),
    }
}
