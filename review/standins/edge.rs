//! Instances: processes of the project with the command of the deploy file.

use std::fs;
use std::fs::File;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::UdpSocket;
use std::path::Path;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Mutex;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use crate::http;

/// The command of the deploy file.
const PROGRAM: &str = "target/release/yuccamount-edge";

/// The ports that instances get.
const PORT_FIRST: u32 = 10_000;
const PORTS: u32 = 20_000;

/// The process ids of the instances that run.
static RUNNING: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Kills the instances that still run.
pub fn kill_all() {
    for pid in std::mem::take(&mut *RUNNING.lock().unwrap()) {
        let _status = Command::new("kill").arg("-KILL").arg(pid.to_string()).status();
    }
}

/// Settings that differ between cases.
pub struct Settings<'a> {
    pub name: &'a str,
    pub zone: &'a str,
    pub store: SocketAddr,
    pub cloud: SocketAddr,
}

/// A running instance; dropping it kills the process.
pub struct Edge {
    pub name: String,
    pub front: SocketAddr,
    ready: SocketAddr,
    child: Child,
}

impl Edge {
    /// Starts an instance whose files lie in `dir`.
    pub fn open(dir: &Path, settings: &Settings<'_>) -> Self {
        let ip = "127.0.0.1";
        let front = free_port(ip);
        let ready = free_port(ip);
        let control = free_port(ip);
        let internal = free_port(ip).port();
        let name = settings.name;
        let text = format!(
            "node-name={name}\nrole=relay\nmachine-class=edge\nserves=edge\nip={ip}\n\
             zone={zone}\nregion=r\nzones.a=r\nzones.b=r\nzones.c=r\n\
             bind-addrs.front={front}\nbind-addrs.ready={ready}\nbind-addrs.control={control}\n\
             internal-ports={internal},{internal}\nseeds=\nbootstrap=true\nin-tolerance=false\n\
             limits.cpu-share=0.25\nlimits.cores=1\nlimits.memory-mb=260\nlimits.max-fds=4200\n\
             limits.link-mbps=1000.0\nlimits.disk-mb=0\ndiscovery=platform\nentry-point=vip\n\
             heartbeat-ms=1200\npolicies=base,drain,config,cost,recover,sql,tenants,quota,platform\n\
             fault-tolerance.nodes=1\nfault-tolerance.zones=1\nfault-tolerance.regions=0\n\
             bounds.seed-staleness-s=3\nbounds.addr-reuse-s=2\nbounds.stable-ms=4000\n\
             bounds.ack-timeout-ms=5000\nbounds.catch-up-s=4\nbounds.drain-timeout-ms=7000\n\
             bounds.grace-s=6\nbounds.loss-slack-ms=200\nbounds.config-apply-ms=3000\n\
             bounds.rollback-slack-ms=250\nbounds.max-skew-ms=12000\nbounds.strict-revoke=true\n\
             bounds.revoke-ms=5000\nbounds.quota-window-s=5\nbounds.quota-excess=0.1\n\
             bounds.quota-slack=20\nbounds.recovery-s=12\nbounds.require-fencing=true\n\
             bounds.thaw-slack-ms=300\nplatform.address={store}\nplatform.form=table\n\
             platform.writes-per-s=400\nplatform.reads-per-s=2000\nplatform.tx-ms=8.0\n\
             platform.part-writes-s=150\nplatform.row-bytes=65536\nplatform.across=false\n\
             platform.history-s=20\nplatform.blob-bytes=8388608\nplatform.blob-ms=25.0\n\
             platform.blob-mb-s=80.0\ncloud-api.address={cloud}\ncloud-api.rate-per-s=50.0\n\
             cloud-api.duties=failover\ncloud-api.duty-rate-s=50.0\n",
            zone = settings.zone,
            store = settings.store,
            cloud = settings.cloud,
        );
        let path = dir.join(format!("{name}.conf"));
        fs::write(&path, text).expect("the settings can be written");
        let log = File::create(dir.join(format!("{name}.log"))).expect("a log file");
        let errors = log.try_clone().expect("a log file");
        let child = Command::new(PROGRAM)
            .env_clear()
            .env("YUCCAMOUNT_BOOT", &path)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn();
        let child = child.expect("the build of the deploy file has run");
        RUNNING.lock().unwrap().push(child.id());
        Edge {
            name: name.to_owned(),
            front,
            ready,
            child,
        }
    }

    /// Waits until the instance is ready; returns false after `limit`.
    pub fn wait_ready(&self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            if http::get_status(self.ready, "/yuccamount/readiness") == 200 {
                return true;
            }
            std::thread::sleep(Duration::from_millis(100));
        }
        false
    }

    /// Sends SIGTERM and waits for the end of the process, at most `grace`.
    pub fn stop(mut self, grace: Duration) {
        self.signal("TERM");
        let until = Instant::now() + grace;
        while Instant::now() < until {
            if matches!(self.child.try_wait(), Ok(Some(_))) {
                return;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
    }

    /// Sends a signal to the process.
    pub fn signal(&self, name: &str) {
        let pid = self.child.id().to_string();
        let _status = Command::new("kill").arg(format!("-{name}")).arg(pid).status();
    }
}

impl Drop for Edge {
    fn drop(&mut self) {
        let _killed = self.child.kill();
        RUNNING.lock().unwrap().retain(|pid| *pid != self.child.id());
        let _ended = self.child.wait();
    }
}

/// Returns an address whose port is free for TCP and UDP, below the range from which the system takes
/// the ports of outgoing connections.
fn free_port(ip: &str) -> SocketAddr {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    loop {
        let step = NEXT.fetch_add(1, Ordering::Relaxed);
        let port = PORT_FIRST + (std::process::id() * 64 + step) % PORTS;
        let address = (ip, port as u16);
        if TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok() {
            return SocketAddr::new(ip.parse().expect("an IP address"), port as u16);
        }
    }
}
