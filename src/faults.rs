//! Finds all the faults of a JSON value at once.
//!
//! Deserialization stops at the first fault. Here each fault found is told, put right after a
//! valid sample, and the value is tried again.

use std::fmt;

use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::Value;
use serde_path_to_error::Path;
use serde_path_to_error::Segment;

/// Faults told of one value at most.
const FAULTS_MAX: usize = 200;

/// A bad value of a file.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Fault {
    /// The field's path, as in `server.body_bytes_max`.
    pub path: String,
    /// Its value as JSON; none if it is missing.
    pub value: Option<String>,
    /// What is allowed.
    pub allowed: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let value = self.value.as_deref().unwrap_or("missing");
        write!(f, "{}: {value}; allowed: {}", self.path, self.allowed)
    }
}

/// Every fault that keeps `value` from being an `S`. `sample` is a valid `S` with all its fields.
pub fn faults<S: DeserializeOwned>(value: &Value, sample: &Value) -> Vec<Fault> {
    let mut rest = value.clone();
    let mut faults: Vec<Fault> = Vec::new();
    while faults.len() < FAULTS_MAX {
        let Err(error) = serde_path_to_error::deserialize::<_, S>(&rest) else {
            break;
        };
        let keys = keys(error.path());
        let message = error.inner().to_string();
        let Some(fault) = mend(&mut rest, sample, keys, &message) else {
            break;
        };
        if faults.iter().any(|known| known.path == fault.path) {
            break;
        }
        faults.push(fault);
    }
    faults
}

/// A step into a JSON value.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Key {
    Field(String),
    Index(usize),
}

fn keys(path: &Path) -> Vec<Key> {
    path.iter()
        .filter_map(|segment| match segment {
            Segment::Seq { index } => Some(Key::Index(*index)),
            Segment::Map { key } => Some(Key::Field(key.clone())),
            Segment::Enum { .. } | Segment::Unknown => None,
        })
        .collect()
}

/// Tells the fault at `keys` and puts it right in `rest`; none if the sample doesn't help.
fn mend(rest: &mut Value, sample: &Value, mut keys: Vec<Key>, message: &str) -> Option<Fault> {
    if let Some(field) = quoted(message, "missing field `") {
        keys.push(Key::Field(field.to_owned()));
        let valid = find(sample, &keys)?.clone();
        let (last, parents) = keys.split_last()?;
        set(find_mut(rest, parents)?, last, valid);
        return Some(fault(&keys, None, "a value; the field is required"));
    }
    if let Some(field) = quoted(message, "unknown field `") {
        let field = Key::Field(field.to_owned());
        if keys.last() != Some(&field) {
            keys.push(field);
        }
        let (last, parents) = keys.split_last()?;
        let removed = remove(find_mut(rest, parents)?, last)?;
        let known = expected(message).unwrap_or(message);
        return Some(fault(
            &keys,
            Some(&removed),
            &format!("a field that is {known}"),
        ));
    }
    let valid = find(sample, &keys)?.clone();
    let found = find_mut(rest, &keys)?;
    let bad = std::mem::replace(found, valid);
    Some(fault(
        &keys,
        Some(&bad),
        expected(message).unwrap_or(message),
    ))
}

fn fault(keys: &[Key], value: Option<&Value>, allowed: &str) -> Fault {
    Fault {
        path: render(keys),
        value: value.map(Value::to_string),
        allowed: allowed.to_owned(),
    }
}

fn quoted<'a>(message: &'a str, prefix: &str) -> Option<&'a str> {
    message.strip_prefix(prefix)?.split('`').next()
}

fn expected(message: &str) -> Option<&str> {
    message.split_once(", expected ").map(|(_, rest)| rest)
}

fn render(keys: &[Key]) -> String {
    let mut path = String::new();
    for key in keys {
        match key {
            Key::Index(index) => path.push_str(&format!("[{index}]")),
            Key::Field(field) if path.is_empty() => path.push_str(field),
            Key::Field(field) => path.push_str(&format!(".{field}")),
        }
    }
    match path.is_empty() {
        true => "(whole file)".to_owned(),
        false => path,
    }
}

/// The value at `keys`. The sample's lists stand for longer ones by their first element.
fn find<'a>(value: &'a Value, keys: &[Key]) -> Option<&'a Value> {
    keys.iter().try_fold(value, |value, key| match key {
        Key::Field(field) => value.get(field),
        Key::Index(index) => value.get(index).or_else(|| value.get(0)),
    })
}

fn find_mut<'a>(value: &'a mut Value, keys: &[Key]) -> Option<&'a mut Value> {
    keys.iter().try_fold(value, |value, key| match key {
        Key::Field(field) => value.get_mut(field),
        Key::Index(index) => value.get_mut(index),
    })
}

fn set(parent: &mut Value, key: &Key, value: Value) {
    if let (Value::Object(fields), Key::Field(field)) = (parent, key) {
        fields.insert(field.clone(), value);
    }
}

fn remove(parent: &mut Value, key: &Key) -> Option<Value> {
    match (parent, key) {
        (Value::Object(fields), Key::Field(field)) => fields.remove(field),
        _ => None,
    }
}

#[cfg(test)]
mod tests;
