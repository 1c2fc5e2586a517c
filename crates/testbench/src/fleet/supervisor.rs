//! The processes: their settings, start, loss and end.

use cloverstile_simulator::Scene;
use rustix::process::{kill_process, Pid, Signal};
use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::{Duration, Instant};

/// A courier answers a PING within so long of its start, also when hundreds start at once on two cores.
const READY: Duration = Duration::from_secs(60);
/// Told to end, it ends within so long.
const ENDED: Duration = Duration::from_secs(10);
/// Second byte of the loopback addresses of couriers from here on: so many couriers to each, so many bytes to a fleet.
const FIRST: u8 = 96;
const EACH: usize = 200;
const BYTES: u8 = 8;
/// Fleets of one process after which addresses are used again.
const FLEETS: u8 = 12;
/// Most couriers of a fleet.
pub(super) const MOST: usize = EACH * BYTES as usize;

/// Why a fleet could not be played.
#[derive(Debug, thiserror::Error)]
pub enum FleetError {
    /// Sockets, files or processes.
    #[error("fleet: {what}: {error}")]
    Io {
        /// What was tried.
        what: String,
        /// Why not.
        error: std::io::Error,
    },
    /// A courier that did not come up.
    #[error("fleet: courier {courier} does not answer a PING at {address} within {READY:?}")]
    NotReady {
        /// Which.
        courier: usize,
        /// Where.
        address: SocketAddr,
    },
    /// More couriers than there are addresses for.
    #[error("fleet: {0} couriers; at most {MOST} are played as processes, more with --emulate")]
    TooMany(usize),
    /// By SIGINT or SIGTERM.
    #[error("fleet: told to end; the couriers were ended, and nothing is told of this run")]
    Ended,
    /// A courier that ended though nobody told it to.
    #[error("fleet: courier {0} ended by itself")]
    Died(usize),
}

impl FleetError {
    pub(super) fn io(what: impl Into<String>) -> impl FnOnce(std::io::Error) -> FleetError {
        |error| FleetError::Io { what: what.into(), error }
    }
}

/// All couriers of a fleet; killed where they are dropped.
pub(super) struct ProcessSupervisor {
    program: PathBuf,
    folder: PathBuf,
    children: Vec<Option<Child>>,
    pub addresses: Vec<SocketAddr>,
}

