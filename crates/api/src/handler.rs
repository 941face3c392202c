//! Operators' requests: who may make them, and what answers them.

use {
    crate::{
        access::{AccessControl, Operator},
        answers::{problem_answer, with_node},
        changes::{ChangeLog, follow},
        openapi::openapi,
        query::{ListQuery, expect_none},
        routes::{Action, Matched, Target, match_route, needed_role},
        status::resource_view,
        write,
    },
    http::{Request, Response, StatusCode},
    hyper::body::Incoming,
    log::info,
    lynxwheel_coordination::Node,
    lynxwheel_decisions::explain,
    lynxwheel_protocol::{
        ExplanationView, MoveList, MoveView, OperationId, OperationList, OperationView, Problem,
        ProblemReason, ResourceRef,
    },
    lynxwheel_state::FleetState,
    lynxwheel_transport::{Body, Shutdown, json_response},
    std::sync::Arc,
    tokio::sync::Semaphore,
};

/// Watches open on one node at once.
const MAX_WATCHES: usize = 256;

/// Operations in a list.
const LISTED_OPERATIONS: usize = 100;

/// Serves operators; copies share the state.
#[derive(Clone, Debug)]
pub struct Api {
    pub(crate) node: Node,
    pub(crate) changes: Arc<ChangeLog>,
    pub(crate) watches: Arc<Semaphore>,
    pub(crate) stop: Shutdown,
    access: Arc<AccessControl>,
}

impl Api {
    /// Starts the resource API of a node; `stop` ends its open watches.
    ///
    /// Must be called within a Tokio runtime.
    #[must_use]
    pub fn start(node: Node, access: AccessControl, stop: Shutdown) -> Self {
        let changes = Arc::new(ChangeLog::new(node.state()));
        tokio::spawn(follow(node.clone(), Arc::clone(&changes), stop.clone()));
        Self {
            node,
            changes,
            watches: Arc::new(Semaphore::new(MAX_WATCHES)),
            stop,
            access: Arc::new(access),
        }
    }

    /// Answers a request.
    pub async fn handle(self, request: Request<Incoming>) -> Response<Body> {
        let answer = match self.admit(&request) {
            Ok((action, target)) => self.answer(action, target, request).await,
            Err(problem) => Err(problem),
        };
        let answer = answer.unwrap_or_else(|problem| problem_answer(&problem));
        with_node(answer, self.node.is_current(), self.node.state().offset())
    }

    fn admit(&self, request: &Request<Incoming>) -> Result<(Action, Target), Problem> {
        let (method, path) = (request.method(), request.uri().path());
        let (action, target) = match match_route(method, path) {
            Matched::Found(action, target) => (action, target),
            Matched::OtherMethod => {
                return Err(Problem::new(
                    ProblemReason::MethodNotAllowed,
                    format!("{path} does not take {method}"),
                ));
            }
            Matched::NoPath => {
                return Err(Problem::new(
                    ProblemReason::NotFound,
                    format!("no such path: {path}"),
                ));
            }
        };
        let role = needed_role(action, &target);
        let operator = self.access.check(request.headers(), role)?;
        log_write(action, &target, &operator);
        Ok((action, target))
    }

    async fn answer(
        &self,
        action: Action,
        target: Target,
        request: Request<Incoming>,
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
                expect_none(query)?;
                self.get(&reference)
            }
            (Action::Explain, Target::Resource(reference)) => {
                expect_none(query)?;
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
            // The routes pair no other action with these targets.
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
        // Asked first, since "not seen" of a current node must cover all up to this moment.
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
        let latest = self.node.latest_operations(LISTED_OPERATIONS);
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
            items: moves_of(&state),
        }
    }
}

fn not_declared(reference: &ResourceRef) -> Problem {
    Problem::new(
        ProblemReason::NotFound,
        format!("{reference} is not declared"),
    )
}

fn moves_of(state: &FleetState) -> Vec<MoveView> {
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
            resource = resource.as_str(), is_delete = is_delete; "");
    }
}
