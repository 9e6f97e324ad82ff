//! An instance of the system, as a process of its own.

use std::fs::File;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::net::UdpSocket;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::record::Record;

/// The processes that were started and have not been waited for.
static RUNNING: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Kills all instances that run, for a run that takes too long.
pub fn kill_all() {
    for pid in RUNNING.lock().expect("not poisoned").iter() {
        // It may have ended by itself.
        let _killed = Command::new("kill")
            .args(["-KILL", &pid.to_string()])
            .status();
    }
}

fn on_ended(pid: u32) {
    RUNNING
        .lock()
        .expect("not poisoned")
        .retain(|running| *running != pid);
}

/// The command of the deploy file.
const PROGRAM: &str = "target/release/yuccamount-edge";

/// An instance.
pub struct Instance {
    pub name: String,
    pub front: SocketAddr,
    ready: SocketAddr,
    settings: PathBuf,
    output: PathBuf,
    /// Whether nobody reads the log at present.
    is_log_unread: Arc<AtomicBool>,
    child: Option<Child>,
    record: Record,
}

impl Instance {
    /// Prepares an instance with settings like those of a small deployment.
    pub fn prepare(
        directory: &Path,
        name: &str,
        zone: &str,
        store: SocketAddr,
        cloud: SocketAddr,
        record: &Record,
    ) -> std::io::Result<Self> {
        let front = free_address()?;
        let ready = free_address()?;
        let control = free_address()?;
        let internal = free_address()?.port();
        let settings = directory.join(format!("{name}.conf"));
        let text = format!(
            "node-name={name}\nrole=relay\nmachine-class=edge\nserves=edge\nip=127.0.0.1\n\
             zone={zone}\nregion=amhara\nzones.bahirdar=amhara\nzones.gondar=amhara\n\
             zones.dessie=amhara\nbind-addrs.front={front}\nbind-addrs.ready={ready}\n\
             bind-addrs.control={control}\ninternal-ports={internal},{internal}\nseeds=\n\
             bootstrap=true\nin-tolerance=false\nlimits.cpu-share=0.25\nlimits.cores=1\n\
             limits.memory-mb=260\nlimits.max-fds=4200\nlimits.link-mbps=1000.0\n\
             limits.disk-mb=0\ndiscovery=platform\nentry-point=vip\nheartbeat-ms=1200\n\
             policies=base,drain,config,cost,recover,sql,tenants,quota,platform\n\
             fault-tolerance.nodes=1\nfault-tolerance.zones=1\nfault-tolerance.regions=0\n\
             bounds.seed-staleness-s=3\nbounds.addr-reuse-s=2\nbounds.stable-ms=4000\n\
             bounds.ack-timeout-ms=5000\nbounds.catch-up-s=4\nbounds.drain-timeout-ms=7000\n\
             bounds.grace-s=6\nbounds.loss-slack-ms=200\nbounds.config-apply-ms=3000\n\
             bounds.rollback-slack-ms=250\nbounds.max-skew-ms=12000\n\
             bounds.strict-revoke=true\nbounds.revoke-ms=5000\nbounds.quota-window-s=5\n\
             bounds.quota-excess=0.1\nbounds.quota-slack=20\nbounds.recovery-s=12\n\
             bounds.require-fencing=true\nbounds.thaw-slack-ms=300\nplatform.address={store}\n\
             platform.form=table\nplatform.writes-per-s=400\nplatform.reads-per-s=2000\n\
             platform.tx-ms=8.0\nplatform.part-writes-s=150\nplatform.row-bytes=65536\n\
             platform.across=false\nplatform.history-s=20\ncloud-api.address={cloud}\n\
             cloud-api.rate-per-s=50.0\ncloud-api.duties=failover\n\
             cloud-api.duty-rate-s=50.0\n"
        );
        std::fs::write(&settings, text)?;
        Ok(Self {
            name: name.to_owned(),
            front,
            ready,
            settings,
            output: directory.join(format!("{name}.log")),
            is_log_unread: Arc::default(),
            child: None,
            record: record.clone(),
        })
    }

