//! Agreement of the field table with the resource types.

use {
    lynxwheel_protocol::{FieldDefault, FieldType, Kind, Resource, fields, parse_spec},
    serde_json::{Map, Value, json},
};

/// Returns a valid value of a field type.
fn sample(field_type: FieldType) -> Value {
    match field_type {
        FieldType::Name => json!("name"),
        FieldType::Names => json!(["name"]),
        FieldType::Count | FieldType::Milliseconds => json!(8),
        FieldType::Flag => json!(true),
        FieldType::Choice(words) => json!(words[0]),
        FieldType::Amount => json!({ "percent": 50 }),
    }
}

/// Parses a declaration with all fields, or with the required ones only.
fn declaration(kind: Kind, is_minimal: bool) -> Resource {
    let mut spec = Map::new();
    for field in fields(kind) {
        if is_minimal && field.default != FieldDefault::Required {
            continue;
        }
        match field.path.split_once('.') {
            Some((group, key)) => {
                let group = spec.entry(group).or_insert_with(|| json!({}));
                group[key] = sample(field.field_type);
            }
            None => drop(spec.insert(field.path.into(), sample(field.field_type))),
        }
    }
    parse_spec(kind, "name", &Value::Object(spec)).expect("a declaration")
}

/// Counts the fields of a spec; an amount counts as one field.
fn count(spec: &Value) -> usize {
    let members = spec.as_object().expect("a spec");
    let counted = members.iter().map(|(_, value)| match value {
        Value::Object(group) if !group.contains_key("percent") => count(value),
        _ => 1,
    });
    counted.sum()
}

macro_rules! kinds {
    ($($name:ident: $kind:expr;)*) => {
        $(#[test] fn $name() {
            let full = declaration($kind, false);
            let spec = json!(full)["spec"].clone();
            assert_eq!(count(&spec), fields($kind).len(), "{spec}");
            let minimal = declaration($kind, true);
            assert_eq!(minimal.kind(), $kind);
        })*
    };
}

// Guards against a field that is missing from the table and so cannot be declared.
kinds! {
    policy: Kind::Policy;
    team: Kind::Team;
    pool: Kind::Pool;
    vm: Kind::Vm;
    service: Kind::Service;
    job: Kind::Job;
    wave: Kind::Wave;
}
