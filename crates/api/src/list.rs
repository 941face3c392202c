//! Paginated lists.

use {
    crate::{
        handler::Api,
        query::{ContinueToken, ListQuery},
        responses::too_old,
        status::resource_view,
    },
    lynxwheel_protocol::{Kind, Problem, ProblemReason, ResourceList, ResourceRef},
};

/// Retry delay for a node that has not reached a revision, in milliseconds.
const BEHIND_RETRY_MS: u32 = 500;

impl Api {
    /// Returns a page of the resources of a kind.
    ///
    /// Each page shows the state at the time of its request. All pages carry the revision of the
    /// first, so that a watch from there reports the changes made meanwhile. Once a watch can no
    /// longer start at that revision, further pages are rejected, since the caller would miss
    /// changes.
    pub(crate) fn list(&self, kind: Kind, query: &ListQuery) -> Result<ResourceList, Problem> {
        let current = self.node.is_current();
        let state = self.changes.catch_up(self.node.state());
        let revision = match &query.continue_at {
            Some(token) => {
                self.check_revision(token.revision)?;
                token.revision
            }
            None => state.offset(),
        };
        let after = query.continue_at.as_ref().map(|token| token.after.as_str());
        let names = state.names(kind);
        let first = after.map_or(0, |after| names.partition_point(|name| *name <= after));
        let page = &names[first..names.len().min(first + query.limit)];
        let is_last = first + page.len() == names.len();
        let continue_at = page.last().filter(|_| !is_last).map(|last| {
            let token = ContinueToken {
                revision,
                after: (*last).into(),
            };
            token.encode()
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

    /// Checks that this node knows all changes after `revision`.
    pub(crate) fn check_revision(&self, revision: u64) -> Result<(), Problem> {
        let offset = self.node.state().offset();
        if revision > offset {
            let detail = format!("this node has folded up to {offset} only");
            let mut problem = Problem::new(ProblemReason::Behind, detail);
            problem.retry_after_ms = Some(BEHIND_RETRY_MS);
            return Err(problem);
        }
        self.changes.check_offset(revision).map_err(too_old)
    }
}
