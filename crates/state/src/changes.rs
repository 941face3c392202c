//! Comparison of two states, in time proportional to their unshared chunks.

use {
    crate::{
        fleet::FleetState,
        table::{Keyed, SortedTable},
    },
    lynxwheel_protocol::Kind,
};

/// Names of the resources of one kind that differ between two states.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ChangedNames {
    /// Resources that are new or whose declaration or status differs, sorted.
    pub changed: Vec<String>,
    /// Resources that are no longer declared, sorted.
    pub removed: Vec<String>,
}

impl FleetState {
    /// Returns the resources of a kind that differ from those in an earlier state.
    ///
    /// The status of a wave depends on its VMs, so all waves count as changed if any VM did.
    #[must_use]
    pub fn changed_since(&self, earlier: &Self, kind: Kind) -> ChangedNames {
        match kind {
            Kind::Policy => changed_rows(&self.policies, &earlier.policies),
            Kind::Team => changed_rows(&self.teams, &earlier.teams),
            Kind::Pool => changed_rows(&self.pools, &earlier.pools),
            Kind::Vm => changed_rows(&self.vms, &earlier.vms),
            Kind::Service => changed_rows(&self.services, &earlier.services),
            Kind::Job => changed_rows(&self.jobs, &earlier.jobs),
            Kind::Wave => self.changed_waves(earlier),
        }
    }

    fn changed_waves(&self, earlier: &Self) -> ChangedNames {
        let mut names = changed_rows(&self.waves, &earlier.waves);
        let vms = changed_rows(&self.vms, &earlier.vms);
        if !vms.changed.is_empty() || !vms.removed.is_empty() {
            names.changed = self.names(Kind::Wave).into_iter().map(Into::into).collect();
        }
        names
    }
}

/// Compares two tables, skipping the chunks that they share.
fn changed_rows<T: Clone + Keyed<Key = str> + PartialEq>(
    now: &SortedTable<T>,
    earlier: &SortedTable<T>,
) -> ChangedNames {
    let (now, earlier) = now.unshared_rows(earlier);
    let mut names = ChangedNames::default();
    let mut earlier = earlier.into_iter().peekable();
    for row in now {
        while let Some(removed) = earlier.next_if(|old| old.key() < row.key()) {
            names.removed.push(removed.key().into());
        }
        match earlier.next_if(|old| old.key() == row.key()) {
            Some(old) if old == row => {}
            _ => names.changed.push(row.key().into()),
        }
    }
    names
        .removed
        .extend(earlier.map(|removed| removed.key().into()));
    names
}
