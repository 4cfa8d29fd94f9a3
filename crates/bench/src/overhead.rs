//! What a node adds to an online request, against a bare pass-through in the same run.
//!
//! Both stand before the same engine stand-in in this process, on loopback. The pass-through is a hyper
//! server that sends the body to the engine and the engine's pieces back, and decides nothing.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use hdrhistogram::Histogram;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response};
use hyper_util::rt::TokioIo;
use serde::Serialize;
use serde_json::json;
use snafu::{ResultExt, Snafu};
use stallmoor_clients::HttpCaller;
use stallmoor_core::time::Millis;
use stallmoor_emulator::EngineSettings;
use stallmoor_node::settings::{CallerLimits, LogLevel};
use stallmoor_node::{NodeError, NodeFileSettings, RunningNode, start};
use stallmoor_standins::engine::{EngineOptions, StandinEngine};
use stallmoor_standins::http;
use stallmoor_standins::key_value::{KeyValue, KeyValueFaults};
use stallmoor_standins::machines::MachineDirectory;
use tokio::net::TcpListener;

use crate::experiment::{Percentiles, new_histogram};

/// Nothing here takes longer to come up.
const START_TIMEOUT: Duration = Duration::from_secs(20);
/// Requests before those that count.
const WARM_UP: usize = 200;
/// Most tokens of an answer.
const MAX_TOKENS: u32 = 8;

/// Why nothing was measured.
#[derive(Debug, Snafu)]
pub enum OverheadError {
    /// A port can't be listened on.
    #[snafu(display("{source}"))]
    Listen {
        /// Why.
        source: std::io::Error,
    },
    /// The node can't start.
    #[snafu(display("{source}"))]
    Start {
        /// Why.
        source: NodeError,
    },
    /// The node did not become ready.
    #[snafu(display("the node did not become ready"))]
    NotReady,
}

/// What one way cost.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct WayReport {
    /// From sending to the end of the answer, one request after the other.
    pub latency_ms: Percentiles,
    /// Requests a second with many at once.
    pub requests_per_s: f64,
}

/// Both ways.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct OverheadReport {
    /// Straight to the engine: what both add to.
    pub engine: WayReport,
    /// Through the pass-through.
    pub pass_through: WayReport,
    /// Through a node.
    pub node: WayReport,
    /// The node's p99 over the pass-through's.
    pub p99_ratio: f64,
}

/// Measures `requests` requests each way.
///
/// # Errors
///
/// Something did not start.
pub async fn measure(requests: usize) -> Result<OverheadReport, OverheadError> {
    let engine = start_engine().await?;
    let pass_through = start_pass_through(engine).await?;
    let node = start_node(engine).await?;
    // In turns, so that a drift of the machine's speed meets all alike.
    let mut ways = [(engine, true), (pass_through, true), (node.caller_address, false)]
        .map(|(address, is_engine)| Way { address, is_engine, histogram: new_histogram() });
    let caller = HttpCaller::default();
    for number in 0..WARM_UP + requests {
        for way in &mut ways {
            let began = Instant::now();
            way.ask(&caller, number).await;
            if number >= WARM_UP {
                way.histogram.saturating_record((began.elapsed().as_micros() as u64).max(1));
            }
        }
    }
    let mut reports = [WayReport::default(); 3];
    for (way, report) in ways.iter().zip(&mut reports) {
        report.latency_ms = Percentiles::of(&way.histogram);
        report.requests_per_s = way.throughput(requests).await;
    }
    let [engine, pass_through, node] = reports;
    let p99_ratio = node.latency_ms.p99 / pass_through.latency_ms.p99.max(f64::EPSILON);
    Ok(OverheadReport { engine, pass_through, node, p99_ratio })
}

/// One way to the engine.
struct Way {
    address: SocketAddr,
    is_engine: bool,
    histogram: Histogram<u64>,
}

impl Way {
    async fn ask(&self, caller: &HttpCaller, number: usize) {
        send(caller, self.address, self.is_engine, number).await;
    }

    /// Requests a second with many at once.
    async fn throughput(&self, requests: usize) -> f64 {
        const AT_ONCE: usize = 64;
        let caller = HttpCaller::default();
        let each = requests.div_ceil(AT_ONCE);
        let began = Instant::now();
        let tasks: Vec<_> = (0..AT_ONCE)
            .map(|task| {
                let (caller, address, is_engine) = (caller.clone(), self.address, self.is_engine);
                tokio::spawn(async move {
                    for number in 0..each {
                        send(&caller, address, is_engine, task * each + number).await;
                    }
                })
            })
            .collect();
        for task in tasks {
            // A task that panicked has been printed by the runtime.
            let _ = task.await;
        }
        (each * AT_ONCE) as f64 / began.elapsed().as_secs_f64()
    }
}

