//! The administration interface: HTTP with JSON, for operators and their programs.

mod app;
mod control;
mod error;
mod filter;
mod guard;
mod handlers;
mod problem;
mod routes;
mod token;
mod view;

pub use app::App;
pub use app::router;
pub use control::Control;
pub use error::Error;
pub use filter::Filter;
pub use problem::Problem;
pub use routes::OPENAPI;
pub use routes::Route;
pub use routes::routes;
pub use token::Operator;
pub use token::Role;
pub use token::Tokens;
pub use view::ChangeStatus;
pub use view::Endpoint;
pub use view::Granted;
pub use view::Group;
pub use view::Handover;
pub use view::Instance;
pub use view::Session;
pub use view::TreeView;
