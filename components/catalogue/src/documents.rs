//! Operators' YAML: one object a document, its kind as the only key.

use std::fmt;

use errors::{Error, Result};
use serde::{Deserialize, Serialize};

use crate::{Customer, Service, Target};

/// One object as operators write it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Document {
    /// A pipeline.
    Service(Service),
    /// A back end.
    Target(Target),
    /// Somebody on whose behalf requests come.
    Customer(Customer),
}

/// Kinds of objects.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ObjectKind {
    /// A pipeline.
    Service,
    /// A back end.
    Target,
    /// Somebody on whose behalf requests come.
    Customer,
}

impl ObjectKind {
    /// All kinds.
    pub const ALL: [ObjectKind; 3] =
        [ObjectKind::Service, ObjectKind::Target, ObjectKind::Customer];

    /// The kind's name in YAML and on the command line.
    pub fn as_str(self) -> &'static str {
        match self {
            ObjectKind::Service => "service",
            ObjectKind::Target => "target",
            ObjectKind::Customer => "customer",
        }
    }
}

/// Kind and name of an object.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ObjectKey {
    /// Kind.
    pub kind: ObjectKind,
    /// Name, unique within the kind.
    pub name: String,
}

impl fmt::Display for ObjectKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.kind.as_str(), self.name)
    }
}

impl std::str::FromStr for ObjectKey {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        let problem = || Error::bad_input(text, "expected kind/name, such as target/enc-1");
        let (kind, name) = text.split_once('/').ok_or_else(problem)?;
        let kind = ObjectKind::ALL.into_iter().find(|k| k.as_str() == kind).ok_or_else(problem)?;
        Ok(ObjectKey { kind, name: name.to_owned() })
    }
}

impl Document {
    /// Kind and name.
    pub fn key(&self) -> ObjectKey {
        let (kind, name) = match self {
            Document::Service(x) => (ObjectKind::Service, x.name.as_str()),
            Document::Target(x) => (ObjectKind::Target, x.name.as_str()),
            Document::Customer(x) => (ObjectKind::Customer, x.name.as_str()),
        };
        ObjectKey { kind, name: name.to_owned() }
    }
}

/// Reads the documents of one YAML text.
///
/// # Errors
/// `BadInput` with line and column of the first thing that can't be taken.
pub fn parse_documents(text: &str) -> Result<Vec<Document>> {
    serde_saphyr::from_multiple::<Document>(text).map_err(|e| {
        let place =
            e.location().map(|at| format!("{}:{}", at.line(), at.column())).unwrap_or_default();
        Error::bad_input(place, e.without_snippet().to_string())
    })
}

/// One object as operators write it.
///
/// # Errors
/// `BadInput` if the object can't be written as YAML.
pub fn to_yaml(document: &Document) -> Result<String> {
    serde_saphyr::to_string(document)
        .map_err(|e| Error::bad_input(document.key().to_string(), e.to_string()))
}
