//! Messages between the owner and delegates, the nodes that call endpoints on its behalf.

use {
    crate::calls::{CallResult, EndpointCall},
    lynxwheel_engine::EndpointAddress,
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// Path at which a delegate accepts calls.
pub const DELEGATE_CALLS_PATH: &str = "/carry";

/// Path at which the owner accepts results.
pub const DELEGATE_RESULTS_PATH: &str = "/carried";

/// Prefix of the path that returns the payload of a job; the job id follows.
pub const PAYLOAD_PATH: &str = "/payload/";

/// Number of a call, unique within an epoch.
pub type CallNumber = u64;

/// Call to be executed by a delegate.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct DelegatedCall {
    /// Number under which the result is reported.
    pub number: CallNumber,
    /// Endpoint to call.
    pub to: EndpointAddress,
    /// Call to execute.
    pub call: EndpointCall,
}

/// Calls sent from the owner to a delegate.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct DelegateRequest {
    /// Epoch of the owner, used as the fencing token of the calls.
    pub epoch: u64,
    /// Address to which the results are sent.
    pub owner: SocketAddr,
    /// Calls to execute.
    pub calls: Vec<DelegatedCall>,
}

/// Results sent from a delegate to the owner.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct DelegateResults {
    /// Epoch of the owner.
    pub epoch: u64,
    /// Address of the delegate.
    #[serde(rename = "carrier")]
    pub delegate: SocketAddr,
    /// Call numbers and results.
    pub results: Vec<(CallNumber, CallResult)>,
}

/// Response to calls or results.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum DelegateReply {
    /// The message was accepted.
    #[serde(rename = "Taken")]
    Accepted,
    /// The message was refused; none of its calls will be executed.
    #[serde(rename = "NotTaken")]
    Refused,
}
