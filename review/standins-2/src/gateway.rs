//! Gateways, started with the command of the deploy file.

use crate::agent::List;
use crate::client::Client;
use crate::record::Record;
use std::fs::File;
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::Mutex;
use std::time::{Duration, Instant};

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

pub const SIGHUP: i32 = 1;
pub const SIGKILL: i32 = 9;

/// The figures of a small deployment, of the form that the users' wire page shows. `lanes` is a list of classes.
fn settings(lanes: &str, slots: u32, most_held: u32, couriers: u32) -> String {
    format!(
        r#"{{"Balancers":{couriers},"ClientHabits":{{"MarksRetry":true}},"Discovery":"push","Family":"deliver",
 "FamilyInfo":{{"CallsOut":{slots},"Decay":"line","FeeByZone":[0.0],"KindBatch":[1,1],"OwnLimits":[false,false],
  "RefusalCost":0.05,"Notes":"","ReportX0":"","ReportX1":""}},
 "Goal":{{"Whole":0.55,"WorstClass":0.2,"WorstTenant":0.0,"WorstWindow":0.25}},
 "Lanes":{lanes},
 "Locality":0,"MachineTypes":["banks","employer-systems"],"OverShareWorth":0.1,
 "Permissions":{{"Cancel":true,"ConnIdle":15000000000,"ConnectTimeout":1000000000,"CpuUsPerRequest":0.0,
  "CpuUsPerS":500000,"MaxRetryAfter":2000000000,"MaxStreams":1,"MostHeld":{most_held},"Peers":false,"Probes":false,
  "RetryAfter":false,"SecondCopies":false,"SendCap":8}},
 "Projects":[],"Rank":0,"Report":{{"Fields":["x0","x1"],"Source":"piggyback"}},
 "Rules":{{"AnswerSlack":20000000,"AskEvery":10000000000,"Cold":14000000000,"ColdFrom":0.16,"Fall":2000000000,
  "OrderSettle":100000000,"StopSendingWithin":2000000000,"TipMultiple":2.5}},
 "Tick":5000000,"Tier":0,"Tiers":["partner-network"],"WeightSource":"nominal","WorthBy":"request",
 "Zones":["kingston-dc"]}}"#
    )
}

/// The classes of kingston-payroll.
pub const LANES: &str = r#"[
  {"Aim":3000000000,"Deadline":24000000000,"Effect":"idempotency_key","Group":"all","LateShare":0.5,
   "Name":"pay-notice","OneAtATime":true,"RepeatWindow":10000000000,"Stream":false,"Worth":1.0},
  {"Aim":3000000000,"Deadline":24000000000,"Effect":"non_idempotent","Group":"all","LateShare":0.4,
   "Name":"salary-payment","RepeatWindow":5000000000,"Stream":false,"Worth":3.0}]"#;

pub struct Gateway {
    folder: PathBuf,
    pub listen: SocketAddr,
    record: Record,
    child: Option<Child>,
    starts: u32,
    pub lanes: &'static str,
    pub slots: u32,
    pub disk_mb: u32,
    pub most_held: u32,
    /// How many couriers the deployment has.
    pub couriers: u32,
}

static GATEWAYS: AtomicU32 = AtomicU32::new(0);
/// Folders that were made and not removed.
static FOLDERS: Mutex<Vec<PathBuf>> = Mutex::new(Vec::new());
/// Processes that were started and not waited for.
static RUNNING: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends what still runs after this time, and the case with it, as one that couldn't run.
pub fn end_all_after(time: Duration) {
    std::thread::spawn(move || {
        std::thread::sleep(time);
        for id in RUNNING.lock().unwrap().iter() {
            // SAFETY: kill takes two integers; these are children that were not waited for.
            unsafe { kill(*id as i32, SIGKILL) };
        }
        for folder in FOLDERS.lock().unwrap().iter() {
            let _ = std::fs::remove_dir_all(folder);
        }
        eprintln!("the case took too long");
        std::process::exit(2);
    });
}

/// The repository's root: the folder above `review`.
fn root() -> PathBuf {
    let root = std::env::var_os("REVIEW_ROOT").map(PathBuf::from);
    root.unwrap_or_else(|| PathBuf::from("."))
}

/// The value of `run` in the deploy file.
fn run_command() -> Result<String, String> {
    let text =
        std::fs::read_to_string(root().join("deploy/balancer.toml")).map_err(|error| error.to_string())?;
    let line =
        text.lines().find_map(|line| line.strip_prefix("run = \"")).ok_or("no run in the deploy file")?;
    Ok(line.split('"').next().unwrap_or("").to_owned())
}

