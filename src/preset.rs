//! Workloads to synthesise: services with kinds of requests, customers and classes.

use std::str::FromStr;

use crate::error::Error;
use crate::id::ClassId;
use crate::id::CustomerId;
use crate::model::ModelOptions;
use crate::schedule::ClassWeight;
use crate::schedule::CustomerWeight;
use crate::schedule::Weights;

/// A workload.
#[derive(Debug, Clone, PartialEq)]
pub struct Preset {
    /// Its name on the command line.
    pub name: String,
    /// Services with their engines and kinds of requests.
    pub services: Vec<ServicePlan>,
    /// Customers with their share of the requests.
    pub customers: Vec<CustomerPlan>,
    /// Classes with their share of the requests.
    pub classes: Vec<ClassPlan>,
    /// Weights of classes and customers.
    pub weights: Weights,
}

/// A service of a workload.
#[derive(Debug, Clone, PartialEq)]
pub struct ServicePlan {
    /// Its name.
    pub service: &'static str,
    /// Number of engines.
    pub engines: u32,
    /// Size and speed of each.
    pub engine: ModelOptions,
    /// Longest output, in tokens.
    pub output_tokens_max: u32,
    /// Longest part of a prompt that isn't shared, in tokens.
    pub prompt_tokens_max: u32,
    /// Kinds of requests.
    pub kinds: Vec<Kind>,
}

/// A kind of request: log-normal lengths.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Kind {
    /// Share of the service's requests.
    pub share: f64,
    /// Median of the part of the prompt that isn't shared, in tokens.
    pub prompt_median: f64,
    /// Standard deviation of that length's logarithm.
    pub prompt_sigma: f64,
    /// Median output, in tokens.
    pub output_median: f64,
    /// Standard deviation of the output's logarithm.
    pub output_sigma: f64,
    /// Bound that a careful caller sets, in tokens.
    pub usual_bound_tokens: u32,
    /// Share of the requests that are repeatable.
    pub repeatable: f64,
}

/// A customer of a workload.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct CustomerPlan {
    /// Its name.
    pub name: &'static str,
    /// Its share of the requests.
    pub share: f64,
    /// Its weight.
    pub weight: u32,
    /// Whether it sends some requests in batches.
    pub large: bool,
}

/// A class of a workload.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ClassPlan {
    /// Its name.
    pub name: &'static str,
    /// Its share of the requests.
    pub share: f64,
    /// Its weight.
    pub weight: u32,
    /// Priority at the engines.
    pub engine_priority: u8,
    /// A request that cannot start within this time is refused, in milliseconds.
    pub max_wait_ms: u64,
}

/// Classes of both users.
const CLASSES: [ClassPlan; 3] = [
    ClassPlan {
        name: "urgent",
        share: 0.15,
        weight: 8,
        engine_priority: 3,
        max_wait_ms: 5_000,
    },
    ClassPlan {
        name: "standard",
        share: 0.60,
        weight: 4,
        engine_priority: 2,
        max_wait_ms: 20_000,
    },
    ClassPlan {
        name: "batch",
        share: 0.25,
        weight: 1,
        engine_priority: 1,
        max_wait_ms: 60_000,
    },
];

impl Preset {
    /// Hoher Grat: barrier condition reports and urgent-tensioning flags; a crew app beside.
    pub fn hoher_grat() -> Self {
        let inspection = ServicePlan {
            service: "inspection",
            engines: 10,
            engine: engine("inspection@1", 65_536),
            output_tokens_max: 16_384,
            prompt_tokens_max: 8_192,
            kinds: vec![
                kind(0.30, (250.0, 0.5), (35.0, 0.6), 256, 0.3),
                kind(0.45, (700.0, 0.5), (700.0, 0.7), 4_096, 0.9),
                kind(0.25, (1_200.0, 0.6), (2_200.0, 0.8), 16_384, 0.9),
            ],
        };
        let crew_app = ServicePlan {
            service: "crew-app",
            engines: 3,
            engine: engine("crew-app@1", 16_384),
            output_tokens_max: 4_096,
            prompt_tokens_max: 2_048,
            kinds: vec![
                kind(0.60, (150.0, 0.5), (80.0, 0.6), 512, 1.0),
                kind(0.40, (400.0, 0.5), (350.0, 0.7), 2_048, 0.8),
            ],
        };
        let customers = vec![
            customer("kanton-gr", 0.28, 4, true),
            customer("forstamt", 0.20, 3, true),
            customer("klosters", 0.14, 2, true),
            customer("kueblis", 0.08, 1, false),
            customer("schiers", 0.07, 1, false),
            customer("luzein", 0.06, 1, false),
            customer("jenaz", 0.05, 1, false),
            customer("furna", 0.05, 1, false),
            customer("conters", 0.04, 1, false),
            customer("seewis", 0.03, 1, false),
        ];
        Preset::new("hoher-grat", vec![inspection, crew_app], customers)
    }

