//! `OpenAPI` document, generated from the tables that validate requests.

use {
    crate::routes::{Action, Route, routes},
    lynxwheel_protocol::{Field, FieldDefault, FieldType, Kind, MAX_NAME_CHARS, fields},
    serde_json::{Map, Value, json},
};

/// Returns the `OpenAPI` document for all routes and kinds.
#[must_use]
pub fn openapi() -> Value {
    let mut paths = Map::new();
    for route in routes() {
        let path = paths.entry(route.path).or_insert_with(|| json!({}));
        path[route.method.as_str().to_lowercase()] = operation(&route);
    }
    json!({
        "openapi": "3.1.0",
        "info": {
            "title": "lynxwheel resource API",
            "version": "v1",
            "description": "Every answer has the headers x-lynxwheel-current (whether the node \
                knows that it has seen everything up to a moment ago) and x-lynxwheel-revision \
                (the log offset up to which it has folded).",
        },
        "security": [{ "token": [] }],
        "paths": paths,
        "components": {
            "securitySchemes": { "token": { "type": "http", "scheme": "bearer" } },
            "schemas": schemas(),
        },
    })
}

fn operation(route: &Route) -> Value {
    let mut operation = json!({
        "summary": route.summary,
        "operationId": format!("{:?}", route.action),
        "parameters": parameters(route),
        "responses": {
            "200": { "description": success_description(route.action) },
            "4XX": problem_response("Not carried out; nothing was changed"),
            "503": problem_response("Not carried out now; nothing was changed, come back"),
        },
    });
    if matches!(route.action, Action::Delete | Action::Put) {
        operation["responses"]["504"] =
            problem_response("The outcome is unknown; look the operation up");
    }
    if route.action == Action::Put {
        operation["requestBody"] = json!({
            "required": true,
            "content": { "application/json": { "schema": schema_reference("Resource") } },
        });
    }
    operation
}

fn success_description(action: Action) -> &'static str {
    match action {
        Action::List => "A page of resources, or JSON lines of changes for watch=true",
        Action::Get => "The resource with its revision, conditions and status",
        Action::Explain => "The reason, with the revision it holds for",
        Action::Put | Action::Delete => "The revision and the operation, or a trial's outcome",
        Action::ListMoves => "Moves by VM",
        Action::ListOperations => "Operations, the last one first",
        Action::GetOperation => "accepted, rejected, not_seen or too_old",
        Action::OpenApi => "This page",
    }
}

fn problem_response(description: &str) -> Value {
    json!({
        "description": description,
        "content": { "application/json": { "schema": schema_reference("Problem") } },
    })
}

fn schema_reference(name: &str) -> Value {
    json!({ "$ref": format!("#/components/schemas/{name}") })
}

fn parameters(route: &Route) -> Vec<Value> {
    let mut parameters = Vec::new();
    let mut add = |name: &str, location: &str, schema: Value, description: &str| {
        parameters.push(json!({
            "name": name, "in": location, "required": location == "path",
            "schema": schema, "description": description,
        }));
    };
    if route.path.contains("{kind}") {
        let kinds: Vec<&str> = Kind::ALL.iter().map(|kind| kind.as_str()).collect();
        add(
            "kind",
            "path",
            json!({ "type": "string", "enum": kinds }),
            "Kind",
        );
    }
    if route.path.contains("{name}") {
        add("name", "path", name_schema(), "Name");
    }
    if route.path.contains("{operation}") {
        add(
            "operation",
            "path",
            json!({ "type": "string" }),
            "INCARNATION-SEQUENCE",
        );
    }
    let number = || json!({ "type": "integer", "minimum": 0 });
    let flag = || json!({ "type": "boolean", "default": false });
    if route.action == Action::List {
        add("limit", "query", number(), "Resources on a page at most");
        add(
            "continue",
            "query",
            json!({ "type": "string" }),
            "Where the page starts",
        );
        add("watch", "query", flag(), "Stream changes instead");
        add(
            "from",
            "query",
            number(),
            "Watch: revision after which changes are told",
        );
        add("name", "query", name_schema(), "Watch: only this resource");
    }
    if matches!(route.action, Action::Delete | Action::Put) {
        add("dry_run", "query", flag(), "Check only");
        add(
            "If-Match",
            "header",
            number(),
            "Revision expected; 0: must not exist",
        );
        add(
            "If-None-Match",
            "header",
            json!({ "const": "*" }),
            "Must not exist",
        );
    }
    parameters
}

fn schemas() -> Value {
    let mut schemas = Map::new();
    let mut kinds = Vec::new();
    for kind in Kind::ALL {
        schemas.insert(kind.as_str().into(), kind_schema(kind));
        kinds.push(schema_reference(kind.as_str()));
    }
    schemas.insert("Resource".into(), json!({ "oneOf": kinds }));
    schemas.insert("Problem".into(), problem_schema());
    Value::Object(schemas)
}

fn problem_schema() -> Value {
    let text = json!({ "type": "string" });
    let number = json!({ "type": "integer" });
    json!({
        "type": "object",
        "required": ["reason", "detail"],
        "properties": {
            "reason": text, "detail": text,
            "errors": { "type": "array", "items": {
                "type": "object", "properties": { "field": text, "reason": text },
            } },
            "needed_by": { "type": "array", "items": {
                "type": "object", "properties": { "kind": text, "name": text },
            } },
            "revision": number, "operation": text, "retry_after_ms": number,
        },
    })
}

fn kind_schema(kind: Kind) -> Value {
    let mut spec = json!({ "type": "object", "additionalProperties": false, "properties": {} });
    for field in fields(kind) {
        let (group, key) = field.path.split_once('.').unwrap_or(("", field.path));
        let target = if group.is_empty() {
            &mut spec
        } else {
            let group = &mut spec["properties"][group];
            if group.is_null() {
                *group = json!({
                    "type": "object", "additionalProperties": false, "properties": {},
                });
            }
            group
        };
        target["properties"][key] = field_schema(field);
    }
    json!({
        "type": "object",
        "required": ["kind", "spec"],
        "additionalProperties": false,
        "properties": { "kind": { "const": kind.as_str() }, "spec": spec },
    })
}

fn field_schema(field: &Field) -> Value {
    let mut schema = match field.field_type {
        FieldType::Name => name_schema(),
        FieldType::Names => json!({ "type": "array", "items": name_schema() }),
        FieldType::Count => json!({ "type": "integer", "minimum": 0, "maximum": u32::MAX }),
        FieldType::Milliseconds => json!({ "type": "integer", "minimum": 0 }),
        FieldType::Flag => json!({ "type": "boolean" }),
        FieldType::Choice(words) => json!({ "type": "string", "enum": words }),
        FieldType::Amount => json!({ "oneOf": [
            { "type": "object", "properties": { "count": { "type": "integer" } } },
            { "type": "object", "properties": {
                "percent": { "type": "integer", "minimum": 0, "maximum": 100 } } },
        ] }),
    };
    schema["description"] = json!(field.doc);
    match field.default {
        FieldDefault::Required => {
            schema["description"] = json!(format!("{} (required)", field.doc));
        }
        FieldDefault::Number(number) => schema["default"] = json!(number),
        FieldDefault::Flag(flag) => schema["default"] = json!(flag),
        FieldDefault::Word(word) => schema["default"] = json!(word),
    }
    schema
}

fn name_schema() -> Value {
    json!({ "type": "string", "pattern": "^[A-Za-z0-9_-][A-Za-z0-9._-]*$",
        "maxLength": MAX_NAME_CHARS })
}