    /// Starts the process, and a reader of its log.
    pub fn start(&mut self) -> std::io::Result<()> {
        let output = File::options()
            .create(true)
            .append(true)
            .open(&self.output)?;
        let mut child = Command::new(PROGRAM)
            .env_clear()
            .env("YUCCAMOUNT_BOOT", &self.settings)
            .stdout(Stdio::piped())
            .stderr(output.try_clone()?)
            .spawn()?;
        if let Some(log) = child.stdout.take() {
            let is_unread = Arc::clone(&self.is_log_unread);
            thread::spawn(move || collect(log, output, &is_unread));
        }
        let line = format!("instance {} started, pid {}", self.name, child.id());
        self.record.line(&line);
        RUNNING.lock().expect("not poisoned").push(child.id());
        self.child = Some(child);
        Ok(())
    }

    /// Lets the reader of the log rest or go on.
    pub fn set_log_unread(&self, is_unread: bool) {
        let line = format!("log of {} unread={is_unread}", self.name);
        self.record.line(&line);
        self.is_log_unread.store(is_unread, Ordering::Relaxed);
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            // It may have ended by itself.
            let _killed = child.kill();
            let ended = child.wait();
            on_ended(child.id());
            self.record
                .line(&format!("instance {} ended: {ended:?}", self.name));
        }
    }

    /// Stops the process with SIGTERM, as the platform does.
    pub fn stop(&mut self, limit: Duration) -> Result<(), String> {
        let Some(child) = self.child.as_mut() else {
            return Ok(());
        };
        let pid = child.id().to_string();
        let signalled = Command::new("kill").args(["-TERM", &pid]).status();
        signalled.map_err(|error| error.to_string())?;
        let deadline = Instant::now() + limit;
        while Instant::now() < deadline {
            if child.try_wait().is_ok_and(|ended| ended.is_some()) {
                on_ended(child.id());
                self.record.line(&format!("instance {} stopped", self.name));
                self.child = None;
                return Ok(());
            }
            thread::sleep(Duration::from_millis(20));
        }
        Err(format!("{} did not stop", self.name))
    }

    /// Waits until the instance takes callers.
    pub fn wait_until_ready(&self, limit: Duration) -> bool {
        let deadline = Instant::now() + limit;
        while Instant::now() < deadline {
            if self.is_ready() {
                self.record
                    .line(&format!("instance {} is ready", self.name));
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }

    /// Returns whether the instance answers that it takes callers.
    pub fn is_ready(&self) -> bool {
        let ask = || -> std::io::Result<String> {
            let mut stream = TcpStream::connect_timeout(&self.ready, Duration::from_millis(300))?;
            stream.set_read_timeout(Some(Duration::from_millis(500)))?;
            stream.write_all(
                b"GET /yuccamount/readiness HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n",
            )?;
            let mut head = [0; 12];
            stream.read_exact(&mut head)?;
            Ok(String::from_utf8_lossy(&head).into_owned())
        };
        ask().is_ok_and(|head| head.ends_with("200"))
    }

    /// Copies lines of the process's output to the record that contain one of `words`.
    pub fn quote_output(&self, words: &[&str]) {
        let text = std::fs::read_to_string(&self.output).unwrap_or_default();
        for line in text
            .lines()
            .filter(|line| words.iter().any(|word| line.contains(word)))
        {
            self.record
                .line(&format!("output of {}: {line}", self.name));
        }
    }
}

impl Drop for Instance {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Copies the log of a process to a file until the process ends.
fn collect(mut log: impl Read, mut output: File, is_unread: &AtomicBool) {
    let mut buffer = [0; 4096];
    loop {
        while is_unread.load(Ordering::Relaxed) {
            thread::sleep(Duration::from_millis(10));
        }
        match log.read(&mut buffer) {
            Ok(0) | Err(_) => return,
            Ok(length) => {
                if output.write_all(&buffer[..length]).is_err() {
                    return;
                }
            }
        }
    }
}

/// Returns a loopback address whose port is free for TCP and UDP.
fn free_address() -> std::io::Result<SocketAddr> {
    loop {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        if UdpSocket::bind(address).is_ok() {
            return Ok(address);
        }
    }
}
