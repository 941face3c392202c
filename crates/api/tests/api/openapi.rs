//! The committed `OpenAPI` document.

use {
    lynxwheel_api::{openapi, routes},
    lynxwheel_protocol::{Kind, fields},
    serde_json::Value,
    std::{fs, path::Path},
};

fn committed_document() -> Value {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/openapi.json");
    let text = fs::read_to_string(path).expect("docs/openapi.json");
    serde_json::from_str(&text).expect("JSON")
}

#[test]
fn committed_document_is_up_to_date() {
    let hint = "run: cargo run -p lynxwheel-api --example openapi > docs/openapi.json";
    assert!(
        committed_document() == openapi(),
        "docs/openapi.json is out of date; {hint}"
    );
}

#[test]
fn every_route_is_documented() {
    for route in routes() {
        let method = route.method.as_str().to_lowercase();
        assert!(
            committed_document()["paths"][route.path][&method].is_object(),
            "{method} {}",
            route.path
        );
    }
}

#[test]
fn every_field_of_every_kind_is_documented() {
    for kind in Kind::ALL {
        for field in fields(kind) {
            let schemas = &committed_document()["components"]["schemas"];
            let mut schema = schemas[kind.as_str()]["properties"]["spec"].clone();
            for key in field.path.split('.') {
                schema = schema["properties"][key].clone();
            }
            assert!(schema["description"].is_string(), "{kind} {}", field.path);
        }
    }
}
