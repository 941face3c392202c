//! Validation of declarations that needs no state and reports all invalid fields at once.

use {
    crate::{
        api::FieldError,
        resource::{Amount, JobSpec, Kind, PolicySpec, PoolSpec, Resource, ServiceSpec, WaveSpec},
        schema::{Field, FieldDefault, FieldType, fields},
    },
    serde_json::{Map, Value, json},
};

/// Maximum length of a name in characters.
pub const MAX_NAME_CHARS: usize = 128;

/// Maximum number of pools in a wave.
pub const MAX_WAVE_POOLS: usize = 4_096;

/// Largest integer that all JSON parsers represent exactly.
const MAX_EXACT_INTEGER: u64 = 1 << 53;

/// Parses the declaration of `kind/name` from a JSON document.
///
/// # Errors
///
/// Returns all fields that are unknown, missing or invalid.
pub fn parse_resource(
    kind: Kind,
    name: &str,
    document: &Value,
) -> Result<Resource, Vec<FieldError>> {
    let Some(members) = document.as_object() else {
        return Err(vec![field_error(
            "",
            "must be an object with kind and spec",
        )]);
    };
    let mut errors: Vec<FieldError> = members
        .keys()
        .filter(|key| !["kind", "spec"].contains(&key.as_str()))
        .map(|key| field_error(key, "no such field"))
        .collect();
    if members.get("kind") != Some(&json!(kind)) {
        errors.push(field_error(
            "kind",
            format!("must be {kind} as in the path"),
        ));
    }
    let spec = members.get("spec").unwrap_or(&Value::Null);
    match parse_spec(kind, name, spec) {
        Ok(resource) if errors.is_empty() => Ok(resource),
        Ok(_) => Err(errors),
        Err(spec_errors) => {
            errors.extend(spec_errors);
            Err(errors)
        }
    }
}

/// Parses the spec of `kind/name`; omitted fields get their defaults.
///
/// # Errors
///
/// Returns all fields that are unknown, missing or invalid.
pub fn parse_spec(kind: Kind, name: &str, spec: &Value) -> Result<Resource, Vec<FieldError>> {
    let Some(members) = spec.as_object() else {
        return Err(vec![field_error("spec", "must be an object")]);
    };
    let mut errors = Vec::new();
    check_unknown_fields(kind, members, &mut errors);
    let mut complete_spec = Map::new();
    for field in fields(kind) {
        let value = field_value(field, name, members).unwrap_or_else(|reason| {
            errors.push(field_error(field.path, reason));
            placeholder(field)
        });
        insert_at(&mut complete_spec, field.path, value);
    }
    let resource: Resource = serde_json::from_value(json!({ "kind": kind, "spec": complete_spec }))
        .map_err(|error| vec![field_error("spec", error.to_string())])?;
    let range_errors = validate_resource(&resource).into_iter();
    let range_errors: Vec<FieldError> = range_errors
        .filter(|error| errors.iter().all(|known| known.field != error.field))
        .collect();
    errors.extend(range_errors);
    if errors.is_empty() {
        Ok(resource)
    } else {
        Err(errors)
    }
}

fn field_value(field: &Field, name: &str, members: &Map<String, Value>) -> Result<Value, String> {
    let given = get_at(members, field.path);
    if field.path == "name" {
        return match given {
            Some(given) if given != name => Err(format!("must be {name} as in the path")),
            _ => Ok(json!(name)),
        };
    }
    match given {
        Some(value) => check_type(field.field_type, value).map(|()| value.clone()),
        None => default_value(field),
    }
}

/// Returns a valid value to use in place of an invalid one, so that the ranges of the other fields
/// can be checked as well.
fn placeholder(field: &Field) -> Value {
    match field.field_type {
        FieldType::Name => json!("name"),
        FieldType::Names => json!(["name"]),
        FieldType::Count if field.default == FieldDefault::Required => json!(u32::MAX),
        FieldType::Count | FieldType::Milliseconds => json!(0),
        FieldType::Flag => json!(false),
        FieldType::Choice(choices) => json!(choices.first()),
        FieldType::Amount => json!({ "percent": 0 }),
    }
}

