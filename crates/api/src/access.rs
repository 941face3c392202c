//! Authentication and authorization by bearer tokens.

use {
    http::{HeaderMap, header},
    lynxwheel_protocol::{Kind, Problem, ProblemReason},
    sha2::{Digest, Sha256},
    std::fmt,
    subtle::{Choice, ConditionallySelectable, ConstantTimeEq},
};

/// Permissions of a token; each role includes the previous ones.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Role {
    /// Read everything.
    Read,
    /// Also write VMs, services, jobs and waves.
    Operate,
    /// Also write policies, teams and pools, which define the promises to customers.
    Administer,
}

impl Role {
    /// Returns the name that settings and errors use.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Read => "read",
            Self::Operate => "operate",
            Self::Administer => "administer",
        }
    }

    /// Returns the role with a name.
    #[must_use]
    pub fn from_text(text: &str) -> Option<Self> {
        [Self::Read, Self::Operate, Self::Administer]
            .into_iter()
            .find(|role| role.as_str() == text)
    }

    /// Returns the role required to write resources of a kind.
    #[must_use]
    pub fn required_to_write(kind: Kind) -> Self {
        match kind {
            Kind::Policy | Kind::Pool | Kind::Team => Self::Administer,
            Kind::Job | Kind::Service | Kind::Vm | Kind::Wave => Self::Operate,
        }
    }
}

/// Accepted token, stored as a digest.
#[derive(Clone)]
pub struct AccessToken {
    name: String,
    role: Role,
    digest: [u8; 32],
}

impl AccessToken {
    /// Creates a token with `role`; `name` identifies its holder in logs.
    #[must_use]
    pub fn new(name: &str, role: Role, token: &str) -> Self {
        Self {
            name: name.into(),
            role,
            digest: digest(token),
        }
    }
}

impl fmt::Debug for AccessToken {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "AccessToken({}, {:?})", self.name, self.role)
    }
}

/// Sender of an authenticated request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Operator {
    /// Name of the token, for logs.
    pub name: String,
    /// Role of the token.
    pub role: Role,
}

/// Accepted tokens.
#[derive(Clone, Debug, Default)]
pub struct AccessControl {
    tokens: Vec<AccessToken>,
}

impl AccessControl {
    /// Accepts `tokens`; if there are none, requests need no token and have the administrator role.
    #[must_use]
    pub fn new(tokens: Vec<AccessToken>) -> Self {
        Self { tokens }
    }

    /// Returns whether requests need no token.
    #[must_use]
    pub fn is_open(&self) -> bool {
        self.tokens.is_empty()
    }

    /// Authenticates a request and checks that its role is sufficient.
    ///
    /// # Errors
    ///
    /// Fails when the token is missing or unknown, or its role is insufficient.
    pub fn check(&self, headers: &HeaderMap, required: Role) -> Result<Operator, Problem> {
        let operator = self.authenticate(headers)?;
        if operator.role < required {
            let detail = format!(
                "the token of {} has role {}, and this needs {}",
                operator.name,
                operator.role.as_str(),
                required.as_str()
            );
            return Err(Problem::new(ProblemReason::Forbidden, detail));
        }
        Ok(operator)
    }

    fn authenticate(&self, headers: &HeaderMap) -> Result<Operator, Problem> {
        if self.is_open() {
            return Ok(Operator {
                name: "anyone".into(),
                role: Role::Administer,
            });
        }
        let unauthenticated = |detail| Problem::new(ProblemReason::Unauthenticated, detail);
        let token = bearer_token(headers)
            .ok_or_else(|| unauthenticated("send a header Authorization: Bearer TOKEN"))?;
        self.find(token)
            .ok_or_else(|| unauthenticated("the token is not known"))
    }

    /// Finds a token by its digest in constant time.
    ///
    /// Guards against timing attacks: all tokens are compared completely, whichever matches, and
    /// the compared values are digests, which a caller cannot choose.
    fn find(&self, token: &str) -> Option<Operator> {
        let digest = digest(token);
        let mut found_index = u32::MAX;
        for (index, token_entry) in (0_u32..).zip(&self.tokens) {
            let is_equal: Choice = token_entry.digest.ct_eq(&digest);
            found_index.conditional_assign(&index, is_equal);
        }
        let token_entry = self.tokens.get(usize::try_from(found_index).ok()?)?;
        Some(Operator {
            name: token_entry.name.clone(),
            role: token_entry.role,
        })
    }
}

fn bearer_token(headers: &HeaderMap) -> Option<&str> {
    let value = headers.get(header::AUTHORIZATION)?.to_str().ok()?;
    let (scheme, token) = value.split_once(' ')?;
    scheme.eq_ignore_ascii_case("bearer").then(|| token.trim())
}

fn digest(token: &str) -> [u8; 32] {
    Sha256::digest(token.as_bytes()).into()
}
