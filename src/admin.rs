//! `cedargauge-admin`: the administration API over the table. It keeps nothing of its own.

use std::net::SocketAddr;
use std::net::TcpListener;
use std::time::Duration;

use actix_web::App;
use actix_web::HttpRequest;
use actix_web::HttpResponse;
use actix_web::HttpServer;
use actix_web::dev::Server;
use actix_web::http::StatusCode;
use actix_web::web;
use futures_util::future::join_all;
use serde::Deserialize;
use serde::Serialize;

use crate::adminapi::AdminCode;
use crate::adminapi::AdminError;
use crate::adminapi::AdminFailure;
use crate::adminapi::EditRequest;
use crate::adminapi::HostInForce;
use crate::adminapi::InForce;
use crate::adminapi::TableView;
use crate::clock::SystemClock;
use crate::clock::wall_ms;
use crate::config::ConfigHandle;
use crate::config::ConfigOptions;
use crate::editor::Editor;
use crate::error::Result;
use crate::id::DataCentre;
use crate::id::EditId;
use crate::id::HostId;
use crate::id::Incarnation;
use crate::id::Offset;
use crate::journal::DEFAULT_CAPACITY;
use crate::journal::Journal;
use crate::link::fetch_config;
use crate::logstream::LogHandle;
use crate::logstream::LogOptions;
use crate::platform::HostKind;
use crate::platform::ListedHost;
use crate::token::Role;
use crate::token::Token;
use crate::token::authorize;

/// Largest body that is read, in bytes.
const BODY_BYTES_MAX: usize = 16 * 1024 * 1024;

/// An entry host that does not answer within this time is not reachable.
const HOST_TIMEOUT: Duration = Duration::from_secs(1);

/// Settings of `cedargauge-admin`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AdminSettings {
    /// This process's name in events.
    pub host: HostId,
    /// The data centre it stands in.
    pub data_centre: DataCentre,
    /// Address and port for operators; port 0 takes a free one.
    pub address: String,
    /// Address and port of the platform.
    pub platform_address: String,
    /// Tokens that are let in.
    pub tokens: Vec<Token>,
    /// An edit that could not be written to the log within this time is given up, in
    /// milliseconds; 5,000 by default.
    #[serde(default = "default_append_wait_ms")]
    pub append_wait_ms: u64,
    /// An edit whose outcome is not known within this time is told as unsettled, in
    /// milliseconds; 15,000 by default.
    #[serde(default = "default_answer_wait_ms")]
    pub answer_wait_ms: u64,
    /// How the platform's log is used.
    #[serde(default)]
    pub log: LogOptions,
    /// How the configuration is kept. Snapshots are left to the entry hosts.
    #[serde(default)]
    pub config: ConfigOptions,
}

const fn default_append_wait_ms() -> u64 {
    5_000
}

const fn default_answer_wait_ms() -> u64 {
    15_000
}

/// A running administration API.
pub struct Admin {
    /// Where it listens.
    pub address: SocketAddr,
    server: Server,
}

impl Admin {
    /// Opens the socket and serves in the background.
    ///
    /// # Errors
    ///
    /// [`crate::error::Error::Io`] if the socket cannot be opened.
    pub fn start(settings: AdminSettings) -> Result<Self> {
        let listener = TcpListener::bind(&settings.address)?;
        let address = listener.local_addr()?;
        let state = AdminState::new(settings);
        let server = HttpServer::new(move || {
            App::new()
                .app_data(web::Data::new(state.clone()))
                .app_data(
                    web::JsonConfig::default()
                        .limit(BODY_BYTES_MAX)
                        .error_handler(|error, _| {
                            Refused::new(AdminCode::InvalidRequest, error.to_string()).into()
                        }),
                )
                .configure(routes)
        });
        let server = server.workers(1).listen(listener)?.run();
        Ok(Admin { address, server })
    }

    /// Serves until a signal ends it.
    ///
    /// # Errors
    ///
    /// [`crate::error::Error::Io`] if the server fails.
    pub async fn run(self) -> Result<()> {
        Ok(self.server.await?)
    }
}

/// What the calls work with.
#[derive(Debug, Clone)]
struct AdminState {
    tokens: Vec<Token>,
    editor: Editor,
    config: ConfigHandle,
    log: LogHandle,
}

impl AdminState {
    fn new(settings: AdminSettings) -> Self {
        let seed = wall_ms();
        let journal = Journal::new(
            settings.host.clone(),
            Incarnation(seed),
            SystemClock::new(),
            DEFAULT_CAPACITY,
        );
        let log = LogHandle::start(
            &settings.platform_address,
            &settings.data_centre,
            settings.log,
            seed,
        );
        let options = ConfigOptions {
            appends_snapshots: false,
            ..settings.config
        };
        let config = ConfigHandle::start(log.clone(), journal, settings.host, options, seed);
        let editor = Editor {
            log: log.clone(),
            config: config.clone(),
            append_wait: Duration::from_millis(settings.append_wait_ms),
            answer_wait: Duration::from_millis(settings.answer_wait_ms),
        };
        AdminState {
            tokens: settings.tokens,
            editor,
            config,
            log,
        }
    }

