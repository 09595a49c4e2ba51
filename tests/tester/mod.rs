//! Starts the programs as processes with ports from the system, and ends them on drop.

#![allow(dead_code, unused_imports, reason = "each test program uses a part")]
#![allow(clippy::unwrap_used, reason = "fixtures of tests")]

mod caller;
mod deployment;
mod program;
mod standins;

pub use caller::Ask;
pub use caller::OpenAnswer;
pub use deployment::Deployment;
pub use deployment::DeploymentOptions;
pub use deployment::DeploymentOptionsBuilder;
pub use program::Program;
pub use program::wait_until;
pub use standins::Engine;
pub use standins::Platform;
pub use standins::Service;
pub use standins::completion_request;
pub use standins::get_json;
pub use standins::http_agent;
pub use standins::post_json;