fn free_address() -> std::io::Result<SocketAddr> {
    TcpListener::bind("127.0.0.1:0")?.local_addr()
}

impl Gateway {
    pub fn new(record: &Record) -> Result<Gateway, String> {
        let number = GATEWAYS.fetch_add(1, Ordering::SeqCst);
        let folder = std::env::temp_dir().join(format!("review-{}-{number}", std::process::id()));
        std::fs::create_dir_all(folder.join("state")).map_err(|error| error.to_string())?;
        FOLDERS.lock().unwrap().push(folder.clone());
        let listen = free_address().map_err(|error| error.to_string())?;
        Ok(Gateway {
            folder,
            listen,
            record: record.clone(),
            child: None,
            starts: 0,
            lanes: LANES,
            slots: 28,
            disk_mb: 3,
            most_held: 519,
            couriers: 2,
        })
    }

    fn config_path(&self) -> PathBuf {
        self.folder.join("config.json")
    }

    /// Writes the configuration, as the platform does before a start and ahead of SIGHUP.
    pub fn configure(&self, discovery: SocketAddr, known: &List) -> Result<(), String> {
        let Gateway { listen, lanes, slots, disk_mb, most_held, couriers, starts, .. } = self;
        let text = format!(
            "{{\"name\":\"n1\",\"listen\":\"{listen}\",\"discovery\":\"{discovery}\",\"seed\":\"{:016x}\",\n\
             \"limits\":{{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024,\"disk_mb\":{disk_mb}}},\n\
             \"known\":{},\n\"settings\":{}}}\n",
            0x8c1f_30d2_7a5b_e964_u64 + u64::from(*starts),
            known.json(),
            settings(lanes, *slots, *most_held, *couriers)
        );
        self.record.line(format!(
            "platform: configuration with discovery {discovery}, known version {}",
            known.generation
        ));
        std::fs::write(self.config_path(), text).map_err(|error| error.to_string())
    }

    /// Starts the program and waits until it answers `PING`.
    pub fn start(&mut self) -> Result<(), String> {
        self.starts += 1;
        let log = File::create(self.folder.join(format!("log-{}.txt", self.starts)))
            .map_err(|error| error.to_string())?;
        let errors = log.try_clone().map_err(|error| error.to_string())?;
        let child = Command::new("/bin/sh")
            .arg("-c")
            .arg(run_command()?)
            .current_dir(root())
            .env("ROUTER_NAME", "n1")
            .env("ROUTER_CONFIG", self.config_path())
            .env("ROUTER_STATE", self.folder.join("state"))
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn()
            .map_err(|error| error.to_string())?;
        self.record.line(format!("platform: gateway started, start {}", self.starts));
        RUNNING.lock().unwrap().push(child.id());
        self.child = Some(child);
        let until = Instant::now() + Duration::from_secs(10);
        while Instant::now() < until {
            let answer = Client::connect(self.listen).and_then(|mut client| client.ping());
            if answer.is_ok_and(|answer| answer == "+PONG") {
                self.record.line("platform: gateway is ready");
                return Ok(());
            }
            std::thread::sleep(Duration::from_millis(10));
        }
        Err(format!("the gateway is not ready: {}", self.log()))
    }

    pub fn signal(&self, signal: i32) {
        if let Some(child) = &self.child {
            self.record.line(format!("platform: signal {signal}"));
            // SAFETY: kill takes two integers; the process is a child that was not waited for.
            unsafe { kill(child.id() as i32, signal) };
        }
    }

    /// Waits for the end of a process that was told to end.
    pub fn wait(&mut self) {
        if let Some(mut child) = self.child.take() {
            let status = child.wait();
            RUNNING.lock().unwrap().retain(|id| *id != child.id());
            self.record.line(format!("platform: gateway ended: {status:?}"));
        }
    }

    /// Whether the process runs.
    pub fn is_running(&mut self) -> bool {
        self.child.as_mut().is_some_and(|child| matches!(child.try_wait(), Ok(None)))
    }

    /// The folder that lasts.
    pub fn state(&self) -> PathBuf {
        self.folder.join("state")
    }

    /// What the program logged since its last start.
    pub fn log(&self) -> String {
        std::fs::read_to_string(self.folder.join(format!("log-{}.txt", self.starts))).unwrap_or_default()
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        for start in 1..=self.starts {
            let text =
                std::fs::read_to_string(self.folder.join(format!("log-{start}.txt"))).unwrap_or_default();
            for line in text.lines() {
                let plain: String = line.chars().filter(|c| !c.is_control()).collect();
                self.record.line(format!("log of start {start}: {plain}"));
            }
        }
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
            RUNNING.lock().unwrap().retain(|id| *id != child.id());
        }
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}
