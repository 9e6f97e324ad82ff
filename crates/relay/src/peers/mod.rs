//! Datagrams exchanged between instances.

mod catalog;
mod confirmations;
mod datagram;
mod peers;
mod release;
mod report;
mod topic;
mod transfer;

pub use catalog::Catalog;
pub use catalog::Change;
pub use catalog::Entries;
pub use catalog::digest;
pub use confirmations::Confirmation;
pub use confirmations::Confirmations;
pub use datagram::Datagram;
pub use datagram::Payload;
pub use datagram::View;
pub use peers::Peers;
pub use peers::run;
pub use release::Release;
pub use report::Report;
pub use report::Reports;
pub use report::signed_ms;
pub use topic::Topic;
pub use topic::Topics;
pub use transfer::Transfer;
pub use transfer::Update;
