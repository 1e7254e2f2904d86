//! Operators' command line as a library; the binary `qtctl` only parses arguments and prints.

mod error;
mod session;
mod table;

pub use error::Error;
pub use session::{Addresses, Rollout, Session, Status};
pub use table::Table;

use crate::objects::Object;
use crate::steward::{Review, parse_object};
use serde_json::Value;
use std::path::{Path, PathBuf};

/// Reads objects from JSON files; each holds one object or a list.
pub fn read_objects(files: &[PathBuf]) -> Result<Vec<Object>, Error> {
    let mut objects = Vec::new();
    for file in files {
        objects.extend(read_file(file)?);
    }
    Ok(objects)
}

fn read_file(file: &Path) -> Result<Vec<Object>, Error> {
    let name = file.display().to_string();
    let text = std::fs::read_to_string(file)
        .map_err(|error| Error::File(name.clone(), error.to_string()))?;
    let value: Value = serde_json::from_str(&text)
        .map_err(|error| Error::File(name.clone(), error.to_string()))?;
    let items = match value {
        Value::Array(items) => items,
        single => vec![single],
    };
    let parse = |(index, item): (usize, Value)| {
        let path = format!("{name}[{index}]");
        parse_object(&item.to_string()).map_err(|fault| Error::Object(fault.within(&path)))
    };
    items.into_iter().enumerate().map(parse).collect()
}

/// Validates each object by itself and all objects jointly.
pub fn validate(objects: &[Object]) -> Review {
    crate::steward::review_objects(objects)
}