async fn send(caller: &HttpCaller, address: SocketAddr, is_engine: bool, number: usize) {
    let prompt = format!("overhead question {number}");
    let (path, body) = if is_engine {
        let body = json!({
            "attempt": format!("attempt-{number:032x}"), "class": "online", "priority": 0, "model": "model",
            "prompt": prompt, "max_tokens": MAX_TOKENS,
        });
        ("/v1/generate", body)
    } else {
        let body = json!({"model": "model", "prompt": prompt, "max_tokens": MAX_TOKENS, "stream": true});
        ("/v1/completions", body)
    };
    let request = Request::builder()
        .method(Method::POST)
        .uri(format!("http://{address}{path}"))
        .header("stallmoor-tenant", "tenant")
        .body(Full::new(Bytes::from(body.to_string())));
    let Ok(request) = request else { return };
    if let Ok(response) = caller.send(request).await {
        // Only the time counts here; wholeness is checked elsewhere.
        let _ = response.into_body().collect().await;
    }
}

async fn listen() -> Result<(TcpListener, SocketAddr), OverheadError> {
    let listener = TcpListener::bind("127.0.0.1:0").await.context(ListenSnafu)?;
    let address = listener.local_addr().context(ListenSnafu)?;
    Ok((listener, address))
}

async fn start_engine() -> Result<SocketAddr, OverheadError> {
    let settings = EngineSettings {
        slots: 256,
        queue: 4_096,
        iteration_us: 100,
        sequence_us: 1,
        prefill_token_us: 0,
        ..EngineSettings::default()
    };
    let engine = StandinEngine::new(EngineOptions {
        settings,
        report_lag: Duration::from_millis(50),
        incarnation: 1,
        seed: 1,
        runs_file: None,
    });
    let (listener, address) = listen().await?;
    tokio::spawn(engine.clone().run());
    tokio::spawn(http::serve(listener, move |call| engine.clone().handle(call)));
    Ok(address)
}

/// A server that passes bodies through and decides nothing.
async fn start_pass_through(engine: SocketAddr) -> Result<SocketAddr, OverheadError> {
    let (listener, address) = listen().await?;
    let caller = HttpCaller::default();
    tokio::spawn(async move {
        loop {
            let Ok((stream, _)) = listener.accept().await else { continue };
            // Small pieces must not wait for one another.
            let _ = stream.set_nodelay(true);
            let caller = caller.clone();
            tokio::spawn(async move {
                let service = service_fn(move |request| pass(caller.clone(), engine, request));
                // A connection that ends is the other side's affair.
                let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
            });
        }
    });
    Ok(address)
}

async fn pass(
    caller: HttpCaller,
    engine: SocketAddr,
    request: Request<Incoming>,
) -> Result<Response<http_body_util::Either<Incoming, Full<Bytes>>>, Infallible> {
    let path = request.uri().path().to_owned();
    let body = request.into_body().collect().await.map(|body| body.to_bytes()).unwrap_or_default();
    let onward = Request::builder().method(Method::POST).uri(format!("http://{engine}{path}")).body(Full::new(body));
    let answered = match onward {
        Ok(onward) => caller.send(onward).await.ok(),
        Err(_) => None,
    };
    Ok(match answered {
        Some(response) => response.map(http_body_util::Either::Left),
        None => Response::new(http_body_util::Either::Right(Full::default())),
    })
}

async fn start_node(engine: SocketAddr) -> Result<RunningNode, OverheadError> {
    let (listener, key_value) = listen().await?;
    let service = KeyValue::new(KeyValueFaults::default(), 1);
    tokio::spawn(http::serve(listener, move |call| service.clone().handle(call)));
    let (listener, machine_list) = listen().await?;
    let list = MachineDirectory::new(Duration::from_millis(100));
    tokio::spawn(http::serve(listener, move |call| list.clone().handle(call)));
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let settings = NodeFileSettings {
        zone: "zone".to_owned(),
        peer_address: any,
        caller_address: any,
        seeds: Vec::new(),
        data_folder: None,
        founding_stores: 1,
        stop_timeout: Millis(1_000),
        key_value,
        machine_list,
        key_value_rate: 100.0,
        configuration_poll: Millis(200),
        log_level: LogLevel::Off,
        log_file: None,
        limits: CallerLimits::default(),
    };
    let node = start(&settings, false).await.context(StartSnafu)?;
    apply(node.caller_address, engine).await?;
    Ok(node)
}

async fn apply(node: SocketAddr, engine: SocketAddr) -> Result<(), OverheadError> {
    let files = json!({
        "all.toml": format!(
            "[fleet]\nname = \"f\"\n[[zone]]\nname = \"zone\"\nregion = \"r\"\n[[service]]\nname = \"s\"\n\
             [[model]]\nname = \"model\"\nservice = \"s\"\n[[tenant]]\nname = \"tenant\"\nrequests_in_flight = 10000\n\
             [[machine]]\nname = \"engine\"\naddress = \"{engine}\"\nzone = \"zone\"\nservice = \"s\"\nslots = 256\n"
        )
    });
    let body = json!({"apply_id": 1, "expected_revision": null, "files": files}).to_string();
    let caller = HttpCaller::default();
    let deadline = Instant::now() + START_TIMEOUT;
    while Instant::now() < deadline {
        let uri = format!("http://{node}/operator/configuration");
        let applied = caller.call(Method::POST, &uri, Bytes::from(body.clone()), START_TIMEOUT).await;
        if applied.is_ok_and(|(status, _)| status.is_success()) {
            return Ok(());
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    Err(OverheadError::NotReady)
}
