//! Routes of the API, which the handler and the `OpenAPI` page both read.

use {
    crate::access::Role,
    http::Method,
    lynxwheel_protocol::{Kind, ResourceRef},
};

/// What a request asks for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Action {
    /// List or watch a kind.
    List,
    /// Show one resource.
    Get,
    /// Tell why one resource stands where it does.
    Explain,
    /// Declare a resource.
    Put,
    /// Withdraw a resource.
    Delete,
    /// List moves under way.
    ListMoves,
    /// List recent operations.
    ListOperations,
    /// Look up one operation.
    GetOperation,
    /// Show the `OpenAPI` page.
    OpenApi,
}

/// One method of one path.
#[derive(Clone, Debug)]
pub struct Route {
    /// Method.
    pub method: Method,
    /// Path; segments in braces stand for any text.
    pub path: &'static str,
    /// What it does.
    pub action: Action,
    /// Meaning, for people.
    pub summary: &'static str,
}

/// Every route.
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

/// A request's path, taken apart.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum Target {
    /// A kind.
    Kind(Kind),
    /// A resource.
    Resource(ResourceRef),
    /// An operation, not parsed yet.
    Operation(String),
    /// A path without parameters.
    Fixed,
}

/// Outcome of matching a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum Matched {
    /// A route.
    Found(Action, Target),
    /// The path exists for other methods.
    OtherMethod,
    /// There is no such path.
    NoPath,
}

/// Finds what a request asks for; fixed paths go before those with parameters.
pub(crate) fn match_route(method: &Method, path: &str) -> Matched {
    let mut outcome = Matched::NoPath;
    for route in routes() {
        let Some(target) = match_path(route.path, path) else {
            continue;
        };
        if route.method == *method {
            return Matched::Found(route.action, target);
        }
        outcome = Matched::OtherMethod;
    }
    outcome
}

fn match_path(pattern: &str, path: &str) -> Option<Target> {
    let mut given = path.trim_end_matches('/').split('/');
    let mut kind = None;
    let mut target = Target::Fixed;
    for segment in pattern.split('/') {
        let text = given.next()?;
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
    given.next().is_none().then_some(target)
}

/// Returns the role that a request needs.
pub(crate) fn needed_role(action: Action, target: &Target) -> Role {
    match (action, target) {
        (Action::Delete | Action::Put, Target::Resource(reference)) => {
            Role::required_to_write(reference.kind)
        }
        (Action::Delete | Action::Put, _) => Role::Administer,
        _ => Role::Read,
    }
}
