//! Access by bearer tokens.

use {
    http::{HeaderMap, header},
    lynxwheel_protocol::{Kind, Problem, ProblemReason},
    sha2::{Digest, Sha256},
    std::fmt,
    subtle::{Choice, ConditionallySelectable, ConstantTimeEq},
};

/// What the holder of a token may do; each role includes the ones before.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Role {
    /// Look at everything.
    Read,
    /// Also declare VMs, services, jobs and waves.
    Operate,
    /// Also declare what customers were promised: policies, teams and pools.
    Administer,
}

impl Role {
    /// Returns the name used in settings and errors.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Read => "read",
            Self::Operate => "operate",
            Self::Administer => "administer",
        }
    }

    /// Returns the role of a name, if there is one.
    #[must_use]
    pub fn from_text(text: &str) -> Option<Self> {
        [Self::Read, Self::Operate, Self::Administer]
            .into_iter()
            .find(|role| role.as_str() == text)
    }

    /// Returns the role needed to write a kind.
    #[must_use]
    pub fn required_to_write(kind: Kind) -> Self {
        match kind {
            Kind::Policy | Kind::Pool | Kind::Team => Self::Administer,
            Kind::Job | Kind::Service | Kind::Vm | Kind::Wave => Self::Operate,
        }
    }
}

/// A token that is accepted; only its digest is kept.
#[derive(Clone)]
pub struct AccessToken {
    name: String,
    role: Role,
    digest: [u8; 32],
}

impl AccessToken {
    /// Accepts `token` for `role`; `name` is what logs call its holder.
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

/// Who made a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Operator {
    /// Name of the token, for logs.
    pub name: String,
    /// What it may do.
    pub role: Role,
}

/// Tokens that are accepted.
#[derive(Clone, Debug, Default)]
pub struct AccessControl {
    tokens: Vec<AccessToken>,
}

impl AccessControl {
    /// Accepts these tokens; without any, every request is taken for an administrator's.
    #[must_use]
    pub fn new(tokens: Vec<AccessToken>) -> Self {
        Self { tokens }
    }

    /// Tells whether requests need no token.
    #[must_use]
    pub fn is_open(&self) -> bool {
        self.tokens.is_empty()
    }

    /// Returns who made a request, if the role suffices.
    ///
    /// # Errors
    ///
    /// Returns the problem when the token is missing, not known or of too low a role.
    pub fn check(&self, headers: &HeaderMap, needed: Role) -> Result<Operator, Problem> {
        let operator = self.operator(headers)?;
        if operator.role < needed {
            let detail = format!(
                "the token of {} has role {}, and this needs {}",
                operator.name,
                operator.role.as_str(),
                needed.as_str()
            );
            return Err(Problem::new(ProblemReason::Forbidden, detail));
        }
        Ok(operator)
    }

    fn operator(&self, headers: &HeaderMap) -> Result<Operator, Problem> {
        if self.is_open() {
            return Ok(Operator {
                name: "anyone".into(),
                role: Role::Administer,
            });
        }
        let unauthenticated = |detail| Problem::new(ProblemReason::Unauthenticated, detail);
        let token = bearer(headers)
            .ok_or_else(|| unauthenticated("send a header Authorization: Bearer TOKEN"))?;
        self.find(token)
            .ok_or_else(|| unauthenticated("the token is not known"))
    }

    /// Finds a token by its digest.
    ///
    /// A comparison that ends at the first difference lets a stranger learn a token piece by
    /// piece from the time of refusals. Here every token is compared to its end, whichever
    /// matches, and what is compared is a digest that the stranger cannot steer.
    fn find(&self, token: &str) -> Option<Operator> {
        let digest = digest(token);
        let mut found = u32::MAX;
        for (row, known) in (0_u32..).zip(&self.tokens) {
            let is_same: Choice = known.digest.ct_eq(&digest);
            found.conditional_assign(&row, is_same);
        }
        let known = self.tokens.get(usize::try_from(found).ok()?)?;
        Some(Operator {
            name: known.name.clone(),
            role: known.role,
        })
    }
}

fn bearer(headers: &HeaderMap) -> Option<&str> {
    let value = headers.get(header::AUTHORIZATION)?.to_str().ok()?;
    let (scheme, token) = value.split_once(' ')?;
    scheme.eq_ignore_ascii_case("bearer").then(|| token.trim())
}

fn digest(token: &str) -> [u8; 32] {
    Sha256::digest(token.as_bytes()).into()
}
