//! Authorization of requests by queue, key and configuration version.

use {
    lynxwheel_controller::{Access, Credentials, Denial, authorize},
    lynxwheel_engine::{ClientAccount, ClientAccounts, FleetConfig, KeyDigest, KeyError, Queue},
};

const JOB: &str = "5c0e7a21d94b36f8";

fn queue(path_prefix: &str, is_public: bool) -> Queue {
    Queue {
        host: "a.example".into(),
        path_prefix: path_prefix.into(),
        is_public,
        ..Queue::default()
    }
}

/// Returns a configuration with one account that has these keys.
fn config(version: u64, keys: &[&str]) -> FleetConfig {
    let account = ClientAccount {
        name: "hall".into(),
        keys: keys
            .iter()
            .map(|key| KeyDigest::new(key.as_bytes()))
            .collect(),
        ..ClientAccount::default()
    };
    FleetConfig {
        version,
        queues: vec![queue("/maps/", false), queue("/open/", true)],
        accounts: ClientAccounts::new(vec![account]),
        ..FleetConfig::default()
    }
}

fn credentials(path: &str, key: Result<&str, KeyError>) -> Credentials {
    Credentials {
        host: "a.example".into(),
        path: path.into(),
        key: key.map(|key| KeyDigest::new(key.as_bytes())),
    }
}

/// Returns the account under which a request is authorized.
fn account(
    config: &FleetConfig,
    path: &str,
    key: Result<&str, KeyError>,
) -> Result<String, Denial> {
    let authorized = authorize(config, &credentials(path, key));
    authorized.map(|access: Access| access.account.to_string())
}

macro_rules! cases {
    ($($(#[$doc:meta])* $name:ident: $path:expr, $key:expr => $expected:expr;)*) => {
        $($(#[$doc])* #[test] fn $name() {
            let expected: Result<&str, Denial> = $expected;
            let authorized = account(&config(3, &["k-1", "k-2"]), $path, $key);
            assert_eq!(authorized, expected.map(ToString::to_string));
        })*
    };
}

cases! {
    known_key_selects_its_account: &format!("/maps/{JOB}"), Ok("k-2") => Ok("hall");
    /// Guards against running jobs for callers with a key that was never configured.
    unknown_key_is_denied: &format!("/maps/{JOB}"), Ok("k-3") => Err(Denial::UnknownKey);
    key_prefix_is_denied: &format!("/maps/{JOB}"), Ok("k-") => Err(Denial::UnknownKey);
    missing_key_is_denied: &format!("/maps/{JOB}"), Err(KeyError::Missing)
        => Err(Denial::InvalidKey(KeyError::Missing));
    /// Guards against disclosing a queue's count to callers without a key.
    pending_count_requires_key: "/maps/", Err(KeyError::Missing)
        => Err(Denial::InvalidKey(KeyError::Missing));
    public_queue_requires_no_key: &format!("/open/{JOB}"), Err(KeyError::Missing) => Ok("");
    /// Guards against charging an account for requests to a public queue.
    key_on_public_queue_is_ignored: &format!("/open/{JOB}"), Ok("k-1") => Ok("");
    unknown_queue_is_reported_before_unknown_key: "/none/", Ok("k-3") => Err(Denial::UnknownQueue);
    invalid_job_id_is_denied: "/maps/x", Ok("k-1") => Err(Denial::InvalidJobId);
}

/// Guards against reporting a version other than the one used for the decision.
#[test]
fn each_config_version_uses_its_own_keys() {
    let versions = [
        config(0, &["k-1"]),
        config(4, &["k-1"]),
        config(9, &["k-2"]),
    ];
    let authorized = versions.map(|config| {
        let authorized = authorize(&config, &credentials("/maps/", Ok("k-1")));
        authorized.map(|access| access.config_version)
    });
    assert_eq!(
        authorized,
        [Err(Denial::NoConfig), Ok(4), Err(Denial::UnknownKey)]
    );
}
