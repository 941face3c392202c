//! Configurations that arrive late or repeatedly.

use lynxwheel_engine::{Engine, EngineSettings, Event, FleetConfig, Now};

/// Guards against a late or repeated configuration undoing a newer one.
#[test]
fn older_configuration_does_not_undo_a_newer_one() {
    let mut engine = Engine::new(EngineSettings::default());
    let now = Now {
        steady_ms: 1_000,
        wall_ms: 1_000,
    };
    for version in [4, 9, 4, 8] {
        let config = FleetConfig {
            version,
            ..FleetConfig::default()
        };
        engine.handle(Event::ConfigChanged(config.into()), now);
    }
    assert_eq!(engine.config_version(), 9);
}
