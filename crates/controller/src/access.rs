//! Who may call what: the queue and the client account of a caller's request.

use {
    compact_str::CompactString,
    lynxwheel_engine::{FleetConfig, JobId, KeyDigest, KeyError, Queue},
};

/// The part of a caller's request that decides whether it may call.
#[derive(Clone, Debug)]
pub struct Credentials {
    /// Host that the caller names.
    pub host: String,
    /// Path.
    pub path: String,
    /// Key, or why there is none.
    pub key: Result<KeyDigest, KeyError>,
}

/// A request that may be made, by one version of the configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct Access {
    /// Version of the configuration.
    pub version: u64,
    /// Queue.
    pub queue: Queue,
    /// Client account; empty for a queue that needs no key.
    pub account: CompactString,
    /// Job that the path names; nothing for the queue itself.
    pub job: Option<JobId>,
}

/// Why a request may not be made.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Denial {
    /// No configuration is known yet.
    NoConfig,
    /// No queue has this host and path.
    NoQueue,
    /// The request carries no key of the right form.
    BadKey(KeyError),
    /// The key stands for no account.
    UnknownKey,
    /// What follows the queue's path is no id of a job.
    NoJobId,
}

/// Decides whether a request may be made.
///
/// # Errors
///
/// Says why not.
pub fn judge(config: &FleetConfig, credentials: &Credentials) -> Result<Access, Denial> {
    if config.version == 0 {
        return Err(Denial::NoConfig);
    }
    let queue = config
        .queue_for(&credentials.host, &credentials.path)
        .ok_or(Denial::NoQueue)?;
    let account = if queue.is_public {
        CompactString::default()
    } else {
        let key = credentials.key.map_err(Denial::BadKey)?;
        let holder = config.accounts.holder_of(&key);
        holder.ok_or(Denial::UnknownKey)?.name.clone()
    };
    let rest = &credentials.path[queue.path_prefix.len()..];
    let job = match rest {
        "" => None,
        id => Some(id.parse().map_err(|_| Denial::NoJobId)?),
    };
    Ok(Access {
        version: config.version,
        queue: queue.clone(),
        account,
        job,
    })
}
