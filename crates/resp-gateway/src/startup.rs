//! Startup: recovers the messages that an earlier process held, then listens for clients.

use crate::client_commands::ClientCommands;
use crate::clock::Clock;
use crate::configuration::{load, ConfigurationFile};
use crate::delivery::DeliveryState;
use crate::descriptor_limits::DescriptorLimits;
use crate::endpoint_discovery::EndpointDiscovery;
use crate::environment::Environment;
use crate::error::GatewayError;
use crate::gateway::Gateway;
use crate::health_log::HealthLog;
use crate::message_log::MessageLog;
use crate::message_pipeline::MessagePipeline;
use crate::name_table;
use crate::outgoing_requests::OutgoingRequests;
use crate::recovery::recover_messages;
use crate::shutdown::RunState;
use crate::unsolicited_bytes::UnsolicitedCounter;
use cloverstile::{Settings, Time};
use cloverstile_engine::{Engine, ResultCacheLimits};
#[cfg(feature = "planted-defects")]
use cloverstile_fault_injection::{is_planted, PlantedDefect};
use cloverstile_memory_budget::{InsufficientMemory, MemoryBudget};
use cloverstile_net::{Net, NetEvent, SignalKind};
use cloverstile_platform::config::{Config, Limits};
use cloverstile_platform::endpoint_list::EndpointList;
use cloverstile_platform::endpoint_list_codec::{self, StoredEndpointList};
use cloverstile_platform::endpoint_watch::EndpointWatch;
use cloverstile_platform::notifications::Notifications;
use cloverstile_platform::requests::ConnectionLimits;
use cloverstile_platform::response::LoadReportFields;
use cloverstile_platform::told_endpoint_list::ToldEndpointList;
use cloverstile_wal::{Record, RecoveredState};
use std::io;
use std::path::Path;
use std::time::Duration;
use tracing::{info, warn};

/// Final outcomes kept to answer resubmissions, for longer than a client takes to submit a message again.
const RESULT_CACHE: ResultCacheLimits =
    ResultCacheLimits { max_results: 4096, retention: Duration::from_secs(2) };
/// Delay between two attempts to read the log.
const LOG_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Number of retries, and the delay between them, for other startup operations: two seconds in total.
const MAX_START_RETRIES: u32 = 40;
const START_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Bytes per megabyte of the limits in the configuration.
const BYTES_PER_MB: f64 = 1e6;

/// Runs a gateway until a shutdown signal arrives and the shutdown is complete.
///
/// # Errors
/// The configuration cannot be read or is invalid, or a system operation failed.
pub fn run(environment: &Environment) -> Result<(), GatewayError> {
    let config = load(&environment.config_path)?;
    match Gateway::start(&config, environment)? {
        Some(gateway) => gateway.run(),
        None => Ok(()),
    }
}

impl Gateway {
    /// Recovers the messages that an earlier process held, then listens. Returns `None` if a shutdown signal arrives before
    /// the log can be read.
    ///
    /// # Errors
    /// A system operation failed: setting up the event loop or the signals, or listening on the configured address.
    pub fn start(config: &Config, environment: &Environment) -> Result<Option<Gateway>, GatewayError> {
        let descriptors = DescriptorLimits::new(config.limits.sockets);
        let memory = memory_budget(&config.limits)?;
        let mut net = open_event_loop(descriptors, memory)?;
        let mut settings = config.parsed_settings.settings.clone();
        settings.classes.push(name_table::fallback_class(&settings.classes));
        let names = name_table::name_table(&config.names, &settings.classes);

        let opened = open_log(&environment.state_directory, memory.log_files as u64, &mut net)?;
        let Some((log, recovered)) = opened else {
            return Ok(None);
        };
        let recovered_messages = recovered.messages.len();
        let is_restart = recovered.clock.is_some() || recovered_messages > 0;
        let mut clock = Clock::new();
        if recovered.clock.is_some_and(|reference| !clock.resume(&reference)) {
            warn!("the log is of another boot: the wall clock tells how much time has passed since");
        }
        let now = clock.now();
        let wall_clock_ahead_ms = clock.wall_clock_ahead_ms();

        let mut pipeline = build_pipeline(config, &settings, descriptors, memory, log);
        let kept_list = &recovered.endpoint_list;
        let discovery = start_discovery(now, config, kept_list, &mut pipeline, &mut net);
        if let Some(reference) = clock.reference() {
            pipeline.delivery.log.record(Record::ClockReference(reference));
        }
        #[cfg(feature = "planted-defects")]
        let is_restart = is_restart && !is_planted(PlantedDefect::SettleForgotten);
        if is_restart {
            pipeline.delivery.engine.on_restarted(now);
        }
        recover_messages(now, recovered, &names, &settings.classes, &mut pipeline.delivery);
        pipeline.run_turn(now, &clock, &mut net);

        let (listener, address) = with_startup_retries(|| net.listen(config.listen))
            .map_err(GatewayError::io_error(format!("listen on {}", config.listen)))?;
        net.allow_half_open(listener);
        info!(name = %config.name, %address, recovered_messages, wall_clock_ahead_ms, "ready");
        let configuration = ConfigurationFile::new(environment.config_path.clone());
        let run_state = RunState::Serving { listener };
        let unsolicited = UnsolicitedCounter::default();
        Ok(Some(Gateway { clock, net, configuration, discovery, pipeline, run_state, unsolicited }))
    }
}

