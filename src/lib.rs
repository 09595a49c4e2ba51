//! Cedargauge serves model generations of unknown length on crowded engines.

pub mod clock;
pub mod error;
pub mod event;
mod fairqueue;
pub mod id;
pub mod journal;
pub mod peer;
pub mod platform;
pub mod refusal;
pub mod row;
pub mod schedule;
pub mod scheduler;
pub mod settings;
pub mod table;
pub mod wire;
