//! Weighted max-min fairness between client accounts while capacity is short.
//!
//! Accounts that want less than their share get all they want, and the remainder is divided among
//! the others by weight. An account with excess demand therefore only gets what the others leave.

/// Multiple of its share from which an account has excess demand; usual variation stays below it.
const EXCESS_FACTOR: f64 = 2.0;

/// Demand of an account for a resource.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Claim {
    /// Weight of the account.
    pub weight: f64,
    /// Amount in use.
    pub held: f64,
    /// Amount in use and waiting.
    pub wanted: f64,
}

impl Claim {
    /// Returns the share of the account at a level.
    #[must_use]
    pub fn share(&self, level: f64) -> f64 {
        self.weight * level
    }

    /// Returns whether the demand far exceeds the share at a level.
    #[must_use]
    pub fn has_excess_demand(&self, level: f64) -> bool {
        level.is_finite() && self.wanted >= EXCESS_FACTOR * self.share(level)
    }
}

/// Returns the amount per unit of weight if all claims and `free` are divided fairly; infinite if
/// every claim can be met.
#[must_use]
pub fn fair_level(claims: &[Claim], free: f64) -> f64 {
    let mut claims: Vec<&Claim> = claims.iter().filter(|claim| claim.weight > 0.0).collect();
    claims.sort_by(|one, other| {
        let per_weight = |claim: &Claim| claim.wanted / claim.weight;
        per_weight(one).total_cmp(&per_weight(other))
    });
    let mut left = free + claims.iter().map(|claim| claim.held).sum::<f64>();
    let mut weight: f64 = claims.iter().map(|claim| claim.weight).sum();
    for claim in claims {
        let level = left / weight;
        if claim.wanted > level * claim.weight {
            return level;
        }
        left -= claim.wanted;
        weight -= claim.weight;
    }
    f64::INFINITY
}
