//! Declarations of operators.

use {
    crate::inputs::{check_all, nested, texts},
    lynxwheel_protocol::{Kind, parse_resource, parse_spec},
    serde_json::Value,
};

const DECLARATIONS: [&str; 3] = [
    r#"{"kind":"pool","spec":{"name":"a","size":3,"budget":{"min_available":{"count":2},"zones_at_once":1}}}"#,
    r#"{"kind":"job","spec":{"name":"j","pool":"a","team":"t","class":"urgent","demand":{"cores_milli":1},"run_time_ms":1,"checkpoint":true,"max_attempts":1,"cancelled":false}}"#,
    r#"{"kind":"wave","spec":{"name":"w","pools":["a"],"action":"reboot","goal":"run","due_before_ms":1,"deadline_ms":0}}"#,
];

fn parse(text: &str) {
    let Ok(value) = serde_json::from_str::<Value>(text) else {
        return;
    };
    for kind in Kind::ALL {
        drop(parse_resource(kind, "a", &value));
        drop(parse_spec(kind, "a", &value));
        drop(parse_spec(kind, "a", &value["spec"]));
    }
}

#[test]
fn random_declarations() {
    check_all(5, &texts(&DECLARATIONS), |text| {
        parse(&text);
        true
    });
}

#[test]
fn nested_declarations() {
    for bytes in nested() {
        parse(&String::from_utf8_lossy(&bytes));
    }
}
