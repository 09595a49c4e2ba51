//! Second filter: the caller's key names the customer, and the customer's row the priority class.

use std::sync::Arc;

use crate::id::ClassId;
use crate::id::ServiceId;
use crate::refusal::Code;
use crate::refusal::Refusal;
use crate::row::Backing;
use crate::row::ClassRow;
use crate::row::CustomerRow;
use crate::row::ServiceRow;
use crate::table::Table;

/// A request whose customer, service and class are known.
#[derive(Debug, Clone, PartialEq)]
pub struct Identified {
    /// Who asks.
    pub customer: CustomerRow,
    /// What for.
    pub service: ServiceRow,
    /// At which priority.
    pub class: ClassRow,
}

/// Finds the customer of a bearer key.
///
/// # Errors
///
/// [`Code::Unauthorized`] if there is no key or nobody's.
pub fn customer<'t>(table: &'t Table, key: Option<&str>) -> Result<&'t CustomerRow, Refusal> {
    let key = key.ok_or_else(|| {
        Refusal::not_run(
            Code::Unauthorized,
            "the Authorization header must be `Bearer KEY`",
        )
    })?;
    table
        .customer_by_key(key)
        .ok_or_else(|| Refusal::not_run(Code::Unauthorized, "the key names no customer"))
}

/// Looks up everything that the request names.
///
/// # Errors
///
/// [`Code::Unauthorized`], [`Code::UnknownService`] or [`Code::ClassNotAllowed`].
pub fn identify(
    table: &Arc<Table>,
    key: Option<&str>,
    service: &ServiceId,
    class: Option<&ClassId>,
) -> Result<Identified, Refusal> {
    let customer = customer(table, key)?;
    let service = known_service(table, service)?;
    let class = bought_class(table, customer, class)?;
    Ok(Identified {
        customer: customer.clone(),
        service: service.clone(),
        class: class.clone(),
    })
}

impl Identified {
    /// The names for a journal's line.
    pub fn describe(&self) -> String {
        format!(
            "customer={} service={} class={}",
            self.customer.customer, self.service.service, self.class.class
        )
    }

    /// The model and the longest output, if the service runs generations.
    ///
    /// # Errors
    ///
    /// [`Code::InvalidRequest`] for a plain service.
    pub fn generation(&self) -> Result<(&str, u32), Refusal> {
        match &self.service.backing {
            Backing::Generation {
                model,
                max_output_tokens,
            } => Ok((model, *max_output_tokens)),
            Backing::Plain => Err(Refusal::not_run(
                Code::InvalidRequest,
                format!(
                    "model: {} is a plain service; call /v1/services/{}/…",
                    self.service.service, self.service.service
                ),
            )),
        }
    }
}

fn known_service<'t>(table: &'t Table, service: &ServiceId) -> Result<&'t ServiceRow, Refusal> {
    table
        .services
        .get(service)
        .map(|versioned| &versioned.row)
        .ok_or_else(|| {
            Refusal::not_run(
                Code::UnknownService,
                format!("there is no service {service}"),
            )
        })
}

fn bought_class<'t>(
    table: &'t Table,
    customer: &CustomerRow,
    asked: Option<&ClassId>,
) -> Result<&'t ClassRow, Refusal> {
    let class = match asked {
        Some(class) => customer.classes.iter().find(|bought| *bought == class),
        None => customer.classes.first(),
    };
    class
        .and_then(|class| table.classes.get(class))
        .map(|versioned| &versioned.row)
        .ok_or_else(|| {
            let asked = asked.map_or("any priority class", ClassId::as_str);
            Refusal::not_run(
                Code::ClassNotAllowed,
                format!("{} has not bought {asked}", customer.customer),
            )
        })
}
