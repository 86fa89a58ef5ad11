//! Control-plane overhead of one entry VM process in simulated fleets of several sizes.
//!
//! Prints one JSON object per line: one for each size and measure, then the slope of a line fitted
//! through the sizes. `--seconds N` sets the duration of each measurement, `--only NAME` selects
//! one sweep. Bytes to the platform are counted by proxies in between, and bytes to peers by the
//! process itself.

use std::fs;
use std::io::BufRead;
use std::io::BufReader;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::Method;
use hyper::Request;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use tokio::io::copy_bidirectional;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

use fake::BackendOptions;
use fake::BackendPool;
use fake::Place;
use fake::StoreServer;
use fake::TaskTimes;
use fake::VmServer;
use fake::WorkerFleet;
use fake::WorkerOptions;
use wire::border;

/// Default duration of a measurement, in seconds.
const DEFAULT_SECONDS: u64 = 10;
/// Time for the fleet to reach a steady state before a measurement.
const SETTLE_TIME: Duration = Duration::from_secs(6);
/// Time after which the renewal interval of started tasks has reached its maximum.
const RENEWAL_SETTLE_TIME: Duration = Duration::from_secs(40);
/// Clock ticks per second in `/proc/<pid>/stat`.
const TICKS_PER_SECOND: f64 = 100.0;
/// Number of tasks of a job, which equals the accelerators of a worker.
const TASKS_PER_JOB: u32 = 8;
const TOKEN: &str = "bench";

const TEXT: &str = r#"{
  "services": { "echo": {
    "class": "interactive", "idempotent": false, "timeout": "5s", "deadline": "10s",
    "objective": { "availability": "99.9%", "latency": "1s" }, "pool": "hub",
  } },
  "pools": { "hub": { "slots": 8, "connections": 64 } },
  "accounts": { "all": { "weight": WEIGHT } },
}"#;

/// Size of a simulated fleet and its load: tasks, changes per minute and requests per second.
#[derive(Clone, Copy)]
struct Size {
    entries: usize,
    workers: usize,
    tasks: u32,
    changes: u32,
    requests: u32,
}

const BASE: Size = Size { entries: 1, workers: 192, tasks: 0, changes: 0, requests: 0 };

/// Series of fleets that differ in one dimension.
struct Sweep {
    name: &'static str,
    sizes: Vec<(f64, Size)>,
}

fn sweeps() -> Vec<Sweep> {
    let sweep = |name, values: &[u32], set: fn(u32) -> Size| Sweep {
        name,
        sizes: values.iter().map(|value| (f64::from(*value), set(*value))).collect(),
    };
    vec![
        sweep("workers", &[48, 192, 768], |n| Size { workers: n as usize, ..BASE }),
        sweep("tasks", &[0, 512, 1_024], |n| Size { tasks: n, ..BASE }),
        sweep("entry_vms", &[1, 4, 8, 16], |n| Size { entries: n as usize, ..BASE }),
        sweep("text_changes_per_minute", &[0, 60, 240], |n| Size { changes: n, ..BASE }),
        sweep("requests_per_second", &[0, 500, 2_000], |n| Size { requests: n, ..BASE }),
    ]
}

/// Resource usage of a process.
#[derive(Clone, Copy, Default)]
struct Cost {
    cpu: f64,
    memory: f64,
    bytes: f64,
    calls: f64,
}

impl Cost {
    fn measures(&self) -> [(&'static str, f64, &'static str); 4] {
        [
            ("cpu_share", self.cpu, "cores"),
            ("resident_memory", self.memory, "bytes"),
            ("bytes", self.bytes, "bytes/s"),
            ("store_calls", self.calls, "calls/s"),
        ]
    }
}

/// Starts a TCP proxy that counts the bytes of its connections; returns its address.
async fn start_proxy(to: SocketAddr, counter: Arc<AtomicU64>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("a bound socket");
    tokio::spawn(async move {
        while let Ok((mut near, _)) = listener.accept().await {
            let counter = counter.clone();
            tokio::spawn(async move {
                let Ok(mut far) = TcpStream::connect(to).await else { return };
                let mut near = CountedStream { inner: &mut near, counter: &counter };
                // A broken connection is counted up to the error.
                let _ = copy_bidirectional(&mut near, &mut far).await;
            });
        }
    });
    address
}

/// Stream that counts the bytes read and written.
struct CountedStream<'s> {
    inner: &'s mut TcpStream,
    counter: &'s AtomicU64,
}

