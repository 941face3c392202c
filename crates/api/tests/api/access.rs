//! Authentication and authorization.

use {
    crate::common::{json, platform, pool, put, start_node, vm},
    http::Method,
    lynxwheel_api::{AccessControl, AccessToken, Role},
    lynxwheel_transport::ClientRequest,
    serde_json::json as document,
};

const READER: &str = "Bearer reader-0123456789";
const OPERATOR: &str = "Bearer operator-0123456789";
const ADMINISTRATOR: &str = "bearer administrator-0123456789";

fn access() -> AccessControl {
    AccessControl::new(vec![
        AccessToken::new("dashboard", Role::Read, "reader-0123456789"),
        AccessToken::new("desk", Role::Operate, "operator-0123456789"),
        AccessToken::new("owner", Role::Administer, "administrator-0123456789"),
    ])
}

macro_rules! cases {
    ($($(#[$doc:meta])* $name:ident: $request:expr, $header:expr => $status:expr;)*) => {
        $($(#[$doc])* #[tokio::test(flavor = "multi_thread", worker_threads = 2)] async fn $name() {
            let platform = platform(0).await;
            let node = start_node(&platform, "node-1", access()).await;
            let mut request: ClientRequest = $request;
            let header: Option<&str> = $header;
            if let Some(header) = header {
                request = request.with_header("authorization", header);
            }
            let response = node.call(&request).await;
            assert_eq!(response.status.as_u16(), $status, "{}", json(&response));
        })*
    };
}

fn list() -> ClientRequest {
    ClientRequest::new(Method::GET, "/v1/pool")
}

fn declare_pool() -> ClientRequest {
    put("/v1/pool/notices", &pool(3, 2))
}

fn declare_vm() -> ClientRequest {
    put("/v1/vm/vm-0", &vm("notices"))
}

cases! {
    no_token: list(), None => 401;
    unknown_token: list(), Some("Bearer reader-0123456780") => 401;
    /// Guards against tokens in other schemes, which proxies may log.
    other_scheme: list(), Some("Basic reader-0123456789") => 401;
    /// Guards against accepting a prefix of a token.
    prefix_of_a_token: list(), Some("Bearer reader-012345678") => 401;
    empty_token: list(), Some("Bearer ") => 401;
    reader_can_read: list(), Some(READER) => 200;
    reader_cannot_write: declare_vm(), Some(READER) => 403;
    reader_cannot_dry_run: put("/v1/vm/vm-0?dry_run=true", &vm("notices")), Some(READER) => 403;
    /// Guards against an operator of waves changing what customers were promised.
    operator_cannot_change_budget: declare_pool(), Some(OPERATOR) => 403;
    operator_cannot_withdraw_pool:
        ClientRequest::new(Method::DELETE, "/v1/pool/notices"), Some(OPERATOR) => 403;
    /// Authorized, and then rejected for its missing pool.
    operator_can_declare_vm: declare_vm(), Some(OPERATOR) => 422;
    administrator_can_declare_pool: declare_pool(), Some(ADMINISTRATOR) => 200;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn forbidden_response_names_token_and_required_role() {
    let platform = platform(0).await;
    let node = start_node(&platform, "node-1", access()).await;
    let request = declare_pool().with_header("authorization", OPERATOR);
    let detail = json(&node.call(&request).await)["detail"].clone();
    assert_eq!(
        detail,
        document!("the token of desk has role operate, and this needs administer")
    );
}
