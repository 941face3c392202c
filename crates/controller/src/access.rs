//! Authorization of callers' requests by queue and API key.

use {
    compact_str::CompactString,
    lynxwheel_engine::{FleetConfig, JobId, KeyDigest, KeyError, Queue},
};

/// Parts of a request that determine its authorization.
#[derive(Clone, Debug)]
pub struct Credentials {
    /// Host named in the request.
    pub host: String,
    /// Path of the request.
    pub path: String,
    /// Digest of the API key, or why there is none.
    pub key: Result<KeyDigest, KeyError>,
}

/// Authorized request, by one version of the configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct Access {
    /// Version of the configuration.
    pub config_version: u64,
    /// Requested queue.
    pub queue: Queue,
    /// Client account; empty for a public queue.
    pub account: CompactString,
    /// Job named in the path; `None` for the queue itself.
    pub job: Option<JobId>,
}

/// Reason for denying a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Denial {
    /// No configuration is active yet.
    NoConfig,
    /// No queue matches the host and path.
    UnknownQueue,
    /// The key is missing or malformed.
    InvalidKey(KeyError),
    /// No account has the key.
    UnknownKey,
    /// The path does not end in a job id.
    InvalidJobId,
}

/// Authorizes a request.
///
/// # Errors
///
/// Returns the reason for denying it.
pub fn authorize(config: &FleetConfig, credentials: &Credentials) -> Result<Access, Denial> {
    if config.version == 0 {
        return Err(Denial::NoConfig);
    }
    let queue = config
        .queue_for(&credentials.host, &credentials.path)
        .ok_or(Denial::UnknownQueue)?;
    let account = if queue.is_public {
        CompactString::default()
    } else {
        let key = credentials.key.map_err(Denial::InvalidKey)?;
        let account = config.accounts.find_by_key(&key);
        account.ok_or(Denial::UnknownKey)?.name.clone()
    };
    let rest = &credentials.path[queue.path_prefix.len()..];
    let job = match rest {
        "" => None,
        id => Some(id.parse().map_err(|_| Denial::InvalidJobId)?),
    };
    Ok(Access {
        config_version: config.version,
        queue: queue.clone(),
        account,
        job,
    })
}