    /// Lets a call in: its token must allow what `needed` does.
    fn admit(&self, http: &HttpRequest, needed: Role) -> std::result::Result<&Token, Refused> {
        let header = http.headers().get("authorization");
        let text = header.and_then(|value| value.to_str().ok());
        authorize(&self.tokens, text, needed).map_err(|code| {
            let message = match code {
                AdminCode::Forbidden => "the token's role does not allow this call",
                _ => "a known bearer token is needed",
            };
            Refused::new(code, message)
        })
    }

    fn require_ready(&self) -> std::result::Result<(), Refused> {
        let state = self.config.state();
        match state.is_ready {
            true => Ok(()),
            false => Err(Refused::new(AdminCode::NotReady, state.reason)),
        }
    }
}

fn routes(config: &mut web::ServiceConfig) {
    config
        .route("/healthz", web::get().to(health))
        .route("/readyz", web::get().to(ready))
        .route("/v1/table", web::get().to(table))
        .route("/v1/edits", web::post().to(edit))
        .route("/v1/edits/{edit_id}", web::get().to(find_edit))
        .route("/v1/history", web::get().to(history))
        .route("/v1/in-force", web::get().to(in_force));
}

/// A refused call.
#[derive(Debug, thiserror::Error)]
#[error("{}", failure.message)]
struct Refused {
    failure: AdminFailure,
}

impl Refused {
    fn new(code: AdminCode, message: impl Into<String>) -> Self {
        let message = message.into();
        Refused {
            failure: AdminFailure { code, message },
        }
    }
}

impl actix_web::ResponseError for Refused {
    fn status_code(&self) -> StatusCode {
        status(self.failure.code.http_status())
    }

    fn error_response(&self) -> HttpResponse {
        HttpResponse::build(self.status_code()).json(AdminError {
            error: self.failure.clone(),
        })
    }
}

type Answer = std::result::Result<HttpResponse, Refused>;

async fn health() -> HttpResponse {
    HttpResponse::Ok().body("ok\n")
}

async fn ready(state: web::Data<AdminState>) -> Answer {
    state.require_ready()?;
    Ok(HttpResponse::Ok().body("ready\n"))
}

async fn table(state: web::Data<AdminState>, http: HttpRequest) -> Answer {
    state.admit(&http, Role::Viewer)?;
    state.require_ready()?;
    let table = state.config.table();
    Ok(HttpResponse::Ok().json(TableView {
        offset: table.next,
        rows: table.rows(),
    }))
}

async fn edit(
    state: web::Data<AdminState>,
    http: HttpRequest,
    request: web::Json<EditRequest>,
) -> Answer {
    let token = state.admit(&http, Role::Editor)?;
    state.require_ready()?;
    let result = state.editor.edit(&token.name, request.into_inner()).await;
    Ok(HttpResponse::build(status(result.http_status())).json(result))
}

async fn find_edit(
    state: web::Data<AdminState>,
    http: HttpRequest,
    edit_id: web::Path<EditId>,
) -> Answer {
    state.admit(&http, Role::Viewer)?;
    match state.editor.find(edit_id.into_inner()).await {
        Some(entry) => Ok(HttpResponse::Ok().json(entry)),
        None => Err(Refused::new(
            AdminCode::NotFound,
            "no such edit is known here",
        )),
    }
}

async fn history(state: web::Data<AdminState>, http: HttpRequest) -> Answer {
    state.admit(&http, Role::Viewer)?;
    Ok(HttpResponse::Ok().json(state.config.history().await))
}

/// Parameters of `GET /v1/in-force`.
#[derive(Debug, Deserialize)]
struct InForceQuery {
    offset: Offset,
}

async fn in_force(
    state: web::Data<AdminState>,
    http: HttpRequest,
    query: web::Query<InForceQuery>,
) -> Answer {
    state.admit(&http, Role::Viewer)?;
    let Some(list) = state.log.hosts().await else {
        let message = "the platform's host list could not be read";
        return Err(Refused::new(AdminCode::PlatformUnavailable, message));
    };
    let entries = list
        .hosts
        .into_iter()
        .filter(|host| host.kind == HostKind::Entry);
    let hosts = join_all(entries.map(ask_host)).await;
    let offsets: Vec<Offset> = hosts.iter().filter_map(|host| host.next).collect();
    Ok(HttpResponse::Ok().json(InForce {
        offset: query.offset,
        in_force: offsets.iter().filter(|next| **next > query.offset).count(),
        reachable: offsets.len(),
        hosts,
    }))
}

/// Asks an entry host what it has in force: beyond every record there is nothing but its offset.
async fn ask_host(host: ListedHost) -> HostInForce {
    let asked = fetch_config(&host.address, Offset(u64::MAX), HOST_TIMEOUT);
    let answer = tokio::time::timeout(HOST_TIMEOUT, asked).await;
    HostInForce {
        address: host.address,
        data_centre: host.data_centre,
        next: answer.ok().and_then(|tail| Some(tail.ok()?.next)),
    }
}

fn status(code: u16) -> StatusCode {
    StatusCode::from_u16(code).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR)
}
