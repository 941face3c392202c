//! Lists in pages.

use {
    crate::{
        answers::too_old,
        handler::Api,
        query::{ContinueAt, ListQuery},
        status::resource_view,
    },
    lynxwheel_protocol::{Kind, Problem, ProblemReason, ResourceList, ResourceRef},
};

/// Time after which to come back to a node that is behind, in milliseconds.
const BEHIND_RETRY_MS: u32 = 500;

impl Api {
    /// Returns a page of a kind.
    ///
    /// Every page after the first is made from the state of its own moment, and all of them carry
    /// the revision of the first: a watch from there tells what changed while paging. A list
    /// whose revision no longer can be watched from is refused, since the reader would miss
    /// what it cannot be told.
    pub(crate) fn list(&self, kind: Kind, query: &ListQuery) -> Result<ResourceList, Problem> {
        let current = self.node.is_current();
        let state = self.changes.catch_up(self.node.state());
        let revision = match &query.continue_at {
            Some(place) => {
                self.check_reach(place.revision)?;
                place.revision
            }
            None => state.offset(),
        };
        let after = query.continue_at.as_ref().map(|place| place.after.as_str());
        let names = state.names(kind);
        let first = after.map_or(0, |after| names.partition_point(|name| *name <= after));
        let page = &names[first..names.len().min(first + query.limit)];
        let is_last = first + page.len() == names.len();
        let continue_at = page.last().filter(|_| !is_last).map(|last| {
            let place = ContinueAt {
                revision,
                after: (*last).into(),
            };
            place.text()
        });
        let items = page
            .iter()
            .filter_map(|name| resource_view(&state, &ResourceRef::new(kind, name)))
            .collect();
        Ok(ResourceList {
            revision,
            current,
            items,
            continue_at,
        })
    }

    /// Tells whether this node can tell all changes from `revision` on.
    pub(crate) fn check_reach(&self, revision: u64) -> Result<(), Problem> {
        let offset = self.node.state().offset();
        if revision > offset {
            let detail = format!("this node has folded up to {offset} only");
            let mut problem = Problem::new(ProblemReason::Behind, detail);
            problem.retry_after_ms = Some(BEHIND_RETRY_MS);
            return Err(problem);
        }
        self.changes.check(revision).map_err(too_old)
    }
}
