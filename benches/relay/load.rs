//! A fake engine that stamps its tokens, callers that read the stamps, and an entry host between.

use std::fs;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use hdrhistogram::Histogram;
use serde_json::Value;
use serde_json::json;
use tempfile::TempDir;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::task::LocalSet;

use crate::tester::Platform;
use crate::tester::Program;
use crate::tester::http_agent;
use crate::tester::wait_until;
use cedargauge::id::DataCentre;
use cedargauge::id::UpstreamId;
use cedargauge::row::UpstreamRow;
use cedargauge::standin_table::DEMO_KEY;
use cedargauge::standin_table::small_table;

/// Ticks of `/proc/PID/stat` a second (`getconf CLK_TCK`, 100 on Linux).
const CLOCK_TICKS_PER_S: u64 = 100;

/// Bytes of a page, as `/proc/PID/statm` counts.
const PAGE_BYTES: u64 = 4_096;

/// What a run measured in its window.
pub struct Measured {
    pub tokens: u64,
    cpu: Duration,
    pub memory_bytes: u64,
    delays_us: Histogram<u64>,
}

impl Measured {
    /// Processor time a token, in microseconds.
    pub fn us_a_token(&self) -> f64 {
        self.cpu.as_secs_f64() * 1e6 / self.tokens as f64
    }

    /// The median and the 99th percentile of the delay from the engine to the caller.
    pub fn delays(&self) -> String {
        let p50 = self.delays_us.value_at_quantile(0.5) as f64 / 1e3;
        let p99 = self.delays_us.value_at_quantile(0.99) as f64 / 1e3;
        format!("{p50:.2} / {p99:.2} ms")
    }
}

/// The processor time and memory of a process or thread.
pub struct Usage {
    directory: String,
}

impl Usage {
    pub fn of_process(pid: u32) -> Self {
        Usage {
            directory: format!("/proc/{pid}"),
        }
    }

    fn of_thread(tid: i32) -> Self {
        Usage {
            directory: format!("/proc/self/task/{tid}"),
        }
    }

    fn cpu(&self) -> Duration {
        let stat = fs::read_to_string(format!("{}/stat", self.directory)).unwrap();
        let after_name = stat.rsplit_once(") ").unwrap().1;
        let fields: Vec<&str> = after_name.split_whitespace().collect();
        let ticks: u64 = fields[11].parse::<u64>().unwrap() + fields[12].parse::<u64>().unwrap();
        Duration::from_millis(ticks * 1_000 / CLOCK_TICKS_PER_S)
    }

    pub fn memory_bytes(&self) -> u64 {
        let statm = fs::read_to_string(format!("{}/statm", self.directory)).unwrap();
        let pages: u64 = statm.split_whitespace().nth(1).unwrap().parse().unwrap();
        pages * PAGE_BYTES
    }
}

/// Copies bytes between callers and the engine and does nothing else: the least that any relay
/// costs on this machine at this moment.
pub struct PlainCopy {
    pub address: SocketAddr,
    pub usage: Usage,
}

impl PlainCopy {
    pub fn start(engine: SocketAddr) -> Self {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        listener.set_nonblocking(true).unwrap();
        let address = listener.local_addr().unwrap();
        let (sender, tid) = std::sync::mpsc::channel();
        thread::spawn(move || {
            sender.send(nix::unistd::gettid().as_raw()).unwrap();
            run_local(copy_all(listener, engine));
        });
        PlainCopy {
            address,
            usage: Usage::of_thread(tid.recv().unwrap()),
        }
    }
}

async fn copy_all(listener: std::net::TcpListener, engine: SocketAddr) {
    let listener = TcpListener::from_std(listener).unwrap();
    loop {
        let (mut caller, _) = listener.accept().await.unwrap();
        tokio::task::spawn_local(async move {
            caller.set_nodelay(true)?;
            let mut upstream = TcpStream::connect(engine).await?;
            upstream.set_nodelay(true)?;
            tokio::io::copy_bidirectional(&mut caller, &mut upstream).await
        });
    }
}

