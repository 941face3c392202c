//! Settings files.

use {
    crate::inputs::{check_all, nested, texts},
    lynxwheel::Config,
};

const SETTINGS: &str = "[node]\nname = node-1\nzone = zone-1\n[listen]\ncallers = 127.0.0.1:1\n\
    operators = 127.0.0.1:2\npeers = 127.0.0.1:3\n[platform]\naddress = 127.0.0.1:4\n\
    stream = fleet\n[peers]\nnode-2 = 127.0.0.1:5\n[timing]\ntick_ms = 200\n[log]\nlevel = info\n";

/// Guards against panics and against errors that do not name the file.
#[test]
fn random_settings() {
    assert!(Config::parse("valid.ini", SETTINGS).is_ok());
    check_all(6, &texts(&[SETTINGS]), |text| {
        match Config::parse("any.ini", &text) {
            Ok(_) => true,
            Err(errors) => errors
                .iter()
                .all(|error| error.to_string().starts_with("any.ini")),
        }
    });
}

#[test]
fn nested_settings() {
    for bytes in nested() {
        let text = String::from_utf8_lossy(&bytes);
        assert!(Config::parse("nested.ini", &text).is_err());
    }
}
