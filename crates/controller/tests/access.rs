//! Who may call what, by which version of the configuration.

use {
    lynxwheel_controller::{Access, Credentials, Denial, judge},
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

/// Returns a configuration in which these keys are the account's.
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

/// Returns for which account a request is taken.
fn account(
    config: &FleetConfig,
    path: &str,
    key: Result<&str, KeyError>,
) -> Result<String, Denial> {
    let judged = judge(config, &credentials(path, key));
    judged.map(|access: Access| access.account.to_string())
}

macro_rules! cases {
    ($($(#[$doc:meta])* $name:ident: $path:expr, $key:expr => $expected:expr;)*) => {
        $($(#[$doc])* #[test] fn $name() {
            let expected: Result<&str, Denial> = $expected;
            let judged = account(&config(3, &["k-1", "k-2"]), $path, $key);
            assert_eq!(judged, expected.map(ToString::to_string));
        })*
    };
}

cases! {
    a_key_stands_for_its_account: &format!("/maps/{JOB}"), Ok("k-2") => Ok("hall");
    /// Guards against a job that runs for a caller with a key that no configuration ever held.
    an_unknown_key_is_refused: &format!("/maps/{JOB}"), Ok("k-3") => Err(Denial::UnknownKey);
    a_part_of_a_key_is_refused: &format!("/maps/{JOB}"), Ok("k-") => Err(Denial::UnknownKey);
    a_request_without_a_key_is_refused: &format!("/maps/{JOB}"), Err(KeyError::Missing)
        => Err(Denial::BadKey(KeyError::Missing));
    /// Guards against a queue's count being told to strangers.
    the_count_needs_a_key: "/maps/", Err(KeyError::Missing) => Err(Denial::BadKey(KeyError::Missing));
    a_public_queue_needs_no_key: &format!("/open/{JOB}"), Err(KeyError::Missing) => Ok("");
    /// Guards against a key on a public queue charging its account.
    a_key_on_a_public_queue_counts_for_nobody: &format!("/open/{JOB}"), Ok("k-1") => Ok("");
    an_unknown_queue_is_no_matter_of_keys: "/none/", Ok("k-3") => Err(Denial::NoQueue);
    what_is_no_id_is_refused: "/maps/x", Ok("k-1") => Err(Denial::NoJobId);
}

/// Guards against a decision by a version that is not the one named with it.
#[test]
fn each_version_judges_by_its_own_keys() {
    let versions = [
        config(0, &["k-1"]),
        config(4, &["k-1"]),
        config(9, &["k-2"]),
    ];
    let judged = versions.map(|config| {
        let judged = judge(&config, &credentials("/maps/", Ok("k-1")));
        judged.map(|access| access.version)
    });
    assert_eq!(
        judged,
        [Err(Denial::NoConfig), Ok(4), Err(Denial::UnknownKey)]
    );
}
