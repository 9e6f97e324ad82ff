//! Limits on requests to servers that are warming up.

mod allowance;
mod pace;
mod turn;
mod warmup;

pub use allowance::Allowance;
pub use pace::Pace;
pub use turn::Turn;
pub use warmup::Warmup;
