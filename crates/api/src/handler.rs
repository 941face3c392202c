//! Authorization and dispatch of API requests.

use {
    crate::{
        access::{AccessControl, Operator},
        changes::{ChangeLog, track_changes},
        openapi::openapi,
        query::{ListQuery, reject_parameters},
        responses::{add_node_headers, problem_response},
        routes::{Action, RouteMatch, Target, match_route, required_role},
        status::resource_view,
        write,
    },
    http::{Request, Response, StatusCode},
    log::info,
    lynxwheel_coordination::Node,
    lynxwheel_decisions::explain,
    lynxwheel_protocol::{
        ExplanationView, MoveList, MoveView, OperationId, OperationList, OperationView, Problem,
        ProblemReason, ResourceRef,
    },
    lynxwheel_state::FleetState,
    lynxwheel_transport::{Body, RequestBody, Shutdown, json_response},
    std::sync::Arc,
    tokio::sync::Semaphore,
};

/// Maximum number of open watches.
const MAX_WATCHES: usize = 256;

/// Maximum number of operations in a list.
const MAX_LISTED_OPERATIONS: usize = 100;

/// Handler of the resource API; clones share their state.
#[derive(Clone, Debug)]
pub struct Api {
    pub(crate) node: Node,
    pub(crate) changes: Arc<ChangeLog>,
    pub(crate) watches: Arc<Semaphore>,
    pub(crate) stop: Shutdown,
    access: Arc<AccessControl>,
}

impl Api {
    /// Starts the resource API of a node; `stop` ends open watches.
    ///
    /// Must be called within a Tokio runtime.
    #[must_use]
    pub fn start(node: Node, access: AccessControl, stop: Shutdown) -> Self {
        let changes = Arc::new(ChangeLog::new(node.state()));
        tokio::spawn(track_changes(
            node.clone(),
            Arc::clone(&changes),
            stop.clone(),
        ));
        Self {
            node,
            changes,
            watches: Arc::new(Semaphore::new(MAX_WATCHES)),
            stop,
            access: Arc::new(access),
        }
    }

    /// Handles a request.
    pub async fn handle(self, request: Request<RequestBody>) -> Response<Body> {
        let response = match self.authorize(&request) {
            Ok((action, target)) => self.dispatch(action, target, request).await,
            Err(problem) => Err(problem),
        };
        let response = response.unwrap_or_else(|problem| problem_response(&problem));
        add_node_headers(response, self.node.is_current(), self.node.state().offset())
    }

    fn authorize(&self, request: &Request<RequestBody>) -> Result<(Action, Target), Problem> {
        let (method, path) = (request.method(), request.uri().path());
        let (action, target) = match match_route(method, path) {
            RouteMatch::Found(action, target) => (action, target),
            RouteMatch::MethodNotAllowed => {
                return Err(Problem::new(
                    ProblemReason::MethodNotAllowed,
                    format!("{path} does not take {method}"),
                ));
            }
            RouteMatch::NotFound => {
                return Err(Problem::new(
                    ProblemReason::NotFound,
                    format!("no such path: {path}"),
                ));
            }
        };
        let role = required_role(action, &target);
        let operator = self.access.check(request.headers(), role)?;
        log_write(action, &target, &operator);
        Ok((action, target))
    }

    async fn dispatch(
        &self,
        action: Action,
        target: Target,
        request: Request<RequestBody>,
    ) -> Result<Response<Body>, Problem> {
        let query = request.uri().query();
        match (action, target) {
            (Action::List, Target::Kind(kind)) => {
                let query = ListQuery::parse(query)?;
                if query.watch {
                    return self.watch(kind, query);
                }
                Ok(json_response(StatusCode::OK, &self.list(kind, &query)?))
            }
            (Action::Get, Target::Resource(reference)) => {
                reject_parameters(query)?;
                self.get(&reference)
            }
            (Action::Explain, Target::Resource(reference)) => {
                reject_parameters(query)?;
                self.explain(&reference)
            }
            (Action::Put, Target::Resource(reference)) => {
                write::put(&self.node, &reference, request).await
            }
            (Action::Delete, Target::Resource(reference)) => {
                write::delete(&self.node, &reference, request).await
            }
            (Action::GetOperation, Target::Operation(text)) => self.operation(&text),
            (Action::ListOperations, _) => Ok(json_response(StatusCode::OK, &self.operations())),
            (Action::ListMoves, _) => Ok(json_response(StatusCode::OK, &self.moves())),
            (Action::OpenApi, _) => Ok(json_response(StatusCode::OK, &openapi())),
            // No route has another combination of action and target.
            _ => Err(Problem::new(ProblemReason::NotFound, "no such path")),
        }
    }

    fn get(&self, reference: &ResourceRef) -> Result<Response<Body>, Problem> {
        let view =
            resource_view(&self.node.state(), reference).ok_or_else(|| not_declared(reference))?;
        Ok(json_response(StatusCode::OK, &view))
    }

    fn explain(&self, reference: &ResourceRef) -> Result<Response<Body>, Problem> {
        let current = self.node.is_current();
        let state = self.node.state();
        if state.declared(reference).is_none() {
            return Err(not_declared(reference));
        }
        let explanation = explain(&state, reference, self.node.clock().now_ms());
        let view = ExplanationView {
            reference: reference.clone(),
            observed_revision: state.offset(),
            current,
            explanation: explanation.to_string(),
        };
        Ok(json_response(StatusCode::OK, &view))
    }

    fn operation(&self, text: &str) -> Result<Response<Body>, Problem> {
        let operation: OperationId = text
            .parse()
            .map_err(|reason| Problem::new(ProblemReason::BadRequest, reason))?;
        // Read before the outcome: "not seen" from a current node must cover all earlier writes.
        let current = self.node.is_current();
        let view = OperationView {
            operation,
            reference: None,
            outcome: self.node.operation(operation),
            observed_revision: self.node.state().offset(),
            current,
        };
        Ok(json_response(StatusCode::OK, &view))
    }

    fn operations(&self) -> OperationList {
        let current = self.node.is_current();
        let observed_revision = self.node.state().offset();
        let latest = self.node.latest_operations(MAX_LISTED_OPERATIONS);
        let items = latest.into_iter().map(|operation| OperationView {
            operation: operation.id,
            reference: Some(operation.reference),
            outcome: operation.outcome,
            observed_revision,
            current,
        });
        OperationList {
            items: items.collect(),
        }
    }

    fn moves(&self) -> MoveList {
        let current = self.node.is_current();
        let state = self.node.state();
        MoveList {
            revision: state.offset(),
            current,
            items: incomplete_moves(&state),
        }
    }
}

fn not_declared(reference: &ResourceRef) -> Problem {
    Problem::new(
        ProblemReason::NotFound,
        format!("{reference} is not declared"),
    )
}

fn incomplete_moves(state: &FleetState) -> Vec<MoveView> {
    state
        .vms()
        .iter()
        .filter(|vm| vm.pool != vm.wanted_pool)
        .map(|vm| MoveView {
            vm: vm.name.clone(),
            from: vm.pool.clone(),
            to: vm.wanted_pool.clone(),
            claimed: vm.claim.is_some(),
        })
        .collect()
}

fn log_write(action: Action, target: &Target, operator: &Operator) {
    if let (Action::Delete | Action::Put, Target::Resource(reference)) = (action, target) {
        let resource = reference.to_string();
        let is_delete = action == Action::Delete;
        info!(event = "write_asked", operator = operator.name.as_str(),
            resource = resource.as_str(), is_delete = is_delete; "write requested");
    }
}
