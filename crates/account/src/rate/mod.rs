//! The fleet-wide rate and burst of accounts; docs/design/rates.md has the reasons.

mod account;
mod bucket;
mod decision;
mod hash;
mod ledger;
mod lenders;
mod limit;
mod message;
mod policy;
mod portion;
mod quota;
mod schedule;
mod slices;

pub use decision::Action;
pub use decision::Decision;
pub use decision::Send;
pub use ledger::Limiter;
pub use limit::Amount;
pub use limit::Limit;
pub use limit::SLICES;
pub use message::Answer;
pub use message::Ask;
pub use message::Hold;
pub use message::Loan;
pub use message::Message;
pub use message::Take;
pub use policy::Policy;
pub use quota::Quota;
pub use schedule::Schedule;
pub use slices::EPOCH_KEY;
pub use slices::Holder;
pub use slices::Member;
pub use slices::ROW_PREFIX;
pub use slices::Row;
