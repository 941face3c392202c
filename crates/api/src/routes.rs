//! Routes of the API, used by the handler and the `OpenAPI` document.

use {
    crate::access::Role,
    http::Method,
    lynxwheel_protocol::{Kind, ResourceRef},
};

/// Action of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Action {
    /// List or watch the resources of a kind.
    List,
    /// Return a resource.
    Get,
    /// Explain the state of a resource.
    Explain,
    /// Declare a resource.
    Put,
    /// Withdraw a resource.
    Delete,
    /// List incomplete moves.
    ListMoves,
    /// List recent operations.
    ListOperations,
    /// Look up an operation.
    GetOperation,
    /// Return the `OpenAPI` document.
    OpenApi,
}

/// Method and path with their action.
#[derive(Clone, Debug)]
pub struct Route {
    /// Method.
    pub method: Method,
    /// Path; segments in braces are parameters.
    pub path: &'static str,
    /// Action.
    pub action: Action,
    /// Human-readable summary.
    pub summary: &'static str,
}

/// Returns all routes.
#[must_use]
pub fn routes() -> [Route; 9] {
    let route = |method, path, action, summary| Route {
        method,
        path,
        action,
        summary,
    };
    [
        route(
            Method::GET,
            "/v1/openapi.json",
            Action::OpenApi,
            "This description",
        ),
        route(
            Method::GET,
            "/v1/moves",
            Action::ListMoves,
            "Moves of VMs that are not yet complete",
        ),
        route(
            Method::GET,
            "/v1/operations",
            Action::ListOperations,
            "The latest writes of all nodes",
        ),
        route(
            Method::GET,
            "/v1/operations/{operation}",
            Action::GetOperation,
            "What became of a write",
        ),
        route(
            Method::GET,
            "/v1/{kind}",
            Action::List,
            "List or watch resources",
        ),
        route(
            Method::GET,
            "/v1/{kind}/{name}",
            Action::Get,
            "Show a resource with its status",
        ),
        route(
            Method::GET,
            "/v1/{kind}/{name}/explanation",
            Action::Explain,
            "Tell why a resource stands where it does",
        ),
        route(
            Method::PUT,
            "/v1/{kind}/{name}",
            Action::Put,
            "Declare a resource",
        ),
        route(
            Method::DELETE,
            "/v1/{kind}/{name}",
            Action::Delete,
            "Withdraw a resource",
        ),
    ]
}

/// Parameters of a request path.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum Target {
    /// Kind.
    Kind(Kind),
    /// Resource.
    Resource(ResourceRef),
    /// Unparsed operation id.
    Operation(String),
    /// No parameters.
    Fixed,
}

/// Result of matching a request against the routes.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum RouteMatch {
    /// Route that matches.
    Found(Action, Target),
    /// The path exists only with other methods.
    MethodNotAllowed,
    /// The path does not exist.
    NotFound,
}

/// Finds the route of a request; fixed paths precede those with parameters.
pub(crate) fn match_route(method: &Method, path: &str) -> RouteMatch {
    let mut outcome = RouteMatch::NotFound;
    for route in routes() {
        let Some(target) = match_path(route.path, path) else {
            continue;
        };
        if route.method == *method {
            return RouteMatch::Found(route.action, target);
        }
        outcome = RouteMatch::MethodNotAllowed;
    }
    outcome
}

fn match_path(pattern: &str, path: &str) -> Option<Target> {
    let mut segments = path.trim_end_matches('/').split('/');
    let mut kind = None;
    let mut target = Target::Fixed;
    for segment in pattern.split('/') {
        let text = segments.next()?;
        match segment {
            "{kind}" => {
                let found = Kind::from_text(text)?;
                kind = Some(found);
                target = Target::Kind(found);
            }
            "{name}" => target = Target::Resource(ResourceRef::new(kind?, text)),
            "{operation}" => target = Target::Operation(text.into()),
            fixed if fixed == text => {}
            _ => return None,
        }
    }
    segments.next().is_none().then_some(target)
}

/// Returns the role required for a request.
pub(crate) fn required_role(action: Action, target: &Target) -> Role {
    match (action, target) {
        (Action::Delete | Action::Put, Target::Resource(reference)) => {
            Role::required_to_write(reference.kind)
        }
        (Action::Delete | Action::Put, _) => Role::Administer,
        _ => Role::Read,
    }
}
