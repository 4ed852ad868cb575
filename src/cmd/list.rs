//! `saddlerail list`: lists the objects of one kind.

use catalogue::{Document, Labels};
use clap::ArgMatches;
use errors::{Error, Result};
use serde_json::json;

use crate::cli::{Output, output_of};
use crate::context::{read_accepted, store};

pub(crate) fn run(args: &ArgMatches) -> Result<()> {
    let kind = args.get_one::<String>("kind").cloned().unwrap_or_default();
    let wanted = wanted_labels(args)?;
    let accepted = read_accepted(&store(args)?)?;
    let documents: Vec<Document> = accepted
        .catalogue
        .documents()
        .filter(|d| d.key().kind.as_str() == kind)
        .filter(|d| wanted.iter().all(|(k, v)| labels_of(d).get(k) == Some(v)))
        .collect();
    match output_of(args) {
        Output::Json => out!("{}", json!(documents)),
        Output::Text => documents.iter().for_each(|d| out!("{}", line(d))),
    }
    Ok(())
}

/// Labels given with `--label`, which an object must all have to be listed.
fn wanted_labels(args: &ArgMatches) -> Result<Labels> {
    let texts = args.get_many::<String>("label").into_iter().flatten();
    texts
        .map(|text| {
            let pair = text.split_once('=').map(|(k, v)| (k.to_owned(), v.to_owned()));
            pair.ok_or_else(|| Error::bad_input(text.as_str(), "expected KEY=VALUE"))
        })
        .collect()
}

fn labels_of(document: &Document) -> Labels {
    match document {
        Document::Service(x) => x.labels.clone(),
        Document::Target(x) => x.labels.clone(),
        Document::Customer(_) => Labels::new(),
    }
}

/// One line of the text output.
fn line(document: &Document) -> String {
    let labels: Vec<String> = labels_of(document).iter().map(|(k, v)| format!("{k}={v}")).collect();
    let labels = labels.join(",");
    match document {
        Document::Service(x) => {
            let stages: Vec<&str> = x.stages.iter().map(|s| s.name.as_str()).collect();
            let stages = stages.join(" > ");
            format!("{:<24} {:<12} {stages}  {labels}", x.name.as_str(), x.priority.as_str())
        }
        Document::Target(x) => {
            format!("{:<24} {:<10} {:<21} {labels}", x.name.as_str(), x.hall.as_str(), x.address)
        }
        Document::Customer(x) => format!("{:<24} share {}", x.name.as_str(), x.share),
    }
}
