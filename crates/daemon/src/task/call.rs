//! Typed requests to peers.

use std::sync::Arc;
use std::time::Duration;

use crate::node::Node;
use crate::wire::Reply;
use crate::wire::Request;
use crate::wire::decode;
use crate::wire::encode;

/// Sends a request and waits up to `timeout` for the reply.
///
/// Returns `None` if the request fails or the reply cannot be decoded.
pub async fn call(
    node: &Arc<Node>,
    address: &str,
    request: &Request,
    timeout: Duration,
) -> Option<Reply> {
    match node.transport.call(address, encode(request), timeout).await {
        Ok((_, reply)) => decode(&reply),
        Err(error) => {
            log::debug!("event=peer-call-failed peer={address} error={error:?}");
            None
        }
    }
}
