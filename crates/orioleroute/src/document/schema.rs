//! Checks of the JSON against the schema, which report all wrong types and fields together.
//!
//! The decoder stops at its first error, so an operator would have to fix a document one fault at a
//! time. These checks use the published schema, so they cannot diverge from it.

use std::sync::LazyLock;

use serde_json::{Map, Value};

use super::{Document, Fault};

static SCHEMA: LazyLock<Value> = LazyLock::new(|| schemars::schema_for!(Document).to_value());

/// Returns the published schema of the document.
pub(super) fn schema() -> &'static Value {
    &SCHEMA
}

/// Returns a fault for each place at which `value` does not match the schema.
pub(super) fn faults(value: &Value) -> Vec<Fault> {
    let mut faults = Vec::new();
    check_value(&SCHEMA, value, "", &mut faults);
    faults
}

fn check_value(schema: &Value, value: &Value, path: &str, faults: &mut Vec<Fault>) {
    let schema = resolve(schema);
    if let Some(allowed) = enum_names(schema) {
        if !value.as_str().is_some_and(|text| allowed.contains(&text)) {
            faults.push(fault(path, value, &format!("one of {}", allowed.join(", "))));
        }
        return;
    }
    match (schema["type"].as_str(), value) {
        (Some("object"), Value::Object(fields)) => check_object(schema, fields, path, faults),
        (Some("array"), Value::Array(items)) => {
            for (index, item) in items.iter().enumerate() {
                check_value(&schema["items"], item, &format!("{path}[{index}]"), faults);
            }
        }
        (Some("string"), Value::String(_)) | (Some("boolean"), Value::Bool(_)) => {}
        (Some("integer"), Value::Number(number))
            if number.as_u64().is_some_and(|number| u32::try_from(number).is_ok()) => {}
        (Some("number"), Value::Number(_)) => {}
        (Some(kind), _) => faults.push(fault(path, value, kind_name(kind))),
        (None, _) => {}
    }
}

fn check_object(schema: &Value, fields: &Map<String, Value>, path: &str, faults: &mut Vec<Fault>) {
    let none = Map::new();
    let known = schema["properties"].as_object().unwrap_or(&none);
    let inner = |name: &str| match path {
        "" => name.to_owned(),
        _ => format!("{path}.{name}"),
    };
    for (name, value) in fields {
        match known.get(name) {
            Some(schema) => check_value(schema, value, &inner(name), faults),
            None => {
                let names: Vec<&str> = known.keys().map(String::as_str).collect();
                let allowed = format!("one of the fields {}", names.join(", "));
                faults.push(Fault::new(inner(name), "an unknown field", allowed));
            }
        }
    }
    let required = schema["required"].as_array().into_iter().flatten().filter_map(Value::as_str);
    for name in required.filter(|name| !fields.contains_key(*name)) {
        let kind = resolve(&known[name])["type"].as_str().map_or("a value", kind_name);
        faults.push(Fault::new(inner(name), "nothing", kind));
    }
}

/// Resolves a reference to a definition, and returns any other schema as it is.
fn resolve(schema: &Value) -> &Value {
    let target = schema["$ref"].as_str().and_then(|name| name.strip_prefix("#/$defs/"));
    target.map_or(schema, |name| &SCHEMA["$defs"][name])
}

/// Returns the names that an enumeration allows, or `None` if the schema is not an enumeration.
fn enum_names(schema: &Value) -> Option<Vec<&str>> {
    if let Some(list) = schema["enum"].as_array() {
        return Some(list.iter().filter_map(Value::as_str).collect());
    }
    let variants = schema["oneOf"].as_array()?;
    Some(variants.iter().filter_map(|variant| variant["const"].as_str()).collect())
}

fn fault(path: &str, value: &Value, allowed: &str) -> Fault {
    let path = if path.is_empty() { "document" } else { path };
    let found = match value {
        Value::Object(_) => "an object".to_owned(),
        Value::Array(_) => "a list".to_owned(),
        other => other.to_string(),
    };
    Fault::new(path, found, allowed)
}

fn kind_name(kind: &str) -> &'static str {
    match kind {
        "object" => "an object",
        "array" => "a list",
        "string" => "text",
        "boolean" => "true or false",
        "integer" => "a whole number from 0 to 4294967295",
        _ => "a number",
    }
}
