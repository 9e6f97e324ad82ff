//! Processor time and memory of the instances.

use std::path::Path;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;

use crate::Error;
use crate::deployment::Deployment;
use crate::http::Http;

/// Clock ticks a second in `/proc/PID/stat`, which Linux fixes for user space.
const TICKS_PER_S: f64 = 100.0;
/// Fields of `/proc/PID/stat` after the closing parenthesis before the user time.
const FIELDS_BEFORE_TIME: usize = 11;

/// What one instance used during a run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Usage {
    /// The instance.
    pub name: String,
    /// Percent of one core; `None` if it was restarted during the run.
    pub core_percent: Option<f64>,
    /// Resident memory in megabytes at the end.
    pub rss_mb: Option<f64>,
    /// Bytes a second to and from the platform and other instances, HTTP and framing included.
    pub bytes_per_s: Option<f64>,
}

/// A reading of one instance.
#[derive(Clone, Debug)]
pub struct Reading {
    name: String,
    pid: Option<u32>,
    cpu: Option<Duration>,
    /// Bytes on the instance's links to the platform and to and from other instances.
    bytes: Option<u64>,
}

/// Reads all instances whose process numbers stand in `directory/pids`.
pub async fn read(directory: &Path, deployment: &Deployment) -> Vec<Reading> {
    let links = link_bytes(deployment).await.unwrap_or_default();
    let each = (0..deployment.instances.len()).map(|instance| {
        let name = deployment.instance(instance);
        let pid = std::fs::read_to_string(directory.join("pids").join(&name)).ok();
        let pid = pid.and_then(|text| text.trim().parse().ok());
        Reading {
            name,
            pid,
            cpu: pid.and_then(cpu),
            bytes: control_bytes(&links, deployment, instance),
        }
    });
    each.collect()
}

async fn link_bytes(deployment: &Deployment) -> Result<Value, Error> {
    let url = format!("http://{}/state", deployment.link_control());
    let mut state = Http::open()?.get(&url, None).await?;
    Ok(state["bytes"].take())
}

fn control_bytes(links: &Value, deployment: &Deployment, instance: usize) -> Option<u64> {
    let of = |address: String| links[address.as_str()].as_u64();
    let mut bytes = of(deployment.platform_link(instance))?;
    for other in (0..deployment.instances.len()).filter(|other| *other != instance) {
        bytes += of(deployment.peer_link(instance, other))?;
        bytes += of(deployment.peer_link(other, instance))?;
    }
    Some(bytes)
}

/// Compares readings from the start and the end of a run.
pub fn compare(before: &[Reading], after: &[Reading], span: Duration) -> Vec<Usage> {
    let pairs = before.iter().zip(after);
    pairs
        .map(|(before, after)| Usage {
            name: after.name.clone(),
            core_percent: share(before, after, span),
            rss_mb: after.pid.and_then(rss_mb),
            bytes_per_s: bytes_per_s(before, after, span),
        })
        .collect()
}

fn share(before: &Reading, after: &Reading, span: Duration) -> Option<f64> {
    if before.pid != after.pid {
        return None;
    }
    let used = after.cpu?.checked_sub(before.cpu?)?;
    Some(100.0 * used.as_secs_f64() / span.as_secs_f64())
}

fn bytes_per_s(before: &Reading, after: &Reading, span: Duration) -> Option<f64> {
    let bytes = after.bytes?.checked_sub(before.bytes?)?;
    Some(bytes as f64 / span.as_secs_f64())
}

fn cpu(pid: u32) -> Option<Duration> {
    let text = std::fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
    let (_, rest) = text.rsplit_once(')')?;
    let times = rest.split_whitespace().skip(FIELDS_BEFORE_TIME).take(2);
    let ticks: f64 = times.filter_map(|field| field.parse::<f64>().ok()).sum();
    Some(Duration::from_secs_f64(ticks / TICKS_PER_S))
}

fn rss_mb(pid: u32) -> Option<f64> {
    let text = std::fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let line = text.lines().find(|line| line.starts_with("VmRSS:"))?;
    let kb: f64 = line.split_whitespace().nth(1)?.parse().ok()?;
    Some(kb / 1_024.0)
}
