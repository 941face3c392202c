//! Shares of client accounts while there is not room for all: weighted max-min fairness.
//!
//! Accounts that want less than their share get all of it, and what they leave is shared out among the
//! others by weight. So an account that sends many times its usual gets what is left over, and costs the
//! others nothing.

/// Multiple of its share that an account wants when it floods: demand that varies is none that floods.
const EXCESS_FACTOR: f64 = 2.0;

/// What an account wants of a resource.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Claim {
    /// Weight.
    pub weight: f64,
    /// What it has.
    pub held: f64,
    /// What it has and waits for.
    pub wanted: f64,
}

impl Claim {
    /// Returns the account's share at a level.
    #[must_use]
    pub fn share(&self, level: f64) -> f64 {
        self.weight * level
    }

    /// Tells whether the account wants far more than its share at a level.
    #[must_use]
    pub fn has_excess_demand(&self, level: f64) -> bool {
        level.is_finite() && self.wanted >= EXCESS_FACTOR * self.share(level)
    }
}

/// Returns how much of a resource each unit of weight gets when what is free and what all hold is shared
/// out fairly; infinite when that suffices for all.
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