impl tokio::io::AsyncRead for CountedStream<'_> {
    fn poll_read(
        mut self: std::pin::Pin<&mut Self>,
        cx: &mut std::task::Context<'_>,
        buffer: &mut tokio::io::ReadBuf<'_>,
    ) -> std::task::Poll<std::io::Result<()>> {
        let before = buffer.filled().len();
        let result = std::pin::Pin::new(&mut *self.inner).poll_read(cx, buffer);
        let passed = buffer.filled().len() - before;
        self.counter.fetch_add(passed as u64, Ordering::Relaxed);
        result
    }
}

impl tokio::io::AsyncWrite for CountedStream<'_> {
    fn poll_write(
        mut self: std::pin::Pin<&mut Self>,
        cx: &mut std::task::Context<'_>,
        bytes: &[u8],
    ) -> std::task::Poll<std::io::Result<usize>> {
        let result = std::pin::Pin::new(&mut *self.inner).poll_write(cx, bytes);
        if let std::task::Poll::Ready(Ok(passed)) = &result {
            self.counter.fetch_add(*passed as u64, Ordering::Relaxed);
        }
        result
    }

    fn poll_flush(
        mut self: std::pin::Pin<&mut Self>,
        cx: &mut std::task::Context<'_>,
    ) -> std::task::Poll<std::io::Result<()>> {
        std::pin::Pin::new(&mut *self.inner).poll_flush(cx)
    }

    fn poll_shutdown(
        mut self: std::pin::Pin<&mut Self>,
        cx: &mut std::task::Context<'_>,
    ) -> std::task::Poll<std::io::Result<()>> {
        std::pin::Pin::new(&mut *self.inner).poll_shutdown(cx)
    }
}

/// Entry VM process.
struct Process {
    child: Child,
    address: SocketAddr,
}