/// Applies the newer one of the endpoint list in the configuration and the list that an earlier process was told, keeps it for
/// the next process, and prepares the watch for later changes.
fn start_discovery(
    now: Time,
    config: &Config,
    kept_list: &[u8],
    pipeline: &mut MessagePipeline,
    net: &mut Net,
) -> EndpointDiscovery {
    let known = config.known_endpoints.as_ref();
    let start = ToldEndpointList::at_start(known, read_kept_list(kept_list));
    let version = start.told.version();
    let watch = EndpointWatch::new(config.discovery, start.changes_after);
    let mut discovery = EndpointDiscovery::new(watch, config.names.clone(), start.told);
    // Its destinations remain destinations, also those of which another list has no endpoint.
    if let Some(known) = known {
        discovery.apply(now, known, pipeline, net);
    }
    if start.is_from_earlier_process {
        let (known_version, changes_after) = (known.map(|known| known.version), start.changes_after);
        info!(version, ?known_version, changes_after, "endpoint list of the earlier process applied");
        discovery.apply_starting_list(now, pipeline, net);
    }
    if version > 0 {
        discovery.keep(&mut pipeline.delivery.log);
    }
    discovery
}

/// What an earlier process kept of the endpoint list. A list that can't be read is left out.
fn read_kept_list(kept: &[u8]) -> Option<StoredEndpointList> {
    if kept.is_empty() {
        return None;
    }
    endpoint_list_codec::decode(kept)
        .inspect_err(
            |error| warn!(%error, "kept endpoint list can't be read, the one in the configuration is used"),
        )
        .ok()
}

/// Opens the log and retries until it succeeds: nothing can be served without the messages that an earlier process
/// accepted. Returns `None` if a shutdown signal arrives first.
fn open_log(
    directory: &Path,
    max_bytes: u64,
    net: &mut Net,
) -> Result<Option<(MessageLog, RecoveredState)>, GatewayError> {
    loop {
        match MessageLog::open(directory, max_bytes) {
            Ok(opened) => return Ok(Some(opened)),
            Err(error) => warn!(directory = %directory.display(), %error, "log can't be read, tried again"),
        }
        let events = net.poll(Some(LOG_RETRY_DELAY)).map_err(GatewayError::io_error("event loop"))?;
        let is_shutdown =
            |event: &NetEvent| matches!(event, NetEvent::Signal(signal) if *signal != SignalKind::SIGHUP);
        if events.iter().any(is_shutdown) {
            info!("stopped before the log could be read");
            return Ok(None);
        }
    }
}

/// Retries a startup operation up to [`MAX_START_RETRIES`] times: the system may be short of descriptors or buffers, or the
/// address of the previous process may still be in use.
fn with_startup_retries<T>(mut operation: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    for _ in 0..MAX_START_RETRIES {
        match operation() {
            Ok(value) => return Ok(value),
            Err(error) => warn!(%error, "operation of the start failed, tried again"),
        }
        std::thread::sleep(START_RETRY_DELAY);
    }
    operation()
}

fn open_event_loop(descriptors: DescriptorLimits, memory: MemoryBudget) -> Result<Net, GatewayError> {
    let mut net = with_startup_retries(Net::new).map_err(GatewayError::io_error("event loop"))?;
    let signals = [SignalKind::SIGTERM, SignalKind::SIGINT, SignalKind::SIGHUP];
    with_startup_retries(|| net.watch_signals(&signals)).map_err(GatewayError::io_error("signals"))?;
    net.set_max_lingering(descriptors.lingering);
    net.set_max_accepted_output(memory.client_replies);
    Ok(net)
}

/// Divides the memory limit of the configuration.
fn memory_budget(limits: &Limits) -> Result<MemoryBudget, InsufficientMemory> {
    let bytes = |megabytes: f64| (megabytes * BYTES_PER_MB) as usize;
    MemoryBudget::new(bytes(limits.memory_mb), bytes(limits.disk_mb))
}

fn build_pipeline(
    config: &Config,
    settings: &Settings,
    descriptors: DescriptorLimits,
    memory: MemoryBudget,
    log: MessageLog,
) -> MessagePipeline {
    let seed = config.seed.unwrap_or_else(rand::random);
    let class_names = config.names.classes.clone();
    MessagePipeline {
        clients: ClientCommands::new(
            descriptors.clients,
            memory.client_input,
            settings.classes.clone(),
            class_names,
        ),
        delivery: DeliveryState {
            engine: Engine::new(settings.clone(), RESULT_CACHE, seed),
            log,
            endpoints: EndpointList::default(),
            notifications: Notifications::new(config.discovery),
        },
        outgoing: OutgoingRequests::new(connection_limits(config, settings, descriptors)),
        health_log: HealthLog::default(),
        sending_ended: false,
    }
}

fn connection_limits(
    config: &Config,
    settings: &Settings,
    descriptors: DescriptorLimits,
) -> ConnectionLimits {
    let field_name =
        |index: Option<usize>| index.and_then(|index| config.names.report_fields.get(index)).cloned();
    ConnectionLimits {
        connect_timeout: settings.connect_timeout,
        idle_timeout: settings.connection_idle_timeout,
        max_connections: descriptors.endpoints,
        report_fields: LoadReportFields {
            remaining: field_name(config.parsed_settings.remaining_field),
            limit: field_name(config.parsed_settings.limit_field),
        },
    }
}
