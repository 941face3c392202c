//! Order in which a delegate executes the renewals of one owner.

use {crate::delegate_messages::CallNumber, std::net::SocketAddr};

/// Newest renewal of each endpoint.
///
/// The owner has given up a renewal when it sends the next one. A link may deliver the earlier one
/// last, when the endpoint has started again and listed ends to this node that the owner has not
/// received; they would be acknowledged.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct NewestRenewals {
    /// Sorted by address.
    by_address: Vec<(SocketAddr, CallNumber)>,
}

impl NewestRenewals {
    /// Records a renewal; returns `false` if a newer one of the endpoint was recorded before.
    pub fn record(&mut self, address: SocketAddr, number: CallNumber) -> bool {
        match self
            .by_address
            .binary_search_by_key(&address, |known| known.0)
        {
            Ok(index) if number < self.by_address[index].1 => false,
            Ok(index) => {
                self.by_address[index].1 = number;
                true
            }
            Err(index) => {
                self.by_address.insert(index, (address, number));
                true
            }
        }
    }
}
