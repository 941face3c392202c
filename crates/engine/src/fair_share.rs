//! Weighted max-min fairness between client accounts while capacity is short.
//!
//! Accounts that want less than their share get all they want, and the remainder is divided among
//! the others by weight. An account with excess demand therefore only gets what the others leave.

/// Multiple of its share from which an account has excess demand; usual variation stays below it.
const EXCESS_FACTOR: f64 = 2.0;

/// Demand of an account for a resource.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct AccountDemand {
    /// Weight of the account.
    pub weight: f64,
    /// Amount in use.
    pub held: f64,
    /// Amount in use and waiting.
    pub wanted: f64,
}

impl AccountDemand {
    /// Returns the share of the account at a level.
    #[must_use]
    pub fn share(&self, level: f64) -> f64 {
        self.weight * level
    }

    /// Returns whether the demand exceeds the share at a level.
    #[must_use]
    pub fn exceeds_share(&self, level: f64) -> bool {
        level.is_finite() && self.wanted > self.share(level)
    }

    /// Returns whether the demand far exceeds the share at a level.
    #[must_use]
    pub fn has_excess_demand(&self, level: f64) -> bool {
        level.is_finite() && self.wanted >= EXCESS_FACTOR * self.share(level)
    }
}

/// Returns the amount per unit of weight if all demands and `free` are divided fairly; infinite if
/// every demand can be met.
#[must_use]
pub fn fair_level(demands: &[AccountDemand], free: f64) -> f64 {
    let mut demands: Vec<&AccountDemand> = demands
        .iter()
        .filter(|demand| demand.weight > 0.0)
        .collect();
    demands.sort_by(|one, other| {
        let per_weight = |demand: &AccountDemand| demand.wanted / demand.weight;
        per_weight(one).total_cmp(&per_weight(other))
    });
    let mut left = free + demands.iter().map(|demand| demand.held).sum::<f64>();
    let mut weight: f64 = demands.iter().map(|demand| demand.weight).sum();
    for demand in demands {
        let level = left / weight;
        if demand.wanted > level * demand.weight {
            return level;
        }
        left -= demand.wanted;
        weight -= demand.weight;
    }
    f64::INFINITY
}