/// Returns all fields of a declaration whose values are out of range.
#[must_use]
pub fn validate_resource(resource: &Resource) -> Vec<FieldError> {
    let mut errors = Vec::new();
    if let Err(reason) = check_name(resource.name()) {
        errors.push(field_error("name", reason));
    }
    match resource {
        Resource::Policy(spec) => check_policy(spec, &mut errors),
        Resource::Pool(spec) => check_pool(spec, &mut errors),
        Resource::Service(spec) => check_service(spec, &mut errors),
        Resource::Job(spec) => check_job(spec, &mut errors),
        Resource::Wave(spec) => check_wave(spec, &mut errors),
        Resource::Team(_) | Resource::Vm(_) => {}
    }
    errors
}

fn field_error(field: &str, reason: impl Into<String>) -> FieldError {
    FieldError {
        field: field.into(),
        reason: reason.into(),
    }
}

fn check_at_least_one(field: &str, value: u64, errors: &mut Vec<FieldError>) {
    if value == 0 {
        errors.push(field_error(field, "must be at least 1"));
    }
}

fn check_policy(spec: &PolicySpec, errors: &mut Vec<FieldError>) {
    check_at_least_one("key_keep_ms", spec.key_keep_ms, errors);
    check_at_least_one("key_limit", spec.key_limit.into(), errors);
}

fn check_pool(spec: &PoolSpec, errors: &mut Vec<FieldError>) {
    let field = "budget.min_available";
    match spec.budget.min_available {
        Amount::Percent(percent) if percent > 100 => {
            errors.push(field_error(field, "must be at most 100 percent"));
        }
        Amount::Count(count) if count > spec.size => {
            errors.push(field_error(field, "must be at most the pool's size"));
        }
        Amount::Count(_) | Amount::Percent(_) => {}
    }
    let zones = spec.budget.zones_at_once;
    check_at_least_one("budget.zones_at_once", zones.into(), errors);
}

fn check_service(spec: &ServiceSpec, errors: &mut Vec<FieldError>) {
    check_at_least_one("slots_per_endpoint", spec.slots_per_endpoint.into(), errors);
    if spec.connections_per_endpoint < spec.slots_per_endpoint {
        let reason = "must be at least slots_per_endpoint";
        errors.push(field_error("connections_per_endpoint", reason));
    }
    check_at_least_one("deadline_ms", spec.deadline_ms, errors);
}

fn check_job(spec: &JobSpec, errors: &mut Vec<FieldError>) {
    check_at_least_one("run_time_ms", spec.run_time_ms, errors);
    check_at_least_one("max_attempts", spec.max_attempts.into(), errors);
}

fn check_wave(spec: &WaveSpec, errors: &mut Vec<FieldError>) {
    if spec.pools.is_empty() {
        errors.push(field_error("pools", "must name at least one pool"));
    }
    if spec.pools.len() > MAX_WAVE_POOLS {
        errors.push(field_error("pools", "names too many pools"));
    }
    if !spec.pools.is_sorted_by(|left, right| left < right) {
        errors.push(field_error(
            "pools",
            "must be sorted and name each pool once",
        ));
    }
}

/// Checks that `name` is valid as a path segment, a section of a file and a label.
///
/// # Errors
///
/// Returns the reason for which the name is invalid.
pub fn check_name(name: &str) -> Result<(), String> {
    if name.is_empty() {
        return Err("must not be empty".into());
    }
    if name.chars().count() > MAX_NAME_CHARS {
        return Err(format!("must have at most {MAX_NAME_CHARS} characters"));
    }
    let is_allowed = |letter: char| letter.is_ascii_alphanumeric() || "-_.".contains(letter);
    if !name.chars().all(is_allowed) || name.starts_with('.') {
        return Err("must consist of letters, digits, '-', '_' and '.'".into());
    }
    Ok(())
}

