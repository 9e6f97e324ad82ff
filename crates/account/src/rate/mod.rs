//! Fleet-wide rate limits of accounts; docs/design/rates.md explains the design.

mod account;
mod bucket;
mod decision;
mod hash;
mod lenders;
mod limit;
mod limiter;
mod message;
mod placement;
mod policy;
mod quota;
mod schedule;
mod slices;

pub use decision::Action;
pub use decision::Decision;
pub use decision::Send;
pub use limit::Amount;
pub use limit::Limit;
pub use limit::SLICE_COUNT;
pub use limiter::Limiter;
pub use message::Answer;
pub use message::Borrow;
pub use message::Claim;
pub use message::Extension;
pub use message::Loan;
pub use message::Message;
pub use policy::Policy;
pub use quota::Quota;
pub use schedule::Schedule;
pub use slices::EPOCH_KEY;
pub use slices::Holder;
pub use slices::Member;
pub use slices::ROW_PREFIX;
pub use slices::Row;
pub use slices::registered;
