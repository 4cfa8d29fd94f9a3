//! Runs a small fleet in one process: nodes on free loopback ports, with stand-ins for the platform.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{HeaderMap, Method, Request, StatusCode};
use serde_json::{Value, json};
use stallmoor_clients::HttpCaller;
use stallmoor_core::time::Millis;
use stallmoor_emulator::EngineSettings;
use stallmoor_node::settings::CallerLimits;
use stallmoor_node::{NodeFileSettings, RunningNode, start};
use stallmoor_standins::engine::{EngineOptions, StandinEngine};
use stallmoor_standins::http;
use stallmoor_standins::key_value::{KeyValue, KeyValueFaults};
use stallmoor_standins::machines::MachineDirectory;
use tempfile::TempDir;
use tokio::net::TcpListener;

/// Model in the fleet's configuration.
pub const MODEL: &str = "model";
/// Tenant in the fleet's configuration.
pub const TENANT: &str = "tenant";
/// Time limit of [`eventually`].
const EVENTUALLY_TIMEOUT: Duration = Duration::from_secs(60);

/// Gives each configuration change a unique ID.
static NEXT_APPLY: AtomicU64 = AtomicU64::new(1);

/// A running fleet.
pub struct Fleet {
    pub nodes: Vec<RunningNode>,
    pub engines: Vec<SocketAddr>,
    pub key_value: SocketAddr,
    pub machines: SocketAddr,
    pub client: Client,
    _folders: Vec<TempDir>,
}

/// A complete HTTP response.
pub struct TestResponse {
    pub status: StatusCode,
    pub headers: HeaderMap,
    pub body: Bytes,
}

impl TestResponse {
    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or(Value::Null)
    }

    pub fn code(&self) -> String {
        self.json()["error"]["code"].as_str().unwrap_or_default().to_owned()
    }
}

/// An HTTP client.
#[derive(Clone, Default)]
pub struct Client {
    caller: HttpCaller,
}

impl Client {
    pub async fn send(
        &self,
        method: Method,
        to: SocketAddr,
        path: &str,
        headers: &[(&str, &str)],
        body: impl Into<Bytes>,
    ) -> TestResponse {
        let mut request = Request::builder().method(method).uri(format!("http://{to}{path}"));
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        let request = request.body(Full::new(body.into())).expect("a request");
        let response = self.caller.send(request).await.expect("an answer");
        let (parts, body) = response.into_parts();
        let body = body.collect().await.expect("a complete body").to_bytes();
        TestResponse { status: parts.status, headers: parts.headers, body }
    }

    pub async fn get(&self, to: SocketAddr, path: &str) -> TestResponse {
        self.send(Method::GET, to, path, &[], "").await
    }

    pub async fn post(&self, to: SocketAddr, path: &str, headers: &[(&str, &str)], body: Value) -> TestResponse {
        self.send(Method::POST, to, path, headers, body.to_string()).await
    }
}

/// Starts `nodes` storage nodes and `engines` engines, and applies a configuration.
pub async fn fleet(nodes: usize, engines: usize) -> Fleet {
    let fleet = unconfigured_fleet(nodes, engines).await;
    let applied = fleet.apply(fleet.files(), None).await;
    assert_eq!(applied.status, StatusCode::OK, "{:?}", applied.body);
    fleet.wait_ready().await;
    fleet
}

/// Starts a fleet without a configuration.
pub async fn unconfigured_fleet(nodes: usize, engines: usize) -> Fleet {
    let key_value = KeyValue::new(KeyValueFaults::default(), 1);
    let key_value = serve(move |call| key_value.clone().handle(call)).await;
    let list = MachineDirectory::new(Duration::from_millis(100));
    let machines = serve(move |call| list.clone().handle(call)).await;
    let mut engine_addresses = Vec::new();
    for seed in 0..engines {
        engine_addresses.push(start_engine(seed as u64).await);
    }
    let mut fleet = Fleet {
        nodes: Vec::new(),
        engines: engine_addresses,
        key_value,
        machines,
        client: Client::default(),
        _folders: Vec::new(),
    };
    let mut seeds = Vec::new();
    for _ in 0..nodes {
        let folder = tempfile::tempdir().expect("a folder");
        let settings = NodeFileSettings {
            data_folder: Some(folder.path().to_owned()),
            founding_stores: nodes,
            seeds: seeds.clone(),
            ..settings(key_value, machines)
        };
        let node = start(&settings, false).await.expect("the node starts");
        seeds.push(node.peer_address);
        fleet.nodes.push(node);
        fleet._folders.push(folder);
    }
    fleet
}

