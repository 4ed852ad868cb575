//! YAML documents of the configuration: one object per document, with its kind as the only
//! top-level key.

use std::fmt;

use errors::{Error, Result};
use serde::{Deserialize, Serialize};

use crate::{Customer, Service, Target};

/// One object of the configuration, as written in YAML.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Document {
    /// A pipeline of stages.
    Service(Service),
    /// A target (back end).
    Target(Target),
    /// A customer (tenant) on whose behalf requests are made.
    Customer(Customer),
}

/// Kind of a configuration object.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ObjectKind {
    /// A pipeline of stages.
    Service,
    /// A target (back end).
    Target,
    /// A customer (tenant) on whose behalf requests are made.
    Customer,
}

impl ObjectKind {
    /// All kinds.
    pub const ALL: [ObjectKind; 3] =
        [ObjectKind::Service, ObjectKind::Target, ObjectKind::Customer];

    /// Name of the kind in YAML and on the command line.
    pub fn as_str(self) -> &'static str {
        match self {
            ObjectKind::Service => "service",
            ObjectKind::Target => "target",
            ObjectKind::Customer => "customer",
        }
    }
}

/// Identifies an object by its kind and name.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ObjectKey {
    /// Kind of the object.
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
    /// The key that identifies the object.
    pub fn key(&self) -> ObjectKey {
        let (kind, name) = match self {
            Document::Service(object) => (ObjectKind::Service, object.name.as_str()),
            Document::Target(object) => (ObjectKind::Target, object.name.as_str()),
            Document::Customer(object) => (ObjectKind::Customer, object.name.as_str()),
        };
        ObjectKey { kind, name: name.to_owned() }
    }
}

/// Parses a YAML text of one or more documents.
///
/// # Errors
/// `BadInput` with line and column of the first problem.
pub fn parse_documents(text: &str) -> Result<Vec<Document>> {
    serde_saphyr::from_multiple::<Document>(text).map_err(|e| {
        let place =
            e.location().map(|at| format!("{}:{}", at.line(), at.column())).unwrap_or_default();
        Error::bad_input(place, e.without_snippet().to_string())
    })
}

/// Writes one object as a YAML document.
///
/// # Errors
/// `BadInput` if the object can't be serialized.
pub fn to_yaml(document: &Document) -> Result<String> {
    serde_saphyr::to_string(document)
        .map_err(|e| Error::bad_input(document.key().to_string(), e.to_string()))
}
