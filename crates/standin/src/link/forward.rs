//! Moves the bytes of one connection.

use std::net::SocketAddr;
use std::num::NonZeroU32;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio::time::Instant;

use super::links::Pairs;

/// Chunks under way in one direction.
const WINDOW_CHUNKS: usize = 256;
/// Most bytes read at once.
const CHUNK_BYTES: usize = 16 * 1_024;

/// How one connection is forwarded.
#[derive(Clone)]
pub(super) struct Path {
    pub(super) to: SocketAddr,
    pub(super) delay: Duration,
    /// The bytes a second each way.
    pub(super) bytes_per_s: Option<NonZeroU32>,
    /// The zones, smaller name first.
    pub(super) pair: (Arc<str>, Arc<str>),
    pub(super) cuts: watch::Receiver<Pairs>,
    /// Bytes moved in both directions.
    pub(super) bytes: Arc<AtomicU64>,
}

/// Forwards one connection until a side closes or a cut of its zones is healed.
pub(super) async fn connection(socket: TcpStream, path: Path) {
    tokio::select! {
        () = forward(socket, &path) => {}
        () = healed(&path) => {}
    }
}

async fn forward(socket: TcpStream, path: &Path) {
    open(path).await;
    tokio::time::sleep(path.delay * 2).await;
    let Ok(target) = TcpStream::connect(path.to).await else {
        // A host without a listener resets the connection; so does this end of the link.
        let _ = socket.set_zero_linger();
        return;
    };
    let _ = socket.set_nodelay(true);
    let _ = target.set_nodelay(true);
    let (socket_read, socket_write) = socket.into_split();
    let (target_read, target_write) = target.into_split();
    tokio::join!(
        direction(socket_read, target_write, path),
        direction(target_read, socket_write, path),
    );
}

async fn direction(from: OwnedReadHalf, to: OwnedWriteHalf, path: &Path) {
    let (sender, receiver) = mpsc::channel(WINDOW_CHUNKS);
    tokio::join!(read(from, sender, path.delay), write(receiver, to, path));
}

async fn read(mut from: OwnedReadHalf, sender: mpsc::Sender<(Instant, Bytes)>, delay: Duration) {
    let mut buffer = BytesMut::with_capacity(CHUNK_BYTES);
    while let Ok(count) = from.read_buf(&mut buffer).await {
        let due = Instant::now() + delay;
        if count == 0 || sender.send((due, buffer.split().freeze())).await.is_err() {
            return;
        }
        buffer.reserve(CHUNK_BYTES);
    }
}

async fn write(
    mut receiver: mpsc::Receiver<(Instant, Bytes)>,
    mut to: OwnedWriteHalf,
    path: &Path,
) {
    while let Some((due, chunk)) = receiver.recv().await {
        tokio::time::sleep_until(due).await;
        if let Some(bytes_per_s) = path.bytes_per_s {
            // CAST: a chunk is far below 2^32 bytes.
            tokio::time::sleep(Duration::from_secs(1) * chunk.len() as u32 / bytes_per_s.get())
                .await;
        }
        open(path).await;
        path.bytes.fetch_add(chunk.len() as u64, Ordering::Relaxed);
        if to.write_all(&chunk).await.is_err() {
            return;
        }
    }
    let _ = to.shutdown().await;
}

/// Waits until the zones are not cut off from each other.
async fn open(path: &Path) {
    let mut cuts = path.cuts.clone();
    let _ = cuts.wait_for(|cuts| !cuts.contains(&path.pair)).await;
}

/// Waits until the zones were cut off from each other and healed.
async fn healed(path: &Path) {
    let mut cuts = path.cuts.clone();
    if cuts
        .wait_for(|cuts| cuts.contains(&path.pair))
        .await
        .is_ok()
    {
        let _ = cuts.wait_for(|cuts| !cuts.contains(&path.pair)).await;
    }
}