impl Drop for ProcessSupervisor {
    fn drop(&mut self) {
        for child in self.children.iter_mut().flatten() {
            // Ended in the ordinary course already; this is for errors on the way.
            let _ = child.kill();
            let _ = child.wait();
        }
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// The whole of an address is one courier's, so that its port can't be another's when it starts again, nor that of a fleet
/// beside it.
fn address(fleet: u8, courier: usize) -> SocketAddr {
    let last = 1 + (std::process::id() % 250) as u8;
    let second = FIRST + fleet % FLEETS * BYTES + (courier / EACH) as u8;
    SocketAddr::from((Ipv4Addr::new(127, second, (courier % EACH) as u8, last), 6379))
}

/// What one courier is handed; `known` is the list.
fn configuration(
    scene: &Scene,
    courier: usize,
    listen: SocketAddr,
    discovery: SocketAddr,
    known: &serde_json::Value,
    seed: u64,
) -> serde_json::Value {
    let nanos = |seconds: f64| (seconds * 1e9) as u64;
    let lane = |(name, class): (&String, &cloverstile_simulator::ClassSpec)| {
        let effect = match class.effect.as_str() {
            "safe" => "read_like",
            "keyed" => "idempotency_key",
            _ => "non_idempotent",
        };
        serde_json::json!({
            "Name": name, "Effect": effect, "Group": "all", "Aim": nanos(class.aim),
            "Deadline": nanos(class.deadline), "RepeatWindow": nanos(class.window), "OneAtATime": false,
            "Worth": class.worth, "LateShare": class.late_share,
        })
    };
    let rules = &scene.rules;
    serde_json::json!({
        "name": format!("n{courier}"), "listen": listen.to_string(), "discovery": discovery.to_string(),
        "seed": format!("{:x}", seed.wrapping_add(courier as u64).wrapping_mul(0x9e37_79b9_7f4a_7c15)),
        "limits": {"cores": 0.2, "memory_mb": 64, "sockets": 256, "disk_mb": 2}, "known": known,
        "settings": {
            "Balancers": scene.couriers, "Discovery": "push", "Locality": 0, "ClientHabits": {"MarksRetry": false},
            "FamilyInfo": {"CallsOut": scene.call_slots, "KindBatch": [1, 1], "OwnLimits": [false, true], "Decay": "line",
                "ReportX0": "share_of_the_allowance_that_is_left", "ReportX1": "calls_a_second"},
            "Lanes": scene.class.iter().map(lane).collect::<Vec<_>>(),
            "MachineTypes": ["shared", "apart"], "Zones": ["here"], "WeightSource": "nominal",
            "Report": {"Fields": ["x0", "x1"], "Source": "piggyback"},
            "Permissions": {"MostHeld": scene.most_held, "SendCap": 8, "Cancel": true, "RetryAfter": true,
                "MaxRetryAfter": nanos(5.0), "ConnIdle": nanos(scene.conn_idle), "ConnectTimeout": nanos(1.0)},
            "Rules": {"AnswerSlack": nanos(rules.answer_slack), "ColdFrom": rules.cold_from,
                "Cold": nanos(rules.cold), "TipMultiple": rules.tip_multiple, "Fall": nanos(rules.fall),
                "OrderSettle": nanos(rules.order_settle)},
        },
    })
}

impl ProcessSupervisor {
    /// Starts all couriers of a scene and waits until each answers.
    pub fn start(
        program: &Path,
        scene: &Scene,
        discovery: SocketAddr,
        known: &serde_json::Value,
        seed: u64,
    ) -> Result<ProcessSupervisor, FleetError> {
        static FLEETS: AtomicU8 = AtomicU8::new(0);
        let fleet = FLEETS.fetch_add(1, Ordering::Relaxed);
        if scene.couriers > MOST {
            return Err(FleetError::TooMany(scene.couriers));
        }
        let folder = std::env::temp_dir().join(format!("cloverstile-fleet-{}-{fleet}", std::process::id()));
        let mut processes = ProcessSupervisor {
            program: program.to_owned(),
            folder,
            children: (0..scene.couriers).map(|_| None).collect(),
            addresses: (0..scene.couriers).map(|courier| address(fleet, courier)).collect(),
        };
        for courier in 0..scene.couriers {
            let state = processes.state(courier);
            std::fs::create_dir_all(&state).map_err(FleetError::io(state.display().to_string()))?;
            let listen = processes.addresses[courier];
            let text = configuration(scene, courier, listen, discovery, known, seed).to_string();
            let file = processes.configuration(courier);
            std::fs::write(&file, text).map_err(FleetError::io(file.display().to_string()))?;
            processes.spawn(courier)?;
        }
        let end = Instant::now() + READY;
        for (courier, address) in processes.addresses.iter().copied().enumerate() {
            while !answers(address) {
                if Instant::now() > end {
                    return Err(FleetError::NotReady { courier, address });
                }
                std::thread::sleep(Duration::from_millis(5));
            }
        }
        Ok(processes)
    }

    fn state(&self, courier: usize) -> PathBuf {
        self.folder.join(format!("n{courier}/state"))
    }

    fn configuration(&self, courier: usize) -> PathBuf {
        self.folder.join(format!("n{courier}/config.json"))
    }

    /// Starts one courier on its folder.
    pub fn spawn(&mut self, courier: usize) -> Result<(), FleetError> {
        let child = Command::new(&self.program)
            .arg("node")
            .env("ROUTER_CONFIG", self.configuration(courier))
            .env("ROUTER_STATE", self.state(courier))
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .spawn()
            .map_err(FleetError::io(format!("{} node", self.program.display())))?;
        self.children[courier] = Some(child);
        Ok(())
    }

    /// Kills one courier at once; its folder stays.
    pub fn kill(&mut self, courier: usize) {
        if let Some(mut child) = self.children[courier].take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// The first courier that ended though nobody told it to.
    pub fn died(&mut self) -> Option<usize> {
        let ended =
            |child: &mut Option<Child>| child.as_mut().is_some_and(|c| !matches!(c.try_wait(), Ok(None)));
        self.children.iter_mut().position(ended)
    }

    /// Tells all to end and waits for them; true if each ended in order and in time.
    pub fn stop(&mut self) -> bool {
        for child in self.children.iter().flatten() {
            if let Some(pid) = i32::try_from(child.id()).ok().and_then(Pid::from_raw) {
                let _ = kill_process(pid, Signal::TERM);
            }
        }
        let end = Instant::now() + ENDED;
        let mut clean = true;
        for child in &mut self.children {
            let Some(mut child) = child.take() else { continue };
            let status = loop {
                match child.try_wait() {
                    Ok(Some(status)) => break Some(status),
                    Ok(None) if Instant::now() < end => std::thread::sleep(Duration::from_millis(2)),
                    _ => break None,
                }
            };
            clean &= status.is_some_and(|status| status.success());
            let _ = child.kill();
            let _ = child.wait();
        }
        clean
    }
}

fn answers(address: SocketAddr) -> bool {
    let Ok(mut stream) = TcpStream::connect(address) else { return false };
    let mut answer = [0; 7];
    stream.set_read_timeout(Some(Duration::from_secs(1))).is_ok()
        && stream.write_all(&cloverstile_resp::command(&[b"PING"])).is_ok()
        && stream.read_exact(&mut answer).is_ok()
        && answer == *b"+PONG\r\n"
}
