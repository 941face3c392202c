//! What a caller's request says about itself.

use {
    crate::{
        key_age::uuid_v7_timestamp_ms,
        refusal::{Refusal, RefusalReason},
    },
    http::{HeaderMap, Method, header, request::Parts},
    lynxwheel_protocol::{Class, RequestKey},
    xxhash_rust::xxh3::{xxh3_64, xxh3_128},
};

/// Header that names a non-idempotent request, so that it runs at most once.
pub const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";

/// Header with the time at which the key was first used, in milliseconds since the epoch.
pub const ISSUED_HEADER: &str = "lynxwheel-issued-ms";

/// Header with the time that the caller waits, in milliseconds.
pub const DEADLINE_HEADER: &str = "lynxwheel-deadline-ms";

/// Header with the class.
pub const CLASS_HEADER: &str = "lynxwheel-class";

/// Header with the caller's team.
pub const TEAM_HEADER: &str = "lynxwheel-team";

/// Header by which callers name their request in logs.
pub const REQUEST_ID_HEADER: &str = "x-request-id";

/// Characters of an idempotency key at most.
const MAX_KEY_CHARS: usize = 255;

/// A caller's request without its body.
#[derive(Clone, Debug)]
pub struct CallerRequest {
    /// Service named by the path's first segment.
    pub service: String,
    /// Rest of the path, with the query.
    pub path: String,
    /// Method.
    pub method: Method,
    /// Headers.
    pub headers: HeaderMap,
    /// Caller's name for the request.
    pub request_id: String,
    /// Team, empty when not told.
    pub team: String,
    /// Class.
    pub class: Class,
    /// Time that the caller waits, in milliseconds.
    pub deadline_ms: Option<u64>,
    /// Idempotency key.
    pub key: Option<String>,
    /// When the key was first used, in milliseconds since the epoch, if the caller tells.
    pub issued_ms: Option<u64>,
    /// Whether another node passed it on, which has done all but the dispatch.
    pub is_forwarded: bool,
}

impl CallerRequest {
    /// Reads a request's head.
    ///
    /// # Errors
    ///
    /// Returns the refusal of a malformed head.
    pub fn from_parts(parts: Parts) -> Result<Self, Refusal> {
        check_host(&parts)?;
        let path = parts.uri.path().trim_start_matches('/');
        let (service, rest) = path.split_once('/').unwrap_or((path, ""));
        let query = parts
            .uri
            .query()
            .map(|query| format!("?{query}"))
            .unwrap_or_default();
        let class = match text(&parts.headers, CLASS_HEADER)? {
            None => Class::default(),
            Some(name) => {
                Class::from_text(&name).ok_or_else(|| bad(CLASS_HEADER, "no such class"))?
            }
        };
        let deadline_ms = number(&parts.headers, DEADLINE_HEADER)?;
        let key = text(&parts.headers, IDEMPOTENCY_KEY_HEADER)?;
        if key
            .as_ref()
            .is_some_and(|key| key.is_empty() || key.len() > MAX_KEY_CHARS)
        {
            return Err(bad(IDEMPOTENCY_KEY_HEADER, "must have 1 to 255 characters"));
        }
        let issued_ms = match number(&parts.headers, ISSUED_HEADER)? {
            Some(issued_ms) => Some(issued_ms),
            None => key.as_deref().and_then(uuid_v7_timestamp_ms),
        };
        Ok(Self {
            service: service.to_owned(),
            path: format!("/{rest}{query}"),
            request_id: text(&parts.headers, REQUEST_ID_HEADER)?.unwrap_or_default(),
            team: text(&parts.headers, TEAM_HEADER)?.unwrap_or_default(),
            method: parts.method,
            headers: parts.headers,
            class,
            deadline_ms,
            key,
            issued_ms,
            is_forwarded: false,
        })
    }

    /// Tells whether the request may be run again.
    #[must_use]
    pub fn is_idempotent(&self) -> bool {
        self.method.is_idempotent()
    }

    /// Returns the digest under which the key is kept.
    #[must_use]
    pub fn request_key(&self, key: &str) -> RequestKey {
        RequestKey(xxh3_128(
            format!("{}\n{}\n{key}", self.service, self.team).as_bytes(),
        ))
    }

    /// Returns a digest that differs for another request under the same key.
    #[must_use]
    pub fn digest(&self, body: &[u8]) -> u64 {
        let head = format!("{}\n{}\n{}\n", self.method, self.path, xxh3_64(body));
        xxh3_64(head.as_bytes())
    }
}

/// Refuses heads with several hosts, of which two readers could take a different one.
fn check_host(parts: &Parts) -> Result<(), Refusal> {
    if parts.headers.get_all(header::HOST).iter().count() > 1 {
        return Err(bad("host", "must come once"));
    }
    Ok(())
}

fn text(headers: &HeaderMap, name: &str) -> Result<Option<String>, Refusal> {
    headers
        .get(name)
        .map(|value| {
            value
                .to_str()
                .map(str::to_owned)
                .map_err(|_| bad(name, "must be ASCII"))
        })
        .transpose()
}

fn number(headers: &HeaderMap, name: &str) -> Result<Option<u64>, Refusal> {
    text(headers, name)?
        .map(|number| {
            number
                .parse()
                .map_err(|_| bad(name, "must be a whole number"))
        })
        .transpose()
}

fn bad(header: &str, reason: &str) -> Refusal {
    Refusal::not_run(
        RefusalReason::BadRequest,
        format!("header {header}: {reason}"),
    )
}