/// A platform, an entry host and the fake engine.
pub struct WholePath {
    engine: SocketAddr,
    entry: Program,
    _platform: Platform,
    _directory: TempDir,
}

impl WholePath {
    pub fn start() -> Self {
        let engine = start_engine();
        let directory = tempfile::tempdir().unwrap();
        let upstream = UpstreamRow {
            upstream: UpstreamId::new(engine.to_string()),
            data_centre: DataCentre::from("dc-0"),
            checks_fence: true,
        };
        let table = directory.path().join("table.json");
        let rows = small_table(vec![upstream], Vec::new());
        fs::write(&table, serde_json::to_string(&rows).unwrap()).unwrap();
        let platform = Platform::start(&["--table", table.to_str().unwrap()]);
        let settings = directory.path().join("entry.json");
        let content = json!({
            "host": "entry-0", "data_centre": "dc-0", "caller_address": "127.0.0.1:0",
            "peer_address": "127.0.0.1:0", "platform_address": platform.address,
            "server": {"workers": 2},
        });
        fs::write(&settings, content.to_string()).unwrap();
        let entry = Program::start(
            "cedargauge-entry",
            ["--settings".as_ref(), settings.as_os_str()],
        );
        let url = format!("http://{}/readyz", entry.ready_value("caller"));
        let agent = http_agent();
        assert!(wait_until(Duration::from_secs(10), || {
            agent
                .get(&url)
                .call()
                .is_ok_and(|answer| answer.status() == 200)
        }));
        WholePath {
            engine,
            entry,
            _platform: platform,
            _directory: directory,
        }
    }

    pub fn engine_address(&self) -> SocketAddr {
        self.engine
    }

    pub fn entry_address(&self) -> SocketAddr {
        self.entry.ready_value("caller").parse().unwrap()
    }

    pub fn entry_usage(&self) -> Usage {
        Usage::of_process(self.entry.pid())
    }
}

/// Runs streams for the warm-up and the window and measures the window.
pub fn run(
    address: SocketAddr,
    usage: Option<&Usage>,
    streams: usize,
    tokens_per_s: u32,
    warm_up: Duration,
    window: Duration,
) -> Measured {
    let delays_us: Arc<Mutex<Histogram<u64>>> = Arc::new(Mutex::new(Histogram::new(3).unwrap()));
    let record = delays_us.clone();
    let ask = ask(address, tokens_per_s);
    let caller =
        thread::spawn(move || run_local(call_all(address, ask, streams, record, warm_up + window)));
    thread::sleep(warm_up);
    delays_us.lock().unwrap().clear();
    let before = usage.map(Usage::cpu).unwrap_or_default();
    thread::sleep(window);
    let used = usage.map(Usage::cpu).unwrap_or_default() - before;
    let memory_bytes = usage.map(Usage::memory_bytes).unwrap_or_default();
    let delays_us = delays_us.lock().unwrap().clone();
    caller.join().unwrap();
    Measured {
        tokens: delays_us.len(),
        cpu: used,
        memory_bytes,
        delays_us,
    }
}

