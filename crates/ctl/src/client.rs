//! Requests to the fleet: to the first instance that answers, or to all.

use std::sync::Arc;
use std::time::Duration;

use admin::Problem;
use serde::de::DeserializeOwned;

use crate::Error;
use crate::Method;
use crate::Reply;
use crate::Request;
use crate::Transport;

/// Times that a change whose outcome is unknown is sent to each address.
const ROUNDS_MAX: u32 = 4;
/// Between two rounds.
const ROUND_PAUSE: Duration = Duration::from_millis(500);

/// The fleet as seen from the program.
pub struct Client {
    transport: Arc<dyn Transport>,
    /// At least one.
    addresses: Vec<String>,
}

impl Client {
    /// Opens a client.
    pub fn open(transport: Arc<dyn Transport>, addresses: Vec<String>) -> Self {
        assert!(
            !addresses.is_empty(),
            "the arguments give at least one address"
        );
        Self {
            transport,
            addresses,
        }
    }

    /// Returns the addresses.
    pub fn addresses(&self) -> &[String] {
        &self.addresses
    }

    /// Reads from the first instance that answers.
    pub async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, Error> {
        let mut last = None;
        for address in &self.addresses {
            match self.get_from(address, path).await {
                Err(error @ Error::Unreachable { .. }) => last = Some(error),
                answer => return answer,
            }
        }
        Err(last.expect("there is at least one address"))
    }

    /// Reads from one instance.
    pub async fn get_from<T: DeserializeOwned>(
        &self,
        address: &str,
        path: &str,
    ) -> Result<T, Error> {
        let request = Request {
            method: Method::Get,
            path: path.to_owned(),
            body: None,
        };
        let reply = self.transport.send(address, &request).await?;
        read(address, &request, &reply)
    }

    /// Sends a request that is safe to repeat because it bears the id of its change.
    ///
    /// It is repeated until it is certain what became of it, or the rounds are used up.
    pub async fn submit<T: DeserializeOwned>(
        &self,
        request: &Request,
        id: &str,
    ) -> Result<T, Error> {
        let mut doubt = None;
        for round in 0..ROUNDS_MAX {
            if round > 0 {
                tokio::time::sleep(ROUND_PAUSE).await;
            }
            for address in &self.addresses {
                match self.attempt(address, request).await {
                    Err(error) if leaves_doubt(&error) => doubt = Some(error.to_string()),
                    Err(Error::Unreachable { .. }) => {}
                    Err(error) if doubt.is_some() && settles_nothing(&error) => {}
                    answer => return answer,
                }
            }
            if doubt.is_none() {
                break;
            }
        }
        match doubt {
            Some(why) => Err(Error::Unknown {
                id: id.to_owned(),
                why,
            }),
            None => Err(Error::Unreachable {
                step: format!("{} {}", request.method, request.path),
                peer: self.addresses.join(","),
                why: "no instance could be reached, nothing was done".to_owned(),
                may_have_arrived: false,
            }),
        }
    }

    /// Sends a request once, to the first instance that can be connected to.
    pub async fn order<T: DeserializeOwned>(&self, request: &Request) -> Result<T, Error> {
        let mut last = None;
        for address in &self.addresses {
            match self.attempt(address, request).await {
                Err(
                    error @ Error::Unreachable {
                        may_have_arrived: false,
                        ..
                    },
                ) => last = Some(error),
                answer => return answer,
            }
        }
        Err(last.expect("there is at least one address"))
    }

    async fn attempt<T: DeserializeOwned>(
        &self,
        address: &str,
        request: &Request,
    ) -> Result<T, Error> {
        let reply = self.transport.send(address, request).await?;
        read(address, request, &reply)
    }
}

fn leaves_doubt(error: &Error) -> bool {
    match error {
        Error::Unreachable {
            may_have_arrived, ..
        } => *may_have_arrived,
        // The instance may have accepted the change and then answered something unreadable.
        Error::Unexpected { .. } => true,
        Error::Refused { problem, .. } => {
            matches!(problem.error.as_str(), "outcome-unknown" | "failed")
        }
        _ => false,
    }
}

/// Returns true for answers that leave an earlier doubt as it was.
///
/// An id that belongs to another change may be that of a key made by the earlier attempt, since
/// each attempt draws its own key.
fn settles_nothing(error: &Error) -> bool {
    let Error::Refused { problem, .. } = error else {
        return false;
    };
    problem.retry_after_ms.is_some() || problem.error == "id-reused"
}

fn read<T: DeserializeOwned>(address: &str, request: &Request, reply: &Reply) -> Result<T, Error> {
    let unexpected = |error: serde_json::Error| Error::Unexpected {
        step: format!("{} {}", request.method, request.path),
        peer: address.to_owned(),
        why: format!("status {}: {error}", reply.status),
    };
    if (200..300).contains(&reply.status) {
        return serde_json::from_slice(&reply.body).map_err(unexpected);
    }
    let problem: Problem = serde_json::from_slice(&reply.body).map_err(unexpected)?;
    Err(Error::Refused {
        peer: address.to_owned(),
        problem: Box::new(problem),
    })
}