/// Rejects unknown fields, since a misspelt one would otherwise be ignored silently.
fn check_unknown_fields(kind: Kind, members: &Map<String, Value>, errors: &mut Vec<FieldError>) {
    for (key, value) in members {
        let prefix = format!("{key}.");
        let is_group = fields(kind)
            .iter()
            .any(|field| field.path.starts_with(&prefix));
        match value {
            Value::Object(inner) if is_group => {
                let paths = inner.keys().map(|inner| format!("{prefix}{inner}"));
                errors.extend(
                    paths
                        .filter(|path| !is_field(kind, path))
                        .map(|path| field_error(&path, "no such field")),
                );
            }
            _ if is_group => errors.push(field_error(key, "must be an object")),
            _ if !is_field(kind, key) || key.contains('.') => {
                errors.push(field_error(key, "no such field"));
            }
            _ => {}
        }
    }
}

fn is_field(kind: Kind, path: &str) -> bool {
    fields(kind).iter().any(|field| field.path == path)
}

fn get_at<'a>(members: &'a Map<String, Value>, path: &str) -> Option<&'a Value> {
    match path.split_once('.') {
        Some((group, key)) => members.get(group)?.get(key),
        None => members.get(path),
    }
}

fn insert_at(members: &mut Map<String, Value>, path: &str, value: Value) {
    let Some((group, key)) = path.split_once('.') else {
        members.insert(path.into(), value);
        return;
    };
    let group = members.entry(group).or_insert_with(|| json!({}));
    if let Some(group) = group.as_object_mut() {
        group.insert(key.into(), value);
    }
}

fn default_value(field: &Field) -> Result<Value, String> {
    match field.default {
        FieldDefault::Required => Err("is required".into()),
        FieldDefault::Number(number) => Ok(json!(number)),
        FieldDefault::Flag(flag) => Ok(json!(flag)),
        FieldDefault::Word(word) => Ok(json!(word)),
    }
}

fn check_type(field_type: FieldType, value: &Value) -> Result<(), String> {
    match field_type {
        FieldType::Name => match value.as_str() {
            Some(name) => check_name(name),
            None => Err("must be a name".into()),
        },
        FieldType::Names => check_names(value),
        FieldType::Count => check_number(value, u32::MAX.into()),
        FieldType::Milliseconds => check_number(value, MAX_EXACT_INTEGER),
        FieldType::Flag if value.is_boolean() => Ok(()),
        FieldType::Flag => Err("must be true or false".into()),
        FieldType::Choice(choices) => match value.as_str() {
            Some(word) if choices.contains(&word) => Ok(()),
            _ => Err(format!("must be one of {}", choices.join(", "))),
        },
        FieldType::Amount => check_amount(value),
    }
}

fn check_names(value: &Value) -> Result<(), String> {
    let names = value.as_array().ok_or("must be a list of names")?;
    for name in names {
        check_name(name.as_str().ok_or("must be a list of names")?)?;
    }
    Ok(())
}

fn check_number(value: &Value, limit: u64) -> Result<(), String> {
    match value.as_u64() {
        Some(number) if number <= limit => Ok(()),
        _ => Err(format!("must be a whole number from 0 to {limit}")),
    }
}

fn check_amount(value: &Value) -> Result<(), String> {
    let reason = "must be {\"count\": VMS} or {\"percent\": 0 to 100}";
    let members = value.as_object().filter(|members| members.len() == 1);
    let (key, number) = members
        .and_then(|members| members.iter().next())
        .ok_or(reason)?;
    match key.as_str() {
        "count" => check_number(number, u32::MAX.into()),
        "percent" => check_number(number, 100),
        _ => Err(reason.into()),
    }
}