/// A request that both the engine and an entry host understand; the engine takes its rate from the
/// prompt.
fn ask(address: SocketAddr, tokens_per_s: u32) -> String {
    let body = json!({"model": "inspection", "prompt": format!("rate={tokens_per_s}"),
        "stream": true})
    .to_string();
    format!(
        "POST /v1/completions HTTP/1.1\r\nHost: {address}\r\nAuthorization: Bearer {DEMO_KEY}\r\n\
         Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

async fn call_all(
    address: SocketAddr,
    ask: String,
    streams: usize,
    delays_us: Arc<Mutex<Histogram<u64>>>,
    duration: Duration,
) {
    let until = tokio::time::Instant::now() + duration;
    let calls: Vec<_> = (0..streams)
        .map(|number| {
            let phase = Duration::from_micros(number as u64 * 997 % 1_000_000);
            let ask = ask.clone();
            let delays_us = delays_us.clone();
            tokio::task::spawn_local(async move {
                tokio::time::sleep(phase).await;
                let calling = call(address, &ask, &delays_us);
                tokio::time::timeout_at(until, calling).await.ok();
            })
        })
        .collect();
    for call in calls {
        call.await.unwrap();
    }
}

/// Reads a stream for ever and records how old each stamp is.
async fn call(address: SocketAddr, ask: &str, delays_us: &Mutex<Histogram<u64>>) {
    let mut connection = TcpStream::connect(address).await.unwrap();
    connection.set_nodelay(true).unwrap();
    connection.write_all(ask.as_bytes()).await.unwrap();
    let mut buffer = vec![0; 4_096];
    loop {
        let read = connection.read(&mut buffer).await.unwrap();
        assert!(read > 0, "the stream ended");
        let now = now_us();
        for stamp in stamps(&buffer[..read]) {
            delays_us
                .lock()
                .unwrap()
                .record(now.saturating_sub(stamp))
                .unwrap();
        }
    }
}

/// The stamps `@MICROSECONDS;` in a chunk.
fn stamps(chunk: &[u8]) -> impl Iterator<Item = u64> + '_ {
    chunk
        .split(|byte| *byte == b'@')
        .skip(1)
        .filter_map(|part| {
            let end = part.iter().position(|byte| *byte == b';')?;
            std::str::from_utf8(&part[..end]).ok()?.parse().ok()
        })
}

fn start_engine() -> SocketAddr {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    listener.set_nonblocking(true).unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || run_local(serve(listener)));
    address
}

async fn serve(listener: std::net::TcpListener) {
    let listener = TcpListener::from_std(listener).unwrap();
    loop {
        let (connection, _) = listener.accept().await.unwrap();
        tokio::task::spawn_local(async move {
            // The other side hangs up at the end of a run.
            let _ = generate(connection).await;
        });
    }
}

async fn generate(mut connection: TcpStream) -> std::io::Result<()> {
    connection.set_nodelay(true)?;
    let body = read_body(&mut connection).await?;
    let Ok(request) = serde_json::from_slice::<Value>(&body) else {
        return connection
            .write_all(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
            .await;
    };
    let attempt = request["attempt"].as_str().unwrap_or("none").to_owned();
    let rate = request["prompt"]
        .as_str()
        .unwrap_or("")
        .trim_start_matches("rate=");
    let gap = Duration::from_secs(1) / rate.parse().unwrap_or(1);
    let head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\
                Transfer-Encoding: chunked\r\n\r\n";
    connection.write_all(head.as_bytes()).await?;
    let mut ticks = tokio::time::interval(gap);
    for index in 0_u32.. {
        ticks.tick().await;
        let stamp = now_us();
        let data = format!(
            "data: {{\"event\":\"token\",\"attempt\":\"{attempt}\",\"index\":{index},\
             \"text\":\"@{stamp};\"}}\n\n"
        );
        let chunk = format!("{:x}\r\n{data}\r\n", data.len());
        connection.write_all(chunk.as_bytes()).await?;
    }
    Ok(())
}

async fn read_body(connection: &mut TcpStream) -> std::io::Result<Vec<u8>> {
    let mut bytes = Vec::new();
    loop {
        let mut buffer = [0; 4_096];
        let read = connection.read(&mut buffer).await?;
        bytes.extend_from_slice(&buffer[..read]);
        let text = String::from_utf8_lossy(&bytes);
        if let Some((head, body)) = text.split_once("\r\n\r\n") {
            let length = head.lines().find_map(|line| {
                line.to_lowercase()
                    .strip_prefix("content-length: ")?
                    .parse()
                    .ok()
            });
            if body.len() >= length.unwrap_or(0) {
                return Ok(body.as_bytes().to_vec());
            }
        }
        if read == 0 {
            return Ok(Vec::new());
        }
    }
}

/// Microseconds since the first call; both ends are in this process.
fn now_us() -> u64 {
    static ORIGIN: std::sync::OnceLock<Instant> = std::sync::OnceLock::new();
    let origin = ORIGIN.get_or_init(Instant::now);
    u64::try_from(origin.elapsed().as_micros()).unwrap()
}

fn run_local<F: Future>(future: F) -> F::Output {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    LocalSet::new().block_on(&runtime, future)
}
