//! A courier: the program that `run` of the deploy file starts, with its configuration and its folder.

use crate::record::Record;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// Processes that were started and not ended yet.
static RUNNING: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends all processes that were started.
pub fn kill_all() {
    for id in RUNNING.lock().unwrap().drain(..) {
        let _ = Command::new("kill").arg("-KILL").arg(id.to_string()).status();
    }
}

/// Root of the repository, which holds the deploy file.
pub fn root() -> PathBuf {
    let executable = std::env::current_exe().unwrap_or_default();
    // review/standins/target/release/review
    executable.ancestors().nth(5).map(Path::to_owned).unwrap_or_default()
}

/// A command of the deploy file.
pub fn deploy_command(name: &str) -> io::Result<String> {
    let text = std::fs::read_to_string(root().join("deploy/balancer.toml"))?;
    let line = text.lines().find_map(|line| line.strip_prefix(name)?.trim_start().strip_prefix('='));
    let command = line.and_then(|line| line.split('"').nth(1));
    command
        .map(str::to_owned)
        .ok_or_else(|| io::Error::other(format!("no command {name} in the deploy file")))
}

/// A folder for the run, removed at its end.
pub struct TemporaryFolder(pub PathBuf);

impl TemporaryFolder {
    pub fn create() -> io::Result<TemporaryFolder> {
        let path = std::env::temp_dir().join(format!("cloverstile-review-{}", std::process::id()));
        std::fs::create_dir_all(&path)?;
        Ok(TemporaryFolder(path))
    }
}

impl Drop for TemporaryFolder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// A courier, whose process may be ended and started again.
pub struct Courier {
    pub name: String,
    pub listen: SocketAddr,
    folder: PathBuf,
    child: Option<Child>,
    record: Record,
}

impl Courier {
    /// Prepares the folder of a courier; its process is not started.
    pub fn create(name: &str, folder: &Path, record: &Record) -> io::Result<Courier> {
        let folder = folder.join(name);
        std::fs::create_dir_all(folder.join("state"))?;
        std::fs::create_dir_all(folder.join("tmp"))?;
        // A port that is free now; the courier keeps it over restarts.
        let listen = TcpListener::bind("127.0.0.1:0")?.local_addr()?;
        Ok(Courier { name: name.to_owned(), listen, folder, child: None, record: record.clone() })
    }

    /// Writes the configuration, in place of the one before.
    pub fn configure(&self, discovery: SocketAddr, known: &str, settings: &str) -> io::Result<()> {
        let text = format!(
            r#"{{"name":"{}","listen":"{}","discovery":"{discovery}","seed":"8c1f30d27a5be964",
 "limits":{{"cores":1.0,"memory_mb":64,"sockets":512,"disk_mb":3}},
 "known":{known},
 "settings":{settings}}}"#,
            self.name, self.listen
        );
        let new = self.folder.join("config.new");
        std::fs::write(&new, text)?;
        std::fs::rename(new, self.folder.join("config.json"))
    }

    /// Starts the process with `run` of the deploy file, and waits until it has replied to `PING`.
    pub fn start(&mut self) -> io::Result<()> {
        let log = std::fs::OpenOptions::new().create(true).append(true).open(self.folder.join("log"))?;
        let mut command = Command::new("/bin/sh");
        command.arg("-c").arg(deploy_command("run")?).current_dir(root());
        command.env("ROUTER_NAME", &self.name).env("ROUTER_LISTEN", self.listen.to_string());
        command.env("ROUTER_STATE", self.folder.join("state"));
        command.env("ROUTER_CONFIG", self.folder.join("config.json"));
        command.env("TMPDIR", self.folder.join("tmp"));
        command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(log);
        self.record.line(&format!("courier {}: started", self.name));
        let child = command.spawn()?;
        RUNNING.lock().unwrap().push(child.id());
        self.child = Some(child);
        let end = Instant::now() + Duration::from_secs(30);
        while Instant::now() < end {
            if self.replies_to_ping() {
                self.record.line(&format!("courier {}: ready", self.name));
                return Ok(());
            }
            std::thread::sleep(Duration::from_millis(5));
        }
        Err(io::Error::other(format!("courier {} was not ready in 30 s", self.name)))
    }

    fn replies_to_ping(&self) -> bool {
        let Ok(mut stream) = TcpStream::connect(self.listen) else { return false };
        let _ = stream.set_read_timeout(Some(Duration::from_secs(1)));
        let mut reply = [0; 7];
        stream.write_all(b"*1\r\n$4\r\nPING\r\n").is_ok()
            && stream.read_exact(&mut reply).is_ok()
            && reply == *b"+PONG\r\n"
    }

    /// Ends the process with SIGKILL.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
            RUNNING.lock().unwrap().retain(|id| *id != child.id());
            self.record.line(&format!("courier {}: SIGKILL", self.name));
        }
    }

    /// Whether the process has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        self.child.as_mut().is_some_and(|child| !matches!(child.try_wait(), Ok(None)))
    }
}

impl Drop for Courier {
    fn drop(&mut self) {
        self.kill();
        if std::env::var_os("KEEP_LOGS").is_some() {
            let _ = std::fs::copy(self.folder.join("log"), format!("courier-{}.log", self.name));
        }
    }
}
