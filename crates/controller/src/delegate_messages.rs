//! Messages between an owner and the nodes that call endpoints for it.

use {
    crate::calls::{CallResult, EndpointCall},
    lynxwheel_engine::EndpointAddress,
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// Path at which a node takes an owner's calls.
pub const DELEGATE_CALLS_PATH: &str = "/carry";

/// Path at which an owner takes what came of them.
pub const DELEGATE_RESULTS_PATH: &str = "/carried";

/// Path at which a node gives the payload of a job that came in there; the job's id follows.
pub const PAYLOAD_PATH: &str = "/payload/";

/// Number of a call within one ownership.
pub type CallNumber = u64;

/// A call to make.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct DelegatedCall {
    /// Number.
    pub number: CallNumber,
    /// Endpoint.
    pub to: EndpointAddress,
    /// Call.
    pub call: EndpointCall,
}

/// Calls to make for an owner.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct DelegateRequest {
    /// Epoch of the owner: the fencing token of the calls.
    pub epoch: u64,
    /// Address at which the owner takes the results.
    pub owner: SocketAddr,
    /// Calls.
    pub calls: Vec<DelegatedCall>,
}

/// Results of calls that were made for an owner.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct DelegateResults {
    /// Epoch of the owner.
    pub epoch: u64,
    /// Node that made the calls.
    pub carrier: SocketAddr,
    /// Numbers of the calls, with what came of each.
    pub results: Vec<(CallNumber, CallResult)>,
}

/// Answer to calls or to results.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum DelegateReply {
    /// Taken.
    Taken,
    /// Not taken: of these calls none will be made.
    NotTaken,
}
