//! How fast each upstream works, relative to what is usual for its service.

/// How much longer an upstream takes than what is usual for its service: 1 for a usual one, 2 for one that takes
/// twice as long.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Slowness {
    /// For reading a prompt token.
    pub prefill: f64,
    /// For generating a token.
    pub decode: f64,
    /// For a call of a plain service.
    pub call: f64,
}

impl Default for Slowness {
    fn default() -> Self {
        Slowness {
            prefill: 1.0,
            decode: 1.0,
            call: 1.0,
        }
    }
}
