//! Parsing of callers' requests.

use {
    crate::{
        key_age::uuid_v7_timestamp_ms,
        refusal::{Refusal, RefusalReason},
    },
    http::{HeaderMap, Method, header, request::Parts},
    lynxwheel_protocol::{Class, RequestKey},
    xxhash_rust::xxh3::{xxh3_64, xxh3_128},
};

/// Header that identifies a non-idempotent request, so that it runs at most once.
pub const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";

/// Header with the time at which the key was first used, in milliseconds since the epoch.
pub const ISSUED_HEADER: &str = "lynxwheel-issued-ms";

/// Header with the time for which the caller waits, in milliseconds.
pub const DEADLINE_HEADER: &str = "lynxwheel-deadline-ms";

/// Header with the class of the request.
pub const CLASS_HEADER: &str = "lynxwheel-class";

/// Header with the caller's team.
pub const TEAM_HEADER: &str = "lynxwheel-team";

/// Header with the caller's identifier of the request, used in log lines.
pub const REQUEST_ID_HEADER: &str = "x-request-id";

/// Maximum length of an idempotency key.
const MAX_KEY_BYTES: usize = 255;

/// A caller's request without its body.
#[derive(Clone, Debug)]
pub struct CallerRequest {
    /// Service, named by the first segment of the path.
    pub service: String,
    /// Remaining path, with the query.
    pub path: String,
    /// HTTP method.
    pub method: Method,
    /// Request headers.
    pub headers: HeaderMap,
    /// Caller's identifier of the request; empty if not given.
    pub request_id: String,
    /// Caller's team; empty if not given.
    pub team: String,
    /// Class, by which queued requests are ordered.
    pub class: Class,
    /// Time for which the caller waits, in milliseconds.
    pub deadline_ms: Option<u64>,
    /// Idempotency key.
    pub key: Option<String>,
    /// Time of the first use of the key, in milliseconds since the epoch, if known.
    pub issued_ms: Option<u64>,
    /// Whether a peer forwarded the request, which only remains to be dispatched.
    pub is_forwarded: bool,
}

impl CallerRequest {
    /// Parses the head of a request.
    ///
    /// # Errors
    ///
    /// Returns a refusal if the head is malformed.
    pub fn from_parts(parts: Parts) -> Result<Self, Refusal> {
        check_host(&parts)?;
        let path = parts.uri.path().trim_start_matches('/');
        let (service, rest) = path.split_once('/').unwrap_or((path, ""));
        let query = parts
            .uri
            .query()
            .map(|query| format!("?{query}"))
            .unwrap_or_default();
        let class = match header_text(&parts.headers, CLASS_HEADER)? {
            None => Class::default(),
            Some(name) => {
                Class::from_text(&name).ok_or_else(|| bad_header(CLASS_HEADER, "no such class"))?
            }
        };
        let deadline_ms = header_number(&parts.headers, DEADLINE_HEADER)?;
        let key = header_text(&parts.headers, IDEMPOTENCY_KEY_HEADER)?;
        if key
            .as_ref()
            .is_some_and(|key| key.is_empty() || key.len() > MAX_KEY_BYTES)
        {
            return Err(bad_header(
                IDEMPOTENCY_KEY_HEADER,
                "must have 1 to 255 characters",
            ));
        }
        let issued_ms = match header_number(&parts.headers, ISSUED_HEADER)? {
            Some(issued_ms) => Some(issued_ms),
            None => key.as_deref().and_then(uuid_v7_timestamp_ms),
        };
        Ok(Self {
            service: service.to_owned(),
            path: format!("/{rest}{query}"),
            request_id: header_text(&parts.headers, REQUEST_ID_HEADER)?.unwrap_or_default(),
            team: header_text(&parts.headers, TEAM_HEADER)?.unwrap_or_default(),
            method: parts.method,
            headers: parts.headers,
            class,
            deadline_ms,
            key,
            issued_ms,
            is_forwarded: false,
        })
    }

    /// Returns whether the request may run more than once.
    #[must_use]
    pub fn is_idempotent(&self) -> bool {
        self.method.is_idempotent()
    }

    /// Returns the digest under which the caller's key is recorded.
    #[must_use]
    pub fn request_key(&self, key: &str) -> RequestKey {
        RequestKey(xxh3_128(
            format!("{}\n{}\n{key}", self.service, self.team).as_bytes(),
        ))
    }

    /// Returns a digest that detects another request with the same key.
    #[must_use]
    pub fn digest(&self, body: &[u8]) -> u64 {
        let head = format!("{}\n{}\n{}\n", self.method, self.path, xxh3_64(body));
        xxh3_64(head.as_bytes())
    }
}

/// Refuses heads with several `Host` headers, which a proxy could interpret differently.
fn check_host(parts: &Parts) -> Result<(), Refusal> {
    if parts.headers.get_all(header::HOST).iter().count() > 1 {
        return Err(bad_header("host", "must come once"));
    }
    Ok(())
}

fn header_text(headers: &HeaderMap, name: &str) -> Result<Option<String>, Refusal> {
    headers
        .get(name)
        .map(|value| {
            value
                .to_str()
                .map(str::to_owned)
                .map_err(|_| bad_header(name, "must be ASCII"))
        })
        .transpose()
}

fn header_number(headers: &HeaderMap, name: &str) -> Result<Option<u64>, Refusal> {
    header_text(headers, name)?
        .map(|number| {
            number
                .parse()
                .map_err(|_| bad_header(name, "must be a whole number"))
        })
        .transpose()
}

fn bad_header(header: &str, reason: &str) -> Refusal {
    Refusal::not_run(
        RefusalReason::BadRequest,
        format!("header {header}: {reason}"),
    )
}
