//! The PostgreSQL listener for callers: startup, login, queries, cancel and limits.

mod gate;
mod refusal;
mod request;

pub use gate::Cancel;
pub use gate::Credential;
pub use gate::Ended;
pub use gate::Ending;
pub use gate::Gate;
pub use gate::Hello;
pub use gate::Session;
pub use gate::Verifier;
pub use refusal::Refusal;
pub use request::Request;
pub use request::Response;
pub use request::Transaction;