impl Drop for Process {
    fn drop(&mut self) {
        // Fails if the process has exited already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Simulated fleet that includes the measured process.
struct Stage {
    store: StoreServer,
    _vms: VmServer,
    _pool: BackendPool,
    _workers: WorkerFleet,
    processes: Vec<Process>,
    platform_bytes: Arc<AtomicU64>,
    revision: AtomicU64,
    client: Client<HttpConnector, Full<Bytes>>,
}

impl Stage {
    async fn start(size: Size) -> Stage {
        let place = Place::new("zone-a", "region-a");
        let platform_bytes = Arc::new(AtomicU64::new(0));
        let pool = BackendPool::start(BackendOptions {
            places: vec![place.clone()],
            ..BackendOptions::new("hub", 48)
        })
        .expect("backend servers");
        let workers = WorkerFleet::start(WorkerOptions {
            places: vec![place],
            times: TaskTimes { per_second: Duration::from_secs(1), ..TaskTimes::default() },
            ..WorkerOptions::new(size.workers)
        })
        .expect("workers");
        let store = StoreServer::start(1).expect("a store");
        let store_at = start_proxy(store.address().0, platform_bytes.clone()).await;
        let workers_at = start_proxy(workers.address().0, platform_bytes.clone()).await;
        let mut listed = pool.vms();
        listed.extend(workers.vms().into_iter().map(|mut vm| {
            vm.address = workers_at.to_string();
            vm
        }));
        let vms = VmServer::start(listed).expect("a list of VMs");
        let vms_at = start_proxy(vms.address().0, platform_bytes.clone()).await;
        let processes = (0..size.entries)
            .map(|number| {
                // Only the first process is measured; the others bypass the proxies.
                let (store, vms) = match number {
                    0 => (format!("http://{store_at}"), format!("http://{vms_at}/v1/vms")),
                    _ => (store.url(), format!("{}/v1/vms", vms.url())),
                };
                spawn(number, &store, &vms)
            })
            .collect();
        let client = Client::builder(TokioExecutor::new()).build(HttpConnector::new());
        let revision = AtomicU64::new(0);
        Stage {
            store,
            _vms: vms,
            _pool: pool,
            _workers: workers,
            processes,
            platform_bytes,
            revision,
            client,
        }
    }

    async fn call(&self, method: Method, path: &str, body: Vec<u8>) -> Option<Bytes> {
        let uri = format!("http://{}{path}", self.processes[0].address);
        let request = Request::builder()
            .method(method)
            .uri(uri)
            .header("authorization", format!("Bearer {TOKEN}"))
            .header("basilrack-account", "all")
            .body(Full::new(Bytes::from(body)))
            .expect("a request");
        let response = self.client.request(request).await.ok()?;
        let accepted = response.status().is_success();
        let body = response.into_body().collect().await.ok()?.to_bytes();
        accepted.then_some(body)
    }

    async fn change_weight(&self, weight: u32) -> bool {
        let call = border::ApplyCall {
            expect: self.revision.load(Ordering::Relaxed),
            text: TEXT.replace("WEIGHT", &weight.to_string()),
            author: "bench".to_owned(),
            write: format!("{weight:016x}"),
        };
        let body = serde_json::to_vec(&call).expect("a value");
        let answer = self.call(Method::PUT, "/v1/text", body).await;
        let answer: Option<border::ApplyAnswer> =
            answer.and_then(|body| serde_json::from_slice(&body).ok());
        if let Some(answer) = &answer {
            self.revision.store(answer.revision, Ordering::Relaxed);
        }
        answer.is_some()
    }

    async fn wait_ready(&self, size: Size) {
        while !self.change_weight(1).await {
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
        loop {
            let status = self.call(Method::GET, "/v1/status", Vec::new()).await;
            let status: Option<border::Status> =
                status.and_then(|body| serde_json::from_slice(&body).ok());
            let settled = status.is_some_and(|status| {
                let live = status.members.iter().filter(|member| member.state == "live").count();
                let owned = status.shards.iter().all(|shard| shard.owner.is_some());
                live == size.entries && owned && !status.shards.is_empty()
            });
            if settled {
                return;
            }
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    }

    async fn submit(&self, tasks: u32) {
        for _ in 0..tasks / TASKS_PER_JOB {
            let spec = border::JobSpec {
                account: "all".to_owned(),
                service: "echo".to_owned(),
                shape: border::GangShape {
                    tasks: TASKS_PER_JOB,
                    accelerators: 1,
                    millicores: 1_000,
                    memory_mib: 1_024,
                    adjacency: border::Adjacency::Rack,
                },
                priority: border::Priority::Normal,
                idempotent: true,
                checkpoint: false,
                declared_ms: 3_600_000,
                zone: Some("zone-a".to_owned()),
                volatile: false,
            };
            let body = serde_json::to_vec(&spec).expect("a value");
            assert!(
                self.call(Method::POST, "/v1/jobs", body).await.is_some(),
                "the job was refused"
            );
        }
    }

    /// Applies the load of `size` for `span`: changes of the configuration and requests.
    async fn apply_load(&self, size: Size, span: Duration) {
        let changing = async {
            if size.changes > 0 {
                let mut turns = tokio::time::interval(Duration::from_secs(60) / size.changes);
                for weight in 2.. {
                    turns.tick().await;
                    self.change_weight(weight % 10_000).await;
                }
            }
            std::future::pending::<()>().await;
        };
        let sending = async {
            if size.requests > 0 {
                let mut turns = tokio::time::interval(Duration::from_secs(1) / size.requests);
                loop {
                    turns.tick().await;
                    let sent = self.send();
                    tokio::spawn(sent);
                }
            }
            std::future::pending::<()>().await;
        };
        tokio::select! {
            () = tokio::time::sleep(span) => {}
            () = changing => {}
            () = sending => {}
        }
    }

    fn send(&self) -> impl Future<Output = ()> + Send + 'static {
        let uri = format!("http://{}/v1/services/echo", self.processes[0].address);
        let request = Request::post(uri)
            .header("basilrack-account", "all")
            .body(Full::new(Bytes::from_static(b"a short body")))
            .expect("a request");
        let answer = self.client.request(request);
        async move {
            if let Ok(response) = answer.await {
                let _ = response.into_body().collect().await;
            }
        }
    }

    async fn peer_bytes(&self) -> f64 {
        let text = self.call(Method::GET, "/metrics", Vec::new()).await.unwrap_or_default();
        let text = String::from_utf8_lossy(&text).into_owned();
        let lines = text.lines().filter(|line| line.starts_with("basilrack_peer_bytes_total"));
        lines.filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok()).sum()
    }

    async fn measure(&self, size: Size, span: Duration) -> Cost {
        let pid = self.processes[0].child.id();
        let (cpu, peers) = (cpu_seconds(pid), self.peer_bytes().await);
        let (platform, calls) =
            (self.platform_bytes.load(Ordering::Relaxed), self.store.calls(None));
        let started = Instant::now();
        self.apply_load(size, span).await;
        let took = started.elapsed().as_secs_f64();
        let platform = self.platform_bytes.load(Ordering::Relaxed) - platform;
        Cost {
            cpu: (cpu_seconds(pid) - cpu) / took,
            memory: resident_bytes(pid),
            bytes: (self.peer_bytes().await - peers + platform as f64) / took,
            calls: (self.store.calls(None) - calls) as f64 / took,
        }
    }
}

fn spawn(number: usize, store: &str, vms: &str) -> Process {
    let settings = serde_json::json!({
        "vm": format!("entry-{number}"), "zone": "zone-a", "region": "region-a",
        "listen": {
            "callers": "127.0.0.1:0", "operators": "127.0.0.1:0", "peers": "127.0.0.1:0",
        },
        "advertise": "127.0.0.1:0", "store": [store], "vms": vms, "token": TOKEN,
        "log_level": "warn",
    });
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("control-{number}.jsonc"));
    fs::write(&path, settings.to_string()).expect("a settings file");
    let mut child = Command::new(env!("CARGO_BIN_EXE_basilrackd"))
        .arg("--settings")
        .arg(&path)
        .stdout(Stdio::piped())
        .spawn()
        .expect("a process");
    let mut line = String::new();
    let output = child.stdout.take().expect("its output");
    BufReader::new(output).read_line(&mut line).expect("a line");
    let address = line.trim().rsplit('/').next().unwrap_or_default();
    Process { child, address: address.parse().expect("an address") }
}

/// CPU time of a process so far, in seconds.
fn cpu_seconds(pid: u32) -> f64 {
    let stat = fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    let fields: Vec<&str> =
        stat.rsplit(')').next().unwrap_or_default().split_whitespace().collect();
    let ticks = |index: usize| fields.get(index).and_then(|f| f.parse::<f64>().ok()).unwrap_or(0.0);
    (ticks(11) + ticks(12)) / TICKS_PER_SECOND
}

/// Resident memory of a process, in bytes.
fn resident_bytes(pid: u32) -> f64 {
    let status = fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:")).unwrap_or_default();
    let kibibytes = line.split_whitespace().nth(1).and_then(|text| text.parse::<f64>().ok());
    kibibytes.unwrap_or(0.0) * 1_024.0
}

/// Slope and intercept of the least-squares line through `points`.
fn fit_line(points: &[(f64, f64)]) -> (f64, f64) {
    let count = points.len() as f64;
    let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
    let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
    let above: f64 = points.iter().map(|(x, y)| (x - mean_x) * (y - mean_y)).sum();
    let below: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
    let slope = above / below;
    (slope, mean_y - slope * mean_x)
}

async fn run_sweep(sweep: &Sweep, span: Duration) {
    let mut points: Vec<(f64, Cost)> = Vec::new();
    for (value, size) in &sweep.sizes {
        let stage = Stage::start(*size).await;
        stage.wait_ready(*size).await;
        stage.submit(size.tasks).await;
        stage
            .apply_load(*size, if size.tasks > 0 { RENEWAL_SETTLE_TIME } else { SETTLE_TIME })
            .await;
        let cost = stage.measure(*size, span).await;
        for (measure, amount, unit) in cost.measures() {
            let line = serde_json::json!({
                "measure": measure, "sweep": sweep.name, "size": value,
                "value": amount, "unit": unit,
            });
            println!("{line}");
        }
        points.push((*value, cost));
    }
    for index in 0..points[0].1.measures().len() {
        let (measure, _, unit) = points[0].1.measures()[index];
        let series: Vec<(f64, f64)> =
            points.iter().map(|(x, cost)| (*x, cost.measures()[index].1)).collect();
        let (slope, intercept) = fit_line(&series);
        let line = serde_json::json!({
            "measure": format!("{measure}_slope"), "sweep": sweep.name, "value": slope,
            "intercept": intercept, "unit": format!("{unit} per unit of {}", sweep.name),
        });
        println!("{line}");
    }
}

fn argument(name: &str) -> Option<String> {
    std::env::args().skip_while(|argument| argument != name).nth(1)
}

fn main() {
    let seconds =
        argument("--seconds").and_then(|text| text.parse().ok()).unwrap_or(DEFAULT_SECONDS);
    let only = argument("--only");
    let runtime = tokio::runtime::Runtime::new().expect("a runtime");
    for sweep in sweeps() {
        if only.as_deref().is_none_or(|name| name == sweep.name) {
            runtime.block_on(run_sweep(&sweep, Duration::from_secs(seconds)));
        }
    }
}
