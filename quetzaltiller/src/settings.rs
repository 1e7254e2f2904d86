//! Reads JSON settings and collects all faults, so that they are reported at once.

use crate::objects::Fault;
use serde_json::{Map, Value};
use std::collections::BTreeSet;
use std::fmt;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

/// All faults of one settings file.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Faults(pub Vec<Fault>);

impl fmt::Display for Faults {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for fault in &self.0 {
            writeln!(f, "{fault}")?;
        }
        Ok(())
    }
}

impl std::error::Error for Faults {}

/// Reads one JSON object field by field and collects faults.
pub struct Reader {
    path: String,
    fields: Map<String, Value>,
    known: BTreeSet<String>,
    faults: Vec<Fault>,
}

impl Reader {
    /// Reads a settings file; the error is a single fault with the file's path.
    pub fn open(path: &Path) -> Result<Self, Faults> {
        let fault = |value: String, allowed: &str| {
            Faults(vec![Fault::new(path.display().to_string(), value, allowed)])
        };
        let text = std::fs::read_to_string(path)
            .map_err(|error| fault(error.to_string(), "a file that can be read"))?;
        Self::parse(&text).map_err(|error| fault(error, "a JSON object"))
    }

    /// Parses JSON text that holds one object.
    pub fn parse(text: &str) -> Result<Self, String> {
        let fields = serde_json::from_str(text).map_err(|error| error.to_string())?;
        Ok(Self::new(String::new(), fields))
    }

    fn new(path: String, fields: Map<String, Value>) -> Self {
        Self { path, fields, known: BTreeSet::new(), faults: Vec::new() }
    }

    /// Reads the object under `key` with `read`; an absent object counts as empty.
    pub fn section<T>(&mut self, key: &str, read: impl FnOnce(&mut Self) -> T) -> T {
        let path = self.path_of(key);
        let fields = match self.take(key) {
            None => Map::new(),
            Some(Value::Object(fields)) => fields,
            Some(other) => {
                self.add_fault(key, &other, "an object");
                Map::new()
            }
        };
        let mut reader = Self::new(path, fields);
        let section = read(&mut reader);
        self.faults.extend(reader.into_faults());
        section
    }

    /// Reads a required text, which must not be empty.
    pub fn text(&mut self, key: &str) -> String {
        match self.optional_text(key) {
            Some(text) if !text.is_empty() => text,
            Some(_) | None => {
                self.add_missing(key, "a text that is not empty");
                String::new()
            }
        }
    }

    /// Reads an optional text.
    pub fn optional_text(&mut self, key: &str) -> Option<String> {
        match self.take(key)? {
            Value::String(text) => Some(text),
            other => {
                self.add_fault(key, &other, "a text");
                None
            }
        }
    }

    /// Reads a required IP address and port.
    pub fn address(&mut self, key: &str) -> String {
        match self.optional_address(key) {
            Some(address) => address,
            None => {
                self.add_missing(key, ALLOWED_ADDRESS);
                String::new()
            }
        }
    }

    /// Reads an optional IP address and port.
    pub fn optional_address(&mut self, key: &str) -> Option<String> {
        let value = self.take(key)?;
        self.check_address(key, &value)
    }

    /// Reads a list of IP addresses and ports; an absent list counts as empty.
    pub fn addresses(&mut self, key: &str) -> Vec<String> {
        match self.take(key) {
            None => Vec::new(),
            Some(Value::Array(items)) => {
                let check = |(index, item): (usize, &Value)| {
                    self.check_address(&format!("{key}[{index}]"), item)
                };
                items.iter().enumerate().filter_map(check).collect()
            }
            Some(other) => {
                self.add_fault(key, &other, "a list of IP addresses and ports");
                Vec::new()
            }
        }
    }

    /// Reads a whole number within `min..=max`; `default` if it is absent.
    pub fn number(&mut self, key: &str, default: u64, min: u64, max: u64) -> u64 {
        let Some(value) = self.take(key) else {
            return default;
        };
        match value.as_u64().filter(|number| (min..=max).contains(number)) {
            Some(number) => number,
            None => {
                self.add_fault(key, &value, format!("a whole number from {min} to {max}"));
                default
            }
        }
    }

    /// Reads a duration in milliseconds within `min..=max`; `default` if it is absent.
    pub fn millis(&mut self, key: &str, default: u64, min: u64, max: u64) -> Duration {
        Duration::from_millis(self.number(key, default, min, max))
    }

    /// Reads a duration in seconds within `min..=max`; `default` if it is absent.
    pub fn seconds(&mut self, key: &str, default: f64, min: f64, max: f64) -> Duration {
        Duration::from_secs_f64(self.fraction(key, default, min, max))
    }

    /// Reads a number within `min..=max`; `default` if it is absent.
    pub fn fraction(&mut self, key: &str, default: f64, min: f64, max: f64) -> f64 {
        let Some(value) = self.take(key) else {
            return default;
        };
        match value.as_f64().filter(|number| (min..=max).contains(number)) {
            Some(number) => number,
            None => {
                self.add_fault(key, &value, format!("a number from {min} to {max}"));
                default
            }
        }
    }

    /// Returns `value`, or all faults; keys that were not read are faults too.
    pub fn finish<T>(self, value: T) -> Result<T, Faults> {
        let faults = self.into_faults();
        if faults.is_empty() { Ok(value) } else { Err(Faults(faults)) }
    }

    fn into_faults(mut self) -> Vec<Fault> {
        let allowed = format!("one of: {}", Vec::from_iter(self.known.clone()).join(", "));
        for (key, value) in std::mem::take(&mut self.fields) {
            let path = self.path_of(&key);
            self.faults.push(Fault::new(path, format!("unknown key with {value}"), &allowed));
        }
        self.faults
    }

    fn take(&mut self, key: &str) -> Option<Value> {
        self.known.insert(key.to_owned());
        self.fields.remove(key)
    }

    fn check_address(&mut self, key: &str, value: &Value) -> Option<String> {
        let address = value.as_str().filter(|text| text.parse::<SocketAddr>().is_ok());
        if address.is_none() {
            self.add_fault(key, value, ALLOWED_ADDRESS);
        }
        address.map(str::to_owned)
    }

    fn add_missing(&mut self, key: &str, allowed: &str) {
        let path = self.path_of(key);
        if !self.faults.iter().any(|fault| fault.path == path) {
            self.faults.push(Fault::new(path, "nothing", allowed));
        }
    }

    fn add_fault(&mut self, key: &str, value: &Value, allowed: impl Into<String>) {
        self.faults.push(Fault::new(self.path_of(key), value, allowed));
    }

    fn path_of(&self, key: &str) -> String {
        if self.path.is_empty() { key.to_owned() } else { format!("{}.{key}", self.path) }
    }
}

const ALLOWED_ADDRESS: &str = "an IP address and port, like 127.0.0.1:7000";

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn lists_every_fault_with_its_path() {
        let text = r#"{"name": 3, "extra": 1, "limits": {"body": 0, "other": true}}"#;
        let mut reader = Reader::parse(text).unwrap();

        reader.text("name");
        reader.address("address");
        reader.section("limits", |limits| limits.number("body", 10, 1, 20));
        let faults = reader.finish(()).unwrap_err();

        let paths: Vec<_> = faults.0.iter().map(|fault| fault.path.as_str()).collect();
        assert_eq!(paths, ["name", "address", "limits.body", "limits.other", "extra"]);
    }
}