/// Returns the settings of a node without a data folder.
pub fn settings(key_value: SocketAddr, machine_list: SocketAddr) -> NodeFileSettings {
    NodeFileSettings {
        zone: "zone-a".to_owned(),
        peer_address: "127.0.0.1:0".parse().expect("an address"),
        caller_address: "127.0.0.1:0".parse().expect("an address"),
        seeds: Vec::new(),
        data_folder: None,
        founding_stores: 1,
        stop_timeout: Millis(30_000),
        key_value,
        machine_list,
        key_value_rate: 100.0,
        configuration_poll: Millis(200),
        log_level: log::LevelFilter::Off,
        log_file: None,
        limits: CallerLimits { body_bytes: 1 << 20, request_timeout: Millis(5_000), ..CallerLimits::default() },
    }
}

async fn start_engine(seed: u64) -> SocketAddr {
    let engine = StandinEngine::new(EngineOptions {
        settings: EngineSettings { iteration_us: 2_000, ..EngineSettings::default() },
        report_lag: Duration::from_millis(50),
        incarnation: 1,
        seed,
        runs_file: None,
    });
    tokio::spawn(engine.clone().run());
    serve(move |call| engine.clone().handle(call)).await
}

async fn serve<H, F>(handler: H) -> SocketAddr
where
    H: Fn(http::Call) -> F + Send + Sync + 'static,
    F: Future<Output = http::Answer> + Send + 'static,
{
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(http::serve(listener, handler));
    address
}

impl Fleet {
    pub fn caller_address(&self, node: usize) -> SocketAddr {
        self.nodes[node].caller_address
    }

    /// Returns configuration files that list this fleet's engines.
    pub fn files(&self) -> Value {
        let mut machines = String::new();
        for (index, engine) in self.engines.iter().enumerate() {
            machines.push_str(&format!(
                "[[machine]]\nname = \"engine-{index}\"\naddress = \"{engine}\"\nzone = \"zone-a\"\nservice = \"service\"\n"
            ));
        }
        json!({
            "fleet.toml": "[fleet]\nname = \"test\"\nreplica_groups = 2\n[[zone]]\nname = \"zone-a\"\nregion = \"r\"\n",
            "services.toml": format!(
                "[[service]]\nname = \"service\"\n[[model]]\nname = \"{MODEL}\"\nservice = \"service\"\n\
                 [[adapter]]\nname = \"adapter\"\nmodel = \"{MODEL}\"\n"
            ),
            "tenants.toml": format!("[[tenant]]\nname = \"{TENANT}\"\n"),
            "machines.toml": machines,
        })
    }

    pub async fn apply(&self, files: Value, expected_revision: Option<u64>) -> TestResponse {
        let apply_id = NEXT_APPLY.fetch_add(1, Ordering::Relaxed);
        let body = json!({"apply_id": apply_id, "expected_revision": expected_revision, "files": files});
        self.client.post(self.caller_address(0), "/operator/configuration", &[], body).await
    }

    pub async fn wait_ready(&self) {
        for node in 0..self.nodes.len() {
            let to = self.caller_address(node);
            eventually("the node is ready", || async { self.client.get(to, "/readyz").await.status == StatusCode::OK })
                .await;
        }
    }

    /// Sends a completion request to a node, with `headers` in addition to the tenant header.
    pub async fn request_completion(&self, node: usize, headers: &[(&str, &str)], prompt: &str) -> TestResponse {
        let mut all = vec![("stallmoor-tenant", TENANT)];
        all.extend_from_slice(headers);
        let body = json!({"model": MODEL, "prompt": prompt, "max_tokens": 40});
        self.client.post(self.caller_address(node), "/v1/completions", &all, body).await
    }

    /// Submits JSON Lines as a job.
    pub async fn submit(&self, node: usize, key: &str, lines: String) -> TestResponse {
        let headers = [("stallmoor-tenant", TENANT), ("idempotency-key", key), ("content-type", "application/jsonl")];
        let path = format!("/v1/batches?model={MODEL}&max_tokens=40");
        self.client.send(Method::POST, self.caller_address(node), &path, &headers, lines).await
    }

    /// Returns the number of times that the engines ran a prompt.
    pub async fn run_count(&self, prompt: &str) -> usize {
        let mut runs = 0;
        for engine in &self.engines {
            let listed = self.client.get(*engine, "/runs").await.json();
            runs += listed.as_array().into_iter().flatten().filter(|run| run["prompt"] == prompt).count();
        }
        runs
    }
}

/// Waits until the condition is true; panics after `EVENTUALLY_TIMEOUT`.
pub async fn eventually<F>(what: &str, mut holds: impl FnMut() -> F)
where
    F: Future<Output = bool>,
{
    let wait = async {
        while !holds().await {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    assert!(
        tokio::time::timeout(EVENTUALLY_TIMEOUT, wait).await.is_ok(),
        "{what}: not within {} s",
        EVENTUALLY_TIMEOUT.as_secs()
    );
}

/// Returns `count` batch items in JSON Lines.
pub fn lines(count: usize) -> String {
    (0..count)
        .map(|item| {
            json!({"custom_id": format!("item-{item}"), "prompt": format!("question {item}")}).to_string() + "\n"
        })
        .collect()
}
