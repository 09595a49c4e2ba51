//! Outcomes that a trace states and a replay must reach.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

use crate::compare::Comparison;

/// One bound on one metric of one policy.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StatedOutcome {
    /// The policy, as `compare` names it.
    pub policy: String,
    /// The metric, as `compare --json` names it.
    pub metric: String,
    /// Compare with this policy's value in place of 1.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub relative_to: Option<String>,
    /// The value, or its ratio, is at most this.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub at_most: Option<f64>,
    /// The value, or its ratio, is at least this.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub at_least: Option<f64>,
}

/// What a replay gave for a [`StatedOutcome`].
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct CheckedOutcome {
    /// The outcome that was stated.
    pub stated: StatedOutcome,
    /// The value measured, or `None` if the policy or metric was not measured.
    pub value: Option<f64>,
    /// What it was compared with: the other policy's value, or 1.
    pub scale: Option<f64>,
    /// Whether the bounds hold.
    pub holds: bool,
}

impl StatedOutcome {
    /// Holds the outcome against a comparison. One that was not measured doesn't hold.
    pub fn check(&self, comparison: &Comparison) -> CheckedOutcome {
        let value = comparison.metric(&self.policy, &self.metric);
        let scale = match &self.relative_to {
            Some(policy) => comparison.metric(policy, &self.metric),
            None => Some(1.0),
        };
        let holds = value.zip(scale).is_some_and(|(value, scale)| {
            let below = self.at_most.is_none_or(|bound| value <= bound * scale);
            let above = self.at_least.is_none_or(|bound| value >= bound * scale);
            below && above && (self.at_most.is_some() || self.at_least.is_some())
        });
        CheckedOutcome {
            stated: self.clone(),
            value,
            scale,
            holds,
        }
    }
}

impl fmt::Display for CheckedOutcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let verdict = if self.holds { "holds" } else { "BROKEN" };
        write!(
            f,
            "{verdict}: {} {}",
            self.stated.policy, self.stated.metric
        )?;
        match self.value {
            Some(value) => write!(f, " is {value:.1}")?,
            None => write!(f, " was not measured")?,
        }
        if let Some(bound) = self.stated.at_most {
            write!(f, ", at most {bound}")?;
        }
        if let Some(bound) = self.stated.at_least {
            write!(f, ", at least {bound}")?;
        }
        if let Some(policy) = &self.stated.relative_to {
            write!(f, " of {policy}'s {:.1}", self.scale.unwrap_or(f64::NAN))?;
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests;
