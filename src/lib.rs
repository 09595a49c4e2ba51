//! Cedargauge serves model generations of unknown length on crowded engines.

mod blocks;
mod bucket;
pub mod clock;
pub mod error;
pub mod event;
mod fairqueue;
pub mod id;
pub mod journal;
pub mod limiter;
pub mod limits;
pub mod member;
pub mod membership;
pub mod model;
pub mod ownership;
pub mod peer;
pub mod platform;
pub mod refusal;
pub mod row;
mod rumours;
pub mod schedule;
pub mod scheduler;
mod sequence;
pub mod settings;
pub mod share;
pub mod table;
pub mod wire;