    /// The joint venture: stratigraphic reports and find tags; a records app beside.
    pub fn joint_venture() -> Self {
        let report = ServicePlan {
            service: "report",
            engines: 10,
            engine: engine("report@1", 131_072),
            output_tokens_max: 24_576,
            prompt_tokens_max: 16_384,
            kinds: vec![
                kind(0.50, (120.0, 0.5), (20.0, 0.6), 128, 1.0),
                kind(0.30, (1_000.0, 0.6), (1_000.0, 0.7), 8_192, 0.9),
                kind(0.20, (3_000.0, 0.6), (4_500.0, 0.8), 24_576, 0.8),
            ],
        };
        let records_app = ServicePlan {
            service: "records-app",
            engines: 3,
            engine: engine("records-app@1", 16_384),
            output_tokens_max: 4_096,
            prompt_tokens_max: 2_048,
            kinds: vec![
                kind(0.70, (120.0, 0.5), (60.0, 0.6), 512, 1.0),
                kind(0.30, (600.0, 0.5), (400.0, 0.7), 2_048, 0.8),
            ],
        };
        let customers = vec![
            customer("krakow", 0.25, 4, true),
            customer("wislica", 0.22, 4, true),
            customer("tarnow", 0.15, 2, true),
            customer("rzeszow", 0.09, 1, false),
            customer("przemysl", 0.07, 1, false),
            customer("sanok", 0.06, 1, false),
            customer("gorlice", 0.05, 1, false),
            customer("bochnia", 0.04, 1, false),
            customer("miechow", 0.04, 1, false),
            customer("olkusz", 0.03, 1, false),
        ];
        Preset::new("joint-venture", vec![report, records_app], customers)
    }

    /// Short answers, a third of them not repeatable, at a plain service and at engines: for
    /// driving many entry hosts with stand-ins behind them.
    pub fn many_hosts() -> Self {
        let inspection = ServicePlan {
            service: "inspection",
            engines: 12,
            engine: engine("inspection@1", 65_536),
            output_tokens_max: 1_024,
            prompt_tokens_max: 256,
            kinds: vec![
                kind(0.70, (20.0, 0.5), (15.0, 0.5), 128, 0.5),
                kind(0.25, (40.0, 0.5), (60.0, 0.5), 512, 0.9),
                kind(0.05, (60.0, 0.5), (250.0, 0.5), 1_024, 0.9),
            ],
        };
        let crew_app = ServicePlan {
            service: "crew-app",
            engines: 4,
            engine: engine("crew-app@1", 65_536),
            output_tokens_max: 64,
            prompt_tokens_max: 64,
            kinds: vec![kind(1.0, (20.0, 0.5), (5.0, 0.5), 64, 0.5)],
        };
        let customers = vec![
            customer("demo", 0.8, 4, true),
            customer("village", 0.2, 1, false),
        ];
        Preset::new("many-hosts", vec![inspection, crew_app], customers)
    }

    /// Three customers of weights 1, 2 and 4 that send equally much in one class whose requests
    /// may wait: at a load of 3 all are backlogged.
    pub fn weights() -> Self {
        let mut preset = Preset::hoher_grat();
        preset.services.truncate(1);
        let customers = vec![
            customer("one", 1.0, 1, false),
            customer("two", 1.0, 2, false),
            customer("four", 1.0, 4, false),
        ];
        let mut preset = Preset::new("weights", preset.services, customers);
        preset.classes.truncate(1);
        preset.classes[0].max_wait_ms = 600_000;
        preset.weights.classes = preset.classes.iter().map(class_weight).collect();
        preset
    }

    fn new(name: &str, services: Vec<ServicePlan>, customers: Vec<CustomerPlan>) -> Self {
        let weights = Weights {
            classes: CLASSES.iter().map(class_weight).collect(),
            customers: customers.iter().map(customer_weight).collect(),
        };
        Preset {
            name: name.to_owned(),
            services,
            customers,
            classes: CLASSES.to_vec(),
            weights,
        }
    }
}

impl FromStr for Preset {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        match text {
            "hoher-grat" => Ok(Preset::hoher_grat()),
            "joint-venture" => Ok(Preset::joint_venture()),
            "many-hosts" => Ok(Preset::many_hosts()),
            "weights" => Ok(Preset::weights()),
            _ => Err(Error::Invalid {
                faults: vec![format!(
                    "preset {text}: known are hoher-grat, joint-venture, many-hosts, weights"
                )],
            }),
        }
    }
}

fn engine(model: &str, memory_tokens: u64) -> ModelOptions {
    ModelOptions {
        memory_tokens,
        model: model.to_owned(),
        ..ModelOptions::default()
    }
}

fn kind(
    share: f64,
    (prompt_median, prompt_sigma): (f64, f64),
    (output_median, output_sigma): (f64, f64),
    usual_bound_tokens: u32,
    repeatable: f64,
) -> Kind {
    Kind {
        share,
        prompt_median,
        prompt_sigma,
        output_median,
        output_sigma,
        usual_bound_tokens,
        repeatable,
    }
}

fn customer(name: &'static str, share: f64, weight: u32, large: bool) -> CustomerPlan {
    CustomerPlan {
        name,
        share,
        weight,
        large,
    }
}

fn class_weight(class: &ClassPlan) -> ClassWeight {
    ClassWeight {
        class: ClassId::from(class.name),
        weight: class.weight,
        engine_priority: class.engine_priority,
        max_wait_ms: class.max_wait_ms,
    }
}

fn customer_weight(customer: &CustomerPlan) -> CustomerWeight {
    CustomerWeight {
        customer: CustomerId::from(customer.name),
        weight: customer.weight,
    }
}
